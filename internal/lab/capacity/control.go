package capacity

import (
	"arbutusramp/internal/lab/slopes"
)

// Roles of rows.
const (
	entryRole      = "entry"
	sideRole       = "side"
	relayRole      = "configuration relay"
	ownerRole      = "owner of job shards"
	reconcilerRole = "reconciler's owner"
	logRole        = "log and host list"
	failureRole    = "loss and parting"
)

// Units of rows.
const (
	msPerS = "ms CPU/s"
	bytesS = "B/s"
	mib    = "MiB"
	count  = ""
)

// Budgets of control for one node.
const (
	CPUBudget    = 38.0   // ms of processor time a second: 3.8% of a core
	BytesBudget  = 3000.0 // bytes a second, both ways
	MemoryBudget = 256.0  // MiB
	// AppendBudget is what is taken of the log service's several hundred appends a second.
	AppendBudget = 300.0
	// TakeoverBudget is within what a dead owner's shards are taken over, seconds.
	TakeoverBudget = 5.0
	// ForceBudget is within what a change is in force everywhere, seconds.
	ForceBudget = 4.0
)

const (
	usPerMs = 1000
	// packetHeader is the bytes of Ethernet, IP and TCP headers with timestamps.
	packetHeader = 66
	usPerS       = 1e6
	// heapFactor is live data to heap at the garbage collector's default.
	heapFactor = 2
	bothEnds   = 2
	// ranksPerS is how often an entry ranks every shard: 4 times a second to see which to
	// start, twice to see whom to probe.
	ranksPerS = 6
)

func (s *sheet) entry() {
	z := &s.size
	n := z.perEntry()
	s.add(Row{Role: entryRole, What: "sessions", Kind: Control, Unit: "sessions", Value: n,
		Mechanism: "rendezvous subset of max_sides sides, half of them in the own failure domain"})
	s.add(Row{Role: entryRole, What: "memory if it kept sessions with every side", Kind: Total, Unit: mib,
		Value:  heapFactor * s.each(slopes.EntrySessionMem, float64(z.Sides)) / mebi,
		Budget: MemoryBudget, Mechanism: "max_sides = 0",
		Change: "max_sides: all-to-all does not fit; two 32 KiB buffers a session are most of it"})
	s.sessions(entryRole, n)
	s.loads(entryRole, n)
	hostListCPU := s.whole(slopes.HostListCPU, z.hosts()) * perSecond(z.HostListEvery)
	s.add(Row{Role: entryRole, What: "host list reads", Kind: Control, Unit: msPerS, Value: hostListCPU / usPerMs,
		Mechanism: "each entry reads the whole list every host_list_every"})
	if z.MaxSides > 0 && z.MaxSides < z.Sides {
		s.add(Row{Role: entryRole, What: "subset chosen at each read", Kind: Control, Unit: msPerS,
			Value:     s.whole(slopes.SubsetCPU, float64(z.Sides)) * perSecond(z.HostListEvery) / usPerMs,
			Mechanism: "all sides are ranked at each read of the list",
			Change:    "rank when the list has changed; hash each side once"})
	}
	s.add(Row{Role: entryRole, What: "host list reads", Kind: Control, Unit: bytesS,
		Value:  s.whole(slopes.HostListBytes, z.hosts()) * perSecond(z.HostListEvery),
		Budget: BytesBudget, Mechanism: "each entry reads the whole list every host_list_every",
		Change: "conditional reads (an unchanged list costs a header), compressed bodies, and two readers a failure domain that pass changes on as configuration is passed on"})
	s.configState(entryRole)
	s.follow()
	s.pushes(n)
	s.ranks()
	s.probes()
	s.controlTotals(entryRole)
	s.entryData()
}

