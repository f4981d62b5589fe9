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
	// spreadShare is by how much later than the earliest target others are expected to answer that are still
	// chosen often, as a share of the wait that one more request causes at a target of the service's mean speed.
	// Reports of other gateways are some milliseconds old: with a smaller share all gateways choose the same target
	// meanwhile, with a larger one requests wait although a slot is free elsewhere.
	spreadShare = 0.25
	// maxSpreads is how many times the spread later than the earliest target others are not chosen at all.
	maxSpreads = 16
	// ownDomainWeight is how many times more often a target in the gateway's own failure domain is chosen than
	// one in another domain, because traffic between domains is costly. It does not apply to targets that are
	// later than the earliest by more than the spread.
	ownDomainWeight = 16
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
	hold     time.Duration // for which requests hold a slot of the target on average; 0 if unknown or not needed for wait
	slowness float64       // duration of work at the target relative to its service
}

// step is by how much each request ahead in the queue of the target extends the wait.
func (e expectedCandidate) step() time.Duration {
	return e.hold / time.Duration(max(1, e.target.Slots))
}

// total is the expected time from now to what the goal measures: the first event of a stream, the whole answer
// of a call.
func (e expectation) total() time.Duration { return e.wait + e.service }

// expect returns the expectation for a request at a target. It counts the requests of all gateways there.
func (f *Fleet) expect(now time.Time, w Work, c candidate) expectation {
	slots := max(1, c.target.Slots)
	e := expectation{slowness: f.slowness(now, c.target.ID)}
	if queuedAhead := c.load.Online - slots; queuedAhead >= 0 {
		e.hold = f.targetHoldTime(c.target, e.slowness)
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
		e.service = scale(f.holdTimes[w.Service], e.slowness)
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

// targetHoldTime is how long online requests hold a slot of a target on average; 0 if unknown. It follows from the
// mean of the service's online requests: a prediction without a route would include batch items, which take several
// times longer.
func (f *Fleet) targetHoldTime(ts *targetState, slowness float64) time.Duration {
	return scale(f.holdTimes[ts.Service], slowness)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// expectedCandidate is a candidate with its expectation.
type expectedCandidate struct {
	candidate
	expectation
}

// expectAll returns the candidates with their expectations, and the earliest of them with its hold time. list is not
// empty. The result is valid until the next call.
func (f *Fleet) expectAll(now time.Time, w Work, list []candidate) (all []expectedCandidate, earliest expectedCandidate) {
	all = f.expected[:0]
	for _, c := range list {
		all = append(all, expectedCandidate{c, f.expect(now, w, c)})
	}
	f.expected = all
	earliest = slices.MinFunc(all, func(a, b expectedCandidate) int {
		return cmp.Or(cmp.Compare(a.total(), b.total()), cmp.Compare(a.target.tieBreak, b.target.tieBreak), cmp.Compare(a.target.ID, b.target.ID))
	})
	earliest.hold = f.targetHoldTime(earliest.target, earliest.slowness)
	return all, earliest
}

// chooseExpected chooses one of the candidates at random, those with an earlier expected time, more free slots or
// in the own domain more often. If all gateways chose the earliest target, they would send more requests there
// between two reports than it has free slots.
func (f *Fleet) chooseExpected(now time.Time, w Work, list []candidate) expectedCandidate {
	all, earliest := f.expectAll(now, w, list)
	if earliest.hold == 0 { // no wait is known, so that a full queue would count as a free slot
		best := bestCandidate(list)
		return expectedCandidate{best, f.expect(now, w, best)}
	}
	limit := earliest.total() + max(minTimeTolerance, scale(earliest.total(), timeToleranceShare))
	isEqualAndFree := func(c expectedCandidate) bool { return c.total() <= limit && c.tier() == tierFree }
	hasFreeSlot := slices.ContainsFunc(all, isEqualAndFree)
	spread := max(minTimeTolerance, scale(f.holdTimes[w.Service], spreadShare)/time.Duration(max(1, earliest.target.Slots)))
	f.draws++
	chosen, firstArrival := earliest, math.Inf(1)
	for _, c := range all {
		if c.total()-earliest.total() > maxSpreads*spread || hasFreeSlot && c.tier() == tierPreempt {
			continue
		}
		// Each candidate has an arrival time with its weight as the rate; the first one is chosen. Unlike a draw from
		// the sum of the weights it does not depend on the order of the list.
		arrival := -math.Log(c.target.draw(f.draws)) / c.weight(c.total()-earliest.total(), spread)
		if arrival < firstArrival {
			chosen, firstArrival = c, arrival
		}
	}
	return chosen
}

// weight is how often the candidate is chosen, relative to others, if its expected time is that much later than
// the earliest one.
func (c expectedCandidate) weight(delay, spread time.Duration) float64 {
	w := math.Exp(-float64(delay)/float64(spread)) * float64(max(1, c.target.Slots-c.load.Online))
	if c.isSameDomain && delay <= spread {
		w *= ownDomainWeight
	}
	return w
}

// draw returns a number between 0 and 1, neither included, that differs between targets, gateways and values
// of n and is otherwise random (splitmix64).
func (ts *targetState) draw(n uint64) float64 {
	const increment, bits = 0x9e3779b97f4a7c15, 53
	z := ts.tieBreak + n*increment
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return (float64(z>>(64-bits)) + 0.5) / (1 << bits)
}

// expectedEstimate is Estimate for a service whose targets are chosen by expected time.
func (f *Fleet) expectedEstimate(now time.Time, w Work) Estimate {
	list, _ := f.onlineCandidates(now, w, nil)
	if len(list) == 0 {
		return Estimate{HoldTime: f.holdTimes[w.Service], Slowness: 1}
	}
	_, best := f.expectAll(now, w, list)
	e := Estimate{Target: best.target.ID, Wait: best.wait, WaitStep: best.step(), HoldTime: best.hold, ServiceTime: best.service, Slowness: best.slowness}
	if e.Wait > 0 {
		e.StartRate = f.capacityRate(now, w.Service) * f.startShare(w.Service)
	}
	return e
}

// capacityRate is how many online requests per second all targets of a service together can serve, without
// draining and suspect targets; 0 if unknown. It is at most capacityTTL old.
func (f *Fleet) capacityRate(now time.Time, service string) float64 {
	c := f.capacity(now, service)
	if !c.rateAt.IsZero() && now.Sub(c.rateAt) < capacityTTL {
		return c.rate
	}
	c.rateAt, c.rate = now, 0
	for _, ts := range f.targets {
		if ts.Service != service || ts.IsDraining || ts.health.state(now) == suspect {
			continue
		}
		if hold := f.targetHoldTime(ts, f.slowness(now, ts.ID)); hold > 0 {
			c.rate += float64(ts.Slots) / hold.Seconds()
		}
	}
	f.capacities[service] = c
	return c.rate
}

// queueHoldTime is the hold time of a target by which its silence is judged; 0 if unknown. It is at least the
// mean of the service: a target that was fast and has become slow must not count as silent before others do.
func (f *Fleet) queueHoldTime(now time.Time, ts *targetState) time.Duration {
	mean := f.holdTimes[ts.Service]
	if mean <= 0 || !f.isCostAware(ts.Service) {
		return mean
	}
	hold := f.targetHoldTime(ts, f.slowness(now, ts.ID))
	return min(scale(mean, maxQueueWaitFactor), max(mean, hold))
}
