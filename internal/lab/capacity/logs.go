package capacity

import (
	"math"

	"arbutusramp/internal/lab/slopes"
)

const (
	// snapshotPart is how many bytes of a shard's snapshot one append carries.
	snapshotPart = 512 << 10
	// snapshotAfter is how many bytes of a shard's stream lie between snapshots at most.
	snapshotAfter = 64 << 20
	// snapshotCount is how many appends of a shard lie between snapshots at most.
	snapshotCount = 4096
	// maxAppend is how many bytes of records one append carries.
	maxAppend = 512 << 10
	// configPart and configEvery are the same for the configuration.
	configPart  = 256 << 10
	configEvery = 2000
	// claimAppends are those of one change of a shard's owner: a claim, and a release where it was planned.
	claimAppends = 2
)

// commitsPerS is the most appends a second of results and uploads: every shard one per
// commit interval, or one per item where there are fewer.
func (z *Size) commitsPerS() float64 {
	return min(float64(z.Shards)*perSecond(z.CommitEvery), bothWays*z.ItemsPerS)
}

// bothWays: an item is in one append when it is uploaded, and in one with its result.
const bothWays = 2

func (s *sheet) log() {
	z := &s.size
	commits := z.commitsPerS()
	s.add(Row{Role: logRole, What: "appends of results and uploads", Kind: Log, Unit: "appends/s", Value: commits,
		Mechanism: "group commit: one append a shard each commit_every at most, of 512 KiB at most"})
	s.commitRoom()
	s.add(Row{Role: logRole, What: "the same by one owner of all shards, as measured", Kind: Total, Unit: "appends/s",
		Value: s.whole(slopes.OwnerAppends, z.ItemsPerS), Mechanism: "group commit of one owner"})
	results, uploads := s.bytesOfItems()
	perShardBytes := (results + uploads) / float64(z.Shards)
	snapshot := s.each(slopes.SnapshotBytes, z.finishedPerShard()+z.openPerShard())
	every := max(perShardBytes/snapshotAfter, commits/float64(z.Shards)/snapshotCount)
	snapshots := every * float64(z.Shards)
	s.add(Row{Role: logRole, What: "appends of shard snapshots", Kind: Log, Unit: "appends/s",
		Value: snapshots * math.Ceil(snapshot/snapshotPart), Mechanism: "a snapshot every 64 MiB or 4,096 appends of a shard, in parts of 512 KiB",
		Change: "a larger distance as the state grows"})
	s.add(Row{Role: logRole, What: "appends of configuration", Kind: Log, Unit: "appends/s",
		Value: z.changesPerS() * (1 + s.configParts()/configEvery), Mechanism: "one a confirm; a snapshot every 2,000"})
	moves := (z.LossesPerDay + z.RestartsPerDay) / secondsPerDay * float64(z.Shards) / z.hosts()
	s.add(Row{Role: logRole, What: "appends of claims and releases", Kind: Log, Unit: "appends/s", Value: moves * claimAppends,
		Mechanism: "a claim a takeover, a release a planned stop"})
	s.add(Row{Role: logRole, What: "appends together", Kind: Total, Unit: "appends/s", Value: s.sum(logRole, Log, "appends/s"), Budget: AppendBudget,
		Mechanism: "sum", Change: "a longer commit_every"})
	const toMiB = 1.0 / mebi
	results, uploads = s.bytesOfItems()
	s.add(Row{Role: logRole, What: "bytes of results", Kind: Log, Unit: "MiB/s", Value: results * toMiB, Mechanism: "each result once"})
	s.add(Row{Role: logRole, What: "bytes of uploads", Kind: Log, Unit: "MiB/s", Value: uploads * toMiB, Mechanism: "each item's body once"})
	s.add(Row{Role: logRole, What: "bytes of results packed again", Kind: Log, Unit: "MiB/s", Value: results * toMiB,
		Mechanism: "at most once: where a segment's results stand at more than 48 places"})
	s.add(Row{Role: logRole, What: "bytes of shard snapshots", Kind: Log, Unit: "MiB/s", Value: snapshots * snapshot * toMiB, Mechanism: "as above"})
	s.reads(results + uploads)
}

// commitRoom adds how much of what group commit can carry is in use.
func (s *sheet) commitRoom() {
	z := &s.size
	results, uploads := s.bytesOfItems()
	room := float64(z.Shards) * perSecond(z.CommitEvery) * maxAppend
	s.add(Row{Role: logRole, What: "share of group commit's bytes in use, results packed once more", Kind: Total, Unit: "%",
		Value: 100 * (results + uploads + results) / room, Budget: 100,
		Mechanism: "one append of 512 KiB at most a shard each commit_every",
		Change:    "a shorter commit_every, or larger appends where the log takes them"})
}

// bytesOfItems returns the bytes a second that results and uploads put into the log.
func (s *sheet) bytesOfItems() (results, uploads float64) {
	z := &s.size
	results = s.whole(slopes.ResultBytes, z.ResultBytes) * z.ItemsPerS
	uploads = s.whole(slopes.SegmentBytes, z.ItemBytes) * z.ItemsPerS
	return results, uploads
}

func (s *sheet) configParts() float64 {
	z := &s.size
	state := s.whole(slopes.WorkspaceState, float64(z.Workspaces)) + s.whole(slopes.TargetState, float64(z.Sides))
	return math.Ceil(state / configPart)
}

func (s *sheet) reads(appended float64) {
	z := &s.size
	const readersPerDomain = 2
	s.add(Row{Role: logRole, What: "reads of job shards", Kind: Log, Unit: "reads/s",
		Value:     s.whole(slopes.OwnerReads, z.ItemsPerS) + s.each(slopes.ShardIdleReads, float64(z.Shards)),
		Mechanism: "each owner reads its own stream"})
	s.add(Row{Role: logRole, What: "bytes read of job shards", Kind: Log, Unit: "MiB/s read", Value: appended / mebi,
		Mechanism: "what an owner appends it reads back, since the fold decides"})
	perDomain := float64(z.Entries) / float64(z.Domains)
	s.add(Row{Role: logRole, What: "reads of the configuration", Kind: Log, Unit: "reads/s",
		Value:     s.whole(slopes.FollowReads, perDomain) * float64(z.Domains),
		Mechanism: "two readers a failure domain"})
	s.add(Row{Role: logRole, What: "reads of the configuration if every entry read the log", Kind: Total, Unit: "reads/s",
		Value:     s.whole(slopes.FollowReads, perDomain) / readersPerDomain * float64(z.Entries),
		Mechanism: "no relays"})
	s.add(Row{Role: logRole, What: "bytes that the host list serves", Kind: Total, Unit: "MiB/s read",
		Value:     s.whole(slopes.HostListBytes, z.hosts()) * float64(z.Entries) * perSecond(z.HostListEvery) / mebi,
		Mechanism: "every entry reads the whole list every host_list_every"})
}
