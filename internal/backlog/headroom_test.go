package backlog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/backlog"
	"arbutusramp/core/fleet"
)

// withCostAwareProcess runs f in virtual time with one process that predicts the costs of requests.
func withCostAwareProcess(t *testing.T, f func(cl *cluster, n *node)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 0)
		defer cl.stopAll()
		cl.expectedTime = fleet.ExpectedTimeOn
		n := cl.start("node-0")
		time.Sleep(2 * time.Second)
		f(cl, n)
	})
}

// counter returns the value of a counter of the process.
func (n *node) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.manager.registry).Count()
}

// Guards against items that start in an overload of the online requests, that never start after it, or whose deferral
// is counted with each look at the free slots.
func TestItemsWaitForTheEndOfAnOverload(t *testing.T) {
	withCostAwareProcess(t, func(cl *cluster, n *node) {
		n.fleet.NoteOverload("llm")
		j := cl.job("j", "ok", "ok")
		n.submit(j)
		for range 20 {
			n.fleet.NoteOverload("llm")
			time.Sleep(100 * time.Millisecond)
		}
		if running := n.manager.Counts().RunningItems; running != 0 {
			t.Errorf("%d items run in the overload, want none", running)
		}
		cl.checkResults(j, n.results(j, 10*time.Second))
		if got := n.counter("batch.starts_deferred.overload"); got != 1 {
			t.Errorf("%d deferrals for the overload are counted, want 1 for the first item in order", got)
		}
	})
}

// Guards against an urgent item that waits behind one of a more urgent rank that is deferred, and so misses its due time.
func TestUrgentItemStartsBesideADeferredOne(t *testing.T) {
	withCostAwareProcess(t, func(cl *cluster, n *node) {
		urgent := cl.job("urgent", "ok")
		urgent.DueWithin, urgent.Rank = 3*time.Second, 1
		other := cl.job("other", "ok")
		n.fleet.NoteOverload("llm")
		n.submit(other)
		n.submit(urgent)
		for range 25 {
			n.fleet.NoteOverload("llm")
			time.Sleep(100 * time.Millisecond)
		}
		if got := n.results(urgent, time.Millisecond); len(got) != 1 {
			t.Errorf("%d results of the urgent job in the overload, want 1", len(got))
		}
		if got := n.results(other, time.Millisecond); len(got) != 0 {
			t.Errorf("%d results of the other job in the overload, want none", len(got))
		}
	})
}

// Guards against runs that are preempted before their first event and don't show in the metrics.
func TestRunsCutWithoutGainAreCounted(t *testing.T) {
	withCostAwareProcess(t, func(cl *cluster, n *node) {
		j := cl.job("j", "ok")
		n.submit(j)
		for n.manager.Counts().RunningItems == 0 {
			time.Sleep(time.Millisecond)
		}
		var online []interface{ Done() }
		for range 3 * 8 {
			r, _ := n.fleet.StartOnline(fleet.Work{Service: "llm"}, nil)
			online = append(online, r)
		}
		time.Sleep(100 * time.Millisecond)
		for _, r := range online {
			r.Done()
		}
		cl.checkResults(j, n.results(j, 10*time.Second))
		if got := n.counter("batch.cut_without_gain"); got != 1 {
			t.Errorf("%d runs cut without gain are counted, want 1", got)
		}
	})
}

// Guards against a log line for each look at a deferred item, and against none for an item that waits for long.
func TestLongDeferralIsLoggedOnce(t *testing.T) {
	var list []bool
	tk, now := &task{job: &backlog.Job{}}, time.UnixMilli(0)
	for step := range 40 {
		_, isLong, _ := tk.noteDeferral(now.Add(time.Duration(step)*100*time.Millisecond), fleet.DeferredForHeadroom)
		if isLong {
			list = append(list, isLong)
		}
	}
	if age := tk.takeDeferral(now.Add(4 * time.Second)); len(list) != 1 || age != 4*time.Second || tk.takeDeferral(now) != 0 {
		t.Errorf("%d log lines for a deferral of %v, want 1 for one of 4 s", len(list), age)
	}
}
