package fleet

import (
	"cmp"
	"slices"
	"time"

	"arbutusramp/core/headroom"
	"arbutusramp/core/policy"
)

// batchGainTime is how long after its start a batch item has its first events: until then a preemption loses
// all that the run has cost.
const batchGainTime = 400 * time.Millisecond

const (
	// minStartProbability is the lowest probability that its slot lasts for batchGainTime at which a batch item starts.
	minStartProbability = 0.5
	// minUrgentProbability is the same for an item that would miss its due time if it did not start now.
	minUrgentProbability = 0.15
	// minPatientProbability is the same for an item that can wait for the next low phase of a periodic demand. The slots
	// of nearly full targets are left to items that can't.
	minPatientProbability = 0.9
	// maxUrgentShare is the share of a service's slots up to which batch items may hold slots for an urgent item to
	// start in an overload.
	maxUrgentShare = 1.0 / 16
	// slownessStep is the factor of slowness between two classes of targets that urgent items treat as equally
	// fast. The estimates of two equal targets differ by less.
	slownessStep = 1.25
	// observeInterval is the shortest time between two observations of the demand.
	observeInterval = 50 * time.Millisecond
	// overloadReportTime is how long after it was noted an overload is reported. It is longer than the interval of
	// 200 ms between regular reports, so that an overload that is reported at once is reported twice at least, and is
	// not lost with one datagram.
	overloadReportTime = 250 * time.Millisecond
	// maxYieldTime is the longest time after the last report of an overload in which no batch item starts.
	maxYieldTime = 2 * time.Second
	// maxOverloads bounds the services whose overload is recorded; further ones are ignored until others end.
	maxOverloads = 64
)

// DeferReason says why a batch item does not start although a slot is free.
type DeferReason uint8

const (
	// NotDeferred means that the item starts, or that no slot is free for it.
	NotDeferred DeferReason = iota
	// DeferredForHeadroom means that no free slot is expected to last until the item has gained its first events.
	DeferredForHeadroom
	// DeferredForOverload means that online requests of the service have recently been rejected or queued.
	DeferredForOverload
)

// String returns the reason as it appears in logs and in the names of metrics.
func (r DeferReason) String() string { return [...]string{"none", "headroom", "overload"}[r] }

// BatchPick is the outcome of the choice of a target for a batch item.
type BatchPick struct {
	Choice
	// IsPicked is set if a target was chosen; without it Target is empty.
	IsPicked bool
	// Deferral is why the item has to wait although a slot is free.
	Deferral DeferReason
	// IsAvoiding is set if the item has to wait and targets that it avoids were left out. Whether they have a slot is then
	// not known.
	IsAvoiding bool
	// IsForecast is set if Probability was computed.
	IsForecast bool
	// Probability is that with which the slot at the target is expected to last for batchGainTime; without a
	// target, the highest of those with a free slot.
	Probability float64
}

// isYielding reports whether batch items of a service wait at this time because of an overload.
func (f *Fleet) isYielding(now time.Time, service string) bool {
	o, ok := f.overloads[service]
	return ok && f.yieldsInOverload(service) && now.Sub(o.lastNoted) <= f.yieldTime(service)
}

func (f *Fleet) yieldsInOverload(service string) bool {
	return f.opts.YieldsInOverload && f.opts.Disabled.IsEnabled(policy.YieldInOverload) && f.isCostAware(service)
}

// yieldTime is how long after the last report of an overload no batch item of a service starts: until the
// requests that were sent in the overload have released their slots.
func (f *Fleet) yieldTime(service string) time.Duration {
	holdTime := f.holdTimes[service]
	if holdTime <= 0 {
		holdTime = defaultHoldTime
	}
	return min(holdTime, maxYieldTime)
}

// isUrgentShareUsed reports whether batch items hold maxUrgentShare of the slots of a service, at least one.
func (f *Fleet) isUrgentShareUsed(now time.Time, service string) bool {
	items := 0
	for _, ts := range f.observed.get(f.targets, service) {
		items += ts.totalLoad().Batch
	}
	return items >= max(1, int(maxUrgentShare*float64(f.totalSlots(now, Work{Service: service}))))
}

// startProbability returns the lowest probability that its slot lasts at which a batch item starts.
func (f *Fleet) startProbability(w Work) float64 {
	period := f.demands.Summary(w.Service).Period
	switch {
	case w.IsUrgent:
		return minUrgentProbability
	case period > 0 && w.StartSlack > period:
		return minPatientProbability
	}
	return minStartProbability
}

// lastingSlots is the number of slots of a target that were last found to last for batch items.
type lastingSlots struct {
	slots          int
	probability    float64   // of the first of them, or of a free slot if none lasts
	since, checked time.Time // since when the number is unchanged, and when it was last computed
}

// maxLastingAge is the age from which on the last number of lasting slots is no longer compared with the next one.
const maxLastingAge = 100 * time.Millisecond

