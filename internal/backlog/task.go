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

// task is an item that this process has to bring to an end.
type task struct {
	shard *shard
	job   *backlog.Job
	index int

	content *quarantine.Content // the item as it is sent to targets

	taken time.Time // when this process took it on

	mu        sync.Mutex
	begun     bool // a run has begun here
	hasPassed bool // a run here has passed; see quarantine.PassTime
	isHeld    bool // it is quarantined
	running   bool
	ending    backlog.Outcome // how it has ended, written or about to be; empty until that is known
	cancel    context.CancelFunc
	preempted bool
	notUntil  time.Time
	lastID    string // of the last event in text
	text      []byte
	events    int                    // in text
	unsaved   int                    // events since the last checkpoint
	saved     []platform.KeyedRecord // the last checkpoint; empty without one
	failures  int                    // runs that a target has answered with a failure, at former owners too
	unrouted  int                    // looks in a row that found no route
	avoid     []string               // targets that have just failed it
}

// newTask returns the task of a job's item that a shard takes on now.
func newTask(s *shard, j *backlog.Job, index int) *task {
	return &task{shard: s, job: j, index: index, content: contentOf(j, index), taken: time.Now()}
}

// contentOf is a job's item as it is sent to targets.
func contentOf(j *backlog.Job, index int) *quarantine.Content {
	item := &j.Items[index]
	return quarantine.NewContent(&serving.Request{
		ID: item.ID, Host: j.Host, Method: http.MethodPost, URI: item.URI,
		Header: http.Header(item.Header), Body: item.Body, Caller: serving.Caller{Workspace: j.Workspace},
	}).In(j.Route, j.ID)
}

func (t *task) item() *backlog.Item { return &t.job.Items[t.index] }

// due is when the task should be done.
func (t *task) due() int64 { return t.job.Submitted + t.job.Due.Milliseconds() }

// lastEvent is the id of the last event that the task has; empty without one.
func (t *task) lastEvent() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastID
}

// progress is how far the task has come.
func (t *task) progress() *backlog.Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &backlog.Progress{Job: t.job.ID, Item: t.item().ID, LastID: t.lastID, Text: string(t.text), Failures: t.failures, Outcome: t.ending}
}

// adopt goes on from p if that is further and no run is on. A run of an item that has ended elsewhere
// is cancelled, so that a later call can take the end over. It returns the task's end, if p brings it.
func (t *task) adopt(p backlog.Progress) *outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = max(t.failures, p.Failures)
	if t.running && p.Outcome != "" {
		t.cancel()
	}
	if t.running || t.ending != "" {
		return nil
	}
	if len(p.Text) > len(t.text) {
		t.lastID, t.text = p.LastID, []byte(p.Text)
		t.events = strings.Count(p.Text, "\n") + 1
	}
	switch p.Outcome {
	case backlog.Complete:
		return t.end(backlog.Complete, string(t.text))
	case backlog.Errored:
		return t.end(backlog.Errored, "")
	}
	return nil
}

func (t *task) dueForCheckpoint() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ending == "" && t.unsaved >= checkpointEvents
}

func (t *task) noteCheckpoint(saved []platform.KeyedRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsaved, t.saved = 0, saved
}

func (t *task) checkpointed() []platform.KeyedRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.saved
}

// stop cancels the task's run.
func (t *task) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel != nil {
		t.cancel()
	}
}

// ended says whether the task's end is known.
func (t *task) ended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ending != ""
}

// made is how many events the task has.
func (t *task) made() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.events
}

func (t *task) isRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// isUnproven says whether the task runs and none of its runs has passed.
func (t *task) isUnproven() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running && !t.hasPassed
}

// notePassed notes that a run of the task has passed. It reports whether that was not known yet.
func (t *task) notePassed() (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew = !t.hasPassed
	t.hasPassed = true
	return isNew
}

func (t *task) canStart(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.running && t.ending == "" && !now.Before(t.notUntil)
}

// end makes the task's end, to be told to its shard. The caller holds the task's lock.
func (t *task) end(o backlog.Outcome, text string) *outcome {
	t.ending = o
	return &outcome{job: t.job, index: t.index, outcome: o, text: text}
}

func (t *task) avoided() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avoid
}

// preempt ends a run whose slot online requests need.
func (t *task) preempt(cancel context.CancelFunc) {
	t.mu.Lock()
	t.preempted = true
	t.mu.Unlock()
	cancel()
}

// noRoute notes that the task has no route. It returns the task's end once that has been so for long.
func (t *task) noRoute(now time.Time) *outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notUntil = now.Add(unroutedPause)
	t.unrouted++
	if t.unrouted < unroutedLooks {
		return nil
	}
	return t.end(backlog.Errored, "")
}

// putOff notes that the task is quarantined. It returns the task's end once its job allows to give it up: before, its content may be
// cleared. isNew says that it could run until now.
func (t *task) putOff(now time.Time) (end *outcome, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.givenUpAt()) {
		return t.end(backlog.Errored, ""), false
	}
	isNew = !t.isHeld
	t.isHeld = true
	t.notUntil = now.Add(quarantineRecheck)
	return nil, isNew
}

// givenUpAt is when the task is given up if it is quarantined then.
func (t *task) givenUpAt() time.Time {
	return time.UnixMilli(t.job.Submitted).Add(t.job.Retain + clockSlack)
}

// begin notes that a run of the task begins, which cancel ends.
func (t *task) begin(cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.begun {
		telemetry.Observe(t.shard.m.reg, waitMetric, time.Since(t.taken))
	}
	t.begun, t.isHeld = true, false
	t.running, t.preempted, t.cancel = true, false, cancel
	t.unrouted = 0
}
