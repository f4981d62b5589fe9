package fleet

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

const testSlots = 4

// testFleet returns the fleet of gateway self, in failure domain d0, with targets 0 to targets-1.
func testFleet(self Peer, targets int) *Fleet {
	f := New(Options{Domain: "d0", Self: self, PeerTTL: time.Second})
	for i := range targets {
		f.Put(target(i))
	}
	return f
}

// target returns target i with testSlots slots, in a failure domain of its own.
func target(i int) serving.Target {
	return serving.Target{ID: fmt.Sprintf("t%d", i), Service: "llm", Domain: fmt.Sprintf("d%d", i), Slots: testSlots}
}

// begin counts n requests of a class at a target.
func begin(f *Fleet, id string, c structs.Class, n int) {
	for range n {
		f.Begin(start, id, c)
	}
}

func TestPickOnline(t *testing.T) {
	cases := []struct {
		name  string
		setup func(f *Fleet)
		tried []string
		want  string // "" for none
	}{
		{name: "the target in the own failure domain among equal targets", want: "t0"},
		{name: "a free slot in another domain before a full target", setup: func(f *Fleet) {
			begin(f, "t0", structs.ClassOnline, testSlots)
			begin(f, "t1", structs.ClassOnline, 1)
		}, want: "t2"},
		{name: "a full target with preemptible batch items before a queue", setup: func(f *Fleet) {
			begin(f, "t0", structs.ClassOnline, testSlots)
			begin(f, "t1", structs.ClassOnline, testSlots)
			begin(f, "t2", structs.ClassBatch, testSlots)
		}, want: "t2"},
		{name: "loads of peers count", setup: func(f *Fleet) {
			f.ApplyReport(start, "peer", Report{Loads: map[string]Load{"t0": {Online: testSlots}, "t1": {Online: testSlots}}})
		}, want: "t2"},
		{name: "an expired peer does not count", setup: func(f *Fleet) {
			f.ApplyReport(start.Add(-2*time.Second), "peer", Report{Loads: map[string]Load{"t0": {Online: testSlots}}})
		}, want: "t0"},
		{name: "not a draining target", setup: func(f *Fleet) {
			draining := target(0)
			draining.IsDraining = true
			f.Put(draining)
			begin(f, "t1", structs.ClassOnline, 1)
		}, want: "t2"},
		{name: "not a target already tried", tried: []string{"t0", "t1"}, want: "t2"},
		{name: "not a suspect target", setup: func(f *Fleet) { f.RecordFailure(start, "t0"); f.RecordFailure(start, "t1") }, want: "t2"},
		{name: "a suspect target when no other is left", setup: func(f *Fleet) { f.RecordFailure(start, "t2") },
			tried: []string{"t0", "t1"}, want: "t2"},
		{name: "no target when all were tried", tried: []string{"t0", "t1", "t2"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := testFleet("self", 3)
			if c.setup != nil {
				c.setup(f)
			}
			got, ok := f.PickOnline(start, Work{Service: "llm"}, c.tried)
			if ok != (c.want != "") || got.Target.ID != c.want {
				t.Errorf("picked target %q, want %q (empty for no target)", got.Target.ID, c.want)
			}
		})
	}
	if _, ok := testFleet("self", 1).PickOnline(start, Work{Service: "other"}, nil); ok {
		t.Error("a target was picked for a service without targets, want no target")
	}
}

func TestPickBatchFillsFreeSlotsOnly(t *testing.T) {
	f := testFleet("self", 2)
	for range 2 * testSlots {
		got, ok := f.PickBatch(start, Work{Service: "llm"})
		if !ok {
			t.Fatal("no target was picked though slots are free, want t0 or t1")
		}
		f.Begin(start, got.Target.ID, structs.ClassBatch)
	}
	if got, ok := f.PickBatch(start, Work{Service: "llm"}); ok {
		t.Errorf("picked %s though all slots are taken, want no target", got)
	}
	if n := f.OwnLoadAt("t0").Batch; n != testSlots {
		t.Errorf("%d batch items were started at t0, want %d", n, testSlots)
	}
}

