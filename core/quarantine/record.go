package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxCrashes is how many crashes a record keeps, the newest ones, and the highest allowed Options.Threshold.
const MaxCrashes = 10

// maxClockSkew is how far the clock of another host may be ahead of this one. A received time that is further
// in the future is replaced by the current time.
const maxClockSkew = 10 * time.Second

// minRestartDelay is how long after the crash of a target a run must begin to show that the target has
// restarted under the same id, if Crash.StartDigest is unknown. It exceeds the usual difference between the
// clocks of hosts.
const minRestartDelay = 2500 * time.Millisecond

// Record holds the crashes of targets while running requests with one content or of one scope. Gateways
// exchange their records of it and merge them; the result is the same in any order.
type Record struct {
	// Content is the fingerprint of the content or scope.
	Content Fingerprint
	// IsScope reports whether Content identifies a scope; Kind is then the kind of the scope.
	IsScope bool
	Kind    ScopeKind
	// Crashes are the crashes since ClearedAt, each once, newest first; at most MaxCrashes.
	Crashes []Crash
	// ClearedAt is when a target last served a request with the content, or when a run in the scope last passed;
	// zero if neither has happened. Crashes before it do not count: a content that is served does not crash
	// every target.
	ClearedAt time.Time
	// LastSeen is when a target last crashed while running the content or a request of the scope, or when such a
	// request was last rejected.
	LastSeen time.Time
	// LastTrial is when a request was last sent as a trial although the content or scope was quarantined; zero if
	// none was.
	LastTrial time.Time
}

// Crash is the crash of a target while it ran a request with the content, or in the scope, of a Record.
type Crash struct {
	TargetDigest uint64    // digest of the target's id
	StartDigest  uint64    // digest of the id of the target's process, which changes with each restart; 0 if unknown
	BeganAt      time.Time // when the run during which the target crashed began
	BrokenAt     time.Time // when the target broke off the run
	// PrecedingCrashes is the number of crashes of the record that were known when the run began to the gateway that
	// sent the request. Unlike times, it can be compared between hosts whose clocks differ.
	PrecedingCrashes int
	// ContentDigest is the digest of the content that was run; 0 except in the record of a scope.
	ContentDigest uint64

	// notedAt is when this process first observed or received the crash, by its own clock.
	notedAt time.Time
}

// NewCrash returns the crash of the target with the id target during a run that began at beganAt and was
// broken off at brokenAt. start is the id of the target's process, which changes with each restart; it is
// empty if unknown.
func NewCrash(target, start string, beganAt, brokenAt time.Time) Crash {
	c := Crash{TargetDigest: xxhash.Sum64String(target), BeganAt: beganAt.Truncate(time.Millisecond), BrokenAt: brokenAt.Truncate(time.Millisecond)}
	if start != "" {
		c.StartDigest = xxhash.Sum64String(start)
	}
	return c
}

// clone returns a copy that shares no memory with r.
func (r Record) clone() Record {
	r.Crashes = slices.Clone(r.Crashes)
	return r
}

// clamped returns a copy of r in which each time that is more than maxClockSkew after now is replaced by now,
// and notedAt of each crash is set to now.
func (r Record) clamped(now time.Time) Record {
	latest := now.Add(maxClockSkew)
	clamp := func(t time.Time) time.Time {
		if t.After(latest) {
			return now
		}
		return t
	}
	r = r.clone()
	r.ClearedAt, r.LastSeen, r.LastTrial = clamp(r.ClearedAt), clamp(r.LastSeen), clamp(r.LastTrial)
	for i := range r.Crashes {
		r.Crashes[i].BrokenAt = clamp(r.Crashes[i].BrokenAt)
		r.Crashes[i].notedAt = now
	}
	return r
}

