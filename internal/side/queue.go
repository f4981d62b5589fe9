package side

import (
	"sync"
	"sync/atomic"
	"time"

	"arbutusramp/core/admit"
	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// admitter is what the side needs of admit.Machine.
type admitter interface {
	Arrive(now time.Time, r admit.Request) []admit.Action
	FirstToken(now time.Time, id admit.ID) []admit.Action
	Token(now time.Time, id admit.ID) []admit.Action
	Ended(now time.Time, id admit.ID, out admit.Outcome) []admit.Action
	Withdraw(now time.Time, id admit.ID) []admit.Action
	Tick(now time.Time) []admit.Action
	SetHeadroom(now time.Time, h float64) []admit.Action
	Drain(now time.Time) []admit.Action
	BatchRoom(now time.Time) int
	Load(now time.Time) structs.Load
	NextTick(now time.Time) time.Time
}

// task is a request in the queue or at the target. The methods carry out the
// policy's actions; they may come in any order, since each is carried out
// after the queue's lock is released.
type task interface {
	// start runs the request and returns when it has ended at the target.
	start()
	// preempt stops the request at the target.
	preempt()
	// refuse ends a request that was not run.
	refuse(err *errs.Error)
}

// queue is the admission policy under its lock, with the tasks that it knows.
type queue struct {
	changed func() // called after each change, without the lock

	next atomic.Uint64

	mu    sync.Mutex
	m     admitter
	tasks map[admit.ID]known
	timer *time.Timer
	due   time.Time // when timer fires, zero if it is not set
}

// known is a task that the policy knows of.
type known struct {
	task    task
	started bool // the policy has started it: it is at the target, or about to be
}

func newQueue(m admitter, changed func()) *queue {
	return &queue{m: m, changed: changed, tasks: make(map[admit.ID]known)}
}

// order is one action with the task that it is about.
type order struct {
	kind admit.ActionKind
	task task
	err  *errs.Error
}

// apply runs one step of the policy and carries out what it asks for.
func (q *queue) apply(step func(now time.Time) []admit.Action) {
	now := time.Now()
	q.mu.Lock()
	orders := q.resolve(step(now))
	q.schedule(now)
	q.mu.Unlock()
	carry(orders)
	q.changed()
}

// resolve looks up the tasks of actions; q.mu is held.
func (q *queue) resolve(actions []admit.Action) []order {
	if len(actions) == 0 {
		return nil
	}
	orders := make([]order, 0, len(actions))
	for _, a := range actions {
		k, ok := q.tasks[a.ID]
		if !ok {
			continue
		}
		switch a.Kind {
		case admit.Refuse:
			delete(q.tasks, a.ID)
		case admit.Start:
			q.tasks[a.ID] = known{k.task, true}
		}
		orders = append(orders, order{a.Kind, k.task, a.Err})
	}
	return orders
}

func carry(orders []order) {
	for _, o := range orders {
		switch o.kind {
		case admit.Start:
			go o.task.start()
		case admit.Preempt:
			o.task.preempt()
		case admit.Refuse:
			o.task.refuse(o.err)
		}
	}
}

// schedule sets the timer for the policy's next tick; q.mu is held.
func (q *queue) schedule(now time.Time) {
	next := q.m.NextTick(now)
	if next.IsZero() || (!q.due.IsZero() && !next.Before(q.due)) {
		return
	}
	q.due = next
	wait := max(0, next.Sub(now))
	if q.timer == nil {
		q.timer = sleep.AfterFunc(wait, q.tick)
		return
	}
	sleep.Reset(q.timer, wait)
}

func (q *queue) tick() {
	q.apply(func(now time.Time) []admit.Action {
		q.due = time.Time{}
		return q.m.Tick(now)
	})
}

// newID returns an identifier that was not used before.
func (q *queue) newID() admit.ID { return admit.ID(q.next.Add(1)) }

func (q *queue) arrive(r admit.Request, t task) {
	q.apply(func(now time.Time) []admit.Action {
		q.tasks[r.ID] = known{task: t}
		return q.m.Arrive(now, r)
	})
}

func (q *queue) firstToken(id admit.ID) {
	q.apply(func(now time.Time) []admit.Action { return q.m.FirstToken(now, id) })
}

func (q *queue) token(id admit.ID) {
	q.apply(func(now time.Time) []admit.Action { return q.m.Token(now, id) })
}

func (q *queue) ended(id admit.ID, out admit.Outcome) {
	q.apply(func(now time.Time) []admit.Action {
		delete(q.tasks, id)
		return q.m.Ended(now, id, out)
	})
}

// answered notes the whole answer of a plain service: first byte and end at once.
func (q *queue) answered(id admit.ID) {
	q.apply(func(now time.Time) []admit.Action {
		delete(q.tasks, id)
		first := q.m.FirstToken(now, id)
		return append(first, q.m.Ended(now, id, admit.Finished)...)
	})
}

// withdraw takes back id. It reports whether the request was still queued; it was
// then surely not run and won't be.
func (q *queue) withdraw(id admit.ID) (dropped bool) {
	q.apply(func(now time.Time) []admit.Action {
		k, ok := q.tasks[id]
		if !ok {
			return nil
		}
		if !k.started {
			dropped = true
			delete(q.tasks, id)
		}
		return q.m.Withdraw(now, id)
	})
	return dropped
}

func (q *queue) setHeadroom(h float64) {
	q.apply(func(now time.Time) []admit.Action { return q.m.SetHeadroom(now, h) })
}

func (q *queue) drain() {
	q.apply(func(now time.Time) []admit.Action { return q.m.Drain(now) })
}

func (q *queue) load() structs.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.m.Load(time.Now())
}

func (q *queue) batchRoom() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.m.BatchRoom(time.Now())
}

// stop ends the ticks.
func (q *queue) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.timer != nil {
		q.timer.Stop()
	}
}
