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
		{name: "the own failure domain among equals", want: "t0"},
		{name: "a free slot elsewhere before a full target", setup: func(f *Fleet) {
			begin(f, "t0", structs.ClassOnline, testSlots)
			begin(f, "t1", structs.ClassOnline, 1)
		}, want: "t2"},
		{name: "a full target whose batch items can make way before a queue", setup: func(f *Fleet) {
			begin(f, "t0", structs.ClassOnline, testSlots)
			begin(f, "t1", structs.ClassOnline, testSlots)
			begin(f, "t2", structs.ClassBatch, testSlots)
		}, want: "t2"},
		{name: "what peers have counts", setup: func(f *Fleet) {
			f.ApplyReport(start, "peer", Report{Loads: map[string]Load{"t0": {Online: testSlots}, "t1": {Online: testSlots}}})
		}, want: "t2"},
		{name: "a peer that has fallen silent does not count", setup: func(f *Fleet) {
			f.ApplyReport(start.Add(-2*time.Second), "peer", Report{Loads: map[string]Load{"t0": {Online: testSlots}}})
		}, want: "t0"},
		{name: "not a draining target", setup: func(f *Fleet) {
			d := target(0)
			d.Draining = true
			f.Put(d)
			begin(f, "t1", structs.ClassOnline, 1)
		}, want: "t2"},
		{name: "not one that was tried", tried: []string{"t0", "t1"}, want: "t2"},
		{name: "not a suspect one", setup: func(f *Fleet) { f.Failed(start, "t0"); f.Failed(start, "t1") }, want: "t2"},
		{name: "a suspect one when no other is left", setup: func(f *Fleet) { f.Failed(start, "t2") },
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
			t.Fatal("no room though slots are free")
		}
		f.Begin(start, got.Target.ID, structs.ClassBatch)
	}
	if got, ok := f.PickBatch(start, "llm", nil); ok {
		t.Errorf("room at %s though all slots are taken", got)
	}
	if n := f.OwnAt("t0").Batch; n != testSlots {
		t.Errorf("%d items at the first of two equal targets, want %d", n, testSlots)
	}
}

// Head-of-line blocking: gateways that each preempt all of the excess, or each none of it.
func TestGatewaysTogetherCutWhatIsNeeded(t *testing.T) {
	names := []Peer{"a", "b", "c"}
	items := map[Peer]int{"a": 2, "b": 1, "c": 0}
	for online := 0; online <= testSlots; online++ {
		cut := 0
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
				t.Errorf("%s cuts %d of its %d items", self, n, items[self])
			}
			cut += n
		}
		want := max(0, online+3-testSlots)
		if cut != min(want, 3) {
			t.Errorf("with %d online requests %d items were cut, want %d", online, cut, want)
		}
	}
}

func TestItemsLeaveATargetThatDrainsOrFails(t *testing.T) {
	f := testFleet("self", 2)
	begin(f, "t0", structs.ClassBatch, 2)
	begin(f, "t1", structs.ClassBatch, 1)
	if cuts := f.Preempt(start); len(cuts) != 0 {
		t.Errorf("cuts %v without a cause", cuts)
	}
	d := target(0)
	d.Draining = true
	f.Put(d)
	f.Failed(start, "t1")
	cuts := f.Preempt(start)
	if cuts["t0"] != 2 || cuts["t1"] != 1 {
		t.Errorf("cuts %v", cuts)
	}
}

func TestSuspicionEndsWithASignOfLife(t *testing.T) {
	f := testFleet("self", 1)
	if !f.Failed(start, "t0") || f.Failed(start, "t0") {
		t.Error("the first failure makes suspect, the next in the same time adds nothing")
	}
	if _, ok := f.PickBatch(start, "llm", nil); ok {
		t.Error("an item for a suspect target")
	}
	later := start.Add(suspectBase)
	if _, ok := f.PickBatch(later, "llm", nil); !ok {
		t.Error("no item tries a target on probation")
	}
	f.Begin(later, "t0", structs.ClassBatch)
	if _, ok := f.PickBatch(later, "llm", nil); ok {
		t.Error("a second item while the first still tries")
	}
	if !f.Failed(later, "t0") {
		t.Error("a failure on probation does not make suspect")
	}
	if _, ok := f.PickBatch(later.Add(suspectBase), "llm", nil); ok {
		t.Error("the second suspicion is not longer than the first")
	}
	f.NoteActivity(later, "t0")
	if _, ok := f.PickBatch(later, "llm", nil); !ok {
		t.Error("no item for a target that has just answered")
	}
}

