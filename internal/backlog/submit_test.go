package backlog

import (
	"context"
	"testing"
	"time"

	"arbutusramp/standin/keyedlog"
)

// Symptom: jobs were turned away for a second after the store was back from a silence.
// Sequence: a job is handed in while the store is silent; its first append waits for an answer until 1.2 s are over, the second one is
// sent just before the store is back and waits as long; the job's time is over.
// Cause: an append that was lost in the silence was waited for as long as one that the store works on.
func TestAJobIsAcceptedSoonAfterASilence(t *testing.T) {
	bubble(t, 1, func(t *testing.T, w *world) {
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
		if took := time.Since(began); took > silence+tryTimeout+2*writePause {
			t.Errorf("accepted %v after the store was back", took-silence)
		}
		w.check(j, n.results(j, 20*time.Second))
	})
}
