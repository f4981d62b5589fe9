// Package gateway serves online requests, which are requests whose callers wait for the answer. It sends each
// request to a target, relays the answer, and decides when to retry at another target and when to give up.
// The gateway process uses it for all requests that are not part of batch jobs.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/limit"
	"arbutusramp/core/origin"
	"arbutusramp/core/platform"
	"arbutusramp/core/policy"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/quota"
	"arbutusramp/core/serving"
	"arbutusramp/core/shed"
	"arbutusramp/core/workspace"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/sendlog"
	"arbutusramp/internal/stopping"
)

const (
	// defaultRetryAfter is the time after which a caller should retry if the error names no other time. It is
	// about as long as an online stream occupies a slot of its target.
	defaultRetryAfter = 600 * time.Millisecond
	// maxServedFields is the number of keys and values in the log line of a request that was served. The slice for them
	// does not grow.
	maxServedFields = 34
)

// Gateway serves online requests. It is safe for concurrent use.
type Gateway struct {
	targets  platform.TargetCaller
	view     *fleetview.View
	config   ConfigStatus
	log      hclog.Logger     // failed requests and failures of targets
	sendLogs sendLogs         // sends, and requests that were served
	shedLog  *logging.Routine // requests that are queued or rejected
	shareLog *logging.Routine // requests that are rejected because of the share of their workspace
	reg      metrics.Registry
	costs    *fleetview.CostRecorder
	// timeouts estimates for each route how long callers wait for an answer before they give up.
	timeouts    *shed.CallerTimeouts
	controllers *controllers
	access      Access
	quotas      Quotas
	quarantine  Quarantine
	origins     Origins
	versions    Versions
	prober      platform.TargetProber
	stop        Stop
	resumeLog   *logging.Routine // streams that callers resume
	// answerMemory bounds what all attempts hold of large answers.
	answerMemory *limit.Memory
}

// Access checks the API keys of callers.
type Access interface {
	// Authorize checks the API key of a request to a route and returns the caller that the key belongs to.
	// Errors: errs.Unauthenticated, errs.ConfigStale.
	Authorize(route *serving.Route, key workspace.Credential) (serving.Caller, error)
}

// Quotas limits the request rate of workspaces.
type Quotas interface {
	// Admit takes one request from the quota of a workspace, if the quota allows it.
	Admit(workspace string) quota.Decision
	// Refund undoes one admission of Admit. It is called for a request that no target has run.
	Refund(workspace string)
}

// Quarantine blocks requests whose content has crashed targets, and collects the outcomes of runs from which it
// derives which content to block.
type Quarantine interface {
	// Check returns an error of type errs.Quarantined if a request with content c must not be sent to a target.
	Check(c *quarantine.Content) error
	// AdmitRequest is Check for a request that is sent to a target immediately afterwards.
	AdmitRequest(c *quarantine.Content) error
	// NoteBrokenOff records a run that its target broke off: the connection failed before the answer was complete,
	// or the target has restarted.
	NoteBrokenOff(run quarantine.BrokenRun)
	// NoteSilent records a run that this process ended because its target sent nothing for too long.
	NoteSilent(run quarantine.BrokenRun)
	// NotePassed records that a run has sent events for quarantine.MinPassDuration since answeredAt, which shows that its
	// content does not crash a target at the beginning of a run.
	NotePassed(c *quarantine.Content, answeredAt time.Time)
	// NoteServed records that a target has answered a request completely, from answeredAt on.
	NoteServed(c *quarantine.Content, answeredAt time.Time)
	// NoteServedUnframed is NoteServed for an answer whose end its target may have caused by a crash, because only the
	// end of its connection has ended it.
	NoteServedUnframed(run quarantine.BrokenRun, answeredAt time.Time)
}

// Origins knows which software began a stream, also those of other gateways.
type Origins interface {
	// Announce records the origin of a stream and passes it on to other gateways. It does not block.
	Announce(r origin.Record)
	// Find returns the origin of a stream and where it is known from; ok is false if it is not known for certain.
	Find(ctx context.Context, key origin.Key) (o serving.Origin, source origin.Source, ok bool)
}

// Versions knows which versions services have had.
type Versions interface {
	// OnlyOrigin returns the origin of all streams on a route that can still be resumed; ok is false if they can have
	// several, or if that is not known.
	OnlyOrigin(ctx context.Context, route *serving.Route) (o serving.Origin, ok bool)
}

// ConfigStatus provides the version and age of the configuration, which are logged with each request.
type ConfigStatus interface {
	// Version returns the version of the configuration that this process uses.
	Version() uint64
	// Age returns the time since the store last confirmed that this version is the newest.
	Age() time.Duration
}

