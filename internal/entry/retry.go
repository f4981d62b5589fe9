package entry

import (
	"arbutusramp/core/errs"
)

// recover goes on after an attempt has failed: on another target where that is
// safe, else it returns the error for the caller.
func (c *call) recover(err *errs.Error) *errs.Error {
	s := scratches.Get().(*scratch)
	defer scratches.Put(s)
	c.noteCrash(err)
	c.abandon(err)
	return c.retry(s, err)
}

func (c *call) retry(s *scratch, err *errs.Error) *errs.Error {
	// A target that has given a head or a part has begun, whatever the error says: many types say "not run" by default.
	c.maybeRan = c.maybeRan || err.Ran != errs.RanNo || c.firstByte != 0
	if !c.mayRetry(err) {
		return err
	}
	now := c.e.now()
	if !now.Before(c.deadline) || !c.e.budget.retry(now) {
		c.e.rec.retryDenied.Inc(1)
		return err
	}
	c.e.rec.retries.Inc(1)
	c.e.rec.retrying(c, err)
	c.tried = append(c.tried, c.target.id)
	c.attempt++
	// Targets that have come since the call began count too: a long stream may outlive all that
	// there were then. Without any, the old ones say why.
	if g := c.e.group(&c.req); g != nil {
		c.group = g
	}
	c.look(s, now)
	if again := c.start(s); again != nil {
		c.e.rec.notRetried(c, s, again)
		return preferFirst(err, again)
	}
	return nil
}

// preferFirst keeps the error that says why the request failed: that no target
// is left for another try is not news to the caller, but when to come back is.
func preferFirst(first, again *errs.Error) *errs.Error {
	if again.Type != errs.NoTarget && again.Type != errs.Overloaded && again.Type != errs.DeadlineUnmet {
		return again
	}
	if first.RetryAfterMs != 0 {
		return first
	}
	c := *first
	c.RetryAfterMs = again.RetryAfterMs
	return &c
}

// mayRetry says whether another attempt can do no harm: nothing has run, or running it
// again is harmless and nothing of a plain answer has reached the caller.
func (c *call) mayRetry(err *errs.Error) bool {
	if c.attempt+1 >= maxAttempts || c.keyed() || !helps(err) {
		return false
	}
	if err.Ran == errs.RanNo && !c.maybeRan {
		return true
	}
	if c.req.nonIdempotent {
		return false
	}
	return c.req.generate != nil || c.progress.next == 0
}

// helps says whether another target may do better.
func helps(err *errs.Error) bool {
	switch err.Type {
	case errs.Overloaded, errs.DeadlineUnmet, errs.NoTarget, errs.Draining, errs.Preempted,
		errs.TargetFailed, errs.TargetTimeout, errs.TargetCrashed, errs.StreamBroken, errs.SessionLost,
		errs.BadFrame, errs.Internal, errs.UnknownModel:
		return true
	}
	return false
}

// giveUp makes the error honest over all attempts, and tells when to come back where that helps.
func (c *call) giveUp(err *errs.Error) *errs.Error {
	if c.maybeRan && err.Ran == errs.RanNo {
		err = err.WithRan(errs.RanUnknown)
	}
	if err.RetryAfterMs == 0 && (helps(err) || err.Type == errs.DeadlineExceeded) {
		err = err.WithRetry(retryGivenUp)
	}
	return err
}
