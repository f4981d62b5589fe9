package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"arbutusramp/core/costmodel"
)

const (
	// minSlowness and maxSlowness bound the slowness that decisions use, so that a wrong value of one target
	// cannot draw all requests there or make it unused for ever.
	minSlowness = 1.0 / 8
	maxSlowness = 8.0
	// maxQueueWaitFactor is how many times longer than the mean of its service a target's hold time may be
	// when its silence is judged. A larger factor would delay the detection of a failed slow target.
	maxQueueWaitFactor = 4.0
	// minTimeTolerance and timeToleranceShare are within which difference from the earliest expected time, at
	// least and as a share of it, targets count as equal. Predictions are not more exact than that.
	minTimeTolerance   = 5 * time.Millisecond
	timeToleranceShare = 0.1
)

// predictor predicts the cost of runs; *costmodel.Model implements it.
type predictor interface {
	Predict(now time.Time, q costmodel.Query) (costmodel.Prediction, bool)
	Slowness(now time.Time, target string) float64
}

// expectation is how a request that is sent to a target now is expected to be served there.
type expectation struct {
	wait     time.Duration // until a slot is free, 0 if one is free or held by a batch item
	service  time.Duration // from the start in a slot to what the goal measures; 0 if unknown
	hold     time.Duration // for which requests hold a slot of the target on average; 0 if unknown
	slowness float64       // duration of work at the target relative to its service
}

// total is the expected time from now to what the goal measures: the first event of a stream, the whole answer
// of a call.
func (e expectation) total() time.Duration { return e.wait + e.service }

// expect returns the expectation for a request at a target. It counts the requests of all gateways there.
func (f *Fleet) expect(now time.Time, w Work, c candidate) expectation {
	slots := max(1, c.target.Slots)
	e := expectation{slowness: f.slowness(now, c.target.ID)}
	e.hold = f.targetHoldTime(now, c.target, e.slowness)
	if queuedAhead := c.load.Online - slots; queuedAhead >= 0 {
		e.wait = e.hold * time.Duration(queuedAhead+1) / time.Duration(slots)
	}
	p, ok := f.predictions.Predict(now, costmodel.Query{
		Service: w.Service, Route: w.Route, Target: c.target.ID, Size: w.Size, Load: min(slots, c.load.total()+1), Slots: slots,
	})
	switch {
	case ok && w.IsStream:
		e.service = p.FirstEvent
	case ok:
		e.service = max(p.FirstEvent, p.Hold)
	case w.IsStream:
		e.service = scale(f.timings[w.Service].firstEvent, e.slowness)
	default:
		e.service = e.hold
	}
	return e
}

// slowness is the slowness of a target within its bounds; 1 if it is not a number.
func (f *Fleet) slowness(now time.Time, id string) float64 {
	s := f.predictions.Slowness(now, id)
	if math.IsNaN(s) || s <= 0 {
		return 1
	}
	return min(maxSlowness, max(minSlowness, s))
}

// targetHoldTime is how long requests of unknown size hold a slot of a target on average; 0 if unknown.
func (f *Fleet) targetHoldTime(now time.Time, ts *targetState, slowness float64) time.Duration {
	slots := max(1, ts.Slots)
	p, ok := f.predictions.Predict(now, costmodel.Query{Service: ts.Service, Target: ts.ID, Load: slots, Slots: slots})
	if ok && p.Hold > 0 {
		return p.Hold
	}
	return scale(f.holdTimes[ts.Service], slowness)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// earliest returns the candidate with the earliest expected time, and its expectation. Candidates within the
// tolerance of that time are compared by tier, cost and tieBreak, as where no times are known.
func (f *Fleet) earliest(now time.Time, w Work, list []candidate) (candidate, expectation) {
	expectations := make(map[string]expectation, len(list))
	best := time.Duration(math.MaxInt64)
	for _, c := range list {
		e := f.expect(now, w, c)
		expectations[c.target.ID] = e
		best = min(best, e.total())
	}
	limit := best + max(minTimeTolerance, scale(best, timeToleranceShare))
	equal := slices.DeleteFunc(list, func(c candidate) bool { return expectations[c.target.ID].total() > limit })
	chosen := bestCandidate(equal)
	return chosen, expectations[chosen.target.ID]
}

// expectedEstimate is Estimate for a service whose targets are chosen by expected time.
func (f *Fleet) expectedEstimate(now time.Time, w Work) Estimate {
	e := Estimate{HoldTime: f.holdTimes[w.Service], StartRate: f.capacityRate(now, w.Service) / float64(1+len(f.peers)), Slowness: 1}
	c, ok := f.PickOnline(now, w, nil)
	if !ok {
		return e
	}
	e.Target, e.Wait, e.ServiceTime, e.Slowness = c.Target.ID, c.expected.wait, c.expected.service, c.expected.slowness
	e.HoldTime = cmp.Or(c.expected.hold, e.HoldTime)
	return e
}

// capacityRate is how many online requests per second all targets of a service together can serve, without
// draining and suspect targets; 0 if unknown.
func (f *Fleet) capacityRate(now time.Time, service string) float64 {
	rate := 0.0
	for _, ts := range f.targets {
		if ts.Service != service || ts.IsDraining || ts.health.state(now) == suspect {
			continue
		}
		if hold := f.targetHoldTime(now, ts, f.slowness(now, ts.ID)); hold > 0 {
			rate += float64(ts.Slots) / hold.Seconds()
		}
	}
	return rate
}

// queueHoldTime is the hold time of a target by which its silence is judged; 0 if unknown. It is at least the
// mean of the service: a target that was fast and has become slow must not count as silent before others do.
func (f *Fleet) queueHoldTime(now time.Time, ts *targetState) time.Duration {
	mean := f.holdTimes[ts.Service]
	if mean <= 0 || !f.usesExpectedTime(ts.Service) {
		return mean
	}
	hold := f.targetHoldTime(now, ts, f.slowness(now, ts.ID))
	return min(scale(mean, maxQueueWaitFactor), max(mean, hold))
}
