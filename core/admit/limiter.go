package admit

import "time"

// limiter finds how many requests the target is given. It grows while the limit
// binds, up to the knee of the measured step times, and falls by a factor when
// first tokens come much later than the step model explains: then the target
// queues inside, where no priority holds.
type limiter struct {
	limit   float64
	max     int
	late    int
	cutAt   time.Time
	fastest float64 // seconds of an unloaded call, forgotten slowly
}

const (
	firstLimit  = 8    // concurrency before anything is measured
	minLimit    = 2    // the limit never falls below
	growPerStep = 0.25 // requests per step while the limit binds
	bindShare   = 0.8  // the limit binds when that share of it is in use
	cutFactor   = 0.8
	// lateFactor is how many times the expected time a first token takes when the
	// target queues inside.
	lateFactor = 4.0
	lateInARow = 4
	// kneeShare is the share of the highest token rate that the limit leaves
	// reachable. More streams than that lengthen steps and gain almost nothing.
	kneeShare = 0.97
	// cutEvery is the least time between two cuts, so that one episode counts once.
	cutEvery = 500 * time.Millisecond
)

func newLimiter(maxLimit int) limiter {
	return limiter{limit: min(firstLimit, float64(maxLimit)), max: maxLimit}
}

// value is the limit as a whole number.
func (l *limiter) value() int { return max(1, int(l.limit)) }

// step learns from one step of the engine.
func (l *limiter) step(s step, m *model) {
	ceiling := float64(l.max)
	if m.ready() {
		ceiling = min(ceiling, knee(m))
	}
	if float64(s.streams()) >= bindShare*l.limit {
		l.limit += growPerStep
	}
	l.limit = max(min(minLimit, float64(l.max)), min(l.limit, ceiling))
}

// firstToken learns from the time between a start and its first token.
func (l *limiter) firstToken(now time.Time, took, expected time.Duration) {
	if expected <= 0 || float64(took) < lateFactor*float64(expected) {
		l.late = 0
		return
	}
	l.late++
	if l.late < lateInARow || now.Sub(l.cutAt) < cutEvery {
		return
	}
	l.late = 0
	l.cutAt = now
	l.limit = max(minLimit, l.limit*cutFactor)
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
