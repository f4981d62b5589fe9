package slopes

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/session"
	"arbutusramp/internal/settings"
)

// thinSide is the counterpart of an entry: it speaks a side's end of sessions and does
// the least that an answer takes.
type thinSide struct {
	info    structs.TargetInfo
	server  *session.Server
	traffic traffic
	// answer makes it answer each Open at once; else streams stay open for burst.
	answer bool

	mu      sync.Mutex
	conns   []*session.Conn
	streams []*thinStream
}

type thinStream struct {
	conn *session.Conn
	id   uint64
	seq  int
}

func startThinSide(info structs.TargetInfo, answer bool) (*thinSide, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "listen: %v", err)
	}
	t := &thinSide{info: info, answer: answer}
	hello := structs.Hello{Host: structs.HostID("side-of-" + info.ID), Domain: domainID(0), Targets: []structs.TargetInfo{info}}
	t.server = session.Serve(countedListener{ln, &t.traffic}, sessionOptions(hello), t)
	return t, nil
}

func sessionOptions(hello structs.Hello) session.Options {
	keys := settings.DefaultEntry().PeerKeys
	return session.Options{Hello: hello, PeerKeys: func() []settings.PeerKey { return keys }}
}

func (t *thinSide) addr() string { return t.server.Addr().String() }

// Opened implements session.Handler.
func (t *thinSide) Opened(c *session.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = append(t.conns, c)
}

// Closed implements session.Handler.
func (t *thinSide) Closed(*session.Conn, error) {}

// Frame implements session.Handler.
func (t *thinSide) Frame(c *session.Conn, f *structs.Frame) {
	if f.Open == nil {
		return
	}
	_ = c.Send(&structs.Frame{Stream: f.Stream, Head: &structs.Head{Status: 200, Target: t.info.ID}})
	if t.answer {
		_ = c.Send(&structs.Frame{Stream: f.Stream, Data: &structs.Data{Payload: answerPart(f.Open)}})
		_ = c.Send(&structs.Frame{Stream: f.Stream, End: &structs.End{Parts: 1}})
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams = append(t.streams, &thinStream{conn: c, id: f.Stream})
}

var serviceAnswer = make([]byte, 64)

func answerPart(o *structs.Open) []byte {
	if o.Generate != nil {
		return tokenEvent
	}
	return serviceAnswer
}

// burst sends one token on every open stream, as an engine's step does.
func (t *thinSide) burst() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.streams {
		_ = s.conn.Send(&structs.Frame{Stream: s.id, Data: &structs.Data{Seq: s.seq, Payload: tokenEvent}})
		s.seq++
	}
}

func (t *thinSide) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}

// sendAll sends a frame on every session.
func (t *thinSide) sendAll(f structs.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		each := f
		_ = c.Send(&each)
	}
}

func (t *thinSide) close() { t.server.Close() }

// tokenEvent is one token in the shape of the field's streamed answers.
var tokenEvent = []byte(`{"id":"chatcmpl-7f3a9c2e41","object":"chat.completion.chunk","created":1790000000,` +
	`"model":"model-0","choices":[{"index":0,"delta":{"content":" summary"},"finish_reason":null}]}`)

// thinEntry is the counterpart of a side: it counts what comes.
type thinEntry struct {
	conn   *session.Conn
	stream atomic.Uint64
	ends   atomic.Int64
	parts  atomic.Int64
	ended  chan struct{} // gets a token at each End, if there is room
}

func dialThinEntry(ctx context.Context, addr string, i int) (*thinEntry, error) {
	t := &thinEntry{ended: make(chan struct{}, 1)}
	hello := structs.Hello{Host: hostID("entry", i), Domain: domainID(i)}
	conn, err := session.Dial(ctx, addr, sessionOptions(hello), t)
	t.conn = conn
	return t, err
}

// Opened implements session.Handler.
func (t *thinEntry) Opened(*session.Conn) {}

// Closed implements session.Handler.
func (t *thinEntry) Closed(*session.Conn, error) {}

// Frame implements session.Handler.
func (t *thinEntry) Frame(_ *session.Conn, f *structs.Frame) {
	switch {
	case f.Data != nil:
		t.parts.Add(1)
	case f.End != nil:
		t.ends.Add(1)
		select {
		case t.ended <- struct{}{}:
		default:
		}
	}
}

// send opens a stream with o.
func (t *thinEntry) send(o *structs.Open) error {
	return t.conn.Send(&structs.Frame{Stream: t.stream.Add(1), Open: o})
}

// call opens a stream and waits for its end.
func (t *thinEntry) call(ctx context.Context, o *structs.Open) error {
	if err := t.send(o); err != nil {
		return err
	}
	select {
	case <-t.ended:
		return nil
	case <-ctx.Done():
		return errs.New(errs.Cancelled, "the measurement was stopped")
	}
}

func (t *thinEntry) close() { t.conn.Close(nil) }

func (t *thinSide) sessions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}
