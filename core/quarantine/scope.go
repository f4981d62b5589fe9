package quarantine

import (
	"encoding/binary"
	"iter"
	"slices"
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

// ScopeKind is the kind of a scope.
type ScopeKind uint8

// Kinds of scopes. Records of software versions without kinds have SharedScope.
const (
	SharedScope  ScopeKind = iota // a resource or a route
	SimilarScope                  // contents with similar bodies
	CallerScope                   // requests from one address
	PartScope                     // requests with one part in their prompts
)

// breadth orders the kinds of scopes from the narrowest to the broadest.
func (k ScopeKind) breadth() int {
	switch k {
	case PartScope, SimilarScope:
		return 0
	case CallerScope:
		return 1
	}
	return 2
}

// Subject identifies a request by its content and its scopes.
type Subject struct {
	// Content is the fingerprint of the request's content.
	Content Fingerprint
	// Scopes are the fingerprints of the request's scopes: its resource, and its route if it has one.
	Scopes []Fingerprint
	// Similar are the fingerprints of the similarity scopes, Caller is that of the caller's address; empty and zero if
	// the request has none.
	Similar []Fingerprint
	Caller  Fingerprint
	// Parts are the fingerprints of the parts of the request's prompt, in their order. They are not among the scopes that
	// the first pass of a content clears: a part crashes targets whatever else a request has, so that each pass clears it.
	Parts []Fingerprint
	// HasPassed reports whether a run of the content has recently passed; see MinPassDuration.
	HasPassed bool
	// AnsweredAt is when the answer of a run that has passed began; zero if it began just now. It is used by NotePassed
	// only: the run shows nothing of a part that has begun to crash targets since.
	AnsweredAt time.Time
}

// scopes returns the fingerprints and kinds of all scopes of the request, the narrowest first.
func (s Subject) scopes() iter.Seq2[Fingerprint, ScopeKind] {
	return func(yield func(Fingerprint, ScopeKind) bool) {
		for _, f := range s.Similar {
			if !yield(f, SimilarScope) {
				return
			}
		}
		if s.Caller != (Fingerprint{}) && !yield(s.Caller, CallerScope) {
			return
		}
		for _, f := range s.Scopes {
			if !yield(f, SharedScope) {
				return
			}
		}
	}
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
	_, isQuarantined = reg.BlockingScope(now, s)
	return isQuarantined
}

// AdmitScopes is CheckScopes for a request that the caller sends immediately unless isQuarantined is true.
// isTrial reports whether the request is sent as a trial of one of its scopes.
func (reg *Registry) AdmitScopes(now time.Time, s Subject) (isQuarantined, isTrial bool) {
	if reg.CheckScopes(now, s) {
		return true, false
	}
	isTrial = reg.admitParts(now, s)
	if reg.hasPassed(s) {
		return false, isTrial
	}
	isSimilar := reg.isSimilar(now, s)
	for f, kind := range s.scopes() {
		if kind == SimilarScope && !isSimilar {
			continue
		}
		if e := reg.activeEntry(now, f); e != nil {
			reg.noteTrial(now, e)
			isTrial = true
		}
	}
	return false, isTrial
}

// Block describes the quarantine of a scope that forbids to send a request.
type Block struct {
	Scope   Fingerprint
	Kind    string    // KindPart, "similar", "caller", "resource" or "route"
	Crashes int       // in the record of the scope
	Until   time.Time // when this process may send the next request of the scope as a trial
	Part    int       // with the kind "part", its index in the prompt of the request
}

// BlockingScope returns the first scope, the narrowest kinds first, whose quarantine forbids to send the request now;
// isBlocked is false if there is none. It updates LastSeen of each quarantined scope that it checks.
func (reg *Registry) BlockingScope(now time.Time, s Subject) (b Block, isBlocked bool) {
	if b, isBlocked := reg.blockingPart(now, s); isBlocked {
		return b, true
	}
	if reg.hasPassed(s) {
		return Block{}, false
	}
	isSimilar := reg.isSimilar(now, s)
	for f, kind := range s.scopes() {
		if kind == SimilarScope && !isSimilar || !reg.Check(now, f) {
			continue
		}
		e := reg.entries[f]
		if reg.canAdmitSoundTrial(now, e, s) {
			continue
		}
		return Block{Scope: f, Kind: s.scopeName(f, kind), Crashes: len(e.Crashes), Until: e.trialAt}, true
	}
	return Block{}, false
}

// scopeName returns the name of the kind of one of the request's scopes for Block.Kind.
func (s Subject) scopeName(f Fingerprint, kind ScopeKind) string {
	switch {
	case kind == SimilarScope:
		return "similar"
	case kind == CallerScope:
		return "caller"
	case slices.Index(s.Scopes, f) > 0:
		return "route"
	}
	return "resource"
}

// isSimilar reports whether so many similarity scopes of the request are quarantined that its content counts as
// similar to contents that crash targets.
func (reg *Registry) isSimilar(now time.Time, s Subject) bool {
	n := 0
	for _, f := range s.Similar {
		if reg.activeEntry(now, f) != nil {
			n++
		}
	}
	return n >= minSimilarScopes
}

// unexplainedCrashes returns the crashes of a scope that no quarantined scope of a narrower kind explains, or those of a
// content that no blamed part of prompts explains: the content is blocked with the part, or was running beside it. A crash
// that is explained says nothing about the other contents of the broader scope: neither about others on the route of
// a caller that crashes targets, nor about those that a crashed target was running at the same time. A quarantined
// content explains nothing: in a scope whose contents all crash targets, each of them is quarantined in the end.
func (reg *Registry) unexplainedCrashes(e *entry) []Crash {
	if e.IsScope && e.Kind.breadth() == 0 {
		return e.Crashes // no kind is narrower
	}
	if e.unexplainedAt == reg.changes && e.unexplained != nil {
		return e.unexplained
	}
	explanations := make([]int, len(e.Crashes)) // for each crash; minSimilarScopes of them explain it
	for _, narrower := range reg.narrowQuarantined() {
		if e.IsScope && narrower.Kind.breadth() >= e.Kind.breadth() || !e.IsScope && narrower.Kind != PartScope {
			continue
		}
		weight := minSimilarScopes
		if narrower.Kind == SimilarScope {
			weight = 1
		}
		for i, c := range e.Crashes {
			if slices.ContainsFunc(narrower.Crashes, c.isSameCrash) {
				explanations[i] += weight
			}
		}
	}
	unexplained := make([]Crash, 0, len(e.Crashes))
	for i, c := range e.Crashes {
		if explanations[i] < minSimilarScopes {
			unexplained = append(unexplained, c)
		}
	}
	e.unexplained, e.unexplainedAt = unexplained, reg.changes
	return unexplained
}

// MaxScopeCrashes returns the highest number of crashes in the records of the request's scopes.
func (reg *Registry) MaxScopeCrashes(s Subject) int {
	highest := 0
	for f := range s.scopes() {
		highest = max(highest, reg.CrashCount(f))
	}
	for _, part := range s.Parts {
		highest = max(highest, reg.CrashCount(part))
	}
	return highest
}

// NoteScopeCrash adds a crash to the record of each scope of the request that the target was running. It
// is meant for runs that had not passed when the target crashed; see MinPassDuration.
func (reg *Registry) NoteScopeCrash(now time.Time, s Subject, c Crash) {
	c.ContentDigest = s.Content.prefix64()
	for f, kind := range s.scopes() {
		e := reg.getOrCreateEntry(f, kind)
		e.IsScope, e.Kind = true, kind
		reg.noteCrash(now, e, c)
	}
	reg.notePartCrash(now, s, c)
}

// NotePassed notes that a run of the request's content has passed; see MinPassDuration. The first run of a content
// that passes shows that not every content of its scopes crashes targets, and clears the scopes. Later runs
// that pass clear nothing: otherwise a content that is sent repeatedly would hide the crashes of other
// contents. It clears no similarity scopes of contents that the request hardly resembles; see minClearingScopes.
// isNew reports whether crashes were cleared.
func (reg *Registry) NotePassed(now time.Time, s Subject) (isNew bool) {
	isNew = reg.notePartsPassed(now, s)
	if reg.MaxScopeCrashes(s) == 0 || reg.hasPassed(s) {
		return isNew
	}
	canClearSimilar := reg.countCrashed(s.Similar) >= minClearingScopes
	for f, kind := range s.scopes() {
		if reg.CrashCount(f) > 0 && (kind != SimilarScope || canClearSimilar) {
			reg.clear(now, reg.entries[f])
		}
	}
	if reg.CrashCount(s.Content) == 0 {
		reg.clear(now, reg.getOrCreateEntry(s.Content, SharedScope))
	}
	return true
}

// narrowQuarantined returns the quarantined scopes of the kinds that may explain crashes of broader ones.
func (reg *Registry) narrowQuarantined() []*entry {
	if reg.narrowAt == reg.changes {
		return reg.narrow
	}
	reg.narrow, reg.narrowAt = nil, reg.changes
	// Whether a caller's scope is quarantined depends on the similarity scopes, which therefore come first.
	for _, g := range reg.blamedParts() {
		reg.narrow = append(reg.narrow, g.members[0])
	}
	for _, kind := range []ScopeKind{SimilarScope, CallerScope} {
		var list []*entry
		for _, e := range reg.entries {
			if e.IsScope && e.Kind == kind && reg.isQuarantined(e) {
				list = append(list, e)
			}
		}
		reg.narrow = append(reg.narrow, list...)
	}
	return reg.narrow
}

// countCrashed returns the number of scopes that have crashes.
func (reg *Registry) countCrashed(scopes []Fingerprint) int {
	n := 0
	for _, f := range scopes {
		if reg.CrashCount(f) > 0 {
			n++
		}
	}
	return n
}

// scopeTrialDelay is the delay before the next trial of a scope, after its last crash and its last trial. It begins with
// delay and doubles with each crash beyond Options.Threshold.
func (reg *Registry) scopeTrialDelay(e *entry, delay time.Duration) time.Duration {
	for range len(e.Crashes) - reg.opts.Threshold {
		delay = min(maxScopeTrialDelay, 2*delay)
	}
	return delay
}
