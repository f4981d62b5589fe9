package shed

import (
	"sync"
	"time"
)

const (
	// seenFirst is how many requests of a route must have come before its callers' time is known: right after
	// a start most of them are on their second attempt.
	seenFirst = 10
	// maxRoutes bounds what is kept. Routes come and go; with more, all are learned anew.
	maxRoutes = 4096
)

// Patience learns for each route how long its callers wait when they first come: the longest that any has said. It is safe for
// concurrent use.
type Patience struct {
	mu     sync.Mutex
	routes map[string]*patience
}

type patience struct {
	seen    int
	longest time.Duration
}

// NewPatience returns one that knows nothing yet.
func NewPatience() *Patience { return &Patience{routes: make(map[string]*patience)} }

// Note takes in what a caller of a route still waits, and returns what callers of that route wait at first; 0 while that is not known.
func (p *Patience) Note(route string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.routes[route]
	if !ok {
		if len(p.routes) >= maxRoutes {
			clear(p.routes)
		}
		r = &patience{}
		p.routes[route] = r
	}
	r.seen++
	r.longest = max(r.longest, left)
	if r.seen < seenFirst {
		return 0
	}
	return r.longest
}
