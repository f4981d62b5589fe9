package quarantine

import (
	"time"

	"arbutusramp/core/serving"
)

// Broken is a run of a request that a target has broken off, or that was under way when its target was found to have crashed.
type Broken struct {
	Content *Content
	Target  serving.Target
	// Start names the start of the target that had the run; empty if that is not known.
	Start string
	// Began is when the request was sent to the target.
	Began time.Time
	// From is the id of the event after which the run began, To that of the last event that is there; empty for none.
	From, To string
	// HasPassed says that the run had gone on for PassTime after its first event.
	HasPassed bool
	// HasCrashed says that the target is known to have crashed.
	HasCrashed bool
	// Err is how it shows.
	Err error
}

// PassTime is how long a run has to go on after its first event to show that its content does not crash targets as they begin with it. A
// target may answer a few events before it crashes.
const PassTime = 250 * time.Millisecond

// Counts says whether a crash of the target counts against the request. It does not if the run went on from an earlier one and took
// the request further: each run of a request that is to blame crashes at the same event at the latest.
func (b Broken) Counts() bool { return b.From == "" || b.From == b.To }
