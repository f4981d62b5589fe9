package node

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
	"arbutusramp/standin/keyedlog"
)

const (
	// crashBody is the prefix of request and item bodies that crash the targets of a crashFleet.
	crashBody = "crash"
	// maxCrashes is the most targets that one request or item may crash under the rules of the platform: three,
	// and three more by retries after the third crash.
	maxCrashes = 6
	// callerPause is how long a caller waits before it repeats a request.
	callerPause = 40 * time.Millisecond
	// unlistDelay is how long a crashed target stays on the list of targets after its replacement has started.
	unlistDelay = 600 * time.Millisecond
)

// crashFleet is a set of targets of a system that crash when they receive a request that is deadly. Each crashed target
// is replaced by another one under a new id.
type crashFleet struct {
	s *system
	// isDeadly reports whether a request crashes a target; nil means one whose body starts with crashBody.
	isDeadly func(header http.Header, body []byte) bool
	// crashDelay is the time from the arrival of a deadly request to the crash.
	crashDelay time.Duration
	// onRun, if it is not nil, is called with each request that reaches a target.
	onRun func(header http.Header, isDeadly bool)
	// acceptsFor is how long the address of a crashed target accepts connections and closes them immediately,
	// before the next target uses it. If 0, the address refuses connections.
	acceptsFor time.Duration
	// downTime is the time from a crash to the replacement of a target whose address refuses connections.
	downTime time.Duration
	// eventGap is the pause of the targets after each event of a stream, and before a single answer.
	eventGap time.Duration

	mu           sync.Mutex
	started      int            // targets started so far, for their ids
	crashes      int            // crashes so far
	replacements sync.WaitGroup // replacements in progress
}

// newCrashFleet returns a fleet whose addresses refuse connections after the crash of their target.
func newCrashFleet(s *system, targetCount int) *crashFleet {
	return newSupervisedFleet(s, targetCount, 0)
}

// newSupervisedFleet returns a fleet whose addresses accept connections for acceptsFor after the crash of their
// target. If acceptsFor is 0, they refuse connections.
func newSupervisedFleet(s *system, targetCount int, acceptsFor time.Duration) *crashFleet {
	f := &crashFleet{s: s, acceptsFor: acceptsFor}
	for range targetCount {
		f.start()
	}
	return f
}

// supervisor is the listener of a target that stays open when the target crashes. While the target is down, it
// closes each connection immediately.
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

// crashTarget is an address of a crashFleet, at which one target after another runs.
type crashTarget struct {
	server     *httptest.Server
	supervisor *supervisor

	mu      sync.Mutex
	current *wiretest.Target // the target that runs there now or has crashed last
}

// currentTarget returns the target that runs at the address.
func (t *crashTarget) currentTarget() *wiretest.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// startNext replaces the target at an address by a new one with a new id.
func (f *crashFleet) startNext(t *crashTarget) {
	f.mu.Lock()
	id := fmt.Sprintf("c-%d", f.started)
	f.started++
	f.mu.Unlock()
	t.mu.Lock()
	t.current = &wiretest.Target{ID: id, Events: itemEvents, EventGap: f.eventGap}
	t.mu.Unlock()
}

// start starts a target at a new address and adds it to the list of targets.
func (f *crashFleet) start() {
	t := &crashTarget{}
	f.startNext(t)
	t.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target := t.currentTarget()
		body, err := io.ReadAll(r.Body)
		isDeadly := err == nil && f.isDeadlyRequest(r.Header, body)
		if f.onRun != nil && r.URL.Path != wire.PathReport {
			f.onRun(r.Header, isDeadly)
		}
		if !isDeadly {
			r.Body = io.NopCloser(bytes.NewReader(body))
			target.ServeHTTP(w, r)
			return
		}
		time.Sleep(f.crashDelay)
		f.crash(target.ID, t)
		panic(http.ErrAbortHandler)
	}))
	t.supervisor = &supervisor{Listener: t.server.Listener}
	t.server.Listener = t.supervisor
	t.server.Start()
	f.s.t.Cleanup(t.server.Close)
	f.s.listTarget(t.currentTarget().ID, t.server)
}

// isDeadlyRequest reports whether a request crashes a target.
func (f *crashFleet) isDeadlyRequest(header http.Header, body []byte) bool {
	if f.isDeadly != nil {
		return f.isDeadly(header, body)
	}
	return strings.HasPrefix(string(body), crashBody)
}