func TestSilence(t *testing.T) {
	f := testFleet("self", 1)
	if f.IsIdleSince(start.Add(silenceLimit), start, "t0") {
		t.Error("silent before the limit")
	}
	late := start.Add(silenceLimit + time.Millisecond)
	if !f.IsIdleSince(late, start, "t0") {
		t.Error("not silent after the limit")
	}
	f.NoteActivity(late, "t0")
	if f.IsIdleSince(late.Add(silenceLimit), start, "t0") {
		t.Error("silent though it has answered somebody")
	}
}

// Loads that are counted down more often than up would let a target look free that is not.
func TestLoadsStayInBounds(t *testing.T) {
	f := testFleet("self", 1)
	f.End(start, "t0", structs.ClassOnline)
	f.Begin(start, "t0", structs.ClassOnline)
	if got := f.OwnAt("t0"); got != (Load{Online: 1}) {
		t.Errorf("load %+v", got)
	}
	f.Remove("t0")
	f.End(start, "t0", structs.ClassOnline)
	if got := f.Own(); len(got) != 0 {
		t.Errorf("loads %v of targets that are gone", got)
	}
}

// Wasted starts: all gateways start an item in the same free slot, and all but one preempt it again.
func TestGatewaysTakeTurnsAtAFreeSlot(t *testing.T) {
	wants := map[Peer]Demand{"a": {Items: 3, Due: 200}, "b": {Items: 1, Due: 100}, "c": {}}
	pick := func(self Peer, room int, after time.Duration) bool {
		f := testFleet(self, 1)
		f.SetDemand(wants[self])
		begin(f, "t0", structs.ClassOnline, testSlots)
		for peer, w := range wants {
			if peer != self {
				f.ApplyReport(start, peer, Report{Demand: w})
			}
		}
		for range room {
			f.End(start, "t0", structs.ClassOnline)
		}
		_, ok := f.PickBatch(start.Add(after), "llm", nil)
		return ok
	}
	cases := []struct {
		self  Peer
		room  int
		after time.Duration
		want  bool
	}{
		{"b", 1, 0, true}, // its item is due first
		{"a", 1, 0, false},
		{"a", 2, 0, true}, // the second slot is its own
		{"a", 1, staggerInterval, true},
		{"a", 0, staggerInterval, false},
	}
	for _, c := range cases {
		if got := pick(c.self, c.room, c.after); got != c.want {
			t.Errorf("%s with %d free slots after %v: %v", c.self, c.room, c.after, got)
		}
	}
}

// The sums over peers must be those of the last reports, whatever came before and whatever order
// targets and peers come in.
func TestSumsFollowTheLastReports(t *testing.T) {
	f := testFleet("self", 1)
	f.ApplyReport(start, "a", Report{Loads: map[string]Load{"t0": {Online: 1, Batch: 2}, "t1": {Online: 3}}})
	f.ApplyReport(start, "b", Report{Loads: map[string]Load{"t0": {Online: 1}}})
	f.ApplyReport(start, "a", Report{Loads: map[string]Load{"t0": {Batch: 1}, "t1": {Online: 2}}})
	f.Put(target(1))
	if got := f.nodes["t0"].load(); got != (Load{Online: 1, Batch: 1}) {
		t.Errorf("t0 has %+v", got)
	}
	if got := f.nodes["t1"].load(); got != (Load{Online: 2}) {
		t.Errorf("t1, which came later, has %+v", got)
	}
	f.ApplyReport(start.Add(2*time.Second), "b", Report{})
	if got := f.nodes["t1"].load(); got != (Load{}) {
		t.Errorf("after a fell silent t1 has %+v", got)
	}
}

