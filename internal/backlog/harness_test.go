package backlog

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
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
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
	"arbutusramp/standin/keyedlog"
)

const (
	testShards     = 4
	testMinTTL     = time.Second
	testKeepFor    = 2 * time.Minute
	eventInterval  = 15 * time.Millisecond
	itemEvents     = 40  // number of events of other items
	longItemEvents = 200 // number of events of items whose ids begin with "okay"
)

// cluster simulates a fleet: a store, targets and processes that each run a Manager.
type cluster struct {
	t                  *testing.T
	store              *keyedlog.Store
	targets            *fakeTargets
	route              *serving.Route
	versions           int         // number of software versions of the targets
	isRouteRemoved     atomic.Bool // the current configuration lacks the route
	nodesMu            sync.Mutex  // held for changes of nodes, and for reads outside the test's goroutine
	nodes              []*node
	keepFor            time.Duration // see Options.KeepFor
	maxJobBytes        func() int64  // of all processes; see Options.MaxJobBytes
	maxInlineReadBytes int           // see Options.MaxInlineReadBytes; 0 stores all texts separately
	// expectedTime is that of the fleet.Options of each process that is started.
	expectedTime fleet.ExpectedTimeMode
	// wrapStore wraps the store of each process that is started; nil leaves it as it is.
	wrapStore func(platform.Store) platform.Store
	// rank is Options.Rank of each process that is started; nil makes all processes members.
	rank     func(n *node) (rank int, isKnown bool)
	restarts sync.WaitGroup // replacements of targets that are not finished
	// reportFailure is called for each violated expectation; t.Errorf unless a test replaces it.
	reportFailure func(format string, args ...any)
}

// node simulates one process, which runs a Manager.
type node struct {
	cl      *cluster
	name    string
	view    *keyedlog.View
	fleet   *fleetview.View
	manager *Manager
	cancel  context.CancelFunc
	done    chan struct{}
}

// newCluster returns a cluster with that many running processes.
func newCluster(t *testing.T, nodes int) *cluster { return newClusterWith(t, nodes, defaultVersions) }

// newClusterWith is newCluster with targets of a number of software versions.
func newClusterWith(t *testing.T, nodes, versions int) *cluster {
	cl := &cluster{
		versions: versions,
		t:        t, store: keyedlog.New(testShards), targets: newFakeTargets(), reportFailure: t.Errorf, keepFor: testKeepFor,
		route: &serving.Route{
			Name: "batch", Host: "h", Prefix: "/b/", Kind: serving.KindBatch, MaxAttempts: 3,
			ServiceWeights: []serving.ServiceWeight{{Service: "llm", Weight: 1}}, DueWithin: 18 * time.Second, RetainFor: time.Minute,
		},
	}
	cl.targets.replace = cl.replaceTarget
	cl.startNodes(nodes)
	return cl
}

// restartTime is the time from the end of a target until its replacement is added.
const restartTime = 5 * time.Second

// replaceTarget removes a target from the views of all processes after half of restartTime, and adds another
// one after restartTime. crashes, the number of targets that have ended, distinguishes the replacements.
func (cl *cluster) replaceTarget(target string, crashes int) {
	replacement := serving.Target{ID: fmt.Sprintf("restart-%d", crashes), Service: "llm", Addr: "127.0.0.1:1", Domain: "d", Slots: 8, Version: cl.versionOf(crashes)}
	cl.restarts.Go(func() {
		time.Sleep(restartTime / 2)
		cl.eachNode(func(n *node) {
			n.fleet.UpdateTargets(nil, []string{target})
		})
		time.Sleep(restartTime / 2)
		cl.eachNode(func(n *node) { n.fleet.UpdateTargets([]serving.Target{replacement}, nil) })
	})
}

// eachNode calls f for each process.
func (cl *cluster) eachNode(f func(n *node)) {
	cl.nodesMu.Lock()
	defer cl.nodesMu.Unlock()
	for _, n := range cl.nodes {
		f(n)
	}
}

