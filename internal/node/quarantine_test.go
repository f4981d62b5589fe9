package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/platform/wiretest"
	"arbutusramp/standin/keyedlog"
)

const (
	// crashBody is the prefix of request and item bodies that crash the targets of a crashFleet.
	crashBody = "crash"
	// maxCrashes is the limit of the platform: three crashes, and three retries after the third.
	maxCrashes = 6
	// callerPause is the pause between two repeats of a request.
	callerPause = 40 * time.Millisecond
	// entryTTL is how long the entry of a crashed target stays on the list.
	entryTTL = 600 * time.Millisecond
)

// crashFleet is a set of targets that crash when they receive a body that starts with crashBody. Each crashed
// target is replaced by another one under a new name.
type crashFleet struct {
	s *system
	// acceptsFor is how long the address of a crashed target accepts connections and closes them immediately,
	// before the next target uses it. If 0, the address refuses connections.
	acceptsFor time.Duration
	// downTime is the time from a crash to the replacement of a target whose address refuses connections.
	downTime time.Duration

	mu           sync.Mutex
	started      int
	crashes      int
	replacements sync.WaitGroup // replacements in progress
}

func newCrashFleet(s *system, targets int) *crashFleet {
	return newSupervisedFleet(s, targets, 0)
}

// newSupervisedFleet is newCrashFleet with addresses that accept connections while their targets are down.
func newSupervisedFleet(s *system, targets int, acceptsFor time.Duration) *crashFleet {
	f := &crashFleet{s: s, acceptsFor: acceptsFor}
	for range targets {
		f.start()
	}
	return f
}

// supervisor is a listener that outlives its target and closes connections immediately while the target is
// down.
type supervisor struct {
	net.Listener
	isDown atomic.Bool
}

// Accept implements net.Listener.
func (s *supervisor) Accept() (net.Conn, error) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil || !s.isDown.Load() {
			return conn, err
		}
		_ = conn.Close()
	}
}

// crashTarget is the current target at one address.
type crashTarget struct {
	server     *httptest.Server
	supervisor *supervisor

	mu      sync.Mutex
	current *wiretest.Target
}

func (t *crashTarget) currentTarget() *wiretest.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// startNext starts the next target of an address under a new name.
func (f *crashFleet) startNext(t *crashTarget) {
	f.mu.Lock()
	id := fmt.Sprintf("c-%d", f.started)
	f.started++
	f.mu.Unlock()
	t.mu.Lock()
	t.current = &wiretest.Target{ID: id, Events: itemEvents}
	t.mu.Unlock()
}

// start adds one more target to the list.
func (f *crashFleet) start() {
	t := &crashTarget{}
	f.startNext(t)
	t.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target := t.currentTarget()
		body, err := io.ReadAll(r.Body)
		if err != nil || !strings.HasPrefix(string(body), crashBody) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			target.ServeHTTP(w, r)
			return
		}
		f.crash(target.ID, t)
		panic(http.ErrAbortHandler)
	}))
	t.supervisor = &supervisor{Listener: t.server.Listener}
	t.server.Listener = t.supervisor
	t.server.Start()
	f.s.t.Cleanup(t.server.Close)
	f.s.listTarget(t.currentTarget().ID, t.server)
}

// crash closes the listener and all connections of a target and replaces it.
func (f *crashFleet) crash(id string, t *crashTarget) {
	f.mu.Lock()
	f.crashes++
	f.mu.Unlock()
	if f.acceptsFor > 0 {
		t.supervisor.isDown.Store(true)
	} else {
		_ = t.server.Listener.Close() // a concurrent request may have crashed the target already
	}
	t.server.CloseClientConnections()
	f.replacements.Go(func() {
		f.replace(t)
		if f.acceptsFor > 0 {
			return // the entry stays listed: only the answers at the address can reveal the crash
		}
		time.Sleep(entryTTL)
		if err := wiretest.Unlist(f.s.t.Context(), f.s.store, id); err != nil {
			f.s.t.Logf("entry of %s not removed: %v", id, err)
		}
	})
}

