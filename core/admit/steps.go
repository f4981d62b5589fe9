package admit

import "time"

// step is what one decoding step of the engine was seen to do: the engine gives one
// token to each running stream at the end of a step.
type step struct {
	took    time.Duration // since the same stream's token before
	online  int           // streams that got a token
	batch   int
	prefill int // prompt tokens of the streams that got their first token
	// prefillBatch is the part of prefill that belongs to batch requests.
	prefillBatch int
}

// streams is how many streams the step served.
func (s step) streams() int { return s.online + s.batch }

// stepTracker groups token times into the engine's steps.
type stepTracker struct {
	seq     uint64
	opened  time.Time
	current step
	next    step // first tokens that came ahead of their step's other tokens
	typical time.Duration
}

// first notes a first token and returns the number of the step that it belongs to.
func (t *stepTracker) first(now time.Time, batch bool, prompt int) uint64 {
	early := t.typical > 0 && now.Sub(t.opened) > t.typical/2
	if early {
		t.next.add(batch, prompt)
		return t.seq + 1
	}
	t.current.add(batch, prompt)
	return t.seq
}

// token notes a later token of a stream whose token before came at lastAt in step
// lastSeq. It returns the token's step and, when this token opens a new
// step, the one that it closes.
func (t *stepTracker) token(now time.Time, batch bool, lastSeq uint64, lastAt time.Time) (uint64, step, bool) {
	if lastSeq < t.seq {
		t.current.add(batch, 0)
		return t.seq, step{}, false
	}
	closed := t.current
	t.seq = max(t.seq, lastSeq) + 1
	t.opened = now
	t.current = t.next
	t.next = step{}
	t.current.took = now.Sub(lastAt)
	t.current.add(batch, 0)
	t.smooth(t.current.took)
	return t.seq, closed, closed.took > 0
}

// smooth follows the typical step time.
func (t *stepTracker) smooth(took time.Duration) {
	if t.typical == 0 {
		t.typical = took
		return
	}
	t.typical += (took - t.typical) / 16
}

func (s *step) add(batch bool, prompt int) {
	s.prefill += prompt
	if batch {
		s.batch++
		s.prefillBatch += prompt
		return
	}
	s.online++
}
