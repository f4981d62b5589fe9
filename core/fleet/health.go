package fleet

import (
	"slices"
	"time"

	"arbutusramp/core/policy"
)

// healthState says whether a gateway sends requests to a target.
type healthState uint8

const (
	healthy healthState = iota
	// suspect targets get no requests until suspectUntil, unless an online request has no other target.
	suspect
	// probation targets were suspect; the outcome of the next request decides whether they are healthy again.
	probation
)

// Time limits by which the health of targets is judged.
const (
	// defaultSilenceLimit is how long a target with requests may send nothing before it counts as silent,
	// while the event times of its service are unknown or the adaptive limit is disabled; see SilenceLimit.
	defaultSilenceLimit = 450 * time.Millisecond
	// minSuspectTime and maxSuspectTime bound how long a target is suspect after a failure. The time doubles
	// with each consecutive failure.
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// probationInterval is the shortest time between two trials of a target on probation, by batch items or online requests.
	probationInterval = 450 * time.Millisecond
	// minRenewalAge is how long after a failure a target must have renewed its entry to count as running. A renewal arrives
	// some hundred milliseconds after it was written.
	minRenewalAge = time.Second
	// maxProbation is the time on probation from which on online requests try a target whatever its entry shows.
	maxProbation = 4 * time.Second
)

// health tracks the health of one target by the outcomes of its requests. Targets are not probed: probes add
// load, and their result can be wrong.
type health struct {
	failures     int       // consecutive failures, or 1 for a peer's report; 0 after the target has sent something
	suspectUntil time.Time // the target is suspect until then
	lastStart    time.Time // when the last request was about to be sent to the target
	lastReceived time.Time // when the target last sent something
	lastFailed   time.Time // when a failure last made the target suspect
	lastRenewed  time.Time // when the target last renewed its entry in the list of targets
	// isPeerReported is set while only a peer's report has made the target suspect.
	isPeerReported bool
}

// state returns the health state of the target at a time.
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

// canTakeBatch reports whether the target may get a batch item: a suspect one gets none, and one on probation
// at most one every probationInterval.
func (h *health) canTakeBatch(now time.Time) bool {
	return h.state(now) == healthy || h.isTrialDue(now)
}

// isTrialDue reports whether the target is on probation and may get a request that shows whether it is healthy.
func (h *health) isTrialDue(now time.Time) bool {
	return h.state(now) == probation && now.Sub(h.lastStart) > probationInterval
}

// isOnlineTrialDue reports whether a caller's request may show whether a target on probation is healthy. It costs the caller the
// silence limit if it is not. So the target must have renewed its entry well after its failure, which those that are down do
// not, or have been on probation for long.
func (h *health) isOnlineTrialDue(now time.Time) bool {
	hasReturned := h.lastRenewed.Sub(h.lastFailed) >= minRenewalAge || now.Sub(h.suspectUntil) >= maxProbation
	return hasReturned && h.isTrialDue(now)
}

// RecordRenewal records that a target has renewed its entry in the list of targets.
func (f *Fleet) RecordRenewal(now time.Time, id string) {
	if ts, ok := f.targets[id]; ok {
		ts.health.lastRenewed = now
	}
}

// recordStart records that a request is about to be sent to the target.
func (h *health) recordStart(now time.Time) { h.lastStart = now }

// RecordActivity records that a target has sent something to this gateway, which makes it healthy.
func (f *Fleet) RecordActivity(now time.Time, id string) {
	if ts, ok := f.targets[id]; ok {
		ts.health.lastReceived = now
		ts.health.failures = 0
		ts.health.isPeerReported = false
	}
}

