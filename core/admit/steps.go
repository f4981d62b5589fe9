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
	// partial says that the time of prefill is not known: a prompt was begun in
	// an earlier step, or may be cached in part.
	partial bool
	// unserved counts requests that the engine had when the step began and
	// that have no token yet: it computes their prompts, or they wait inside.
	unserved int
}

// streams is how many streams the step served.
func (s step) streams() int { return s.online + s.batch }

// stepTracker groups token times into the engine's steps.
type stepTracker struct {
	seq     uint64
	opened  time.Time // when the first token of the current step came
	begun   time.Time // when the step before was opened: the engine began the current one then
	before  time.Time // the same one step earlier
	current step
	next    step // first tokens that came ahead of their step's other tokens
	typical time.Duration
}

// wire is an allowance for the way from the side to its target. A request that was
// passed on so shortly before a step began may have missed it.
const wire = 2 * time.Millisecond

// earlyPart is the part of a step after which a first token belongs to the next step.
const earlyPart = 4

// first notes a first token and returns the number of the step that it belongs to.
func (t *stepTracker) first(now time.Time, r *request) uint64 {
	early := t.typical > 0 && now.Sub(t.opened) > t.typical/earlyPart
	if early {
		t.next.add(r, r.prefill(), r.Generated > 0 || r.started.Before(t.begun))
		return t.seq + 1
	}
	t.current.add(r, r.prefill(), r.Generated > 0 || r.started.Before(t.before))
	return t.seq
}

// token notes a later token of r. It returns the token's step and, when this
// token opens a new step, the one that it closes.
func (t *stepTracker) token(now time.Time, r *request) (uint64, step, bool) {
	if r.step < t.seq {
		t.current.add(r, 0, false)
		return t.seq, step{}, false
	}
	closed := t.current
	alone := r.step > t.seq // no stream but r had its token: that step's time is not known
	t.seq = max(t.seq, r.step) + 1
	t.before = t.begun
	t.begun = t.opened
	t.opened = now
	t.current = t.next
	if alone {
		t.current = step{}
	}
	t.next = step{}
	t.current.took = now.Sub(r.tokenAt)
	t.current.add(r, 0, false)
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

func (s *step) add(r *request, prompt int, partial bool) {
	s.prefill += prompt
	s.partial = s.partial || partial
	if r.batch() {
		s.batch++
		s.prefillBatch += prompt
		return
	}
	s.online++
}
