package fleetview

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
)

// newSilenceView returns a view with one target.
func newSilenceView() *View {
	v := New(fleet.Options{Self: "self", PeerTTL: time.Minute})
	v.UpdateTargets([]serving.Target{{ID: "t", Service: "s", Slots: 8}}, nil)
	return v
}

// Guards against runs that count as silent while their target reads the long prompt of another run, and against a target that
// is then never found silent.
func TestTargetIsNotSilentWhileItReadsALongPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newSilenceView()
		short, _ := v.StartOnline(fleet.Work{Service: "s", IsStream: true}, nil)
		sentAt := time.Now()
		if _, ok := v.StartBatch(fleet.Work{Service: "s", IsStream: true, Size: costmodel.Size{PromptTokens: 60_000}}, 0, func() {}); !ok {
			t.Fatal("no slot for the item with the long prompt, want one")
		}
		time.Sleep(980 * time.Millisecond)
		if short.IsIdle(sentAt) {
			t.Error("the target counts as silent while it reads a long prompt, want not")
		}
		time.Sleep(fleet.MaxReadingTime)
		if !short.IsIdle(sentAt) {
			t.Error("the target does not count as silent long after it must have read the prompt, want silent")
		}
	})
}

// Guards against one slow run that takes its target out of use again and again, and against one that takes out each target at
// which it is tried.
func TestSlowRunIsOneFailureOfOneTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newSilenceView()
		first, _ := v.StartOnline(fleet.Work{Service: "s", IsStream: true}, nil)
		if !first.RecordSilence() {
			t.Error("a silent run does not make its target suspect, want suspect")
		}
		time.Sleep(5 * time.Second)
		if first.RecordSilence() {
			t.Error("the same run makes its target suspect again, want one failure for each run")
		}
		again, _ := v.StartOnline(fleet.Work{Service: "s", IsStream: true, SilentFor: time.Second}, nil)
		if again.RecordSilence() {
			t.Error("a run that was silent at another target makes its target suspect, want not")
		}
	})
}
