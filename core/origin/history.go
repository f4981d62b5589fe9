package origin

import (
	"time"

	"arbutusramp/core/serving"
)

// History keeps which software versions of each service have been on the list of targets. It is not safe for
// concurrent use.
type History struct {
	keep     time.Duration
	lastSeen map[serving.Origin]time.Time
	// since is the time from which on every version on the list was seen; zero before the list was read.
	since time.Time
}

// NewHistory returns an empty history that keeps versions for a time after they were last on the list.
func NewHistory(keep time.Duration) *History {
	return &History{keep: keep, lastSeen: make(map[serving.Origin]time.Time)}
}

// Restart records that the list has been read as a whole at a time, so that versions that were on it only before are
// not known.
func (h *History) Restart(now time.Time) { h.since = now }

// Observe records the versions that are on the list, or were on it at some time since the last call.
func (h *History) Observe(now time.Time, listed []serving.Target) {
	for _, t := range listed {
		h.lastSeen[serving.Origin{Service: t.Service, Version: t.Version}] = now
	}
	for o, at := range h.lastSeen {
		if now.Sub(at) > h.keep {
			delete(h.lastSeen, o)
		}
	}
}

// Only returns the version of a service that alone has been on the list during the time for which versions are kept; ok
// is false if there were several or none, or if the list has been read for a shorter time.
func (h *History) Only(now time.Time, service string) (o serving.Origin, ok bool) {
	if h.since.IsZero() || now.Sub(h.since) < h.keep {
		return serving.Origin{}, false
	}
	for seen, at := range h.lastSeen {
		if seen.Service != service || now.Sub(at) > h.keep {
			continue
		}
		if ok {
			return serving.Origin{}, false
		}
		o, ok = seen, true
	}
	return o, ok
}