// crash simulates a crash of the target with the given id at t: it closes all connections and, unless the fleet is
// supervised, the listener. It starts the replacement of the target in the background.
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
			return // the target stays listed: only the closed connections at its address show the crash
		}
		time.Sleep(unlistDelay)
		if err := wiretest.RemoveTarget(f.s.t.Context(), f.s.store, id); err != nil {
			f.s.t.Logf("crashed target %s was not removed from the list of targets: %v", id, err)
		}
	})
}

// replace starts another target for the one that has crashed at t: at a new address or, in a supervised fleet, at
// the same one.
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

// sendCrashing sends a request that crashes targets a number of times, to the gateways in turn and each time under
// another request id.
func (f *crashFleet) sendCrashing(path string, repeats int, gateways ...*Gateway) {
	for i := range repeats {
		g := gateways[i%len(gateways)]
		f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("repeat-%d-%s", i, g.CallerAddr()), crashBody)
		time.Sleep(callerPause)
	}
}

// expectServed checks that gateway g serves a harmless request of the path, within 20 attempts.
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
	f.s.t.Errorf("harmless request of %s: last of 20 attempts answered with status %d, text %s; want 200", path, status, text)
}

// Guards against sending a request that crashes targets to one target after the other, because its caller
// repeats it under other ids or at other gateways, or because a gateway resumes its stream.
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

// Guards against missing crashes of targets whose addresses still accept connections, because a supervisor listens
// there: a target must not count as running only because its address accepts connections.
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
			t.Fatalf("the crashing request is not quarantined at all gateways after %d repeats and %d crashes", n, f.crashCount())
		}
		f.sendCrashing("/once/x", 1, s.gateways[n%len(s.gateways)])
	}
	crashesBefore := f.crashCount()
	f.sendCrashing("/once/x", 24, s.gateways...)
	// Crashes that may have been concurrent do not prove that the request caused them. The gateways then send the
	// next repeats of the caller as trials, until three crashes are sequential: at most two more.
	if n := f.crashCount() - crashesBefore; n > 2 {
		t.Errorf("%d more targets have crashed after all gateways had quarantined the request, want at most 2", n)
	}
	for _, g := range s.gateways {
		f.expectServed("/once/x", g)
	}
}

// Guards against a caller that changes the body of its crashing request with each repeat: it must not crash so many
// targets of a route that other callers are not served.
func TestCallerWithVaryingContentDoesNotExhaustTargets(t *testing.T) {
	const (
		downTime       = 700 * time.Millisecond
		pause          = 150 * time.Millisecond
		requests       = 60
		lateAfter      = 2 * time.Second // crashes later than this after the third crash count as late
		maxLateCrashes = 6
		minServedShare = 0.95 // of the requests of other callers
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
			earlyCrashes := 0
			for i := range requests {
				g := s.gateways[i%len(s.gateways)]
				f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("varied-%d", i), fmt.Sprint(crashBody, i))
				if thirdCrashAt.IsZero() && f.crashCount() >= 3 {
					thirdCrashAt = time.Now()
				}
				if thirdCrashAt.IsZero() || time.Since(thirdCrashAt) < lateAfter {
					earlyCrashes = f.crashCount()
				}
				others.Go(func() {
					if status, _ := f.s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("other-%d", i), "other"); status == http.StatusOK {
						served.Add(1)
					}
				})
				time.Sleep(pause)
			}
			others.Wait()
			lateCrashes := f.crashCount() - earlyCrashes
			if n := served.Load(); lateCrashes > maxLateCrashes || float64(n) < minServedShare*requests {
				t.Errorf("%d of %d crashes were late, want at most %d; %d of %d requests of other callers were served, want a share of at least 0.95", lateCrashes, f.crashCount(), maxLateCrashes, n, requests)
			}
		})
	}
}

// itemHeader marks the requests that are batch items, for crashFleet.isDeadly.
const itemHeader = "X-Test-Item"

// deadlyItems is how many runs of items with deadlyPart crash their targets in TestItemsAndOnlineRequestsAreJudgedApart.
const deadlyItems = 6

