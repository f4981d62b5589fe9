package backlog

import (
	"context"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/events"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
)

// targetsWith returns the ids of the targets of n with a version.
func (n *node) targetsWith(version string) (ids []string) {
	for _, t := range n.fleet.Targets() {
		if t.Version == version {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// startLongItem submits a job with one long item and returns it, with the version at which it runs, when it has had
// some events.
func (n *node) startLongItem() (j *backlog.Job, version string) {
	j = n.cl.job("a", "okay")
	n.submit(j)
	for n.cl.targets.runCount(j.Items[0].ID) == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(20 * eventInterval)
	loads := n.fleet.Report().Loads
	for _, t := range n.fleet.Targets() {
		if loads[t.ID].Batch > 0 {
			version = t.Version
		}
	}
	return j, version
}

// Guards against an item that waits for ever when no target of its version is left, and against a text that goes on at
// another version then.
func TestItemIsRestartedWhenItsVersionIsGone(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j, version := n.startLongItem()
		gone := n.targetsWith(version)
		n.fleet.UpdateTargets(nil, gone)
		n.fleet.EndTargets(gone)
		time.Sleep(retryDelay + time.Second)
		if from := cl.targets.lastResumedAfter(j.Items[0].ID); cl.targets.runCount(j.Items[0].ID) != 2 || from != "" || n.counter(restartedMetric) != 1 {
			t.Errorf("the item was run %d times, the last time after event %q, and restarted %d times; want 2 runs, the last from the start", cl.targets.runCount(j.Items[0].ID), from, n.counter(restartedMetric))
		}
		cl.checkResults(j, n.results(j, 30*time.Second))
	})
}

// Guards against a long text that keeps its item from targets that could run it, for as long as its version has no slot.
func TestVersionWaitIsBounded(t *testing.T) {
	for producing, want := range map[time.Duration]time.Duration{0: minVersionWait, 2 * time.Second: 8 * time.Second, time.Minute: maxVersionWait} {
		if got := versionWait(producing); got != want {
			t.Errorf("an item whose text took %v waits %v for its version, want %v", producing, got, want)
		}
	}
}

// Guards against an item that throws its text away while a target of its version frees a slot soon, and against one that
// waits much longer than another target would need to produce the text again.
func TestItemWaitsForItsVersionWithinBounds(t *testing.T) {
	for name, busyFor := range map[string]time.Duration{"soon free": minVersionWait / 2, "busy for long": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, func(t *testing.T, cl *cluster) {
				n := cl.nodes[0]
				j, version := n.startLongItem()
				runs := n.occupy(version)
				preemptedAt := time.Now()
				sleep.AfterFunc(busyFor, func() {
					for _, r := range runs {
						r.Done()
					}
				})
				for cl.targets.runCount(j.Items[0].ID) < 2 {
					time.Sleep(5 * time.Millisecond)
				}
				waited, isRestarted := time.Since(preemptedAt), cl.targets.lastResumedAfter(j.Items[0].ID) == ""
				if wantRestart := busyFor > minVersionWait; isRestarted != wantRestart {
					t.Errorf("the item was restarted: %v after %v, want %v", isRestarted, waited, wantRestart)
				}
				if limit := minVersionWait + demandPollInterval + retryDelay; waited > limit {
					t.Errorf("the item waited for %v, want at most %v", waited, limit)
				}
				cl.checkResults(j, n.results(j, 30*time.Second))
			})
		})
	}
}

// occupy fills the slots of all targets of a version with online requests.
func (n *node) occupy(version string) (runs []*fleetview.Run) {
	for range len(n.targetsWith(version)) * 8 {
		r, _ := n.fleet.StartOnline(fleet.Work{Service: "llm", Version: &version}, nil)
		runs = append(runs, r)
	}
	return runs
}

