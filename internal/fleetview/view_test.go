package fleetview

import (
	"slices"
	"testing"
	"time"

	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
)

func newView(slots int) *View {
	v := New(fleet.Options{Self: "self", PeerTTL: time.Minute})
	v.Put([]serving.Target{{ID: "t", Service: "s", Slots: slots}}, nil)
	return v
}

// An online request that finds all slots taken preempts one batch run: the youngest, since the oldest is
// closest to completion. A preempted run that is not done yet counts, so that no second run is preempted.
func TestOnlinePreemptsYoungestBatchRun(t *testing.T) {
	v := newView(2)
	var preempted []int
	var runs []*Run
	for i := range 2 {
		r, ok := v.StartBatch("s", 0, nil, func() { preempted = append(preempted, i) })
		if !ok {
			t.Fatal("no free slot")
		}
		runs = append(runs, r)
	}
	if _, ok := v.StartBatch("s", 0, nil, func() {}); ok {
		t.Error("a third item started in two slots")
	}
	online, ok := v.StartOnline("s", nil)
	if !ok || len(preempted) != 1 || preempted[0] != 1 {
		t.Fatalf("preempted %v", preempted)
	}
	v.ApplyReport("peer", fleet.Report{})
	if len(preempted) != 1 {
		t.Errorf("preempted %v although one is not done yet", preempted)
	}
	runs[1].Done()
	runs[1].Done()
	v.ApplyReport("peer", fleet.Report{})
	if len(preempted) != 1 || v.Report().Loads["t"] != (fleet.Load{Online: 1, Batch: 1}) {
		t.Errorf("preempted %v, load %+v", preempted, v.Report().Loads["t"])
	}
	online.Done()
	runs[0].Done()
	if len(v.Report().Loads) != 0 {
		t.Errorf("loads %v", v.Report().Loads)
	}
}

func TestFailedTargetHasBatchRunsPreempted(t *testing.T) {
	v := newView(4)
	preempted := 0
	for range 3 {
		if _, ok := v.StartBatch("s", 0, nil, func() { preempted++ }); !ok {
			t.Fatal("no free slot")
		}
	}
	r, ok := v.StartOnline("s", nil)
	if !ok || !r.Failed() || preempted != 3 {
		t.Errorf("%d of 3 items were preempted", preempted)
	}
}

func TestChangesSendSignals(t *testing.T) {
	v := newView(1)
	<-v.Freed() // from adding the target
	r, _ := v.StartOnline("s", nil)
	<-v.Changed()
	r.Done()
	<-v.Changed()
	<-v.Freed()
}

// Guards against priority inversion: an item of an urgent route is preempted while a less urgent one
// continues.
func TestLeastUrgentRunIsPreemptedFirst(t *testing.T) {
	v := newView(3)
	var preempted []int
	for i, rank := range []int{1, 2, 1} {
		if _, ok := v.StartBatch("s", rank, nil, func() { preempted = append(preempted, i) }); !ok {
			t.Fatal("no free slot")
		}
	}
	for range 3 {
		if _, ok := v.StartOnline("s", nil); !ok {
			t.Fatal("no target")
		}
	}
	if !slices.Equal(preempted, []int{1, 2, 0}) {
		t.Errorf("preempted %v", preempted)
	}
}
