// Package virtual runs simulations in virtual time.
package virtual

import (
	"container/heap"
	"time"
)

// Clock runs functions in the order of their virtual times. Now is the time of the one that runs, and before the first
// one the time at which the simulation begins.
type Clock struct {
	Now   time.Time
	queue events
	seq   int
}

type event struct {
	at  time.Time
	seq int // of two at the same time the first one set goes first
	run func()
}

// After sets f to run once d has passed.
func (c *Clock) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, event{c.Now.Add(d), c.seq, f})
}

// Run runs all functions until none is left or the time is over.
func (c *Clock) Run(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.run()
	}
}

// events implements heap.Interface.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
