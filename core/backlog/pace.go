package backlog

import (
	"sync"
	"time"
)

// paceWeight is the weight of a new observation in the means: they follow a change within some dozen items.
const paceWeight = 0.05

// minEvents is how many events a run must have made to tell the time of one: of a shorter run the prompt takes the most.
const minEvents = 20

// Pace learns for each route how long its items take, to tell which can still be in time. It is safe for concurrent use.
type Pace struct {
	mu     sync.Mutex
	routes map[string]*pace
}

type pace struct {
	event     mean // seconds from one event to the next, with the share of prompt and queue
	perTokens mean // events of a whole item for each of its tokens
}

// mean is an exponentially weighted mean; 0 before the first observation.
type mean float64

func (m *mean) add(v float64) {
	if *m == 0 {
		*m = mean(v)
		return
	}
	*m += mean(paceWeight) * (mean(v) - *m)
}

// NewPace returns one that knows nothing yet.
func NewPace() *Pace { return &Pace{routes: make(map[string]*pace)} }

func (p *Pace) route(name string) *pace {
	r, ok := p.routes[name]
	if !ok {
		r = &pace{}
		p.routes[name] = r
	}
	return r
}

// Ran takes in a run that made some events.
func (p *Pace) Ran(route string, events int, took time.Duration) {
	if events < minEvents {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route(route).event.add(took.Seconds() / float64(events))
}

// Done takes in a whole item.
func (p *Pace) Done(route string, events int, tokens int64) {
	if events <= 0 || tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route(route).perTokens.add(float64(events) / float64(tokens))
}

// Left is how long an item of that many tokens is expected to run yet, after the events that it has made; 0 while that is not known.
func (p *Pace) Left(route string, tokens int64, made int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.routes[route]
	if !ok {
		return 0
	}
	events := max(1, float64(r.perTokens)*float64(tokens)-float64(made))
	return time.Duration(float64(r.event) * events * float64(time.Second))
}
