package side

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
)

// stallLimit bounds how long a caller may leave a finished or paused answer unread.
const stallLimit = 2 * time.Minute

// guard bounds one run at the target. A target that accepts and then gives no byte
// would keep its place and its caller for ever; guard ends the run with
// TargetTimeout after budget without a byte, and with DeadlineExceeded at the deadline.
type guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	budget time.Duration

	mu       sync.Mutex
	deadline time.Time // zero: none
	timer    *time.Timer
	stalled  bool // waits for the caller, not for the target
	last     time.Time
}

func newGuard(base context.Context, budget time.Duration, deadline time.Time) *guard {
	g := &guard{budget: budget, deadline: deadline, last: time.Now()}
	g.ctx, g.cancel = context.WithCancelCause(base)
	g.timer = sleep.AfterFunc(g.wait(budget), g.fire)
	return g
}

// wait is d, or less when the deadline comes first.
func (g *guard) wait(d time.Duration) time.Duration {
	if g.deadline.IsZero() {
		return d
	}
	return min(d, time.Until(g.deadline))
}

func (g *guard) fire() {
	g.mu.Lock()
	stalled := g.stalled
	g.mu.Unlock()
	switch {
	case !g.deadline.IsZero() && !time.Now().Before(g.deadline):
		g.cancel(errs.New(errs.DeadlineExceeded, "the deadline passed while the request ran"))
	case stalled:
		g.cancel(errs.New(errs.Cancelled, "the caller does not read its answer"))
	default:
		g.cancel(errs.Newf(errs.TargetTimeout, "the target gave no byte for %v", g.budget))
	}
}

// touch notes a byte from the target.
func (g *guard) touch() { g.set(false, g.budget) }

// stall stops the target's clock while the caller's credit is awaited.
func (g *guard) stall() { g.set(true, stallLimit) }

func (g *guard) set(stalled bool, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = stalled
	g.last = time.Now()
	sleep.Reset(g.timer, g.wait(d))
}

// lastByte is when the target last gave something, or the start.
func (g *guard) lastByte() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last
}

// stop releases the guard; it is called once the run has ended.
func (g *guard) stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// cause returns why the guard or a caller ended the run, nil if it was not ended.
func (g *guard) cause() *errs.Error {
	if g.ctx.Err() == nil {
		return nil
	}
	return errs.As(context.Cause(g.ctx))
}

// failure returns why the only run of a request failed, with what is certain of whether it
// ran. The guard's or the caller's reason goes before what the target says of a run that
// they ended.
func (g *guard) failure(err error) *errs.Error {
	failure := errs.As(err)
	if cause := g.cause(); cause != nil && failure.Ran != errs.RanNo {
		failure = cause.WithRan(errs.RanUnknown)
	}
	const handedBefore = false
	return ranErr(failure, handedBefore)
}
