package fleet

import (
	"slices"
	"time"

	"arbutusramp/internal/lab/virtual"
)

// work is a stream or an item at an engine.
type work struct {
	prompt time.Duration
	event  time.Duration
	events int // still to come
	first  func()
	over   func() // after the last event

	began   time.Time // in a slot; zero while it waits
	stopped bool
}

// made is how many events have come by now.
func (w *work) made(now time.Time) int {
	if w.began.IsZero() {
		return 0
	}
	return min(w.events, max(0, int((now.Sub(w.began)-w.prompt)/w.event)+1))
}

// engine serves work in the order of arrival.
type engine struct {
	clock   *virtual.Clock
	slots   int
	version string
	running []*work
	waiting []*work
}

func (e *engine) take(w *work) {
	e.waiting = append(e.waiting, w)
	e.fill()
}

// fill starts what waits in free slots.
func (e *engine) fill() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		w := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, w)
		w.began = e.clock.Now
		e.clock.After(w.prompt, func() {
			if !w.stopped && w.first != nil {
				w.first()
			}
		})
		e.clock.After(w.prompt+time.Duration(w.events-1)*w.event, func() {
			if !w.stopped {
				e.stop(w)
				w.over()
			}
		})
	}
}

// stop ends work, whether it waits or runs.
func (e *engine) stop(w *work) {
	w.stopped = true
	is := func(other *work) bool { return other == w }
	e.running = slices.DeleteFunc(e.running, is)
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.fill()
}
