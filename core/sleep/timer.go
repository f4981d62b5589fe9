package sleep

import "time"

// minWait is the wait of a timer that is set to zero or a negative wait; AfterFunc says why.
const minWait = time.Nanosecond

// AfterFunc calls f in a goroutine of its own after d, like time.AfterFunc, but waits for at least minWait.
//
// The minimum prevents a crash of tests under the race detector. In a synctest bubble, a timer that is due at
// once, or a timer with a channel that expires while its reader is busy, fires on the thread of the goroutine
// that sets or reads it. The race detector of Go 1.26 uses one context for all timers of a bubble. Another timer
// that fires at the same moment on the thread that advances the bubble's clock uses it as well: the two corrupt
// each other's call stacks, and the test process crashes with a segmentation fault inside the detector. A timer
// that has a function and a wait above zero fires only on the thread that advances the clock, and one at a time.
func AfterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(max(d, minWait), f)
}

// Reset makes t, a timer that AfterFunc has returned, call its function after d from now, but after at least
// minWait.
func Reset(t *time.Timer, d time.Duration) { t.Reset(max(d, minWait)) }

// Timer sends a value on C once its wait has passed, even if no receiver is ready at that moment. It replaces
// time.Timer and time.Ticker, whose channels can crash the race detector in a synctest bubble; see AfterFunc.
type Timer struct {
	// C delivers one value each time the timer fires, unless a value is pending.
	C     <-chan struct{}
	fired chan struct{} // the sending side of C
	timer *time.Timer   // calls fire
}

// NewTimer returns a timer that fires after d.
func NewTimer(d time.Duration) *Timer {
	fired := make(chan struct{}, 1)
	t := &Timer{C: fired, fired: fired}
	t.timer = AfterFunc(d, t.fire)
	return t
}

// fire sends a value on C unless one is pending.
func (t *Timer) fire() {
	select {
	case t.fired <- struct{}{}:
	default:
	}
}

// Reset cancels the previous wait, discards a pending value, and makes the timer fire after d from now. If the
// timer fires while Reset runs, that value may still arrive, so a receiver must tolerate an early value.
func (t *Timer) Reset(d time.Duration) {
	t.timer.Stop()
	select {
	case <-t.fired:
	default:
	}
	Reset(t.timer, d)
}

// Stop cancels the wait. A value that is pending on C stays there.
func (t *Timer) Stop() { t.timer.Stop() }
