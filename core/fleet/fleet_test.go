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

func testFleet(self Peer, targets int) *Fleet {
	f := New(Options{Domain: "d0", Self: self, PeerTTL: time.Second})
	for i := range targets {
		f.Put(target(i))
	}
	return f
}

func target(i int) serving.Target {
	return serving.Target{ID: fmt.Sprintf("t%d", i), Service: "llm", Domain: fmt.Sprintf("d%d", i), Slots: testSlots}
}

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
		{name: "the own failure domain among equal targets", want: "t0"},
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
			d := target(0)
			d.Draining = true
			f.Put(d)
			begin(f, "t1", structs.ClassOnline, 1)
		}, want: "t2"},
		{name: "not a target already tried", tried: []string{"t0", "t1"}, want: "t2"},
		{name: "not a suspect target", setup: func(f *Fleet) { f.Failed(start, "t0"); f.Failed(start, "t1") }, want: "t2"},
		{name: "a suspect target when no other is left", setup: func(f *Fleet) { f.Failed(start, "t2") },
			tried: []string{"t0", "t1"}, want: "t2"},
		{name: "none", tried: []string{"t0", "t1", "t2"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := testFleet("self", 3)
			if c.setup != nil {
				c.setup(f)
			}
			got, ok := f.PickOnline(start, "llm", c.tried)
			if ok != (c.want != "") || got.Target.ID != c.want {
				t.Errorf("got %q, want %q", got.Target.ID, c.want)
			}
		})
	}
	if _, ok := testFleet("self", 1).PickOnline(start, "other", nil); ok {
		t.Error("a target of another service was picked")
	}
}

func TestPickBatchFillsFreeSlotsOnly(t *testing.T) {
	f := testFleet("self", 2)
	for range 2 * testSlots {
		got, ok := f.PickBatch(start, "llm", nil)
		if !ok {
			t.Fatal("no target though slots are free")
		}
		f.Begin(start, got.Target.ID, structs.ClassBatch)
	}
	if got, ok := f.PickBatch(start, "llm", nil); ok {
		t.Errorf("picked %s though all slots are taken", got)
	}
	if n := f.OwnAt("t0").Batch; n != testSlots {
		t.Errorf("%d items at the first of two equal targets, want %d", n, testSlots)
	}
}

// Guards against head-of-line blocking, and against needless preemption: gateways that each preempt none of
// the excess or all of it.
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
				l := Load{Batch: items[peer]}
				if peer == "c" {
					l.Online = online
				}
				f.ApplyReport(start, peer, Report{Loads: map[string]Load{"t0": l}})
			}
			if self == "c" {
				begin(f, "t0", structs.ClassOnline, online)
			}
			n := f.Preempt(start)["t0"]
			if n > items[self] {
				t.Errorf("%s preempts %d of its %d items", self, n, items[self])
			}
			preempted += n
		}
		want := max(0, online+3-testSlots)
		if preempted != min(want, 3) {
			t.Errorf("with %d online requests %d items were preempted, want %d", online, preempted, want)
		}
	}
}

func TestPreemptClearsDrainingAndSuspectTargets(t *testing.T) {
	f := testFleet("self", 2)
	begin(f, "t0", structs.ClassBatch, 2)
	begin(f, "t1", structs.ClassBatch, 1)
	if preempted := f.Preempt(start); len(preempted) != 0 {
		t.Errorf("preempted %v without a cause", preempted)
	}
	d := target(0)
	d.Draining = true
	f.Put(d)
	f.Failed(start, "t1")
	preempted := f.Preempt(start)
	if preempted["t0"] != 2 || preempted["t1"] != 1 {
		t.Errorf("preempted %v", preempted)
	}
}

