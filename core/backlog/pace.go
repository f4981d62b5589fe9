package backlog

import (
	"sync"
	"time"
)

// ewmaWeight is the weight of a new observation in the moving averages, which follow a change within a few
// dozen items.
const ewmaWeight = 0.05

// minRunEvents is the least number of events of a run that is used to estimate the time per event. In shorter
// runs the processing of the prompt dominates.
const minRunEvents = 20

// Pace estimates for each route how long its items run, to predict which items can still meet their due time.
// It is safe for concurrent use.
type Pace struct {
	mu      sync.Mutex
	byRoute map[string]*routeEstimate
}

type routeEstimate struct {
	secondsPerEvent ewma // includes prompt processing and queueing
	eventsPerToken  ewma // of complete items
}

// ewma is an exponentially weighted moving average; 0 before the first observation.
type ewma float64

func (m *ewma) add(v float64) {
	if *m == 0 {
		*m = ewma(v)
		return
	}
	*m += ewma(ewmaWeight) * (ewma(v) - *m)
}

// NewPace returns a Pace without observations.
func NewPace() *Pace { return &Pace{byRoute: make(map[string]*routeEstimate)} }

func (p *Pace) estimateFor(name string) *routeEstimate {
	r, ok := p.byRoute[name]
	if !ok {
		r = &routeEstimate{}
		p.byRoute[name] = r
	}
	return r
}

// Ran adds a run that produced the given number of events in the given time.
func (p *Pace) Ran(route string, events int, took time.Duration) {
	if events < minRunEvents {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimateFor(route).secondsPerEvent.add(took.Seconds() / float64(events))
}

// Done adds a complete item.
func (p *Pace) Done(route string, events int, tokens int64) {
	if events <= 0 || tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimateFor(route).eventsPerToken.add(float64(events) / float64(tokens))
}

// Left returns the expected remaining run time of an item of that many tokens that has already produced
// eventsDone events. It returns 0 until a run of the route has been observed.
func (p *Pace) Left(route string, tokens int64, eventsDone int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.byRoute[route]
	if !ok {
		return 0
	}
	events := max(1, float64(r.eventsPerToken)*float64(tokens)-float64(eventsDone))
	return time.Duration(float64(r.secondsPerEvent) * events * float64(time.Second))
}
