package batch

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/shardmap"
	"arbutusramp/core/structs"
)

// shard is this entry's work on one shard: first as a follower of its stream
// that waits for the time to claim, then as its owner.
type shard struct {
	m      *Manager
	id     structs.Shard
	stream string

	mu    sync.Mutex // guards what follows
	state *jobs.State
	// sched and epoch are set while this entry is the owner.
	sched *jobs.Sched
	epoch structs.Epoch
	// draining stops new items and releasing new records during a handover.
	draining, releasing bool
	quietUntil          time.Time // nothing is handed out before
	unknownUntil        time.Time // until then sides may hold items of an owner that was lost
	seq                 uint64
	waiting             []*proposal
	flying              *flight
	lastRead            time.Time      // when the last read that went through was begun
	firstKept           structs.Offset // the oldest offset that the log service keeps
	limit               int            // bytes of one append, halved when the log service refuses it as too large
	acks                map[jobs.Key][]func()
	intents             map[structs.JobID]bool // operators' decisions already proposed
	changed             chan struct{}          // closed and replaced at each change of state
	outbox              []handout

	sinceSnapshot struct {
		count, bytes int
		at           time.Time
		through      structs.Offset // of the last snapshot
	}
	lastRewrite time.Time

	wake   chan struct{} // for the writer
	outCh  chan struct{} // for the sender
	asked  time.Time     // when the holder was last asked to hand over
	ending context.CancelFunc
}

func newShard(m *Manager, id structs.Shard) *shard {
	return &shard{
		m: m, id: id, stream: jobs.StreamName(id), limit: maxEnvelope,
		acks:    make(map[jobs.Key][]func()),
		intents: make(map[structs.JobID]bool),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		outCh:   make(chan struct{}, 1),
	}
}

// run follows the shard until this entry owns it, then owns it until it is
// superseded, released or ctx ends.
func (s *shard) run(ctx context.Context) {
	if !s.recover(ctx) {
		return
	}
	for ctx.Err() == nil {
		if !s.readTail(ctx, s.m.tune.ProbeEvery/2) {
			return
		}
		if !s.stillWanted() {
			return
		}
		switch s.decide() {
		case shardmap.Claim:
			if s.claim(ctx) {
				s.own(ctx)
				return
			}
		case shardmap.AskHandover:
			s.askHandover(ctx)
		}
	}
}

func (s *shard) stillWanted() bool {
	hosts := s.m.o.Members()
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	return !s.m.leaving.Load() && s.m.wants(s.id, hosts)
}

func (s *shard) decide() shardmap.Action {
	s.mu.Lock()
	o := shardmap.Owner{Epoch: s.state.Epoch, Writer: s.state.Owner, Released: s.state.Released}
	s.mu.Unlock()
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	return shardmap.Decide(s.m.now(), s.m.self, s.id, o, s.m.probed)
}

// isRead says whether the shard's stream has been read.
func (s *shard) isRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != nil
}

// holder returns the host that the stream names as owner, and its peer address.
func (s *shard) holder() (structs.HostID, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return "", ""
	}
	return s.state.Owner.Host, s.state.OwnerAddr
}

// ownerEpoch returns the epoch under which this entry owns the shard, or 0.
func (s *shard) ownerEpoch() structs.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// own does the owner's work until the shard is lost.
func (s *shard) own(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.ending = cancel
	s.stopRecent(s.m.sides.sendAll)
	s.mu.Unlock()
	s.m.metrics.takeovers.Inc(1)
	s.m.metrics.ownedShards.Update(int64(len(s.m.owned())))
	s.m.wakeDispatch()
	var wg sync.WaitGroup
	wg.Go(func() { s.writeLoop(ctx) })
	wg.Go(func() { s.sendLoop(ctx) })
	wg.Go(func() { s.housekeepLoop(ctx) })
	for s.readTail(ctx, s.m.tune.ReadWait) && s.ownerEpoch() != 0 {
	}
	cancel()
	s.drop(errs.New(errs.NotOwner, "the shard has moved").WithRetry(retryMoved))
	wg.Wait()
	s.m.metrics.ownedShards.Update(int64(len(s.m.owned())))
}

// retryMoved is when to come back to a shard that has just moved.
const retryMoved = 500 * time.Millisecond

// drop ends the ownership and fails all that waits for it.
func (s *shard) drop(err *errs.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = 0
	s.sched = nil
	if s.flying != nil {
		for _, p := range s.flying.proposals {
			s.settle(p, err)
		}
		s.flying.finish()
		s.flying = nil
	}
	for _, p := range s.waiting {
		s.settle(p, err)
	}
	s.waiting = nil
	s.acks = make(map[jobs.Key][]func())
	s.outbox = nil
	s.signal()
}

// signal tells those that wait for a change of state; s.mu is held.
func (s *shard) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply folds entries of the stream; s.mu is held.
func (s *shard) apply(entries []structs.LogEntry, envs []*structs.Envelope) {
	for i, e := range entries {
		var eff jobs.Effects
		if envs[i] == nil {
			eff = s.state.ApplyEntry(e)
		} else {
			eff = s.state.Apply(e.Offset, envs[i])
		}
		s.sinceSnapshot.count++
		s.sinceSnapshot.bytes += len(e.Body)
		if s.epoch == 0 {
			continue
		}
		s.applied(envs[i], &eff)
	}
	s.signal()
}

// applied does what an owner does once an envelope is folded; s.mu is held.
func (s *shard) applied(env *structs.Envelope, eff *jobs.Effects) {
	s.stopCancelled(eff)
	s.sched.Apply(eff)
	s.m.metrics.itemsDone.Inc(int64(len(eff.Done)))
	s.m.metrics.itemsLate.Inc(int64(eff.Late))
	for _, key := range eff.Done {
		s.ack(key)
	}
	if f := s.flying; f != nil && env != nil && s.isFlight(f, env) {
		s.landed(f, eff.Void)
	}
	// Another host has claimed the shard: all that this one would still append is void, and
	// what it would hand out is the new owner's to hand out.
	if s.state.Epoch != s.epoch && !s.m.o.Broken.IgnoreEpochs {
		s.m.log.Warn("shard taken over", "shard", s.id, "epoch", s.epoch,
			"by", s.state.Owner.Host, "new_epoch", s.state.Epoch)
		s.epoch = 0
		s.ending()
		return
	}
	if s.state.Released {
		s.epoch = 0
		s.ending()
		return
	}
	if len(eff.Runnable) > 0 {
		s.m.wakeDispatch()
	}
}

// isFlight says whether env is the flight's append. The epoch counts too: a late copy
// of an append of an earlier epoch of this same process can have the same Seq.
func (s *shard) isFlight(f *flight, env *structs.Envelope) bool {
	return env.Writer == s.m.self && env.Epoch == s.epoch && env.Seq == f.seq
}

// ack tells sides that the outcome of key is in the log; s.mu is held.
func (s *shard) ack(key jobs.Key) {
	for _, f := range s.acks[key] {
		f()
	}
	delete(s.acks, key)
}