func TestActivityEndsSuspicion(t *testing.T) {
	f := testFleet("self", 1)
	if !f.Failed(start, "t0") || f.Failed(start, "t0") {
		t.Error("the first failure must make the target suspect, and the next one within the suspicion must not")
	}
	if _, ok := f.PickBatch(start, "llm", nil); ok {
		t.Error("a batch item was sent to a suspect target")
	}
	later := start.Add(minSuspectTime)
	if _, ok := f.PickBatch(later, "llm", nil); !ok {
		t.Error("no batch item was sent to a target on probation")
	}
	f.Begin(later, "t0", structs.ClassBatch)
	if _, ok := f.PickBatch(later, "llm", nil); ok {
		t.Error("a second batch item was sent while the first one is on probation")
	}
	if !f.Failed(later, "t0") {
		t.Error("a failure on probation does not make the target suspect")
	}
	if _, ok := f.PickBatch(later.Add(minSuspectTime), "llm", nil); ok {
		t.Error("the second suspicion is not longer than the first")
	}
	f.NoteActivity(later, "t0")
	if _, ok := f.PickBatch(later, "llm", nil); !ok {
		t.Error("no batch item for a target that has just answered")
	}
}

func TestSilence(t *testing.T) {
	f := testFleet("self", 1)
	if f.IsIdleSince(start.Add(defaultSilenceLimit), start, "t0") {
		t.Error("silent before the limit")
	}
	late := start.Add(defaultSilenceLimit + time.Millisecond)
	if !f.IsIdleSince(late, start, "t0") {
		t.Error("not silent after the limit")
	}
	f.NoteActivity(late, "t0")
	if f.IsIdleSince(late.Add(defaultSilenceLimit), start, "t0") {
		t.Error("silent though it has answered another request")
	}
}

// Guards against a load that is decremented more often than incremented, which makes a full target look free.
func TestLoadsAreNeverNegative(t *testing.T) {
	f := testFleet("self", 1)
	f.End(start, "t0", structs.ClassOnline)
	f.Begin(start, "t0", structs.ClassOnline)
	if got := f.OwnAt("t0"); got != (Load{Online: 1}) {
		t.Errorf("load %+v", got)
	}
	f.Remove("t0")
	f.End(start, "t0", structs.ClassOnline)
	if got := f.Own(); len(got) != 0 {
		t.Errorf("loads %v of removed targets", got)
	}
}

// Guards against wasted starts: all gateways start an item in the same free slot, and all but one preempt it
// again.
func TestGatewaysStaggerStartsAtAFreeSlot(t *testing.T) {
	demands := map[Peer]Demand{"a": {Items: 3, Due: 200}, "b": {Items: 1, Due: 100}, "c": {}}
	pick := func(self Peer, freeSlots int, after time.Duration) bool {
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
		_, ok := f.PickBatch(start.Add(after), "llm", nil)
		return ok
	}
	cases := []struct {
		self      Peer
		freeSlots int
		after     time.Duration
		want      bool
	}{
		{"b", 1, 0, true}, // its item is due first
		{"a", 1, 0, false},
		{"a", 2, 0, true}, // the second slot is its own
		{"a", 1, staggerInterval, true},
		{"a", 0, staggerInterval, false},
	}
	for _, c := range cases {
		if got := pick(c.self, c.freeSlots, c.after); got != c.want {
			t.Errorf("%s with %d free slots after %v: %v", c.self, c.freeSlots, c.after, got)
		}
	}
}

// The sums over peers match the latest reports, regardless of earlier reports and of the order in which
// targets and peers are added.
func TestPeerLoadsMatchTheLatestReports(t *testing.T) {
	f := testFleet("self", 1)
	f.ApplyReport(start, "a", Report{Loads: map[string]Load{"t0": {Online: 1, Batch: 2}, "t1": {Online: 3}}})
	f.ApplyReport(start, "b", Report{Loads: map[string]Load{"t0": {Online: 1}}})
	f.ApplyReport(start, "a", Report{Loads: map[string]Load{"t0": {Batch: 1}, "t1": {Online: 2}}})
	f.Put(target(1))
	if got := f.targets["t0"].totalLoad(); got != (Load{Online: 1, Batch: 1}) {
		t.Errorf("t0 has %+v", got)
	}
	if got := f.targets["t1"].totalLoad(); got != (Load{Online: 2}) {
		t.Errorf("t1, which was added later, has %+v", got)
	}
	f.ApplyReport(start.Add(2*time.Second), "b", Report{})
	if got := f.targets["t1"].totalLoad(); got != (Load{}) {
		t.Errorf("after the expiry of peer a t1 has %+v", got)
	}
}

