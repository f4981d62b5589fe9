package backlog

import (
	"strings"
	"testing"
	"time"
)

// An item must resume at once when its target is known to have restarted. A target crashes behind a network
// partition, restarts under its name, and the entry of the new start is read. Without this notice the item
// would wait a second and a half for the timeout of its silent stream.
func TestItemResumesAtOnceAfterTargetRestart(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		j := w.job("a", "okay")
		w.nodes[0].submit(j)
		id := j.Items[0].ID
		for w.targets.runCount(id) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(10 * eventInterval)
		w.nodes[0].fleet.Ended([]string{"target-0", "target-1", "target-2"})
		restartedAt := time.Now()
		time.Sleep(retryDelay + 50*time.Millisecond)
		if n := w.targets.runCount(id); n != 2 {
			t.Fatalf("%d runs, want 2", n)
		}
		if delay := w.targets.lastStart(id).Sub(restartedAt); delay > retryDelay+demandPollInterval {
			t.Errorf("the item resumed after %v", delay)
		}
		if from := w.targets.lastResumedAfter(id); from == "" || strings.HasPrefix(from, "0") {
			t.Errorf("the item resumed after event %q", from)
		}
		w.checkResults(j, w.nodes[0].results(j, 30*time.Second))
	})
}
