package backlog

import (
	"slices"
	"testing"
	"time"

	"arbutusramp/core/backlog"
)

// maxCalmWait is the longest time from the moment at which no more targets fail, and one has a free slot, until an item
// that has lost its targets must run again. It is the span without disruption after which the platform's rules count an item
// that no target has as left lying.
const maxCalmWait = 5 * time.Second

// startGaps returns the times between the starts of an item's runs at targets that have accepted the connection, and from
// the last one until now.
func startGaps(cl *cluster, item string) []time.Duration {
	cl.targets.mu.Lock()
	defer cl.targets.mu.Unlock()
	var gaps []time.Duration
	starts := append(slices.Clone(cl.targets.begunTimes[item]), time.Now())
	for i := 1; i < len(starts); i++ {
		gaps = append(gaps, starts[i].Sub(starts[i-1]))
	}
	return gaps
}

// Guards against a sound item that is left lying once several targets have crashed in turn while they ran it.
func TestItemRunsAgainHoweverOftenItsTargetsCrash(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j := cl.job("j", "okunlucky", "ok")
		n.submit(j)
		cl.checkResults(j, n.results(j, cl.route.RetainFor))
		item := j.Items[0].ID
		if runs := cl.targets.begunCount(item); runs != unluckyRuns+1 {
			t.Errorf("the item was run %d times, want %d", runs, unluckyRuns+1)
		}
		// A replacement of each target is there restartTime after its crash.
		if longest := slices.Max(startGaps(cl, item)); longest > restartTime+maxCalmWait {
			t.Errorf("the item was not run for %v, want at most 5 s after there is a target", longest)
		}
	})
}

// The same where the process that owns the item is replaced after the crashes.
func TestItemOfCrashedTargetsRunsAtNextOwner(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("j", "okunlucky")
		cl.nodes[0].submit(j)
		for cl.targets.runCount(j.Items[0].ID) < 3 {
			time.Sleep(100 * time.Millisecond)
		}
		cl.nodes[0].kill()
		cl.checkResults(j, cl.nodes[1].results(j, cl.route.RetainFor))
	})
}

// Guards against an item that is sent to one target after the other while they fail, which ends the runs beside it, and
// against such an item that is given up, or that keeps others from being run.
func TestItemDoesNotFeedABurst(t *testing.T) {
	for _, kind := range []string{"doom", "mute", "crash"} {
		t.Run(kind, func(t *testing.T) {
			withCluster(t, 1, func(t *testing.T, cl *cluster) {
				n := cl.nodes[0]
				others := cl.job("others", repeat("okay", 20)...)
				n.submit(others)
				time.Sleep(500 * time.Millisecond)
				j := cl.job("j", kind)
				n.submit(j)
				cl.checkResults(others, n.results(others, cl.route.RetainFor))
				gaps := startGaps(cl, j.Items[0].ID)
				for i, gap := range gaps[:len(gaps)-1] {
					// Jitter only lengthens the wait.
					if wait := backlog.NewCrashWait(i+1, 0); gap < wait.Pause {
						t.Errorf("run %d of the item began %v after the one before, want at least %v", i+2, gap, wait.Pause)
					}
				}
				if list := n.results(j, time.Second); len(list) != 0 {
					t.Errorf("results of the item are %+v, want none: no target has answered it", list)
				}
				t.Logf("%d runs of the item, at these intervals: %v", len(gaps), gaps)
			})
		})
	}
}

// Guards against an item that waits for its service although its target was the only one to fail, long ago.
func TestItemRunsAtOnceAfterPlannedEndOfItsTarget(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j := cl.job("j", "okay")
		n.submit(j)
		time.Sleep(500 * time.Millisecond)
		for _, target := range []string{"target-0", "target-1", "target-2"} {
			if cl.targets.streamCount(target) > 0 {
				n.fleet.UpdateTargets(nil, []string{target})
				cl.targets.breakOff(target)
			}
		}
		time.Sleep(2 * retryDelay)
		if runs := cl.targets.runCount(j.Items[0].ID); runs != 2 {
			t.Errorf("the item was run %d times shortly after its target had left, want 2", runs)
		}
		cl.checkResults(j, n.results(j, cl.route.RetainFor))
	})
}
