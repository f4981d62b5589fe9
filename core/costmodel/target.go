package costmodel

import (
	"math"
	"time"
)

const (
	// maxSlowness bounds the slowness of a target, as a binary logarithm: 1/8 to 8.
	maxSlowness = 3
	// minPacePercent and maxPacePercent bound the pace that a target reports.
	minPacePercent = 25
	maxPacePercent = 1600
	// paceDecay is the time constant with which a reported pace loses its effect. Targets change their pace
	// many times a second.
	paceDecay = 500 * time.Millisecond
	// recentPaceTime is the time constant of the mean pace that the duration of a finished run is compared with.
	recentPaceTime = time.Second
	// idleHalfLife is the time without an observation after which half of the learned slowness is left.
	idleHalfLife = 30 * time.Second
	// runHalfLife is the time after which a run has half of the weight of a new one.
	runHalfLife = 5 * time.Second
	// minWeight is the least weight, in runs, of what is known of a target relative to a new run. It limits
	// the effect of the first runs.
	minWeight = 3
)

// target is what is known of a target. Speeds and paces are binary logarithms of durations relative to usual ones:
// positive values mean slow.
type target struct {
	service string
	tag     uint32  // identifies the target in windows
	speed   average // of the runs of all gateways
	// usualPace is the mean pace. Its effect is part of speed, so that only the difference from it counts in
	// addition.
	usualPace average
	runs      int // of all gateways

	pace       float64 // as last reported
	paceAt     time.Time
	recentPace float64 // mean of the reports of the last recentPaceTime
	isOwnPace  bool    // pace was reported to this gateway and not to a peer

	current currentSlowness

	newRuns     int // runs that peers have not been told of
	newSpeedSum float64
	sharedPace  float64 // the pace that peers know
	sharedAt    time.Time
}

// slownessTTL is how long a computed slowness is used unless the target is observed. Within it a pace loses 2% of its
// effect.
const slownessTTL = 10 * time.Millisecond

// currentSlowness is a slowness that was computed at a time; zero if there is none.
type currentSlowness struct {
	at     time.Time
	factor float64
}

// average is a mean in which older values have less weight. Values that are added at the same time can be added
// in any order.
type average struct {
	mean, weight float64
	at           time.Time // of the last value; zero if there is none
}

// add adds n values with a sum. Until then the mean has decayed towards base.
func (a *average) add(now time.Time, base, sum float64, n int) {
	mean, weight := base+a.distance(now, base), float64(minWeight)
	if !a.at.IsZero() {
		weight = max(weight, a.weight*math.Exp2(-max(0, now.Sub(a.at).Seconds())/runHalfLife.Seconds()))
	}
	a.mean, a.weight = (mean*weight+sum)/(weight+float64(n)), weight+float64(n)
	if a.at.Before(now) {
		a.at = now
	}
}

// distance returns the distance of the mean from base, of which half is left after idleHalfLife without a value; 0
// if there never was one. The exponent is squared: with a constant rate of decay, the mean would also move towards
// base between the values of a busy target.
func (a *average) distance(now time.Time, base float64) float64 {
	if a.at.IsZero() {
		return 0
	}
	periods := max(0, now.Sub(a.at).Seconds()) / idleHalfLife.Seconds()
	return (a.mean - base) * math.Exp2(-periods*periods)
}

// learned returns the learned slowness of a target among targets with a median speed.
func (t *target) learned(now time.Time, median float64) float64 { return t.speed.distance(now, median) }

// paceEffect returns the effect at the time now of a pace that was reported at a time.
func (t *target) paceEffect(now time.Time, pace float64, at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	decay := math.Exp(-max(0, now.Sub(at).Seconds()) / paceDecay.Seconds())
	return (pace - t.usualPace.distance(now, 0)) * decay
}

// slowness returns the expected slowness of work that begins now.
func (t *target) slowness(now time.Time, median float64) float64 {
	return clip(t.learned(now, median)+t.paceEffect(now, t.pace, t.paceAt), maxSlowness)
}