// Guards against a sound item that is left lying, or given up, after several targets have crashed in turn while they ran
// it, also if another gateway runs it later.
func TestItemIsOwedHoweverManyTargetsCrash(t *testing.T) {
	const unluckyRuns = 5
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := &crashFleet{s: s, downTime: 100 * time.Millisecond}
	var mu sync.Mutex
	runs := make(map[string]int) // by item
	f.isDeadly = func(header http.Header, body []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		id := header.Get(wire.HeaderRequestID)
		runs[id]++
		return string(body) == crashBody && runs[id] <= unluckyRuns
	}
	for range 4 {
		f.start()
	}
	s.startGateways(2)
	defer s.stopAll()
	defer f.replacements.Wait()
	for i, g := range s.gateways {
		job := fmt.Sprintf("job-%d", i)
		items := []wiretest.Item{{ID: job + "-unlucky", Path: "/batch/1", Body: []byte(crashBody), Tokens: 10}, {ID: job + "-ok", Path: "/batch/1", Body: []byte("ok"), Tokens: 10}}
		if status, text := s.caller.Submit(g.CallerAddr(), job, items); status != http.StatusAccepted {
			t.Fatalf("submit of a job: status %d, text %s; want 202", status, text)
		}
	}
	for i := range s.gateways {
		s.expectComplete(fmt.Sprintf("job-%d", i), 2)
	}
	if n := f.crashCount(); n != unluckyRuns*len(s.gateways) {
		t.Errorf("%d targets have crashed, want %d", n, unluckyRuns*len(s.gateways))
	}
}

