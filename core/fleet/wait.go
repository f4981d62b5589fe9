package fleet

import "time"

// Held records that an online request of a service has held its slot for d. It is called only for requests
// that did not wait for a slot: for others the time at which they began to run is unknown.
func (f *Fleet) Held(service string, d time.Duration) {
	mean := f.holdTimes[service]
	updateMean(&mean, d)
	f.holdTimes[service] = mean
}

// Prospect is an estimate of how an online request that arrives now will be served.
type Prospect struct {
	// Wait is how long the request would wait for a slot at the target that PickOnline chooses, by the loads
	// of all gateways: 0 if a slot is free there or batch items can be preempted, if no target can be chosen,
	// or while Hold is unknown.
	Wait time.Duration
	// Hold is the mean time for which online requests of the service hold a slot; 0 if unknown.
	Hold time.Duration
	// Pace is how many requests per second this gateway may start: the capacity of all targets, divided by
	// the number of live gateways; 0 if unknown.
	Pace float64
}

// Prospect returns the estimate for an online request of a service that arrives now.
func (f *Fleet) Prospect(now time.Time, service string) Prospect {
	p := Prospect{Hold: f.holdTimes[service]}
	if p.Hold <= 0 {
		return p
	}
	p.Pace = float64(f.totalSlots(now, service)) / p.Hold.Seconds() / float64(1+len(f.peers))
	c, ok := f.PickOnline(now, service, nil)
	if !ok || !c.Waits() || c.Target.Slots == 0 {
		return p
	}
	queuedAhead := c.Load.Online - c.Target.Slots // requests that are queued at the target
	p.Wait = p.Hold * time.Duration(queuedAhead+1) / time.Duration(c.Target.Slots)
	return p
}

// totalSlots is how many requests the service's targets process at once, without draining and suspect
// targets.
func (f *Fleet) totalSlots(now time.Time, service string) int {
	sum := 0
	for _, ts := range f.targets {
		if ts.Service == service && !ts.IsDraining && ts.health.state(now) != suspect {
			sum += ts.Slots
		}
	}
	return sum
}

// Waits reports whether the request has to wait for a slot at the chosen target, because online requests hold
// all of them.
func (c Choice) Waits() bool { return c.Load.Online >= c.Target.Slots }
