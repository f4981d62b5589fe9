package quarantine

import (
	"encoding/binary"
	"time"
)

const (
	// scopeContents is under how many different contents of a scope targets must have crashed before the scope is quarantined. With one,
	// the quarantine of that content is enough.
	scopeContents = 2
	// A request of a quarantined scope is tried with pauses that double from the first to the last of these: its content need not be
	// to blame.
	firstScopeTry = 5 * time.Second
	lastScopeTry  = time.Minute
)

// Subject is what a request is known by.
type Subject struct {
	Content Fingerprint
	// Scopes are what it has in common with requests of other contents. The first Narrow of them are its resource and its job, the
	// last may be its route.
	Scopes []Fingerprint
	Narrow int
	// HasPassed says that a run of the content has lately passed.
	HasPassed bool
}

// digest is the part of the fingerprint by which the crashes of a scope name a content.
func (f Fingerprint) digest() uint64 { return binary.BigEndian.Uint64(f[:]) }

// hasPassed says whether a run of a content has lately passed, and no target has crashed under it since.
func (g *Registry) hasPassed(s Subject) bool {
	e, ok := g.entries[s.Content]
	if !ok {
		return s.HasPassed
	}
	return len(e.Crashes) == 0 && (s.HasPassed || !e.Cleared.IsZero())
}

// CheckScopes says whether a request must not be sent because of what it has in common with others. It notes that the scope was seen.
func (g *Registry) CheckScopes(now time.Time, s Subject) (isQuarantined bool) {
	return g.blockingScope(now, s) != nil
}

// AdmitScopes is CheckScopes for a request that is sent now, unless it must not be. It reports whether it is sent as a try.
func (g *Registry) AdmitScopes(now time.Time, s Subject) (isQuarantined, isTry bool) {
	if g.blockingScope(now, s) != nil {
		return true, false
	}
	if g.hasPassed(s) {
		return false, false
	}
	for _, f := range s.Scopes {
		if _, tried := g.Admit(now, f); tried {
			isTry = true
		}
	}
	return false, isTry
}

// blockingScope returns the scope because of which a request must not be sent now; nil if it may be.
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

// IsSuspect says that a target has crashed under a request of the same resource or job, and that none has passed since.
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

// ScopeCrashes is the most crashes that are known under one of the scopes.
func (g *Registry) ScopeCrashes(s Subject) int {
	most := 0
	for _, f := range s.Scopes {
		most = max(most, g.Crashes(f))
	}
	return most
}

// NoteScopeCrash notes that a target has crashed under a run of the content that had not passed.
func (g *Registry) NoteScopeCrash(now time.Time, s Subject, c Crash) {
	c.By = s.Content.digest()
	for _, f := range s.Scopes {
		e := g.entry(f)
		e.IsScope = true
		g.noteCrash(now, e, c)
	}
}

// NotePassed notes that a run of the content has passed; see PassTime. The first time it shows that not each content of the scope crashes
// targets. Later it says nothing of the others: one that is sent again and again would hide them.
// It reports whether that was news.
func (g *Registry) NotePassed(now time.Time, s Subject) (isNews bool) {
	if g.ScopeCrashes(s) == 0 || g.hasPassed(s) {
		return false
	}
	for _, f := range s.Scopes {
		if g.Crashes(f) > 0 {
			g.clear(now, g.entries[f])
		}
	}
	if g.Crashes(s.Content) == 0 {
		g.clear(now, g.entry(s.Content))
	}
	return true
}

// planScopeTry sets when this gateway may try a request of a scope. Whoever tries first tells the others.
func (g *Registry) planScopeTry(e *entry) {
	pause := firstScopeTry
	for range len(e.Crashes) - g.opts.Threshold {
		pause = min(lastScopeTry, 2*pause)
	}
	e.tryAt = e.Tried
	if len(e.Crashes) > 0 {
		e.tryAt = later(e.Tried, e.Crashes[0].At)
	}
	e.tryAt = e.tryAt.Add(pause + g.jitter())
}
