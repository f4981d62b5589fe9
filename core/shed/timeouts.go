package shed

import (
	"sync"
	"time"
)

const (
	// minSamples is how many requests of a route must arrive before its callers' timeout counts as known:
	// right after the start of a gateway most requests are second attempts.
	minSamples = 10
	// typicalShare is the smallest share of a route's requests that must have the same remaining time, in
	// steps of bucketWidth, for it to count as the timeout of first attempts. The remaining times of second attempts differ from each other.
	typicalShare = 0.2
	// bucketWidth is the width of a bucket of remaining times that count as equal.
	bucketWidth = 50 * time.Millisecond
	// maxSamples is how many requests of a route are counted before all counts are halved, so that the
	// estimate follows when callers with other timeouts replace the earlier ones.
	maxSamples = 400
	// maxRoutes bounds the number of routes with samples, because routes that the operator has removed are
	// not dropped one by one. Beyond the bound the samples of all routes are dropped.
	maxRoutes = 4096
)

// CallerTimeouts estimates for each route how long its callers wait for an answer to their first attempt: the
// longest remaining time that a large enough share of the requests has on arrival. A single caller with a
// longer time does not change the estimate. It is safe for concurrent use.
type CallerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeTimeouts
}

// routeTimeouts counts the requests of one route by the time that their callers had left on arrival.
type routeTimeouts struct {
	samples int
	counts  map[time.Duration]int // requests by remaining time, in steps of bucketWidth
}

// NewCallerTimeouts returns a CallerTimeouts without samples.
func NewCallerTimeouts() *CallerTimeouts {
	return &CallerTimeouts{routes: make(map[string]*routeTimeouts)}
}

// Observe records the remaining time of a caller of a route; a time of 0 or less is not recorded. It returns
// how long callers of that route wait for an answer to their first attempt; 0 while that is unknown.
func (c *CallerTimeouts) Observe(route string, remaining time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.routes[route]
	if !ok {
		if len(c.routes) >= maxRoutes {
			clear(c.routes)
		}
		r = &routeTimeouts{counts: make(map[time.Duration]int)}
		c.routes[route] = r
	}
	r.add(remaining)
	if r.samples < minSamples {
		return 0
	}
	return r.typical()
}

// add counts a request and halves the counts once maxSamples requests have been counted.
func (r *routeTimeouts) add(remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	r.samples++
	r.counts[remaining.Truncate(bucketWidth)]++
	if r.samples < maxSamples {
		return
	}
	r.samples = 0
	for timeout, n := range r.counts {
		r.counts[timeout] = n / 2
		r.samples += n / 2
		if n < 2 {
			delete(r.counts, timeout)
		}
	}
}

// typical is the longest remaining time that at least typicalShare of the requests had; 0 if there is none.
func (r *routeTimeouts) typical() time.Duration {
	longest := time.Duration(0)
	for timeout, n := range r.counts {
		if timeout > longest && float64(n) >= typicalShare*float64(r.samples) {
			longest = timeout
		}
	}
	return longest
}
