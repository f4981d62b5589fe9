package backlog

import (
	"strings"
	"testing"
	"time"
)

// An item must resume at once when its target is known to have restarted. If a target crashes behind a
// network partition and restarts, its stream stays open and silent, but the process is notified of the restart.
// If the run were not cancelled then, the item would wait a second and a half for itemIdleTimeout.
func TestItemResumesAtOnceAfterTargetRestart(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "okay")
		cl.nodes[0].submit(j)
		id := j.Items[0].ID
		for cl.targets.runCount(id) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(10 * eventInterval)
		cl.nodes[0].fleet.EndTargets([]string{"target-0", "target-1", "target-2"})
		restartedAt := time.Now()
		time.Sleep(retryDelay + 50*time.Millisecond)
		if n := cl.targets.runCount(id); n != 2 {
			t.Fatalf("the item was run %d times in total, want 2: once before and once after the restart of its target", n)
		}
		if delay := cl.targets.lastStart(id).Sub(restartedAt); delay > retryDelay+demandPollInterval {
			t.Errorf("the item resumed %v after the restart of its target, want at most retryDelay plus demandPollInterval", delay)
		}
		if from := cl.targets.lastResumedAfter(id); from == "" || strings.HasPrefix(from, "0") {
			t.Errorf("the item resumed after event %q, want the id of an event that its first run has received", from)
		}
		cl.checkResults(j, cl.nodes[0].results(j, 30*time.Second))
	})
}
