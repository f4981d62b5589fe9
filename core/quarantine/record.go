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
// restarted under the same id, if Crash.Start is unknown. It exceeds the usual difference between the clocks
// of hosts.
const minRestartDelay = 2500 * time.Millisecond

// Record holds the crashes of targets while running requests with one content or of one scope. Gateways
// exchange their records of it and merge them; the result is the same in any order.
type Record struct {
	// Content is the fingerprint of the content or scope.
	Content Fingerprint
	// IsScope reports whether Content identifies a scope: a resource, job or route that several contents
	// share.
	IsScope bool
	// Crashes are the crashes since Cleared, each once, newest first; at most MaxCrashes.
	Crashes []Crash
	// Cleared is when a target last served a request with the content, or when a run in the scope last passed;
	// zero if neither has happened. Crashes before it do not count: a content that is served does not crash
	// every target.
	Cleared time.Time
	// Seen is when a target last crashed while running the content or a request of the scope, or when such a
	// request was last rejected.
	Seen time.Time
	// Tried is when a request was last sent as a trial although the content or scope was quarantined; zero if
	// none was.
	Tried time.Time
}

// Crash is the crash of a target while it ran a request with the content, or in the scope, of a Record.
type Crash struct {
	Target uint64    // digest of the target's id
	Start  uint64    // digest of the id of the target's process, which changes with each restart; 0 if unknown
	Began  time.Time // when the run during which the target crashed began
	At     time.Time // when the target broke off the run
	// Preceding is the number of crashes of the record that were known when the run began to the gateway that
	// sent the request. Unlike times, it can be compared between hosts whose clocks differ.
	Preceding int
	// By is the digest of the content that was run; 0 except in the record of a scope.
	By uint64

	// notedAt is when this process first observed or received the crash, by its own clock.
	notedAt time.Time
}

// NewCrash returns the crash of the target with the id target during a run that began at beganAt and was
// broken off at brokenAt. start is the id of the target's process, which changes with each restart; it is
// empty if unknown.
func NewCrash(target, start string, beganAt, brokenAt time.Time) Crash {
	c := Crash{Target: xxhash.Sum64String(target), Began: beganAt.Truncate(time.Millisecond), At: brokenAt.Truncate(time.Millisecond)}
	if start != "" {
		c.Start = xxhash.Sum64String(start)
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
	r.Cleared, r.Seen, r.Tried = clamp(r.Cleared), clamp(r.Seen), clamp(r.Tried)
	for i := range r.Crashes {
		r.Crashes[i].At = clamp(r.Crashes[i].At)
		r.Crashes[i].notedAt = now
	}
	return r
}

// merge merges other, a record of the same content or scope, into r. Crashes up to the later Cleared are
// removed, and then the oldest ones beyond MaxCrashes.
func (r *Record) merge(other Record) {
	r.Cleared, r.Seen, r.Tried = later(r.Cleared, other.Cleared), later(r.Seen, other.Seen), later(r.Tried, other.Tried)
	r.IsScope = r.IsScope || other.IsScope
	for _, c := range other.Crashes {
		r.addCrash(c)
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return !c.At.After(r.Cleared) })
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Start, b.Start))
	})
	r.Crashes = r.Crashes[:min(len(r.Crashes), MaxCrashes)]
}

// addCrash adds a crash to r. If r already has it, as observed by another gateway, the lower value of each of
// At, Began, Preceding and By is kept, so that the order of merging does not matter.
func (r *Record) addCrash(c Crash) {
	for i := range r.Crashes {
		if existing := &r.Crashes[i]; existing.isSameCrash(c) {
			existing.At, existing.Began = earlier(existing.At, c.At), earlier(existing.Began, c.Began)
			existing.Preceding, existing.By = min(existing.Preceding, c.Preceding), min(existing.By, c.By)
			return
		}
	}
	r.Crashes = append(r.Crashes, c)
}

// isSameCrash reports whether c and other describe the same crash of a target. If Start is unknown in either,
// a run that begins at least minRestartDelay after the crash of a target with the same id shows that the
// target has restarted.
func (c Crash) isSameCrash(other Crash) bool {
	if c.Start != 0 && other.Start != 0 {
		return c.Start == other.Start
	}
	return c.Target == other.Target && other.Began.Sub(c.At) < minRestartDelay && c.Began.Sub(other.At) < minRestartDelay
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
// after the previous crash, according to the clocks of the observing hosts or to Preceding. Only sequential
// crashes show that the content or scope causes them: targets that are lost together, for another reason, all
// crash while running whatever content many callers send at that time.
func (r Record) countSequential() int {
	crashes := slices.SortedFunc(slices.Values(r.Crashes), func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Preceding, b.Preceding), a.At.Compare(b.At))
	})
	n := 0
	var lastCrashAt time.Time
	for _, c := range crashes {
		if n > 0 && c.Preceding < n && !c.Began.After(lastCrashAt) {
			continue
		}
		n++
		lastCrashAt = later(lastCrashAt, c.At)
	}
	return n
}

// countContents returns how many different contents the crashed targets were running, for the record of a
// scope.
func (r Record) countContents() int {
	digests := make(map[uint64]bool, len(r.Crashes))
	for _, c := range r.Crashes {
		digests[c.By] = true
	}
	return len(digests)
}

// covers reports whether merging other into r would add nothing to r except a Seen that is later by at most
// maxLastSeenLag.
func (r Record) covers(other Record, maxLastSeenLag time.Duration) bool {
	if other.Cleared.After(r.Cleared) || other.Tried.After(r.Tried) || other.Seen.After(r.Seen.Add(maxLastSeenLag)) {
		return false
	}
	for _, c := range other.Crashes {
		if c.At.After(r.Cleared) && len(r.Crashes) < MaxCrashes && !slices.ContainsFunc(r.Crashes, c.isSameCrash) {
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