// startNodes starts that many processes.
func (cl *cluster) startNodes(nodes int) {
	for i := range nodes {
		cl.start(fmt.Sprintf("node-%d", i))
	}
}

// withCluster runs f in virtual time with a cluster of that many processes, after the shards have been
// divided among them.
func withCluster(t *testing.T, nodes int, f func(t *testing.T, cl *cluster)) {
	withVersions(t, nodes, defaultVersions, f)
}

// withVersions is withCluster with targets of a number of software versions.
func withVersions(t *testing.T, nodes, versions int, f func(t *testing.T, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newClusterWith(t, nodes, versions)
		defer cl.stopAll()
		time.Sleep(2 * time.Second)
		f(t, cl)
	})
}

// start starts a process. The name must not have been used before.
func (cl *cluster) start(name string) *node {
	n := &node{cl: cl, name: name, view: cl.store.View(), done: make(chan struct{})}
	n.fleet = fleetview.New(fleet.Options{Domain: "d", Self: fleet.Peer(name), MinFreeAfterStart: 0, PeerTTL: time.Second, ExpectedTime: cl.expectedTime, YieldsInOverload: true})
	for i := range 3 {
		n.fleet.UpdateTargets([]serving.Target{{ID: fmt.Sprintf("target-%d", i), Service: "llm", Addr: "127.0.0.1:1", Domain: "d", Slots: 8, Version: cl.versionOf(i)}}, nil)
	}
	log := testLogger(name)
	var store platform.Store = n.view
	if cl.wrapStore != nil {
		store = cl.wrapStore(store)
	}
	o := Options{MemberID: name, Shards: testShards, MinTTL: testMinTTL, KeepFor: cl.keepFor, MaxInlineReadBytes: cl.maxInlineReadBytes, MaxJobBytes: cl.maxJobBytes}
	if cl.rank != nil {
		o.Rank = func() (int, bool) { return cl.rank(n) }
	}
	n.manager = New(o, store, cl.targets, n.fleet, n, log, metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		if err := n.manager.Run(ctx); err != nil {
			cl.reportFailure("process %s: Manager.Run returned error %v, want none", name, err)
		}
	}()
	cl.nodesMu.Lock()
	defer cl.nodesMu.Unlock()
	cl.nodes = append(cl.nodes, n)
	return n
}

// Route implements Router: there is one route, unless isRouteRemoved is set.
func (n *node) Route(string, string) (*serving.Route, serving.Limits, error) {
	if n.cl.isRouteRemoved.Load() {
		return nil, serving.Limits{}, errs.New(errs.NotFound, "no route")
	}
	return n.cl.route, serving.Limits{}, nil
}

// stop ends a process as planned: it hands its items over first.
func (n *node) stop() {
	n.cancel()
	<-n.done
}

// kill ends a process at once: nothing that it does afterwards reaches the store.
func (n *node) kill() {
	n.view.Set(keyedlog.Faults{Refuse: true})
	n.stop()
}

// stopAll stops all processes and waits for the replacements of targets.
func (cl *cluster) stopAll() {
	for _, n := range cl.nodes {
		n.stop()
	}
	cl.restarts.Wait()
}

// job returns a job with an item of each of the kinds, with which the item ids begin; see fakeTargets.
func (cl *cluster) job(id string, kinds ...string) *backlog.Job {
	j := &backlog.Job{ID: id, Route: cl.route.Name, Host: "h", SubmittedMs: time.Now().UnixMilli(),
		DueWithin: cl.route.DueWithin, RetainFor: cl.route.RetainFor, MaxAttempts: cl.route.MaxAttempts}
	for i, kind := range kinds {
		j.Items = append(j.Items, backlog.Item{ID: fmt.Sprintf("%s-%s-%d", kind, id, i), URI: "/b/1", Body: []byte(id), Tokens: 100})
	}
	return j
}

// repeat returns a list that contains kind n times.
func repeat(kind string, n int) []string {
	return strings.Fields(strings.Repeat(kind+" ", n))
}

