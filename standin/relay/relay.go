// Package relay carries TCP connections between processes over links that can be put in trouble from
// outside: reset, frozen, frozen one way, slowed down.
package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	loopback  = "127.0.0.1:0"
	copyBytes = 32 << 10
)

// State is what a relay does with connections and the bytes that pass it. The zero value is a link that
// is well.
type State struct {
	// Dead resets all connections, new ones too.
	Dead bool
	// Frozen holds back every byte; connections stay open.
	Frozen bool
	// AnswersFrozen holds back the bytes that come from where the relay leads.
	AnswersFrozen bool
	// Delay is how long each piece of data is held.
	Delay time.Duration
}

// Relay forwards the connections to its address to another one. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	state   State
	changed chan struct{} // closed and replaced with each change
	conns   map[net.Conn]struct{}
}

// New returns a relay on a loopback port that leads to an address. The error is that of listening.
func New(to string) (*Relay, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{listener: l, to: to, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Turn changes the state. Bytes that were held back pass once the link is well again, those that
// came first in front.
func (r *Relay) Turn(change func(*State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.state)
	close(r.changed)
	r.changed = make(chan struct{})
	if !r.state.Dead {
		return
	}
	for c := range r.conns {
		reset(c)
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // a listener that is closed already is closed
	r.Turn(func(s *State) { *s = State{Dead: true} })
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(in net.Conn) {
	defer r.drop(in)
	if !r.keep(in) {
		return
	}
	r.hold(false)
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer r.drop(out)
	if !r.keep(out) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(out, in, false) })
	both.Go(func() { r.copy(in, out, true) })
	both.Wait()
}

// copy forwards until one of the connections ends. An end in order is passed on behind the bytes
// before it: what a process sent before it closed arrives. Any other end resets both.
func (r *Relay) copy(to, from net.Conn, answers bool) {
	buf := make([]byte, copyBytes)
	for {
		n, err := from.Read(buf)
		r.hold(answers)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
				return
			}
		}
		if err != nil {
			r.drop(to)
			r.drop(from)
			return
		}
	}
}

// hold waits until the link lets a piece of data pass.
func (r *Relay) hold(answers bool) {
	for {
		r.mu.Lock()
		state, changed := r.state, r.changed
		r.mu.Unlock()
		if !state.Frozen && !(state.AnswersFrozen && answers) {
			time.Sleep(state.Delay)
			return
		}
		<-changed
	}
}

// keep notes c and says whether the link takes it.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Dead {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	reset(c)
}

// reset closes c as the loss of its host does: unread bytes are thrown away.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is closed already needs none
	}
	_ = c.Close()
}
