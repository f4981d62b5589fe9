package backlog

import (
	"sync"
	"time"
)

// ewmaWeight is the weight of a new observation in the moving averages. With this weight the averages follow a
// change of run times within a few dozen items.
const ewmaWeight = 0.05

// minRunEvents is the minimum number of events of a run from which the time per event is estimated. In shorter
// runs the processing of the prompt takes most of the time.
const minRunEvents = 20

// RunTimeEstimator estimates how long the items of each route run. The scheduler predicts from it which items can still
// meet their due time. Use NewRunTimeEstimator to create one; it is safe for concurrent use.
type RunTimeEstimator struct {
	mu      sync.Mutex
	byRoute map[string]*routeEstimate // by route name
}

// routeEstimate holds the moving averages of one route.
type routeEstimate struct {
	secondsPerEvent ewma // of runs, including prompt processing and queueing at the target
	eventsPerToken  ewma // of complete items; the tokens are those of Item.Tokens
}

// ewma is an exponentially weighted moving average. It is 0 before the first observation.
type ewma float64

func (m *ewma) add(v float64) {
	if *m == 0 {
		*m = ewma(v)
		return
	}
	*m += ewma(ewmaWeight) * (ewma(v) - *m)
}

// NewRunTimeEstimator returns a RunTimeEstimator without observations.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{byRoute: make(map[string]*routeEstimate)}
}

// estimateFor returns the estimate of a route and adds an empty one for a new route. The caller holds the lock.
func (e *RunTimeEstimator) estimateFor(route string) *routeEstimate {
	estimate, ok := e.byRoute[route]
	if !ok {
		estimate = &routeEstimate{}
		e.byRoute[route] = estimate
	}
	return estimate
}

// ObserveRun adds an observation: a run on the route produced the given number of events and took the given time. Runs
// of fewer than minRunEvents events are ignored.
func (e *RunTimeEstimator) ObserveRun(route string, events int, took time.Duration) {
	if events < minRunEvents {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimateFor(route).secondsPerEvent.add(took.Seconds() / float64(events))
}

// ObserveItem adds an observation: an item of that many tokens is complete and produced the given number of events in
// all its runs.
func (e *RunTimeEstimator) ObserveItem(route string, events int, tokens int64) {
	if events <= 0 || tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimateFor(route).eventsPerToken.add(float64(events) / float64(tokens))
}

// Remaining returns the expected remaining run time of an item that has the given number of tokens and has already
// produced eventsDone events. It returns 0 before the first observation on the route.
func (e *RunTimeEstimator) Remaining(route string, tokens int64, eventsDone int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate, ok := e.byRoute[route]
	if !ok {
		return 0
	}
	return time.Duration(float64(estimate.secondsPerEvent) * estimate.eventsLeft(tokens, eventsDone) * float64(time.Second))
}

// TimeOf returns the expected time for which a target produces a number of events on the route. It returns 0 before the
// first observation on the route.
func (e *RunTimeEstimator) TimeOf(route string, events int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate, ok := e.byRoute[route]
	if !ok {
		return 0
	}
	return time.Duration(float64(estimate.secondsPerEvent) * float64(events) * float64(time.Second))
}

// EventsLeft returns the expected number of events that such an item still produces. It returns 0 before the first
// complete item of the route.
func (e *RunTimeEstimator) EventsLeft(route string, tokens int64, eventsDone int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate, ok := e.byRoute[route]
	if !ok || estimate.eventsPerToken == 0 {
		return 0
	}
	return int(estimate.eventsLeft(tokens, eventsDone))
}

// eventsLeft returns the expected number of events that an item still produces, at least 1.
func (e *routeEstimate) eventsLeft(tokens int64, eventsDone int) float64 {
	return max(1, float64(e.eventsPerToken)*float64(tokens)-float64(eventsDone))
}