// Guards against online requests that wait behind batch items, and against needless preemption. These happen
// when each gateway leaves the preemption to the others, or when each preempts all of the excess.
func TestGatewaysTogetherPreemptTheExcess(t *testing.T) {
	names := []Peer{"a", "b", "c"}
	items := map[Peer]int{"a": 2, "b": 1, "c": 0}
	for online := 0; online <= testSlots; online++ {
		preempted := 0
		for _, self := range names {
			f := testFleet(self, 1)
			begin(f, "t0", structs.ClassBatch, items[self])
			for _, peer := range names {
				if peer == self {
					continue
				}
				load := Load{Batch: items[peer]}
				if peer == "c" {
					load.Online = online
				}
				f.ApplyReport(start, peer, Report{Loads: map[string]Load{"t0": load}})
			}
			if self == "c" {
				begin(f, "t0", structs.ClassOnline, online)
			}
			n := f.Preempt(start)["t0"]
			if n > items[self] {
				t.Errorf("gateway %s preempts %d batch items, want at most the %d that it has", self, n, items[self])
			}
			preempted += n
		}
		want := max(0, online+3-testSlots)
		if preempted != min(want, 3) {
			t.Errorf("with %d online requests %d batch items were preempted, want the smaller of %d and 3", online, preempted, want)
		}
	}
}

func TestPreemptClearsDrainingAndSuspectTargets(t *testing.T) {
	f := testFleet("self", 2)
	begin(f, "t0", structs.ClassBatch, 2)
	begin(f, "t1", structs.ClassBatch, 1)
	if preempted := f.Preempt(start); len(preempted) != 0 {
		t.Errorf("preempted %v at targets that are neither draining nor suspect, want none", preempted)
	}
	draining := target(0)
	draining.IsDraining = true
	f.Put(draining)
	f.RecordFailure(start, "t1")
	preempted := f.Preempt(start)
	if preempted["t0"] != 2 || preempted["t1"] != 1 {
		t.Errorf("preempted %v, want 2 at draining target t0 and 1 at suspect target t1", preempted)
	}
}

func TestActivityEndsSuspicion(t *testing.T) {
	f := testFleet("self", 1)
	if !f.RecordFailure(start, "t0") || f.RecordFailure(start, "t0") {
		t.Error("of two failures in a row, the result of RecordFailure is wrong for the first (want true: the target becomes suspect) or the second (want false: not counted)")
	}
	if _, ok := f.PickBatch(start, Work{Service: "llm"}); ok {
		t.Error("a batch item was sent to a suspect target, want none")
	}
	later := start.Add(minSuspectTime)
	if _, ok := f.PickBatch(later, Work{Service: "llm"}); !ok {
		t.Error("no batch item was sent to a target on probation, want one")
	}
	f.Begin(later, "t0", structs.ClassBatch)
	if _, ok := f.PickBatch(later, Work{Service: "llm"}); ok {
		t.Error("a second batch item was sent to a target on probation within the probation interval, want none")
	}
	if !f.RecordFailure(later, "t0") {
		t.Error("a failure on probation does not make the target suspect, want suspect")
	}
	if _, ok := f.PickBatch(later.Add(minSuspectTime), Work{Service: "llm"}); ok {
		t.Error("a batch item was sent 500 ms after the second of two failures, want none: the target must be suspect for longer than after the first")
	}
	f.RecordActivity(later, "t0")
	if _, ok := f.PickBatch(later, Work{Service: "llm"}); !ok {
		t.Error("no batch item was sent to a target that has just sent something, want one")
	}
}

