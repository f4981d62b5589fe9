package quarantine

import (
	"encoding/binary"
	"time"
)

const (
	// minScopeContents is the number of different contents of a scope whose runs must have crashed targets
	// before the scope is quarantined. For a single content, the quarantine of that content is enough.
	minScopeContents = 2
	// The delay between trials of a quarantined scope doubles from minScopeTrialDelay to maxScopeTrialDelay:
	// the content of a request need not cause crashes.
	minScopeTrialDelay = 5 * time.Second
	maxScopeTrialDelay = time.Minute
)

// Subject identifies a request by its content and its scopes.
type Subject struct {
	Content Fingerprint
	// Scopes are the fingerprints that the request shares with requests of other contents. The first Narrow
	// of them are its resource and its job; the last may be its route.
	Scopes []Fingerprint
	Narrow int
	// HasPassed reports whether a run of the content has recently passed; see PassTime.
	HasPassed bool
}

// prefix64 returns the first 64 bits of the fingerprint, which identify the content in the crashes of a
// scope.
func (f Fingerprint) prefix64() uint64 { return binary.BigEndian.Uint64(f[:]) }

// hasPassed reports whether a run of the content has recently passed and no target has crashed while running
// it since.
func (g *Registry) hasPassed(s Subject) bool {
	e, ok := g.entries[s.Content]
	if !ok {
		return s.HasPassed
	}
	return len(e.Crashes) == 0 && (s.HasPassed || !e.Cleared.IsZero())
}

// CheckScopes reports whether a request must not be sent because one of its scopes is quarantined. It updates
// Seen of that scope.
func (g *Registry) CheckScopes(now time.Time, s Subject) (isQuarantined bool) {
	return g.blockingScope(now, s) != nil
}

// AdmitScopes is CheckScopes for a request that is sent immediately if it is allowed. isTrial reports whether
// it is sent as a trial.
func (g *Registry) AdmitScopes(now time.Time, s Subject) (isQuarantined, isTrial bool) {
	if g.blockingScope(now, s) != nil {
		return true, false
	}
	if g.hasPassed(s) {
		return false, false
	}
	for _, f := range s.Scopes {
		if _, isScopeTrial := g.Admit(now, f); isScopeTrial {
			isTrial = true
		}
	}
	return false, isTrial
}

// blockingScope returns the scope that prevents a request from being sent now; nil if there is none.
func (g *Registry) blockingScope(now time.Time, s Subject) *entry {
	if g.hasPassed(s) {
		return nil
	}
	for _, f := range s.Scopes {
		if g.Check(now, f) {
			return g.entries[f]
		}
	}
	return nil
}

// IsSuspect reports whether a target has crashed while running a request of the same resource or job, and no
// run has passed since.
func (g *Registry) IsSuspect(s Subject) bool {
	if g.hasPassed(s) {
		return false
	}
	for _, f := range s.Scopes[:s.Narrow] {
		if g.Crashes(f) > 0 {
			return true
		}
	}
	return false
}

// ScopeCrashes returns the highest number of crashes of any of the scopes.
func (g *Registry) ScopeCrashes(s Subject) int {
	most := 0
	for _, f := range s.Scopes {
		most = max(most, g.Crashes(f))
	}
	return most
}

// NoteScopeCrash adds the crash of a target during a run of the content that had not passed.
func (g *Registry) NoteScopeCrash(now time.Time, s Subject, c Crash) {
	c.By = s.Content.prefix64()
	for _, f := range s.Scopes {
		e := g.getOrCreateEntry(f)
		e.IsScope = true
		g.noteCrash(now, e, c)
	}
}

// NotePassed notes that a run of the content has passed; see PassTime. The first pass of a content shows that
// not every content of the scope crashes targets, and clears the scopes. Later passes clear nothing: a
// content that is sent repeatedly would hide the crashes of others. It reports whether crashes were cleared.
func (g *Registry) NotePassed(now time.Time, s Subject) (isNew bool) {
	if g.ScopeCrashes(s) == 0 || g.hasPassed(s) {
		return false
	}
	for _, f := range s.Scopes {
		if g.Crashes(f) > 0 {
			g.clear(now, g.entries[f])
		}
	}
	if g.Crashes(s.Content) == 0 {
		g.clear(now, g.getOrCreateEntry(s.Content))
	}
	return true
}

// scheduleScopeTrial sets when this gateway may send a trial of a scope. The gateway that sends one first
// announces it to the others.
func (g *Registry) scheduleScopeTrial(e *entry) {
	delay := minScopeTrialDelay
	for range len(e.Crashes) - g.opts.Threshold {
		delay = min(maxScopeTrialDelay, 2*delay)
	}
	e.trialAt = e.Tried
	if len(e.Crashes) > 0 {
		e.trialAt = later(e.Tried, e.Crashes[0].At)
	}
	e.trialAt = e.trialAt.Add(delay + g.trialJitter())
}
