package online_test

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/session"
	"arbutusramp/internal/settings"
)

const (
	heldFrames = 8   // of a stream, to be sent out of order
	doubled    = 0.2 // share of frames that are sent twice
	afterEnd   = 0.2 // share of frames that come once more after the stream's end
	lateBy     = 5 * time.Millisecond
	dialGuard  = 10 * time.Second
)

// scrambled is a network whose sessions deliver the frames of sides late, doubled and out of order.
type scrambled struct {
	*network
	seed uint64

	mu      sync.Mutex
	servers []*session.Server
	counts  scrambleCounts
}

// scrambleCounts say that the disorder was really brought about.
type scrambleCounts struct{ doubled, swapped, late int }

// Via implements cluster.Network.
func (s *scrambled) Via(from, to structs.HostID, addr string) (string, error) {
	next, err := s.network.Via(from, to, addr)
	if err != nil || !strings.HasPrefix(string(from), "entry") || !strings.Contains(string(to), "-side-") {
		return next, err
	}
	return s.serve(next)
}

// serve starts a listener that passes sessions on to the side at addr.
func (s *scrambled) serve(addr string) (string, error) {
	hello, err := helloOf(addr)
	if err != nil {
		return "", err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &entryEnd{s: s, addr: addr, sides: make(map[*session.Conn]*session.Conn)}
	s.servers = append(s.servers, session.Serve(ln, sessionOptions(hello), h))
	return ln.Addr().String(), nil
}

func (s *scrambled) close() {
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, server := range servers {
		server.Close()
	}
	s.network.close()
}

func (s *scrambled) count(f func(*scrambleCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

// disorder returns the counts up to now: sessions go on counting after the callers have their answers.
func (s *scrambled) disorder() scrambleCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func sessionOptions(hello structs.Hello) session.Options {
	keys := settings.DefaultSide().PeerKeys
	return session.Options{Hello: hello, PeerKeys: func() []settings.PeerKey { return keys }}
}

// helloOf asks a side what stands behind it.
func helloOf(addr string) (structs.Hello, error) {
	c, err := dialSide(addr, structs.Hello{Host: "scrambler"}, nobody{})
	if err != nil {
		return structs.Hello{}, err
	}
	defer c.Close(nil)
	return c.Peer(), nil
}

func dialSide(addr string, hello structs.Hello, h session.Handler) (*session.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialGuard)
	defer cancel()
	return session.Dial(ctx, addr, sessionOptions(hello), h)
}

type nobody struct{}

func (nobody) Opened(*session.Conn)                {}
func (nobody) Frame(*session.Conn, *structs.Frame) {}
func (nobody) Closed(*session.Conn, error)         {}

// entryEnd takes the sessions of entries and dials the side for each.
type entryEnd struct {
	s    *scrambled
	addr string

	mu    sync.Mutex
	sides map[*session.Conn]*session.Conn
}

func (e *entryEnd) Opened(c *session.Conn) {
	side, err := dialSide(e.addr, c.Peer(), newSideEnd(e.s, c))
	if err != nil {
		c.Close(err)
		return
	}
	e.mu.Lock()
	e.sides[c] = side
	e.mu.Unlock()
}

func (e *entryEnd) Frame(c *session.Conn, f *structs.Frame) {
	e.mu.Lock()
	side := e.sides[c]
	e.mu.Unlock()
	if side != nil {
		_ = side.Send(f)
	}
}

func (e *entryEnd) Closed(c *session.Conn, err error) {
	e.mu.Lock()
	side := e.sides[c]
	delete(e.sides, c)
	e.mu.Unlock()
	if side != nil {
		side.Close(errs.As(err))
	}
}

// sideEnd passes the frames of a side on in disorder.
type sideEnd struct {
	s     *scrambled
	entry *session.Conn
	rng   *rand.Rand
	held  map[uint64][]*structs.Frame
	old   map[uint64][]*structs.Frame
}

func newSideEnd(s *scrambled, entry *session.Conn) *sideEnd {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seed++
	return &sideEnd{
		s: s, entry: entry, rng: rand.New(rand.NewPCG(s.seed, s.seed)),
		held: make(map[uint64][]*structs.Frame), old: make(map[uint64][]*structs.Frame),
	}
}

func (e *sideEnd) Opened(*session.Conn) {}

func (e *sideEnd) Closed(_ *session.Conn, err error) { e.entry.Close(err) }

func (e *sideEnd) Frame(_ *session.Conn, f *structs.Frame) {
	switch {
	case f.Data != nil:
		e.hold(f)
	case f.End != nil && f.Stream != 0:
		e.end(f)
	default:
		_ = e.entry.Send(f)
	}
}

// hold keeps f and lets a random one go once there are too many.
func (e *sideEnd) hold(f *structs.Frame) {
	held := append(e.held[f.Stream], f)
	if len(held) > heldFrames {
		i := e.rng.IntN(len(held))
		if i > 0 {
			e.s.count(func(c *scrambleCounts) { c.swapped++ })
		}
		e.send(held[i])
		held = append(held[:i], held[i+1:]...)
	}
	e.held[f.Stream] = held
}

// end lets the rest of the stream go, its end anywhere among them.
func (e *sideEnd) end(f *structs.Frame) {
	rest := append(e.held[f.Stream], f)
	delete(e.held, f.Stream)
	e.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	at := slices.Index(rest, f)
	for _, g := range rest[:at+1] {
		e.send(g)
	}
	for _, g := range rest[at+1:] {
		e.later(g)
	}
	for _, g := range e.old[f.Stream] {
		e.later(g)
	}
	delete(e.old, f.Stream)
}

// later sends f once the entry has had time to act on the end of its stream.
func (e *sideEnd) later(f *structs.Frame) {
	e.s.count(func(c *scrambleCounts) { c.late++ })
	time.AfterFunc(lateBy, func() { _ = e.entry.Send(copyOf(f)) })
}

func (e *sideEnd) send(f *structs.Frame) {
	_ = e.entry.Send(copyOf(f))
	if f.Data == nil {
		return
	}
	if e.rng.Float64() < doubled {
		_ = e.entry.Send(copyOf(f))
		e.s.count(func(c *scrambleCounts) { c.doubled++ })
	}
	if e.rng.Float64() < afterEnd {
		e.old[f.Stream] = append(e.old[f.Stream], f)
	}
}

func copyOf(f *structs.Frame) *structs.Frame {
	c := *f
	return &c
}
