package backlog

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/internal/telemetry"
)

// task is an unfinished item of a shard that this process owns, with the state of its runs here.
type task struct {
	shard *shard
	job   *backlog.Job
	index int // of the item in its job

	request *serving.Request // as it is sent to targets

	createdAt time.Time // creation of the task; waitMetric measures the time from here to the first run

	mu             sync.Mutex
	hasRun         bool                   // a run has begun in this process
	sends          int                    // runs that have begun in this process
	hasActiveRun   bool                   // a run has begun and its verdict has not been applied
	outcome        backlog.Outcome        // stored or queued to be stored; empty while the item is unfinished
	cancel         context.CancelFunc     // cancels the last run; nil before the first
	isPreempted    bool                   // the last run was cancelled because online requests need its slot
	notBefore      time.Time              // the task must not start earlier
	lastEventID    string                 // id of the last event in text
	text           []byte                 // data of the events so far, joined by newlines
	origin         serving.Origin         // of the target that sent the first event of text; Service is empty if not known
	pinnedSince    time.Time              // since when the task could not start at the version of its text; see version.go
	events         int                    // number of events in text
	unsavedEvents  int                    // number of events since the last checkpoint
	checkpoint     []platform.KeyedRecord // records of the last checkpoint; empty without one
	failures       int                    // failed runs, including those at former owners
	unroutedChecks int                    // consecutive checks that found no route
	deferral       deferral               // of the start, since the last run
	avoided        avoidedTargets         // where the last runs were broken off or failed
	lostRuns       int                    // runs in a row during which their targets have failed, since one has added events
	lostAt         time.Time              // end of the last of them
	silentFor      time.Duration          // of earlier runs; see fleet.Work
	floodedRuns    int                    // runs whose targets have sent more than the item can have; see applyFlood
	// ignoresStoredText is set once the text of such a run has been dropped: its checkpoints may still be stored.
	ignoresStoredText bool
	crashWait         backlog.CrashWait // before the next run; valid if lostRuns is not 0
}

// newTask returns the task of the item at an index of a job, which belongs to shard s.
func newTask(s *shard, j *backlog.Job, index int) *task {
	return &task{shard: s, job: j, index: index, request: requestOf(j, index), createdAt: time.Now()}
}

// requestOf returns the request of the item at an index of a job, as it is sent to targets.
func requestOf(j *backlog.Job, index int) *serving.Request {
	item := &j.Items[index]
	return &serving.Request{
		ID: item.ID, Host: j.Host, Method: http.MethodPost, URI: item.URI,
		Header: http.Header(item.Header), Body: item.Body, Caller: serving.Caller{Workspace: j.Workspace}, Prompt: item.Prompt,
	}
}

// item returns the item of the task.
func (t *task) item() *backlog.Item { return &t.job.Items[t.index] }

// work describes the item for the choice of its target.
func (t *task) work(route *serving.Route, service string) fleet.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fleet.Work{Service: service, Route: route.Name, Workspace: t.job.Workspace, Size: t.item().Size, IsStream: true, SilentFor: t.silentFor}
}

// noteSilence notes, for the next run, for how long one was silent when it was ended. The caller holds the task's lock.
func (t *task) noteSilence(end runEnd) {
	if end.hasAdvanced {
		t.silentFor = 0
	}
	t.silentFor = max(t.silentFor, end.silentFor)
}

// due returns the due time of the item in milliseconds since 1970.
func (t *task) due() int64 { return t.job.SubmittedMs + t.job.DueWithin.Milliseconds() }

// lastEvent returns the id of the last event of the task's text; empty without one.
func (t *task) lastEvent() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastEventID
}

// progress returns the task's progress as it is stored for the next owner.
func (t *task) progress() *backlog.Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &backlog.Progress{Job: t.job.ID, Item: t.item().ID, LastEventID: t.lastEventID, Text: string(t.text), Failures: t.failures, Outcome: t.outcome,
		Service: t.origin.Service, Version: t.origin.Version}
}

