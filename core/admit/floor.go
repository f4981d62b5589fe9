package admit

import (
	"math"
	"slices"
	"time"
)

// floor follows what the first token of online requests would take without any
// batch: the measured time less the time that batch streams added to the steps between.
type floor struct {
	ring   [floorRing]float64 // seconds
	n      int
	cached float64
	stale  int
	prompt float64 // smoothed prompt tokens of online requests
}

const (
	floorRing     = 512
	floorMin      = 32   // samples before the floor is known
	floorQuantile = 0.99 // the tail that is protected
	floorEvery    = 16   // samples between two computations of the quantile
	floorSmooth   = 64.0 // samples over which the prompt's size is smoothed
)

// observe takes in the first token of a request with prompt tokens.
func (f *floor) observe(took time.Duration, batchCost float64, prompt int) {
	f.prompt += (float64(prompt) - f.prompt) / min(float64(f.n+1), floorSmooth)
	f.ring[f.n%floorRing] = max(0, took.Seconds()-batchCost)
	f.n++
	f.stale++
}

// known reports whether there are enough samples.
func (f *floor) known() bool { return f.n >= floorMin }

// high is the tail of the floor, in seconds.
func (f *floor) high() float64 {
	if f.cached > 0 && f.stale < floorEvery {
		return f.cached
	}
	s := slices.Clone(f.ring[:min(f.n, floorRing)])
	slices.Sort(s)
	f.cached = s[int(floorQuantile*float64(len(s)-1))]
	f.stale = 0
	return f.cached
}

// peak follows the highest online load of the recent past; it falls off by the
// time constant that is passed in.
type peak struct {
	level float64
	at    time.Time
}

// observe takes in the online load now.
func (p *peak) observe(now time.Time, n int, hold time.Duration) {
	p.level = max(float64(n), p.value(now, hold))
	p.at = now
}

// value is the level that the load is taken to have now.
func (p *peak) value(now time.Time, hold time.Duration) float64 {
	if hold <= 0 {
		return 0
	}
	return p.level * math.Exp(-now.Sub(p.at).Seconds()/hold.Seconds())
}

// expectedFirst is how long r's first token should have taken by the model.
func (m *Machine) expectedFirst(r *request) time.Duration {
	if !m.model.ready() {
		return 0
	}
	prefill := r.prefill() + m.inFlight.onlinePrefill + m.inFlight.batchPrefill
	return 2 * m.model.stepTime(len(m.running), prefill)
}

// firstTokenNow estimates the first token of an online request that arrives now.
func (m *Machine) firstTokenNow() time.Duration {
	streams := m.inFlight.online + m.inFlight.activeBatch() + 1
	step := m.model.stepTime(streams, m.inFlight.onlinePrefill)
	return m.queueWait() + time.Duration(stepsToFirst*float64(step)) + m.model.stepTime(0, int(m.floor.prompt))
}
