package fleet

import (
	"slices"
	"time"

	"arbutusramp/core/policy"
)

// state is a gateway's verdict on a target.
type state uint8

const (
	healthy state = iota
	// suspect targets get nothing for a while.
	suspect
	// probation targets were suspect; the next request shows whether they are well again.
	probation
)

// Times of the verdict.
const (
	// silenceLimit is how long a target that has work may send nothing at all before it is
	// suspect, while it is not known how its service answers; see IdleLimit.
	silenceLimit = 450 * time.Millisecond
	// suspectBase and suspectMax bound how long a suspect target gets nothing; the time
	// doubles with each failure in a row.
	suspectBase = 500 * time.Millisecond
	suspectMax  = 4 * time.Second
	// probationGap is the pause between two batch items that try a target on probation.
	probationGap = 450 * time.Millisecond
)

// health follows one target by the outcomes of requests alone: probes cost and can lie.
type health struct {
	failures int       // in a row
	until    time.Time // suspect until then
	began    time.Time // of the last request
	heard    time.Time // of the last byte
	// hearsay says that a peer's word alone has made it suspect.
	hearsay bool
}

func (h *health) state(now time.Time) state {
	switch {
	case h.failures == 0:
		return healthy
	case now.Before(h.until):
		return suspect
	default:
		return probation
	}
}

// admitsBatch lets one batch item at a time try a target on probation.
func (h *health) admitsBatch(now time.Time) bool {
	switch h.state(now) {
	case healthy:
		return true
	case probation:
		return now.Sub(h.began) > probationGap
	default:
		return false
	}
}

func (h *health) begin(now time.Time) { h.began = now }

// NoteActivity notes that a target has sent something: it is alive.
func (f *Fleet) NoteActivity(now time.Time, id string) {
	if n, ok := f.nodes[id]; ok {
		n.health.heard = now
		n.health.failures = 0
		n.health.hearsay = false
	}
}

// Failed notes that a target has refused a connection, broken one off or kept silent. It reports
// whether the target has become suspect by it. A failure within a suspicion adds nothing, since
// requests that were sent together fail together.
func (f *Fleet) Failed(now time.Time, id string) bool {
	n, ok := f.nodes[id]
	if !ok || n.health.state(now) == suspect {
		return false
	}
	h := &n.health
	h.failures++
	h.hearsay = false
	h.until = now.Add(min(suspectMax, suspectBase<<min(h.failures-1, 4)))
	return true
}

// IsInService says whether a target is on the list and not leaving.
func (f *Fleet) IsInService(id string) bool {
	n, ok := f.nodes[id]
	return ok && !n.Draining
}

// HeardSince says whether a target has sent something after a time.
func (f *Fleet) HeardSince(id string, t time.Time) bool {
	n, ok := f.nodes[id]
	return ok && n.health.heard.After(t)
}

// hearsayAfter is how long a target must have been silent here for a peer's word to make it suspect. A target that works
// sends something every 20 ms to each gateway that has a request there; one that is cut off from the peer alone is heard here.
const hearsayAfter = 150 * time.Millisecond

// warned takes in that a target has failed a peer, so that not every gateway has to find out by a request of its own.
func (f *Fleet) warned(now time.Time, id string) {
	n, ok := f.nodes[id]
	if !f.opts.Off.Allows(policy.PeerWord) || !ok {
		return
	}
	if n.health.state(now) != healthy || now.Sub(n.health.heard) < hearsayAfter {
		return
	}
	n.health.failures, n.health.hearsay = 1, true
	n.health.until = now.Add(suspectBase)
}

// suspects are the targets that have failed this gateway. What it only has by a peer's word it does not tell: words would go
// round for ever.
func (f *Fleet) suspects(now time.Time) []string {
	var ids []string
	for id, n := range f.nodes {
		if n.health.state(now) == suspect && !n.health.hearsay {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// queueWait is how long a request may wait in a target's queue for each full set of slots that is
// before it, while it is not known how long requests hold one.
const queueWait = time.Second

// queueSlack is how much longer requests may hold their slots than they do on average.
const queueSlack = 1.4

// QueueWait is how long a request at a target may have to wait for a slot before it gets its first
// byte, by the loads that are known.
func (f *Fleet) QueueWait(id string) time.Duration {
	n, ok := f.nodes[id]
	if !ok {
		return 0
	}
	each := queueWait
	if hold := f.holds[n.Service]; hold > 0 {
		each = time.Duration(queueSlack * float64(hold))
	}
	waiting := max(0, -n.room())
	return each * time.Duration(waiting) / time.Duration(n.Slots)
}

// IsIdleSince says whether a target has sent nothing to anybody here since a request was sent
// to it at that time, for longer than a working target ever keeps silent. In a large system a gateway
// has few requests at each target, so that a queue there looks like silence.
func (f *Fleet) IsIdleSince(now, sent time.Time, id string) bool {
	n, ok := f.nodes[id]
	if !ok {
		return false
	}
	last := sent
	if n.health.heard.After(last) {
		last = n.health.heard
	}
	if !f.opts.Off.Allows(policy.Silence) {
		return false
	}
	limit := f.IdleLimit(n.Service)
	if n.health.hearsay {
		limit /= 2 // two have noticed it
	}
	return now.Sub(last) > limit+f.QueueWait(id)
}
