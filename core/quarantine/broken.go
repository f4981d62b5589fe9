package quarantine

import (
	"time"

	"arbutusramp/core/serving"
)

// BrokenRun describes a run of a request that a target broke off (its connection ended before the response was
// complete) or that was in progress when its target was found to have crashed.
type BrokenRun struct {
	Content *Content       // content of the request
	Target  serving.Target // target that had the run
	// StartID is the id of the target's process, which changes with each restart; empty if it is unknown.
	StartID string
	// BeganAt is when the request was sent to the target.
	BeganAt time.Time
	// FromEvent is the id of the event of an earlier run after which this run resumed; empty if it did not resume
	// one. ToEvent is the id of the last event received from the target; empty if none was received.
	FromEvent, ToEvent string
	// HasPassed reports whether the run continued for MinPassDuration after its first event.
	HasPassed bool
	// HasCrashed reports whether the target was known to have crashed when the run was noted.
	HasCrashed bool
	// Err is the error with which the run ended.
	Err error
}

// MinPassDuration is how long a run must continue after its first event to pass. A run that has passed shows that its
// content does not crash targets at the start of a run. The first event alone does not show this: a target may
// send a few events before it crashes.
const MinPassDuration = 250 * time.Millisecond

// CountsAgainstRequest reports whether a crash of the target counts against the request. It does not if the run resumed an
// earlier one and received further events: a request that causes crashes does so in every run, at the latest
// after the same event.
func (b BrokenRun) CountsAgainstRequest() bool { return b.FromEvent == "" || b.FromEvent == b.ToEvent }
