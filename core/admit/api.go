// Package admit is the side's admission policy: which requests the target is
// given and when, which batch streams are preempted for an online burst, and how much
// headroom is held back. It is a state machine without clock, socket or
// goroutine: `now` is an argument, and what is to be done comes back as Actions.
package admit

import (
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// ID names one request at this side; the shell chooses it and never reuses one.
type ID uint64

// Request is what the policy knows of one request.
type Request struct {
	ID           ID
	Class        structs.Class
	Workspace    structs.WorkspaceID
	PromptTokens int
	MaxTokens    int
	Deadline     time.Time // zero: none
	// Alone: no other batch request may run beside it.
	Alone bool
	// Generated is the number of tokens that earlier, preempted runs of the
	// request have produced. A resumed request is queued before new ones.
	Generated int
}

// Config is what the policy is told; all else it measures.
type Config struct {
	// Headroom runs from 0 (most batch throughput) to 1 (least harm to the
	// online tail). Values outside are clamped.
	Headroom float64
	// MaxLimit bounds the concurrency limit; 0 is DefaultMaxLimit.
	MaxLimit int
	// MaxQueue bounds the online requests that wait; 0 is DefaultMaxQueue.
	MaxQueue int
	// NoPreempt turns preemption off, as a baseline for experiments: batch
	// gives way only as its streams end.
	NoPreempt bool
}

// Defaults of Config.
const (
	DefaultMaxLimit = 256
	DefaultMaxQueue = 1024
)

// ActionKind says what the shell is to do.
type ActionKind uint8

const (
	// Start passes the request to the target.
	Start ActionKind = iota + 1
	// Preempt cancels the request's stream at the target; the shell calls Ended when it
	// has stopped and keeps the progress.
	Preempt
	// Refuse answers the request with Err; it was not run.
	Refuse
)

// Action is one thing for the shell to do, in order.
type Action struct {
	Kind ActionKind
	ID   ID
	Err  *errs.Error // set for Refuse
}

// Outcome is how a request at the target ended.
type Outcome uint8

const (
	// Finished requests got their whole answer.
	Finished Outcome = iota + 1
	// Failed requests got an error from the target, or none in time.
	Failed
	// Stopped requests were cancelled or preempted.
	Stopped
)
