package choose

import (
	"time"

	"arbutusramp/core/errs"
)

const (
	// retryNoTarget is when to come back after NoTarget: sessions are redialled within it.
	retryNoTarget = time.Second
	// retryMin is the shortest time to come back after a refusal for load.
	retryMin = 50 * time.Millisecond
)

func noTarget(d *Decision) *errs.Error {
	why := "no target is connected"
	if len(d.Dropped) > 0 {
		why = "every target is out: " + d.Dropped[0].Reason
	}
	return errs.New(errs.NoTarget, why).WithRetry(retryNoTarget)
}

// refuse answers early when no candidate can meet the deadline or all are full: a caller who
// is told now can come back, one who waits in a queue in vain can't.
func (p *Policy) refuse(r *Request, v *View, d *Decision) *errs.Error {
	if r.Begun {
		return nil
	}
	best := time.Duration(-1)
	full := true
	for _, k := range d.Kept {
		c := &v.Candidates[k.Index]
		full = full && p.full(c)
		if est := c.Estimate(); best < 0 || est < best {
			best = est
		}
	}
	if full {
		return errs.New(errs.Overloaded, "the queues of all targets are full").
			WithRetry(max(retryMin, best))
	}
	if best > r.TimeLeft {
		return errs.New(errs.DeadlineUnmet, "no target is expected to answer before the deadline").
			WithRetry(max(retryMin, best-r.TimeLeft))
	}
	return nil
}

// full never holds where the limit is not known yet: the side decides then.
func (p *Policy) full(c *Candidate) bool {
	if c.Limit == 0 || p.QueuePerLimit == 0 {
		return false
	}
	return c.Outstanding() >= c.Limit*(1+p.QueuePerLimit)
}
