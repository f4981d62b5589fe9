package entry

import (
	"sync"
	"sync/atomic"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

const streamShards = 16

// sideConn is a connection to a side; *session.Conn is one.
type sideConn interface {
	Send(*structs.Frame) error
	Peer() structs.Hello
	Close(error)
}

type streamShard struct {
	mu      sync.Mutex
	streams map[uint64]*stream
}

// sideSession is one connection to a side with the streams that are open on it.
type sideSession struct {
	pool    *pool
	host    structs.HostID
	conn    sideConn
	targets []*target
	lastID  atomic.Uint64
	open    atomic.Int64
	shards  [streamShards]streamShard
	gone    chan struct{} // closed when the session has ended
}

func newSideSession(p *pool, conn sideConn) *sideSession {
	s := &sideSession{pool: p, host: conn.Peer().Host, conn: conn, gone: make(chan struct{})}
	for i := range s.shards {
		s.shards[i].streams = make(map[uint64]*stream)
	}
	return s
}

func (s *sideSession) shard(id uint64) *streamShard { return &s.shards[id%streamShards] }

// start opens a stream. On an error nothing was passed on to the side.
func (s *sideSession) start(st *stream, v structs.Version, o *structs.Open) *errs.Error {
	st.id = s.lastID.Add(1)
	s.add(st)
	err := s.conn.Send(&structs.Frame{Stream: st.id, Version: v, Open: o})
	if err == nil {
		return nil
	}
	s.forget(st)
	return errs.New(errs.SessionLost, "the session to the side is gone").WithRan(errs.RanNo)
}

func (s *sideSession) add(st *stream) {
	sh := s.shard(st.id)
	sh.mu.Lock()
	sh.streams[st.id] = st
	sh.mu.Unlock()
	s.open.Add(1)
}

// forget drops a stream; frames that still come for it are ignored.
func (s *sideSession) forget(st *stream) {
	sh := s.shard(st.id)
	sh.mu.Lock()
	_, known := sh.streams[st.id]
	delete(sh.streams, st.id)
	sh.mu.Unlock()
	if known {
		s.open.Add(-1)
	}
}

// cancel drops a stream and tells the side to stop it. A failed send needs no care: the side
// stops every stream of a session that is gone.
func (s *sideSession) cancel(st *stream) {
	s.forget(st)
	_ = s.conn.Send(&structs.Frame{Stream: st.id, Cancel: &structs.Cancel{}})
}

// credit lets the side send n more bytes.
func (s *sideSession) credit(st *stream, n int) {
	st.grant(n)
	_ = s.conn.Send(&structs.Frame{Stream: st.id, Credit: &structs.Credit{Bytes: n}})
}

// frame takes in one frame of the side.
func (s *sideSession) frame(f *structs.Frame) {
	if f.Stream == 0 {
		s.control(f)
		return
	}
	if f.End != nil {
		s.learn(&f.End.Load)
	}
	sh := s.shard(f.Stream)
	sh.mu.Lock()
	st := sh.streams[f.Stream]
	sh.mu.Unlock()
	if st != nil {
		st.push(f)
	}
}

func (s *sideSession) control(f *structs.Frame) {
	parts := s.pool.parts
	switch {
	case f.Load != nil:
		s.learn(f.Load)
		if parts.Orders != nil {
			parts.Orders.SideLoad(s.host, f.Load)
		}
	case f.Crashes != nil:
		s.learnCrashes(f.Crashes)
	case f.Pull != nil && parts.Batch != nil:
		parts.Batch.OnPull(s.host, s.conn.Send, f.Pull)
	case f.ItemDone != nil && parts.Batch != nil:
		parts.Batch.OnItemDone(s.host, s.conn.Send, f.ItemDone)
	case f.Config != nil && parts.Config != nil:
		parts.Config.OnConfig(s.host, s.conn.Send, f.Config)
	case f.Fence != nil && parts.Orders != nil:
		parts.Orders.OnFenceAsk(s.host, s.conn.Send)
	case f.OrderDone != nil && parts.Orders != nil:
		parts.Orders.OnOrderDone(s.host, f.OrderDone)
	}
}

// learn takes in a load report. One without a limit says nothing.
func (s *sideSession) learn(l *structs.Load) {
	if l.Limit == 0 && l.Target == "" && !l.Draining {
		return
	}
	for _, t := range s.targets {
		if t.id == l.Target || l.Target == "" {
			s.pool.learn(t, l)
		}
	}
}

// fail ends every stream: what the side made of them is not known.
func (s *sideSession) fail() {
	err := errs.New(errs.SessionLost, "the session to the side ended during the request")
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for _, st := range sh.streams {
			st.fail(err)
		}
		sh.mu.Unlock()
	}
	close(s.gone)
}
