package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/policy"
	"arbutusramp/core/shed"
	"arbutusramp/core/sleep"
)

const (
	// queuePollInterval is how often a queued request checks for a free slot. It is short compared to the few
	// hundred milliseconds for which a request occupies a slot.
	queuePollInterval = 10 * time.Millisecond
	// maxControllers bounds the number of services with a controller, since controllers of removed services
	// are not deleted. At the bound all controllers are dropped and created again without their history.
	maxControllers = 1024
)

// controller decides which requests of one service are sent, queued or rejected in an overload. mu guards the
// embedded shed.Controller.
type controller struct {
	mu sync.Mutex
	shed.Controller
}

// controllers holds the controller of each service. It is safe for concurrent use.
type controllers struct {
	off       policy.Disabled
	mu        sync.Mutex
	byService map[string]*controller
}

func newControllers(off policy.Disabled) *controllers {
	return &controllers{off: off, byService: make(map[string]*controller)}
}

// get returns the controller of a service and creates it on first use.
func (cs *controllers) get(service string) *controller {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c, ok := cs.byService[service]
	if !ok {
		if len(cs.byService) >= maxControllers {
			clear(cs.byService)
		}
		c = &controller{Controller: shed.Controller{Disabled: cs.off}}
		cs.byService[service] = c
	}
	return c
}

// admit waits until the request may be sent to a target. It returns nil then, an error of type errs.Overloaded
// if the request is rejected because of an overload, or the error of ctx if ctx ends first.
func (ex *exchange) admit(ctx context.Context) error {
	timeLeft := ex.callerTimeLeft()
	initialTimeout := ex.gw.timeouts.Observe(ex.route.Name, timeLeft)
	prospect, request := ex.newShedRequest(initialTimeout)
	ex.applyShare(&request)
	ctrl := ex.gw.controllers.get(ex.service)
	ctrl.mu.Lock()
	decision := ctrl.Arrive(time.Now(), request)
	ctrl.mu.Unlock()
	ex.logVerdict(decision, prospect, request)
	ex.noteShare(decision.Verdict)
	if decision.Verdict != shed.Send {
		ex.gw.view.NoteOverload(ex.service)
	}
	switch decision.Verdict {
	case shed.Send:
		return nil
	case shed.Queue:
		return ex.queue(ctx, ctrl, decision.Queued, initialTimeout)
	}
	if decision.Verdict == shed.RetryLater && request.CapacityAfter > 0 {
		metrics.GetOrRegisterCounter("online.overload.forecast_retries", ex.gw.reg).Inc(1)
	}
	if ex.share.IsOverShare {
		return ex.overShareError().WithRetry(decision.RetryAfter)
	}
	return overloadError(decision, request)
}

// overloadError returns the error of a request that is rejected because of an overload.
func overloadError(decision shed.Decision, request shed.Request) error {
	err := errs.Newf(errs.Overloaded, "%s: a slot is expected to be free after %d ms, the route's goal for an answer is %d ms",
		decision.Verdict, request.ExpectedWait.Milliseconds(), request.LatencyGoal.Milliseconds())
	if request.ServiceTime > 0 && decision.RetryAfter == 0 {
		return err // gets the default retry time
	}
	return err.WithRetry(decision.RetryAfter)
}

// newShedRequest returns the input of an admission decision: the expected wait for a slot of the service, and
// the deadline, timeouts and rank of the request. initialTimeout is how long callers of the route usually wait
// for an answer. The estimate that the input was made from is returned for the log.
func (ex *exchange) newShedRequest(initialTimeout time.Duration) (fleet.Estimate, shed.Request) {
	prospect := ex.gw.view.Prospect(ex.work())
	request := shed.Request{
		ExpectedWait: prospect.Wait, HoldTime: prospect.HoldTime, StartRate: prospect.StartRate, LatencyGoal: ex.route.LatencyGoal,
		Remaining: ex.callerTimeLeft(), InitialTimeout: initialTimeout, IdleTimeout: ex.route.EventTimeout, HigherRanks: ex.higherRanks(),
		ServiceTime: prospect.ServiceTime, WaitStep: prospect.WaitStep,
	}
	if request.ServiceTime > 0 && request.ExpectedWait > 0 {
		request.CapacityAfter = ex.gw.view.CapacityAfter(ex.service, request.Remaining/shed.MaxRetryDivisor)
	}
	return prospect, request
}

