package watch

import (
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// targetList is the list of targets as it was read last. It tells real changes from entries
// that were written again, and keeps targets whose entry lapsed while the store was away.
type targetList struct {
	known map[string]serving.Target
	// lapsed are targets whose entry is missing since an outage, with the time until which it
	// may come back.
	lapsed map[string]time.Time
	// backAt is when the store came back from its last outage.
	backAt time.Time
}

// targetChanges are the changes of one read.
type targetChanges struct {
	put  []serving.Target
	gone []string
}

func newTargetList() *targetList {
	return &targetList{known: make(map[string]serving.Target), lapsed: make(map[string]time.Time)}
}

// storeIsBack notes that the store answers again.
func (l *targetList) storeIsBack(now time.Time) { l.backAt = now }

// take works out what news changes.
func (l *targetList) take(now time.Time, news platform.TargetNews) targetChanges {
	var c targetChanges
	present := make(map[string]bool, len(news.Present))
	for _, t := range news.Present {
		present[t.ID] = true
		delete(l.lapsed, t.ID)
		if old, ok := l.known[t.ID]; !ok || old != t {
			l.known[t.ID] = t
			c.put = append(c.put, t)
		}
	}
	for _, id := range news.Gone {
		l.missing(now, id, &c)
	}
	if news.Whole {
		for id := range l.known {
			if !present[id] {
				l.missing(now, id, &c)
			}
		}
	}
	l.expire(now, &c)
	return c
}

// missing takes in that a target has no entry. Right after an outage the target may live all the
// same: without this, every outage would empty the list and refuse all requests for seconds.
func (l *targetList) missing(now time.Time, id string, c *targetChanges) {
	t, ok := l.known[id]
	if !ok {
		return
	}
	until := l.backAt.Add(lapseGrace)
	if !t.Draining && !l.backAt.IsZero() && now.Before(until) {
		if _, waiting := l.lapsed[id]; !waiting {
			l.lapsed[id] = until
		}
		return
	}
	l.remove(id, c)
}

// untilExpiry is how long the list can stay as it is without news: a target whose time is up while a
// read waits for news would otherwise get requests until the next news come.
func (l *targetList) untilExpiry(now time.Time) time.Duration {
	next := pollWait
	for _, until := range l.lapsed {
		next = min(next, until.Sub(now))
	}
	return max(next, 0)
}

func (l *targetList) expire(now time.Time, c *targetChanges) {
	for id, until := range l.lapsed {
		if !now.Before(until) {
			l.remove(id, c)
		}
	}
}

func (l *targetList) remove(id string, c *targetChanges) {
	delete(l.known, id)
	delete(l.lapsed, id)
	c.gone = append(c.gone, id)
}
