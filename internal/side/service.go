package side

import (
	"time"

	"arbutusramp/core/admit"
	"arbutusramp/core/dedup"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// callService runs a call of a plain service. The place at the target is given
// back before the answer is relayed, so a slow caller holds none.
func (c *call) callService(g *guard) {
	began := time.Now()
	answer, err := c.s.o.Service.Call(g.ctx, platform.ServiceCall{
		Request: c.open.Request,
		Method:  c.open.Method,
		Path:    c.open.Path,
		Headers: c.open.Headers,
		Body:    c.open.Body,
	})
	if err != nil {
		c.serviceFailed(g, errs.As(err), began)
		return
	}
	c.s.targetAnswered()
	if c.keyed {
		c.s.keys.finish(c.key, dedup.Answer{Status: answer.Status, Headers: answer.Headers, Body: answer.Body})
	}
	c.s.queue.answered(c.id)
	c.relay(g, &answer)
}

func (c *call) serviceFailed(g *guard, err *errs.Error, began time.Time) {
	failure, _ := c.s.diagnose(g.failure(err), began)
	c.s.targetFailed(failure)
	if c.keyed && failure.Ran != errs.RanNo {
		c.s.keys.finish(c.key, dedup.Answer{Err: failure})
	}
	c.s.queue.ended(c.id, outcomeOf(failure))
	c.end(failure, 0)
}

// outcomeOf is what the policy is told of a run that failed.
func outcomeOf(err *errs.Error) admit.Outcome {
	switch err.Type {
	case errs.TargetFailed, errs.TargetTimeout, errs.TargetCrashed, errs.StreamBroken:
		return admit.Failed
	case errs.TargetRefused:
		return admit.Finished
	}
	return admit.Stopped
}
