package quarantine

import (
	"time"

	"arbutusramp/core/serving"
)

// Broken describes a run of a request that a target broke off (its connection ended before the response was
// complete) or that was in progress when its target was found to have crashed.
type Broken struct {
	Content *Content
	Target  serving.Target
	// Start identifies the process start of the target that had the run; empty if it is unknown.
	Start string
	// Began is when the request was sent to the target.
	Began time.Time
	// From is the id of the event after which the run resumed; empty if it began at the start. To is the id
	// of the last event received; empty if there is none.
	From, To string
	// HasPassed reports whether the run continued for PassTime after its first event.
	HasPassed bool
	// HasCrashed reports whether the target is known to have crashed.
	HasCrashed bool
	// Err is the error with which the run ended.
	Err error
}

// PassTime is how long a run must continue after its first event to pass, that is, to show that its content
// does not crash a target at the start of a run. A target may send a few events before it crashes.
const PassTime = 250 * time.Millisecond

// Counts reports whether a crash of the target counts against the request. It does not if the run resumed an
// earlier one and advanced past it: a request that causes crashes crashes every run at the same event at the
// latest.
func (b Broken) Counts() bool { return b.From == "" || b.From == b.To }
