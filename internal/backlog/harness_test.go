package backlog

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	corequarantine "arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/quarantine"
	"arbutusramp/standin/keyedlog"
)

const (
	testShards     = 4
	testMinTTL     = time.Second
	testKeep       = 2 * time.Minute
	eventInterval  = 15 * time.Millisecond
	itemEvents     = 40
	longItemEvents = 200 // of items whose ids begin with "okay"
)

// cluster holds a store, some targets and the managers of some processes.
type cluster struct {
	t              *testing.T
	store          *keyedlog.Store
	targets        *fakeTargets
	route          *serving.Route
	isRouteRemoved atomic.Bool // the current configuration lacks the route
	nodesMu        sync.Mutex  // guards changes of nodes against concurrent readers outside the test's goroutine
	nodes          []*node
	keepFor        time.Duration // how long jobs stay readable
	inlineBytes    int           // see Options.SpreadBytes; 0 stores all texts separately
	// wrapStore wraps the store of each process; nil for the unmodified code.
	wrapStore func(platform.Store) platform.Store
	// rank returns how many processes precede a node as owners of shards; nil makes all of them members.
	rank     func(n *node) (rank int, isKnown bool)
	restarts sync.WaitGroup // pending replacements of targets
	// reportFailure is called for each violated expectation.
	reportFailure func(format string, args ...any)
}

// node is one process with a manager.
type node struct {
	w       *cluster
	name    string
	view    *keyedlog.View
	fleet   *fleetview.View
	manager *Manager
	// quarantine gets no records from the store: it holds only what the process itself has observed.
	quarantine *quarantine.Quarantine
	cancel     context.CancelFunc
	done       chan struct{}
}

func newCluster(t *testing.T, nodes int) *cluster {
	w := &cluster{
		t: t, store: keyedlog.New(testShards), targets: newFakeTargets(), reportFailure: t.Errorf, keepFor: testKeep,
		route: &serving.Route{
			Name: "batch", Host: "h", Prefix: "/b/", Kind: serving.KindBatch, Attempts: 3,
			Shares: []serving.Share{{Service: "llm", Weight: 1}}, Due: 18 * time.Second, Retain: time.Minute,
		},
	}
	w.targets.replace = w.replaceTarget
	w.startNodes(nodes)
	return w
}

// restartTime is how long a target that has crashed under an item is down.
const restartTime = 5 * time.Second

// replaceTarget removes a target from the list and lists another start in its place after restartTime.
func (w *cluster) replaceTarget(target string, crashes int) {
	start := serving.Target{ID: fmt.Sprintf("restart-%d", crashes), Service: "llm", Addr: "127.0.0.1:1", Domain: "d", Slots: 8}
	w.restarts.Go(func() {
		time.Sleep(restartTime / 2)
		w.eachNode(func(n *node) {
			n.fleet.Put(nil, []string{target})
			n.quarantine.TargetsGone([]string{target})
		})
		time.Sleep(restartTime / 2)
		w.eachNode(func(n *node) { n.fleet.Put([]serving.Target{start}, nil) })
	})
}

func (w *cluster) eachNode(f func(n *node)) {
	w.nodesMu.Lock()
	defer w.nodesMu.Unlock()
	for _, n := range w.nodes {
		f(n)
	}
}

func (w *cluster) startNodes(nodes int) {
	for i := range nodes {
		w.start(fmt.Sprintf("node-%d", i))
	}
}

// withCluster runs f in virtual time with processes among which the shards have been distributed.
func withCluster(t *testing.T, nodes int, f func(t *testing.T, w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, nodes)
		defer w.stopAll()
		time.Sleep(2 * time.Second)
		f(t, w)
	})
}

// start starts a process under a name that was not used before.
func (w *cluster) start(name string) *node {
	n := &node{w: w, name: name, view: w.store.View(), done: make(chan struct{})}
	n.fleet = fleetview.New(fleet.Options{Domain: "d", Self: fleet.Peer(name), StartSpare: 0, PeerTTL: time.Second})
	for i := range 3 {
		n.fleet.Put([]serving.Target{{ID: fmt.Sprintf("target-%d", i), Service: "llm", Addr: "127.0.0.1:1", Domain: "d", Slots: 8}}, nil)
	}
	log := testLogger(name)
	var store platform.Store = n.view
	if w.wrapStore != nil {
		store = w.wrapStore(store)
	}
	n.quarantine = quarantine.New(quarantine.Options{
		Threshold: corequarantine.DefaultThreshold, Hold: corequarantine.DefaultHold, Prober: w.targets, Fleet: n.fleet, Log: log, Metrics: metrics.NewRegistry(),
	})
	o := Options{Member: name, Shards: testShards, MinTTL: testMinTTL, Keep: w.keepFor, SpreadBytes: w.inlineBytes, Quarantine: n.quarantine}
	if w.rank != nil {
		o.Rank = func() (int, bool) { return w.rank(n) }
	}
	n.manager = New(o, store, w.targets, n.fleet, n, log, metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		if err := n.manager.Run(ctx); err != nil {
			w.reportFailure("%s: %v", name, err)
		}
	}()
	w.nodesMu.Lock()
	defer w.nodesMu.Unlock()
	w.nodes = append(w.nodes, n)
	return n
}

