package backlog

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/events"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/sendlog"
	"arbutusramp/internal/telemetry"
)

const (
	// itemIdleTimeout is how long an item's stream may be idle before its run is cancelled and the item is
	// moved to another target. A stream may wait in its target's queue, so the timeout is longer than the one
	// for a target that sends nothing on any stream. The watchdog's effective timeout is
	// max(itemIdleTimeout, 2*Run.IdleLimit()) + Run.MaxQueueWait(): IdleLimit is the time for which a working target
	// of the service may send nothing, MaxQueueWait the longest wait for a slot at the target.
	itemIdleTimeout = 1500 * time.Millisecond
	// watchdogInterval is the interval at which a watchdog checks its run.
	watchdogInterval = 100 * time.Millisecond
)

// Names of the histograms of the stages of an item in this process, in milliseconds.
const (
	waitMetric  = "item.wait_ms" // from the creation of the item's task to its first run
	runMetric   = "item.run_ms"  // duration of one run at a target
	storeMetric = "item.list_ms" // from the item's outcome until its result is in the store
)

// runVerdict is the outcome of one run of an item.
type runVerdict uint8

const (
	runInterrupted runVerdict = iota // the item resumes later, after its last event
	runLost                          // the target has failed during the run; the item resumes later
	runComplete                      // the item has its whole output
	runFailed                        // the target has answered with status 500; counts as a failed attempt
	runRejected                      // the target has answered with status 422; no target can run the item
	runFlooded                       // the target has sent more than the item can have; the item begins again from the start
)

// runItem runs a task's item once, at the target of r, from the event after the task's last one. It applies the
// outcome of the run to the task.
func (m *Manager) runItem(ctx context.Context, t *task, r *fleetview.Run, route *serving.Route) {
	fromEvent, eventsBefore := t.lastEvent(), t.eventCount()
	began := time.Now()
	fields := []any{
		"job", t.job.ID, "item", t.item().ID, "shard", t.shard.index, "epoch", t.shard.epoch, "route", route.Name, "target", r.Choice.String(),
		"version", r.Target.Version, "parts", t.item().Prompt.String(), "from_event", fromEvent, "uri", t.item().URI, "body_bytes", len(t.item().Body), "body_sum", bodyChecksum(t.item().Body),
	}
	number := m.sendLogs.logSent(t, began, append(fields, r.ForecastFields()...))
	end := runSend{}
	v, err := m.streamItem(ctx, t, r, &end)
	m.costs.Record(r, v == runComplete && fromEvent == "", "item", t.item().ID)
	r.Done()
	took := time.Since(began)
	timeToFirstEvent, timeSinceLastEvent := r.EventTimes()
	telemetry.Observe(m.registry, runMetric, took)
	if v != runFlooded {
		m.runTimes.ObserveRun(t.job.Route, t.eventCount()-eventsBefore, took)
	}
	if v == runComplete {
		m.runTimes.ObserveItem(t.job.Route, t.eventCount(), t.item().Tokens)
	}
	toEvent, isPreempted := t.lastEvent(), t.finishRun(runEnd{target: r.Target.ID, verdict: v, hasAdvanced: t.eventCount() > eventsBefore, silentFor: end.silentFor})
	m.scheduler.notifyRunFinished()
	if isPreempted && t.eventCount() == eventsBefore {
		metrics.GetOrRegisterCounter(cutWithoutGainMetric, m.registry).Inc(1)
	}
	switch v {
	case runFailed:
		m.saveFailure(t)
	case runFlooded:
		m.dropCheckpoint(t)
	}
	m.sendLogs.logRun(t, &end, []any{
		"job", t.job.ID, "item", t.item().ID, "shard", t.shard.index, "epoch", t.shard.epoch,
		"route", route.Name, "target", r.Choice.String(), "from_event", fromEvent, "to_event", toEvent, "ms", took.Milliseconds(),
		"first_ms", timeToFirstEvent.Milliseconds(), "idle_ms", timeSinceLastEvent.Milliseconds(), "verdict", v.String(), "preempted", isPreempted, "error", errText(err),
	}, sendlog.Send{Number: number, Target: r.Target.ID, TookMs: sendlog.Milliseconds(took), AfterEvent: fromEvent}, err)
}

// String returns the verdict as it is logged.
func (v runVerdict) String() string {
	return [...]string{"go on", "target lost", "complete", "failed", "hopeless", "too large"}[v]
}

