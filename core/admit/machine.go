package admit

import (
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// request is one request that is queued or at the target.
type request struct {
	Request
	arrived time.Time
	started time.Time
	// batchCost is the machine's batchCost when the request arrived.
	batchCost float64
	// alone is what its first token would take without batch, in seconds, as predicted
	// when it arrived; 0 if there was no model yet.
	alone float64
	// expected is the seconds from its start to its first token, as predicted then.
	expected float64

	passed    int  // idle steps of the engine that have left it unserved
	streaming bool // its first token has come
	stopping  bool // it was preempted or withdrawn and has not ended yet
	tokens    int
	step      uint64
	tokenAt   time.Time
}

// batch reports whether the request is of class batch.
func (r *request) batch() bool { return r.Class == structs.ClassBatch }

// Machine is the admission policy of one target. It is not safe for
// concurrent use: the shell calls it under one lock and carries out the
// returned actions in order.
type Machine struct {
	cfg     Config
	policy  policy
	limit   limiter
	model   model
	steps   stepTracker
	floor   floor
	running map[ID]*request
	queued  map[ID]*request
	online  queue
	batch   queue

	inFlight counts
	// batchCost is the seconds by which batch streams have lengthened steps so far.
	batchCost float64
	// lastStop is when a stopped request last left: its place is free one step later.
	lastStop time.Time
	peak     peak
	usual    usual
	arrivals arrivals
	// bias is the smoothed ratio of the time of first tokens to what was predicted.
	bias     float64
	service  float64 // smoothed seconds that an online request spends at the target
	draining bool
	atRisk   bool // an online request would get its first token too late beside what runs
}

// counts is what the target has been given.
type counts struct {
	online, batch   int
	stopping        int // batch requests that were preempted and have not ended
	alone           int
	onlinePrefill   int // prompt tokens of online requests without a first token
	batchPrefill    int
	batchPrefilling int // batch requests without a first token
}

// New returns the policy of a target that has been given nothing yet.
func New(cfg Config, now time.Time) *Machine {
	if cfg.MaxLimit <= 0 {
		cfg.MaxLimit = DefaultMaxLimit
	}
	if cfg.MaxQueue <= 0 {
		cfg.MaxQueue = DefaultMaxQueue
	}
	return &Machine{
		cfg:      cfg,
		policy:   newPolicy(cfg.Headroom),
		limit:    newLimiter(cfg.MaxLimit),
		running:  make(map[ID]*request),
		queued:   make(map[ID]*request),
		peak:     peak{at: now},
		usual:    usual{at: now},
		arrivals: arrivals{at: now},
	}
}

// Arrive takes in a request. The actions start it, refuse it, or preempt others for it;
// without an action about it, it waits.
func (m *Machine) Arrive(now time.Time, r Request) []Action {
	if m.draining {
		return []Action{refuse(r.ID, errs.New(errs.Draining, "the target takes nothing new"))}
	}
	if r.Class == structs.ClassOnline {
		m.arrivals.observe(now)
		if err := m.turnAway(now, r); err != nil {
			return []Action{refuse(r.ID, err)}
		}
	}
	q := &request{Request: r, arrived: now, batchCost: m.batchCost, alone: m.firstAlone(r)}
	m.queued[r.ID] = q
	m.queueOf(q).push(q)
	return m.schedule(now)
}

// FirstToken notes the first token, or the first byte of a plain service.
func (m *Machine) FirstToken(now time.Time, id ID) []Action {
	r := m.running[id]
	if r == nil || r.streaming {
		return nil
	}
	m.inFlight.prefilled(r)
	r.streaming = true
	r.tokens = 1
	r.tokenAt = now
	r.step = m.steps.first(now, r)
	if !r.batch() {
		took := now.Sub(r.arrived)
		m.learnDelay(r, now.Sub(r.started))
		m.floor.observe(took, m.alone(r, took), r.PromptTokens)
	}
	return m.schedule(now)
}

// Token notes each later token of a stream. Targets that give none (plain
// services) need no calls.
func (m *Machine) Token(now time.Time, id ID) []Action {
	r := m.running[id]
	if r == nil {
		return nil
	}
	if !r.streaming {
		return m.FirstToken(now, id)
	}
	seq, closed, ok := m.steps.token(now, r)
	r.step = seq
	r.tokenAt = now
	r.tokens++
	if !ok {
		return nil
	}
	m.stepClosed(now, closed)
	return m.schedule(now)
}

// stepClosed learns from one step of the engine.
func (m *Machine) stepClosed(now time.Time, s step) {
	s.unserved = m.unserved(now)
	m.model.observe(s)
	m.batchCost += m.model.perStream*float64(s.batch) + m.model.perToken*float64(s.prefillBatch)
	m.limit.step(now, s, &m.model)
	idle := m.model.idleInside(s) && m.lastStop.Before(m.steps.before.Add(-wire))
	if idle && m.passOver(now) {
		m.limit.queuedInside(now, s.streams())
	}
}

// passOver notes an idle step for each request that it left unserved, and reports whether
// one was passed over often enough to show a queue inside the target.
func (m *Machine) passOver(now time.Time) bool {
	often := false
	for _, r := range m.running {
		if m.isUnserved(now, r) {
			r.passed++
			often = often || r.passed >= passedOver
		}
	}
	return often
}

// unserved counts the requests that the engine had when the last closed step
// began and that have no token yet.
func (m *Machine) unserved(now time.Time) int {
	n := 0
	for _, r := range m.running {
		if m.isUnserved(now, r) {
			n++
		}
	}
	return n
}

// isUnserved leaves out requests without a token for long: they are stuck, and a limit that
// fell below them would fall for ever.
func (m *Machine) isUnserved(now time.Time, r *request) bool {
	if r.streaming || r.stopping || now.Sub(r.started) > stuckAfter {
		return false
	}
	return r.started.Before(m.steps.before.Add(-wire))
}

// stuckAfter is when a request without a first token no longer counts as waiting for a place.
const stuckAfter = 2 * time.Second

// Ended notes that a request has left the target.
func (m *Machine) Ended(now time.Time, id ID, out Outcome) []Action {
	r := m.running[id]
	if r == nil {
		return nil
	}
	delete(m.running, id)
	m.inFlight.left(r)
	if out == Stopped {
		m.lastStop = now
	}
	if out == Finished {
		m.finished(r, now.Sub(r.started))
	}
	return m.schedule(now)
}

// finished learns from a whole answer.
func (m *Machine) finished(r *request, took time.Duration) {
	if !r.batch() {
		m.smoothService(took.Seconds())
	}
	if !m.model.ready() {
		m.limit.call(took, len(m.running)+1)
	}
}

// Withdraw takes back a request that its caller no longer wants. A queued one
// is dropped without an action: it was not run. One at the target gets
// Preempt, and the shell calls Ended once it has stopped.
func (m *Machine) Withdraw(now time.Time, id ID) []Action {
	if q := m.queued[id]; q != nil {
		m.drop(q)
		return m.schedule(now)
	}
	r := m.running[id]
	if r == nil || r.stopping {
		return nil
	}
	return append([]Action{m.stop(r)}, m.schedule(now)...)
}

// Tick lets time pass: deadlines of queued requests, and headroom that is given back
// while online is quiet. Call it at NextTick.
func (m *Machine) Tick(now time.Time) []Action { return m.schedule(now) }

// SetHeadroom changes the policy's setting, 0..1.
func (m *Machine) SetHeadroom(now time.Time, h float64) []Action {
	m.cfg.Headroom = h
	m.policy = newPolicy(h)
	return m.schedule(now)
}

// Drain refuses all that is queued and all that arrives from now on.
// What runs goes on to its end.
func (m *Machine) Drain(time.Time) []Action {
	m.draining = true
	var out []Action
	for _, q := range []*queue{&m.online, &m.batch} {
		for r := q.pop(); r != nil; r = q.pop() {
			delete(m.queued, r.ID)
			out = append(out, refuse(r.ID, errs.New(errs.Draining, "the target is leaving")))
		}
	}
	return out
}

// Drained reports whether nothing is left after Drain.
func (m *Machine) Drained() bool { return m.draining && len(m.running) == 0 && len(m.queued) == 0 }

// Load is the load now; the shell adds the target, its models and its health.
func (m *Machine) Load(now time.Time) structs.Load {
	return structs.Load{
		OnlineInFlight: m.inFlight.online,
		BatchInFlight:  m.inFlight.batch,
		OnlineQueued:   m.online.len(),
		Limit:          m.limit.online(),
		FirstTokenUs:   m.firstTokenNow(now).Microseconds(),
		Draining:       m.draining,
	}
}

// smoothService follows how long online requests stay at the target.
func (m *Machine) smoothService(s float64) {
	const weight = 0.1
	if m.service == 0 {
		m.service = s
		return
	}
	m.service += weight * (s - m.service)
}

func refuse(id ID, err *errs.Error) Action { return Action{Kind: Refuse, ID: id, Err: err} }

// prefill is how many tokens the engine computes before the first token. Of a
// resumed request the prompt's blocks are still cached, as a rule.
func (r *request) prefill() int {
	if r.Generated > 0 {
		return r.Generated
	}
	return r.PromptTokens
}