// submit submits a job to the process until it is accepted; 20 times at most.
func (n *node) submit(j *backlog.Job) {
	for range 20 {
		if err := n.manager.Submit(context.Background(), n.cl.route, j); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	n.cl.t.Fatalf("job %s was not accepted in 20 submissions, want it accepted", j.ID)
}

// results reads a job's results from the process until there is one for each item or the time is over, and
// returns those that were read.
func (n *node) results(j *backlog.Job, within time.Duration) []backlog.Result {
	deadline := time.Now().Add(within)
	var list []backlog.Result
	for len(list) < len(j.Items) && time.Now().Before(deadline) {
		page, err := n.manager.Results(context.Background(), serving.Caller{}, j.ID, len(list), time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		list = append(list, page.Results...)
	}
	return list
}

// checkResults reports a failure unless list holds each item of the job exactly once, with its whole output and
// Complete if its id begins with "ok", and without text and Errored otherwise.
func (cl *cluster) checkResults(j *backlog.Job, list []backlog.Result) {
	cl.t.Helper()
	if len(list) != len(j.Items) {
		cl.reportFailure("job %s has %d results, want one for each of its %d items", j.ID, len(list), len(j.Items))
	}
	seen := make(map[string]int)
	for _, r := range list {
		seen[r.Item]++
		if seen[r.Item] > 1 {
			cl.reportFailure("job %s: item %s has more than one position, want one", j.ID, r.Item)
		}
		wantText, wantOutcome := expectedOutput(r.Item), backlog.Complete
		if !strings.HasPrefix(r.Item, "ok") {
			wantText, wantOutcome = "", backlog.Errored
		}
		text, versions := splitVersions(r.Text)
		if len(versions) > 1 {
			cl.reportFailure("job %s: the text of item %s has events of versions %v, want one version", j.ID, r.Item, versions)
		}
		if r.Outcome != wantOutcome || text != wantText {
			cl.reportFailure("job %s: the result of item %s is %s with a text of %d bytes, want %s with the expected text of %d bytes", j.ID, r.Item, r.Outcome, len(r.Text), wantOutcome, len(wantText))
		}
	}
}

// defaultVersions is the number of software versions of the targets of a cluster.
const defaultVersions = 2

// versionOf returns the version of the i-th target.
func (cl *cluster) versionOf(i int) string { return fmt.Sprintf("v%d", i%cl.versions) }

// versionSeparator separates the version of the target from the rest of an event's data.
const versionSeparator = "@"

// splitVersions returns a text without the versions in its events, and the different versions.
func splitVersions(text string) (plain string, versions []string) {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		data, version, _ := strings.Cut(line, versionSeparator)
		lines[i] = data
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return strings.Join(lines, "\n"), versions
}

// expectedOutput returns the whole output of an item: the data of all its events, joined by newlines.
func expectedOutput(item string) string {
	var lines []string
	for i := 1; i <= eventCountOf(item); i++ {
		lines = append(lines, fmt.Sprintf("%s:%d", item, i))
	}
	return strings.Join(lines, "\n")
}

// eventCountOf returns the number of events that targets send for an item.
func eventCountOf(item string) int {
	if strings.HasPrefix(item, "okay") {
		return longItemEvents
	}
	return itemEvents
}

// unluckyRuns is how many runs of an item of kind "okunlucky" lose their targets.
const unluckyRuns = 7

// crashDelay is how long a target runs an item of kind "doom" or "mute" before it ends.
const crashDelay = 50 * time.Millisecond

// fakeTargets simulates all targets. They respond according to the kind of an item, the prefix of its id: the
// whole output of "ok" and "okay" is streamed, "never" is answered with 422, "fail" with 500. "crash" ends
// its target at once, without an effect on other runs. "doom" ends its target after crashDelay, which breaks
// off all other runs of the target. "mute" makes its target send nothing more after crashDelay, with its
// connections open, until the target is replaced. "okunlucky" is as "ok", but each of its first unluckyRuns runs has the
// fate of "doom".
type fakeTargets struct {
	mu           sync.Mutex
	runs         map[string]int         // number of runs by item id
	startTimes   map[string][]time.Time // of the runs, by item id
	begunTimes   map[string][]time.Time // of the runs whose targets have accepted the connection, by item id
	resumedAfter map[string]string      // id of the event after which the last run began, by item id
	// crashes is the number of targets that were replaced after they had crashed or stopped sending.
	crashes  int
	hung     map[string]bool             // ids of targets that send nothing more
	refusing map[string]bool             // ids of targets that refuse connections
	streams  map[string][]*io.PipeWriter // open answers by target id
	// floods, if it is not nil, reports whether a run of an item, the n-th from 1 on, is answered with valid events without
	// end; see floodBody.
	floods func(id string, n int) bool
	// comments is sent after each event of a stream.
	comments string
	// answers are sent before the usual ones, by item id; see scriptedAnswer.
	answers map[string][]string
	// intercept, if it is not nil, answers a request in place of its target if it returns true. It must be set before the
	// first request.
	intercept   func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error, bool)
	intercepted map[string]int // number of runs that intercept has answered, by item id
	// replace is called for each target that has ended; see cluster.replaceTarget.
	replace func(target string, crashes int)
}

// newFakeTargets returns targets that have not run any item. The caller sets replace.
func newFakeTargets() *fakeTargets {
	return &fakeTargets{
		runs: make(map[string]int), startTimes: make(map[string][]time.Time), begunTimes: make(map[string][]time.Time), resumedAfter: make(map[string]string),
		streams: make(map[string][]*io.PipeWriter), hung: make(map[string]bool), refusing: make(map[string]bool),
		intercepted: make(map[string]int),
	}
}

// crash ends a target, breaks off all its runs, one after the other, and has it replaced.
func (f *fakeTargets) crash(target string) {
	f.mu.Lock()
	f.refusing[target] = true
	f.crashes++
	crashes := f.crashes
	f.mu.Unlock()
	f.breakOff(target)
	f.replace(target, crashes)
}

// breakOff ends all runs of a target, one after the other.
func (f *fakeTargets) breakOff(target string) {
	f.mu.Lock()
	streams := f.streams[target]
	delete(f.streams, target)
	f.mu.Unlock()
	for _, s := range streams {
		_ = s.CloseWithError(io.ErrUnexpectedEOF)
	}
}

// streamCount returns the number of answers that a target has begun and not broken off.
func (f *fakeTargets) streamCount(target string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.streams[target])
}