func TestTargetIsSilentAfterLimit(t *testing.T) {
	f := testFleet("self", 1)
	if f.IsSilentSince(start.Add(defaultSilenceLimit), start, "t0", f.SilenceLimit(start, Work{Service: "llm"}), 0) {
		t.Error("the target counts as silent when the limit has just been reached, want not silent")
	}
	late := start.Add(defaultSilenceLimit + time.Millisecond)
	if !f.IsSilentSince(late, start, "t0", f.SilenceLimit(start, Work{Service: "llm"}), 0) {
		t.Error("the target does not count as silent 1 ms after the limit, want silent")
	}
	f.RecordActivity(late, "t0")
	if f.IsSilentSince(late.Add(defaultSilenceLimit), start, "t0", f.SilenceLimit(start, Work{Service: "llm"}), 0) {
		t.Error("the target counts as silent though it has sent something within the limit, want not silent")
	}
}

// Guards against a full target that looks free. That happens when its load becomes negative, because the end
// of a request is counted without its start.
func TestLoadsAreNeverNegative(t *testing.T) {
	f := testFleet("self", 1)
	f.End(start, "t0", structs.ClassOnline)
	f.Begin(start, "t0", structs.ClassOnline)
	if got := f.OwnLoadAt("t0"); got != (Load{Online: 1}) {
		t.Errorf("after the end of an uncounted request and the start of another the load is %+v, want 1 online request and no batch item", got)
	}
	f.Remove("t0")
	f.End(start, "t0", structs.ClassOnline)
	if got := f.OwnLoads(); len(got) != 0 {
		t.Errorf("loads %v after the only target was removed, want none", got)
	}
}

// Guards against wasted starts. They happen when all gateways start an item in the same free slot, and all
// but one preempt it again.
func TestGatewaysStaggerStartsAtAFreeSlot(t *testing.T) {
	demands := map[Peer]Demand{"a": {Items: 3, StartKey: 200}, "b": {Items: 1, StartKey: 100}, "c": {}}
	pick := func(self Peer, freeSlots int, freeFor time.Duration) bool {
		f := testFleet(self, 1)
		f.SetDemand(demands[self])
		begin(f, "t0", structs.ClassOnline, testSlots)
		for peer, d := range demands {
			if peer != self {
				f.ApplyReport(start, peer, Report{Demand: d})
			}
		}
		for range freeSlots {
			f.End(start, "t0", structs.ClassOnline)
		}
		_, ok := f.PickBatch(start.Add(freeFor), Work{Service: "llm"})
		return ok
	}
	cases := []struct {
		self      Peer
		freeSlots int
		freeFor   time.Duration
		want      bool
	}{
		{"b", 1, 0, true}, // its item is due first
		{"a", 1, 0, false},
		{"a", 2, 0, true}, // the first slot is left to gateway b
		{"a", 1, staggerInterval, true},
		{"a", 0, staggerInterval, false},
	}
	for _, c := range cases {
		if got := pick(c.self, c.freeSlots, c.freeFor); got != c.want {
			t.Errorf("whether gateway %s may start an item while %d slots have been free for %v: got %v, want the opposite", c.self, c.freeSlots, c.freeFor, got)
		}
	}
}

// The load of a target is the sum of the peers' latest reports, regardless of earlier reports and of whether
// the target is added before or after the reports.
func TestPeerLoadsMatchTheLatestReports(t *testing.T) {
	f := testFleet("self", 1)
	f.ApplyReport(start, "a", Report{Loads: map[string]Load{"t0": {Online: 1, Batch: 2}, "t1": {Online: 3}}})
	f.ApplyReport(start, "b", Report{Loads: map[string]Load{"t0": {Online: 1}}})
	f.ApplyReport(start, "a", Report{Loads: map[string]Load{"t0": {Batch: 1}, "t1": {Online: 2}}})
	f.Put(target(1))
	if got := f.targets["t0"].totalLoad(); got != (Load{Online: 1, Batch: 1}) {
		t.Errorf("the load of t0 is %+v, want 1 online request and 1 batch item", got)
	}
	if got := f.targets["t1"].totalLoad(); got != (Load{Online: 2}) {
		t.Errorf("the load of t1, which was added after the reports, is %+v, want 2 online requests and no batch item", got)
	}
	f.ApplyReport(start.Add(2*time.Second), "b", Report{})
	if got := f.targets["t1"].totalLoad(); got != (Load{}) {
		t.Errorf("after the expiry of peer a the load of t1 is %+v, want 0 online requests and 0 batch items", got)
	}
}