// expectComplete checks that all of a job's items are complete within a minute.
func (s *system) expectComplete(job string, items int) {
	s.t.Helper()
	const attempts = 600
	var status int
	var page wiretest.Page
	for range attempts {
		if status, page = s.caller.Results(s.gateways[0].CallerAddr(), job, 0, 0); len(page.Results) == items {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	complete := 0
	for _, r := range page.Results {
		if r.State == "complete" {
			complete++
		}
	}
	if complete != items {
		s.t.Errorf("results of %s: status %d, %d of %d items complete, want all: %+v", job, status, complete, items, page)
	}
}

// Guards against items that clear, by passing, what online requests are blocked for, that are blocked with them, or that
// make online requests be blocked because targets have crashed while running items.
func TestItemsAndOnlineRequestsAreJudgedApart(t *testing.T) {
	for _, isItemDeadly := range []bool{false, true} {
		t.Run(fmt.Sprintf("items crash targets: %t", isItemDeadly), func(t *testing.T) {
			s := newSystemWithoutTargets(t, wiretest.Routes)
			f := newPartFleet(s, 6)
			var mu sync.Mutex
			itemRuns := 0
			f.isDeadly = func(header http.Header, _ []byte) bool {
				mu.Lock()
				defer mu.Unlock()
				hasPart, isItem := strings.Contains(header.Get(wire.HeaderPromptPrefix), deadlyPart), header.Get(itemHeader) != ""
				if hasPart && isItem {
					itemRuns++
				}
				return hasPart && isItem == isItemDeadly && (!isItem || itemRuns <= deadlyItems)
			}
			s.startGateways(2)
			defer s.stopAll()
			defer f.replacements.Wait()
			rng := rand.New(rand.NewPCG(7, 1))
			online := func(n int) (served int) {
				for i := range n {
					body, prompt := promptBody(rng, 60), promptOf("f1", deadlyPart, fmt.Sprintf("b%d", rng.Int()))
					status, _ := s.caller.Send(s.gateways[i%2].CallerAddr(), http.MethodPost, "/call/x", fmt.Sprint("online-", rng.Int()), body, wire.HeaderPromptPrefix, prompt, wire.HeaderModel, "m")
					if status == http.StatusOK {
						served++
					}
					time.Sleep(callerPause)
				}
				return served
			}
			if !isItemDeadly {
				online(100) // the part is blocked, and its trials are over
			}
			crashesBefore := f.crashCount()
			var items []wiretest.Item
			for i := range 4 {
				id := fmt.Sprint("item-", i)
				items = append(items, wiretest.Item{
					ID: id, Path: "/batch/" + id, Body: []byte(promptBody(rng, 60)), Tokens: 10,
					Headers: map[string]string{wire.HeaderPromptPrefix: promptOf("f1", deadlyPart, id), wire.HeaderModel: "m", itemHeader: "1"},
				})
			}
			if status, text := s.caller.Submit(s.gateways[0].CallerAddr(), "job", items); status != http.StatusAccepted {
				t.Fatalf("submit of a job: status %d, text %s; want 202", status, text)
			}
			s.expectComplete("job", len(items))
			served := online(20)
			switch {
			case isItemDeadly && (served != 20 || f.crashCount() != deadlyItems):
				t.Errorf("%d of 20 online requests were served after %d crashes under items, want all after %d", served, f.crashCount(), deadlyItems)
			case !isItemDeadly && (served > 0 || f.crashCount() > crashesBefore):
				t.Errorf("%d online requests with the part were served and %d targets have crashed after items with it were served, want none", served, f.crashCount()-crashesBefore)
			}
		})
	}
}

// Guards against gateways that lose the quarantine when they restart: they must load it from the store.
func TestRestartedGatewayLoadsQuarantine(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newCrashFleet(s, 4)
	s.startGateways(2)
	defer f.replacements.Wait()
	f.sendCrashing("/once/x", 12, s.gateways...)
	crashesBefore := f.crashCount()
	s.stopAll()
	s.gateways, s.cancels, s.done = nil, nil, nil
	s.startGateways(2)
	defer s.stopAll()
	f.sendCrashing("/once/x", 6, s.gateways...)
	if n := f.crashCount(); n > crashesBefore {
		t.Errorf("%d more targets have crashed after the restart of the gateways, want 0", n-crashesBefore)
	}
	f.expectServed("/once/x", s.gateways[0])
}

// Guards against gateways that share the quarantine only through the store, so that each gateway must detect the
// crashes by itself during an outage of the store.
func TestCrashingRequestIsQuarantinedWithoutStore(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newCrashFleet(s, maxCrashes+2) // gateways don't learn of replacements during the outage
	s.startGateways(3)
	defer s.stopAll()
	store := s.store.(*keyedlog.View)
	f.s.store = store.Sibling() // f edits the list of targets through a view of the store without the outage
	defer f.replacements.Wait()
	store.Set(keyedlog.Faults{Refuse: true})
	f.sendCrashing("/once/x", 24, s.gateways...)
	if n := f.crashCount(); n < 3 || n > maxCrashes {
		t.Errorf("%d targets have crashed, want 3 to %d", n, maxCrashes)
	}
	store.Set(keyedlog.Faults{})
	s.startGateways(1)
	newGateway, crashesBefore := s.gateways[len(s.gateways)-1], f.crashCount()
	for newGateway.quarantine.IsEmpty() { // filled by its peers or the store; bounded by the timeout of the test
		time.Sleep(callerPause)
	}
	f.sendCrashing("/once/x", 6, newGateway)
	if n := f.crashCount(); n > crashesBefore {
		t.Errorf("%d more targets have crashed through a gateway that started after the outage, want 0", n-crashesBefore)
	}
}

// Workspaces of TestCrashingCallerDoesNotBlockOthers, which are also their API keys.
const (
	crashingWorkspace = "crashing"
	otherWorkspaces   = 3 // "other-0", "other-1" and so on
	ownAddress        = "no workspaces, own address and new contents"
)

// promptBody returns the body of a request with a prompt of words words after the instructions that all callers of
// an application share.
func promptBody(rng *rand.Rand, words int) string {
	var b strings.Builder
	b.WriteString(`{"model":"m-large","messages":[{"role":"system","content":"You are a helpful assistant. Answer briefly."},{"role":"user","content":"`)
	for range words {
		for range 2 + rng.IntN(8) {
			b.WriteByte(byte('a' + rng.IntN(26)))
		}
		b.WriteByte(' ')
	}
	b.WriteString(`"}]}`)
	return b.String()
}

// withChangedByte returns the body with another digit at one of its last 200 positions.
func withChangedByte(rng *rand.Rand, body string) string {
	changed := []byte(body)
	changed[len(changed)-1-rng.IntN(200)] = byte('0' + rng.IntN(10))
	return string(changed)
}

// answerCounts counts the answers to the requests of the callers whose contents crash no target.
type answerCounts struct {
	mu           sync.Mutex
	served, lost int
	unserved     map[string]int // other answers, by their text without digits
}

// note counts an answer. A request counts as lost by a crash, and not by the quarantine, if the gateway reports that
// a target may have run it and failed, or aborts an answer that has begun.
func (c *answerCounts) note(status int, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasFailedRun := strings.Contains(text, string(errs.TargetFailed)) || strings.Contains(text, string(errs.StreamBroken))
	switch {
	case status == http.StatusOK:
		c.served++
	case status == 0 && strings.Contains(text, "EOF"), hasFailedRun && strings.Contains(text, `"ran":"unknown"`):
		c.lost++
	default:
		c.unserved[fmt.Sprint(status, " ", strings.Trim(text, "\n"))]++
	}
}

// Guards against a quarantine that is an outage by itself: it must not reject requests whose contents were never sent
// before because one caller crashes targets with contents that differ in a byte from each other or, from its own
// address, with contents that share nothing.
func TestCrashingCallerDoesNotBlockOthers(t *testing.T) {
	for _, workspaces := range []string{"same workspace", "other workspaces", "no workspaces", ownAddress} {
		t.Run(workspaces, func(t *testing.T) {
			for name, path := range map[string]string{"call": "/call/x", "stream": "/stream/x", "one attempt": "/once/x"} {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					testCrashingCaller(t, workspaces, path)
				})
			}
		})
	}
}