// hangAndReplace makes a target send nothing more, with its connections open, and has it replaced. It has no
// effect on a target that hangs already.
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

// isHung reports whether a target sends nothing more.
func (f *fakeTargets) isHung(target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hung[target]
}

// Send implements platform.TargetCaller; see fakeTargets.
func (f *fakeTargets) Send(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
	if ctx.Err() != nil {
		return nil, errs.New(errs.TargetFailed, "cancelled").WithRan(errs.RanNo)
	}
	id := c.Request.ID
	f.mu.Lock()
	f.runs[id]++
	f.startTimes[id] = append(f.startTimes[id], time.Now())
	f.resumedAfter[id] = c.ResumeAfter
	isDown, isFlood := f.refusing[c.Target.ID], f.floods != nil && f.floods(id, f.runs[id])
	if !isDown {
		f.begunTimes[id] = append(f.begunTimes[id], time.Now())
	}
	f.mu.Unlock()
	if isDown {
		return nil, errs.New(errs.TargetFailed, "connection refused").WithRan(errs.RanNo)
	}
	if f.intercept != nil {
		if answer, err, ok := f.intercept(ctx, c); ok {
			f.mu.Lock()
			f.intercepted[id]++
			f.mu.Unlock()
			return answer, err
		}
	}
	answer := &platform.TargetAnswer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(strings.NewReader(""))}
	if body, ok := f.scriptedAnswer(id); ok {
		answer.Body = body
		return answer, nil
	}
	switch {
	case isFlood:
		answer.Body = floodBody(ctx)
	case strings.HasPrefix(id, "never"):
		answer.Status = http.StatusUnprocessableEntity
	case strings.HasPrefix(id, "fail"):
		answer.Status = http.StatusInternalServerError
	case strings.HasPrefix(id, "crash"):
		return nil, errs.New(errs.TargetFailed, "EOF").WithRan(errs.RanUnknown)
	case strings.HasPrefix(id, "mute"):
		if sleep.For(ctx, crashDelay) {
			f.hangAndReplace(c.Target.ID)
		}
		<-ctx.Done()
		return nil, errs.New(errs.Cancelled, ctx.Err().Error()).WithRan(errs.RanUnknown)
	case strings.HasPrefix(id, "doom") || strings.HasPrefix(id, "okunlucky") && f.begunCount(id) <= unluckyRuns:
		return nil, f.crashDuringRequest(ctx, c.Target.ID)
	default:
		answer.Body = f.stream(ctx, c)
	}
	return answer, nil
}

