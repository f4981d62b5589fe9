package admit

import (
	"math"
	"time"
)

// limiter finds how many requests the target is given. It grows while the limit
// binds, up to the knee of the measured step times, and falls to what is served
// when the target is seen to queue inside, where no priority holds.
type limiter struct {
	limit float64
	max   int
	// places is how many requests the target was found to serve at a time; 0 is not known.
	places  float64
	foundAt time.Time
	// stride is by how much the next probe raises places; it doubles while probes
	// are served, so that a limit that was found too low does not last.
	stride  float64
	fastest float64 // seconds of an unloaded call, forgotten slowly
}

const (
	firstLimit  = 8    // concurrency before anything is measured
	minLimit    = 2    // the limit never falls below
	growPerStep = 0.25 // requests per step while the limit binds
	startGrowth = 0.1  // share of the limit by which it grows at first, per step
	bindShare   = 0.8  // the limit binds when that share of it is in use
	// kneeShare is the share of the highest token rate that the limit leaves
	// reachable. More streams than that lengthen steps and gain almost nothing.
	kneeShare = 0.97
	// probeEvery is how often one place more than were found is tried while the limit binds.
	probeEvery = 2 * time.Second
	// probeAgain is the time between probes while they are served.
	probeAgain = 300 * time.Millisecond
	// passedOver is how many steps with time to spare leave the same request unserved before
	// the target counts as queueing inside. Fewer may be a request that was slow on its
	// way: a limit that is found too low holds up the next burst at the side.
	passedOver = 3
	// widenEvery and widenFactor let the limit rise while online requests wait at the
	// side, in case it was found too low; what is too much then waits inside the
	// target, in the same order.
	widenEvery  = 500 * time.Millisecond
	widenFactor = 1.25
)

func newLimiter(maxLimit int) limiter {
	return limiter{limit: min(firstLimit, float64(maxLimit)), max: maxLimit}
}

// value is the limit as a whole number.
func (l *limiter) value() int { return max(1, int(l.limit)) }

// online is the limit for online requests. Until the target was seen to
// queue, none is set: a burst must not wait for a limit that is still growing.
func (l *limiter) online() int {
	if l.places == 0 {
		return l.max
	}
	return l.value()
}

// step learns from one step of the engine.
func (l *limiter) step(now time.Time, s step, m *model) {
	ceiling := float64(l.max)
	if m.ready() {
		ceiling = min(ceiling, knee(m))
	}
	binding := float64(s.streams()) >= bindShare*l.limit
	if l.places > 0 && binding && now.Sub(l.foundAt) > l.probeWait() {
		l.places += l.stride
		l.stride *= 2
		l.foundAt = now
	}
	if l.places > 0 {
		ceiling = min(ceiling, l.places)
	}
	if binding {
		l.limit += max(growPerStep, l.slowStart())
	}
	l.limit = max(min(minLimit, float64(l.max)), min(l.limit, ceiling))
}

// slowStart is the growth by step while nothing is known of the target's places.
func (l *limiter) slowStart() float64 {
	if l.places > 0 {
		return 0
	}
	return startGrowth * l.limit
}

// queuedInside learns that the engine serves no more than served requests
// and keeps others waiting in a queue of its own, where no priority holds.
func (l *limiter) queuedInside(now time.Time, served int) {
	l.limit = max(minLimit, min(l.limit, float64(served)))
	l.places = l.limit
	l.stride = 1
	l.foundAt = now
}

// probeWait is the time to the next probe: long after one that had to wait inside.
func (l *limiter) probeWait() time.Duration {
	if l.stride > 1 {
		return probeAgain
	}
	return probeEvery
}

// widen raises the limit for waiting online requests.
func (l *limiter) widen(now time.Time) {
	if l.places == 0 || now.Sub(l.foundAt) < widenEvery {
		return
	}
	l.foundAt = now
	l.places = min(float64(l.max), math.Ceil(l.places*widenFactor))
	l.limit = l.places
}

// call learns from a whole call of a target without steps: the limit follows
// the ratio of the unloaded time to the time now.
func (l *limiter) call(took time.Duration, inFlight int) {
	t := max(took.Seconds(), minService.Seconds())
	if l.fastest == 0 || t < l.fastest {
		l.fastest = t
	}
	l.fastest *= baselineDrift
	binding := float64(inFlight) >= bindShare*l.limit
	switch {
	case t > callTolerance*l.fastest && binding:
		l.limit -= growPerStep
	case binding:
		l.limit += growPerStep
	}
	l.limit = max(min(minLimit, float64(l.max)), min(l.limit, float64(l.max)))
}

const (
	// baselineDrift lets the unloaded time rise, so that a target that has
	// become slower for good is not taken for an overloaded one for ever.
	baselineDrift = 1.0005
	// callTolerance is how much longer than unloaded a call may take.
	callTolerance = 2.0
)

// knee is the number of streams at which the token rate streams/step reaches
// kneeShare of its asymptote 1/perStream.
func knee(m *model) float64 {
	if m.perStream <= 0 {
		return float64(DefaultMaxLimit)
	}
	return max(minLimit, m.base/m.perStream*kneeShare/(1-kneeShare))
}
