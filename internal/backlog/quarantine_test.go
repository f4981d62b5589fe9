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

// An item under whose runs targets crash must not be run again and again. It must not be given up before the
// retention time of its job either.
func TestItemThatCrashesTargetsIsDelayedThenGivenUp(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j := cl.job("j", "crash", "ok")
		j.Items[0].Body = []byte("another content")
		n.submit(j)
		time.Sleep(cl.route.RetainFor)
		if runs := cl.targets.runCount(j.Items[0].ID); runs < 3 || runs > 6 {
			t.Errorf("the item under which targets crash was run %d times, want 3 to 6", runs)
		}
		if list := n.results(j, time.Second); len(list) != 1 || list[0].Outcome != backlog.Complete {
			t.Errorf("results before the retention time are %+v, want only the complete one of the other item", list)
		}
		time.Sleep(maxClockSkew)
		cl.checkResults(j, n.results(j, 10*time.Second))
	})
}

// A crash of a target must count against the item that causes it, even if the item's run was cancelled
// because other runs of the target had been broken off before.
func TestCrashCountsAgainstPreemptedItem(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		others := cl.job("others", repeat("okay", 20)...)
		n.submit(others)
		time.Sleep(500 * time.Millisecond)
		j := cl.job("j", "doom")
		n.submit(j)
		cl.checkResults(others, n.results(others, 30*time.Second))
		if crashes := cl.targets.crashCount(); crashes < 3 || crashes > 6 {
			t.Errorf("%d targets crashed under the item, want 3 to 6", crashes)
		}
	})
}

// The loss of a target that falls silent under an item with its connections open must count against the item.
func TestATargetThatFallsSilentUnderAnItemCounts(t *testing.T) {
	testTargetSilentUnderItem(t, 1)
}

// The same where the other items can't go on at each target, because targets have two software versions.
func TestATargetThatFallsSilentBesideAnotherVersionCounts(t *testing.T) {
	testTargetSilentUnderItem(t, 2)
}

func testTargetSilentUnderItem(t *testing.T, versions int) {
	withVersions(t, 1, versions, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		others := w.job("others", repeat("okay", 120)...) // while the other job waits, targets have something to send
		n.submit(others)
		time.Sleep(500 * time.Millisecond)
		j := w.job("j", "mute")
		n.submit(j)
		time.Sleep(w.route.RetainFor)
		if lost := w.targets.crashCount(); lost < 3 || lost > 6 {
			t.Errorf("%d targets were lost under the item, want 3 to 6", lost)
		}
		w.checkResults(others, n.results(others, w.route.RetainFor))
	})
}

// The loss of targets must not count against an item if they had stopped sending, with their connections
// open, before the item was sent to them.
func TestTargetSilentBeforeItemDoesNotCount(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		for i := range 3 {
			cl.targets.hang(fmt.Sprintf("target-%d", i))
		}
		j := cl.job("j", "ok")
		n.submit(j)
		time.Sleep(4 * time.Second)
		for i := range 3 {
			cl.replaceTarget(fmt.Sprintf("target-%d", i), i)
		}
		cl.checkResults(j, n.results(j, 20*time.Second))
	})
}

// A quarantined item must not stay blocked once a target has served its content.
func TestItemResumesWhenContentIsCleared(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j := cl.job("j", "ok")
		content := contentOf(j, 0)
		for i := range 3 {
			n.quarantine.NoteBrokenOff(brokenRunAt(content, fmt.Sprintf("gone-%d", i)))
			time.Sleep(time.Second)
		}
		n.submit(j)
		time.Sleep(5 * time.Second)
		if runs := cl.targets.runCount(j.Items[0].ID); runs != 0 {
			t.Errorf("the quarantined item was run %d times, want 0", runs)
		}
		n.quarantine.NoteServed(content, time.Now())
		cl.checkResults(j, n.results(j, 10*time.Second))
	})
}

// An item must not be quarantined after several targets were lost at the same time while they ran its
// content, as when many jobs contain the same item.
func TestItemWithSimultaneousTargetLossesIsTried(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j := cl.job("j", "ok", "ok", "ok")
		content := contentOf(j, 0)
		for i := range 3 {
			n.quarantine.NoteBrokenOff(brokenRunAt(content, fmt.Sprintf("gone-%d", i)))
		}
		n.submit(j)
		cl.checkResults(j, n.results(j, 10*time.Second))
	})
}

// Crashes that another item causes must not count against an item that runs at the same targets: its runs are
// broken off whenever a target ends, but make progress between.
func TestItemInterruptedByOthersCompletes(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j := cl.job("j", "okay")
		n.submit(j)
		content := contentOf(j, 0)
		for i := range 10 {
			run := brokenRunAt(content, fmt.Sprintf("gone-%d", i))
			if i > 0 {
				run.FromEvent, run.ToEvent = fmt.Sprint(i), fmt.Sprint(i+1)
			}
			n.quarantine.NoteBrokenOff(run)
		}
		cl.checkResults(j, n.results(j, 20*time.Second))
	})
}

// brokenRunAt returns the quarantine's description of a run of 100 ms without events that was broken off by
// the restart of a target.
func brokenRunAt(c *quarantine.Content, target string) quarantine.BrokenRun {
	return quarantine.BrokenRun{Content: c, Target: serving.Target{ID: target}, BeganAt: time.Now().Add(-100 * time.Millisecond), HasCrashed: true, Err: errors.New("the target has restarted")}
}
