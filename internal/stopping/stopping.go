// Package stopping tells the parts of a process that serves requests until when these must be answered once it stops.
package stopping

import (
	"context"
	"sync/atomic"
	"time"
)

// RetryAfter is when a caller should come back whose request is rejected because the process stops: at once, on a connection to
// another process.
const RetryAfter = 10 * time.Millisecond

// Times are the times of a stop.
type Times struct {
	AcceptUntil time.Time // requests are accepted until then
	AnswerBy    time.Time // what has no answer then is answered with an error
}

// Stop is the stop of a process. It is safe for concurrent use.
type Stop struct {
	ending context.Context
	end    context.CancelFunc
	times  atomic.Pointer[Times] // nil until Begin
}

// New returns the stop of a process that has not begun to stop.
func New() *Stop {
	s := &Stop{}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop.
func (s *Stop) Begin(t Times) { s.times.Store(&t) }

// Times returns the times of the stop; isStopping is false if it has not begun.
func (s *Stop) Times() (t Times, isStopping bool) {
	if begun := s.times.Load(); begun != nil {
		return *begun, true
	}
	return Times{}, false
}

// End ends the context that Ending returns. It is called at Times.AnswerBy.
func (s *Stop) End() { s.end() }

// Ending returns a context that ends when all that waits must be answered.
func (s *Stop) Ending() context.Context { return s.ending }