// mergeProgress merges the stored progress p into the task. While the task has an active run it only takes
// the number of failures; if p has an outcome, another process has finished the item, and the run is
// cancelled so that a later call can apply the outcome. Otherwise the task continues from the longer text, unless that
// is of another version than its own.
// mergeProgress returns the item's result if p has an outcome that the task takes, else nil.
func (t *task) mergeProgress(p backlog.Progress) *pendingResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = max(t.failures, p.Failures)
	if t.hasActiveRun && p.Outcome != "" {
		t.cancel()
	}
	if t.hasActiveRun || t.outcome != "" {
		return nil
	}
	origin := serving.Origin{Service: p.Service, Version: p.Version}
	// The text of a complete item is its whole output. It may be shorter than one of another version that has begun here.
	if p.Outcome == backlog.Complete || !t.ignoresStoredText && len(p.Text) > len(t.text) && (len(t.text) == 0 || origin == t.origin) {
		t.lastEventID, t.text, t.origin = p.LastEventID, []byte(p.Text), origin
		t.events = strings.Count(p.Text, "\n") + 1
	}
	switch p.Outcome {
	case backlog.Complete:
		return t.setOutcome(backlog.Complete, string(t.text))
	case backlog.Errored:
		return t.setOutcome(backlog.Errored, "")
	}
	return nil
}

// isCheckpointDue reports whether the item is unfinished and has had checkpointEvents or more events since
// its last checkpoint.
func (t *task) isCheckpointDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcome == "" && t.unsavedEvents >= checkpointEvents
}

// noteCheckpoint sets the records of the last checkpoint.
func (t *task) noteCheckpoint(saved []platform.KeyedRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsavedEvents, t.checkpoint = 0, saved
}

// lastCheckpoint returns the records of the last checkpoint; empty without one.
func (t *task) lastCheckpoint() []platform.KeyedRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkpoint
}

// cancelRun cancels the task's active run, if there is one.
func (t *task) cancelRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel != nil {
		t.cancel()
	}
}

// hasOutcome reports whether the outcome of the item has been decided.
func (t *task) hasOutcome() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcome != ""
}

// eventCount returns the number of events in the task's text.
func (t *task) eventCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.events
}

// isRunning reports whether the task has an active run.
func (t *task) isRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasActiveRun
}

// canStart reports whether a run may begin: the item is unfinished, has no active run, and its pause is over.
func (t *task) canStart(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.hasActiveRun && t.outcome == "" && !now.Before(t.notBefore)
}

// setOutcome sets the outcome of the item and returns its result, which the caller passes to the shard. The
// caller holds the task's lock.
func (t *task) setOutcome(o backlog.Outcome, text string) *pendingResult {
	t.outcome = o
	return &pendingResult{job: t.job, index: t.index, outcome: o, text: text}
}

// preempt cancels the task's run with cancel because online requests need its slot.
func (t *task) preempt(cancel context.CancelFunc) {
	t.mu.Lock()
	t.isPreempted = true
	t.mu.Unlock()
	cancel()
}

// markUnrouted counts a check that found no route and delays the next one. After maxUnroutedChecks
// consecutive checks it gives the item up and returns its result; before, it returns nil.
func (t *task) markUnrouted(now time.Time) *pendingResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notBefore = now.Add(unroutedRecheckDelay)
	t.unroutedChecks++
	if t.unroutedChecks < maxUnroutedChecks {
		return nil
	}
	return t.setOutcome(backlog.Errored, "")
}

// awaitCalm delays a task whose target failed during its last run until the service is calm, for a limited time. It returns
// how many of its runs in a row were lost, and until when it waits; zero if it does not. calmAt returns from when the
// service counts as calm for a wait.
func (t *task) awaitCalm(calmAt func(backlog.CrashWait) time.Time) (lostRuns int, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lostRuns == 0 {
		return 0, time.Time{}
	}
	t.notBefore = t.crashWait.Until(t.lostAt, calmAt(t.crashWait))
	return t.lostRuns, t.notBefore
}

// markStarted sets the task's state at the beginning of a run. cancel cancels the run.
func (t *task) markStarted(cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasRun {
		telemetry.Observe(t.shard.m.registry, waitMetric, time.Since(t.createdAt))
	}
	t.hasRun = true
	t.hasActiveRun, t.isPreempted, t.cancel = true, false, cancel
	t.unroutedChecks = 0
	t.pinnedSince = time.Time{}
}
