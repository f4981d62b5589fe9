package quarantine

import (
	"slices"
	"time"

	"arbutusramp/core/quarantine"
)

const (
	// suspicionTTL is how long after a target has broken off requests its crash may become known. The entry
	// of a crashed target in the list of targets expires within three seconds, and the change is read within
	// half a second.
	suspicionTTL = 5 * time.Second
	// maxSuspects bounds the number of suspects.
	maxSuspects = 4096
)

// suspect is a run that a target has broken off, or that this process has ended while the target broke off
// others.
type suspect struct {
	content    *quarantine.Content
	start      string // identifies the process start of the target; see quarantine.Broken
	beganAt    time.Time
	brokenAt   time.Time
	isUnpassed bool // the run had not passed; see quarantine.PassTime
}

func newSuspect(b quarantine.Broken, brokenAt time.Time) suspect {
	return suspect{content: b.Content, start: b.Start, beganAt: b.Began, brokenAt: brokenAt, isUnpassed: !b.HasPassed}
}

// suspectTarget is a target that has broken off requests.
type suspectTarget struct {
	suspects     []suspect
	lastBrokenAt time.Time // when the target last broke off a run
	isProbing    bool
	isSilent     bool // its last run was ended by this process because the target sent nothing
	// evidence describes how the crash of the target was detected; empty while none was. crashedAt is when it
	// was detected.
	evidence  string
	crashedAt time.Time
}

// suspectTable holds the runs that targets have recently broken off. count is the number of suspects of all
// targets.
type suspectTable struct {
	byTarget map[string]*suspectTarget
	count    int
}

func newSuspectTable() suspectTable { return suspectTable{byTarget: make(map[string]*suspectTarget)} }

func (s *suspectTable) len() int { return s.count }

// prune removes targets that have not broken off any request for suspicionTTL.
func (s *suspectTable) prune(now time.Time) {
	for id, t := range s.byTarget {
		if now.Sub(t.lastBrokenAt) > suspicionTTL {
			s.count -= len(t.suspects)
			delete(s.byTarget, id)
		}
	}
}

// take removes and returns the suspects of a target that is known to have crashed.
func (s *suspectTable) take(now time.Time, id, evidence string) []suspect {
	t, ok := s.byTarget[id]
	if !ok {
		return nil
	}
	list := t.suspects
	s.count -= len(list)
	t.suspects, t.evidence, t.crashedAt = nil, evidence, now
	return list
}

// dismiss removes the suspects that a target has broken off before it was observed to run at aliveAt. It
// reports whether any suspects remain.
func (s *suspectTable) dismiss(id string, aliveAt time.Time) (hasRemaining bool) {
	t, ok := s.byTarget[id]
	if !ok {
		return false
	}
	s.count -= len(t.suspects)
	t.suspects = slices.DeleteFunc(t.suspects, func(b suspect) bool { return b.brokenAt.Before(aliveAt) })
	s.count += len(t.suspects)
	return len(t.suspects) > 0
}

// getOrCreateTarget returns the entry of a target that has broken off a request.
func (s *suspectTable) getOrCreateTarget(id string) *suspectTarget {
	t, ok := s.byTarget[id]
	if !ok {
		t = &suspectTarget{}
		s.byTarget[id] = t
	}
	return t
}

// hasBrokenSince reports whether a target has broken off a request at or after a time.
func (s *suspectTable) hasBrokenSince(id string, since time.Time) bool {
	t, ok := s.byTarget[id]
	return ok && !t.lastBrokenAt.Before(since)
}

// BrokenOff notes a run that a target has broken off. Whether the target has crashed or only the connection
// was lost becomes known within suspicionTTL.
func (q *Quarantine) BrokenOff(b quarantine.Broken) {
	now := time.Now()
	s := newSuspect(b, now)
	q.brokenOff.Inc(1)
	q.log.Warn("broken off by target", "request", b.Content.Request.ID, "content", b.Content.Fingerprint().String(), "target", b.Target.ID,
		"from_event", b.From, "to_event", b.To, "error", b.Err.Error())
	if !q.isOn || !b.HasCrashed && !q.wasInService(b.Target.ID) {
		return
	}
	interrupted := q.markBrokenOff(now, b.Target.ID, false)
	switch {
	case b.Counts() && b.HasCrashed:
		q.noteCrash(s, b.Target.ID, "known to have crashed")
	case b.Counts():
		q.checkForCrash(interruption{suspect: s, target: b.Target})
	}
	for _, i := range interrupted {
		q.checkForCrash(i)
	}
}

