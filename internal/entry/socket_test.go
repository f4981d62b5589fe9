package entry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/confstate"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/session"
	"arbutusramp/internal/settings"
)

var peerKeys = []settings.PeerKey{{ID: "k", Secret: []byte("0123456789abcdef0123456789abcdef")}}

// echoSide answers each call over a real session with the call's body.
type echoSide struct {
	addr   string
	server *session.Server
}

func (echoSide) Opened(*session.Conn) {}

func (echoSide) Closed(*session.Conn, error) {}

func (echoSide) Frame(c *session.Conn, f *structs.Frame) {
	if f.Open == nil {
		return
	}
	_ = c.Send(&structs.Frame{Stream: f.Stream, Head: &structs.Head{Status: 200, Target: f.Open.Target}})
	_ = c.Send(&structs.Frame{Stream: f.Stream, Data: &structs.Data{Payload: f.Open.Body}})
	_ = c.Send(&structs.Frame{Stream: f.Stream, End: &structs.End{Parts: 1, Load: structs.Load{Target: f.Open.Target, Limit: 1000}}})
}

func startEchoSide(t testing.TB, host structs.HostID, target structs.TargetID) *echoSide {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &echoSide{addr: ln.Addr().String()}
	s.server = session.Serve(ln, session.Options{
		Hello: structs.Hello{Host: host, Domain: "d1", Incarnation: 1, Targets: []structs.TargetInfo{
			{ID: target, Kind: structs.KindService, Service: testService},
		}},
		PeerKeys: func() []settings.PeerKey { return peerKeys },
		Logger:   hclog.NewNullLogger(),
	}, s)
	t.Cleanup(s.server.Close)
	return s
}

// hostTable is a host list that a test changes.
type hostTable struct {
	mu    sync.Mutex
	hosts []platform.Host
}

func (h *hostTable) Hosts(context.Context) ([]platform.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts, nil
}

func (h *hostTable) set(hosts ...platform.Host) {
	h.mu.Lock()
	h.hosts = hosts
	h.mu.Unlock()
}

func sideHost(id structs.HostID, addr string, state platform.HostState) platform.Host {
	return platform.Host{ID: id, Role: platform.RoleSide, Addr: addr, Domain: "d1", State: state}
}

// startEntry runs an entry on sockets until the test ends.
func startEntry(t testing.TB, hosts platform.HostList) *Entry {
	t.Helper()
	return runEntry(t, testSettings(), hosts)
}

func runEntry(t testing.TB, set settings.Entry, hosts platform.HostList) *Entry {
	t.Helper()
	set.PeerKeys = peerKeys
	set.HostListEvery = 20 * time.Millisecond
	set.DrainTimeout = 100 * time.Millisecond
	e, err := New(Options{
		Settings: set, Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		Hosts: hosts, Config: confstate.Static(testState()),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return e
}

func targetOf(e *Entry, id structs.TargetID) *target {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	return e.pool.targets[id]
}

// eventually polls for a state that another goroutine reaches in its own time.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	giveUp := time.After(20 * time.Second)
	for !ok() {
		select {
		case <-tick.C:
		case <-giveUp:
			t.Fatalf("never: %s", what)
		}
	}
}

// Symptom: a side that was restarted gets no requests, or a leaving one still does.
// Sequence: sides join, one is called leaving by the list, one loses its session.
// Cause: the pool did not follow the list, or did not dial again.
func TestPoolFollowsTheHostList(t *testing.T) {
	a, b := startEchoSide(t, "ha", "a"), startEchoSide(t, "hb", "b")
	hosts := &hostTable{}
	hosts.set(sideHost("ha", a.addr, platform.HostLive), sideHost("hb", b.addr, platform.HostLive))
	e := startEntry(t, hosts)
	eventually(t, "both sides connected", func() bool { return e.pool.connected() == 2 })

	hosts.set(sideHost("ha", a.addr, platform.HostLeaving), sideHost("hb", b.addr, platform.HostLive))
	eventually(t, "the leaving side noticed", func() bool { return targetOf(e, "a").leaving.Load() })
	for range 5 {
		resp, body := do(e, request{method: "POST", uri: "/svc/lookup/x", key: testKey, body: "hello"})
		if body != "hello" || string(resp.Header.Peek("X-Target")) != "b" {
			t.Fatalf("status %d, %q from %q", resp.StatusCode(), body, resp.Header.Peek("X-Target"))
		}
	}
	if n := e.pool.connected(); n != 2 {
		t.Errorf("%d sides connected, want 2: a leaving side finishes what it has", n)
	}

	b.server.Close()
	eventually(t, "the lost side gone", func() bool { return e.pool.connected() == 1 })
	again := startEchoSide(t, "hb", "b")
	hosts.set(sideHost("ha", a.addr, platform.HostLeaving), sideHost("hb", again.addr, platform.HostLive))
	eventually(t, "the restarted side connected", func() bool { return e.pool.connected() == 2 })
	if _, body := do(e, request{method: "POST", uri: "/svc/lookup/x", key: testKey, body: "again"}); body != "again" {
		t.Errorf("got %q", body)
	}
}

// Symptom: all sides are dropped at once.
// Sequence: the host list answers with an empty list for a moment.
// Cause: absence from the list was taken for a loss, against the evidence of live sessions.
func TestEmptyHostListDropsNobody(t *testing.T) {
	a := startEchoSide(t, "ha", "a")
	hosts := &hostTable{}
	hosts.set(sideHost("ha", a.addr, platform.HostLive))
	e := startEntry(t, hosts)
	eventually(t, "the side connected", func() bool { return e.pool.connected() == 1 })
	e.pool.apply(t.Context(), nil)
	if _, body := do(e, request{method: "GET", uri: "/svc/lookup/x", key: testKey, body: "still"}); body != "still" {
		t.Errorf("got %q", body)
	}
}

// BenchmarkServiceCall is a small plain call over sockets: client, entry and
// an echoing side in one process.
func BenchmarkServiceCall(b *testing.B) {
	a := startEchoSide(b, "ha", "a")
	hosts := &hostTable{}
	hosts.set(sideHost("ha", a.addr, platform.HostLive))
	e := startEntry(b, hosts)
	eventually(b, "the side connected", func() bool { return e.pool.connected() == 1 })
	client := &fasthttp.HostClient{Addr: e.CallerAddr(), MaxConns: 512}
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://" + e.CallerAddr() + "/svc/lookup/x")
		req.Header.SetMethod("POST")
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.SetBodyString("hello")
		for pb.Next() {
			if err := client.Do(&req, &resp); err != nil || resp.StatusCode() != 200 {
				b.Errorf("status %d, %v, %s", resp.StatusCode(), err, resp.Body())
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}
