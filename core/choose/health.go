package choose

import "time"

// HealthState is an entry's verdict on a target.
type HealthState uint8

const (
	// Well targets get requests.
	Well HealthState = iota
	// Ejected targets get none for a while.
	Ejected
	// Probing targets may get one request that shows whether they are well again.
	Probing
)

// String implements fmt.Stringer.
func (s HealthState) String() string {
	switch s {
	case Ejected:
		return "ejected"
	case Probing:
		return "probing"
	default:
		return "well"
	}
}

const (
	failuresToEject = 5  // failures in a row
	slowFactor      = 5  // times the fleet's median
	slowToEject     = 20 // slow answers in a row
	slowFloor       = 20 * time.Millisecond
	ejectBase       = time.Second
	ejectMax        = time.Minute
	probeTimeout    = 10 * time.Second // a probe with no outcome is given up
	latencyWeight   = 0.1              // of a new sample in the moving average
)

// Outcome is one finished request at a target, as the entry saw it.
type Outcome struct {
	Failed bool
	// FirstByte is the time to the first part of the answer; 0 is not known.
	FirstByte time.Duration
}

// Bad says that the outcome speaks against the target.
func (o Outcome) Bad(f FleetView) bool { return o.Failed || isSlow(o.FirstByte, f.Median) }

// FleetView is what a target is compared with.
type FleetView struct {
	Median         time.Duration // of the targets' average first byte; 0 is not known
	Ejected, Total int           // targets that could do the same work
}

// mayEject keeps at least half of the targets: when most look bad the cause is
// shared, and ejecting them all would turn slowness into an outage.
func (f FleetView) mayEject() bool {
	return (f.Ejected+1)*2 <= f.Total
}

// Health follows one target. It finds gray failures that the target's own
// side does not see: a target that accepts and never answers or is far slower than its peers.
type Health struct {
	state     HealthState
	failures  int
	slow      int
	ejections int
	until     time.Time // of the ejection, or of the probe
	inProbe   bool
	average   time.Duration
}

// Average is the moving average of the time to the first byte; 0 before the first.
func (h *Health) Average() time.Duration { return h.average }

// State is the verdict at now.
func (h *Health) State(now time.Time) HealthState {
	if h.state == Well {
		return Well
	}
	if now.Before(h.until) {
		return Ejected
	}
	return Probing
}

// BeginProbe claims the one probe. It reports false when another request has it
// or the target is not waiting for one.
func (h *Health) BeginProbe(now time.Time) bool {
	if h.State(now) != Probing {
		return false
	}
	h.inProbe = true
	h.until = now.Add(probeTimeout)
	return true
}

// Report takes in an outcome. jitter in [0,1) spreads the return of targets
// that were ejected together.
func (h *Health) Report(now time.Time, o Outcome, f FleetView, jitter float64) {
	if o.FirstByte > 0 {
		h.learn(o.FirstByte)
	}
	if h.state != Well {
		h.afterEjection(now, o.Bad(f), jitter)
		return
	}
	h.count(o, f)
	if (h.failures >= failuresToEject || h.slow >= slowToEject) && f.mayEject() {
		h.eject(now, jitter)
	}
}

// afterEjection ignores late outcomes of requests from before the ejection:
// only the probe's own outcome decides.
func (h *Health) afterEjection(now time.Time, bad bool, jitter float64) {
	if !h.inProbe {
		return
	}
	h.inProbe = false
	if bad {
		h.eject(now, jitter)
		return
	}
	*h = Health{average: h.average}
}

func (h *Health) count(o Outcome, f FleetView) {
	if o.Failed {
		h.failures++
		return
	}
	h.failures = 0
	if isSlow(o.FirstByte, f.Median) {
		h.slow++
		return
	}
	h.slow = 0
}

func (h *Health) eject(now time.Time, jitter float64) {
	d := min(ejectMax, ejectBase<<min(h.ejections, 10))
	d = d*3/4 + time.Duration(jitter*float64(d)/2)
	h.state = Ejected
	h.until = now.Add(d)
	h.failures, h.slow = 0, 0
	h.ejections++
}

func (h *Health) learn(d time.Duration) {
	if h.average == 0 {
		h.average = d
		return
	}
	h.average += time.Duration(latencyWeight * float64(d-h.average))
}

func isSlow(d, median time.Duration) bool {
	return d > slowFloor && median > 0 && d > slowFactor*median
}