// bodyChecksum returns the checksum that identifies an item's body in the log lines about receiving, sending
// and returning it.
func bodyChecksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// errText returns the message of err; empty for nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// runEnd describes the end of a run.
type runEnd struct {
	target      string // id of the target
	verdict     runVerdict
	hasAdvanced bool          // the run has added events to the text
	silentFor   time.Duration // see runSend
}

// finishRun applies the end of a run to the task, and passes the item's result to the shard if the run decides it. It
// reports whether the run was preempted. The run counts as active until the verdict is applied: the scheduler starts a
// task again that has no active run and no outcome.
func (t *task) finishRun(end runEnd) (isPreempted bool) {
	result, isPreempted := t.applyVerdict(end)
	if result != nil && !t.shard.enqueueResult(result) {
		// The shard has been released, so the result can't be written here. It is saved as progress, so that the
		// next owner writes it without running the whole item again. This happens if the process was suspended and
		// reads what its targets have sent meanwhile only after it has released its shards.
		t.shard.m.log.Info("end handed over", "job", t.job.ID, "item", t.item().ID, "shard", t.shard.index, "epoch", t.shard.epoch, "outcome", result.outcome)
		t.shard.m.saveProgress([]*task{t})
	}
	return isPreempted
}

// applyVerdict updates the task after a run. It returns the item's result if the run decides it, else nil. The caller
// passes the result to the shard, which must not happen under the task's lock.
func (t *task) applyVerdict(end runEnd) (result *pendingResult, isPreempted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasActiveRun = false
	now := time.Now()
	if end.hasAdvanced {
		t.lostRuns = 0
	}
	t.noteSilence(end)
	switch end.verdict {
	case runLost:
		t.lostRuns++
		t.lostAt, t.crashWait = now, backlog.NewCrashWait(t.lostRuns, rand.Float64())
		t.avoided.add(now, end.target, avoidTime)
		return nil, t.isPreempted
	case runFlooded:
		return t.applyFlood(end, now), t.isPreempted
	case runComplete:
		return t.setOutcome(backlog.Complete, string(t.text)), t.isPreempted
	case runRejected:
		return t.setOutcome(backlog.Errored, ""), t.isPreempted
	case runFailed:
		t.failures++
		if t.failures >= t.job.MaxAttempts {
			return t.setOutcome(backlog.Errored, ""), t.isPreempted
		}
		t.avoided.add(now, end.target, maxAvoidTime)
	}
	if t.isPreempted {
		return nil, true // cancelled for online requests, not because of a fault of its target
	}
	t.avoided.add(now, end.target, avoidTime)
	t.notBefore = now.Add(retryDelay)
	return nil, false
}

// streamItem sends the item to the target of r and appends the events of its stream to the task. It returns the
// verdict on the run, and the reason unless that is runComplete. It fills in end.
func (m *Manager) streamItem(ctx context.Context, t *task, r *fleetview.Run, end *runSend) (runVerdict, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wd := newWatchdog(ctx, cancel, r)
	r.OnTargetEnd(cancel)
	fromEvent := t.lastEvent()
	defer func() { end.silentFor = wd.silentFor(ctx) }()
	answer, err := m.targets.Send(ctx, platform.TargetCall{Target: r.Target, Request: t.request, ResumeAfter: fromEvent, Record: &end.record})
	end.setAnswer(answer, err)
	if err != nil {
		return m.classifyRunError(ctx, t, wd, err)
	}
	defer answer.Body.Close()
	if answer.Foreign {
		return runInterrupted, errs.New(errs.TargetFailed, "the answer belongs to another request")
	}
	r.ObservePace(answer)
	wd.noteEvent()
	if v, err := m.classifyAnswer(t, r, answer); v != runComplete {
		return v, err
	}
	eventsLeft := m.runTimes.EventsLeft(t.job.Route, t.item().Tokens, t.eventCount())
	reader := events.NewReader(answer.Body)
	for isFirst := true; ; {
		e, err := reader.Next()
		if err == io.EOF && answer.IsUnframed && isFirst && fromEvent == "" {
			err = io.ErrUnexpectedEOF // as from a target that crashes when it begins to answer
		}
		if err == io.EOF {
			return runComplete, nil
		}
		if err != nil {
			return m.classifyRunError(ctx, t, wd, err)
		}
		if !e.HasContent() {
			continue // blank lines and comments are neither progress nor a part of the text
		}
		wd.noteEvent()
		r.RecordEvent()
		eventsLeft--
		unsavedEvents, err := t.appendEvent(e, r, isFirst)
		if err != nil {
			return runInterrupted, err
		}
		isFirst = false
		if err := m.checkText(t, len(e.Data)+1); err != nil {
			m.noteOversized(t, r.Target, err)
			r.RecordFailure()
			return runFlooded, err
		}
		r.RecordProgress(unsavedEvents, eventsLeft)
	}
}