// runSlowness returns the slowness that explains the duration of a run that has just ended, by the mean pace
// during the run.
func (t *target) runSlowness(now time.Time, median float64) float64 {
	slowness := t.learned(now, median)
	if t.hasRecentPace(now) {
		slowness += t.recentPace - t.usualPace.distance(now, 0)
	}
	return clip(slowness, maxSlowness)
}

// hasRecentPace reports whether the target has reported its pace within the last two times recentPaceTime.
func (t *target) hasRecentPace(now time.Time) bool {
	return !t.paceAt.IsZero() && now.Sub(t.paceAt) <= 2*recentPaceTime
}

// observeSpeed adds a run of this gateway with a duration relative to the usual one. The distance from what is
// known already is limited, so that a single outlier has little effect.
func (t *target) observeSpeed(now time.Time, median, speed float64) {
	known := median + t.learned(now, median)
	speed = clip(known+clip(speed-known, maxResidual), maxSlowness)
	t.current = currentSlowness{}
	t.speed.add(now, median, speed, 1)
	if t.hasRecentPace(now) {
		t.usualPace.add(now, 0, t.recentPace, 1)
	}
	t.runs++
	t.newRuns++
	t.newSpeedSum += speed
}

// setPace sets the pace unless it was reported before the one that is known.
func (t *target) setPace(at time.Time, pace float64, isOwn bool) bool {
	if !t.paceAt.IsZero() && !at.After(t.paceAt) {
		return false
	}
	if t.paceAt.IsZero() {
		t.recentPace = pace
	} else {
		t.recentPace += (pace - t.recentPace) * -math.Expm1(-at.Sub(t.paceAt).Seconds()/recentPaceTime.Seconds())
	}
	t.pace, t.paceAt, t.isOwnPace = pace, at, isOwn
	t.current = currentSlowness{}
	return true
}

// Slowness returns how many times longer than usual for its service work takes at a target now; 1 if unknown. It
// is the learned factor times the pace that the target has reported, relative to its usual pace.
func (m *Model) Slowness(now time.Time, target string) float64 {
	t, ok := m.targets[target]
	if !ok {
		return 1
	}
	if age := now.Sub(t.current.at); t.current.at.IsZero() || age < 0 || age >= slownessTTL {
		t.current = currentSlowness{now, math.Exp2(t.slowness(now, m.median(now, t.service)))}
	}
	return t.current.factor
}

// Pace returns the part of the slowness of a target that follows from the pace it has reported; 1 if unknown.
func (m *Model) Pace(now time.Time, target string) float64 {
	t, ok := m.targets[target]
	if !ok {
		return 1
	}
	return math.Exp2(t.paceEffect(now, t.pace, t.paceAt))
}

// ObservePace records the pace that a target of a service has reported, in percent: 100 is usual, 200 means that
// work takes twice as long.
func (m *Model) ObservePace(now time.Time, service, target string, percent int) {
	t := m.targetOf(service, target)
	if t == nil || percent <= 0 {
		return
	}
	m.notePace(service)
	t.setPace(now, math.Log2(float64(max(minPacePercent, min(maxPacePercent, percent)))/100), true)
	m.withNews[target] = t
}

// medianInterval is how long the median of the speeds of a service's targets is used before it is computed again.
const medianInterval = 100 * time.Millisecond

// median returns the median of the speeds of a service's targets. Speeds count relative to it, so that the
// median target has slowness 1 whatever durations gateways compare with.
func (m *Model) median(now time.Time, name string) float64 {
	s := m.serviceOf(now, name)
	if s.isMedianStale && (s.medianAt.IsZero() || now.Sub(s.medianAt) >= medianInterval) {
		s.median, s.medianAt, s.isMedianStale = m.computeMedian(name), now, false
	}
	return s.median
}

// computeMedian computes the median for Model.median. Targets without runs count with the value that they start
// with.
func (m *Model) computeMedian(service string) float64 {
	var speeds []float32
	for _, t := range m.targets {
		if t.service == service {
			speeds = append(speeds, float32(t.speed.mean))
		}
	}
	return middle(speeds)
}
