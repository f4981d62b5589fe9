package fleet

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/serving"
)

// Guards against a service that never counts as calm because some target of many has just failed, and against one that
// counts as calm while a third of its targets fail.
func TestServiceIsCalmWithFewFailures(t *testing.T) {
	for _, test := range []struct {
		targets, failures int
		isCalm            bool
	}{{9, 0, true}, {9, 1, false}, {9, 3, false}, {100, 2, true}, {100, 3, false}, {1700, 34, true}, {1700, 35, false}} {
		f := New(Options{Domain: "d", PeerTTL: time.Second})
		var targets []serving.Target
		for i := range test.targets {
			targets = append(targets, serving.Target{ID: fmt.Sprint("t", i), Service: "llm", Domain: "d", Slots: 8})
			f.Put(targets[i])
		}
		for i := range test.failures {
			f.RecordFailure(start, targets[i].ID)
			f.RecordFailure(start.Add(maxSuspectTime), targets[i].ID) // of a target on probation: no other has failed
		}
		const window = time.Second
		if calmAt := f.CalmAt("llm", window, 0); calmAt.IsZero() != test.isCalm || !test.isCalm && calmAt != start.Add(window) {
			t.Errorf("%d of %d targets have failed: calm at %v, want at once: %v, else a second later", test.failures, test.targets, calmAt, test.isCalm)
		}
		if test.failures > 0 && !f.CalmAt("llm", window, test.failures).IsZero() {
			t.Errorf("%d of %d targets have failed, which may: the service is not calm", test.failures, test.targets)
		}
		if !f.CalmAt("other", window, 0).IsZero() {
			t.Error("a service none of whose targets has failed is not calm")
		}
	}
}
