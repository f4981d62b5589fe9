package fleet

import "time"

// RecordHoldTime records that an online request of a service has held its slot for d. It is called only for
// requests that did not wait for a slot: for others the time at which they began to run is unknown.
func (f *Fleet) RecordHoldTime(service string, d time.Duration) {
	mean, spread := f.holdTimes[service], f.holdSpreads[service]
	if mean == 0 {
		spread = d / 2 // nothing is known of others yet
	} else {
		updateMean(&spread, max(d-mean, mean-d))
	}
	updateMean(&mean, d)
	f.holdTimes[service], f.holdSpreads[service] = mean, spread
}

// holdSpread returns by how much hold times of a service differ from their mean on average, for requests that hold a slot for hold
// on average; 0 if unknown.
func (f *Fleet) holdSpread(service string, hold time.Duration) time.Duration {
	mean := f.holdTimes[service]
	if mean <= 0 {
		return 0
	}
	return scale(f.holdSpreads[service], float64(hold)/float64(mean))
}

// Estimate is an estimate of how an online request that arrives now will be served.
type Estimate struct {
	// Wait is how long the request would wait for a slot at the target that PickOnline chooses, by the loads
	// of all gateways: 0 if a slot is free there or batch items can be preempted, if no target can be chosen,
	// or while HoldTime is unknown.
	Wait time.Duration
	// HoldTime is the mean time for which online requests of the service hold a slot, at Target if targets are
	// chosen by expected time; 0 if unknown.
	HoldTime time.Duration
	// ServiceTime is the expected time from the start of the request in a slot of Target to the first event of a
	// stream or the whole answer of a call; 0 if unknown or if targets are not chosen by expected time.
	ServiceTime time.Duration
	// WaitStep is by how much each request ahead in the queue of Target extends Wait; 0 as ServiceTime.
	WaitStep time.Duration
	// Target is the id of the target that the other fields apply to; empty if targets are not chosen by expected
	// time. Slowness is how many times longer than usual for the service work takes there.
	Target   string
	Slowness float64
	// StartRate is how many online requests of the service this gateway may start per second: its share of the capacity
	// of the service's targets; 0 if unknown or, if targets are chosen by expected time, if Wait is 0.
	StartRate float64
}

// spreadFactor is how many mean deviations beyond its mean a time may take at most, as for retransmission timeouts. Source: RFC
// 6298, section 2.
const spreadFactor = 4

// LongestAnswer returns how long the whole answer to an online request that arrives now is expected to take at most; 0 if unknown.
func (f *Fleet) LongestAnswer(now time.Time, w Work) time.Duration {
	e := f.Estimate(now, w)
	return e.Wait + max(e.HoldTime, e.ServiceTime) + spreadFactor*f.holdSpread(w.Service, e.HoldTime)
}

// Estimate returns the estimate for an online request that arrives now.
func (f *Fleet) Estimate(now time.Time, w Work) Estimate {
	if f.isCostAware(w.Service) {
		return f.expectedEstimate(now, w)
	}
	e := Estimate{HoldTime: f.holdTimes[w.Service]}
	if e.HoldTime <= 0 {
		return e
	}
	e.StartRate = float64(f.totalSlots(now, w)) / e.HoldTime.Seconds() * f.startShare(w.Service)
	c, ok := f.PickOnline(now, w, nil)
	if !ok || !c.IsQueued() || c.Target.Slots == 0 {
		return e
	}
	queuedAhead := c.Load.Online - c.Target.Slots // requests that are queued at the target
	e.Wait = e.HoldTime * time.Duration(queuedAhead+1) / time.Duration(c.Target.Slots)
	return e
}

// totalSlots is how many requests the targets that fit the work process at once, without draining and suspect
// targets.
func (f *Fleet) totalSlots(now time.Time, w Work) int {
	sum := 0
	for _, ts := range f.targets {
		if w.fits(ts) && !ts.IsDraining && ts.health.state(now) != suspect {
			sum += ts.Slots
		}
	}
	return sum
}

// maxEvenShareFactor is how many times its equal share of the requests a gateway may have until its actual one counts.
// Below that the difference is mostly chance.
const maxEvenShareFactor = 2

// startShare returns the share of the online requests of a service that this gateway may start: an equal one, or its part
// of those at the targets if that is much larger. Callers may come to gateways very unevenly; an equal share would have
// the gateway that most of them come to reject requests for which there is room.
func (f *Fleet) startShare(service string) float64 {
	own, total := 0, 0
	for _, ts := range f.targets {
		if ts.Service == service {
			own, total = own+ts.ownLoad.Online, total+ts.ownLoad.Online+ts.peerLoad.Online
		}
	}
	equal := 1 / float64(1+len(f.peers))
	part := (float64(own) + equal) / float64(total+1) // as if one more request were divided equally
	if part < min(maxEvenShareFactor*equal, (1+equal)/2) {
		return equal
	}
	return part
}

// IsQueued reports whether the request has to wait for a slot at the chosen target, because online requests
// hold all of them.
func (c Choice) IsQueued() bool { return c.Load.Online >= c.Target.Slots }