// crashDuringRequest crashes a target crashDelay after it has received a request, unless the request is
// cancelled before, and returns the error of the request. The target's other runs are broken off 1 ms
// earlier.
func (f *fakeTargets) crashDuringRequest(ctx context.Context, target string) error {
	if sleep.For(ctx, crashDelay) {
		f.crash(target)
	}
	if !sleep.For(ctx, time.Millisecond) {
		return errs.New(errs.Cancelled, ctx.Err().Error()).WithRan(errs.RanUnknown)
	}
	return errs.New(errs.TargetFailed, "EOF").WithRan(errs.RanUnknown)
}

// runCount returns how often an item was sent to a target.
func (f *fakeTargets) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// ownAnswerCount returns how often an item was sent to a target that has answered as the item's kind says.
func (f *fakeTargets) ownAnswerCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id] - f.intercepted[id]
}

// begunCount returns how often an item was sent to a target that has accepted the connection.
func (f *fakeTargets) begunCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.begunTimes[id])
}

// lastStart returns the time at which an item was last sent to a target; zero if it never was.
func (f *fakeTargets) lastStart(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if starts := f.startTimes[id]; len(starts) > 0 {
		return starts[len(starts)-1]
	}
	return time.Time{}
}

// lastStartOf returns the time at which any of a job's items was last sent to a target; zero if none was.
func (f *fakeTargets) lastStartOf(j *backlog.Job) time.Time {
	var last time.Time
	for _, item := range j.Items {
		if at := f.lastStart(item.ID); at.After(last) {
			last = at
		}
	}
	return last
}

// lastResumedAfter returns the id of the event after which an item's last run began; empty for a run from the
// start.
func (f *fakeTargets) lastResumedAfter(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resumedAfter[id]
}

// stream returns the body of an answer with an item's events, sent at eventInterval, after the one from which
// the call resumes. The stream stops without an end if the target hangs, and breaks off when ctx ends.
func (f *fakeTargets) stream(ctx context.Context, c platform.TargetCall) io.ReadCloser {
	id, resumeAfter := c.Request.ID, c.ResumeAfter
	r, writer := io.Pipe()
	f.mu.Lock()
	f.streams[c.Target.ID] = append(f.streams[c.Target.ID], writer)
	f.mu.Unlock()
	first := 1
	if n, err := strconv.Atoi(resumeAfter); err == nil {
		first = n + 1
	}
	go func() {
		for i := first; i <= eventCountOf(id); i++ {
			if !sleep.For(ctx, eventInterval) || f.isHung(c.Target.ID) {
				<-ctx.Done()
				_ = writer.CloseWithError(ctx.Err())
				return
			}
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s:%d%s%s\n\n%s", i, id, i, versionSeparator, c.Target.Version, f.comments); err != nil {
				return
			}
		}
		_ = writer.Close()
	}()
	return r
}
