package fleet

import (
	"slices"
	"time"

	"arbutusramp/core/policy"
)

// healthState is a gateway's assessment of a target.
type healthState uint8

const (
	healthy healthState = iota
	// suspect targets get no requests for a while.
	suspect
	// probation targets were suspect; the outcome of the next request decides whether they are healthy again.
	probation
)

// Time limits of the assessment.
const (
	// defaultSilenceLimit is how long a target with requests may send nothing before it becomes suspect,
	// until the event times of its service are known; see IdleLimit.
	defaultSilenceLimit = 450 * time.Millisecond
	// minSuspectTime and maxSuspectTime bound how long a suspect target gets no requests. The time doubles
	// with each consecutive failure.
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// probationInterval is the pause between two batch items that are sent to a target on probation.
	probationInterval = 450 * time.Millisecond
)

// health tracks one target by the outcomes of its requests only. Probes are not used: they add load, and
// their result can be wrong.
type health struct {
	failures     int       // consecutive
	suspectUntil time.Time // suspect until then
	lastStart    time.Time // of the last request
	lastReceived time.Time // of the last byte
	// isPeerReported is set when only a peer's report has made the target suspect.
	isPeerReported bool
}

func (h *health) state(now time.Time) healthState {
	switch {
	case h.failures == 0:
		return healthy
	case now.Before(h.suspectUntil):
		return suspect
	default:
		return probation
	}
}

// canTakeBatch admits one batch item at a time to a target on probation.
func (h *health) canTakeBatch(now time.Time) bool {
	switch h.state(now) {
	case healthy:
		return true
	case probation:
		return now.Sub(h.lastStart) > probationInterval
	default:
		return false
	}
}

func (h *health) noteStart(now time.Time) { h.lastStart = now }

// NoteActivity records that a target has sent something, which ends a suspicion.
func (f *Fleet) NoteActivity(now time.Time, id string) {
	if ts, ok := f.targets[id]; ok {
		ts.health.lastReceived = now
		ts.health.failures = 0
		ts.health.isPeerReported = false
	}
}

// Failed records that a target has refused or closed a connection, or has been silent for too long. It
// reports whether that makes the target suspect. Failures of a target that is already suspect do not count,
// because requests that were sent together fail together.
func (f *Fleet) Failed(now time.Time, id string) bool {
	ts, ok := f.targets[id]
	if !ok || ts.health.state(now) == suspect {
		return false
	}
	h := &ts.health
	h.failures++
	h.isPeerReported = false
	h.suspectUntil = now.Add(min(maxSuspectTime, minSuspectTime<<min(h.failures-1, 4)))
	return true
}

// IsInService reports whether a target is listed and not draining.
func (f *Fleet) IsInService(id string) bool {
	ts, ok := f.targets[id]
	return ok && !ts.Draining
}

// HeardSince reports whether a target has sent something after a time.
func (f *Fleet) HeardSince(id string, t time.Time) bool {
	ts, ok := f.targets[id]
	return ok && ts.health.lastReceived.After(t)
}

// minSilenceForPeerReport is how long a target must have been silent at this gateway for a peer's report to
// make it suspect. A working target sends something every 20 ms to each gateway that has a request there, so
// one that only the peer cannot reach is still active here.
const minSilenceForPeerReport = 150 * time.Millisecond

// applyPeerSuspicion records that a target has failed a peer, so that not every gateway needs a failed
// request of its own to detect it.
func (f *Fleet) applyPeerSuspicion(now time.Time, id string) {
	ts, ok := f.targets[id]
	if !f.opts.Off.Allows(policy.PeerWord) || !ok {
		return
	}
	if ts.health.state(now) != healthy || now.Sub(ts.health.lastReceived) < minSilenceForPeerReport {
		return
	}
	ts.health.failures, ts.health.isPeerReported = 1, true
	ts.health.suspectUntil = now.Add(minSuspectTime)
}

// ownSuspects returns the targets that have failed this gateway. Suspicions reported by peers are left out:
// gateways would forward them to each other for ever.
func (f *Fleet) ownSuspects(now time.Time) []string {
	var ids []string
	for id, ts := range f.targets {
		if ts.health.state(now) == suspect && !ts.health.isPeerReported {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// defaultHoldTime is how long a request may wait in a target's queue for each full set of slots ahead of it,
// until it is known how long requests hold a slot.
const defaultHoldTime = time.Second

// holdTimeMargin is the factor by which requests may hold their slots longer than on average.
const holdTimeMargin = 1.4

// QueueWait is how long a request at a target may have to wait for a slot before it gets its first byte, by
// the known loads.
func (f *Fleet) QueueWait(id string) time.Duration {
	ts, ok := f.targets[id]
	if !ok {
		return 0
	}
	roundTime := defaultHoldTime
	if hold := f.holdTimes[ts.Service]; hold > 0 {
		roundTime = time.Duration(holdTimeMargin * float64(hold))
	}
	waiting := max(0, -ts.freeSlots())
	return roundTime * time.Duration(waiting) / time.Duration(ts.Slots)
}

// IsIdleSince reports whether a target has sent nothing to any request of this gateway since a request was
// sent to it at that time, for longer than a working target ever stays silent. In a large system a gateway
// has few requests at each target, so waiting in a queue there looks like silence; QueueWait is added for
// that.
func (f *Fleet) IsIdleSince(now, sent time.Time, id string) bool {
	ts, ok := f.targets[id]
	if !ok {
		return false
	}
	lastActivity := sent
	if ts.health.lastReceived.After(lastActivity) {
		lastActivity = ts.health.lastReceived
	}
	if !f.opts.Off.Allows(policy.Silence) {
		return false
	}
	limit := f.IdleLimit(ts.Service)
	if ts.health.isPeerReported {
		limit /= 2 // two gateways have observed it
	}
	return now.Sub(lastActivity) > limit+f.QueueWait(id)
}
