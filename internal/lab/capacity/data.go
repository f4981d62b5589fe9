package capacity

import (
	"math"

	"arbutusramp/internal/lab/slopes"
)

func (s *sheet) entryData() {
	z := &s.size
	n := float64(z.Entries)
	requests, tokens, streams := z.RequestsPerS/n, z.TokensPerS/n, z.streams()/n
	s.add(Row{Role: entryRole, What: "requests", Kind: DataPath, Unit: msPerS,
		Value:     (s.each(slopes.EntryCPURequest, requests) + requests*s.slope(slopes.EntryCPUPrompt, z.PromptKiB).Slope*z.PromptKiB) / usPerMs,
		Mechanism: "accept, classify, limits, choose, relay"})
	candidates := z.perEntry() / float64(z.Models)
	s.add(Row{Role: entryRole, What: "choice among the candidates of a model", Kind: DataPath, Unit: msPerS,
		Value:     s.whole(slopes.ChooseCPU, candidates) * requests / usPerMs,
		Mechanism: "two choices over all that pass the filters"})
	s.add(Row{Role: entryRole, What: "tokens relayed", Kind: DataPath, Unit: msPerS, Value: s.each(slopes.EntryCPUToken, tokens) / usPerMs,
		Mechanism: "frames to server-sent events; each token is parsed for a resume elsewhere"})
	s.add(Row{Role: entryRole, What: "open streams", Kind: DataPath, Unit: mib, Value: heapFactor * s.each(slopes.EntryStreamMem, streams) / mebi,
		Mechanism: "one connection and one stream each"})
}

func (s *sheet) sideData() {
	z := &s.size
	n := float64(z.Sides)
	requests, tokens, streams := z.RequestsPerS/n, z.TokensPerS/n, z.streams()/n
	s.add(Row{Role: sideRole, What: "requests", Kind: DataPath, Unit: msPerS, Value: s.each(slopes.SideCPURequest, requests) / usPerMs,
		Mechanism: "gate, queue, dispatch, relay"})
	s.add(Row{Role: sideRole, What: "admissions with 512 queued", Kind: DataPath, Unit: msPerS,
		Value:     s.whole(slopes.AdmitCPU, maxQueue) * (requests + z.ItemsPerS/n) / usPerMs,
		Mechanism: "one queue for each class"})
	s.add(Row{Role: sideRole, What: "tokens relayed", Kind: DataPath, Unit: msPerS, Value: s.each(slopes.SideCPUToken, tokens) / usPerMs,
		Mechanism: "engine's events to frames"})
	s.add(Row{Role: sideRole, What: "open streams", Kind: DataPath, Unit: mib, Value: heapFactor * s.each(slopes.SideStreamMem, streams) / mebi,
		Mechanism: "one connection to the engine and one stream each"})
}

// maxQueue is the default bound of online requests that wait at a side.
const maxQueue = 512

func (s *sheet) owner() {
	z := &s.size
	perShard := z.itemsPerShard()
	s.add(Row{Role: ownerRole, What: "items of one shard", Kind: DataPath, Unit: msPerS, Value: s.each(slopes.OwnerCPU, perShard) / usPerMs,
		Mechanism: "hand out, outcome, group commit, fold"})
	s.add(Row{Role: ownerRole, What: "of which the fold", Kind: Total, Unit: msPerS, Value: s.each(slopes.JobFoldCPU, perShard) / usPerMs,
		Mechanism: "bitmap a segment"})
	s.add(Row{Role: ownerRole, What: "bytes through one owner (items out, results in)", Kind: DataPath, Unit: "MiB/s",
		Value:     perShard * (z.ItemBytes + z.ResultBytes) / mebi,
		Mechanism: "over sessions and to the log"})
	finished := s.each(slopes.JobItemMemory, z.finishedPerShard())
	open := s.each(slopes.JobOpenMemory, z.openPerShard())
	jobs := s.each(slopes.JobMemory, z.jobsPerShard())
	s.add(Row{Role: ownerRole, What: "state of one shard", Kind: Control, Unit: mib, Value: heapFactor * (finished + open + jobs) / mebi,
		Budget: MemoryBudget, Mechanism: "offsets of results and bitmaps of open segments; bodies stay in the log",
		Change: "more shards"})
	s.add(Row{Role: ownerRole, What: "control of an entry that owns a shard", Kind: Total, Unit: mib,
		Value: s.sum(entryRole, Control, mib) + s.sum(ownerRole, Control, mib), Budget: MemoryBudget,
		Mechanism: "sum; held outcomes (64 MiB at most) and cached bodies (32 MiB at most) are data path",
		Change:    "more shards"})
	s.add(Row{Role: ownerRole, What: "owner's lock held for a snapshot", Kind: Time, Unit: "s",
		Value:     s.each(slopes.SnapshotCPU, z.finishedPerShard()+z.openPerShard()) / usPerS,
		Mechanism: "the snapshot is encoded under the shard's lock",
		Change:    "more shards, or encode a copy"})
	s.add(Row{Role: ownerRole, What: "sides that no owner has a session with", Kind: Total, Unit: "% of sides",
		Value: 100 * uncovered(z, z.Shards), Budget: 1, Mechanism: "an owner hands items to the sides that it has sessions with",
		Change: "shards = 128 with commit_every = 1 s, or sides that ask owners beyond their sessions"})
	s.add(Row{Role: ownerRole, What: "the same with 128 shards", Kind: Total, Unit: "% of sides",
		Value: 100 * uncovered(z, 128), Budget: 1, Mechanism: "shards = 128", Change: "max_sides = 64 or more"})
}

// uncovered is the share of sides outside the subsets of so many owners.
func uncovered(z *Size, owners int) float64 {
	share := z.perEntry() / float64(z.Sides)
	return math.Pow(1-share, float64(min(owners, z.Entries)))
}

func (s *sheet) reconciler() {
	z := &s.size
	n := float64(z.Sides)
	const stepsPerS = 1
	s.add(Row{Role: reconcilerRole, What: "comparison of confirmed and actual", Kind: Control, Unit: msPerS,
		Value: stepsPerS * s.whole(slopes.ReconcileCPU, n) / usPerMs, Budget: CPUBudget,
		Mechanism: "one owner by a claim in the log; a step when something changes, counted once a second",
		Change:    "steps for the models that changed only"})
	s.add(Row{Role: reconcilerRole, What: "targets that its owner has a session with", Kind: Total, Unit: "% of targets",
		Value:     100 * z.perEntry() / n,
		Mechanism: "orders and reports go over the owner's own sessions"})
}
