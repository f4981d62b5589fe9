package side

import (
	"sync"
	"time"

	"arbutusramp/core/dedup"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// gate decides whether a request gets as far as the queue. Nothing that it
// refuses was run.
func (s *Side) gate(p *peer, f *structs.Frame) error {
	if f.Stream == 0 {
		return errs.New(errs.BadFrame, "open on stream 0")
	}
	c := newCall(s, p, f.Stream, f.Open)
	s.entered()
	if !p.add(c) {
		s.left()
		return errs.Newf(errs.BadFrame, "stream %d is in use", f.Stream)
	}
	if err := s.check(f.Open); err != nil {
		c.refuse(err)
		return nil
	}
	if f.Open.NonIdempotent && f.Open.Key != "" {
		if !s.passKey(c) {
			return nil
		}
	}
	s.queue.arrive(c.request(), c)
	return nil
}

// check refuses what this side must not or can't pass on.
func (s *Side) check(o *structs.Open) *errs.Error {
	if err := s.closedTo(o.Target); err != nil {
		return err
	}
	switch {
	case o.Generate != nil && s.target.Kind != structs.KindEngine:
		return errs.Newf(errs.BadRequest, "target %q is no model engine", s.target.ID)
	case o.Generate == nil && s.target.Kind != structs.KindService:
		return errs.Newf(errs.BadRequest, "target %q is no plain service", s.target.ID)
	}
	return nil
}

// closedTo refuses what is meant for t while the side stops, or if t is not here; an empty
// t is whatever target stands here.
func (s *Side) closedTo(t structs.TargetID) *errs.Error {
	if s.draining.Load() {
		return drainingErr()
	}
	if t != "" && t != s.target.ID {
		return errs.Newf(errs.NoTarget, "target %q is not here, but %q", t, s.target.ID)
	}
	return nil
}

func drainingErr() *errs.Error { return errs.New(errs.Draining, "the side is stopping") }

// passKey reports whether c is the first with its key. Otherwise it is answered.
func (s *Side) passKey(c *call) bool {
	if err := s.wrongHome(c.open); err != nil {
		c.refuse(err)
		return false
	}
	key := dedup.Key{Workspace: c.open.Workspace, Key: c.open.Key}
	d := s.keys.begin(key, c.open)
	switch d.Verdict {
	case dedup.Run:
		c.key, c.keyed = key, true
		return true
	case dedup.Replay:
		s.metrics.replayed.Inc(1)
		c.replay(d.Answer)
	default:
		c.refuse(d.Err)
	}
	return false
}

// wrongHome refuses a key whose home is another target: the entry's configuration is
// older or newer than the side's, and the other target may have run the key.
func (s *Side) wrongHome(o *structs.Open) *errs.Error {
	state := s.config.state()
	if state == nil || s.target.Kind != structs.KindService {
		return nil
	}
	if _, ok := state.Targets[s.target.ID]; !ok {
		return nil
	}
	home, err := dedup.Home(o.Workspace, o.Key, s.target.Service, state.Targets, time.Now().UnixMilli(), s.o.Settings.KeyWindow)
	if err != nil {
		return errs.As(err)
	}
	if home != s.target.ID {
		return errs.Newf(errs.KeyUnverifiable, "the key belongs to target %q", home)
	}
	return nil
}

// keyGate is dedup.Machine under its lock.
type keyGate struct {
	mu sync.Mutex
	m  *dedup.Machine
}

func (k *keyGate) begin(key dedup.Key, o *structs.Open) dedup.Decision {
	hash := dedup.Hash(o.Method, o.Path, o.Body)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.m.Begin(time.Now(), key, hash, o.KeyIssuedMs)
}

func (k *keyGate) finish(key dedup.Key, a dedup.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.m.Finish(time.Now(), key, a)
}

func (k *keyGate) abandon(key dedup.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.m.Abandon(key)
}

func (k *keyGate) added(ms int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.m.Added(ms)
}