// Items may start without the store only while nobody else can have agreed on anything there.
func TestStoreDownForAll(t *testing.T) {
	f := testFleet("self", 1)
	f.SetContact(start)
	now := start.Add(5 * time.Second)
	if f.StoreDownForAll(now) {
		t.Error("without a live peer this gateway may be the one that is cut off")
	}
	f.ApplyReport(now, "a", Report{Contact: start.Add(100 * time.Millisecond)})
	if !f.StoreDownForAll(now) {
		t.Error("no peer has reached the store for longer")
	}
	f.ApplyReport(now, "b", Report{Contact: now.Add(-time.Second)})
	if f.StoreDownForAll(now) {
		t.Error("a peer has just reached the store")
	}
}

// False suspicion: a request that waits in the queue of a busy target hears nothing, which is no sign of a failure.
func TestAQueueIsNotSilence(t *testing.T) {
	f := testFleet("self", 1)
	f.ApplyReport(start, "peer", Report{Loads: map[string]Load{"t0": {Online: 2*testSlots - 1}}})
	f.Begin(start, "t0", structs.ClassOnline)
	late := start.Add(silenceLimit + queueWait/2)
	if f.IsIdleSince(late, start, "t0") {
		t.Error("a target with a full queue counts as silent before its queue has passed")
	}
	if !f.IsIdleSince(start.Add(silenceLimit+queueWait+time.Millisecond), start, "t0") {
		t.Error("a target that sends nothing at all is never silent")
	}
}

// Bytes between failure domains cost: an item goes to a target of the own one unless another has clearly more room.
func TestBatchItemsStayInTheirDomainWhileThereIsRoom(t *testing.T) {
	cases := []struct {
		near, far int // requests that the targets have
		want      string
	}{
		{0, 0, "t0"}, {1, 0, "t0"}, {2, 0, "t0"}, {testSlots, 0, "t1"}, {testSlots, testSlots - 1, "t1"}, {testSlots - 1, testSlots, "t0"},
	}
	for _, c := range cases {
		f := testFleet("self", 2)
		begin(f, "t0", structs.ClassOnline, c.near)
		begin(f, "t1", structs.ClassOnline, c.far)
		if got, ok := f.PickBatch(start, "llm", nil); !ok || got.Target.ID != c.want {
			t.Errorf("with %d near and %d far: %s, %v", c.near, c.far, got.Target.ID, ok)
		}
	}
}

// Late detection: each gateway finds out by itself that a target has fallen dark.
func TestAPeersSuspicionIsHeeded(t *testing.T) {
	word := Report{Suspects: []string{"t0"}}
	pick := func(f *Fleet, now time.Time) string {
		c, _ := f.PickOnline(now, "llm", nil)
		return c.Target.ID
	}
	f := testFleet("self", 2)
	f.NoteActivity(start.Add(-hearsayAfter), "t0")
	f.ApplyReport(start, "peer", word)
	if got := pick(f, start); got != "t1" {
		t.Errorf("the next request goes to %s", got)
	}
	if got := f.Report(start).Suspects; len(got) != 0 {
		t.Errorf("hearsay is passed on: %v", got)
	}
	if !f.IsIdleSince(start.Add(silenceLimit/2+time.Millisecond), start, "t0") {
		t.Error("a request there waits as long as without the peer's word")
	}
	later := start.Add(suspectBase)
	f.ApplyReport(later, "peer", word)
	f.NoteActivity(later, "t0")
	if got := pick(f, later); got != "t0" {
		t.Errorf("after a sign of life the next request goes to %s", got)
	}
	f = testFleet("self", 2)
	f.NoteActivity(start.Add(-hearsayAfter/2), "t0")
	f.ApplyReport(start, "peer", word)
	if got := pick(f, start); got != "t0" {
		t.Errorf("a target that has just answered here: the next request goes to %s", got)
	}
	f.Failed(start, "t0")
	if got := f.Report(start).Suspects; len(got) != 1 || got[0] != "t0" {
		t.Errorf("own suspects %v", got)
	}
}