// Options configures a Gateway. All fields but Disabled, AnswerMemory and Stop are required.
type Options struct {
	Targets platform.TargetCaller // sends requests to targets
	View    *fleetview.View       // chooses the targets
	Config  ConfigStatus
	Access  Access // checks keys again before each send
	Quotas  Quotas
	// Quarantine is checked when a request arrives and before each send.
	Quarantine Quarantine
	// Origins is asked when a caller resumes a stream, and told when one begins.
	Origins Origins
	// Versions is asked for the origin of a stream that Origins does not know.
	Versions Versions
	// Prober checks which start of a target runs before a stream goes on there.
	Prober platform.TargetProber
	// AnswerMemory bounds what all attempts hold of large answers; nil for maxAnswerMemory.
	AnswerMemory *limit.Memory
	// Stop tells when the process stops; nil for one that never does.
	Stop Stop

	Disabled policy.Disabled // policies that are disabled
	Log      hclog.Logger
	Metrics  metrics.Registry
}

// New returns a Gateway with the given options.
func New(o Options) *Gateway {
	if o.AnswerMemory == nil {
		o.AnswerMemory = limit.NewMemory(maxAnswerMemory)
	}
	if o.Stop == nil {
		o.Stop = stopping.New()
	}
	return &Gateway{targets: o.Targets, view: o.View, config: o.Config, access: o.Access, quotas: o.Quotas, quarantine: o.Quarantine, origins: o.Origins, versions: o.Versions, prober: o.Prober, stop: o.Stop, log: o.Log,
		resumeLog: logging.NewRoutine(o.Log), answerMemory: o.AnswerMemory,
		sendLogs: newSendLogs(o.Log, o.Metrics), shedLog: logging.NewRoutine(o.Log), shareLog: logging.NewRoutine(o.Log),
		reg: o.Metrics, costs: fleetview.NewCostRecorder(o.Log, o.Metrics), timeouts: shed.NewCallerTimeouts(), controllers: newControllers(o.Disabled)}
}

// exchange is the state of one request of a caller, over all its attempts at targets.
type exchange struct {
	gw             *Gateway
	route          *serving.Route
	service        string
	req            *serving.Request
	content        *quarantine.Content   // identifies the request and its repeats for the quarantine
	callerAnswer   platform.CallerAnswer // writes the answer to the caller
	deadline       time.Time             // by then the caller has an answer or an error
	deadlineSource string                // source of that deadline, for the log: "route" or "caller"

	tried []string // ids of the targets of the attempts so far, including attempts that could not connect
	// mayRepeat is set if the last attempt may have run and broke off, so that the request may go to a target that it was
	// sent to before if there is no other one. A target that has sent more than an answer may have would do so again.
	mayRepeat bool
	// possibleRuns counts the attempts in which a target may have started the request.
	possibleRuns int
	silentFor    time.Duration // of earlier attempts; see fleet.Work
	// hasTakenQuota is true once the request has been taken from the quota of its workspace.
	hasTakenQuota bool
	// isNearQuota is true if the workspace has used up most of its quota.
	isNearQuota   bool
	hasSentHeader bool   // the header of an answer has been sent to the caller
	lastEventID   string // id of the last stream event that the caller has received, possibly from an earlier request
	// origin is what began the stream; nil before its first event.
	origin *serving.Origin
	// isPositionLost is set when the last event that the caller has received had no id, so that no target can be asked
	// to go on after it.
	isPositionLost bool
	// isOriginUncertain is set when the version of the events that the caller has is no longer certain, so that the stream
	// can't go on at another target.
	isOriginUncertain bool
	// announcedAt is when the origin was last announced; zero before the first event of this exchange.
	announcedAt time.Time
	choices     []string // for each attempt the target and why it was chosen, for the log; see noteChoice
	sends       sendlog.List
	stages      stages
	share       fleet.ShareDecision // on the request, by the share of its workspace
	// keepAnswering and hasStopped are set by endAtStop; hasStopped is true once the stop of the process has ended the request.
	keepAnswering func() bool
	hasStopped    atomic.Bool
}