// follows reports whether an event may come after the last one of a text, whose ids increase. No run could go on after an
// event without an id. Ids that are no numbers can't be compared.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	return id != "" && id != last && (err != nil || lastErr != nil || n > m)
}

// appendEvent appends an event of a run, the first of the run or a later one, to the task's text, on a line of its own. It
// returns the number of events since the last checkpoint. Error: errs.StreamBroken if the event may not fit the text.
func (t *task) appendEvent(e events.Event, r *fleetview.Run, isFirstOfRun bool) (unsavedEvents int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.noteOrigin(r, isFirstOfRun); err != nil {
		return 0, err
	}
	if !follows(e.ID, t.lastEventID) {
		return 0, errs.Newf(errs.StreamBroken, "event %q came after event %q", e.ID, t.lastEventID)
	}
	if t.lastEventID != "" {
		t.text = append(t.text, '\n')
	}
	t.text = append(t.text, e.Data...)
	t.lastEventID = e.ID
	t.events++
	t.unsavedEvents++
	return t.unsavedEvents, nil
}

// classifyAnswer returns the verdict on an answer before its body is read, and the reason. runComplete means
// that the answer is the item's event stream, which is to be read.
func (m *Manager) classifyAnswer(t *task, r *fleetview.Run, answer *platform.TargetAnswer) (runVerdict, error) {
	switch {
	case answer.OtherInstance:
		m.view.RemoveTarget(r.Target.ID)
		return runInterrupted, errs.New(errs.TargetFailed, "the target's address now belongs to another target")
	case answer.NotRun:
		return runInterrupted, errs.Newf(errs.TargetFailed, "the target did not start the item: status %d", answer.Status)
	case answer.Status == http.StatusOK:
		return runComplete, nil
	case answer.Status == http.StatusUnprocessableEntity:
		return runRejected, errs.New(errs.TargetRefused, "the target answered with status 422: no target can process the item")
	case answer.Status == http.StatusInternalServerError:
		return runFailed, errs.New(errs.TargetFailed, "the target answered with status 500")
	}
	return runInterrupted, errs.Newf(errs.TargetFailed, "the target answered with status %d", answer.Status)
}

// classifyRunError returns the verdict on a run that has ended with err, and the error that states why. A lost connection
// counts as a failure of the target, unless this process has cancelled the run.
func (m *Manager) classifyRunError(ctx context.Context, t *task, wd *watchdog, err error) (runVerdict, error) {
	r := wd.run
	hasBegun := errs.As(err).Ran != errs.RanNo
	switch {
	case r.HasTargetEnded() && hasBegun:
		return runLost, errs.New(errs.StreamBroken, "the target has restarted")
	case wd.hasCancelledRun():
		return cancelledVerdict(r), errs.New(errs.TargetTimeout, "the target sent nothing for too long")
	case ctx.Err() != nil:
		return cancelledVerdict(r), errs.Newf(errs.Cancelled, "%v", ctx.Err())
	case errs.Is(err, errs.BadRequest):
		return runInterrupted, err // an item that an earlier software version has accepted; nothing was sent to the target
	}
	if errs.Is(err, errs.AnswerTooLarge) {
		m.noteOversized(t, r.Target, err)
	}
	if r.RecordFailure() {
		m.log.Warn("target suspect", "target", r.Target.ID, "addr", r.Target.Addr, "why", err.Error(), "item", t.item().ID)
	}
	if hasBegun && m.view.IsInService(r.Target.ID) { // a target that is leaving may end at any time
		return runLost, err
	}
	return runInterrupted, err
}

// cancelledVerdict returns the verdict on a run that this process has cancelled. If its target has failed, also in other
// runs, the run would have been lost.
func cancelledVerdict(r *fleetview.Run) runVerdict {
	if r.HasTargetFailed() {
		return runLost
	}
	return runInterrupted
}
