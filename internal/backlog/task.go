package backlog

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/internal/telemetry"
)

// task is an item that this process has to finish.
type task struct {
	shard *shard
	job   *backlog.Job
	index int

	content *quarantine.Content // the request as it is sent to targets

	takenAt time.Time // when this process took it on

	mu             sync.Mutex
	hasRun         bool // a run has begun here
	hasPassed      bool // a run here has passed; see quarantine.PassTime
	isQuarantined  bool // it is quarantined
	hasActiveRun   bool
	outcome        backlog.Outcome // written or about to be written; empty until it is known
	cancel         context.CancelFunc
	isPreempted    bool
	notBefore      time.Time
	lastID         string // id of the last event in text
	text           []byte
	events         int                    // number of events in text
	unsavedEvents  int                    // number of events since the last checkpoint
	checkpoint     []platform.KeyedRecord // records of the last checkpoint; empty without one
	failures       int                    // runs that a target has answered with a failure, at former owners as well
	unroutedChecks int                    // consecutive checks that found no route
	avoidTargets   []string               // targets at which the last run was broken off or failed
}

// newTask returns the task of an item that a shard takes on now.
func newTask(s *shard, j *backlog.Job, index int) *task {
	return &task{shard: s, job: j, index: index, content: contentOf(j, index), takenAt: time.Now()}
}

// contentOf returns the content of a job's item as it is sent to targets.
func contentOf(j *backlog.Job, index int) *quarantine.Content {
	item := &j.Items[index]
	return quarantine.NewContent(&serving.Request{
		ID: item.ID, Host: j.Host, Method: http.MethodPost, URI: item.URI,
		Header: http.Header(item.Header), Body: item.Body, Caller: serving.Caller{Workspace: j.Workspace},
	}).In(j.Route, j.ID)
}

func (t *task) item() *backlog.Item { return &t.job.Items[t.index] }

// due returns the due time in milliseconds since 1970.
func (t *task) due() int64 { return t.job.Submitted + t.job.Due.Milliseconds() }

// lastEvent returns the id of the task's last event; empty without one.
func (t *task) lastEvent() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastID
}

// progress returns the task's progress.
func (t *task) progress() *backlog.Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &backlog.Progress{Job: t.job.ID, Item: t.item().ID, LastID: t.lastID, Text: string(t.text), Failures: t.failures, Outcome: t.outcome}
}

// mergeProgress continues from p if that is further and the task has no active run. If p has an outcome,
// another process has finished the item: an active run is cancelled, so that a later call can apply the
// outcome. mergeProgress returns the task's result, if p holds it.
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
	if len(p.Text) > len(t.text) {
		t.lastID, t.text = p.LastID, []byte(p.Text)
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

func (t *task) isCheckpointDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcome == "" && t.unsavedEvents >= checkpointEvents
}

func (t *task) noteCheckpoint(saved []platform.KeyedRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsavedEvents, t.checkpoint = 0, saved
}

func (t *task) lastCheckpoint() []platform.KeyedRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkpoint
}

// cancelRun cancels the task's run.
func (t *task) cancelRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel != nil {
		t.cancel()
	}
}

// hasOutcome reports whether the task's outcome is known.
func (t *task) hasOutcome() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcome != ""
}

// eventCount returns the number of the task's events.
func (t *task) eventCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.events
}

func (t *task) isRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasActiveRun
}

// isUnproven reports whether the task has an active run and none of its runs has passed.
func (t *task) isUnproven() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasActiveRun && !t.hasPassed
}

// markPassed notes that a run of the task has passed. It reports whether that is new.
func (t *task) markPassed() (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew = !t.hasPassed
	t.hasPassed = true
	return isNew
}

func (t *task) canStart(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.hasActiveRun && t.outcome == "" && !now.Before(t.notBefore)
}

// setOutcome sets the task's outcome and returns its result for the shard. The caller holds the task's lock.
func (t *task) setOutcome(o backlog.Outcome, text string) *pendingResult {
	t.outcome = o
	return &pendingResult{job: t.job, index: t.index, outcome: o, text: text}
}

func (t *task) targetsToAvoid() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avoidTargets
}

// preempt cancels a run whose slot online requests need.
func (t *task) preempt(cancel context.CancelFunc) {
	t.mu.Lock()
	t.isPreempted = true
	t.mu.Unlock()
	cancel()
}

// markUnrouted notes that a check found no route. It returns the task's result after maxUnroutedChecks of
// them.
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

// markQuarantined notes that the task is quarantined. It returns the task's result once its job allows to
// give it up; before that, its content may still be cleared. isNew reports that the task was not quarantined
// until now.
func (t *task) markQuarantined(now time.Time) (result *pendingResult, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.giveUpTime()) {
		return t.setOutcome(backlog.Errored, ""), false
	}
	isNew = !t.isQuarantined
	t.isQuarantined = true
	t.notBefore = now.Add(quarantineRecheckDelay)
	return nil, isNew
}

// giveUpTime returns the time from which a quarantined task is given up.
func (t *task) giveUpTime() time.Time {
	return time.UnixMilli(t.job.Submitted).Add(t.job.Retain + maxClockSkew)
}

// markStarted notes that a run of the task begins; cancel ends it.
func (t *task) markStarted(cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasRun {
		telemetry.Observe(t.shard.m.registry, waitMetric, time.Since(t.takenAt))
	}
	t.hasRun, t.isQuarantined = true, false
	t.hasActiveRun, t.isPreempted, t.cancel = true, false, cancel
	t.unroutedChecks = 0
}
