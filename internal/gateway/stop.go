package gateway

import (
	"context"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
	"arbutusramp/internal/stopping"
)

// Stop tells whether and when the process stops.
type Stop interface {
	// Times returns the times of the stop; isStopping is false if it has not begun.
	Times() (t stopping.Times, isStopping bool)
	// Ending returns a context that ends when all that waits must be answered.
	Ending() context.Context
}

// CheckStop returns an error if the process stops too soon to answer a request that has not been sent to a target, so that its body
// need not be read. Error: errs.Draining.
func (g *Gateway) CheckStop(route *serving.Route, r *serving.Request) error {
	if _, isStopping := g.stop.Times(); !isStopping {
		return nil // as for almost all requests, which need no exchange for it
	}
	return g.newExchange(route, r, nil).checkStop(time.Now())
}

// checkStop returns an error if the process stops too soon for an answer to a request that is sent now. It allows a request whose own
// deadline comes first, since that ends it, and one whose answer has begun, since its caller can only gain. Error: errs.Draining.
func (ex *exchange) checkStop(now time.Time) error {
	stop, isStopping := ex.gw.stop.Times()
	if !isStopping || ex.hasSentHeader || !ex.deadline.After(stop.AnswerBy) {
		return nil
	}
	need := ex.gw.view.LongestAnswer(ex.work())
	if need == 0 { // unknown; a new request has as much time before the process rejects it
		need = stop.AnswerBy.Sub(stop.AcceptUntil)
	}
	if now.Add(need).After(stop.AnswerBy) {
		return ex.stopError("the process stops in %d ms, an answer may take %d ms", stop.AnswerBy.Sub(now).Milliseconds(), need.Milliseconds())
	}
	return nil
}

// endAtStop makes cancel be called when the process must answer all that waits, unless the answer has begun by then: keepAnswering
// prevents the call, and returns false if it comes too late.
func (ex *exchange) endAtStop(cancel context.CancelFunc) {
	ex.keepAnswering = context.AfterFunc(ex.gw.stop.Ending(), func() {
		ex.hasStopped.Store(true)
		cancel()
	})
}

// stopError returns the error of a request that is not served because the process stops. A caller can come back at once if the
// request has not run.
func (ex *exchange) stopError(format string, args ...any) *errs.Error {
	err := errs.Newf(errs.Draining, format, args...)
	if ex.possibleRuns > 0 {
		return err.WithRan(errs.RanUnknown)
	}
	return err.WithRetry(stopping.RetryAfter)
}

// unansweredError returns the error of a request that the stop of the process has ended.
func (ex *exchange) unansweredError() *errs.Error {
	return ex.stopError("the process stops before there is an answer")
}
