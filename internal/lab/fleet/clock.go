package fleet

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their virtual times.
type clock struct {
	now   time.Time
	queue events
	seq   int
}

type event struct {
	at  time.Time
	seq int // of two at the same time the first one set goes first
	run func()
}

// after sets f to run once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now.Add(d), c.seq, f})
}

// run runs all functions until none is left or the time is over.
func (c *clock) run(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
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
