package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxCrashes is how many crashes a record keeps, the newest ones, and the highest threshold.
const MaxCrashes = 10

// maxClockSkew is how far the clock of another host may be ahead. What is said to have happened later than that is taken to have
// happened now.
const maxClockSkew = 10 * time.Second

// minRestart is how long after the crash of a target a run begins that shows that it has started again under its id, where starts have
// no names. It is above what the clocks of hosts usually differ by.
const minRestart = 2500 * time.Millisecond

// Record is what is known of one content. Records of different gateways can be merged in any order.
type Record struct {
	Content Fingerprint
	// IsScope says that Content is what several contents have in common.
	IsScope bool
	// Crashes are the crashes of targets under the content since Cleared, each once, the newest first.
	Crashes []Crash
	// Cleared is when a target last served the content; zero if none has. Crashes before it don't count: a content that is served does
	// not crash each target.
	Cleared time.Time
	// Seen is when a target last crashed under the content, or a request with it was last rejected.
	Seen time.Time
	// Tried is when a request with the content was last sent although it is quarantined; zero if none was.
	Tried time.Time
}

// Crash is that of a target while it had a request with the content.
type Crash struct {
	Target uint64    // digest of the target's id
	Start  uint64    // digest of the name of its start; 0 is not known
	Began  time.Time // when the run began that the target crashed under
	At     time.Time // when the target broke the run off
	// Preceding is how many crashes under the content were known to the gateway that sent the request when the run began. Unlike
	// times it can be compared between hosts whose clocks differ.
	Preceding int
	// By is the digest of the content that the run had; 0 except in the record of a scope.
	By uint64

	// learned is when this process came to know of the crash, by its own clock.
	learned time.Time
}

// NewCrash returns the crash of a target under a run that began and was broken off at these times. start names the start of the
// target; empty if that is not known.
func NewCrash(target, start string, began, broken time.Time) Crash {
	c := Crash{Target: xxhash.Sum64String(target), Began: began.Truncate(time.Millisecond), At: broken.Truncate(time.Millisecond)}
	if start != "" {
		c.Start = xxhash.Sum64String(start)
	}
	return c
}

// clone returns a copy that shares nothing with r.
func (r Record) clone() Record {
	r.Crashes = slices.Clone(r.Crashes)
	return r
}

// clamped returns r with no time later than the clock of this host allows.
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
		r.Crashes[i].learned = now
	}
	return r
}

// merge takes in what o says of the same content.
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

// addCrash adds a crash. Several gateways may have seen the same one: of what they say the lowest counts.
func (r *Record) addCrash(e Crash) {
	for i := range r.Crashes {
		if known := &r.Crashes[i]; known.isSame(e) {
			known.At, known.Began = earlier(known.At, e.At), earlier(known.Began, e.Began)
			known.Preceding, known.By = min(known.Preceding, e.Preceding), min(known.By, e.By)
			return
		}
	}
	r.Crashes = append(r.Crashes, e)
}

// isSame says whether two crashes are one. Where starts have no names, a target under whose id a run begins well after its crash has
// started again.
func (e Crash) isSame(o Crash) bool {
	if e.Start != 0 && o.Start != 0 {
		return e.Start == o.Start
	}
	return e.Target == o.Target && o.Began.Sub(e.At) < minRestart && e.Began.Sub(o.At) < minRestart
}

// precedingAt is how many of the crashes this process knew of at a time.
func (r Record) precedingAt(t time.Time) int {
	n := 0
	for _, e := range r.Crashes {
		if e.learned.Before(t) {
			n++
		}
	}
	return n
}

// inSequence is how many of the crashes follow on each other, each under a run that began after the one before, by the clocks of those
// who saw them or by what they knew of. Targets that are lost together crash under whatever many callers send just then.
func (r Record) inSequence() int {
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

// contents is how many different contents the runs of a scope's crashes had.
func (r Record) contents() int {
	by := make(map[uint64]bool, len(r.Crashes))
	for _, e := range r.Crashes {
		by[e.By] = true
	}
	return len(by)
}

// covers says whether o tells nothing that r does not, but for sightings up to slack later.
func (r Record) covers(o Record, slack time.Duration) bool {
	if o.Cleared.After(r.Cleared) || o.Tried.After(r.Tried) || o.Seen.After(r.Seen.Add(slack)) {
		return false
	}
	for _, e := range o.Crashes {
		if e.At.After(r.Cleared) && len(r.Crashes) < MaxCrashes && !slices.ContainsFunc(r.Crashes, e.isSame) {
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
