package backlog

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/events"
	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/telemetry"
)

const (
	// itemIdleTimeout is how long an item's stream may stand still before the item goes on
	// elsewhere. A stream may wait in its target's queue, so this is longer than for a target
	// that sends nothing to anybody, and at least twice as long as targets that work may be silent.
	itemIdleTimeout = 1500 * time.Millisecond
	// silencePollInterval is how often that is looked at.
	silencePollInterval = 100 * time.Millisecond
)

// Names of the histograms of an item's stages at this process, in milliseconds.
const (
	waitMetric = "item.wait_ms" // from when it was taken on until its first run
	runMetric  = "item.run_ms"  // one run at a target
	listMetric = "item.list_ms" // from its end until that lies in the store
)

// verdict is what one run of an item means for it.
type verdict uint8

const (
	goOn     verdict = iota // it goes on later, from its last event
	complete                // it has its whole output
	failed                  // the target has answered with a failure
	hopeless                // no target can do it
)

// runItem runs a task at one target, from its last event on.
func (m *Manager) runItem(ctx context.Context, t *task, r *fleetview.Run, route *serving.Route) {
	from, made := t.lastEvent(), t.made()
	began := time.Now()
	m.sent.Info(began, "item sent", "job", t.job.ID, "item", t.item().ID, "shard", t.shard.index, "epoch", t.shard.epoch,
		"route", route.Name, "target", r.Choice.String(), "from_event", from, "uri", t.item().URI,
		"body_bytes", len(t.item().Body), "body_sum", bodySum(t.item().Body))
	v, err := m.follow(ctx, t, r, route)
	r.Done()
	took := time.Since(began)
	first, sinceLast := r.Times()
	telemetry.Observe(m.reg, runMetric, took)
	m.pace.Ran(t.job.Route, t.made()-made, took)
	if v == complete {
		m.opts.Quarantine.Served(t.content)
		m.pace.Done(t.job.Route, t.made(), t.item().Tokens)
	}
	to, preempted := t.lastEvent(), t.settle(r.Target.ID, v)
	m.scheduler.noteSettled()
	if v == failed {
		m.saveFailure(t)
	}
	m.runs.Info(time.Now(), "item run", "job", t.job.ID, "item", t.item().ID, "shard", t.shard.index, "epoch", t.shard.epoch,
		"route", route.Name, "target", r.Choice.String(), "from_event", from, "to_event", to, "ms", took.Milliseconds(),
		"first_ms", first.Milliseconds(), "idle_ms", sinceLast.Milliseconds(), "verdict", v.String(), "preempted", preempted, "error", errText(err))
}

func (v verdict) String() string {
	return [...]string{"go on", "complete", "failed", "hopeless"}[v]
}

// bodySum identifies an item's body in log lines: where it comes in, where it is sent and where it is given back.
func bodySum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// settle decides how a task goes on after a run and reports whether the run was preempted. The run
// is over only with that: a task that is not running and not over is started again.
func (t *task) settle(target string, v verdict) (preempted bool) {
	end, preempted := t.conclude(target, v)
	if end != nil && !t.shard.finish(end) {
		// A process that was frozen reads what its targets have sent meanwhile after it has given its shards up. Dropped, the end
		// would have the next owner run the whole item again.
		t.shard.m.log.Info("end handed over", "job", t.job.ID, "item", t.item().ID, "shard", t.shard.index, "epoch", t.shard.epoch, "outcome", end.outcome)
		t.shard.m.saveProgress([]*task{t})
	}
	return preempted
}

// conclude is settle without telling the shard, which must not happen under the task's lock.
func (t *task) conclude(target string, v verdict) (end *outcome, preempted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = false
	switch v {
	case complete:
		return t.end(backlog.Complete, string(t.text)), t.preempted
	case hopeless:
		return t.end(backlog.Errored, ""), t.preempted
	case failed:
		t.failures++
		if t.failures >= t.job.Attempts {
			return t.end(backlog.Errored, ""), t.preempted
		}
	}
	if t.preempted {
		t.avoid = nil
		return nil, true
	}
	t.avoid = []string{target}
	t.notUntil = time.Now().Add(retryDelay)
	return nil, false
}