// replace starts another target in place of a crashed one.
func (f *crashFleet) replace(t *crashTarget) {
	if f.acceptsFor == 0 {
		time.Sleep(f.downTime)
		f.start()
		return
	}
	time.Sleep(f.acceptsFor)
	f.startNext(t)
	t.supervisor.isDown.Store(false)
	f.s.listTarget(t.currentTarget().ID, t.server)
}

// crashCount returns the number of crashes so far.
func (f *crashFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// sendCrashing sends the request that crashes targets to the gateways in turn, each time under another id.
func (f *crashFleet) sendCrashing(path string, times int, gateways ...*Gateway) {
	for i := range times {
		g := gateways[i%len(gateways)]
		f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("repeat-%d-%s", i, g.CallerAddr()), crashBody)
		time.Sleep(callerPause)
	}
}

// expectServed checks that another request of the same path is served.
func (f *crashFleet) expectServed(path string, g *Gateway) {
	f.s.t.Helper()
	var status int
	var text string
	for range 20 {
		if status, text = f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, "other", "other"); status == http.StatusOK {
			return
		}
		time.Sleep(callerPause)
	}
	f.s.t.Errorf("another request of %s is answered %d %s", path, status, text)
}

// Guards against sending a request that crashes targets to one target after the other, whether its caller
// repeats it under other ids or at other gateways, or a gateway resumes its stream.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, path := range []string{"/once/x", "/call/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			s := newSystemWithoutTargets(t, wiretest.Routes)
			f := newCrashFleet(s, 4)
			s.startGateways(3)
			defer s.stopAll()
			defer f.replacements.Wait()
			f.sendCrashing(path, 24, s.gateways...)
			if n := f.crashCount(); n < 3 || n > maxCrashes {
				t.Errorf("%d targets have crashed, want 3 to %d", n, maxCrashes)
			}
			for _, g := range s.gateways {
				f.expectServed(path, g)
			}
		})
	}
}

// Guards against treating whatever accepts connections at the address of a crashed target as that target.
func TestCrashingRequestBehindSupervisorIsQuarantined(t *testing.T) {
	const acceptsFor, maxRepeats = 300 * time.Millisecond, 150
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newSupervisedFleet(s, 6, acceptsFor)
	s.startGateways(3)
	defer s.stopAll()
	defer f.replacements.Wait()
	content := quarantine.NewContent(&serving.Request{Method: http.MethodPost, Host: wiretest.Host, URI: "/once/x", Body: []byte(crashBody)})
	isQuarantined := func() bool {
		return !slices.ContainsFunc(s.gateways, func(g *Gateway) bool { return g.quarantine.Check(content) == nil })
	}
	for n := 0; !isQuarantined(); n++ {
		if n == maxRepeats {
			t.Fatalf("not quarantined at all gateways after %d repeats and %d crashes", n, f.crashCount())
		}
		f.sendCrashing("/once/x", 1, s.gateways[n%len(s.gateways)])
	}
	before := f.crashCount()
	f.sendCrashing("/once/x", 24, s.gateways...)
	if n := f.crashCount() - before; n > 2 { // at most two trial requests, since the crashes may have been concurrent
		t.Errorf("%d more targets have crashed", n)
	}
	for _, g := range s.gateways {
		f.expectServed("/once/x", g)
	}
}

// Guards against a caller that changes its content with each repeat and so crashes all targets of a route
// that other callers need.
func TestCallerWithVaryingContentDoesNotExhaustTargets(t *testing.T) {
	const (
		downTime  = 700 * time.Millisecond
		pause     = 150 * time.Millisecond
		requests  = 60
		knownTime = 2 * time.Second // a crash later than this after the third crash counts as late
		maxLate   = 6
		minServed = 0.95
	)
	for _, path := range []string{"/once/x", "/call/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newSystemWithoutTargets(t, wiretest.Routes)
			f := newCrashFleet(s, 6)
			f.downTime = downTime
			s.startGateways(3)
			defer s.stopAll()
			defer f.replacements.Wait()
			for _, g := range s.gateways {
				f.expectServed(path, g)
			}
			var others sync.WaitGroup
			var served atomic.Int64
			var thirdCrashAt time.Time
			knownCrashes := 0
			for i := range requests {
				g := s.gateways[i%len(s.gateways)]
				f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("varied-%d", i), fmt.Sprint(crashBody, i))
				if thirdCrashAt.IsZero() && f.crashCount() >= 3 {
					thirdCrashAt = time.Now()
				}
				if thirdCrashAt.IsZero() || time.Since(thirdCrashAt) < knownTime {
					knownCrashes = f.crashCount()
				}
				others.Go(func() {
					if status, _ := f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("other-%d", i), "other"); status == http.StatusOK {
						served.Add(1)
					}
				})
				time.Sleep(pause)
			}
			others.Wait()
			late := f.crashCount() - knownCrashes
			if n := served.Load(); late > maxLate || float64(n) < minServed*requests {
				t.Errorf("%d late crashes of %d, at most %d are allowed; %d of %d other requests served", late, f.crashCount(), maxLate, n, requests)
			}
		})
	}
}