// testCrashingCaller sends contents that crash targets and, at each gateway at the same time, contents that were never
// sent before, and checks how many of those are served and how many targets crash.
func testCrashingCaller(t *testing.T, workspaces, path string) {
	const (
		downTime       = 700 * time.Millisecond
		eventGap       = 10 * time.Millisecond
		pause          = 150 * time.Millisecond
		repeats        = 60
		firstCrashes   = 3
		minServedShare = 0.95
		promptWords    = 60
	)
	crashing, others := []string{""}, []string{""}
	config := wiretest.Routes
	if workspaces == "same workspace" || workspaces == "other workspaces" {
		keys := map[string][]string{crashingWorkspace: {crashingWorkspace}}
		crashing, others = []string{crashingWorkspace}, []string{crashingWorkspace}
		if workspaces == "other workspaces" {
			others = nil
			for i := range otherWorkspaces {
				name := fmt.Sprint("other-", i)
				keys[name], others = []string{name}, append(others, name)
			}
		}
		config = wiretest.RoutesWithKeys(1, keys, nil)
	}
	s := newSystemWithoutTargets(t, config)
	f := newCrashFleet(s, 6)
	f.downTime, f.eventGap = downTime, eventGap
	s.startGateways(3)
	defer s.stopAll()
	defer f.replacements.Wait()
	rng := rand.New(rand.NewPCG(1, 1))
	crashingCaller := s.caller.WithKey(crashing[0])
	if workspaces == ownAddress {
		crashingCaller = wiretest.NewCallerFrom("127.0.0.2", callTimeout, maxIdleConns)
	}
	crashingBody := crashBody + promptBody(rng, promptWords)
	var requests sync.WaitGroup
	answers := &answerCounts{unserved: make(map[string]int)}
	for i := range repeats {
		repeat := withChangedByte(rng, crashingBody)
		if workspaces == ownAddress {
			repeat = crashBody + promptBody(rng, promptWords)
		}
		requests.Go(func() {
			crashingCaller.Send(s.gateways[i%len(s.gateways)].CallerAddr(), http.MethodPost, path, fmt.Sprint("crashing-", i), repeat)
		})
		for j, g := range s.gateways {
			body, key := promptBody(rng, promptWords), others[(i+j)%len(others)]
			requests.Go(func() {
				answers.note(s.caller.WithKey(key).Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("other-%d-%d", i, j), body))
			})
		}
		time.Sleep(pause)
	}
	requests.Wait()
	crashes := f.crashCount()
	if late := crashes - firstCrashes; late > maxCrashes || crashes < firstCrashes {
		t.Errorf("%d targets have crashed, want at least 3 and at most 6 after the first three", crashes)
	}
	// A crash may lose all requests that the target was running, and no others.
	if answers.lost > crashes*targetSlots {
		t.Errorf("%d requests reported as lost by %d crashes, want at most 8 for each", answers.lost, crashes)
	}
	if n := repeats*len(s.gateways) - answers.lost; float64(answers.served) < minServedShare*float64(n) {
		t.Errorf("%d of %d requests of others served, want a share of at least 0.95; %d lost by crashes, other answers: %v", answers.served, n, answers.lost, answers.unserved)
	}
	t.Logf("%d crashes; %d of %d requests of others served, %d lost by crashes", crashes, answers.served, repeats*len(s.gateways), answers.lost)
}
