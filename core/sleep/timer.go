package sleep

import "time"

// minWait is the shortest wait that a timer is given; see AfterFunc.
const minWait = time.Nanosecond

// AfterFunc is time.AfterFunc with a wait that is never zero.
//
// In a synctest bubble, a timer that is due at once, or one with a channel that expires while its reader is
// busy, fires on the thread of the goroutine that sets or reads it. The race detector of Go 1.26 gives all
// timers of a bubble one context, so that this firing and one by the clock of the bubble, on another
// thread, corrupt each other's call stacks. The test process then dies of a segmentation fault inside the
// detector. A timer with a function and a wait above zero fires only where the clock of the bubble is
// advanced, one at a time.
func AfterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(max(d, minWait), f)
}

// Reset is t.Reset for a timer of AfterFunc.
func Reset(t *time.Timer, d time.Duration) { t.Reset(max(d, minWait)) }

// Timer sends on C when its wait has passed, even if no receiver is ready at that moment. It replaces
// time.Timer and time.Ticker, whose channels are not safe in a bubble (see AfterFunc).
type Timer struct {
	// C receives one value each time the timer fires, unless one is pending.
	C     <-chan struct{}
	fired chan struct{}
	timer *time.Timer
}

// NewTimer returns a timer that fires after d.
func NewTimer(d time.Duration) *Timer {
	fired := make(chan struct{}, 1)
	t := &Timer{C: fired, fired: fired}
	t.timer = AfterFunc(d, t.fire)
	return t
}

// fire sends a value unless one is pending.
func (t *Timer) fire() {
	select {
	case t.fired <- struct{}{}:
	default:
	}
}

// Reset makes the timer fire after d from now, and cancels its earlier wait. A firing that is in progress
// may still arrive, so a receiver must tolerate an early one.
func (t *Timer) Reset(d time.Duration) {
	t.timer.Stop()
	select {
	case <-t.fired:
	default:
	}
	Reset(t.timer, d)
}

// Stop cancels the timer. A pending value stays in C.
func (t *Timer) Stop() { t.timer.Stop() }