// update records the number of lasting slots.
func (l *lastingSlots) update(now time.Time, slots int) {
	if slots != l.slots || now.Sub(l.checked) > maxLastingAge {
		l.slots, l.since = slots, now
	}
	l.checked = now
}

// slotUse is the load of a target and its slots.
type slotUse struct {
	load  Load
	slots int
}

// lastingCount is the number of slots that last, with the probability of the first free one.
type lastingCount struct {
	slots       int
	probability float64
}

// countLasting returns how many slots batch items may take one after the other at a target with this use, each with at
// least the probability limit that it lasts.
func (f *Fleet) countLasting(now time.Time, service string, use slotUse, limit float64) lastingCount {
	var count lastingCount
	for batch := use.load.Batch; use.load.Online+batch < use.slots-f.opts.MinFreeAfterStart; batch++ {
		p := f.demands.Lasts(now, service, use.load.Online, batch, use.slots)
		if batch == use.load.Batch {
			count.probability = p
		}
		if p < limit {
			break
		}
		count.slots++
	}
	return count
}

// lastingCandidates returns the candidates at which a slot is expected to last for the item, and the highest
// probability of all. Gateways stagger their starts as canStart does, but by the number of slots that last and from the
// time of its last change: slots begin to last at many targets at once when the demand falls, and all gateways would
// start items in the same ones. The first gateway in turn waits for staggerInterval as well, because the slot that an online
// request has just released is the one that all gateways send their next online requests to.
func (f *Fleet) lastingCandidates(now time.Time, w Work, list []candidate, ahead int) (lasting []candidate, highest float64) {
	limit := f.startProbability(w)
	known := make(map[slotUse]lastingCount) // many targets have the same load
	for _, c := range list {
		use := slotUse{c.load, c.target.Slots}
		count, ok := known[use]
		if !ok {
			count = f.countLasting(now, w.Service, use, limit)
			known[use] = count
		}
		n, p := count.slots, count.probability
		highest = max(highest, p)
		c.target.lasting.update(now, n)
		c.target.lasting.probability = p
		gatewaysWithoutSlot := max(0, ahead-(n-1))
		if n > 0 && now.Sub(c.target.lasting.since) >= time.Duration(1+gatewaysWithoutSlot)*staggerInterval {
			lasting = append(lasting, c)
		}
	}
	return lasting, highest
}

// slownessClass returns the class of a target's slowness: targets of one class count as equally fast.
func (f *Fleet) slownessClass(now time.Time, id string) int {
	class, limit, slowness := 0, slownessStep, f.costs.Slowness(now, id)
	for slowness > limit && class < maxSlownessClass {
		limit *= slownessStep
		class++
	}
	return class
}

// maxSlownessClass is reached by targets about nine times slower than usual.
const maxSlownessClass = 10

// observedTargets lists the targets of each service in the order of their ids.
type observedTargets struct {
	byService map[string][]*targetState // nil after a change of the targets
	counts    []headroom.Count          // reused by each observation
	last      time.Time                 // of the last observation
}

// reset discards the lists after a change of the targets.
func (o *observedTargets) reset() { o.byService = nil }

// lists returns the targets of all services.
func (o *observedTargets) lists(targets map[string]*targetState) map[string][]*targetState {
	if o.byService != nil {
		return o.byService
	}
	o.byService = make(map[string][]*targetState)
	for _, ts := range targets {
		o.byService[ts.Service] = append(o.byService[ts.Service], ts)
	}
	for _, list := range o.byService {
		slices.SortFunc(list, func(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) })
	}
	return o.byService
}

// get returns the targets of a service.
func (o *observedTargets) get(targets map[string]*targetState, service string) []*targetState {
	return o.lists(targets)[service]
}

// observeDemand records the online requests at the targets of all services whose costs are predicted, at most
// every observeInterval.
func (f *Fleet) observeDemand(now time.Time) {
	if f.opts.ExpectedTime == ExpectedTimeOff || now.Sub(f.observed.last) < observeInterval {
		return
	}
	f.observed.last = now
	for service, list := range f.observed.lists(f.targets) {
		if !f.isCostAware(service) {
			continue
		}
		counts := f.observed.counts[:0]
		for _, ts := range list {
			if !ts.IsDraining {
				online := ts.ownLoad.Online + ts.peerLoad.Online
				counts = append(counts, headroom.Count{Target: ts.ID, Online: online, Slots: ts.Slots, Peak: ts.peakOnline})
				ts.peakOnline = online
			}
		}
		f.demands.Observe(now, service, counts)
		f.observed.counts = counts
	}
}

// Demand returns the demand of a service for log lines and operators; zero while it is not observed.
func (f *Fleet) Demand(service string) headroom.Summary { return f.demands.Summary(service) }

// IsCostAware reports whether the costs of a service's requests are predicted.
func (f *Fleet) IsCostAware(service string) bool { return f.isCostAware(service) }
