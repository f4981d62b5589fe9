// Package gateway serves online requests, whose callers wait for the answer. It sends each request to a
// target, relays the answer, and decides when to retry at another target and when to give up.
package gateway

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/policy"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/quota"
	"arbutusramp/core/serving"
	"arbutusramp/core/shed"
	"arbutusramp/core/workspace"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/logging"
)

const (
	// defaultRetryAfter is the time after which a caller should retry if no target was available and the
	// error names no other time. It is about as long as an online stream holds its slot.
	defaultRetryAfter = 600 * time.Millisecond
)

// Gateway serves online requests. It is safe for concurrent use.
type Gateway struct {
	targets   platform.TargetCaller
	view      *fleetview.View
	config    Beliefs
	log       hclog.Logger
	servedLog *logging.Routine
	sentLog   *logging.Routine
	shedLog   *logging.Routine
	reg       metrics.Registry
	// timeouts holds, for each route, how long its callers usually wait.
	timeouts    *shed.CallerTimeouts
	controllers *controllers
	access      Access
	quotas      Quotas
	quarantine  Quarantine
}

// Access authorizes requests.
type Access interface {
	// Authorize returns the caller of a request to a route. Errors: errs.Unauthenticated, errs.ConfigStale.
	Authorize(route *serving.Route, c workspace.Credential) (serving.Caller, error)
}

// Quotas limits the request rate of workspaces.
type Quotas interface {
	// Admit takes one request from the quota of a workspace.
	Admit(workspace string) quota.Decision
	// Refund returns a request to the quota of its workspace, if no target has run it.
	Refund(workspace string)
}

// Quarantine blocks requests that have crashed targets.
type Quarantine interface {
	// Check returns an error of type errs.Quarantined if a request must not be sent to a target.
	Check(c *quarantine.Content) error
	// AdmitRequest is like Check, for a request that is about to be sent.
	AdmitRequest(c *quarantine.Content) error
	// BrokenOff records a run that its target broke off.
	BrokenOff(b quarantine.Broken)
	// FellSilent records a run that this process ended because its target sent nothing for too long.
	FellSilent(b quarantine.Broken)
	// Passed records that a run lasted for quarantine.PassTime after its first event.
	Passed(c *quarantine.Content)
	// Served records that a target has answered a request completely.
	Served(c *quarantine.Content)
}

// Beliefs is the state of the configuration in this process, for logs.
type Beliefs interface {
	// Version returns the version of the configuration in force.
	Version() uint64
	// Age returns the time since the store last confirmed the configuration.
	Age() time.Duration
}

// Options configures a Gateway. All fields but Off are required.
type Options struct {
	Targets platform.TargetCaller
	View    *fleetview.View
	Beliefs Beliefs
	Access  Access
	Quotas  Quotas
	// Quarantine is checked when a request arrives and before each send.
	Quarantine Quarantine

	Off     policy.Off // policies that are disabled
	Log     hclog.Logger
	Metrics metrics.Registry
}

// New returns a gateway that serves with the given options.
func New(o Options) *Gateway {
	return &Gateway{targets: o.Targets, view: o.View, config: o.Beliefs, access: o.Access, quotas: o.Quotas, quarantine: o.Quarantine, log: o.Log,
		servedLog: logging.NewRoutine(o.Log), sentLog: logging.NewRoutine(o.Log), shedLog: logging.NewRoutine(o.Log),
		reg: o.Metrics, timeouts: shed.NewCallerTimeouts(), controllers: newControllers(o.Off)}
}

// exchange is the state of one request and its answer.
type exchange struct {
	gw             *Gateway
	route          *serving.Route
	service        string
	req            *serving.Request
	content        *quarantine.Content
	out            platform.CallerAnswer
	deadline       time.Time // the request ends with an answer or an error by then
	deadlineSource string    // source of that deadline, for the log: "route" or "caller"

	tried []string // ids of the targets that got the request or were unreachable
	// possibleRuns counts the targets that may have started the request.
	possibleRuns int
	// hasQuota is true once the request has taken from the quota of its workspace.
	hasQuota bool
	// isNearLimit is true if the workspace is close to its quota.
	isNearLimit   bool
	hasSentHeader bool     // the header of an answer has been sent to the caller
	lastEventID   string   // id of the last event that was sent to the caller
	choices       []string // the targets with the reasons for their choice, for the log
	stages        stages
}