// sessions adds what n sessions cost without load reports.
func (s *sheet) sessions(role string, n float64) {
	s.add(Row{Role: role, What: "heartbeats", Kind: Control, Unit: msPerS, Value: s.each(slopes.SessionCPU, n) / usPerMs,
		Mechanism: "a beat and its echo each way a second"})
	s.add(Row{Role: role, What: "heartbeats", Kind: Control, Unit: bytesS, Value: s.each(slopes.SessionBytes, n),
		Budget: BytesBudget, Mechanism: "a beat and its echo each way a second",
		Change: "one end beats and the other echoes, and a session that carries data beats every 5 s"})
	s.add(Row{Role: role, What: "heartbeats with TCP and IP headers", Kind: Total, Unit: bytesS,
		Value:     s.each(slopes.SessionBytes, n) + packetHeader*s.each(slopes.SessionMessages, n),
		Mechanism: "66 B of headers a packet, bare acknowledgements not counted"})
	mem := slopes.SideSessionMem
	if role == entryRole {
		mem = slopes.EntrySessionMem
	}
	s.add(Row{Role: role, What: "sessions", Kind: Control, Unit: mib, Value: heapFactor * s.each(mem, n) / mebi,
		Mechanism: "buffers of 32 KiB each way"})
}

// loads adds load reports on n sessions, at the rate of a side whose load changes all the time.
func (s *sheet) loads(role string, n float64) {
	z := &s.size
	perSession := z.loadsPerS()
	frames := n * perSession
	mechanism := "on change, every load_every at most to 8 sessions, 100 ms later for each further one; every End carries the load too"
	s.add(Row{Role: role, What: "load reports", Kind: Control, Unit: msPerS,
		Value:     s.slope(slopes.LoadCPU, perSession).Slope / bothEnds * frames / usPerMs,
		Mechanism: mechanism})
	s.add(Row{Role: role, What: "load reports", Kind: Control, Unit: bytesS,
		Value:  s.slope(slopes.LoadBytes, perSession).Slope * frames,
		Budget: BytesBudget, Mechanism: mechanism,
		Change: "a longer load_every"})
	s.add(Row{Role: role, What: "prompt prefixes in load reports, none shared", Kind: Control, Unit: bytesS,
		Value:  s.each(slopes.PrefixBytes, z.prefixesPerReport()) * frames,
		Budget: BytesBudget, Mechanism: "each new hash once to every session, 64 a report at most",
		Change: "tell a hash at its second use only, and not to the entry that sent it"})
}

// configState adds what every process pays for the configuration.
func (s *sheet) configState(role string) {
	z := &s.size
	ws, targets := float64(z.Workspaces), float64(z.Sides)
	fold := s.whole(slopes.ConfigFoldCPU, ws)
	s.add(Row{Role: role, What: "configuration folded", Kind: Control, Unit: msPerS, Value: fold * z.changesPerS() / usPerMs,
		Mechanism: "each change copies the maps that it touches"})
	live := s.each(slopes.WorkspaceMemory, ws) + s.each(slopes.TargetMemory, targets)
	s.add(Row{Role: role, What: "configuration held", Kind: Control, Unit: mib, Value: heapFactor * live / mebi,
		Mechanism: "the whole state in every process"})
}

// follow adds the poll of a parent.
func (s *sheet) follow() {
	perDomain := float64(s.size.Entries) / float64(s.size.Domains)
	s.add(Row{Role: entryRole, What: "following the configuration", Kind: Control, Unit: msPerS,
		Value:     s.slope(slopes.FollowCPU, perDomain).Slope / usPerMs,
		Mechanism: "two readers of the log a failure domain, a tree of four below each entry; a question is held for 1 s"})
	s.add(Row{Role: entryRole, What: "following the configuration", Kind: Control, Unit: bytesS,
		Value:     s.slope(slopes.FollowBytes, perDomain).Slope,
		Mechanism: "two readers of the log a failure domain, a tree of four below each entry; a question is held for 1 s"})
}

// pushOwners is how many entries send a side each record.
const pushOwners = 2

// pushes adds the configuration records that an entry sends its n sides.
func (s *sheet) pushes(n float64) {
	z := &s.size
	rate := z.changesPerS()
	s.add(Row{Role: entryRole, What: "configuration to sides", Kind: Control, Unit: bytesS,
		Value:     s.whole(slopes.ConfigRecordSize, 1) * n * rate,
		Mechanism: "records over sessions; as if each session carried them once"})
	s.add(Row{Role: entryRole, What: "configuration to sides", Kind: Control, Unit: msPerS,
		Value:     s.whole(slopes.RelayRankCPU, z.hosts()) * n * rate / usPerMs,
		Mechanism: "for each session and change, a ranking of all entries says who sends the record",
		Change:    "rank once for each change of the host list"})
}

