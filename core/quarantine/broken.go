package quarantine

import (
	"time"

	"arbutusramp/core/serving"
)

// BrokenRun describes a run of a request that ended before its response was complete: the target broke it off (its
// connection ended), the target was found to have crashed during the run, or the process that sent the request
// ended the run.
type BrokenRun struct {
	Content *Content       // content of the request
	Target  serving.Target // target that had the run
	// StartID is the id of the target's process, which changes with each restart; empty if it is unknown.
	StartID string
	// BeganAt is when the request was sent to the target.
	BeganAt time.Time
	// FromEvent is the id of the event of an earlier run after which this run resumed; empty if it did not resume
	// one. ToEvent is the id of the last event received when the run ended; equal to FromEvent if the run received
	// none.
	FromEvent, ToEvent string
	// HasPassed reports whether the run continued for MinPassDuration after its first event.
	HasPassed bool
	// HasCrashed reports whether the target was already known to have crashed when the run was reported to the
	// quarantine.
	HasCrashed bool
	// Err is the error with which the run ended.
	Err error
}

// MinPassDuration is how long a run must continue after its first event to pass. A run that has passed shows that
// its content does not crash targets at the start of a run. The first event alone does not show this: a target
// may send a few events before it crashes.
const MinPassDuration = 250 * time.Millisecond

// CountsAgainstRequest reports whether a crash of the target counts against the request. It does not if the run
// resumed an earlier one and received further events. A request that crashes targets is assumed to crash each of
// them no later than at the point where the earlier run broke off. A run that got further was broken off for
// another reason.
func (b BrokenRun) CountsAgainstRequest() bool { return b.FromEvent == "" || b.FromEvent == b.ToEvent }
