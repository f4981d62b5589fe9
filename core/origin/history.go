package origin

import (
	"time"

	"arbutusramp/core/serving"
)

// historyKeep is how long a History keeps versions after they were last on the list. Longer spans are not answered.
const historyKeep = 24 * time.Hour

// History keeps which software versions of each service have been on the list of targets. It is not safe for
// concurrent use.
type History struct {
	lastSeen map[serving.Origin]time.Time
	// since is the time from which on every version on the list was seen; zero before the list was read.
	since time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{lastSeen: make(map[serving.Origin]time.Time)} }

// Restart records that the list has been read as a whole at a time, so that versions that were on it only before are
// not known.
func (h *History) Restart(now time.Time) { h.since = now }

// Observe records the versions that are on the list, or were on it at some time since the last call.
func (h *History) Observe(now time.Time, listed []serving.Target) {
	for _, t := range listed {
		h.lastSeen[serving.Origin{Service: t.Service, Version: t.Version}] = now
	}
	for o, at := range h.lastSeen {
		if now.Sub(at) > historyKeep {
			delete(h.lastSeen, o)
		}
	}
}

// Only returns the version of a service that alone has been on the list during a time up to now, and since when that
// holds, at most for that time. ok is false if there were several or none, or if the list has not been read as a whole.
func (h *History) Only(now time.Time, service string, span time.Duration) (o serving.Origin, since time.Time, ok bool) {
	if h.since.IsZero() || span > historyKeep {
		return serving.Origin{}, time.Time{}, false
	}
	for seen, at := range h.lastSeen {
		if seen.Service != service || now.Sub(at) > span {
			continue
		}
		if ok {
			return serving.Origin{}, time.Time{}, false
		}
		o, ok = seen, true
	}
	return o, h.since, ok
}
