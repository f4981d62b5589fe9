package fleet

import "time"

// Held notes how long an online request of a service has held its slot. Only those that did not have to wait for one
// tell it: of the others nobody here knows when they began to run.
func (f *Fleet) Held(service string, d time.Duration) {
	mean := f.holds[service]
	learn(&mean, d)
	f.holds[service] = mean
}

// Prospect is what an online request that comes now may expect of a service.
type Prospect struct {
	// Wait is how long it would wait for a slot, by the loads that are known: 0 where a slot is free or batch items make
	// way, or while it is not known how long requests hold one.
	Wait time.Duration
	// Hold is how long requests hold a slot; 0 is not known.
	Hold time.Duration
	// Pace is how many requests a second this gateway may start, as its part of what all targets can do; 0 is not known.
	Pace float64
}

// Prospect returns what an online request that comes now may expect.
func (f *Fleet) Prospect(now time.Time, service string) Prospect {
	p := Prospect{Hold: f.holds[service]}
	if p.Hold <= 0 {
		return p
	}
	p.Pace = float64(f.slots(now, service)) / p.Hold.Seconds() / float64(1+len(f.peers))
	c, ok := f.PickOnline(now, service, nil)
	if !ok || !c.Waits() || c.Target.Slots == 0 {
		return p
	}
	before := c.Load.Online - c.Target.Slots // requests that wait there
	p.Wait = p.Hold * time.Duration(before+1) / time.Duration(c.Target.Slots)
	return p
}

// slots is how many requests the service's targets work on at once, those left out that get none.
func (f *Fleet) slots(now time.Time, service string) int {
	sum := 0
	for _, n := range f.nodes {
		if n.Service == service && !n.Draining && n.health.state(now) != suspect {
			sum += n.Slots
		}
	}
	return sum
}

// Waits says whether the request for which the target was chosen has to wait there.
func (c Choice) Waits() bool { return c.Load.Online >= c.Target.Slots }
