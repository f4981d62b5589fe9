package quarantine

import (
	"encoding/binary"
	"time"
)

const (
	// minScopeContents is the number of different contents that crashed targets must have been running before
	// their scope is quarantined. For a single content, the quarantine of that content is enough.
	minScopeContents = 2
	// The delay before the next trial of a quarantined scope starts at minScopeTrialDelay and doubles with
	// each further crash, up to maxScopeTrialDelay. Trials never stop, because not every content of a scope
	// need cause crashes.
	minScopeTrialDelay = 5 * time.Second
	maxScopeTrialDelay = time.Minute
)

// Subject identifies a request by its content and its scopes.
type Subject struct {
	// Content is the fingerprint of the request's content.
	Content Fingerprint
	// Scopes are the fingerprints of the request's scopes: its resource, its batch job if it has one, and its
	// route if it has one.
	Scopes []Fingerprint
	// NarrowScopes is the number of scopes without the route, the first ones in Scopes.
	NarrowScopes int
	// HasPassed reports whether a run of the content has recently passed; see MinPassDuration.
	HasPassed bool
}

// prefix64 returns the first 64 bits of a content's fingerprint, which serve as Crash.ContentDigest in the record
// of a scope.
func (f Fingerprint) prefix64() uint64 { return binary.BigEndian.Uint64(f[:]) }

// hasPassed reports whether a run of the request's content has recently passed and no target has crashed while
// running that content since.
func (reg *Registry) hasPassed(s Subject) bool {
	e, ok := reg.entries[s.Content]
	if !ok {
		return s.HasPassed
	}
	return len(e.Crashes) == 0 && (s.HasPassed || !e.ClearedAt.IsZero())
}

// CheckScopes reports whether a request must not be sent now because one of its scopes is quarantined. A
// request whose content has passed is not affected. It updates LastSeen of each quarantined scope that it checks.
func (reg *Registry) CheckScopes(now time.Time, s Subject) (isQuarantined bool) {
	return reg.blockingScope(now, s) != nil
}

// AdmitScopes is CheckScopes for a request that the caller sends immediately unless isQuarantined is true.
// isTrial reports whether the request is sent as a trial of one of its scopes.
func (reg *Registry) AdmitScopes(now time.Time, s Subject) (isQuarantined, isTrial bool) {
	if reg.blockingScope(now, s) != nil {
		return true, false
	}
	if reg.hasPassed(s) {
		return false, false
	}
	for _, f := range s.Scopes {
		if _, isScopeTrial := reg.Admit(now, f); isScopeTrial {
			isTrial = true
		}
	}
	return false, isTrial
}

// blockingScope returns the entry of the first scope whose quarantine forbids to send the request now; nil if
// there is none.
func (reg *Registry) blockingScope(now time.Time, s Subject) *entry {
	if reg.hasPassed(s) {
		return nil
	}
	for _, f := range s.Scopes {
		if reg.Check(now, f) {
			return reg.entries[f]
		}
	}
	return nil
}

// IsSuspect reports whether a target has crashed while running a request of the same resource or batch job,
// and neither the resource or job has been cleared since nor a run of the request's content has passed.
func (reg *Registry) IsSuspect(s Subject) bool {
	if reg.hasPassed(s) {
		return false
	}
	for _, f := range s.Scopes[:s.NarrowScopes] {
		if reg.CrashCount(f) > 0 {
			return true
		}
	}
	return false
}

// MaxScopeCrashes returns the highest number of crashes in the records of the request's scopes.
func (reg *Registry) MaxScopeCrashes(s Subject) int {
	highest := 0
	for _, f := range s.Scopes {
		highest = max(highest, reg.CrashCount(f))
	}
	return highest
}

// NoteScopeCrash adds a crash to the record of each scope of the request that the target was running. It
// is meant for runs that had not passed when the target crashed; see MinPassDuration.
func (reg *Registry) NoteScopeCrash(now time.Time, s Subject, c Crash) {
	c.ContentDigest = s.Content.prefix64()
	for _, f := range s.Scopes {
		e := reg.getOrCreateEntry(f)
		e.IsScope = true
		reg.noteCrash(now, e, c)
	}
}

// NotePassed notes that a run of the request's content has passed; see MinPassDuration. The first run of a content
// that passes shows that not every content of its scopes crashes targets, and clears the scopes. Later runs
// that pass clear nothing: otherwise a content that is sent repeatedly would hide the crashes of other
// contents. isNew reports whether crashes were cleared.
func (reg *Registry) NotePassed(now time.Time, s Subject) (isNew bool) {
	if reg.MaxScopeCrashes(s) == 0 || reg.hasPassed(s) {
		return false
	}
	for _, f := range s.Scopes {
		if reg.CrashCount(f) > 0 {
			reg.clear(now, reg.entries[f])
		}
	}
	if reg.CrashCount(s.Content) == 0 {
		reg.clear(now, reg.getOrCreateEntry(s.Content))
	}
	return true
}

// scheduleScopeTrial sets trialAt of a scope to a time after its last crash and its last trial. The delay
// doubles with each crash beyond Options.Threshold.
func (reg *Registry) scheduleScopeTrial(e *entry) {
	delay := minScopeTrialDelay
	for range len(e.Crashes) - reg.opts.Threshold {
		delay = min(maxScopeTrialDelay, 2*delay)
	}
	e.trialAt = e.LastTrial
	if len(e.Crashes) > 0 {
		e.trialAt = later(e.LastTrial, e.Crashes[0].BrokenAt)
	}
	e.trialAt = e.trialAt.Add(delay + reg.trialJitter())
}