// Serve answers one request. It returns when the answer is complete or the request has failed.
func (g *Gateway) Serve(ctx context.Context, route *serving.Route, r *serving.Request, out platform.CallerAnswer) {
	x := &exchange{
		gw: g, route: route, service: route.Service(r.ID), req: r, content: quarantine.NewContent(r).In(route.Name, ""), out: out,
		deadline: r.Arrived.Add(route.Timeout), deadlineSource: "route", lastEventID: r.ResumeAfter,
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(x.deadline) {
		x.deadline, x.deadlineSource = r.Deadline, "caller"
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	err := x.gw.quarantine.Check(x.content)
	if err == nil {
		err = x.takeQuota()
	}
	if err == nil {
		err = x.admit(ctx)
	}
	if err == nil {
		err = x.tryTargets(ctx)
	}
	if x.hasQuota && x.possibleRuns == 0 {
		x.gw.quotas.Refund(r.Caller.Workspace)
	}
	err = x.failureCause(ctx, err)
	x.record(err)
	if err != nil {
		x.answerError(ctx, err)
	}
}

// failureCause returns why the request failed. An attempt only sees that its context has ended; this separates an
// expired deadline from a caller that disconnected. A nil err stays nil.
func (x *exchange) failureCause(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errs.Newf(errs.DeadlineExceeded, "no complete answer before the deadline: %v", err)
	case ctx.Err() != nil:
		return errs.New(errs.Cancelled, "the caller disconnected")
	}
	return err
}

// tryTargets tries targets one after the other. A nil error means that the caller has a complete answer.
func (x *exchange) tryTargets(ctx context.Context) error {
	for {
		err := x.tryNextTarget(ctx)
		if err == nil || ctx.Err() != nil || !x.canRetry(err) {
			return err
		}
	}
}

// canRetry reports whether the request may be sent to another target after err.
func (x *exchange) canRetry(err error) bool {
	e := errs.As(err)
	switch e.Type {
	case errs.NoTarget, errs.Cancelled, errs.Unauthenticated, errs.ConfigStale, errs.Quarantined:
		return false
	}
	if e.Ran == errs.RanNo {
		return true
	}
	return x.route.Idempotent() && x.possibleRuns < x.route.Attempts
}

// tryNextTarget sends the request to one target and relays its answer.
func (x *exchange) tryNextTarget(ctx context.Context) error {
	if err := x.recheckKey(); err != nil {
		return err
	}
	run, ok := x.gw.view.StartOnline(x.service, x.tried)
	if !ok {
		return x.noTargetError()
	}
	defer run.Done()
	if err := x.gw.quarantine.AdmitRequest(x.content); err != nil {
		return err
	}
	x.tried = append(x.tried, run.Target.ID)
	x.choices = append(x.choices, run.Choice.String())
	a := &attempt{exchange: x, run: run}
	err := a.sendAndRelay(ctx)
	if err == nil {
		run.Held()
		x.gw.quarantine.Served(x.content)
	}
	return err
}

// noTargetError returns the error of a request for which no untried target is left.
func (x *exchange) noTargetError() error {
	e := errs.Newf(errs.NoTarget, "no target of service %s is left after trying %d", x.service, len(x.tried))
	if x.possibleRuns > 0 {
		return e.WithRan(errs.RanUnknown)
	}
	return e.WithRetry(defaultRetryAfter)
}

// answerError fails the request: with an error answer or, if a part of an answer has been sent, by aborting
// that answer.
func (x *exchange) answerError(ctx context.Context, err error) {
	if x.hasSentHeader {
		x.out.Abort()
		return
	}
	x.out.Fail(x.callerError(ctx, err))
}

// callerError returns the error that the caller gets. It states that the request has not run only if no
// target may have started it.
func (x *exchange) callerError(ctx context.Context, err error) *errs.Error {
	if ctx.Err() != nil {
		err = errs.New(errs.DeadlineExceeded, "no answer in time")
	}
	if ctx.Err() != nil && x.possibleRuns == 0 {
		err = errs.New(errs.NoTarget, "no target accepted the request before the deadline").WithRan(errs.RanNo)
	}
	e := errs.As(err)
	if x.possibleRuns > 0 {
		return e.WithRan(errs.RanUnknown)
	}
	if e.Type == errs.Unauthenticated || e.Type == errs.Quarantined {
		return e // a retry would fail the same way
	}
	return e.WithRan(errs.RanNo).WithRetry(x.retryAfter(time.Duration(e.RetryAfterMs) * time.Millisecond))
}

// retryAfter returns when the caller should retry: after the time that the error names, or defaultRetryAfter
// if it names none, but early enough before the deadline of the caller.
func (x *exchange) retryAfter(suggested time.Duration) time.Duration {
	if suggested == 0 {
		suggested = defaultRetryAfter
	}
	if x.req.Deadline.IsZero() {
		return suggested
	}
	return max(time.Millisecond, min(suggested, time.Until(x.req.Deadline)/shed.LeftShare))
}

// record logs the outcome of the request and counts it in the metrics.
func (x *exchange) record(err error) {
	now := time.Now()
	total := now.Sub(x.req.Arrived)
	x.observeStages(now)
	outcome := "served"
	if err != nil {
		outcome = string(errs.As(err).Type)
	}
	metrics.GetOrRegisterCounter("online."+x.route.Kind.String()+"."+outcome, x.gw.reg).Inc(1)
	args := []any{
		"request", x.req.ID, "workspace", x.req.Caller.Workspace, "route", x.route.Name, "config", x.gw.config.Version(),
		"config_age_ms", x.gw.config.Age().Milliseconds(), "service", x.service, "targets", x.choices,
		"may_have_run", x.possibleRuns, "held_ms", x.stages.queueTime.Milliseconds(), "first_ms", x.stages.timeToAnswerStart().Milliseconds(), "outcome", outcome, "ms", total.Milliseconds(),
	}
	if err == nil {
		x.gw.servedLog.Info(now, "request", args...)
		return
	}
	x.gw.log.Warn("request", append(args, "content", x.content.Fingerprint().String(), "error", err.Error(), "begun", x.hasSentHeader, "last_event", x.lastEventID,
		"limit_ms", x.deadline.Sub(x.req.Arrived).Milliseconds(), "limit_of", x.deadlineSource)...)
}
