package entry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusramp/core/choose"
	"arbutusramp/core/structs"
)

// target is what the entry knows of one target. It outlives sessions, so that a
// target which keeps losing them stays ejected.
type target struct {
	id      structs.TargetID
	service structs.ServiceID
	domain  structs.FailureDomain
	leaving atomic.Bool // by the host list, or no longer in this entry's subset
	ejected atomic.Bool

	mu       sync.Mutex
	session  *sideSession // nil while there is none
	lost     time.Time    // when the last session ended
	load     structs.Load
	models   []structs.ModelID
	sent     int    // requests sent since load was reported
	reports  uint64 // counts reports
	health   choose.Health
	prefixes choose.PrefixSet
}

// learn takes in a report and says whether the models have changed.
func (t *target) learn(l *structs.Load) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load = *l
	t.sent = 0
	t.reports++
	t.prefixes.Add(l.Prefixes)
	if l.Models == nil || slices.Equal(t.models, l.Models) {
		return false
	}
	t.models = slices.Clone(l.Models)
	return true
}

// look fills c with what is known at now. It reports false without a session.
func (t *target) look(c *choose.Candidate, now time.Time, prefixes []uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.session == nil {
		return false
	}
	c.Target, c.Service, c.Domain = t.id, t.service, t.domain
	c.Models = t.models
	c.InFlight, c.Queued = t.load.OnlineInFlight, t.load.OnlineQueued
	c.SentSince, c.Limit = t.sent, t.load.Limit
	c.FirstToken = time.Duration(t.load.FirstTokenUs) * time.Microsecond
	c.Leaving = t.load.Draining || t.leaving.Load()
	c.Unhealthy = t.load.Unhealthy
	c.Health = t.health.State(now)
	c.Matched = 0
	if len(prefixes) > 0 {
		c.Matched = t.prefixes.Match(prefixes)
	}
	return true
}

// claimed is a target's session with what release needs.
type claimed struct {
	session *sideSession // nil: not claimed
	reports uint64
}

// claim counts a request that is about to be sent and returns the session for it. It
// gives none when the target has left or lost its session since it was chosen, or
// another request has the one probe.
func (t *target) claim(now time.Time, prefixes []uint64) claimed {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.session == nil || t.load.Draining || t.leaving.Load() {
		return claimed{}
	}
	if t.health.State(now) != choose.Well && !t.health.BeginProbe(now) {
		return claimed{}
	}
	t.sent++
	t.prefixes.Add(prefixes)
	return claimed{session: t.session, reports: t.reports}
}

// claimHome counts a request for a home target. Ejection and draining don't matter: the side
// decides, since it alone can answer for the key.
func (t *target) claimHome() claimed {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.session == nil {
		return claimed{}
	}
	t.sent++
	return claimed{session: t.session, reports: t.reports}
}

// release takes back what claim counted, unless a report has come since.
func (t *target) release(reports uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == reports && t.sent > 0 {
		t.sent--
	}
}

func (t *target) average() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health.Average()
}
