package backlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/backlog"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
)

// An item must not be run again and again if a target ends under each run, and must not be given up before
// its job allows that.
func TestItemThatCrashesTargetsIsDelayedThenGivenUp(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		j := w.job("j", "crash", "ok")
		j.Items[0].Body = []byte("another content")
		n.submit(j)
		time.Sleep(w.route.Retain)
		if runs := w.targets.runCount(j.Items[0].ID); runs < 3 || runs > 6 {
			t.Errorf("%d runs, want 3 to 6", runs)
		}
		if list := n.results(j, time.Second); len(list) != 1 || list[0].Outcome != backlog.Complete {
			t.Errorf("results %+v, want only that of the other item", list)
		}
		time.Sleep(maxClockSkew)
		w.checkResults(j, n.results(j, 10*time.Second))
	})
}

// A crash of a target must count against an item whose run was preempted because the target had broken off
// others.
func TestCrashCountsAgainstPreemptedItem(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		others := w.job("others", repeat("okay", 20)...)
		n.submit(others)
		time.Sleep(500 * time.Millisecond)
		j := w.job("j", "doom")
		n.submit(j)
		w.checkResults(others, n.results(others, 30*time.Second))
		if crashes := w.targets.crashCount(); crashes < 3 || crashes > 6 {
			t.Errorf("%d crashes, want 3 to 6", crashes)
		}
	})
}

// The loss of a target that falls silent under an item with its connections open must count against the item.
func TestATargetThatFallsSilentUnderAnItemCounts(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		others := w.job("others", repeat("okay", 120)...) // while the other job waits, targets have something to send
		n.submit(others)
		time.Sleep(500 * time.Millisecond)
		j := w.job("j", "mute")
		n.submit(j)
		time.Sleep(w.route.Retain)
		if lost := w.targets.crashCount(); lost < 3 || lost > 6 {
			t.Errorf("%d targets lost, want 3 to 6", lost)
		}
		w.checkResults(others, n.results(others, w.route.Retain))
	})
}

// The loss of targets that fell silent before an item was sent to them, with their connections open, must not
// count against the item.
func TestTargetSilentBeforeItemDoesNotCount(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		for i := range 3 {
			w.targets.hang(fmt.Sprintf("target-%d", i))
		}
		j := w.job("j", "ok")
		n.submit(j)
		time.Sleep(4 * time.Second)
		for i := range 3 {
			w.replaceTarget(fmt.Sprintf("target-%d", i), i)
		}
		w.checkResults(j, n.results(j, 20*time.Second))
	})
}

// An item must not stay blocked for good if its content is served after all.
func TestItemResumesWhenContentIsCleared(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		j := w.job("j", "ok")
		content := contentOf(j, 0)
		for i := range 3 {
			n.quarantine.BrokenOff(brokenRunAt(content, fmt.Sprintf("gone-%d", i)))
			time.Sleep(time.Second)
		}
		n.submit(j)
		time.Sleep(5 * time.Second)
		if runs := w.targets.runCount(j.Items[0].ID); runs != 0 {
			t.Errorf("%d runs of a quarantined item", runs)
		}
		n.quarantine.Served(content)
		w.checkResults(j, n.results(j, 10*time.Second))
	})
}

// An item that is part of many jobs must not stay blocked for good after targets were lost together under it.
func TestItemWithSimultaneousTargetLossesIsTried(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		j := w.job("j", "ok", "ok", "ok")
		content := contentOf(j, 0)
		for i := range 3 {
			n.quarantine.BrokenOff(brokenRunAt(content, fmt.Sprintf("gone-%d", i)))
		}
		n.submit(j)
		w.checkResults(j, n.results(j, 10*time.Second))
	})
}

// An item must not be blamed for crashes that another one causes beside it: its runs are broken off whenever
// a target ends.
func TestItemInterruptedByOthersCompletes(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		j := w.job("j", "okay")
		n.submit(j)
		content := contentOf(j, 0)
		for i := range 10 {
			run := brokenRunAt(content, fmt.Sprintf("gone-%d", i))
			if i > 0 {
				run.From, run.To = fmt.Sprint(i), fmt.Sprint(i+1)
			}
			n.quarantine.BrokenOff(run)
		}
		w.checkResults(j, n.results(j, 20*time.Second))
	})
}

// brokenRunAt returns a run without events that the restart of a target has broken off.
func brokenRunAt(c *quarantine.Content, target string) quarantine.Broken {
	return quarantine.Broken{Content: c, Target: serving.Target{ID: target}, Began: time.Now().Add(-100 * time.Millisecond), HasCrashed: true, Err: errors.New("the target has restarted")}
}
