package side

import (
	"fmt"
	"sync"
	"time"

	"arbutusramp/core/admit"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// itemResumes is how often a broken stream of an item is resumed while the engine lives.
const itemResumes = 1

type itemState uint8

const (
	itemQueued itemState = iota
	itemRunning
	// itemParked items wait until their owner is heard of again.
	itemParked
	itemEnded
)

// item is one batch item at this side, over preemptions and resumes.
type item struct {
	s   *Side
	it  structs.Item
	gen *generation // nil for plain services

	mu        sync.Mutex
	ref       structs.ItemRef // of the newest owner
	owner     structs.HostID
	id        admit.ID
	state     itemState
	parkedAt  time.Time
	stopped   *errs.Error // why the item is to end, set once
	preempted bool
	guard     *guard
}

func newItem(s *Side, owner structs.HostID, it structs.Item) *item {
	i := &item{s: s, it: it, ref: it.Ref, owner: owner, id: s.queue.newID()}
	if it.Generate != nil {
		i.gen = &generation{
			engine: s.o.Engine,
			call: platform.GenerateCall{
				Request: itemRequest(it.Ref),
				Path:    it.Path,
				Body:    it.Body,
			},
		}
		i.gen.emit = i.emit
		i.gen.diagnose = i.diagnose
		i.gen.resuming = func(*errs.Error) {}
	}
	return i
}

func itemRequest(r structs.ItemRef) structs.RequestID {
	return structs.RequestID(fmt.Sprintf("%s/%d/%d", r.Job, r.Index, r.Attempt))
}

// request is what the policy is told.
func (i *item) request() admit.Request {
	r := admit.Request{ID: i.id, Class: structs.ClassBatch, Workspace: i.it.Workspace, Alone: i.it.Alone}
	if g := i.it.Generate; g != nil {
		r.PromptTokens = g.PromptTokens
		r.MaxTokens = g.MaxTokens
		r.Generated = i.gen.done.next
	}
	return r
}

// start implements task.
func (i *item) start() {
	g, id, why := i.begin()
	if g == nil {
		i.s.queue.ended(id, admit.Stopped)
		i.notStarted(why)
		return
	}
	defer g.stop()
	i.s.logItem("start", i, nil)
	if i.gen != nil {
		i.generate(g)
		return
	}
	i.callService(g)
}

// begin is the last check before the target gets the item. A side that was paused
// or cut off may not know that the job was cancelled meanwhile; that shows as an owner
// that was not heard of lately, and the item waits until it is. It returns the id of this
// turn in the queue: a parked item can get its next turn at any moment, and ended under the
// new id that turn would be lost, with the item in no queue until its lease runs out.
func (i *item) begin() (*guard, admit.ID, *errs.Error) {
	owned := fresh(i.s.peers.byHost(i.ownerHost()), time.Now())
	stale := i.s.items.staleEpoch(i.reference())
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.stopped != nil:
		return nil, i.id, i.stopped
	case stale:
		i.stopped = errs.New(errs.StaleEpoch, "the shard has a newer owner").WithRan(errs.RanNo)
		return nil, i.id, i.stopped
	case i.preempted, !owned:
		i.state = itemParked
		i.parkedAt = time.Now()
		i.preempted = false
		return nil, i.id, nil
	}
	i.state = itemRunning
	i.guard = newGuard(i.s.base, i.s.o.Settings.TargetBudget, i.deadline())
	return i.guard, i.id, nil
}

func (i *item) deadline() time.Time {
	if i.it.TimeoutMs <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(i.it.TimeoutMs) * time.Millisecond)
}

// notStarted ends a stopped item; a parked one is looked at again by retryParked.
func (i *item) notStarted(why *errs.Error) {
	switch {
	case why != nil:
		i.end(structs.ItemDone{Err: i.ran(why)})
	case i.s.draining.Load():
		i.giveBack(drainingErr())
	default:
		i.s.logItem("parked", i, nil)
	}
}

// ran says for an item that is not at the target now whether the target ever had it. A plain
// service has an item once, to its end.
func (i *item) ran(err *errs.Error) *errs.Error {
	if i.gen != nil && i.gen.handed {
		return err.WithRan(errs.RanUnknown)
	}
	return err.WithRan(errs.RanNo)
}

func (i *item) ownerHost() structs.HostID {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.owner
}

func (i *item) reference() structs.ItemRef {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ref
}

func (i *item) is(state itemState) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state == state
}

// adopt gives the item to the owner that has sent it again.
func (i *item) adopt(owner structs.HostID, ref structs.ItemRef) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.owner = owner
	i.ref = ref
}

// preempt implements task. Plain calls are short and can't be resumed: they finish.
func (i *item) preempt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.gen == nil || i.it.NonIdempotent {
		return
	}
	if i.state != itemRunning {
		i.preempted = true
		return
	}
	i.s.metrics.preempted.Inc(1)
	i.guard.cancel(errs.New(errs.Preempted, "online requests come first"))
}