// follow sends the item and reads its stream.
func (m *Manager) follow(ctx context.Context, t *task, r *fleetview.Run, route *serving.Route) (verdict, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := newGuard(ctx, cancel, r)
	r.WhenEnded(cancel)
	from := t.lastEvent()
	ans, err := m.targets.Send(ctx, platform.TargetCall{Target: r.Target, Request: t.content.Request, ResumeAfter: from})
	if err != nil {
		return goOn, m.itemFailed(ctx, t, guard, from, err)
	}
	defer ans.Body.Close()
	guard.noteEvent()
	if v, err := m.itemRefused(t, r, ans); v != complete {
		return v, err
	}
	in := events.NewReader(ans.Body)
	for {
		e, err := in.Next()
		if err == io.EOF {
			return complete, nil
		}
		if err != nil {
			return goOn, m.itemFailed(ctx, t, guard, from, err)
		}
		guard.noteEvent()
		if r.Event() >= quarantine.PassTime && t.notePassed() {
			m.opts.Quarantine.Passed(t.content)
		}
		t.take(e)
	}
}

// take adds an event to the item's text.
func (t *task) take(e events.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastID != "" {
		t.text = append(t.text, '\n')
	}
	t.text = append(t.text, e.Data...)
	t.lastID = e.ID
	t.events++
	t.unsaved++
}

// itemRefused tells answers that are no stream of the item; complete means that it is one.
func (m *Manager) itemRefused(t *task, r *fleetview.Run, ans *platform.TargetAnswer) (verdict, error) {
	switch {
	case ans.OtherInstance:
		m.view.Drop(r.Target.ID)
		return goOn, errs.New(errs.TargetFailed, "another target has the address")
	case ans.NotRun:
		return goOn, errs.Newf(errs.TargetFailed, "the target refuses the item with %d", ans.Status)
	case ans.Foreign:
		return goOn, errs.New(errs.TargetFailed, "the answer belongs to another request")
	case ans.Status == http.StatusOK:
		return complete, nil
	case ans.Status == http.StatusUnprocessableEntity:
		return hopeless, errs.New(errs.TargetRefused, "the item can never be done")
	case ans.Status == http.StatusInternalServerError:
		return failed, errs.New(errs.TargetFailed, "the target has failed the item")
	}
	return goOn, errs.Newf(errs.TargetFailed, "the target answers %d", ans.Status)
}

// brokenRun is a run that began after the event from and was broken off, as the quarantine is told of it.
func brokenRun(t *task, r *fleetview.Run, from string, err error) quarantine.Broken {
	return quarantine.Broken{
		Content: t.content, Target: r.Target, Start: r.Target.ID, Began: r.Began(), From: from, To: t.lastEvent(),
		HasPassed: r.AnsweredFor() >= quarantine.PassTime, HasCrashed: r.HasEnded(), Err: err,
	}
}

// itemFailed counts a lost connection against the target, unless the run was ended here.
func (m *Manager) itemFailed(ctx context.Context, t *task, g *guard, from string, err error) error {
	r := g.run
	if r.HasEnded() && errs.As(err).Ran != errs.RanNo {
		err = errs.New(errs.StreamBroken, "the target has started again")
		m.opts.Quarantine.BrokenOff(brokenRun(t, r, from, err))
		return err
	}
	if g.hasEnded.Load() {
		err = errs.New(errs.TargetTimeout, "the target has sent nothing for too long")
		m.opts.Quarantine.FellSilent(brokenRun(t, r, from, err))
		return err
	}
	if ctx.Err() != nil {
		m.opts.Quarantine.Interrupted(brokenRun(t, r, from, err))
		return errs.Newf(errs.Cancelled, "%v", ctx.Err())
	}
	if r.Failed() {
		m.log.Warn("target suspect", "target", r.Target.ID, "addr", r.Target.Addr, "why", err.Error(), "item", t.item().ID)
	}
	if errs.As(err).Ran != errs.RanNo {
		m.opts.Quarantine.BrokenOff(brokenRun(t, r, from, err))
	}
	return err
}
