package quarantine

import (
	"slices"
	"time"

	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
)

const (
	// interruptWindow is how far apart the end of a run by this process and the first sign of its target's crash may lie: until the
	// cancellation has reached the target, the run may still crash it.
	interruptWindow = 50 * time.Millisecond
	// maxInterrupted bounds the runs that are kept for that time.
	maxInterrupted = 1024
)

// interruption is a run that this process has ended.
type interruption struct {
	suspect
	target serving.Target
}

// interruptions are the runs that this process has ended within interruptWindow, oldest first.
type interruptions []interruption

// prune forgets the runs that were ended too early to have to do with a crash that shows now.
func (l interruptions) prune(now time.Time) interruptions {
	old := slices.IndexFunc(l, func(i interruption) bool { return now.Sub(i.broken) <= interruptWindow })
	if old < 0 {
		return l[:0]
	}
	return slices.Delete(l, 0, old)
}

// add notes a run. Of too many the oldest are forgotten.
func (l interruptions) add(i interruption) interruptions {
	l = l.prune(i.broken)
	if len(l) >= maxInterrupted {
		l = slices.Delete(l, 0, 1)
	}
	return append(l, i)
}

// take removes and returns the runs at a target.
func (l interruptions) take(now time.Time, target string) (rest, taken interruptions) {
	for _, i := range l.prune(now) {
		if i.target.ID == target {
			taken = append(taken, i)
		} else {
			rest = append(rest, i)
		}
	}
	return rest, taken
}

// Interrupted notes a run that this process has ended, such as a batch item whose slot an online request needs. If its target breaks off
// others at about that time, the run is as suspect as they are: the first stream that breaks off makes the target suspect, and
// the other runs there are ended before they break off.
func (q *Quarantine) Interrupted(b quarantine.Broken) {
	if !q.isOn || !b.Counts() {
		return
	}
	now := time.Now()
	i := interruption{suspect: suspectOf(b, now), target: b.Target}
	q.mu.Lock()
	isBroken := q.suspects.hasBroken(b.Target.ID, now.Add(-interruptWindow))
	if !isBroken {
		q.interrupted = q.interrupted.add(i)
	}
	q.mu.Unlock()
	if isBroken {
		q.follow(i)
	}
}
