package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/relay"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// suspects are the sources that failed of late.
type suspects struct {
	mu    sync.Mutex
	until map[structs.HostID]time.Time
}

func (s *suspects) add(now time.Time, id structs.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[structs.HostID]time.Time)
	}
	s.until[id] = now.Add(suspectFor)
}

func (s *suspects) has(now time.Time, id structs.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[id]
	if ok && !now.Before(until) {
		delete(s.until, id)
		return false
	}
	return ok
}

// follow keeps the State at the head: from a parent, else from the log, else
// from a process that still reaches it.
func (f *Follower) follow(ctx context.Context) {
	var nextLog time.Time
	for ctx.Err() == nil {
		members := f.opts.Members()
		if f.fromParents(ctx, relay.Parents(f.self, members), PollWait) {
			continue
		}
		if !f.now().Before(nextLog) {
			if err := f.fromLog(ctx, PollWait); err == nil {
				continue
			}
			f.stats.failures.Inc(1)
			nextLog = f.now().Add(logEvery)
		}
		if f.fromParents(ctx, relay.Backups(f.self, members), PollWait) {
			continue
		}
		f.lost()
		f.fromAnyone(ctx)
		sleep.For(ctx, backoffMin+rand.N(backoffMax-backoffMin))
	}
}

// fromParents asks the first parent that is not suspected. It reports whether one answered
// with what can be relied on.
func (f *Follower) fromParents(ctx context.Context, parents []platform.Host, wait time.Duration) bool {
	for _, p := range parents {
		if ctx.Err() != nil {
			return true
		}
		if f.suspects.has(f.now(), p.ID) {
			continue
		}
		err := f.ask(ctx, p, wait)
		if err == nil {
			return true
		}
		if ctx.Err() == nil {
			f.stats.failures.Inc(1)
			f.suspects.add(f.now(), p.ID)
			f.log.Info("configuration parent passed over", "parent", p.ID, "error", err)
		}
	}
	return ctx.Err() != nil
}

// fromAnyone asks one entry by chance for what it has. With the log down this
// spreads a version that only some hold to all.
func (f *Follower) fromAnyone(ctx context.Context) {
	peers := relay.Peers(f.self.ID, f.opts.Members())
	if len(peers) == 0 {
		return
	}
	p := peers[rand.IntN(len(peers))]
	if err := f.ask(ctx, p, 0); err != nil && ctx.Err() == nil {
		f.log.Debug("entry asked for configuration", "entry", p.ID, "error", err)
	}
}

// ask asks p for what comes after the State and takes it. Error: errs.LogDown when p does not
// know more than that it may be behind.
func (f *Follower) ask(ctx context.Context, p platform.Host, wait time.Duration) error {
	have := f.Current().Version
	f.stats.polls.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	sent := f.now()
	m, err := f.fetch.Fetch(ctx, p, have, wait)
	if err != nil {
		return err
	}
	if err := f.take(m); err != nil {
		return err
	}
	if m.Stale {
		return errs.Newf(errs.LogDown, "%s can't reach the log", p.ID)
	}
	if f.behind(m.To) {
		return errs.Newf(errs.LogDown, "%s is behind, at version %d", p.ID, m.To)
	}
	f.heard(sent.Add(msToDuration(m.HeldMs - m.AgeMs)))
	return nil
}

// behind reports whether a source at version v lacks what others have.
func (f *Follower) behind(v structs.Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return v < max(f.ahead, f.state.Version)
}

// take takes a message of another process.
func (f *Follower) take(m *structs.ConfigMsg) error {
	if len(m.Snapshot) > 0 {
		s, err := restore(m)
		if err != nil {
			return err
		}
		return f.takeSnapshot(s)
	}
	return f.takeRecords(m.From, m.Records)
}

func msToDuration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