// RecordFailure records that a target has failed a request of this gateway, for instance by a refused or
// closed connection or by silence. It reports whether that makes the target suspect. Failures of a target that is
// already suspect do not count, because requests that were sent together fail together.
func (f *Fleet) RecordFailure(now time.Time, id string) bool {
	ts, ok := f.targets[id]
	if !ok || ts.health.state(now) == suspect {
		return false
	}
	h := &ts.health
	if h.failures == 0 {
		f.noteFailed(now, ts.Service)
	}
	h.failures++
	h.lastFailed = now
	h.isPeerReported = false
	h.suspectUntil = now.Add(min(maxSuspectTime, minSuspectTime<<min(h.failures-1, 4)))
	return true
}

// IsInService reports whether a target is listed and not draining.
func (f *Fleet) IsInService(id string) bool {
	ts, ok := f.targets[id]
	return ok && !ts.IsDraining
}

// HasActivitySince reports whether a target has sent something to this gateway after t.
func (f *Fleet) HasActivitySince(id string, t time.Time) bool {
	ts, ok := f.targets[id]
	return ok && ts.health.lastReceived.After(t)
}

// minSilenceForPeerReport is how long a target must have sent nothing to this gateway for a peer's report to
// make it suspect. A working target sends something every 20 ms to each gateway that has a request there, so
// a target that only the peer cannot reach still sends to this gateway.
const minSilenceForPeerReport = 150 * time.Millisecond

// applyPeerSuspicion makes a healthy target suspect that is suspect at a peer, so that not every gateway
// needs a failed request of its own to detect the failure.
func (f *Fleet) applyPeerSuspicion(now time.Time, id string) {
	ts, ok := f.targets[id]
	if !f.opts.Disabled.IsEnabled(policy.PeerSuspicion) || !ok {
		return
	}
	if ts.health.state(now) != healthy || now.Sub(ts.health.lastReceived) < minSilenceForPeerReport {
		return
	}
	f.noteFailed(now, ts.Service)
	ts.health.failures, ts.health.isPeerReported = 1, true
	ts.health.lastFailed = now
	ts.health.suspectUntil = now.Add(minSuspectTime)
}

// ownSuspects returns the sorted ids of the suspect targets that have failed requests of this gateway.
// Suspicions reported by peers are left out: otherwise gateways would report them back and forth for ever.
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

// defaultHoldTime is how long requests are assumed to hold a slot until the mean hold time of their service
// is known.
const defaultHoldTime = time.Second

// holdTimeMargin is the factor by which requests may hold their slots longer than the mean.
const holdTimeMargin = 1.4

// QueueWait is how long a request may have to wait in a target's queue, by the loads of all gateways there:
// the hold time, with its margin, for each full set of slots that is queued. It is 0 for an unlisted target.
func (f *Fleet) QueueWait(now time.Time, id string) time.Duration {
	ts, ok := f.targets[id]
	if !ok {
		return 0
	}
	slotTime := defaultHoldTime
	if holdTime := f.queueHoldTime(now, ts); holdTime > 0 {
		slotTime = time.Duration(holdTimeMargin * float64(holdTime))
	}
	queued := max(0, -ts.freeSlots())
	return slotTime * time.Duration(queued) / time.Duration(ts.Slots)
}

// IsSilentSince reports whether a target has been silent for longer than a working target ever is: it has sent
// nothing to this gateway within limit, reading and QueueWait, counted from its last activity or from sent, when a request
// was sent to it, whichever is later. limit is the SilenceLimit of that request, reading the time in which the target reads
// long prompts. QueueWait is added because with many gateways each has few requests at a target, and one that waits in
// the queue there receives nothing. It is false while silence detection is disabled.
func (f *Fleet) IsSilentSince(now, sent time.Time, id string, limit, reading time.Duration) bool {
	ts, ok := f.targets[id]
	if !ok {
		return false
	}
	lastActivity := sent
	if ts.health.lastReceived.After(lastActivity) {
		lastActivity = ts.health.lastReceived
	}
	if !f.opts.Disabled.IsEnabled(policy.SilenceDetection) {
		return false
	}
	if ts.health.isPeerReported {
		limit /= 2 // two gateways have observed the failure
	}
	return now.Sub(lastActivity) > limit+reading+f.QueueWait(now, id)
}
