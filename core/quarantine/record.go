package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxCrashes is how many crashes a record keeps (the newest ones) and the highest allowed threshold.
const MaxCrashes = 10

// maxClockSkew is how far the clock of another host may be ahead. A time further in the future is replaced by
// the current time.
const maxClockSkew = 10 * time.Second

// minRestartDelay is how long after the crash of a target a run must begin to show that the target has
// restarted under the same id, where starts are not identified. It exceeds the usual difference between the
// clocks of hosts.
const minRestartDelay = 2500 * time.Millisecond

// Record holds the crashes and the state of one content or scope. Records of different gateways can be
// merged in any order.
type Record struct {
	Content Fingerprint
	// IsScope reports whether Content identifies a scope: a resource, job or route that several contents
	// share.
	IsScope bool
	// Crashes are the crashes of targets while running the content since Cleared, each listed once, newest
	// first.
	Crashes []Crash
	// Cleared is when a target last served the content; zero if none has. Crashes before it do not count: a
	// content that is served does not crash every target.
	Cleared time.Time
	// Seen is when a target last crashed while running the content, or a request with it was last rejected.
	Seen time.Time
	// Tried is when a request with the content was last sent as a trial although it is quarantined; zero if
	// none was.
	Tried time.Time
}

// Crash is the crash of a target while it ran a request with the content.
type Crash struct {
	Target uint64    // digest of the target's id
	Start  uint64    // digest of the id of the target's process start; 0 if unknown
	Began  time.Time // when the run during which the target crashed began
	At     time.Time // when the target broke off the run
	// Preceding is the number of crashes for the content that the gateway that sent the request had received
	// when the run began. Unlike times, it can be compared between hosts whose clocks differ.
	Preceding int
	// By is the digest of the content that was run; 0 except in the record of a scope.
	By uint64

	// learnedAt is when this process first received the crash, by its own clock.
	learnedAt time.Time
}

// NewCrash returns the crash of a target during a run that began and was broken off at the given times. start
// identifies the process start of the target; it is empty if unknown.
func NewCrash(target, start string, began, broken time.Time) Crash {
	c := Crash{Target: xxhash.Sum64String(target), Began: began.Truncate(time.Millisecond), At: broken.Truncate(time.Millisecond)}
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
// and learnedAt of each crash is set to now.
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
		r.Crashes[i].learnedAt = now
	}
	return r
}

// merge merges o, a record of the same content, into r.
func (r *Record) merge(o Record) {
	r.Cleared, r.Seen, r.Tried = later(r.Cleared, o.Cleared), later(r.Seen, o.Seen), later(r.Tried, o.Tried)
	r.IsScope = r.IsScope || o.IsScope
	for _, e := range o.Crashes {
		r.addCrash(e)
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, func(e Crash) bool { return !e.At.After(r.Cleared) })
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Start, b.Start))
	})
	r.Crashes = r.Crashes[:min(len(r.Crashes), MaxCrashes)]
}

// addCrash adds a crash. Several gateways may have observed the same crash: of each of its fields the lowest
// value is kept, so that the order of merging does not matter.
func (r *Record) addCrash(e Crash) {
	for i := range r.Crashes {
		if existing := &r.Crashes[i]; existing.isSameCrash(e) {
			existing.At, existing.Began = earlier(existing.At, e.At), earlier(existing.Began, e.Began)
			existing.Preceding, existing.By = min(existing.Preceding, e.Preceding), min(existing.By, e.By)
			return
		}
	}
	r.Crashes = append(r.Crashes, e)
}

// isSameCrash reports whether two values describe the same crash. Where starts are not identified, a run that
// begins at least minRestartDelay after the crash of a target with the same id shows that the target has
// restarted.
func (e Crash) isSameCrash(o Crash) bool {
	if e.Start != 0 && o.Start != 0 {
		return e.Start == o.Start
	}
	return e.Target == o.Target && o.Began.Sub(e.At) < minRestartDelay && e.Began.Sub(o.At) < minRestartDelay
}

// countKnownAt returns how many of the crashes this process had received before t.
func (r Record) countKnownAt(t time.Time) int {
	n := 0
	for _, e := range r.Crashes {
		if e.learnedAt.Before(t) {
			n++
		}
	}
	return n
}

// countSequential returns how many of the crashes are sequential: each one happened in a run that began after
// the crash before it, by the clocks of the observing hosts or by the number of crashes they had received.
// Targets that are lost together crash while running any content that many callers send at that time, so
// simultaneous crashes are no proof.
func (r Record) countSequential() int {
	crashes := slices.SortedFunc(slices.Values(r.Crashes), func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Preceding, b.Preceding), a.At.Compare(b.At))
	})
	n := 0
	var last time.Time
	for _, e := range crashes {
		if n > 0 && e.Preceding < n && !e.Began.After(last) {
			continue
		}
		n++
		last = later(last, e.At)
	}
	return n
}

// countContents returns how many different contents were run in the crashes of a scope.
func (r Record) countContents() int {
	digests := make(map[uint64]bool, len(r.Crashes))
	for _, e := range r.Crashes {
		digests[e.By] = true
	}
	return len(digests)
}

// covers reports whether o adds nothing to r, apart from a Seen that is later by up to slack.
func (r Record) covers(o Record, slack time.Duration) bool {
	if o.Cleared.After(r.Cleared) || o.Tried.After(r.Tried) || o.Seen.After(r.Seen.Add(slack)) {
		return false
	}
	for _, e := range o.Crashes {
		if e.At.After(r.Cleared) && len(r.Crashes) < MaxCrashes && !slices.ContainsFunc(r.Crashes, e.isSameCrash) {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
