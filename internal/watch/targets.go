package watch

import (
	"maps"
	"slices"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// maxRemovedNames bounds how many names of removed targets are stored. If targets get a new name with each
// restart, the number of names would otherwise grow without limit.
const maxRemovedNames = 4096

// targetList is the list of targets as last read from the directory, which has an entry for each target. It
// tells changed entries from those that were written again unchanged. It keeps the targets whose entries
// expired while the store was unreachable.
type targetList struct {
	targets map[string]serving.Target // by name
	// lastStart holds, by name, serving.Target.StartedMs of the last known start of a target, including targets
	// that were removed. A target that restarts keeps its name and gets a later start.
	lastStart map[string]int64
	// unusableReason holds, by name, the reason why the entry does not describe a valid target.
	unusableReason map[string]string
	// graceUntil holds, by name of a target whose entry is missing since an outage, the time at which the
	// target is removed unless the entry has been written again; see entryGrace.
	graceUntil map[string]time.Time
	// storeBackAt is when the store became reachable after its last outage; zero before the first outage.
	storeBackAt time.Time
}

// targetChanges are the changes of the list that result from one read.
type targetChanges struct {
	put     []serving.Target // targets that are new or have changed
	renewed []serving.Target // targets whose entries were written again without another change
	goneIDs []string         // ids of targets that are no longer on the list
	// endedIDs are the ids in goneIDs whose targets have restarted. An id names one start of a target;
	// requests that were sent to an earlier start are never answered.
	endedIDs []string
	// unusable are the entries that have become unusable, or are now unusable for another reason.
	unusable []platform.UnusableEntry
	// olderStarts are the entries of targets that have restarted since the entry was written.
	olderStarts []serving.Target
}

// newTargetList returns a list without targets.
func newTargetList() *targetList {
	return &targetList{
		targets: make(map[string]serving.Target), lastStart: make(map[string]int64),
		unusableReason: make(map[string]string), graceUntil: make(map[string]time.Time),
	}
}

// recordRecovery records that the store answers again after an outage.
func (l *targetList) recordRecovery(now time.Time) { l.storeBackAt = now }

// update applies the result of a read that ended at now, and returns the changes of the list.
func (l *targetList) update(now time.Time, news platform.TargetNews) targetChanges {
	var changes targetChanges
	present := make(map[string]bool, len(news.Present)+len(news.Unusable))
	for _, t := range news.Present {
		present[t.Name] = true
		l.applyEntry(t, &changes)
	}
	for _, e := range news.Unusable {
		present[e.Name] = true
		l.markUnusable(e, &changes)
	}
	for _, name := range news.Gone {
		l.markMissing(now, name, &changes)
	}
	if news.Whole {
		for name := range l.targets {
			if !present[name] {
				l.markMissing(now, name, &changes)
			}
		}
	}
	l.removeAfterGrace(now, &changes)
	l.pruneStarts()
	return changes
}

// all returns the targets on the list, in no particular order.
func (l *targetList) all() []serving.Target { return slices.Collect(maps.Values(l.targets)) }

// applyEntry applies the entry of a target. An entry of an older start than the last known one is ignored: a
// read may be answered from an earlier state of the store, and a target that has restarted no longer answers
// as its previous start.
func (l *targetList) applyEntry(t serving.Target, changes *targetChanges) {
	if t.StartedMs < l.lastStart[t.Name] {
		changes.olderStarts = append(changes.olderStarts, t)
		return
	}
	delete(l.unusableReason, t.Name)
	delete(l.graceUntil, t.Name)
	old, ok := l.targets[t.Name]
	if ok && old == t {
		changes.renewed = append(changes.renewed, t)
		return
	}
	if ok && old.ID != t.ID {
		changes.goneIDs = append(changes.goneIDs, old.ID)
		changes.endedIDs = append(changes.endedIDs, old.ID)
	}
	l.targets[t.Name] = t
	l.lastStart[t.Name] = t.StartedMs
	changes.put = append(changes.put, t)
}

// markUnusable applies an entry that does not describe a valid target. It removes the target that was on the
// list under the name of the entry.
func (l *targetList) markUnusable(e platform.UnusableEntry, changes *targetChanges) {
	reason := e.Err.Error()
	if l.unusableReason[e.Name] != reason {
		l.unusableReason[e.Name] = reason
		changes.unusable = append(changes.unusable, e)
	}
	if _, ok := l.targets[e.Name]; ok {
		l.remove(e.Name, changes)
	}
}

// markMissing applies the absence of the entry with this name. Shortly after an outage of the store the target
// may still run, so it stays on the list until entryGrace has passed: otherwise every outage would empty the
// list, and all requests would be rejected for seconds. A draining target is removed at once.
func (l *targetList) markMissing(now time.Time, name string, changes *targetChanges) {
	delete(l.unusableReason, name)
	t, ok := l.targets[name]
	if !ok {
		return
	}
	until := l.storeBackAt.Add(entryGrace)
	if !t.IsDraining && !l.storeBackAt.IsZero() && now.Before(until) {
		if _, isInGrace := l.graceUntil[name]; !isInGrace {
			l.graceUntil[name] = until
		}
		return
	}
	l.remove(name, changes)
}

// timeToGraceEnd returns the time until the next grace period of a target ends, at most pollWait. A read of the
// list waits no longer than that: otherwise a target whose grace period ends during the read would receive
// requests until the read returns.
func (l *targetList) timeToGraceEnd(now time.Time) time.Duration {
	wait := pollWait
	for _, until := range l.graceUntil {
		wait = min(wait, until.Sub(now))
	}
	return max(wait, 0)
}

// removeAfterGrace removes the targets whose grace period has ended.
func (l *targetList) removeAfterGrace(now time.Time, changes *targetChanges) {
	for name, until := range l.graceUntil {
		if !now.Before(until) {
			l.remove(name, changes)
		}
	}
}

// remove removes the target with this name, which must be on the list.
func (l *targetList) remove(name string, changes *targetChanges) {
	changes.goneIDs = append(changes.goneIDs, l.targets[name].ID)
	delete(l.targets, name)
	delete(l.graceUntil, name)
}

// pruneStarts removes the entries of lastStart whose names are not on the list, if there are more than
// maxRemovedNames of them.
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