// Guards against a backlog that repeats an item although it crashes targets, also when it is part of another
// job.
func TestCrashingItemIsQuarantined(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newCrashFleet(s, 4)
	s.startGateways(2)
	defer s.stopAll()
	defer f.replacements.Wait()
	for i, g := range s.gateways {
		job := fmt.Sprintf("job-%d", i)
		items := []wiretest.Item{{ID: job + "-bad", Path: "/batch/1", Body: []byte(crashBody), Tokens: 10}, {ID: job + "-ok", Path: "/batch/1", Body: []byte("ok"), Tokens: 10}}
		if status, text := s.caller.Submit(g.CallerAddr(), job, items); status != http.StatusAccepted {
			t.Fatalf("job: %d %s", status, text)
		}
	}
	time.Sleep(2 * time.Second) // a run of the item takes a few milliseconds and is followed by a pause of the same length
	if n := f.crashCount(); n < 3 || n > maxCrashes {
		t.Errorf("%d targets have crashed, want 3 to %d", n, maxCrashes)
	}
	for i, g := range s.gateways {
		status, page := s.caller.Results(g.CallerAddr(), fmt.Sprintf("job-%d", i), 0, time.Second)
		if status != http.StatusOK || len(page.Results) != 1 || page.Results[0].State != "complete" {
			t.Errorf("results %d %+v, want the harmless item and no result of the other one yet", status, page)
		}
	}
}

// Guards against gateways that lose the quarantine when they restart.
func TestRestartedGatewayLoadsQuarantine(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newCrashFleet(s, 4)
	s.startGateways(2)
	defer f.replacements.Wait()
	f.sendCrashing("/once/x", 12, s.gateways...)
	before := f.crashCount()
	s.stopAll()
	s.gateways, s.cancels, s.done = nil, nil, nil
	s.startGateways(2)
	defer s.stopAll()
	f.sendCrashing("/once/x", 6, s.gateways...)
	if n := f.crashCount(); n > before {
		t.Errorf("%d more targets have crashed after the restart", n-before)
	}
	f.expectServed("/once/x", s.gateways[0])
}

// Guards against gateways that share the quarantine only through the store, which fails during an outage of
// the store.
func TestCrashingRequestIsQuarantinedWithoutStore(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newCrashFleet(s, maxCrashes+2) // more targets can't be listed without the store
	s.startGateways(3)
	defer s.stopAll()
	store := s.store.(*keyedlog.View)
	f.s.store = store.Sibling() // for the list of targets
	defer f.replacements.Wait()
	store.Set(keyedlog.Faults{Refuse: true})
	f.sendCrashing("/once/x", 24, s.gateways...)
	if n := f.crashCount(); n < 3 || n > maxCrashes {
		t.Errorf("%d targets have crashed, want 3 to %d", n, maxCrashes)
	}
	store.Set(keyedlog.Faults{})
	s.startGateways(1)
	started, before := s.gateways[len(s.gateways)-1], f.crashCount()
	for started.quarantine.IsEmpty() { // filled by its peers or the store; bounded by the timeout of the test
		time.Sleep(callerPause)
	}
	f.sendCrashing("/once/x", 6, started)
	if n := f.crashCount(); n > before {
		t.Errorf("%d more targets have crashed at a gateway that started after the outage", n-before)
	}
}
