package admit

import (
	"time"

	"arbutusramp/core/errs"
)

// schedule brings the target's load to what the policy wants now.
func (m *Machine) schedule(now time.Time) []Action {
	out := m.expire(now)
	if m.online.len() > 0 && m.inFlight.online >= m.limit.online() {
		m.limit.widen(now)
	}
	out = m.startOnline(now, out)
	m.peak.observe(now, m.inFlight.online+m.online.len(), m.policy.hold)
	m.usual.observe(now, m.inFlight.online+m.online.len())
	room, harmless := m.room(), min(m.harmless(now), m.besideBurst(now))
	out = m.preempt(min(room, harmless+m.policy.slack(harmless)), out)
	return m.startBatch(now, min(room, harmless), out)
}

// expire refuses queued online requests whose deadline has passed. Batch items
// have no caller who waits; their attempt is bounded by the shell.
func (m *Machine) expire(now time.Time) []Action {
	var out []Action
	for r := m.online.peek(); r != nil && late(now, r); r = m.online.peek() {
		m.drop(r)
		err := errs.New(errs.DeadlineUnmet, "the deadline passed while the request was queued").
			WithRetry(m.retryAfter())
		out = append(out, refuse(r.ID, err))
	}
	return out
}

func late(now time.Time, r *request) bool { return !r.Deadline.IsZero() && !now.Before(r.Deadline) }

// startOnline gives the target queued online requests up to the limit, whatever batch
// requests it has: those are preempted, never waited for.
func (m *Machine) startOnline(now time.Time, out []Action) []Action {
	for m.inFlight.online < m.limit.online() && m.online.len() > 0 {
		out = append(out, m.start(now, m.online.peek()))
	}
	return out
}

// startBatch gives the target batch requests up to want, a few prompts at a time: a step
// that computes many prompts at once holds up every stream of the engine.
func (m *Machine) startBatch(now time.Time, want int, out []Action) []Action {
	for m.inFlight.activeBatch() < want && m.batch.len() > 0 {
		r := m.batch.peek()
		if !m.fits(r) {
			return out
		}
		out = append(out, m.start(now, r))
	}
	return out
}

// fits reports whether batch request r may start beside what runs.
func (m *Machine) fits(r *request) bool {
	if m.inFlight.alone > 0 || r.Alone {
		return m.inFlight.batch == 0
	}
	if m.atRisk || m.inFlight.onlinePrefill > 0 && m.policy.holdStarts {
		return false
	}
	if m.inFlight.batchPrefilling == 0 {
		return true
	}
	return m.inFlight.batchPrefill+r.prefill() <= m.policy.prefillTokens
}

func (m *Machine) start(now time.Time, r *request) Action {
	m.drop(r)
	r.started = now
	if !r.batch() && m.model.ready() {
		r.expected = m.predictArrival(r.PromptTokens)
	}
	m.running[r.ID] = r
	m.inFlight.entered(r)
	return Action{Kind: Start, ID: r.ID}
}

// stop marks r as stopping; it counts as running until Ended.
func (m *Machine) stop(r *request) Action {
	r.stopping = true
	if r.batch() {
		m.inFlight.stopping++
	}
	return Action{Kind: Preempt, ID: r.ID}
}

// drop takes r out of its queue.
func (m *Machine) drop(r *request) {
	delete(m.queued, r.ID)
	m.queueOf(r).remove(r)
}

func (m *Machine) queueOf(r *request) *queue {
	if r.batch() {
		return &m.batch
	}
	return &m.online
}

// turnAway returns the refusal of an online request that can't be served in
// time, or nil.
func (m *Machine) turnAway(now time.Time, r Request) *errs.Error {
	if m.online.len() >= m.cfg.MaxQueue {
		return errs.Newf(errs.Overloaded, "%d online requests wait", m.online.len()).WithRetry(m.retryAfter())
	}
	if r.Deadline.IsZero() {
		return nil
	}
	wait := m.queueWait()
	first := m.model.stepTime(m.inFlight.online+1, r.PromptTokens)
	if now.Add(wait + first).Before(r.Deadline) {
		return nil
	}
	return errs.Newf(errs.DeadlineUnmet, "the first token would take %s", wait+first).WithRetry(m.retryAfter())
}

// queueWait estimates how long an online request that arrives now waits for
// its start.
func (m *Machine) queueWait() time.Duration {
	ahead := m.inFlight.online + m.online.len() + 1 - m.limit.online()
	if ahead <= 0 {
		return 0
	}
	rate := float64(m.limit.online()) / max(m.service, minService.Seconds())
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// retryAfter is when a refused caller should come back: when what waits now
// has been started.
func (m *Machine) retryAfter() time.Duration { return max(minRetry, m.queueWait()) }

const (
	minService = time.Millisecond
	minRetry   = 100 * time.Millisecond
)
