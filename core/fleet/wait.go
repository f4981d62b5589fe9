package fleet

import "time"

// holdWeight is the weight of a new request in the mean of how long requests hold a slot: the mean
// follows a change within some dozen requests.
const holdWeight = 0.05

// Held notes how long an online request of a service has held its slot. Only those that did not have to wait for one
// tell it: of the others nobody here knows when they began to run.
func (f *Fleet) Held(service string, d time.Duration) {
	mean, ok := f.holds[service]
	if !ok {
		f.holds[service] = d
		return
	}
	f.holds[service] = mean + time.Duration(holdWeight*float64(d-mean))
}

// ExpectedWait is how long an online request that comes now would wait for a slot, by the loads that are known: 0
// where a slot is free or batch items make way, or while it is not known how long requests hold one.
func (f *Fleet) ExpectedWait(now time.Time, service string) time.Duration {
	c, ok := f.PickOnline(now, service, nil)
	if !ok {
		return 0
	}
	before := c.Load.Online - c.Target.Slots // requests that wait there
	if before < 0 || c.Target.Slots == 0 {
		return 0
	}
	return f.holds[service] * time.Duration(before+1) / time.Duration(c.Target.Slots)
}

// Waits says whether the request for which the target was chosen has to wait there.
func (c Choice) Waits() bool { return c.Load.Online >= c.Target.Slots }