// Route implements Router.
func (n *node) Route(string, string) (*serving.Route, serving.Limits, error) {
	if n.w.isRouteRemoved.Load() {
		return nil, serving.Limits{}, errs.New(errs.NotFound, "no route")
	}
	return n.w.route, serving.Limits{}, nil
}

// stop ends a process as planned.
func (n *node) stop() {
	n.cancel()
	<-n.done
}

// kill ends a process at once: nothing that it does afterwards reaches the store.
func (n *node) kill() {
	n.view.Set(keyedlog.Faults{Refuse: true})
	n.stop()
}

func (w *cluster) stopAll() {
	for _, n := range w.nodes {
		n.stop()
	}
	w.restarts.Wait()
}

// job returns a job whose item ids begin with the given kinds; see fakeTargets.
func (w *cluster) job(id string, items ...string) *backlog.Job {
	j := &backlog.Job{ID: id, Route: w.route.Name, Host: "h", Submitted: time.Now().UnixMilli(),
		Due: w.route.Due, Retain: w.route.Retain, Attempts: w.route.Attempts}
	for i, kind := range items {
		j.Items = append(j.Items, backlog.Item{ID: fmt.Sprintf("%s-%s-%d", kind, id, i), URI: "/b/1", Body: []byte(id), Tokens: 100})
	}
	return j
}

func repeat(kind string, n int) []string {
	return strings.Fields(strings.Repeat(kind+" ", n))
}