// ranks adds the rankings that say which shards an entry should own.
func (s *sheet) ranks() {
	z := &s.size
	s.add(Row{Role: entryRole, What: "who owns which shard", Kind: Control, Unit: msPerS,
		Value:     s.whole(slopes.RankCPU, z.hosts()) * float64(z.Shards) * ranksPerS / usPerMs,
		Budget:    CPUBudget,
		Mechanism: "every shard is ranked over all hosts 6 times a second",
		Change:    "rank when the host list changes, not at each look"})
}

// probes adds the probes between candidates of shards at the entry that has the most of them.
func (s *sheet) probes() {
	links := busiestProbeLinks(s.size)
	const probesPerS = 2
	rate := float64(links) * probesPerS
	s.add(Row{Role: entryRole, What: "probes between candidates (busiest entry)", Kind: Control, Unit: bytesS,
		Value: s.each(slopes.ProbeBytes, rate), Budget: BytesBudget,
		Mechanism: "each of 3 candidates of a shard probes those before it twice a second",
		Change:    "one probe a pair for all shards, every second"})
	s.add(Row{Role: entryRole, What: "probes between candidates (busiest entry)", Kind: Control, Unit: msPerS,
		Value:     s.each(slopes.ProbeCPU, rate) / bothEnds / usPerMs,
		Mechanism: "each of 3 candidates of a shard probes those before it twice a second"})
}

// controlTotals adds the sums of a role's control against the budgets.
func (s *sheet) controlTotals(role string) {
	change := "the rows above that are over or near the budget"
	s.add(Row{Role: role, What: "control together", Kind: Total, Unit: msPerS, Value: s.sum(role, Control, msPerS), Budget: CPUBudget, Mechanism: "sum", Change: change})
	s.add(Row{Role: role, What: "control together", Kind: Total, Unit: bytesS, Value: s.sum(role, Control, bytesS), Budget: BytesBudget, Mechanism: "sum", Change: change})
	s.add(Row{Role: role, What: "control together", Kind: Total, Unit: mib, Value: s.sum(role, Control, mib), Budget: MemoryBudget, Mechanism: "sum; the runtime's own memory is not in it", Change: change})
}

func (s *sheet) side() {
	z := &s.size
	n := z.perSide()
	s.add(Row{Role: sideRole, What: "sessions", Kind: Control, Unit: "sessions", Value: n, Mechanism: "each entry dials its subset"})
	s.sessions(sideRole, n)
	s.loads(sideRole, n)
	s.configState(sideRole)
	s.add(Row{Role: sideRole, What: "configuration received", Kind: Control, Unit: bytesS,
		Value:     s.whole(slopes.ConfigRecordSize, 1) * z.changesPerS() * (pushOwners + n),
		Mechanism: "two owners send the record, the others announce it; counted as a record each"})
	s.controlTotals(sideRole)
	s.sideData()
}

func (s *sheet) relay() {
	z := &s.size
	const fanOut = 4
	perDomain := float64(z.Entries) / float64(z.Domains)
	s.add(Row{Role: relayRole, What: "questions answered for 4 children", Kind: Control, Unit: bytesS,
		Value:     fanOut * s.slope(slopes.FollowBytes, perDomain).Slope,
		Budget:    BytesBudget,
		Mechanism: "held questions, one a second a child"})
	s.add(Row{Role: relayRole, What: "questions answered for 4 children", Kind: Control, Unit: msPerS,
		Value:     fanOut * s.slope(slopes.FollowCPU, perDomain).Slope / usPerMs,
		Mechanism: "held questions, one a second a child"})
	s.add(Row{Role: relayRole, What: "change in force at a domain's entries", Kind: Time, Unit: "s",
		Value:     s.whole(slopes.InForceTime, perDomain) / usPerMs,
		Budget:    ForceBudget,
		Mechanism: "the tree is two deep; delays between domains come on top, and up to 2 s where a parent is lost"})
	start := s.whole(slopes.ConfigRestoreCPU, float64(z.Workspaces)) + s.whole(slopes.TargetRestoreCPU, float64(z.Sides))
	s.add(Row{Role: relayRole, What: "snapshot decoded at a start", Kind: Time, Unit: "s", Value: start / usPerS,
		Mechanism: "a new process takes a snapshot, then the records after it"})
}
