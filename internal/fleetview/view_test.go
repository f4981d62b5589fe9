package fleetview

import (
	"slices"
	"testing"
	"time"

	"arbutusramp/core/fleet"
	"arbutusramp/core/policy"
	"arbutusramp/core/serving"
)

// newView returns a view with one target "t" of service "s" that has the given number of slots.
func newView(slots int) *View {
	v := New(fleet.Options{Self: "self", PeerTTL: time.Minute})
	v.UpdateTargets([]serving.Target{{ID: "t", Service: "s", Slots: slots}}, nil)
	return v
}

// An online request that finds all slots taken preempts one batch run: the youngest, since the oldest is
// closest to completion. While the preempted run is not done yet, no second run is preempted.
func TestOnlinePreemptsYoungestBatchRun(t *testing.T) {
	v := newView(2)
	var preempted []int
	var runs []*Run
	for i := range 2 {
		r, ok := v.StartBatch(fleet.Work{Service: "s"}, 0, func() { preempted = append(preempted, i) })
		if !ok {
			t.Fatal("no free slot for a batch run")
		}
		runs = append(runs, r)
	}
	if _, ok := v.StartBatch(fleet.Work{Service: "s"}, 0, func() {}); ok {
		t.Error("a third batch run started at a target with 2 slots")
	}
	online, ok := v.StartOnline(fleet.Work{Service: "s"}, nil)
	if !ok || len(preempted) != 1 || preempted[0] != 1 {
		t.Fatalf("online request at a full target: preempted runs %v, want a target and [1], the younger of two", preempted)
	}
	// After each report the view decides again which runs must be preempted.
	v.ApplyReport("peer", fleet.Report{})
	if len(preempted) != 1 {
		t.Errorf("preempted runs %v after a report while run 1 is not done yet, want only [1]", preempted)
	}
	runs[1].Done()
	runs[1].Done() // must not release a second slot
	v.ApplyReport("peer", fleet.Report{})
	if len(preempted) != 1 || v.Report().Loads["t"] != (fleet.Load{Online: 1, Batch: 1}) {
		t.Errorf("after run 1 is done: preempted runs %v and load %+v, want [1] and 1 online and 1 batch run", preempted, v.Report().Loads["t"])
	}
	online.Done()
	runs[0].Done()
	if len(v.Report().Loads) != 0 {
		t.Errorf("loads %v after all runs are done, want none", v.Report().Loads)
	}
}

// A target that fails an online request becomes suspect, and its batch runs are preempted.
func TestFailedTargetHasBatchRunsPreempted(t *testing.T) {
	v := newView(4)
	preempted := 0
	for range 3 {
		if _, ok := v.StartBatch(fleet.Work{Service: "s"}, 0, func() { preempted++ }); !ok {
			t.Fatal("no free slot for a batch run")
		}
	}
	r, ok := v.StartOnline(fleet.Work{Service: "s"}, nil)
	if !ok || !r.RecordFailure() || preempted != 3 {
		t.Errorf("failed online run at a target with 3 batch runs: %d were preempted, want a suspect target and 3", preempted)
	}
}

// The test blocks forever, and so fails, if a signal is missing.
func TestChangesSendSignals(t *testing.T) {
	v := newView(1)
	<-v.SlotFreed() // from adding the target
	r, _ := v.StartOnline(fleet.Work{Service: "s"}, nil)
	<-v.LoadsChanged()
	r.Done()
	<-v.LoadsChanged()
	<-v.SlotFreed()
}

// Guards against priority inversion: a batch run of an urgent route is preempted while a less urgent one, with
// a higher rank, continues.
func TestLeastUrgentRunIsPreemptedFirst(t *testing.T) {
	v := newView(3)
	var preempted []int
	for i, rank := range []int{1, 2, 1} {
		if _, ok := v.StartBatch(fleet.Work{Service: "s"}, rank, func() { preempted = append(preempted, i) }); !ok {
			t.Fatal("no free slot for a batch run")
		}
	}
	for range 3 {
		if _, ok := v.StartOnline(fleet.Work{Service: "s"}, nil); !ok {
			t.Fatal("no target for an online request")
		}
	}
	if !slices.Equal(preempted, []int{1, 2, 0}) {
		t.Errorf("runs preempted in order %v, want [1 2 0]", preempted)
	}
}

// Guards against work that is repeated: where costs are predicted, the run without an event is preempted first, then the one
// that has gained least since its last saved event relative to what is left; a run that is nearly complete is the last.
func TestRunThatLosesLeastIsPreemptedFirst(t *testing.T) {
	v := New(fleet.Options{Self: "self", PeerTTL: time.Minute, ExpectedTime: fleet.ExpectedTimeOn, Disabled: policy.Disabled{policy.DemandForecast: true}})
	v.UpdateTargets([]serving.Target{{ID: "t", Service: "s", Slots: 4}}, nil)
	var preempted []int
	for i, progress := range [][2]int{{50, 10}, {0, 0}, {2, 300}, {90, 300}} {
		r, ok := v.StartBatch(fleet.Work{Service: "s"}, 0, func() { preempted = append(preempted, i) })
		if !ok {
			t.Fatal("no free slot for a batch run")
		}
		if progress[0] > 0 {
			r.RecordEvent()
			r.RecordProgress(progress[0], progress[1])
		}
	}
	for range 4 {
		if _, ok := v.StartOnline(fleet.Work{Service: "s"}, nil); !ok {
			t.Fatal("no target for an online request")
		}
	}
	if !slices.Equal(preempted, []int{1, 2, 3, 0}) {
		t.Errorf("runs preempted in order %v, want [1 2 3 0]", preempted)
	}
}