// submit submits a job at the node until it is accepted.
func (n *node) submit(j *backlog.Job) {
	for range 20 {
		if err := n.manager.Submit(context.Background(), n.w.route, j); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	n.w.t.Fatalf("job %s was not accepted", j.ID)
}

// results reads a job at the node until it is complete or the time is over.
func (n *node) results(j *backlog.Job, within time.Duration) []backlog.Result {
	until := time.Now().Add(within)
	var list []backlog.Result
	for len(list) < len(j.Items) && time.Now().Before(until) {
		page, err := n.manager.Results(context.Background(), serving.Caller{}, j.ID, len(list), time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		list = append(list, page.Results...)
	}
	return list
}

// checkResults expects each item exactly once and with its whole output.
func (w *cluster) checkResults(j *backlog.Job, list []backlog.Result) {
	w.t.Helper()
	if len(list) != len(j.Items) {
		w.reportFailure("job %s: %d results of %d items", j.ID, len(list), len(j.Items))
	}
	seen := make(map[string]int)
	for _, r := range list {
		seen[r.Item]++
		if seen[r.Item] > 1 {
			w.reportFailure("job %s: item %s has two positions", j.ID, r.Item)
		}
		want, outcome := expectedOutput(r.Item), backlog.Complete
		if !strings.HasPrefix(r.Item, "ok") {
			want, outcome = "", backlog.Errored
		}
		if r.Outcome != outcome || r.Text != want {
			w.reportFailure("job %s: item %s is %s with %d bytes, want %s with %d", j.ID, r.Item, r.Outcome, len(r.Text), outcome, len(want))
		}
	}
}

func expectedOutput(item string) string {
	var lines []string
	for i := 1; i <= eventCountOf(item); i++ {
		lines = append(lines, fmt.Sprintf("%s:%d", item, i))
	}
	return strings.Join(lines, "\n")
}

func eventCountOf(item string) int {
	if strings.HasPrefix(item, "okay") {
		return longItemEvents
	}
	return itemEvents
}

// crashDelay is how long a target runs an item before the item crashes it.
const crashDelay = 50 * time.Millisecond

// fakeTargets respond according to the prefix of the item id: "ok" runs to its end, "never" is rejected for
// good with 422, "fail" fails with 500. "crash" crashes the target, "doom" does so after crashDelay, together
// with all other runs of the target. "mute" makes the target hang after crashDelay and ends it with its
// connections open.
type fakeTargets struct {
	mu           sync.Mutex
	runs         map[string]int // by item
	startTimes   map[string][]time.Time
	resumedAfter map[string]string // the event after which the last run of an item began
	// crashed are the targets that have ended. Another takes the place of each at once, under the same id.
	crashed map[string]bool
	// crashes counts the targets that have ended; streams are the open answers by target.
	crashes  int
	hung     map[string]bool
	refusing map[string]bool // targets that refuse connections
	streams  map[string][]*io.PipeWriter
	// replace lists another start in the place of a target that has ended.
	replace func(target string, crashes int)
}

func newFakeTargets() *fakeTargets {
	return &fakeTargets{
		runs: make(map[string]int), startTimes: make(map[string][]time.Time), resumedAfter: make(map[string]string), crashed: make(map[string]bool),
		streams: make(map[string][]*io.PipeWriter), hung: make(map[string]bool), refusing: make(map[string]bool),
	}
}

// crash ends a target. All its runs break off, one after the other.
func (f *fakeTargets) crash(target string) {
	f.mu.Lock()
	f.crashed[target], f.refusing[target] = true, true
	f.crashes++
	crashes, streams := f.crashes, f.streams[target]
	delete(f.streams, target)
	f.mu.Unlock()
	for _, s := range streams {
		_ = s.CloseWithError(io.ErrUnexpectedEOF)
	}
	f.replace(target, crashes)
}

// hang makes a target send nothing more, with its connections open.
func (f *fakeTargets) hang(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hung[target] = true
}

// hangAndReplace ends a target whose connections stay open.
func (f *fakeTargets) hangAndReplace(target string) {
	f.mu.Lock()
	isFirst := !f.hung[target]
	f.hung[target] = true
	if isFirst {
		f.crashes++
	}
	crashes := f.crashes
	f.mu.Unlock()
	if isFirst {
		f.replace(target, crashes)
	}
}

func (f *fakeTargets) isHung(target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hung[target]
}

// crashCount returns how many targets have ended.
func (f *fakeTargets) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// Send implements platform.TargetCaller.
func (f *fakeTargets) Send(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
	if ctx.Err() != nil {
		return nil, errs.New(errs.TargetFailed, "cancelled").WithRan(errs.RanNo)
	}
	id := c.Request.ID
	f.mu.Lock()
	f.runs[id]++
	f.startTimes[id] = append(f.startTimes[id], time.Now())
	f.resumedAfter[id] = c.ResumeAfter
	isDown := f.refusing[c.Target.ID]
	f.mu.Unlock()
	if isDown {
		return nil, errs.New(errs.TargetFailed, "connection refused").WithRan(errs.RanNo)
	}
	ans := &platform.TargetAnswer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(strings.NewReader(""))}
	switch {
	case strings.HasPrefix(id, "never"):
		ans.Status = http.StatusUnprocessableEntity
	case strings.HasPrefix(id, "fail"):
		ans.Status = http.StatusInternalServerError
	case strings.HasPrefix(id, "crash"):
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crashed[c.Target.ID] = true
		return nil, errs.New(errs.TargetFailed, "EOF").WithRan(errs.RanUnknown)
	case strings.HasPrefix(id, "mute"):
		if sleep.For(ctx, crashDelay) {
			f.hangAndReplace(c.Target.ID)
		}
		<-ctx.Done()
		return nil, errs.New(errs.Cancelled, ctx.Err().Error()).WithRan(errs.RanUnknown)
	case strings.HasPrefix(id, "doom"):
		return nil, f.crashDuringRequest(ctx, c.Target.ID)
	default:
		ans.Body = f.stream(ctx, c)
	}
	return ans, nil
}

// crashDuringRequest crashes a target under a request, unless the request is cancelled before. The other runs
// break off a moment earlier.
func (f *fakeTargets) crashDuringRequest(ctx context.Context, target string) error {
	if sleep.For(ctx, crashDelay) {
		f.crash(target)
	}
	if !sleep.For(ctx, time.Millisecond) {
		return errs.New(errs.Cancelled, ctx.Err().Error()).WithRan(errs.RanUnknown)
	}
	return errs.New(errs.TargetFailed, "EOF").WithRan(errs.RanUnknown)
}

// Probe implements platform.TargetProber.
func (f *fakeTargets) Probe(_ context.Context, t serving.Target) platform.ProbeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hung[t.ID] {
		return platform.ProbeUnknown
	}
	if f.crashed[t.ID] {
		return platform.ProbeGone
	}
	return platform.ProbeAlive
}

func (f *fakeTargets) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// lastStart returns when the item was last sent; zero if it never was.
func (f *fakeTargets) lastStart(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if starts := f.startTimes[id]; len(starts) > 0 {
		return starts[len(starts)-1]
	}
	return time.Time{}
}

// lastStartOf returns when the last of a job's items was sent.
func (f *fakeTargets) lastStartOf(j *backlog.Job) time.Time {
	var last time.Time
	for _, item := range j.Items {
		if at := f.lastStart(item.ID); at.After(last) {
			last = at
		}
	}
	return last
}

// lastResumedAfter returns the event after which the item's last run began.
func (f *fakeTargets) lastResumedAfter(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resumedAfter[id]
}

// stream sends the item's events after the one from which the call resumes.
func (f *fakeTargets) stream(ctx context.Context, c platform.TargetCall) io.ReadCloser {
	id, from := c.Request.ID, c.ResumeAfter
	r, wr := io.Pipe()
	f.mu.Lock()
	f.streams[c.Target.ID] = append(f.streams[c.Target.ID], wr)
	f.mu.Unlock()
	first := 1
	if n, err := strconv.Atoi(from); err == nil {
		first = n + 1
	}
	go func() {
		for i := first; i <= eventCountOf(id); i++ {
			if !sleep.For(ctx, eventInterval) || f.isHung(c.Target.ID) {
				<-ctx.Done()
				_ = wr.CloseWithError(ctx.Err())
				return
			}
			if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s:%d\n\n", i, id, i); err != nil {
				return
			}
		}
		_ = wr.Close()
	}()
	return r
}
