package side

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/session"
	"arbutusramp/internal/settings"
)

// caller is an entry's end of a session: it waits for the End of each stream.
type caller struct {
	mu   sync.Mutex
	ends map[uint64]chan structs.End
	lost chan error
}

func newCaller() *caller {
	return &caller{ends: make(map[uint64]chan structs.End), lost: make(chan error, 1)}
}

func (c *caller) Opened(*session.Conn) {}

func (c *caller) Closed(_ *session.Conn, err error) { c.lost <- err }

func (c *caller) Frame(_ *session.Conn, f *structs.Frame) {
	if f.End == nil {
		return
	}
	c.mu.Lock()
	ch := c.ends[f.Stream]
	delete(c.ends, f.Stream)
	c.mu.Unlock()
	ch <- *f.End
}

func (c *caller) open(conn *session.Conn, stream uint64, o *structs.Open) (chan structs.End, error) {
	ch := make(chan structs.End, 1)
	c.mu.Lock()
	c.ends[stream] = ch
	c.mu.Unlock()
	return ch, conn.Send(&structs.Frame{Stream: stream, Open: o})
}

func peerKeys() []settings.PeerKey {
	return []settings.PeerKey{{ID: "k", Secret: []byte("secret")}}
}

// runSide serves a side over loopback and returns a session with it and what stops it.
func runSide(tb testing.TB, target *fakeTarget) (*Side, *session.Conn, *caller, func() error) {
	tb.Helper()
	set := sideSettings(structs.KindService)
	set.SessionAddr, set.StatusAddr = "127.0.0.1:0", "127.0.0.1:0"
	set.PeerKeys = peerKeys()
	set.MaxLimit, set.MaxQueue = 256, 1024
	s, err := New(Options{Settings: set, Service: target})
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	c := newCaller()
	conn, err := session.Dial(ctx, s.Addr(), session.Options{Hello: structs.Hello{Host: "e"}, PeerKeys: peerKeys}, c)
	if err != nil {
		tb.Fatal(err)
	}
	return s, conn, c, func() error {
		cancel()
		return <-ended
	}
}

func status(t *testing.T, s *Side, path string) (int, string) {
	t.Helper()
	r, err := http.Get("http://" + s.StatusAddr() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r.StatusCode, string(b)
}

func TestRunServesAndDrainsOverSockets(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	target := &fakeTarget{call: func(context.Context, platform.ServiceCall) (platform.ServiceAnswer, error) {
		started <- struct{}{}
		<-release
		return platform.ServiceAnswer{Status: 200, Body: []byte("ok")}, nil
	}}
	s, conn, c, stop := runSide(t, target)
	if code, _ := status(t, s, "/readyz"); code != 200 {
		t.Fatalf("readyz %d", code)
	}
	if code, _ := status(t, s, "/healthz"); code != 200 {
		t.Fatalf("healthz %d", code)
	}
	first, err := c.open(conn, 1, &structs.Open{Credit: 100})
	if err != nil {
		t.Fatal(err)
	}
	<-started
	if _, body := status(t, s, "/metrics"); !strings.Contains(body, `"side.started":{"count":1}`) {
		t.Fatalf("metrics %s", body)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	for code := 200; code != 503; {
		code, _ = status(t, s, "/readyz")
	}
	second, err := c.open(conn, 2, &structs.Open{Credit: 100})
	if err != nil {
		t.Fatal(err)
	}
	if e := <-second; !errs.Is(e.Err, errs.Draining) || e.Err.Ran != errs.RanNo || !e.Load.Draining {
		t.Fatalf("second ended with %+v", e)
	}
	close(release)
	if e := <-first; e.Err != nil || e.Parts != 1 {
		t.Fatalf("first ended with %+v", e)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	<-c.lost
}

func TestSettingsWithoutAdapterAreRefused(t *testing.T) {
	if _, err := New(Options{Settings: sideSettings(structs.KindEngine)}); !errs.Is(err, errs.BadSettings) {
		t.Fatal(err)
	}
}

// BenchmarkPlainCalls sends small calls over one session to a service that answers at once:
// what the side itself costs, with both ends in one process.
func BenchmarkPlainCalls(b *testing.B) {
	target := &fakeTarget{call: func(context.Context, platform.ServiceCall) (platform.ServiceAnswer, error) {
		return platform.ServiceAnswer{Status: 200, Body: []byte("a small answer")}, nil
	}}
	_, conn, c, stop := runSide(b, target)
	const inFlight = 64
	var next, refused uint64
	var mu sync.Mutex
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range inFlight {
		wg.Go(func() {
			for {
				mu.Lock()
				next++
				stream := next
				mu.Unlock()
				if stream > uint64(b.N) {
					return
				}
				ch, err := c.open(conn, stream, &structs.Open{Method: "GET", Path: "/x", Credit: 1 << 16, TimeoutMs: 10_000})
				if err != nil {
					b.Error(err)
					return
				}
				if e := <-ch; e.Err != nil {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
	b.ReportMetric(float64(refused), "refused")
	if err := stop(); err != nil {
		b.Fatal(err)
	}
}
