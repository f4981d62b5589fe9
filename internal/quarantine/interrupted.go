package quarantine

import (
	"slices"
	"time"

	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
)

const (
	// interruptionWindow is the maximum time between the end of a run by this process and the first sign that
	// its target has crashed: until the cancellation has reached the target, the run may still crash it.
	interruptionWindow = 50 * time.Millisecond
	// maxInterruptions bounds the runs that are kept during interruptionWindow.
	maxInterruptions = 1024
)

// interruption is a run that this process has ended.
type interruption struct {
	suspect
	target serving.Target
}

// interruptions are the runs that this process has ended within interruptionWindow, oldest first.
type interruptions []interruption

// prune removes the runs that were ended too early to be related to a crash that is detected now.
func (l interruptions) prune(now time.Time) interruptions {
	firstRecent := slices.IndexFunc(l, func(i interruption) bool { return now.Sub(i.brokenAt) <= interruptionWindow })
	if firstRecent < 0 {
		return l[:0]
	}
	return slices.Delete(l, 0, firstRecent)
}

// add adds a run. If there are too many, it removes the oldest.
func (l interruptions) add(i interruption) interruptions {
	l = l.prune(i.brokenAt)
	if len(l) >= maxInterruptions {
		l = slices.Delete(l, 0, 1)
	}
	return append(l, i)
}

// splitByTarget separates the runs at a target from the rest.
func (l interruptions) splitByTarget(now time.Time, target string) (rest, atTarget interruptions) {
	for _, i := range l.prune(now) {
		if i.target.ID == target {
			atTarget = append(atTarget, i)
		} else {
			rest = append(rest, i)
		}
	}
	return rest, atTarget
}

// Interrupted notes a run that this process has ended, such as a batch item whose slot an online request
// needs. If its target breaks off other runs at about that time, the run is as suspect as they are: the first
// stream that breaks off makes the target suspect, and the other runs there are ended by this process before
// the target breaks them off.
func (q *Quarantine) Interrupted(b quarantine.Broken) {
	if !q.isOn || !b.Counts() {
		return
	}
	now := time.Now()
	i := interruption{suspect: newSuspect(b, now), target: b.Target}
	q.mu.Lock()
	hasBrokenOff := q.suspects.hasBrokenSince(b.Target.ID, now.Add(-interruptionWindow))
	if !hasBrokenOff {
		q.recentInterruptions = q.recentInterruptions.add(i)
	}
	q.mu.Unlock()
	if hasBrokenOff {
		q.checkForCrash(i)
	}
}
