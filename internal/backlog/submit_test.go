package backlog

import (
	"context"
	"testing"
	"time"

	"arbutusramp/standin/keyedlog"
)

// A job must be accepted soon after a silent store answers again. If an append waited 1.2 s for its answer,
// the second append of a job, sent just before the store is back, would wait as long. The time for the
// submission would then be over, and jobs would be rejected for a second after the silence.
func TestJobAcceptedSoonAfterSilentStoreReturns(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		const silence = 1300 * time.Millisecond
		n := cl.nodes[0]
		n.view.Set(keyedlog.Faults{Silent: true})
		go func() {
			time.Sleep(silence)
			n.view.Set(keyedlog.Faults{})
		}()
		began := time.Now()
		j := cl.job("a", "ok")
		if err := n.manager.Submit(context.Background(), cl.route, j); err != nil {
			t.Fatalf("the submission failed after %v: %v, want it accepted", time.Since(began), err)
		}
		if took := time.Since(began); took > silence+appendTimeout+2*writeRetryPause {
			t.Errorf("the job was accepted %v after the store was back, want at most appendTimeout plus twice writeRetryPause", took-silence)
		}
		cl.checkResults(j, n.results(j, 20*time.Second))
	})
}
