// Package gateway serves requests of callers that wait: it sends each to a target, follows the
// answer, and decides when another target gets it and when it is given up.
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
	// fullRetry is when a caller should come back whose request found every target full or
	// none at all: about as long as an online stream holds its slot.
	fullRetry = 600 * time.Millisecond
)

// Gateway serves online requests.
type Gateway struct {
	targets platform.TargetCaller
	view    *fleetview.View
	beliefs Beliefs
	log     hclog.Logger
	served  *logging.Routine
	sent    *logging.Routine
	shedLog *logging.Routine
	reg     metrics.Registry
	// timeouts are how long the callers of each route wait.
	timeouts    *shed.CallerTimeouts
	controllers *controllers
	access      Access
	quotas      Quotas
	quarantine  Quarantine
}

// Access says whom a request comes from.
type Access interface {
	// Authorize returns whom a request of a route comes from. Errors: errs.Unauthenticated, errs.ConfigStale.
	Authorize(route *serving.Route, c workspace.Credential) (serving.Caller, error)
}

// Quotas bound the requests of workspaces.
type Quotas interface {
	// Admit takes the allowance for one request of a workspace.
	Admit(workspace string) quota.Decision
	// Refund gives the allowance of a request back that no target has run.
	Refund(workspace string)
}

// Quarantine keeps requests under which targets have crashed from targets.
type Quarantine interface {
	// Check returns an error of type errs.Quarantined if a request must not be sent to a target.
	Check(c *quarantine.Content) error
	// AdmitRequest is Check for a request that is about to be sent.
	AdmitRequest(c *quarantine.Content) error
	// BrokenOff notes a run that a target has broken off.
	BrokenOff(b quarantine.Broken)
	// FellSilent notes a run that this process has ended because its target sent nothing for too long.
	FellSilent(b quarantine.Broken)
	// Passed notes that a run has passed; see quarantine.PassTime.
	Passed(c *quarantine.Content)
	// Served notes that a target has served a request whole.
	Served(c *quarantine.Content)
}

// Beliefs are what the process believes of the configuration, for logs.
type Beliefs interface {
	// Version is the configuration's version in force.
	Version() uint64
	// Age is how long ago the store last said what the configuration is.
	Age() time.Duration
}

// Options are what a Gateway needs to know.
type Options struct {
	Targets platform.TargetCaller
	View    *fleetview.View
	Beliefs Beliefs
	Access  Access
	Quotas  Quotas
	// Quarantine is asked before each send.
	Quarantine Quarantine

	Off     policy.Off // mechanisms that are switched off
	Log     hclog.Logger
	Metrics metrics.Registry
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{targets: o.Targets, view: o.View, beliefs: o.Beliefs, access: o.Access, quotas: o.Quotas, quarantine: o.Quarantine, log: o.Log,
		served: logging.NewRoutine(o.Log), sent: logging.NewRoutine(o.Log), shedLog: logging.NewRoutine(o.Log),
		reg: o.Metrics, timeouts: shed.NewCallerTimeouts(), controllers: newControllers(o.Off)}
}

// exchange is one request on its way.
type exchange struct {
	gw      *Gateway
	route   *serving.Route
	service string
	req     *serving.Request
	content *quarantine.Content
	out     platform.CallerAnswer
	until   time.Time // the system answers by then at the latest
	limitOf string    // whose limit that is, for the log

	tried []string // targets that got it or could not be reached
	// mayHaveRun counts the targets that may have begun with it.
	mayHaveRun int
	// hasQuota says that the request has taken its workspace's allowance.
	hasQuota bool
	// isNearLimit says that its workspace is about to go over its quota.
	isNearLimit bool
	begun       bool     // the caller has the header of an answer
	lastID      string   // of the last event that the caller has
	choices     []string // targets with what spoke for each, for the log line
	stages      stages
}

// Serve answers one request. It returns once the answer is complete or given up.
func (g *Gateway) Serve(ctx context.Context, route *serving.Route, r *serving.Request, out platform.CallerAnswer) {
	x := &exchange{
		gw: g, route: route, service: route.Service(r.ID), req: r, content: quarantine.NewContent(r).In(route.Name, ""), out: out,
		until: r.Arrived.Add(route.Timeout), limitOf: "route", lastID: r.ResumeAfter,
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(x.until) {
		x.until, x.limitOf = r.Deadline, "caller"
	}
	ctx, cancel := context.WithDeadline(ctx, x.until)
	defer cancel()
	err := x.gw.quarantine.Check(x.content)
	if err == nil {
		err = x.takeQuota()
	}
	if err == nil {
		err = x.admit(ctx)
	}
	if err == nil {
		err = x.run(ctx)
	}
	if x.hasQuota && x.mayHaveRun == 0 {
		x.gw.quotas.Refund(r.Caller.Workspace)
	}
	err = x.cause(ctx, err)
	x.record(err)
	if err != nil {
		x.finish(ctx, err)
	}
}

// cause is why the request was given up. An attempt only knows that its context has ended: that the time was
// over and that the caller has gone have different causes and are told apart here.
func (x *exchange) cause(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errs.Newf(errs.DeadlineExceeded, "no whole answer in time: %v", err)
	case ctx.Err() != nil:
		return errs.New(errs.Cancelled, "the caller has gone")
	}
	return err
}