// newExchange returns the exchange for a request.
func (g *Gateway) newExchange(route *serving.Route, r *serving.Request, callerAnswer platform.CallerAnswer) *exchange {
	ex := &exchange{
		gw: g, route: route, service: route.Service(r.ID), req: r, content: quarantine.NewContent(r).SetRoute(route.Name), callerAnswer: callerAnswer,
		deadline: r.Arrived.Add(route.Timeout), deadlineSource: "route", lastEventID: r.ResumeAfter,
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(ex.deadline) {
		ex.deadline, ex.deadlineSource = r.Deadline, "caller"
	}
	return ex
}

// Serve handles one request and writes its answer or error to callerAnswer. It returns when the answer is
// complete or the request has failed.
func (g *Gateway) Serve(ctx context.Context, route *serving.Route, r *serving.Request, callerAnswer platform.CallerAnswer) {
	ex := g.newExchange(route, r, callerAnswer)
	ctx, cancel := context.WithDeadline(ctx, ex.deadline)
	defer cancel()
	ex.endAtStop(cancel)
	defer ex.keepAnswering()
	err := ex.gw.quarantine.Check(ex.content)
	if err == nil && ex.isResumption() {
		err = ex.findOrigin(ctx)
	}
	if err == nil {
		err = ex.takeQuota()
	}
	if err == nil {
		err = ex.admit(ctx)
	}
	if err == nil {
		err = ex.tryTargets(ctx)
	}
	if ex.hasTakenQuota && ex.possibleRuns == 0 {
		ex.gw.quotas.Refund(r.Caller.Workspace)
	}
	err = ex.failureCause(ctx, err)
	ex.record(err)
	if err != nil {
		ex.answerError(ctx, err)
	}
}

// failureCause returns the error to report for a request that failed with err. If ctx has ended, it returns
// errs.Draining, errs.DeadlineExceeded or, for a caller that disconnected, errs.Cancelled. It returns nil for a nil err.
func (ex *exchange) failureCause(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case ex.hasStopped.Load():
		return ex.unansweredError()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errs.Newf(errs.DeadlineExceeded, "no complete answer before the deadline: %v", err)
	case ctx.Err() != nil:
		return errs.New(errs.Cancelled, "the caller disconnected")
	}
	return err
}

// work describes the request for the choice of its target.
func (ex *exchange) work() fleet.Work {
	w := fleet.Work{Service: ex.service, Route: ex.route.Name, Workspace: ex.req.Caller.Workspace, Size: ex.req.Size, IsStream: ex.route.Kind == serving.KindStream, SilentFor: ex.silentFor,
		IsRepeatable: ex.mayRunAgain(ex.possibleRuns + 1)}
	if ex.origin != nil {
		w.Version = &ex.origin.Version
	}
	return w
}

// tryTargets tries targets one after the other. A nil error means that the caller has a complete answer.
func (ex *exchange) tryTargets(ctx context.Context) error {
	for {
		err := ex.tryNextTarget(ctx)
		if err == nil || ctx.Err() != nil || !ex.canRetry(err) {
			return err
		}
		ex.mayRepeat = errs.As(err).Ran != errs.RanNo && !errs.Is(err, errs.AnswerTooLarge)
	}
}

// canRetry reports whether the request may be sent to another target after err.
func (ex *exchange) canRetry(err error) bool {
	if ex.isOriginUncertain || ex.isPositionLost {
		return false
	}
	e := errs.As(err)
	switch e.Type {
	case errs.NoTarget, errs.VersionGone, errs.Cancelled, errs.Unauthenticated, errs.ConfigStale, errs.Quarantined, errs.Draining:
		return false
	}
	if e.Ran == errs.RanNo {
		return true
	}
	return ex.mayRunAgain(ex.possibleRuns)
}

// mayRunAgain reports whether the request may be sent again after that many possible runs.
func (ex *exchange) mayRunAgain(runs int) bool {
	return ex.route.IsIdempotent() && runs < ex.route.MaxAttempts
}

// tryNextTarget sends the request to one target and relays its answer.
func (ex *exchange) tryNextTarget(ctx context.Context) error {
	if err := ex.recheckKey(); err != nil {
		return err
	}
	if err := ex.checkStop(time.Now()); err != nil {
		return err
	}
	run, ok := ex.gw.view.StartOnline(ex.work(), ex.tried)
	if !ok && ex.mayRepeat {
		run, ok = ex.gw.view.StartOnline(ex.work(), nil)
	}
	if !ok {
		return ex.noTargetError()
	}
	defer run.Done()
	if err := ex.gw.quarantine.AdmitRequest(ex.content); err != nil {
		return err
	}
	ex.tried = append(ex.tried, run.Target.ID)
	if err := ex.verifyStart(ctx, run.Target); err != nil {
		return err
	}
	ex.noteChoice(run.Choice.String())
	if run.Choice.IsByExpectedTime {
		metrics.GetOrRegisterCounter("online.choices.expected_time", ex.gw.reg).Inc(1)
	}
	a := &attempt{exchange: ex, run: run}
	err := a.sendAndRelay(ctx)
	a.noteSendEnd(err)
	ex.gw.costs.Record(run, err == nil && a.resumedAfter == "", "request", ex.req.ID)
	if err == nil {
		run.RecordHoldTime()
		a.noteServed()
	}
	return err
}