// The store counts as down for the peers if there are live peers and none of them has reached it more than
// storeContactTolerance after this gateway last did. Otherwise a peer may have written a change to the store
// that this gateway has not read, and batch items must not start.
func TestIsStoreDownForPeers(t *testing.T) {
	f := testFleet("self", 1)
	f.RecordStoreContact(start)
	now := start.Add(5 * time.Second)
	if f.IsStoreDownForPeers(now) {
		t.Error("without a live peer the store counts as down for the peers, want not down: this gateway may be the one that is cut off")
	}
	f.ApplyReport(now, "a", Report{StoreContact: start.Add(100 * time.Millisecond)})
	if !f.IsStoreDownForPeers(now) {
		t.Error("the store does not count as down though the only peer reached it no more than 1.2s after this gateway did, want down")
	}
	f.ApplyReport(now, "b", Report{StoreContact: now.Add(-time.Second)})
	if f.IsStoreDownForPeers(now) {
		t.Error("the store counts as down though a peer reached it a second ago, want not down")
	}
}

// Guards against false suspicion of a busy target. It happens when a request that waits in the target's queue
// and therefore receives nothing counts as silence of the target.
func TestQueuedRequestIsNotSilence(t *testing.T) {
	f := testFleet("self", 1)
	f.ApplyReport(start, "peer", Report{Loads: map[string]Load{"t0": {Online: 2*testSlots - 1}}})
	f.Begin(start, "t0", structs.ClassOnline)
	late := start.Add(defaultSilenceLimit + defaultHoldTime/2)
	if f.IsSilentSince(late, start, "t0", f.SilenceLimit(start, Work{Service: "llm"}), 0) {
		t.Error("a target with a full queue counts as silent before its queue can have been served, want not silent")
	}
	if !f.IsSilentSince(start.Add(defaultSilenceLimit+defaultHoldTime+time.Millisecond), start, "t0", f.SilenceLimit(start, Work{Service: "llm"}), 0) {
		t.Error("a target that sends nothing does not count as silent after its queue should have been served, want silent")
	}
}

// Traffic between failure domains is costly: a target of the gateway's own domain that has a free slot is
// preferred to one of another domain with fewer than batchDomainBonus more free slots.
func TestBatchItemsPreferTheOwnDomain(t *testing.T) {
	cases := []struct {
		ownDomain, otherDomain int // online requests at the target in each domain
		want                   string
	}{
		{0, 0, "t0"}, {1, 0, "t0"}, {2, 0, "t0"}, {testSlots, 0, "t1"}, {testSlots, testSlots - 1, "t1"}, {testSlots - 1, testSlots, "t0"},
	}
	for _, c := range cases {
		f := testFleet("self", 2)
		begin(f, "t0", structs.ClassOnline, c.ownDomain)
		begin(f, "t1", structs.ClassOnline, c.otherDomain)
		if got, ok := f.PickBatch(start, Work{Service: "llm"}); !ok || got.Target.ID != c.want {
			t.Errorf("with %d of 4 slots taken at t0 in the own domain and %d of 4 at t1 in another: choice %s (found: %v), want t1 if t0 has no free slot and t0 otherwise", c.ownDomain, c.otherDomain, got.Target.ID, ok)
		}
	}
}

