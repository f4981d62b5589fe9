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
	// crashBody begins the bodies of requests and items under which the targets of a crashFleet crash.
	crashBody = "crash"
	// maxCrashes is what the platform's rule allows: three crashes, and three retries after the third.
	maxCrashes = 6
	// callerPause is the time between two repeats of a request.
	callerPause = 40 * time.Millisecond
	// entryLapse is how long the entry of a target that has crashed stays on the list.
	entryLapse = 600 * time.Millisecond
)

// crashFleet are targets that crash when they begin with a request whose body begins with crashBody. Another target under
// another name takes the place of each.
type crashFleet struct {
	s *system
	// acceptsFor is how long the address of a target that has crashed accepts connections, breaks them off, and is then that of the
	// next target; 0 has it refuse them.
	acceptsFor time.Duration
	// downTime is how long after a crash another target takes the place of one whose address refuses connections.
	downTime time.Duration

	mu      sync.Mutex
	started int
	crashes int
	pending sync.WaitGroup // replacements that are under way
}

func newCrashFleet(s *system, targets int) *crashFleet {
	return newSupervisedFleet(s, targets, 0)
}

// newSupervisedFleet is newCrashFleet with addresses that go on accepting connections.
func newSupervisedFleet(s *system, targets int, acceptsFor time.Duration) *crashFleet {
	f := &crashFleet{s: s, acceptsFor: acceptsFor}
	for range targets {
		f.start()
	}
	return f
}

// supervisor listens in a target's place, and breaks connections off while the target is down.
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

// crashTarget is the target at one address.
type crashTarget struct {
	server     *httptest.Server
	supervisor *supervisor

	mu      sync.Mutex
	current *wiretest.Target
}

func (t *crashTarget) now() *wiretest.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// next begins a start under a new name.
func (f *crashFleet) next(t *crashTarget) {
	f.mu.Lock()
	id := fmt.Sprintf("c-%d", f.started)
	f.started++
	f.mu.Unlock()
	t.mu.Lock()
	t.current = &wiretest.Target{ID: id, Events: itemEvents}
	t.mu.Unlock()
}

// start lists one more target.
func (f *crashFleet) start() {
	t := &crashTarget{}
	f.next(t)
	t.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target := t.now()
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
	f.s.list(t.now().ID, t.server)
}

// crash closes all that a target has open.
func (f *crashFleet) crash(id string, t *crashTarget) {
	f.mu.Lock()
	f.crashes++
	f.mu.Unlock()
	if f.acceptsFor > 0 {
		t.supervisor.isDown.Store(true)
	} else {
		_ = t.server.Listener.Close() // a second request may have crashed it already
	}
	t.server.CloseClientConnections()
	f.pending.Go(func() {
		f.replace(t)
		if f.acceptsFor > 0 {
			return // the entry stays: what the address answers has to show it
		}
		time.Sleep(entryLapse)
		if err := wiretest.Unlist(f.s.t.Context(), f.s.store, id); err != nil {
			f.s.t.Logf("entry of %s stays: %v", id, err)
		}
	})
}

// replace puts another target in the place of one that has crashed.
func (f *crashFleet) replace(t *crashTarget) {
	if f.acceptsFor == 0 {
		time.Sleep(f.downTime)
		f.start()
		return
	}
	time.Sleep(f.acceptsFor)
	f.next(t)
	t.supervisor.isDown.Store(false)
	f.s.list(t.now().ID, t.server)
}

// count is how often a target has crashed.
func (f *crashFleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// repeat sends the request that crashes targets to the gateways in turn, each time under another id.
func (f *crashFleet) repeat(path string, times int, gateways ...*Gateway) {
	for i := range times {
		g := gateways[i%len(gateways)]
		f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("repeat-%d-%s", i, g.CallerAddr()), crashBody)
		time.Sleep(callerPause)
	}
}

// expectServed wants that another request of the same path is served.
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

// Guards against sending a request to one target after the other although targets crash under it, whoever repeats it: its
// caller under other ids, at other gateways, or a gateway that resumes its stream.
func TestARequestThatCrashesTargetsIsSentNoMore(t *testing.T) {
	for _, path := range []string{"/once/x", "/call/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			s := newSystemWithoutTargets(t, wiretest.Routes)
			f := newCrashFleet(s, 4)
			s.startGateways(3)
			defer s.stopAll()
			defer f.pending.Wait()
			f.repeat(path, 24, s.gateways...)
			if n := f.count(); n < 3 || n > maxCrashes {
				t.Errorf("%d targets have crashed, want 3 to %d", n, maxCrashes)
			}
			for _, g := range s.gateways {
				f.expectServed(path, g)
			}
		})
	}
}