// noTargetError returns the error of a request that has been tried at all available targets of its service, or of its
// version if it goes on with a stream.
func (ex *exchange) noTargetError() error {
	if ex.origin != nil {
		return ex.versionGoneError()
	}
	e := errs.Newf(errs.NoTarget, "no other target of service %s is available after %d were tried", ex.service, len(ex.tried))
	if ex.possibleRuns > 0 {
		return e.WithRan(errs.RanUnknown)
	}
	return e.WithRetry(defaultRetryAfter)
}

// answerError sends err to the caller or, if the header of an answer has been sent already, aborts that answer.
func (ex *exchange) answerError(ctx context.Context, err error) {
	if ex.hasSentHeader {
		ex.callerAnswer.Abort()
		return
	}
	ex.callerAnswer.Fail(ex.callerError(ctx, err))
}

// callerError returns the error to send to the caller for err. It has Ran set to errs.RanNo only if no target
// can have started the request.
func (ex *exchange) callerError(ctx context.Context, err error) *errs.Error {
	switch {
	case ex.hasStopped.Load():
		err = ex.unansweredError()
	case ctx.Err() != nil && ex.possibleRuns == 0:
		err = errs.New(errs.NoTarget, "no target accepted the request before the deadline").WithRan(errs.RanNo)
	case ctx.Err() != nil:
		err = errs.New(errs.DeadlineExceeded, "no answer in time")
	}
	e := errs.As(err)
	if ex.possibleRuns > 0 {
		return e.WithRan(errs.RanUnknown)
	}
	switch e.Type {
	case errs.Unauthenticated, errs.Quarantined, errs.VersionGone, errs.StreamUnknown:
		return e // a retry would fail the same way
	}
	return e.WithRan(errs.RanNo).WithRetry(ex.retryAfter(time.Duration(e.RetryAfterMs) * time.Millisecond))
}

// retryAfter returns the time after which the caller should retry: suggested, or defaultRetryAfter if suggested
// is 0, but at most the time left until the caller's deadline divided by shed.MaxRetryDivisor.
func (ex *exchange) retryAfter(suggested time.Duration) time.Duration {
	if suggested == 0 {
		suggested = defaultRetryAfter
	}
	if ex.req.Deadline.IsZero() {
		return suggested
	}
	return max(time.Millisecond, min(suggested, time.Until(ex.req.Deadline)/shed.MaxRetryDivisor))
}

// answerTime returns the time from the arrival of the request to what the latency goal is for: the start of the answer
// of a stream, the whole answer of a call. It is 0 without an answer.
func (ex *exchange) answerTime(now time.Time) time.Duration {
	switch {
	case ex.stages.answerStart.IsZero():
		return 0
	case ex.work().IsStream:
		return ex.stages.answerStart.Sub(ex.req.Arrived)
	}
	return now.Sub(ex.req.Arrived)
}

// record logs the outcome of the request and counts it in the metrics.
func (ex *exchange) record(err error) {
	now := time.Now()
	total := now.Sub(ex.req.Arrived)
	ex.observeStages(now)
	outcome := "served"
	if err != nil {
		outcome = string(errs.As(err).Type)
	}
	metrics.GetOrRegisterCounter("online."+ex.route.Kind.String()+"."+outcome, ex.gw.reg).Inc(1)
	fields := append(make([]any, 0, maxServedFields),
		"request", ex.req.ID, "workspace", ex.req.Caller.Workspace, "route", ex.route.Name, "config", ex.gw.config.Version(),
		"config_age_ms", ex.gw.config.Age().Milliseconds(), "service", ex.service, "targets", ex.choices,
		"may_have_run", ex.possibleRuns, "held_ms", ex.stages.queueTime.Milliseconds(), "first_ms", ex.stages.timeToAnswerStart().Milliseconds(), "outcome", outcome, "ms", total.Milliseconds(),
		"answer_ms", ex.answerTime(now).Milliseconds(), "goal_ms", ex.route.LatencyGoal.Milliseconds(),
	)
	if ex.origin != nil {
		fields = append(fields, "version", ex.origin.Version)
	}
	fields = ex.sends.Fields(fields)
	ex.countResent()
	if err == nil {
		ex.logServed(now, fields)
		return
	}
	ex.gw.log.Warn("request", append(fields, "content", ex.content.Fingerprint().String(), "error", err.Error(), "begun", ex.hasSentHeader, "last_event", ex.lastEventID,
		"limit_ms", ex.deadline.Sub(ex.req.Arrived).Milliseconds(), "limit_of", ex.deadlineSource)...)
}
