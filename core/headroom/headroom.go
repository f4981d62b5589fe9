// Package headroom learns from the online requests at the targets of a service how long free slots stay free,
// and forecasts the demand. Gateways use it to start batch items only where they can make progress before
// online requests need the slot. It does no I/O and uses no clock: callers lock it and pass the time in.
package headroom

import "time"

const (
	// maxServices bounds the services of a Learner. At the bound the service that was observed longest ago is
	// dropped.
	maxServices = 64
	// windowTime is how long observations count: the length of the demand's history, and the time in which the
	// weight of an observed growth falls to a third.
	windowTime = 30 * time.Second
	// minObserveInterval is the shortest time between two observations of a service that are recorded.
	minObserveInterval = 40 * time.Millisecond
	// maxObservationAge is the age of the last observation from which on the demand counts as unknown, so that
	// it is neither rising nor periodic.
	maxObservationAge = time.Second
)

// Count is the number of online requests of all gateways at a target.
type Count struct {
	Target        string
	Online, Slots int
	// Peak is the highest number since the last observation. A request that arrives and another that ends between two
	// observations leave the number as it is, but the first has needed a slot.
	Peak int
}

// Options are the settings of a Learner.
type Options struct {
	// GainTime is the time after its start within which a batch item has gained its first events.
	GainTime time.Duration
}

// Learner learns the demand of services. Use New to create one; it is not safe for concurrent use.
type Learner struct {
	opts     Options
	services map[string]*service
}

// service is what is known of a service.
type service struct {
	lastSeen time.Time
	demand   demand
	growth   growth
	watches  watches
	trend    trend
}

// New returns a Learner without observations.
func New(o Options) *Learner { return &Learner{opts: o, services: make(map[string]*service)} }

// Observe records the online requests at all targets of a service. Counts must list the targets in the same
// order each time. Calls within minObserveInterval of the last one are ignored.
func (l *Learner) Observe(now time.Time, name string, counts []Count) {
	if len(counts) == 0 {
		return
	}
	s, ok := l.services[name]
	if !ok {
		l.makeRoom()
		s = &service{}
		l.services[name] = s
	}
	age := now.Sub(s.lastSeen)
	if ok && age < minObserveInterval {
		return
	}
	if ok && age > windowTime {
		*s = service{}
	}
	s.lastSeen = now
	online := 0
	for i := range counts {
		online += counts[i].Online
	}
	s.demand.add(now, float64(online))
	s.trend = s.demand.trend(now, l.opts.GainTime)
	s.growth.decay(now)
	s.watches.observe(now, counts, s.trend, l.opts.GainTime, &s.growth)
}

// makeRoom drops the service that was observed longest ago if there are maxServices.
func (l *Learner) makeRoom() {
	if len(l.services) < maxServices {
		return
	}
	oldest := ""
	for name, s := range l.services {
		if oldest == "" || s.lastSeen.Before(l.services[oldest].lastSeen) {
			oldest = name
		}
	}
	delete(l.services, oldest)
}

// Lasts returns the probability that a slot taken by a batch item that starts now stays available for
// Options.GainTime at a target with the given numbers of online requests, batch items and slots, without the
// new item. It is 1 while nothing is known, and 0 if no slot is free.
func (l *Learner) Lasts(now time.Time, name string, online, batch, slots int) float64 {
	room := slots - online - batch - 1 // free slots beside the new item
	if room < 0 {
		return 0
	}
	s, ok := l.services[name]
	if !ok || now.Sub(s.lastSeen) > windowTime {
		return 1
	}
	return s.growth.atMost(online, room, slots, s.trend)
}

// Forecast returns the expected number of online requests at all targets of a service after a time.
// isPeriodic reports whether the forecast follows a period found in the demand; otherwise the forecast is the
// mean of the last second.
func (l *Learner) Forecast(now time.Time, name string, ahead time.Duration) (online float64, isPeriodic bool) {
	s, ok := l.services[name]
	if !ok {
		return 0, false
	}
	if now.Sub(s.lastSeen) > maxObservationAge {
		return s.demand.level(), false
	}
	return s.demand.forecast(now, ahead)
}

// Summary describes the demand of a service for operators.
type Summary struct {
	Online float64       `json:"online"` // current number of online requests at all targets
	Mean   float64       `json:"mean"`
	Swing  float64       `json:"swing"`     // difference between the high and the low level
	Period time.Duration `json:"period_ns"` // 0 if the demand is not periodic
	// IsRising is set while the demand rises or is about to rise.
	IsRising bool `json:"is_rising"`
	// ObservedAt is when the demand was last observed.
	ObservedAt time.Time `json:"-"`
}

// Summary returns the demand of a service.
func (l *Learner) Summary(name string) Summary {
	s, ok := l.services[name]
	if !ok {
		return Summary{}
	}
	return Summary{
		Online: s.demand.current(), Mean: s.demand.mean, Swing: s.demand.swing, Period: time.Duration(s.demand.period * float64(binTime)),
		IsRising: s.trend == rising, ObservedAt: s.lastSeen,
	}
}
