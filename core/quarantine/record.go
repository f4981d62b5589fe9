package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// MaxEnds is how many ends a record keeps, the newest ones, and the highest threshold.
const MaxEnds = 10

// maxClockSkew is how far the clock of another host may be ahead. What is said to have happened later than that is taken to have
// happened now.
const maxClockSkew = 10 * time.Second

// Record is what is known of one content. Records of different gateways can be merged in any order.
type Record struct {
	Content Fingerprint
	// Ends are the ends of targets under the content since Cleared, each target once, the newest first.
	Ends []End
	// Cleared is when a target last served the content; zero if none has. Ends before it don't count: a content that is served does
	// not end each target.
	Cleared time.Time
	// Seen is when a target last ended under the content, or a request with it was last rejected.
	Seen time.Time
}

// End is the end of a target under a content.
type End struct {
	Target uint64 // digest of the target's id, which names one start
	At     time.Time
}

// clone returns a copy that shares nothing with r.
func (r Record) clone() Record {
	r.Ends = slices.Clone(r.Ends)
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
	r.Cleared, r.Seen = clamp(r.Cleared), clamp(r.Seen)
	for i := range r.Ends {
		r.Ends[i].At = clamp(r.Ends[i].At)
	}
	return r
}

// merge takes in what o says of the same content.
func (r *Record) merge(o Record) {
	r.Cleared, r.Seen = later(r.Cleared, o.Cleared), later(r.Seen, o.Seen)
	for _, e := range o.Ends {
		r.addEnd(e)
	}
	r.Ends = slices.DeleteFunc(r.Ends, func(e End) bool { return !e.At.After(r.Cleared) })
	slices.SortFunc(r.Ends, func(a, b End) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target))
	})
	r.Ends = r.Ends[:min(len(r.Ends), MaxEnds)]
}

// addEnd adds an end. Several gateways may have seen the same one: the first that is known counts.
func (r *Record) addEnd(e End) {
	for i := range r.Ends {
		if r.Ends[i].Target == e.Target {
			if e.At.Before(r.Ends[i].At) {
				r.Ends[i].At = e.At
			}
			return
		}
	}
	r.Ends = append(r.Ends, e)
}

// covers says whether o tells nothing that r does not, but for sightings up to slack later.
func (r Record) covers(o Record, slack time.Duration) bool {
	if o.Cleared.After(r.Cleared) || o.Seen.After(r.Seen.Add(slack)) {
		return false
	}
	for _, e := range o.Ends {
		known := func(have End) bool { return have.Target == e.Target }
		if e.At.After(r.Cleared) && len(r.Ends) < MaxEnds && !slices.ContainsFunc(r.Ends, known) {
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
