package quarantine

import (
	"slices"
	"time"

	"arbutusramp/core/quarantine"
)

const (
	// suspicionTTL is how long after a target has broken off requests its crash may become known. An entry of a target that has
	// crashed lapses within three seconds, and is read within half a second.
	suspicionTTL = 5 * time.Second
	// maxSuspects bounds the broken requests that are followed.
	maxSuspects = 4096
)

// suspect is a request that a target has broken off, or that this process has ended while the target broke off others.
type suspect struct {
	content *quarantine.Content
	start   string // see quarantine.Broken
	began   time.Time
	broken  time.Time
	isEarly bool // the run had not passed
}

func suspectOf(b quarantine.Broken, broken time.Time) suspect {
	return suspect{content: b.Content, start: b.Start, began: b.Began, broken: broken, isEarly: !b.HasPassed}
}

// brokenTarget is a target that has broken off requests.
type brokenTarget struct {
	suspects  []suspect
	last      time.Time // when it has last broken one off
	isProbing bool
	isSilent  bool // its last request was ended here because it sent nothing
	// evidence shows that it has crashed; empty while there is none. crashedAt is when that was found.
	evidence  string
	crashedAt time.Time
}

// suspects are the requests that targets have broken off lately.
type suspects struct {
	byTarget map[string]*brokenTarget
	n        int
}

func newSuspects() suspects { return suspects{byTarget: make(map[string]*brokenTarget)} }

func (s *suspects) len() int { return s.n }

// prune forgets targets that have broken off nothing for suspicionTTL.
func (s *suspects) prune(now time.Time) {
	for id, t := range s.byTarget {
		if now.Sub(t.last) > suspicionTTL {
			s.n -= len(t.suspects)
			delete(s.byTarget, id)
		}
	}
}

// take removes and returns the suspects of a target that is known to have crashed.
func (s *suspects) take(now time.Time, id, evidence string) []suspect {
	t, ok := s.byTarget[id]
	if !ok {
		return nil
	}
	list := t.suspects
	s.n -= len(list)
	t.suspects, t.evidence, t.crashedAt = nil, evidence, now
	return list
}

// dismiss drops the suspects that a target has broken off before it was seen to run. It reports whether there are
// others.
func (s *suspects) dismiss(id string, seen time.Time) (hasOthers bool) {
	t, ok := s.byTarget[id]
	if !ok {
		return false
	}
	s.n -= len(t.suspects)
	t.suspects = slices.DeleteFunc(t.suspects, func(b suspect) bool { return b.broken.Before(seen) })
	s.n += len(t.suspects)
	return len(t.suspects) > 0
}

// target returns what is known of a target that has broken off a request.
func (s *suspects) target(id string) *brokenTarget {
	t, ok := s.byTarget[id]
	if !ok {
		t = &brokenTarget{}
		s.byTarget[id] = t
	}
	return t
}

// hasBroken says whether a target has broken off a request at or after a time.
func (s *suspects) hasBroken(id string, since time.Time) bool {
	t, ok := s.byTarget[id]
	return ok && !t.last.Before(since)
}

// BrokenOff notes a broken run. Whether the target has crashed, or only the connection, shows within suspicionTTL.
func (q *Quarantine) BrokenOff(b quarantine.Broken) {
	now := time.Now()
	s := suspectOf(b, now)
	q.broken.Inc(1)
	q.log.Warn("broken off by target", "request", b.Content.Request.ID, "content", b.Content.Fingerprint().String(), "target", b.Target.ID,
		"from_event", b.From, "to_event", b.To, "error", b.Err.Error())
	if !q.isOn || !b.HasCrashed && !q.isExpected(b.Target.ID) {
		return
	}
	interrupted := q.noteBroken(now, b.Target.ID, false)
	switch {
	case b.Counts() && b.HasCrashed:
		q.noteCrash(s, b.Target.ID, "known to have crashed")
	case b.Counts():
		q.follow(interruption{suspect: s, target: b.Target})
	}
	for _, i := range interrupted {
		q.follow(i)
	}
}

// noteBroken notes that a target has broken off a request, or that it is silent. It returns the runs there that this process has ended
// shortly before.
func (q *Quarantine) noteBroken(now time.Time, target string, isSilent bool) interruptions {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.suspects.prune(now)
	t := q.suspects.target(target)
	t.last, t.isSilent = now, isSilent
	rest, taken := q.interrupted.take(now, target)
	q.interrupted = rest
	return taken
}

// follow finds out whether the target has crashed under a run. A target that is silent and has sent nothing since the run began may have
// been lost before.
func (q *Quarantine) follow(i interruption) {
	wasHeard := q.fleet.HeardSince(i.target.ID, i.began)
	evidence, needsProbe := q.suspect(i.suspect, i.target.ID, wasHeard)
	if evidence != "" {
		q.noteCrash(i.suspect, i.target.ID, evidence)
		return
	}
	if needsProbe {
		go q.probe(i.target, i.broken)
	}
}

// FellSilent notes a run that this process has ended because its target sent nothing for too long. A target that answers nothing can't be
// probed: only the list shows whether it has crashed.
func (q *Quarantine) FellSilent(b quarantine.Broken) {
	now := time.Now()
	if !q.isOn || !q.isExpected(b.Target.ID) {
		return
	}
	q.silent.Inc(1)
	interrupted := q.noteBroken(now, b.Target.ID, true)
	if b.Counts() {
		interrupted = append(interrupted, interruption{suspect: suspectOf(b, now), target: b.Target})
	}
	for _, i := range interrupted {
		q.follow(i)
	}
}

// isExpected says whether a target was expected to be there when it broke off a request. One that is leaving may stop under any
// request, so that it counts against none. Of several requests that it breaks off, the last may come after it is off the list.
func (q *Quarantine) isExpected(target string) bool {
	return q.fleet.IsInService(target) || q.isBroken(target)
}

// isBroken says whether a target has broken off requests while it was in service, a moment ago.
func (q *Quarantine) isBroken(target string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.suspects.byTarget[target]
	return ok
}

// hasSuspects says whether a target has broken off requests of which it is not known yet whether it has crashed.
func (q *Quarantine) hasSuspects(target string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.suspects.byTarget[target]
	return ok && len(t.suspects) > 0
}

// suspect adds a suspect, unless its target is silent and was not heard in its run. It returns the evidence that the target has crashed, if
// there is some already, and whether the target has to be probed.
func (q *Quarantine) suspect(s suspect, target string, wasHeard bool) (evidence string, needsProbe bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.suspects.target(target)
	if t.evidence != "" && s.began.Before(t.crashedAt) {
		return t.evidence, false
	}
	t.evidence = "" // of an earlier start under its id
	if t.isSilent && !wasHeard {
		return "", false
	}
	if q.suspects.n >= maxSuspects {
		q.overflow.Inc(1)
		return "", false
	}
	t.suspects = append(t.suspects, s)
	q.suspects.n++
	needsProbe = !t.isSilent && !t.isProbing
	t.isProbing = t.isProbing || needsProbe
	return "", needsProbe
}

// TargetsGone notes targets that are no longer on the list.
func (q *Quarantine) TargetsGone(ids []string) {
	for _, id := range ids {
		q.confirm(id, "gone from the list")
	}
}

// confirm counts the crash of a target against the requests that it has broken off.
func (q *Quarantine) confirm(target, evidence string) {
	now := time.Now()
	q.mu.Lock()
	q.suspects.prune(now)
	list := q.suspects.take(now, target, evidence)
	q.mu.Unlock()
	for _, s := range list {
		q.noteCrash(s, target, evidence)
	}
}