// Guards against late detection of a dead target. It happens when each gateway needs a failed request of its
// own and does not use its peers' reports.
func TestPeerSuspicionIsApplied(t *testing.T) {
	report := Report{Suspects: []string{"t0"}}
	pick := func(f *Fleet, now time.Time) string {
		c, _ := f.PickOnline(now, Work{Service: "llm"}, nil)
		return c.Target.ID
	}
	f := testFleet("self", 2)
	f.RecordActivity(start.Add(-minSilenceForPeerReport), "t0")
	f.ApplyReport(start, "peer", report)
	if got := pick(f, start); got != "t1" {
		t.Errorf("after a peer's suspicion of t0 the next request goes to %s, want t1", got)
	}
	if got := f.Report(start).Suspects; len(got) != 0 {
		t.Errorf("this gateway reports suspects %v after a peer's suspicion, want none", got)
	}
	if !f.IsSilentSince(start.Add(defaultSilenceLimit/2+time.Millisecond), start, "t0", f.SilenceLimit(start, Work{Service: "llm"}), 0) {
		t.Error("after a peer's suspicion t0 does not count as silent 1 ms after half of the silence limit, want silent")
	}
	later := start.Add(minSuspectTime)
	f.ApplyReport(later, "peer", report)
	f.RecordActivity(later, "t0")
	if got := pick(f, later); got != "t0" {
		t.Errorf("after activity of t0 the next request goes to %s, want t0", got)
	}
	f = testFleet("self", 2)
	f.RecordActivity(start.Add(-minSilenceForPeerReport/2), "t0")
	f.ApplyReport(start, "peer", report)
	if got := pick(f, start); got != "t0" {
		t.Errorf("after a peer's suspicion of t0, which has just sent something, the next request goes to %s, want t0", got)
	}
	f.RecordFailure(start, "t0")
	if got := f.Report(start).Suspects; len(got) != 1 || got[0] != "t0" {
		t.Errorf("after a failure of t0 this gateway reports suspects %v, want t0", got)
	}
}

// Guards against targets that stay unused after one failure, for as long as another target is healthy, while requests are
// rejected because that one is full.
func TestTargetOnProbationIsTriedWhileHealthyOnesAreFull(t *testing.T) {
	repeatable, once := Work{Service: "llm", IsRepeatable: true}, Work{Service: "llm"}
	f := testFleet("self", 2)
	f.RecordFailure(start, "t0")
	f.RecordRenewal(start.Add(minRenewalAge/2), "t0") // it may have been written before the failure
	later := start.Add(minRenewalAge + probationInterval)
	if c, _ := f.PickOnline(later, repeatable, nil); c.Target.ID != "t1" {
		t.Errorf("picked %q while t1 is healthy and has slots, want t1", c.Target.ID)
	}
	for range testSlots {
		f.Begin(later, "t1", structs.ClassOnline)
	}
	if c, _ := f.PickOnline(start.Add(minSuspectTime/2), repeatable, nil); c.Target.ID != "t1" {
		t.Errorf("picked %q while t0 is suspect, want t1", c.Target.ID)
	}
	if c, _ := f.PickOnline(later, repeatable, nil); c.Target.ID != "t1" {
		t.Errorf("picked %q while t0 has not renewed its entry, want t1", c.Target.ID)
	}
	if c, _ := f.PickOnline(start.Add(minSuspectTime+maxProbation), repeatable, nil); c.Target.ID != "t0" {
		t.Errorf("picked %q though t0 has been on probation for %v, want t0", c.Target.ID, maxProbation)
	}
	f.RecordRenewal(later, "t0")
	if c, _ := f.PickOnline(later, once, nil); c.Target.ID != "t1" {
		t.Errorf("picked %q for a request that may not run again, want t1", c.Target.ID)
	}
	if c, _ := f.PickOnline(later, repeatable, nil); c.Target.ID != "t0" || c.IsQueued() {
		t.Errorf("picked %q while t1 is full, want t0, which is on probation", c.Target.ID)
	}
	f.Begin(later, "t0", structs.ClassOnline)
	if c, _ := f.PickOnline(later.Add(probationInterval/2), repeatable, nil); c.Target.ID != "t1" {
		t.Errorf("picked %q soon after a trial of t0, want t1: one request at a time shows whether t0 is healthy", c.Target.ID)
	}
	if c, _ := f.PickOnline(later.Add(2*probationInterval), repeatable, nil); c.Target.ID != "t0" {
		t.Errorf("picked %q long after a trial of t0, want t0", c.Target.ID)
	}
}