// Guards against an event that is appended to the text of another version, because the entry of the target has changed
// after the run was sent and before its first event.
func TestFirstEventAfterAChangeOfTheVersionIsNotAppended(t *testing.T) {
	view := fleetview.New(fleet.Options{PeerTTL: time.Second})
	target := serving.Target{ID: "t", Service: "llm", Slots: 2, Version: "v1"}
	view.UpdateTargets([]serving.Target{target}, nil)
	run, ok := view.StartBatch(fleet.Work{Service: "llm"}, 0, func() {})
	if !ok {
		t.Fatal("no run was started")
	}
	tk := &task{lastEventID: "1", text: []byte("a"), events: 1, origin: serving.Origin{Service: "llm", Version: "v1"}}
	run.RecordEvent()
	target.Version = "v2"
	view.UpdateTargets([]serving.Target{target}, nil)
	if _, err := tk.appendEvent(events.Event{ID: "2", Data: []byte("b")}, run, true); err == nil || string(tk.text) != "a" || tk.origin.Version != "v1" {
		t.Errorf("first event of the run: error %v, text %q, origin %+v; want an error, and text and origin as they were", err, tk.text, tk.origin)
	}
	if _, err := tk.appendEvent(events.Event{ID: "2", Data: []byte("b")}, run, false); err != nil || string(tk.text) != "a\nb" || tk.origin.Service != "" {
		t.Errorf("later event of the run: error %v, text %q, origin %+v; want it appended and an unknown origin", err, tk.text, tk.origin)
	}
}

// Guards against an owner that goes on with a text whose version it does not know, as that of an earlier release.
func TestTextOfUnknownVersionIsNotContinued(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		cl.isRouteRemoved.Store(true) // no item runs until the progress has been read
		j := cl.job("a", "ok")
		cl.nodes[0].submit(j)
		records, err := backlog.EncodeProgress(&backlog.Progress{Job: j.ID, Item: j.Items[0].ID, LastEventID: "1", Text: j.Items[0].ID + ":1"}, cl.nodes[0].manager.shardOf(j.ID), 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := cl.store.View().Append(context.Background(), platform.Append{Partition: progressPartition, Records: records}); err != nil {
			t.Fatal(err)
		}
		cl.store.Rebalance()
		time.Sleep(2 * time.Second)
		cl.isRouteRemoved.Store(false)
		cl.checkResults(j, cl.nodes[1].results(j, 20*time.Second))
		if from := cl.targets.lastResumedAfter(j.Items[0].ID); from != "" {
			t.Errorf("the item went on after event %q, want a run from the start", from)
		}
	})
}

// Guards against a text that is continued at a target whose entry has got another version since the run was sent, and
// against one that goes on elsewhere after that.
func TestTextIsNotContinuedAfterAChangeOfItsVersion(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j, version := n.startLongItem()
		for _, target := range n.fleet.Targets() {
			if target.Version == version {
				target.Version = "v9"
				n.fleet.UpdateTargets([]serving.Target{target}, nil)
			}
		}
		time.Sleep(3 * eventInterval)
		var ids []string
		for _, target := range n.fleet.Targets() {
			ids = append(ids, target.ID)
		}
		n.fleet.EndTargets(ids)
		time.Sleep(retryDelay + time.Second)
		if from := cl.targets.lastResumedAfter(j.Items[0].ID); from != "" {
			t.Errorf("the item went on after event %q, want a run from the start", from)
		}
		cl.checkResults(j, n.results(j, 30*time.Second))
	})
}

// Guards against a result that is listed as complete with a part of the output: the whole text that a former owner has
// stored is not longer than the text of another version that has begun here.
func TestCompleteProgressReplacesTextOfAnotherVersion(t *testing.T) {
	stored := backlog.Progress{Job: "j", Item: "i", LastEventID: "2", Text: "a\nb", Outcome: backlog.Complete, Service: "llm", Version: "v1"}
	for name, text := range map[string]string{"shorter": "x", "as long": "x\ny", "longer": "x\ny\nz"} {
		tk := &task{job: &backlog.Job{ID: "j", Items: []backlog.Item{{ID: "i"}}}, lastEventID: "7", text: []byte(text), origin: serving.Origin{Service: "llm", Version: "v2"}}
		result := tk.mergeProgress(stored)
		if result == nil || result.outcome != backlog.Complete || result.text != stored.Text {
			t.Errorf("the own text is %s: result %+v, want complete with the stored text", name, result)
		}
	}
}
