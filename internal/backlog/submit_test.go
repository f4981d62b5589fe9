package backlog

import (
	"context"
	"testing"
	"time"

	"arbutusramp/standin/keyedlog"
)

// A job must be accepted soon after a silent store responds again. Its first append waits for an answer for
// as long as one that the store works on, 1.2 s, and the second one, sent just before the store is back,
// waits as long. With such a timeout the job's time is over, and jobs are refused for a second after the
// silence.
func TestJobAcceptedSoonAfterSilentStoreReturns(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		const silence = 1300 * time.Millisecond
		n := w.nodes[0]
		n.view.Set(keyedlog.Faults{Silent: true})
		go func() {
			time.Sleep(silence)
			n.view.Set(keyedlog.Faults{})
		}()
		began := time.Now()
		j := w.job("a", "ok")
		if err := n.manager.Submit(context.Background(), w.route, j); err != nil {
			t.Fatalf("after %v: %v", time.Since(began), err)
		}
		if took := time.Since(began); took > silence+appendTimeout+2*writeRetryPause {
			t.Errorf("accepted %v after the store was back", took-silence)
		}
		w.checkResults(j, n.results(j, 20*time.Second))
	})
}
