package batch

import (
	"context"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// maxLeases bounds a release. Items beyond it are handed out again at once.
const maxLeases = 4096

// askEvery is how often the holder of a wanted shard is asked to release it.
const askEvery = time.Second

// claim appends a claim that replaces the epoch folded last, and says whether
// this entry has become the owner.
func (s *shard) claim(ctx context.Context) bool {
	s.mu.Lock()
	prev, from := s.state.Epoch, s.state.Owner.Host
	lost := prev != 0 && !s.state.Released
	s.seq++
	record := structs.JobRecord{Claim: &structs.ShardClaim{Prev: prev, Addr: s.m.addr}}
	env := s.envelope(s.seq, 0, []structs.JobRecord{record})
	s.mu.Unlock()
	body, err := jobs.Encode(env)
	if err != nil {
		s.m.log.Error("can't encode a claim", "shard", s.id, "err", err)
		return false
	}
	for ctx.Err() == nil {
		err := s.appendOnce(ctx, s.stream, body)
		// Read what is there in either case: the answer may be lost, and another
		// claim may have come first.
		if !s.readTail(ctx, resendLeast) {
			return false
		}
		won, decided := s.claimed(prev, lost)
		if decided {
			s.m.log.Info("claim decided", "shard", s.id, "won", won, "prev_epoch", prev, "from", from)
			return won
		}
		if err != nil && !sleep.For(ctx, resendLeast) {
			return false
		}
		if !s.stillWanted() {
			return false
		}
	}
	return false
}

// claimed looks whether the epoch has moved on from prev, and to whom. lost says that
// the owner before did not hand over: sides then have outcomes that it never got, and
// items handed out before those are in would run again for nothing.
func (s *shard) claimed(prev structs.Epoch, lost bool) (won, decided bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Epoch == prev {
		return false, false
	}
	if s.state.Owner != s.m.self {
		return false, true
	}
	now := s.m.now()
	s.epoch = s.state.Epoch
	s.draining, s.releasing = false, false
	s.sched = jobs.NewSched(s.state, now, s.m.tune.OnceGrace)
	s.lastRead = now
	if lost {
		s.quietUntil = now.Add(s.m.tune.TakeoverWait)
		s.unknownUntil = now.Add(s.m.set.ItemTimeout + leaseSlack)
	}
	return true, true
}

// askHandover asks the shard's holder to release it to this entry.
func (s *shard) askHandover(ctx context.Context) {
	now := s.m.now()
	if now.Sub(s.asked) < askEvery {
		return
	}
	s.asked = now
	host, addr := s.holder()
	ctx, cancel := context.WithTimeout(ctx, s.m.tune.ProbeTimeout)
	defer cancel()
	_, err := s.m.peers.Call(ctx, platform.Host{ID: host, Addr: addr},
		&PeerRequest{Op: OpHandover, Shard: s.id, Host: s.m.self.Host})
	if err != nil {
		s.m.log.Debug("handover refused", "shard", s.id, "holder", host, "err", err)
	}
}

// handOver ends the ownership in favour of next: its appends are finished, a
// snapshot and the release are written, and next, which follows the stream by
// then, claims at once.
func (s *shard) handOver(ctx context.Context, next *platform.Host) {
	to := structs.HostID("")
	if next != nil {
		to = next.ID
		call, cancel := context.WithTimeout(ctx, s.m.tune.ProbeTimeout)
		_, err := s.m.peers.Call(call, *next, &PeerRequest{Op: OpOffer, Shard: s.id, Host: s.m.self.Host})
		cancel()
		if err != nil {
			s.m.log.Warn("offer refused", "shard", s.id, "to", to, "err", err)
		}
	}
	s.m.log.Info("handing over", "shard", s.id, "epoch", s.ownerEpoch(), "to", to)
	s.writeSnapshot(ctx)
	s.drain(ctx)
	p, ok := s.proposeRelease()
	if !ok {
		return
	}
	err := s.await(ctx, p)
	if err == nil {
		s.m.metrics.handovers.Inc(1)
		return
	}
	s.m.log.Warn("release not in the log", "shard", s.id, "err", err)
	if errs.Is(err, errs.AppendUnknown) {
		return // on its way; the fold ends the ownership when it sees it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releasing = false
}

// drain stops the handing out and waits until no item is picked but not yet
// sent: released in that state, an item that runs at most once would end as unknown
// though it never ran, and others would wait for a lease that no side has.
func (s *shard) drain(ctx context.Context) {
	for {
		s.mu.Lock()
		s.draining = true
		busy := s.sched != nil && s.sched.HasUnsent()
		changed := s.changed
		s.mu.Unlock()
		if !busy {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// proposeRelease queues the release after all that was proposed before it. From
// then on nothing is handed out or taken.
func (s *shard) proposeRelease() (*proposal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.releasing {
		return nil, false
	}
	leases := s.sched.Held(s.m.now())
	leases = leases[:min(len(leases), maxLeases)]
	p := &proposal{
		record: structs.JobRecord{Release: &structs.ShardRelease{Leases: leases}},
		bytes:  len(leases) * recordOverhead,
	}
	ok := s.propose(p)
	s.releasing = true
	return p, ok
}
