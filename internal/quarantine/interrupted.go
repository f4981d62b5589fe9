package quarantine

import (
	"slices"
	"time"

	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

const (
	// interruptionWindow is the maximum time between the end of an answer without framing and the end of another run that
	// its target breaks off, for the first run to be suspect as well: when a target crashes, its runs do not all end at once.
	interruptionWindow = 50 * time.Millisecond
	// maxInterruptions bounds the number of such runs that are kept for interruptionWindow.
	maxInterruptions = 1024
)

// suspectAtTarget is a suspect with the target that had the run.
type suspectAtTarget struct {
	suspect
	target serving.Target
}

// interruptions are the runs whose answers have recently ended without framing, oldest first. Those that ended more than
// interruptionWindow ago are removed when the list is next used.
type interruptions []suspectAtTarget

// prune removes the runs that were ended more than interruptionWindow before now.
func (list interruptions) prune(now time.Time) interruptions {
	firstRecent := slices.IndexFunc(list, func(run suspectAtTarget) bool { return now.Sub(run.brokenAt) <= interruptionWindow })
	if firstRecent < 0 {
		return list[:0]
	}
	return slices.Delete(list, 0, firstRecent)
}

// add adds a run that was just ended. If there are maxInterruptions already, it removes the oldest.
func (list interruptions) add(run suspectAtTarget) interruptions {
	list = list.prune(run.brokenAt)
	if len(list) >= maxInterruptions {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, run)
}

// splitByTarget prunes the list and separates the runs at a target from the rest.
func (list interruptions) splitByTarget(now time.Time, target string) (rest, atTarget interruptions) {
	for _, run := range list.prune(now) {
		if run.target.ID == target {
			atTarget = append(atTarget, run)
		} else {
			rest = append(rest, run)
		}
	}
	return rest, atTarget
}

// NoteServedUnframed notes a run whose answer has ended as a whole one, with neither a length nor chunks: a crash of the
// target ends its connection in the same way. The run counts as served if the target breaks off no other run within
// interruptionWindow; else it is as suspect as that one.
func (q *Quarantine) NoteServedUnframed(b quarantine.BrokenRun, answeredAt time.Time) {
	if !q.isOn {
		return
	}
	endedAt := time.Now()
	if b.CountsAgainstRequest() {
		q.noteUnframedEnd(endedAt, b)
	}
	sleep.AfterFunc(interruptionWindow, func() {
		q.mu.Lock()
		hasBrokenOff := q.suspects.hasBrokenSince(b.Target.ID, endedAt.Add(-interruptionWindow))
		q.mu.Unlock()
		if !hasBrokenOff {
			q.NoteServed(b.Content, answeredAt)
		}
	})
}

// noteUnframedEnd makes a run suspect whose answer has ended without framing, if its target breaks off another run within
// interruptionWindow before or after.
func (q *Quarantine) noteUnframedEnd(now time.Time, b quarantine.BrokenRun) {
	run := suspectAtTarget{suspect: newSuspect(b, now), target: b.Target}
	q.mu.Lock()
	hasBrokenOff := q.suspects.hasBrokenSince(b.Target.ID, now.Add(-interruptionWindow))
	if !hasBrokenOff {
		q.recentInterruptions = q.recentInterruptions.add(run)
	}
	q.mu.Unlock()
	if hasBrokenOff {
		q.checkForCrash(run)
	}
}