// higherRanks returns the number of ranks whose requests take precedence over this request in an overload. A
// request of a workspace that is close to its quota yields to all others of its own rank, so that a workspace
// with many requests does not displace the others before the quota rejects its requests.
func (ex *exchange) higherRanks() int {
	n := ex.route.HigherRanks(ex.req.Caller.RankOn(ex.route))
	if ex.isNearQuota {
		n++
	}
	return n
}

// queue waits until the queued request may be sent. It returns the error of ctx if ctx ends first.
func (ex *exchange) queue(ctx context.Context, ctrl *controller, queued *shed.QueuedRequest, initialTimeout time.Duration) error {
	began := time.Now()
	defer func() { ex.stages.queueTime = time.Since(began) }()
	for {
		if !sleep.For(ctx, queuePollInterval) {
			ctrl.dequeue(queued, false)
			return ctx.Err()
		}
		if err := ex.checkStop(time.Now()); err != nil {
			ctrl.dequeue(queued, false)
			return err
		}
		if !ctrl.canRecheck(queued) {
			continue
		}
		prospect, request := ex.newQueuedRequest(initialTimeout)
		switch verdict := ctrl.recheck(queued, request); verdict {
		case shed.Send:
			ctrl.dequeue(queued, true)
			return nil
		case shed.RetryLater:
			ctrl.dequeue(queued, false)
			ex.noteShare(verdict)
			return ex.overShareError()
		case shed.Reject:
			ctrl.dequeue(queued, false)
			decision := shed.Decision{Verdict: verdict}
			ex.logVerdict(decision, prospect, request)
			return overloadError(decision, request)
		}
	}
}

// canRecheck reports whether a recheck of a queued request could yield another verdict than shed.Queue. This is
// so only for the first request of the queue and for expired requests. For the others the expected wait need
// not be computed.
func (c *controller) canRecheck(queued *shed.QueuedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.IsFirst(now, queued) || queued.IsExpired(now)
}

// recheck decides again about a queued request.
func (c *controller) recheck(queued *shed.QueuedRequest, request shed.Request) shed.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Recheck(time.Now(), queued, request)
}

// dequeue removes a request from the queue. isAdmitted is true if it is sent to a target now.
func (c *controller) dequeue(queued *shed.QueuedRequest, isAdmitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Dequeue(time.Now(), queued, isAdmitted)
}

// callerTimeLeft returns the time from the arrival of the request to the deadline that its caller sent; 0 if it
// sent none.
func (ex *exchange) callerTimeLeft() time.Duration {
	if ex.req.Deadline.IsZero() {
		return 0
	}
	return ex.req.Deadline.Sub(ex.req.Arrived)
}

// logVerdict logs that a request is queued or rejected, with the values behind the decision. A request that is
// sent immediately is logged by logSent instead.
func (ex *exchange) logVerdict(decision shed.Decision, prospect fleet.Estimate, request shed.Request) {
	if decision.Verdict == shed.Send {
		return
	}
	fields := []any{"request", ex.req.ID, "route", ex.route.Name, "verdict", decision.Verdict.String(), "wait_ms", request.ExpectedWait.Milliseconds(),
		"hold_ms", request.HoldTime.Milliseconds(), "pace", request.StartRate, "left_ms", request.Remaining.Milliseconds(), "full_ms", request.InitialTimeout.Milliseconds()}
	if request.ServiceTime > 0 {
		fields = append(fields, "target", prospect.Target, "slowness", prospect.Slowness, "service_ms", request.ServiceTime.Milliseconds(),
			"capacity_ms", request.CapacityAfter.Milliseconds(), "retry_ms", decision.RetryAfter.Milliseconds())
	}
	ex.gw.shedLog.Info(time.Now(), "overload", fields...)
}
