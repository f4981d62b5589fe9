package side

import (
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/session"
)

const streamShards = 16

// link is what the side needs of a session.Conn.
type link interface {
	Send(f *structs.Frame) error
	Peer() structs.Hello
	Heard() time.Time
	Close(err error)
}

// peer is one session with an entry and its streams.
type peer struct {
	conn   link
	host   structs.HostID
	shards [streamShards]streamShard

	pulls pullState // guarded by puller.mu
}

type streamShard struct {
	mu    sync.Mutex
	calls map[uint64]*call
}

func newPeer(conn link) *peer {
	p := &peer{conn: conn, host: conn.Peer().Host}
	for i := range p.shards {
		p.shards[i].calls = make(map[uint64]*call)
	}
	return p
}

// send queues f. An error means that the session is closed; its end is handled in Closed.
func (p *peer) send(f *structs.Frame) { _ = p.conn.Send(f) }

func (p *peer) shard(stream uint64) *streamShard { return &p.shards[stream%streamShards] }

// add keeps c under its stream. It reports false if the stream is in use.
func (p *peer) add(c *call) bool {
	s := p.shard(c.stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.calls[c.stream]; ok {
		return false
	}
	s.calls[c.stream] = c
	return true
}

func (p *peer) call(stream uint64) *call {
	s := p.shard(stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[stream]
}

func (p *peer) forget(stream uint64) {
	s := p.shard(stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, stream)
}

func (p *peer) allCalls() []*call {
	var all []*call
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, c := range s.calls {
			all = append(all, c)
		}
		s.mu.Unlock()
	}
	return all
}

// peers are the open sessions.
type peers struct {
	mu sync.RWMutex
	m  map[link]*peer
}

func (ps *peers) add(p *peer) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.m[p.conn] = p
}

func (ps *peers) remove(conn link) *peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.m[conn]
	delete(ps.m, conn)
	return p
}

func (ps *peers) get(conn link) *peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.m[conn]
}

func (ps *peers) count() int {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return len(ps.m)
}

func (ps *peers) all() []*peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	all := make([]*peer, 0, len(ps.m))
	for _, p := range ps.m {
		all = append(all, p)
	}
	return all
}

// byHost returns the session with host that was heard of last, nil if there is none.
func (ps *peers) byHost(host structs.HostID) *peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var best *peer
	for _, p := range ps.m {
		if p.host == host && (best == nil || p.conn.Heard().After(best.conn.Heard())) {
			best = p
		}
	}
	return best
}

// handler receives the frames of sessions.
type handler struct{ s *Side }

// Opened implements session.Handler.
func (h handler) Opened(c *session.Conn) { h.s.opened(c) }

// Frame implements session.Handler.
func (h handler) Frame(c *session.Conn, f *structs.Frame) { h.s.frame(c, f) }

// Closed implements session.Handler.
func (h handler) Closed(c *session.Conn, err error) { h.s.closed(c, err) }

func (s *Side) opened(c link) {
	p := newPeer(c)
	s.peers.add(p)
	s.log.Info("session opened", "entry", p.host)
	load := s.fullLoad()
	load.Prefixes = s.prefixes.latest()
	p.send(&structs.Frame{Load: load})
	s.config.ask(p)
	s.orders.ask(p)
	s.items.resend(p)
	s.tellCrashes(p)
	s.signal()
}

func (s *Side) closed(c link, err error) {
	p := s.peers.remove(c)
	if p == nil {
		return
	}
	s.log.Info("session closed", "entry", p.host, "error", err)
	lost := errs.Newf(errs.SessionLost, "the session with %s is gone", p.host)
	stopAll(p.allCalls(), lost)
	s.signal()
}

// stopAll marks every call before it stops any: a place that one gives back
// would else be taken by the next that is to be stopped.
func stopAll(calls []*call, err *errs.Error) {
	for _, c := range calls {
		c.markStopped(err)
	}
	for _, c := range calls {
		c.withdraw(err)
	}
}

func (s *Side) frame(c link, f *structs.Frame) {
	p := s.peers.get(c)
	if p == nil {
		return
	}
	if err := s.receive(p, f); err != nil {
		s.log.Warn("frame refused", "entry", p.host, "error", err)
		c.Close(err)
	}
}

// receive passes f on by its body. An error breaks the protocol and ends the session.
func (s *Side) receive(p *peer, f *structs.Frame) error {
	switch {
	case f.Open != nil:
		return s.gate(p, f)
	case f.Credit != nil:
		return credit(p, f)
	case f.Cancel != nil:
		if c := p.call(f.Stream); c != nil {
			c.stop(errs.New(errs.Cancelled, "the caller cancelled"))
		}
	case f.Items != nil:
		s.items.arrive(p, f.Items.Items)
	case f.ItemStop != nil:
		s.items.stop(f.ItemStop)
	case f.ItemAck != nil:
		s.items.ack(f.ItemAck)
	case f.Config != nil:
		s.config.receive(p, f.Config)
	case f.Order != nil:
		s.orders.receive(p, f.Order)
	case f.Fence != nil:
		s.orders.learn(p, f.Fence)
	case f.Crashes != nil:
		return s.shareCrashes(p, f.Crashes)
	default:
		return errs.Newf(errs.BadFrame, "a frame from %s that a side takes none of", p.host)
	}
	return nil
}

// credit adds to a stream's window. The stream may have ended meanwhile.
func credit(p *peer, f *structs.Frame) error {
	if f.Credit.Bytes <= 0 {
		return errs.Newf(errs.BadFrame, "credit of %d bytes", f.Credit.Bytes)
	}
	if c := p.call(f.Stream); c != nil {
		c.window.add(f.Credit.Bytes)
	}
	return nil
}
