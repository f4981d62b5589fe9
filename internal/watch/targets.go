package watch

import (
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// maxRemovedNames bounds how many names of removed targets are kept. In a fleet whose targets get a new
// name with each restart, their number grows without limit.
const maxRemovedNames = 4096

// targetList is the list of targets as last read. It separates real changes from entries that were written
// again unchanged, and keeps targets whose entry expired while the store was unreachable.
type targetList struct {
	targets map[string]serving.Target // by name
	// lastStart holds the last start under each name, including names whose target was removed.
	lastStart map[string]int64
	// unusableReason holds, by name, why an entry does not describe a valid target.
	unusableReason map[string]string
	// graceUntil holds, by name, the targets whose entry is missing since an outage, and the time until
	// which the entry may be written again.
	graceUntil map[string]time.Time
	// storeBackAt is when the store became reachable after its last outage; zero before the first outage.
	storeBackAt time.Time
}

// targetChanges are the changes that result from one read.
type targetChanges struct {
	put     []serving.Target
	goneIDs []string
	// endedIDs are ids of starts that are known to be over, because a later start has their name. Requests
	// that run there are never answered.
	endedIDs []string
	// unusable are entries that have become unusable, or whose reason has changed.
	unusable []platform.UnusableEntry
	// olderStarts are entries of starts that a later start has replaced.
	olderStarts []serving.Target
}

// newTargetList returns an empty list.
func newTargetList() *targetList {
	return &targetList{
		targets: make(map[string]serving.Target), lastStart: make(map[string]int64),
		unusableReason: make(map[string]string), graceUntil: make(map[string]time.Time),
	}
}

// onStoreRecovered records that the store answers again after an outage.
func (l *targetList) onStoreRecovered(now time.Time) { l.storeBackAt = now }

// update applies the result of one read and returns the changes.
func (l *targetList) update(now time.Time, news platform.TargetNews) targetChanges {
	var c targetChanges
	present := make(map[string]bool, len(news.Present)+len(news.Unusable))
	for _, t := range news.Present {
		present[t.Name] = true
		l.applyEntry(t, &c)
	}
	for _, e := range news.Unusable {
		present[e.Name] = true
		l.markUnusable(e, &c)
	}
	for _, name := range news.Gone {
		l.markMissing(now, name, &c)
	}
	if news.Whole {
		for name := range l.targets {
			if !present[name] {
				l.markMissing(now, name, &c)
			}
		}
	}
	l.removeAfterGrace(now, &c)
	l.pruneStarts()
	return c
}

// applyEntry applies the entry of a target. An entry of an older start than the last known one changes
// nothing: a read may be answered from an earlier state, and a start that another one has replaced is over.
func (l *targetList) applyEntry(t serving.Target, c *targetChanges) {
	if t.Started < l.lastStart[t.Name] {
		c.olderStarts = append(c.olderStarts, t)
		return
	}
	delete(l.unusableReason, t.Name)
	delete(l.graceUntil, t.Name)
	old, ok := l.targets[t.Name]
	if ok && old == t {
		return
	}
	if ok && old.ID != t.ID {
		c.goneIDs = append(c.goneIDs, old.ID)
		c.endedIDs = append(c.endedIDs, old.ID)
	}
	l.targets[t.Name] = t
	l.lastStart[t.Name] = t.Started
	c.put = append(c.put, t)
}

// markUnusable applies an entry that does not describe a valid target. The target that was listed under its
// name is removed.
func (l *targetList) markUnusable(e platform.UnusableEntry, c *targetChanges) {
	why := e.Err.Error()
	if l.unusableReason[e.Name] != why {
		l.unusableReason[e.Name] = why
		c.unusable = append(c.unusable, e)
	}
	if _, ok := l.targets[e.Name]; ok {
		l.remove(e.Name, c)
	}
}

// markMissing applies the absence of a target's entry. Shortly after an outage the target may still run, so
// it stays listed until entryGrace has passed: without this, every outage would empty the list and cause
// all requests to be rejected for seconds.
func (l *targetList) markMissing(now time.Time, name string, c *targetChanges) {
	delete(l.unusableReason, name)
	t, ok := l.targets[name]
	if !ok {
		return
	}
	until := l.storeBackAt.Add(entryGrace)
	if !t.Draining && !l.storeBackAt.IsZero() && now.Before(until) {
		if _, isInGrace := l.graceUntil[name]; !isInGrace {
			l.graceUntil[name] = until
		}
		return
	}
	l.remove(name, c)
}

// timeToGraceEnd returns how long the list stays valid without news, at most pollWait. A target whose grace
// period ends while a read waits for news would otherwise receive requests until the next change.
func (l *targetList) timeToGraceEnd(now time.Time) time.Duration {
	next := pollWait
	for _, until := range l.graceUntil {
		next = min(next, until.Sub(now))
	}
	return max(next, 0)
}

// removeAfterGrace removes the targets whose grace period has ended.
func (l *targetList) removeAfterGrace(now time.Time, c *targetChanges) {
	for name, until := range l.graceUntil {
		if !now.Before(until) {
			l.remove(name, c)
		}
	}
}

// remove drops a listed target.
func (l *targetList) remove(name string, c *targetChanges) {
	c.goneIDs = append(c.goneIDs, l.targets[name].ID)
	delete(l.targets, name)
	delete(l.graceUntil, name)
}

// pruneStarts drops the starts of names that are not on the list once there are more than maxRemovedNames.
func (l *targetList) pruneStarts() {
	if len(l.lastStart) <= len(l.targets)+maxRemovedNames {
		return
	}
	for name := range l.lastStart {
		if _, ok := l.targets[name]; !ok {
			delete(l.lastStart, name)
		}
	}
}
