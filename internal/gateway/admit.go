package gateway

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/policy"
	"arbutusramp/core/shed"
	"arbutusramp/core/sleep"
)

const (
	// queuePollInterval is how often a queued request checks for a free slot. A request holds a slot for a few
	// hundred milliseconds.
	queuePollInterval = 10 * time.Millisecond
	// maxControllers bounds the number of services with a controller. Services come and go. At the bound all
	// controllers are dropped and start again without history.
	maxControllers = 1024
)

// controller is the shed.Controller of one service, guarded by a mutex.
type controller struct {
	mu sync.Mutex
	shed.Controller
}

// controllers holds the controller of each service. It is safe for concurrent use.
type controllers struct {
	off       policy.Off
	mu        sync.Mutex
	byService map[string]*controller
}

func newControllers(off policy.Off) *controllers {
	return &controllers{off: off, byService: make(map[string]*controller)}
}

// get returns the controller of a service and creates it on first use.
func (l *controllers) get(service string) *controller {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.byService[service]
	if !ok {
		if len(l.byService) >= maxControllers {
			clear(l.byService)
		}
		c = &controller{Controller: shed.Controller{Off: l.off}}
		l.byService[service] = c
	}
	return c
}

// admit returns nil once the request may be sent to a target. No part of the request is sent anywhere before.
// Errors: errs.Overloaded, if the caller should retry later or the request can't be served, and the error of
// ctx.
func (x *exchange) admit(ctx context.Context) error {
	timeLeft := x.callerTimeLeft()
	initialTimeout := x.gw.timeouts.Note(x.route.Name, timeLeft)
	request := x.newShedRequest(initialTimeout)
	ctrl := x.gw.controllers.get(x.service)
	ctrl.mu.Lock()
	decision := ctrl.Arrive(time.Now(), request)
	ctrl.mu.Unlock()
	x.logVerdict(decision.Verdict, request)
	switch decision.Verdict {
	case shed.Send:
		return nil
	case shed.Queue:
		return x.queue(ctx, ctrl, decision.Queued, initialTimeout)
	}
	err := errs.Newf(errs.Overloaded, "%s: a slot is expected to be free after %d ms, the route's goal for an answer is %d ms",
		decision.Verdict, request.Wait.Milliseconds(), request.Goal.Milliseconds())
	return err.WithRetry(decision.After)
}

// newShedRequest returns what the admission decision depends on: the current prospects of the service and the
// limits of the request and its route.
func (x *exchange) newShedRequest(initialTimeout time.Duration) shed.Request {
	prospect := x.gw.view.Prospect(x.service)
	return shed.Request{
		Wait: prospect.Wait, Hold: prospect.Hold, Pace: prospect.Pace, Goal: x.route.Goal,
		Remaining: x.callerTimeLeft(), InitialTimeout: initialTimeout, IdleTimeout: x.route.Stay, HigherRanks: x.higherRanks(),
	}
}

// higherRanks returns the number of request ranks that take precedence over this request in an overload. A
// request of a workspace that is close to its quota yields to all others of its own rank, so that a workspace
// with many requests does not displace the others before its quota applies.
func (x *exchange) higherRanks() int {
	n := x.route.HigherRanks(x.req.Caller.RankOn(x.route))
	if x.isNearLimit {
		n++
	}
	return n
}

// queue holds the request until a slot is free for it. It returns the error of ctx if ctx ends first.
func (x *exchange) queue(ctx context.Context, ctrl *controller, queued *shed.QueuedRequest, initialTimeout time.Duration) error {
	began := time.Now()
	defer func() { x.stages.queueTime = time.Since(began) }()
	for {
		if !sleep.For(ctx, queuePollInterval) {
			ctrl.dequeue(queued, false)
			return ctx.Err()
		}
		if ctrl.canRecheck(queued) && ctrl.recheck(queued, x.newShedRequest(initialTimeout)) == shed.Send {
			ctrl.dequeue(queued, true)
			return nil
		}
	}
}

// canRecheck reports whether a recheck of a queued request could yield another verdict than shed.Queue. Only
// the first request of the queue and expired ones can, so the prospects of the others need not be computed.
func (c *controller) canRecheck(queued *shed.QueuedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.IsFirst(queued) || queued.IsExpired(time.Now())
}

func (c *controller) recheck(queued *shed.QueuedRequest, r shed.Request) shed.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Recheck(time.Now(), queued, r)
}

func (c *controller) dequeue(queued *shed.QueuedRequest, isAdmitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Dequeue(time.Now(), queued, isAdmitted)
}

// callerTimeLeft returns how much longer the caller was willing to wait when the request arrived; 0 if it
// sent no deadline.
func (x *exchange) callerTimeLeft() time.Duration {
	if x.req.Deadline.IsZero() {
		return 0
	}
	return x.req.Deadline.Sub(x.req.Arrived)
}

// logVerdict logs why a request is not sent immediately. A request that is sent immediately has the log line
// "sent".
func (x *exchange) logVerdict(v shed.Verdict, r shed.Request) {
	if v == shed.Send {
		return
	}
	x.gw.shedLog.Info(time.Now(), "overload", "request", x.req.ID, "route", x.route.Name, "verdict", v.String(), "wait_ms", r.Wait.Milliseconds(),
		"hold_ms", r.Hold.Milliseconds(), "pace", r.Pace, "left_ms", r.Remaining.Milliseconds(), "full_ms", r.InitialTimeout.Milliseconds())
}
