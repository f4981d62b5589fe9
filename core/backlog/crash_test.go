package backlog

import (
	"testing"
	"time"
)

// Guards against an item that waits the longer the more targets it has lost, without a bound, and against one that does not
// wait for its service to become calm.
func TestCrashWaitIsBounded(t *testing.T) {
	lost := time.Unix(1000, 0)
	for n := 1; n <= 1000; n++ {
		for _, jitter := range []float64{0, 0.5, 1} {
			w := NewCrashWait(n, jitter)
			if w.Calm < calmWindow || w.Pause < firstPause || w.Pause > w.Calm || w.Calm > 2*maxCalmWindow || w.Longest < restlessWait || w.Longest > 2*maxRestlessWait {
				t.Fatalf("wait after %d losses: %+v, want it bounded", n, w)
			}
			if at := w.Until(lost, time.Time{}); at != lost.Add(w.Pause) {
				t.Fatalf("without other failures the item runs after %v, want %v", at.Sub(lost), w.Pause)
			}
			calmAt := lost.Add(w.Calm + time.Second)
			if at := w.Until(lost, calmAt); at != calmAt {
				t.Fatalf("the item runs after %v, want when its service is calm, after %v", at.Sub(lost), calmAt.Sub(lost))
			}
			if at := w.Until(lost, lost.Add(time.Hour)); at != lost.Add(w.Longest) {
				t.Fatalf("in a service that does not become calm the item runs after %v, want %v", at.Sub(lost), w.Longest)
			}
		}
	}
}