// refuse implements task.
func (i *item) refuse(err *errs.Error) { i.giveBack(err) }

// giveBack ends the item for a reason that is not its own.
func (i *item) giveBack(err *errs.Error) {
	i.end(structs.ItemDone{Err: i.ran(err), GaveBack: true})
}

// markStopped has the item not start any more, and end with err.
func (i *item) markStopped(err *errs.Error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped == nil && i.state != itemEnded {
		i.stopped = err
	}
}

// withdraw stops a marked item wherever it is. A call that must not be repeated goes
// on to its end: cutting it off would leave its outcome unknown.
func (i *item) withdraw(err *errs.Error) {
	i.mu.Lock()
	state, id := i.state, i.id
	if state == itemRunning && !i.it.NonIdempotent {
		i.guard.cancel(err)
	}
	i.mu.Unlock()
	if state == itemParked || i.s.queue.withdraw(id) {
		i.end(structs.ItemDone{Err: i.ran(err)})
	}
}

// requeue puts a preempted or parked item back in the queue with its progress.
func (i *item) requeue() {
	i.mu.Lock()
	if i.stopped != nil {
		err := i.stopped
		i.mu.Unlock()
		i.end(structs.ItemDone{Err: i.ran(err)})
		return
	}
	i.state = itemQueued
	i.preempted = false
	i.id = i.s.queue.newID()
	r := i.request()
	i.mu.Unlock()
	i.s.queue.arrive(r, i)
}

// end hands the outcome over, once.
func (i *item) end(d structs.ItemDone) {
	i.mu.Lock()
	if i.state == itemEnded {
		i.mu.Unlock()
		return
	}
	i.state = itemEnded
	d.Ref = i.ref
	owner := i.owner
	i.mu.Unlock()
	i.s.logItem("end", i, d.Err)
	i.s.items.ended(i, owner, &d)
}

func (i *item) emit(t platform.Token) error {
	i.s.items.progressed(i)
	if i.gen.fresh {
		i.gen.fresh = false
		i.s.queue.firstToken(i.id)
		i.s.targetAnswered()
		return nil
	}
	i.s.queue.token(i.id)
	return nil
}

// generate runs the item at the engine, from the position that earlier runs have reached.
func (i *item) generate(g *guard) {
	i.gen.guard = g
	i.gen.fresh = true
	err := i.gen.run(itemResumes)
	if err == nil {
		i.s.queue.ended(i.id, admit.Finished)
		i.finish()
		return
	}
	i.failed(g, errs.As(err))
}

// diagnose says whether a broken stream is worth a resume here: not when the
// engine itself is gone, for what ran on it is then suspect.
func (i *item) diagnose(err *errs.Error) (failure *errs.Error, canResume bool) {
	if !resumable(err) {
		return err, false
	}
	i.s.items.broke(i)
	_, process := i.s.diagnose(err, i.gen.began)
	return err, process == platform.ProbeAlive && !i.it.NonIdempotent && i.s.askEngine(i.gen.guard.ctx)
}

func (i *item) finish() {
	body, err := i.gen.done.body(i.it.Generate)
	if err != nil {
		i.end(structs.ItemDone{Err: err})
		return
	}
	i.end(structs.ItemDone{Status: 200, Body: body})
}

func (i *item) callService(g *guard) {
	answer, err := i.s.o.Service.Call(g.ctx, platform.ServiceCall{
		Request: itemRequest(i.it.Ref),
		Method:  i.it.Method,
		Path:    i.it.Path,
		Body:    i.it.Body,
	})
	if err == nil {
		i.s.targetAnswered()
		i.s.items.progressed(i)
		i.s.queue.answered(i.id)
		i.end(structs.ItemDone{Status: answer.Status, Body: answer.Body})
		return
	}
	i.failed(g, g.failure(err))
}

// failed ends or requeues the item after a run that did not finish.
func (i *item) failed(g *guard, err *errs.Error) {
	suspects := i.s.items.suspects(i, g, err)
	i.s.queue.ended(i.id, outcomeOf(err))
	i.s.targetFailed(err)
	switch {
	case err.Type == errs.Preempted && i.s.draining.Load():
		i.giveBack(err)
	case err.Type == errs.Preempted:
		i.s.logItem("preempt", i, err)
		i.requeue()
	case err.Ran == errs.RanNo, err.Type == errs.Draining:
		// err knows better than giveBack whether the target had this run: a drain that has
		// timed out cuts calls off, and "not run" would have their owner repeat them.
		i.end(structs.ItemDone{Err: err, GaveBack: true})
	default:
		i.end(structs.ItemDone{Err: err, Neighbours: suspects})
	}
}