// Batch items may start without the store only while no other gateway can have committed a decision there.
func TestStoreDownForAll(t *testing.T) {
	f := testFleet("self", 1)
	f.SetContact(start)
	now := start.Add(5 * time.Second)
	if f.StoreDownForAll(now) {
		t.Error("without a live peer this gateway may be the one that is cut off")
	}
	f.ApplyReport(now, "a", Report{Contact: start.Add(100 * time.Millisecond)})
	if !f.StoreDownForAll(now) {
		t.Error("no peer has reached the store since this gateway did")
	}
	f.ApplyReport(now, "b", Report{Contact: now.Add(-time.Second)})
	if f.StoreDownForAll(now) {
		t.Error("a peer has just reached the store")
	}
}

// Guards against false suspicion: a request in the queue of a busy target receives nothing, which is not a
// failure.
func TestQueuedRequestIsNotSilence(t *testing.T) {
	f := testFleet("self", 1)
	f.ApplyReport(start, "peer", Report{Loads: map[string]Load{"t0": {Online: 2*testSlots - 1}}})
	f.Begin(start, "t0", structs.ClassOnline)
	late := start.Add(defaultSilenceLimit + defaultHoldTime/2)
	if f.IsIdleSince(late, start, "t0") {
		t.Error("a target with a full queue counts as silent before its queue has been served")
	}
	if !f.IsIdleSince(start.Add(defaultSilenceLimit+defaultHoldTime+time.Millisecond), start, "t0") {
		t.Error("a target that sends nothing at all is never silent")
	}
}

// Traffic between failure domains is costly: an item goes to a target of the gateway's own domain unless
// another has clearly more free slots.
func TestBatchItemsPreferTheOwnDomain(t *testing.T) {
	cases := []struct {
		ownDomain, otherDomain int // requests at the targets
		want                   string
	}{
		{0, 0, "t0"}, {1, 0, "t0"}, {2, 0, "t0"}, {testSlots, 0, "t1"}, {testSlots, testSlots - 1, "t1"}, {testSlots - 1, testSlots, "t0"},
	}
	for _, c := range cases {
		f := testFleet("self", 2)
		begin(f, "t0", structs.ClassOnline, c.ownDomain)
		begin(f, "t1", structs.ClassOnline, c.otherDomain)
		if got, ok := f.PickBatch(start, "llm", nil); !ok || got.Target.ID != c.want {
			t.Errorf("with %d in the own domain and %d in the other: %s, %v", c.ownDomain, c.otherDomain, got.Target.ID, ok)
		}
	}
}

// Guards against late detection: each gateway needs a failed request of its own to detect a dead target.
func TestPeerSuspicionIsApplied(t *testing.T) {
	report := Report{Suspects: []string{"t0"}}
	pick := func(f *Fleet, now time.Time) string {
		c, _ := f.PickOnline(now, "llm", nil)
		return c.Target.ID
	}
	f := testFleet("self", 2)
	f.NoteActivity(start.Add(-minSilenceForPeerReport), "t0")
	f.ApplyReport(start, "peer", report)
	if got := pick(f, start); got != "t1" {
		t.Errorf("the next request goes to %s", got)
	}
	if got := f.Report(start).Suspects; len(got) != 0 {
		t.Errorf("a peer's suspicion is forwarded: %v", got)
	}
	if !f.IsIdleSince(start.Add(defaultSilenceLimit/2+time.Millisecond), start, "t0") {
		t.Error("the silence limit is the same as without the peer's suspicion")
	}
	later := start.Add(minSuspectTime)
	f.ApplyReport(later, "peer", report)
	f.NoteActivity(later, "t0")
	if got := pick(f, later); got != "t0" {
		t.Errorf("after activity the next request goes to %s", got)
	}
	f = testFleet("self", 2)
	f.NoteActivity(start.Add(-minSilenceForPeerReport/2), "t0")
	f.ApplyReport(start, "peer", report)
	if got := pick(f, start); got != "t0" {
		t.Errorf("though the target has just answered, the next request goes to %s", got)
	}
	f.Failed(start, "t0")
	if got := f.Report(start).Suspects; len(got) != 1 || got[0] != "t0" {
		t.Errorf("own suspects %v", got)
	}
}
