package capacity

import (
	"arbutusramp/internal/lab/slopes"
)

const (
	// ownerLease, probeEvery and probeTimeout are those of internal/batch.
	ownerLease = 2.0 // s
	probeEvery = 0.5 // s
	hourS      = 3600
)

func (s *sheet) failures() {
	z := &s.size
	items := z.finishedPerShard() + z.openPerShard()
	replay := s.whole(slopes.TakeoverTime, snapshotAfter/mebi) / usPerMs
	restore := s.each(slopes.RestoreCPU, items) / usPerS
	// A snapshot is read from the log as its records are.
	read := s.slope(slopes.TakeoverTime, s.each(slopes.SnapshotBytes, items)/mebi).Slope * s.each(slopes.SnapshotBytes, items) / mebi / usPerMs
	s.add(Row{Role: failureRole, What: "takeover of a lost owner's shard", Kind: Time, Unit: "s",
		Value:  ownerLease + probeEvery + replay + restore + read,
		Budget: TakeoverBudget, Mechanism: "lease of 2 s by probes, then snapshot, up to 64 MiB of log, claim",
		Change: "more shards, or a smaller distance of snapshots"})
	domain := 1 / float64(z.Domains)
	region := 1 / float64(z.Regions)
	s.loss("an entry", 1, 0)
	s.loss("a side", 0, 1)
	s.loss("a failure domain", domain*float64(z.Entries), domain*float64(z.Sides))
	s.loss("a region", region*float64(z.Entries), region*float64(z.Sides))
	restarts := z.RestartsPerDay / secondsPerDay
	s.add(Row{Role: failureRole, What: "restarts: sessions opened again, whole system", Kind: Total, Unit: "sessions/s",
		Value:     restarts * z.perEntry() * float64(z.Entries) / z.hosts() * bothEnds,
		Mechanism: "a restarted entry dials its subset, the entries of a restarted side dial it"})
	s.add(Row{Role: failureRole, What: "restarts: configuration read again, whole system", Kind: Total, Unit: bytesS,
		Value:     restarts * s.configParts() * configPart,
		Mechanism: "a new process takes one snapshot"})
	s.parting(region)
}

// loss adds what the loss of so many entries and sides costs the others.
func (s *sheet) loss(what string, entries, sides float64) {
	z := &s.size
	left := float64(z.Entries) - entries
	if sides > 0 {
		sessions := sides * z.perSide() / float64(z.Entries)
		s.add(Row{Role: failureRole, What: what + " lost: sessions that an entry dials anew", Kind: Total, Unit: "sessions an entry", Value: sessions,
			Mechanism: "the subset fills up with the next sides by rank"})
		s.add(Row{Role: failureRole, What: what + " lost: processor time of these", Kind: Total, Unit: "ms CPU an entry",
			Value:     s.each(slopes.SessionDialCPU, sessions) / bothEnds / usPerMs,
			Mechanism: "dials are jittered over 0.1 to 5 s"})
		s.add(Row{Role: failureRole, What: what + " lost: share of the others' targets that must be free", Kind: Total, Unit: "%",
			Value: 100 * sides / (float64(z.Sides) - sides), Mechanism: "batch gives way first"})
	}
	if entries > 0 {
		s.add(Row{Role: failureRole, What: what + " lost: shards taken over (mean)", Kind: Total, Unit: "shards",
			Value: float64(z.Shards) * entries / float64(z.Entries), Mechanism: "candidates in three failure domains"})
		s.add(Row{Role: failureRole, What: what + " lost: callers' requests moved to each other entry", Kind: Total, Unit: "requests/s",
			Value: z.RequestsPerS / float64(z.Entries) * entries / left, Mechanism: "the platform's balancer; open streams of a lost entry break"})
	}
}

// parting adds an hour in which a region reaches neither the others nor the log.
func (s *sheet) parting(region float64) {
	z := &s.size
	const outcomeOverhead = 64
	perOwner := z.itemsPerShard()
	held := z.MaxHeldBytes / (z.ResultBytes + outcomeOverhead)
	s.add(Row{Role: failureRole, What: "a region parted from the log: batch goes on for", Kind: Time, Unit: "s", Value: held / perOwner,
		Mechanism: "outcomes are held up to max_held_bytes an entry, then no more items are given out"})
	s.add(Row{Role: failureRole, What: "an hour of it: items that are done later", Kind: Total, Unit: "million items",
		Value:     max(0, hourS-held/perOwner) * z.ItemsPerS * region / 1e6,
		Mechanism: "they are handed out again elsewhere, or after the hour"})
	s.add(Row{Role: failureRole, What: "an hour of it: changes not in force in the region until its end", Kind: Total, Unit: "changes",
		Value:     z.changesPerS() * hourS,
		Mechanism: "online goes on with the last configuration; keyed non-idempotent calls are refused once it is 4 s old"})
}