// run tries one target after the other. A nil error means that the caller has a whole answer.
func (x *exchange) run(ctx context.Context) error {
	for {
		err := x.attempt(ctx)
		if err == nil || ctx.Err() != nil || !x.canRetry(err) {
			return err
		}
	}
}

// canRetry says whether another target may get the request after this failure.
func (x *exchange) canRetry(err error) bool {
	e := errs.As(err)
	switch e.Type {
	case errs.NoTarget, errs.Cancelled, errs.Unauthenticated, errs.ConfigStale, errs.Quarantined:
		return false
	}
	if e.Ran == errs.RanNo {
		return true
	}
	return x.route.Idempotent() && x.mayHaveRun < x.route.Attempts
}

// attempt sends the request to one target and relays its answer.
func (x *exchange) attempt(ctx context.Context) error {
	if err := x.recheckKey(); err != nil {
		return err
	}
	run, ok := x.gw.view.StartOnline(x.service, x.tried)
	if !ok {
		return x.noTarget()
	}
	defer run.Done()
	if err := x.gw.quarantine.AdmitRequest(x.content); err != nil {
		return err
	}
	x.tried = append(x.tried, run.Target.ID)
	x.choices = append(x.choices, run.Choice.String())
	a := &attempt{exchange: x, run: run}
	err := a.do(ctx)
	if err == nil {
		run.Held()
		x.gw.quarantine.Served(x.content)
	}
	return err
}

// noTarget is the failure of a request for which no target is left.
func (x *exchange) noTarget() error {
	e := errs.Newf(errs.NoTarget, "no target of service %s is left after %d", x.service, len(x.tried))
	if x.mayHaveRun > 0 {
		return e.WithRan(errs.RanUnknown)
	}
	return e.WithRetry(fullRetry)
}

// finish gives up: with a typed answer, or, where a part of one is out, by breaking it off.
func (x *exchange) finish(ctx context.Context, err error) {
	if x.begun {
		x.out.Abort()
		return
	}
	x.out.Fail(x.finalError(ctx, err))
}

// finalError is what the caller is told. That a request has not run is said only if no target
// may have begun with it.
func (x *exchange) finalError(ctx context.Context, err error) *errs.Error {
	if ctx.Err() != nil {
		err = errs.New(errs.DeadlineExceeded, "no answer in time")
	}
	if ctx.Err() != nil && x.mayHaveRun == 0 {
		err = errs.New(errs.NoTarget, "no target has taken the request in time").WithRan(errs.RanNo)
	}
	e := errs.As(err)
	if x.mayHaveRun > 0 {
		return e.WithRan(errs.RanUnknown)
	}
	if e.Type == errs.Unauthenticated || e.Type == errs.Quarantined {
		return e // coming back does not help
	}
	return e.WithRan(errs.RanNo).WithRetry(x.retryAfter(time.Duration(e.RetryAfterMs) * time.Millisecond))
}

// retryAfter is when the caller should send the request again: after the time that the failure names, or a usual
// one, but in time.
func (x *exchange) retryAfter(named time.Duration) time.Duration {
	if named == 0 {
		named = fullRetry
	}
	if x.req.Deadline.IsZero() {
		return named
	}
	return max(time.Millisecond, min(named, time.Until(x.req.Deadline)/shed.LeftShare))
}

// record writes the request's log line and counts it.
func (x *exchange) record(err error) {
	now := time.Now()
	took := now.Sub(x.req.Arrived)
	x.observe(now)
	outcome := "served"
	if err != nil {
		outcome = string(errs.As(err).Type)
	}
	metrics.GetOrRegisterCounter("online."+x.route.Kind.String()+"."+outcome, x.gw.reg).Inc(1)
	args := []any{
		"request", x.req.ID, "workspace", x.req.Caller.Workspace, "route", x.route.Name, "config", x.gw.beliefs.Version(),
		"config_age_ms", x.gw.beliefs.Age().Milliseconds(), "service", x.service, "targets", x.choices,
		"may_have_run", x.mayHaveRun, "held_ms", x.stages.held.Milliseconds(), "first_ms", x.stages.firstAfter().Milliseconds(), "outcome", outcome, "ms", took.Milliseconds(),
	}
	if err == nil {
		x.gw.served.Info(now, "request", args...)
		return
	}
	x.gw.log.Warn("request", append(args, "content", x.content.Fingerprint().String(), "error", err.Error(), "begun", x.begun, "last_event", x.lastID,
		"limit_ms", x.until.Sub(x.req.Arrived).Milliseconds(), "limit_of", x.limitOf)...)
}
