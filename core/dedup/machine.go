package dedup

import (
	"cmp"
	"container/list"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

const (
	// DefaultWindow is how long keys are remembered.
	DefaultWindow = 10 * time.Minute
	// DefaultSkew is by how much clocks may differ.
	DefaultSkew = 2 * time.Second
	// DefaultPropagation is how long a change of configuration takes to be in force everywhere.
	DefaultPropagation = 4 * time.Second
	// DefaultMaxBytes bounds the answers that are kept.
	DefaultMaxBytes = 32 << 20
	// DefaultMaxKeys bounds the keys that are remembered.
	DefaultMaxKeys = 1 << 18

	retryFull = time.Second // when to come back to a full memory
)

// Config is the settings of a Machine; zero fields take the defaults above.
type Config struct {
	Window      time.Duration
	Skew        time.Duration
	Propagation time.Duration
	MaxBytes    int
	MaxKeys     int
}

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, DefaultWindow)
	c.Skew = cmp.Or(c.Skew, DefaultSkew)
	c.Propagation = cmp.Or(c.Propagation, DefaultPropagation)
	c.MaxBytes = cmp.Or(c.MaxBytes, DefaultMaxBytes)
	c.MaxKeys = cmp.Or(c.MaxKeys, DefaultMaxKeys)
	return c
}

// Key names one request of one workspace over its resends.
type Key struct {
	Workspace structs.WorkspaceID
	Key       string
}

// Answer is how the one run of a key ended.
type Answer struct {
	Status  int
	Headers []structs.Header
	Body    []byte
	// Err is set when the run failed after it may have had its effect.
	Err *errs.Error
}

// size is about what the answer takes in memory, in bytes.
func (a *Answer) size() int {
	const base = 64
	n := base + len(a.Body)
	for _, h := range a.Headers {
		n += base + len(h.Name) + len(h.Value)
	}
	return n
}

// Verdict says what to do with a request.
type Verdict uint8

const (
	// Run passes the request on, then calls Finish or Abandon.
	Run Verdict = iota + 1
	// Replay answers with the answer of the earlier run.
	Replay
	// InProgress refuses: the first run has not ended.
	InProgress
	// Refuse refuses for another reason.
	Refuse
)

// Decision is a Verdict with what goes with it.
type Decision struct {
	Verdict Verdict
	Answer  *Answer     // for Replay; read-only
	Err     *errs.Error // for InProgress and Refuse
}

type record struct {
	key      Key
	hash     uint64
	running  bool
	forgetAt time.Time
	answer   *Answer       // nil while running, and after it was dropped for space
	held     *list.Element // in Machine.held while answer is set
}

// Machine remembers the keys of one target. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	since    time.Time // nothing is known of what ran before
	records  map[Key]*record
	finished list.List // of *record, oldest first
	held     list.List // of *record with an answer, oldest first
	bytes    int
}

// New returns the Machine of an incarnation that started at start and knows nothing of
// earlier ones.
func New(cfg Config, start time.Time) *Machine {
	return &Machine{cfg: cfg.withDefaults(), since: start, records: make(map[Key]*record)}
}

// Added notes when the target was added to the configuration (milliseconds
// since 1970). Until every entry knew, its keys had another home.
func (m *Machine) Added(addedMs int64) {
	if addedMs == 0 {
		return
	}
	known := time.UnixMilli(addedMs).Add(m.cfg.Propagation)
	if known.After(m.since) {
		m.since = known
	}
}

// Begin decides on a request with a key. hash is of its content; issuedMs is when
// the client first used the key (milliseconds since 1970), 0 if it does not say.
func (m *Machine) Begin(now time.Time, k Key, hash uint64, issuedMs int64) Decision {
	m.forget(now)
	if r, ok := m.records[k]; ok {
		return r.again(hash)
	}
	if err := m.unverifiable(now, issuedMs); err != nil {
		return Decision{Verdict: Refuse, Err: err}
	}
	if len(m.records) >= m.cfg.MaxKeys {
		err := errs.New(errs.Overloaded, "too many idempotency keys are remembered").WithRetry(retryFull)
		return Decision{Verdict: Refuse, Err: err}
	}
	m.records[k] = &record{key: k, hash: hash, running: true}
	return Decision{Verdict: Run}
}

func (r *record) again(hash uint64) Decision {
	switch {
	case r.hash != hash:
		return Decision{Verdict: Refuse, Err: errs.New(errs.KeyReused, "the key was used for other content")}
	case r.running:
		return Decision{Verdict: InProgress, Err: errs.New(errs.KeyInProgress, "the first request with this key is running")}
	case r.answer == nil:
		return Decision{Verdict: Refuse, Err: errs.New(errs.KeyUnverifiable, "the request ran; its answer is no longer kept").WithRan(errs.RanYes)}
	}
	return Decision{Verdict: Replay, Answer: r.answer}
}

// unverifiable returns why a key that is not remembered may have run all the same.
func (m *Machine) unverifiable(now time.Time, issuedMs int64) *errs.Error {
	if issuedMs == 0 {
		if now.Before(m.since.Add(m.cfg.Window + m.cfg.Skew)) {
			return errs.New(errs.KeyUnverifiable, "this side has not run for long enough to know a key without an issue time")
		}
		return nil
	}
	issued := time.UnixMilli(issuedMs)
	switch {
	case issued.Before(m.since.Add(m.cfg.Skew)):
		return errs.New(errs.KeyUnverifiable, "the key was issued before this side could remember it")
	case issued.Before(now.Add(-m.cfg.Window)):
		return errs.New(errs.KeyUnverifiable, "the key is older than keys are remembered")
	case issued.After(now.Add(m.cfg.Skew)):
		return errs.New(errs.KeyUnverifiable, "the key's issue time is in the future")
	}
	return nil
}

// Finish notes the end of k's run, whatever its outcome, if it may have had an effect.
func (m *Machine) Finish(now time.Time, k Key, a Answer) {
	r, ok := m.records[k]
	if !ok || !r.running {
		return
	}
	r.running = false
	// A key passes unverifiable for Window after its issue; by clocks that
	// differ it may have been issued Skew later than the run, and is judged Skew late.
	r.forgetAt = now.Add(m.cfg.Window + 2*m.cfg.Skew)
	m.finished.PushBack(r)
	m.hold(r, &a)
}

func (m *Machine) hold(r *record, a *Answer) {
	n := a.size()
	if n > m.cfg.MaxBytes {
		return
	}
	r.answer = a
	r.held = m.held.PushBack(r)
	m.bytes += n
	for m.bytes > m.cfg.MaxBytes {
		m.drop(m.held.Front().Value.(*record))
	}
}

func (m *Machine) drop(r *record) {
	if r.answer == nil {
		return
	}
	m.bytes -= r.answer.size()
	m.held.Remove(r.held)
	r.answer, r.held = nil, nil
}

// Abandon forgets a running key: its request was surely not run.
func (m *Machine) Abandon(k Key) {
	if r, ok := m.records[k]; ok && r.running {
		delete(m.records, k)
	}
}

// Len returns how many keys are remembered.
func (m *Machine) Len() int { return len(m.records) }

func (m *Machine) forget(now time.Time) {
	for e := m.finished.Front(); e != nil; e = m.finished.Front() {
		r := e.Value.(*record)
		if now.Before(r.forgetAt) {
			return
		}
		m.finished.Remove(e)
		m.drop(r)
		delete(m.records, r.key)
	}
}