// Guards against taking whatever accepts connections at the address of a target that has crashed for that target.
func TestARequestThatCrashesTargetsBehindASupervisorIsSentNoMore(t *testing.T) {
	const acceptsFor, maxRepeats = 300 * time.Millisecond, 150
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newSupervisedFleet(s, 6, acceptsFor)
	s.startGateways(3)
	defer s.stopAll()
	defer f.pending.Wait()
	content := quarantine.NewContent(&serving.Request{Method: http.MethodPost, Host: wiretest.Host, URI: "/once/x", Body: []byte(crashBody)})
	isKnown := func() bool {
		return !slices.ContainsFunc(s.gateways, func(g *Gateway) bool { return g.quarantine.Check(content) == nil })
	}
	for n := 0; !isKnown(); n++ {
		if n == maxRepeats {
			t.Fatalf("not known at all gateways after %d repeats and %d crashes", n, f.count())
		}
		f.repeat("/once/x", 1, s.gateways[n%len(s.gateways)])
	}
	before := f.count()
	f.repeat("/once/x", 24, s.gateways...)
	if n := f.count() - before; n > 2 { // two tries at most, while the crashes may have come together
		t.Errorf("%d more targets have crashed", n)
	}
	for _, g := range s.gateways {
		f.expectServed("/once/x", g)
	}
}

// Guards against a caller that changes its content with each repeat and so takes all targets of a route from the other callers.
func TestACallerThatVariesItsContentLeavesTargetsToOthers(t *testing.T) {
	const (
		downTime  = 700 * time.Millisecond
		pause     = 150 * time.Millisecond
		requests  = 60
		knownTime = 2 * time.Second // crashes later than this after the third are late
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
			defer f.pending.Wait()
			for _, g := range s.gateways {
				f.expectServed(path, g)
			}
			var others sync.WaitGroup
			var served atomic.Int64
			var third time.Time
			atKnown := 0
			for i := range requests {
				g := s.gateways[i%len(s.gateways)]
				f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("varied-%d", i), fmt.Sprint(crashBody, i))
				if third.IsZero() && f.count() >= 3 {
					third = time.Now()
				}
				if third.IsZero() || time.Since(third) < knownTime {
					atKnown = f.count()
				}
				others.Go(func() {
					if status, _ := f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("other-%d", i), "other"); status == http.StatusOK {
						served.Add(1)
					}
				})
				time.Sleep(pause)
			}
			others.Wait()
			late := f.count() - atKnown
			if n := served.Load(); late > maxLate || float64(n) < minServed*requests {
				t.Errorf("%d late crashes of %d, at most %d are allowed; %d of %d other requests served", late, f.count(), maxLate, n, requests)
			}
		})
	}
}

// Guards against a backlog that runs an item again and again although targets crash under it, also as an item of another job.
func TestAnItemThatCrashesTargetsIsSentNoMore(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newCrashFleet(s, 4)
	s.startGateways(2)
	defer s.stopAll()
	defer f.pending.Wait()
	for i, g := range s.gateways {
		job := fmt.Sprintf("job-%d", i)
		items := []wiretest.Item{{ID: job + "-bad", Path: "/batch/1", Body: []byte(crashBody), Tokens: 10}, {ID: job + "-ok", Path: "/batch/1", Body: []byte("ok"), Tokens: 10}}
		if status, text := s.caller.Submit(g.CallerAddr(), job, items); status != http.StatusAccepted {
			t.Fatalf("job: %d %s", status, text)
		}
	}
	time.Sleep(2 * time.Second) // a run of the item takes a few milliseconds, and as long a pause follows it
	if n := f.count(); n < 3 || n > maxCrashes {
		t.Errorf("%d targets have crashed, want 3 to %d", n, maxCrashes)
	}
	for i, g := range s.gateways {
		status, page := s.caller.Results(g.CallerAddr(), fmt.Sprintf("job-%d", i), 0, time.Second)
		if status != http.StatusOK || len(page.Results) != 1 || page.Results[0].State != "complete" {
			t.Errorf("results %d %+v, want the item that does no harm and none of the other yet", status, page)
		}
	}
}

// Guards against processes that start and know nothing of the requests under which targets have crashed.
func TestAGatewayThatStartsKnowsWhichRequestsCrashTargets(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newCrashFleet(s, 4)
	s.startGateways(2)
	defer f.pending.Wait()
	f.repeat("/once/x", 12, s.gateways...)
	before := f.count()
	s.stopAll()
	s.gateways, s.stop, s.over = nil, nil, nil
	s.startGateways(2)
	defer s.stopAll()
	f.repeat("/once/x", 6, s.gateways...)
	if n := f.count(); n > before {
		t.Errorf("%d more targets have crashed after the restart", n-before)
	}
	f.expectServed("/once/x", s.gateways[0])
}

// Guards against gateways that can tell each other through the store alone which requests crash targets, while it is away.
func TestARequestThatCrashesTargetsIsSentNoMoreWhileTheStoreIsAway(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newCrashFleet(s, maxCrashes+2) // more can't be listed without the store
	s.startGateways(3)
	defer s.stopAll()
	store := s.store.(*keyedlog.View)
	f.s.store = store.Sibling() // for the list of targets
	defer f.pending.Wait()
	store.Set(keyedlog.Faults{Refuse: true})
	f.repeat("/once/x", 24, s.gateways...)
	if n := f.count(); n < 3 || n > maxCrashes {
		t.Errorf("%d targets have crashed, want 3 to %d", n, maxCrashes)
	}
	store.Set(keyedlog.Faults{})
	s.startGateways(1)
	started, before := s.gateways[len(s.gateways)-1], f.count()
	for started.quarantine.IsEmpty() { // its peers tell it, or the store; the test's own time limit ends this
		time.Sleep(callerPause)
	}
	f.repeat("/once/x", 6, started)
	if n := f.count(); n > before {
		t.Errorf("%d more targets have crashed at a gateway that started after the outage", n-before)
	}
}
