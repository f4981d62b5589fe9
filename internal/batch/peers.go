package batch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/shardmap"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// PeerCaller calls other entries.
type PeerCaller interface {
	// Call passes r to host. Errors: errs.SessionLost when no answer came; the
	// error in the reply is returned as error too.
	Call(ctx context.Context, host platform.Host, r *PeerRequest) (*PeerReply, error)
}

const (
	// maxProbes is how many probes run at a time.
	maxProbes = 16
	// callTries bounds the search for the owner of a shard.
	callTries = 24
	// callWait is the wait between two tries.
	callWait = 250 * time.Millisecond
	// callPatience bounds the search in time: as long as a takeover takes.
	callPatience = 6 * time.Second
)

// probeLoop keeps asking the entries that matter to this one whether they are there.
func (m *Manager) probeLoop(ctx context.Context) error {
	for {
		var g errgroup.Group
		g.SetLimit(maxProbes)
		var views logViews
		for _, h := range m.toProbe() {
			g.Go(func() error {
				views.add(m.probe(ctx, h))
				return nil
			})
		}
		_ = g.Wait()
		m.outage.Store(views.outage())
		if !sleep.For(ctx, m.tune.ProbeEvery) {
			return nil
		}
	}
}

// toProbe returns the entries that stand before this one as candidates of a
// shard, and the holders of the shards that this one wants.
func (m *Manager) toProbe() []platform.Host {
	hosts := m.o.Members()
	want := make(map[structs.HostID]platform.Host)
	for i := range m.set.Shards {
		rank := shardmap.Rank(structs.Shard(i), hosts)
		at := shardmap.Position(rank, m.self.Host)
		if at == len(rank) {
			continue
		}
		if m.health.down() {
			// Is it an outage, or is this entry cut off? The others know.
			at = len(rank)
		}
		for _, h := range rank[:at] {
			if h.ID != m.self.Host {
				want[h.ID] = h
			}
		}
	}
	for _, s := range m.following() {
		if host, addr := s.holder(); host != "" && host != m.self.Host {
			want[host] = platform.Host{ID: host, Addr: addr}
		}
	}
	keep := make(map[structs.HostID]bool)
	out := make([]platform.Host, 0, len(want))
	for id, h := range want {
		keep[id] = true
		out = append(out, h)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probed.Forget(keep)
	return out
}

// following returns the shards that this entry works on and does not own.
func (m *Manager) following() []*shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*shard
	for _, s := range m.shards {
		if s.ownerEpoch() == 0 {
			out = append(out, s)
		}
	}
	return out
}

// probe asks h whether it is there and returns its answer, nil if there is none.
func (m *Manager) probe(ctx context.Context, h platform.Host) *PeerReply {
	ctx, cancel := context.WithTimeout(ctx, m.tune.ProbeTimeout)
	defer cancel()
	reply, err := m.peers.Call(ctx, h, &PeerRequest{Op: OpProbe, Host: m.self.Host})
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	// An entry that leaves stays owner until it has released the shard; it only is no
	// candidate any more.
	// One that is cut off from the log service while this one is not can do nothing
	// for its shards.
	cutOff := err == nil && reply.LogDown && m.logUp()
	if err != nil || cutOff || reply.Leaving && len(reply.Holds) == 0 {
		m.probed.Failed(now, h.ID)
	} else {
		m.probed.Answered(now, h.ID, reply.Incarnation, reply.Holds)
	}
	if err != nil {
		return nil
	}
	return reply
}

// logUp says whether this entry has just reached the log service.
func (m *Manager) logUp() bool {
	return m.health.up(m.now(), m.tune.ReadWait+m.tune.Lease)
}

// logViews gathers what other entries say of the log service.
type logViews struct {
	mu                sync.Mutex
	asked, answer, up int
}

func (v *logViews) add(r *PeerReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked++
	if r != nil {
		v.answer++
	}
	if r != nil && r.LogUp {
		v.up++
	}
}

// outage says whether none that answers reaches the log service. An entry that none
// answers is cut off, unless it is alone.
func (v *logViews) outage() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.up == 0 && (v.answer > 0 || v.asked == 0)
}

// hint returns who was last seen to own shard, nil if nobody.
func (m *Manager) hint(id structs.Shard) *platform.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.hints[id]; ok {
		return &h
	}
	return nil
}

func (m *Manager) setHint(id structs.Shard, h platform.Host, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok {
		delete(m.hints, id)
		return
	}
	m.hints[id] = h
}

// call finds the owner of shard, which may be this entry, and passes r to it. An
// entry that is not the owner is followed by the one that it names, else by the
// next candidate; the search is bounded in tries and time.
func (m *Manager) call(ctx context.Context, id structs.Shard, r *PeerRequest) (*PeerReply, error) {
	r.Shard = id
	ctx, cancel := context.WithTimeout(ctx, callPatience+m.tune.CallTimeout)
	defer cancel()
	begun := m.now()
	next := m.hint(id)
	var last error = notOwner()
	for try := range callTries {
		if next == nil {
			next = m.candidate(id, try)
		}
		if next != nil {
			reply, err := m.callOne(ctx, *next, r)
			if !moved(err) {
				m.setHint(id, *next, true)
				return reply, err
			}
			last = err
			m.setHint(id, *next, false)
			next = redirect(reply, next.ID)
			if next != nil && try%4 != 3 {
				continue
			}
		}
		if m.now().Sub(begun) > callPatience || !sleep.For(ctx, callWait) {
			break
		}
	}
	return nil, last
}

// moved says whether err means that another entry should be tried. The calls can be
// repeated: one whose answer was lost is tried again too.
func moved(err error) bool {
	return errs.Is(err, errs.NotOwner) || errs.Is(err, errs.StaleEpoch) || errs.Is(err, errs.SessionLost)
}

func redirect(reply *PeerReply, from structs.HostID) *platform.Host {
	if reply == nil || reply.Owner == nil || reply.Owner.ID == from {
		return nil
	}
	return reply.Owner
}

// candidate returns the entry to ask at the given try.
func (m *Manager) candidate(id structs.Shard, try int) *platform.Host {
	rank := shardmap.Rank(id, m.o.Members())
	if s := m.shard(id); s != nil && s.ownerEpoch() != 0 {
		return &platform.Host{ID: m.self.Host, Addr: m.addr}
	}
	if len(rank) == 0 {
		return nil
	}
	return &rank[try%len(rank)]
}

func (m *Manager) callOne(ctx context.Context, h platform.Host, r *PeerRequest) (*PeerReply, error) {
	if h.ID != m.self.Host {
		return m.peers.Call(ctx, h, r)
	}
	reply := m.Serve(ctx, r)
	if reply.Err != nil {
		return reply, reply.Err
	}
	return reply, nil
}
