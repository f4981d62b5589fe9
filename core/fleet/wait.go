package fleet

import "time"

// Held records how long an online request of a service has held its slot. It is called only for requests that
// did not wait for a slot: for others the time at which they began to run is unknown.
func (f *Fleet) Held(service string, d time.Duration) {
	mean := f.holdTimes[service]
	updateMean(&mean, d)
	f.holdTimes[service] = mean
}

// Prospect is the expected service of an online request that arrives now.
type Prospect struct {
	// Wait is how long it would wait for a slot, by the known loads: 0 where a slot is free or batch items
	// can be preempted, or while it is unknown how long requests hold a slot.
	Wait time.Duration
	// Hold is how long requests hold a slot; 0 if unknown.
	Hold time.Duration
	// Pace is how many requests per second this gateway may start, as its share of the capacity of all
	// targets; 0 if unknown.
	Pace float64
}

// Prospect returns the expected service of an online request that arrives now.
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
	waitingAhead := c.Load.Online - c.Target.Slots // requests that are queued there
	p.Wait = p.Hold * time.Duration(waitingAhead+1) / time.Duration(c.Target.Slots)
	return p
}

// totalSlots is how many requests the service's targets process at once, without targets that get no
// requests.
func (f *Fleet) totalSlots(now time.Time, service string) int {
	sum := 0
	for _, ts := range f.targets {
		if ts.Service == service && !ts.Draining && ts.health.state(now) != suspect {
			sum += ts.Slots
		}
	}
	return sum
}

// Waits reports whether the request for which the target was chosen has to wait there.
func (c Choice) Waits() bool { return c.Load.Online >= c.Target.Slots }
