package quarantine

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"arbutusramp/core/quarantine"
	"arbutusramp/core/sleep"
)

const (
	// suspicionTTL is how long after a target has broken off a request its crash still counts against that
	// request. The entry of a crashed target in the list of targets expires within three seconds, and gateways
	// read the change within half a second.
	suspicionTTL = 5 * time.Second
	// maxSuspects bounds the number of suspects of all targets together.
	maxSuspects = 4096
)

// suspect is a run that may have crashed its target: the target has broken it off, or this process has ended
// it when the target was silent or broke off other runs.
type suspect struct {
	content    *quarantine.Content
	start      string    // id of the target's process, which changes with each restart; empty if unknown
	beganAt    time.Time // when the request was sent to the target
	brokenAt   time.Time // when the run ended
	isUnpassed bool      // the run had not passed; see quarantine.MinPassDuration
}

// newSuspect returns the suspect for a run that ended at brokenAt.
func newSuspect(b quarantine.BrokenRun, brokenAt time.Time) suspect {
	return suspect{content: b.Content, start: b.StartID, beganAt: b.BeganAt, brokenAt: brokenAt, isUnpassed: !b.HasPassed}
}

// suspectTarget holds the state of a target that has broken off requests or fallen silent. It is kept for at least
// suspicionTTL after lastBrokenAt.
type suspectTarget struct {
	suspects     []suspect // runs for which it is not yet known whether the target has crashed
	lastBrokenAt time.Time // when the target last broke off a run or fell silent
	isProbing    bool      // a probe of the target is in progress
	isSilent     bool      // at lastBrokenAt, the target fell silent: this process ended a run because it sent nothing
	// evidence describes how a crash of the target was detected; empty if none was. crashedAt is when the
	// crash was detected.
	evidence  string
	crashedAt time.Time
}

// suspectTable holds the targets that have recently broken off requests or fallen silent, with their suspects. It
// is not safe for concurrent use.
type suspectTable struct {
	byTarget map[string]*suspectTarget // by the id of the target
	count    atomic.Int64              // number of suspects of all targets; may be read without the lock
}

// newSuspectTable returns a table without targets.
func newSuspectTable() *suspectTable { return &suspectTable{byTarget: make(map[string]*suspectTarget)} }

// len returns the number of suspects of all targets.
func (s *suspectTable) len() int { return int(s.count.Load()) }

// prune removes the targets, with their suspects, whose lastBrokenAt is more than suspicionTTL before now.
func (s *suspectTable) prune(now time.Time) {
	for id, t := range s.byTarget {
		if now.Sub(t.lastBrokenAt) > suspicionTTL {
			s.count.Add(int64(-len(t.suspects)))
			delete(s.byTarget, id)
		}
	}
}

// take notes that a target has crashed and removes and returns its suspects. evidence describes how the crash
// was detected.
func (s *suspectTable) take(now time.Time, id, evidence string) []suspect {
	t, ok := s.byTarget[id]
	if !ok {
		return nil
	}
	list := t.suspects
	s.count.Add(int64(-len(list)))
	t.suspects, t.evidence, t.crashedAt = nil, evidence, now
	return list
}

// dismiss removes the suspects of a target whose runs ended before observedAt, a time at which the target was
// found to run. It reports whether any suspects of the target remain.
func (s *suspectTable) dismiss(id string, observedAt time.Time) (hasRemaining bool) {
	t, ok := s.byTarget[id]
	if !ok {
		return false
	}
	s.count.Add(int64(-len(t.suspects)))
	t.suspects = slices.DeleteFunc(t.suspects, func(run suspect) bool { return run.brokenAt.Before(observedAt) })
	s.count.Add(int64(len(t.suspects)))
	return len(t.suspects) > 0
}

// getOrCreateTarget returns the state of a target. It creates the state if there is none.
func (s *suspectTable) getOrCreateTarget(id string) *suspectTarget {
	t, ok := s.byTarget[id]
	if !ok {
		t = &suspectTarget{}
		s.byTarget[id] = t
	}
	return t
}

// hasBrokenSince reports whether a target has broken off a request or fallen silent at the time since or later.
func (s *suspectTable) hasBrokenSince(id string, since time.Time) bool {
	t, ok := s.byTarget[id]
	return ok && !t.lastBrokenAt.Before(since)
}

// NoteBrokenOff notes a run that a target has broken off or during which the target was found to have crashed. If it
// is not known yet whether the target has crashed or only the connection was lost, it starts a probe of the target.
func (q *Quarantine) NoteBrokenOff(b quarantine.BrokenRun) {
	now := time.Now()
	s := newSuspect(b, now)
	q.brokenOff.Inc(1)
	q.log.Warn("broken off by target", "request", b.Content.Request.ID, "content", b.Content.Fingerprint().String(), "target", b.Target.ID,
		"parts", b.Content.Request.Prompt.String(), "from_event", b.FromEvent, "to_event", b.ToEvent, "error", b.Err.Error())
	if !q.isOn || !b.HasCrashed && !q.wasInService(b.Target.ID) {
		return
	}
	interrupted := q.markBrokenOff(now, b.Target.ID, false)
	switch {
	case b.CountsAgainstRequest() && b.HasCrashed:
		q.noteCrash(s, b.Target.ID, "known to have crashed")
	case b.CountsAgainstRequest():
		q.checkForCrash(suspectAtTarget{suspect: s, target: b.Target})
	}
	for _, run := range interrupted {
		q.checkForCrash(run)
	}
}

