package sleep

import "time"

// soonest is the shortest wait that a timer is given: see AfterFunc.
const soonest = time.Nanosecond

// AfterFunc is time.AfterFunc with a wait that is never zero.
//
// What goes wrong without it: in a synctest bubble a timer that is due at once, or one with a channel that
// passes while its reader is busy, fires on the thread of whoever sets or reads it. The race detector of
// Go 1.26 gives all timers of a bubble one context, so that this firing and one of the bubble's clock,
// on another thread, spoil each other's call stacks. It is noticed as a test process that dies of a
// segmentation fault inside the detector. A timer with a function and a wait above zero fires only where the
// bubble's clock is advanced, one at a time.
func AfterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(max(d, soonest), f)
}

// Reset is t.Reset for a timer of AfterFunc.
func Reset(t *time.Timer, d time.Duration) { t.Reset(max(d, soonest)) }

// Timer delivers on C once its time has passed, also when nobody waits at that moment. It stands in for
// time.Timer and time.Ticker, whose channels are not safe in a bubble (see AfterFunc).
type Timer struct {
	// C gets one value each time the timer fires, unless one lies there already.
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

func (t *Timer) fire() {
	select {
	case t.fired <- struct{}{}:
	default:
	}
}

// Reset makes the timer fire after d from now, in place of what it had before. A firing that is under
// way at that moment may still arrive, so a reader must bear one that is early.
func (t *Timer) Reset(d time.Duration) {
	t.timer.Stop()
	select {
	case <-t.fired:
	default:
	}
	Reset(t.timer, d)
}

// Stop ends the timer. A value that lies in C stays there.
func (t *Timer) Stop() { t.timer.Stop() }
