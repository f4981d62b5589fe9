package session

import (
	"context"
	"net"
	"testing"

	"github.com/fasthttp/websocket"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

// recorder passes on what a handler is told.
type recorder struct {
	opened chan *Conn
	frames chan structs.Frame
	closed chan error
}

func newRecorder() *recorder {
	return &recorder{
		opened: make(chan *Conn, 16),
		frames: make(chan structs.Frame, 1<<16),
		closed: make(chan error, 16),
	}
}

func (r *recorder) Opened(c *Conn) { r.opened <- c }

func (r *recorder) Frame(_ *Conn, f *structs.Frame) { r.frames <- *f }

func (r *recorder) Closed(_ *Conn, err error) { r.closed <- err }

func keys(k ...settings.PeerKey) func() []settings.PeerKey {
	return func() []settings.PeerKey { return k }
}

func options(host structs.HostID, k ...settings.PeerKey) Options {
	return Options{Hello: structs.Hello{Host: host, Incarnation: 7}, PeerKeys: keys(k...)}
}

func serve(t *testing.T, o Options) (*Server, *recorder) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := newRecorder()
	s := Serve(ln, o, r)
	t.Cleanup(s.Close)
	return s, r
}

func dial(t *testing.T, s *Server, o Options) (*Conn, *recorder) {
	t.Helper()
	r := newRecorder()
	c, err := Dial(context.Background(), s.Addr().String(), o, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(nil) })
	return c, r
}

// rawPeer has shaken hands and from then on does only what the test does.
func rawPeer(t *testing.T, s *Server, o Options) *websocket.Conn {
	t.Helper()
	o = o.withDefaults()
	ws, _, err := websocket.DefaultDialer.Dial("ws://"+s.Addr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ws.Close() })
	if _, err := newShaker(ws, &o).client(); err != nil {
		t.Fatal(err)
	}
	return ws
}

func wantType(t *testing.T, err error, want errs.Type) {
	t.Helper()
	if !errs.Is(err, want) {
		t.Fatalf("error is %v, want type %s", err, want)
	}
}

func readBeat(t *testing.T, ws *websocket.Conn) int64 {
	t.Helper()
	for {
		_, p, err := ws.ReadMessage()
		if err != nil {
			t.Fatal(err)
		}
		frames, err := Decode(p)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range frames {
			if f.Beat != nil && f.Beat.Sent > 0 {
				return f.Beat.Sent
			}
		}
	}
}