// markBrokenOff notes that a target has broken off a request, or has fallen silent if isSilent is true. It
// removes and returns the runs at the target that this process has ended within interruptionWindow before.
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

// checkForCrash counts the crash of a run's target against the request if the crash is already known.
// Otherwise it adds the run to the suspects and starts a probe of the target if one is needed.
func (q *Quarantine) checkForCrash(run suspectAtTarget) {
	hasSentData := q.fleet.HasActivitySince(run.target.ID, run.beganAt)
	evidence, needsProbe := q.addSuspect(run.suspect, run.target.ID, hasSentData)
	if evidence != "" {
		q.noteCrash(run.suspect, run.target.ID, evidence)
		return
	}
	if needsProbe {
		go q.probe(run.target, run.brokenAt)
	}
}

// NoteSilent notes a run that this process has ended because its target sent nothing for too long. Such a
// target does not answer probes either: only its removal from the list of targets shows that it has crashed.
func (q *Quarantine) NoteSilent(b quarantine.BrokenRun) {
	now := time.Now()
	if !q.isOn || !q.wasInService(b.Target.ID) {
		return
	}
	q.fellSilent.Inc(1)
	interrupted := q.markBrokenOff(now, b.Target.ID, true)
	if b.CountsAgainstRequest() {
		interrupted = append(interrupted, suspectAtTarget{suspect: newSuspect(b, now), target: b.Target})
	}
	for _, run := range interrupted {
		q.checkForCrash(run)
	}
}

// wasInService reports whether a target was in service when it broke off a request that is noted now. A
// target that is leaving may stop during any request, so its end counts against none. A target that has
// recently broken off other requests while in service counts as in service: when it breaks off several, the
// last may be noted after it has left the list of targets.
func (q *Quarantine) wasInService(target string) bool {
	return q.fleet.IsInService(target) || q.hasBrokenRuns(target)
}

// hasBrokenRuns reports whether a target has recently broken off requests, or fallen silent, while in service.
func (q *Quarantine) hasBrokenRuns(target string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.suspects.byTarget[target]
	return ok
}

// hasSuspects reports whether a target has suspects, that is, runs for which it is not known yet whether it
// has crashed.
func (q *Quarantine) hasSuspects(target string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.suspects.byTarget[target]
	return ok && len(t.suspects) > 0
}

const (
	// maxVerdictWait bounds how long the next attempt of an online request waits until it is known whether the target
	// of the last one has crashed. The first probe is sent after 10 ms; without the wait, a request that crashes
	// targets crashes its second one before its first crash counts.
	maxVerdictWait      = 60 * time.Millisecond
	verdictPollInterval = 5 * time.Millisecond
)

// awaitVerdict waits, for at most maxVerdictWait, while it is not known whether an earlier run of an online request has
// crashed its target.
func (q *Quarantine) awaitVerdict(c *quarantine.Content) {
	for waited := time.Duration(0); waited < maxVerdictWait && q.isSuspectRun(c); waited += verdictPollInterval {
		sleep.For(context.Background(), verdictPollInterval)
	}
}

// isSuspectRun reports whether a run of an online request is among the suspects.
func (q *Quarantine) isSuspectRun(c *quarantine.Content) bool {
	if q.suspects.len() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.suspects.byTarget {
		if slices.ContainsFunc(t.suspects, func(s suspect) bool { return s.content == c }) {
			return true
		}
	}
	return false
}

// addSuspect adds a run to the suspects of its target and reports whether the target has to be probed. If the
// target is already known to have crashed since the run began, it returns the evidence instead. A run at a
// silent target that has sent nothing since the run began is not added: the target may have been lost before
// the run.
func (q *Quarantine) addSuspect(s suspect, target string, hasSentData bool) (evidence string, needsProbe bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.suspects.getOrCreateTarget(target)
	if t.evidence != "" && s.beganAt.Before(t.crashedAt) {
		return t.evidence, false
	}
	t.evidence = "" // a crash before the run began: the target has restarted under the same id
	if t.isSilent && !hasSentData {
		return "", false
	}
	if q.suspects.len() >= maxSuspects {
		q.overflow.Inc(1)
		return "", false
	}
	t.suspects = append(t.suspects, s)
	q.suspects.count.Add(1)
	needsProbe = !t.isSilent && !t.isProbing
	t.isProbing = t.isProbing || needsProbe
	return "", needsProbe
}

// NoteTargetsGone notes the ids of targets that are no longer on the list of targets. Their suspects count as
// crashes.
func (q *Quarantine) NoteTargetsGone(ids []string) {
	for _, id := range ids {
		q.confirmCrash(id, "gone from the list")
	}
}

// confirmCrash counts the crash of a target against the requests of its suspects. evidence describes how the
// crash was detected.
func (q *Quarantine) confirmCrash(target, evidence string) {
	now := time.Now()
	q.mu.Lock()
	q.suspects.prune(now)
	var logs []func()
	// The crash counts before the lock is released: the next attempt of a request that is no suspect any more must
	// find its crash.
	for _, s := range q.suspects.take(now, target, evidence) {
		logs = append(logs, q.countCrash(s, target, evidence))
	}
	q.mu.Unlock()
	for _, logCrash := range logs {
		logCrash()
	}
}