// markBrokenOff notes that a target has broken off a request, or that it is silent. It returns the runs at
// the target that this process has ended within interruptionWindow before.
func (q *Quarantine) markBrokenOff(now time.Time, target string, isSilent bool) interruptions {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.suspects.prune(now)
	t := q.suspects.getOrCreateTarget(target)
	t.lastBrokenAt, t.isSilent = now, isSilent
	rest, atTarget := q.recentInterruptions.splitByTarget(now, target)
	q.recentInterruptions = rest
	return atTarget
}

// checkForCrash counts a run against its request if its target is already known to have crashed, and
// otherwise starts a probe of the target if one is needed. A target that is silent and has sent nothing since
// the run began may have been lost before.
func (q *Quarantine) checkForCrash(i interruption) {
	hasSentData := q.fleet.HeardSince(i.target.ID, i.beganAt)
	evidence, needsProbe := q.addSuspect(i.suspect, i.target.ID, hasSentData)
	if evidence != "" {
		q.noteCrash(i.suspect, i.target.ID, evidence)
		return
	}
	if needsProbe {
		go q.probe(i.target, i.brokenAt)
	}
}

// FellSilent notes a run that this process has ended because its target sent nothing for too long. A silent
// target does not answer probes either: only the list of targets shows whether it has crashed.
func (q *Quarantine) FellSilent(b quarantine.Broken) {
	now := time.Now()
	if !q.isOn || !q.wasInService(b.Target.ID) {
		return
	}
	q.fellSilent.Inc(1)
	interrupted := q.markBrokenOff(now, b.Target.ID, true)
	if b.Counts() {
		interrupted = append(interrupted, interruption{suspect: newSuspect(b, now), target: b.Target})
	}
	for _, i := range interrupted {
		q.checkForCrash(i)
	}
}

// wasInService reports whether a target was in service when it broke off a request. A target that is leaving
// may stop during any request, so that its end counts against none. Of several requests that a target breaks
// off, the last may be noted after the target has left the list.
func (q *Quarantine) wasInService(target string) bool {
	return q.fleet.IsInService(target) || q.hasBrokenRuns(target)
}

// hasBrokenRuns reports whether a target has recently broken off requests while it was in service.
func (q *Quarantine) hasBrokenRuns(target string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.suspects.byTarget[target]
	return ok
}

// hasSuspects reports whether a target has broken off requests for which it is not known yet whether it has
// crashed.
func (q *Quarantine) hasSuspects(target string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.suspects.byTarget[target]
	return ok && len(t.suspects) > 0
}

// addSuspect adds a suspect, unless its target is silent and has sent nothing since the run began. It returns the
// evidence that the target has crashed, if there is any already, and whether the target has to be probed.
func (q *Quarantine) addSuspect(s suspect, target string, hasSentData bool) (evidence string, needsProbe bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.suspects.getOrCreateTarget(target)
	if t.evidence != "" && s.beganAt.Before(t.crashedAt) {
		return t.evidence, false
	}
	t.evidence = "" // it refers to an earlier start with the same id
	if t.isSilent && !hasSentData {
		return "", false
	}
	if q.suspects.count >= maxSuspects {
		q.overflow.Inc(1)
		return "", false
	}
	t.suspects = append(t.suspects, s)
	q.suspects.count++
	needsProbe = !t.isSilent && !t.isProbing
	t.isProbing = t.isProbing || needsProbe
	return "", needsProbe
}

// TargetsGone notes targets that are no longer on the list of targets.
func (q *Quarantine) TargetsGone(ids []string) {
	for _, id := range ids {
		q.confirmCrash(id, "gone from the list")
	}
}

// confirmCrash counts the crash of a target against the requests that it has broken off.
func (q *Quarantine) confirmCrash(target, evidence string) {
	now := time.Now()
	q.mu.Lock()
	q.suspects.prune(now)
	list := q.suspects.take(now, target, evidence)
	q.mu.Unlock()
	for _, s := range list {
		q.noteCrash(s, target, evidence)
	}
}