// merge merges other, a record of the same content or scope, into r. Crashes up to the later ClearedAt are
// removed, and then the oldest ones beyond MaxCrashes.
func (r *Record) merge(other Record) {
	r.ClearedAt, r.LastSeen, r.LastTrial = later(r.ClearedAt, other.ClearedAt), later(r.LastSeen, other.LastSeen), later(r.LastTrial, other.LastTrial)
	r.IsScope, r.Kind = r.IsScope || other.IsScope, max(r.Kind, other.Kind)
	for _, c := range other.Crashes {
		r.addCrash(c)
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return !c.BrokenAt.After(r.ClearedAt) })
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(b.BrokenAt.Compare(a.BrokenAt), cmp.Compare(a.TargetDigest, b.TargetDigest), cmp.Compare(a.StartDigest, b.StartDigest))
	})
	r.Crashes = r.Crashes[:min(len(r.Crashes), MaxCrashes)]
}

// addCrash adds a crash to r. If r already has it, as observed by another gateway, the lower value of each of
// BrokenAt, BeganAt, PrecedingCrashes and ContentDigest is kept, so that the order of merging does not matter.
func (r *Record) addCrash(c Crash) {
	for i := range r.Crashes {
		if existing := &r.Crashes[i]; existing.isSameCrash(c) {
			existing.BrokenAt, existing.BeganAt = earlier(existing.BrokenAt, c.BrokenAt), earlier(existing.BeganAt, c.BeganAt)
			existing.PrecedingCrashes, existing.ContentDigest = min(existing.PrecedingCrashes, c.PrecedingCrashes), min(existing.ContentDigest, c.ContentDigest)
			return
		}
	}
	r.Crashes = append(r.Crashes, c)
}

// isSameCrash reports whether c and other describe the same crash of a target. If StartDigest is 0 in either, a run
// that begins at least minRestartDelay after the crash of a target with the same id shows that the target has
// restarted.
func (c Crash) isSameCrash(other Crash) bool {
	if c.StartDigest != 0 && other.StartDigest != 0 {
		return c.StartDigest == other.StartDigest
	}
	return c.TargetDigest == other.TargetDigest && other.BeganAt.Sub(c.BrokenAt) < minRestartDelay && c.BeganAt.Sub(other.BrokenAt) < minRestartDelay
}

// countNotedBefore returns how many of the record's crashes this process had observed or received before t.
func (r Record) countNotedBefore(t time.Time) int {
	n := 0
	for _, c := range r.Crashes {
		if c.notedAt.Before(t) {
			n++
		}
	}
	return n
}

// countSequential returns how many of the record's crashes are sequential: each happened in a run that began
// after the previous crash, according to the clocks of the observing hosts or to PrecedingCrashes. Only
// sequential crashes show that the content or scope causes them: targets that are lost together, for another
// reason, all crash while running whatever content many callers send at that time.
func (r Record) countSequential() int { return countSequential(r.Crashes) }

// countSequential is Record.countSequential for a list of crashes of a record.
func countSequential(list []Crash) int {
	crashes := slices.SortedFunc(slices.Values(list), func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.PrecedingCrashes, b.PrecedingCrashes), a.BrokenAt.Compare(b.BrokenAt))
	})
	n := 0
	var lastCrashAt time.Time
	for _, c := range crashes {
		if n > 0 && c.PrecedingCrashes < n && !c.BeganAt.After(lastCrashAt) {
			continue
		}
		n++
		lastCrashAt = later(lastCrashAt, c.BrokenAt)
	}
	return n
}

// countContents returns how many different contents the crashed targets were running, for crashes in the record of
// a scope.
func countContents(list []Crash) int {
	digests := make(map[uint64]bool, len(list))
	for _, c := range list {
		digests[c.ContentDigest] = true
	}
	return len(digests)
}

// covers reports whether merging other into r would add nothing to r except a LastSeen that is later by at most
// maxLastSeenLag.
func (r Record) covers(other Record, maxLastSeenLag time.Duration) bool {
	if other.ClearedAt.After(r.ClearedAt) || other.LastTrial.After(r.LastTrial) || other.LastSeen.After(r.LastSeen.Add(maxLastSeenLag)) {
		return false
	}
	for _, c := range other.Crashes {
		if c.BrokenAt.After(r.ClearedAt) && len(r.Crashes) < MaxCrashes && !slices.ContainsFunc(r.Crashes, c.isSameCrash) {
			return false
		}
	}
	return true
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
