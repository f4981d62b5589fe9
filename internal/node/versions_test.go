package node

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusramp/core/serving"
	"arbutusramp/internal/settings"
	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
)

const (
	// versionEventGap is the pause of the targets of a versionFleet after each event.
	versionEventGap = 2 * time.Millisecond
	// brokenAfter is the event after which a versionFleet breaks off a stream.
	brokenAfter = 5
	// longTimeout is how long callers wait for an answer: no stream of a versionFleet ends by its deadline.
	longTimeout = time.Minute
	// streamsPerCase is how many streams a case begins at each version.
	streamsPerCase = 4
)

// longRoutes is wiretest.Routes with streams that may last for longTimeout.
var longRoutes = strings.Replace(wiretest.Routes, `"timeout_ms":2500`, fmt.Sprintf(`"timeout_ms":%d`, longTimeout.Milliseconds()), 1)

// versionFleet has targets whose events contain the version of their software.
type versionFleet struct {
	s       *system
	servers map[string]*versionServer // by id of the target

	// onBrokenAfter, if it is not nil, is called with the id of a request when the target has sent event brokenAfter.
	onBrokenAfter func(request string)

	mu   sync.Mutex
	runs int // requests that targets have run
	// breaks is how many more runs of a request are broken off, by its id; requests that are not in it break off
	// breaksPerRequest times.
	breaks           map[string]int
	breaksPerRequest int
	events           int // number of events of a stream
	ids              int // ids of requests so far
}

// versionServer is an address at which one target after another runs.
type versionServer struct {
	*httptest.Server
	target  atomic.Pointer[wiretest.Target]
	started time.Time // of the target; zero if its entry does not tell it
}

// newVersionFleet returns a system with gateways and with targets of these versions, one for each element.
func newVersionFleet(t *testing.T, gateways int, versions ...string) *versionFleet {
	f := &versionFleet{s: newSystemWithoutTargets(t, longRoutes), servers: make(map[string]*versionServer), breaks: make(map[string]int), events: itemEvents}
	f.s.caller = f.s.caller.WithTimeout(longTimeout)
	for i, version := range versions {
		f.startTarget(fmt.Sprintf("i-%d", i), version, time.Time{})
	}
	f.s.startGateways(gateways)
	return f
}

// newTarget returns a target with an id, a version and a start time, which may be zero.
func (f *versionFleet) newTarget(id, version string, started time.Time) *wiretest.Target {
	target := &wiretest.Target{ID: id, Version: version, Events: f.events, EventGap: versionEventGap, BreaksAfter: f.breakOff, OnRun: f.noteRun}
	if !started.IsZero() {
		target.StartedMs = started.UnixMilli()
	}
	return target
}

// startTarget starts a target at a new address and adds it to the list of targets.
func (f *versionFleet) startTarget(id, version string, started time.Time) {
	server := &versionServer{started: started}
	server.target.Store(f.newTarget(id, version, started))
	server.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { server.target.Load().ServeHTTP(w, r) }))
	f.s.t.Cleanup(server.Close)
	f.servers[id] = server
	f.list(id, false)
}

// list writes the entry of a target.
func (f *versionFleet) list(id string, isDraining bool) {
	server := f.servers[id]
	f.s.must(wiretest.PutTarget(f.s.t.Context(), f.s.store, wiretest.TargetEntry{
		Name: id, Addr: server.Listener.Addr().String(), Domain: "d", Slots: targetSlots, Version: server.target.Load().Version, Started: server.started, IsDraining: isDraining,
	}))
}

// restartTarget ends a target and starts another one at its address, whose entry is not written yet.
func (f *versionFleet) restartTarget(id, newID, version string, started time.Time) {
	f.replaceTarget(id, newID, version, started)
	f.servers[newID].CloseClientConnections()
}

// replaceTarget makes another target serve all further requests at the address of a target. Its entry is not written
// yet, and connections stay open.
func (f *versionFleet) replaceTarget(id, newID, version string, started time.Time) {
	server := f.servers[id]
	delete(f.servers, id)
	f.servers[newID] = server
	server.started = started
	server.target.Store(f.newTarget(newID, version, started))
}

// stopTarget ends a target and removes it from the list of targets.
func (f *versionFleet) stopTarget(id string) {
	f.servers[id].CloseClientConnections()
	f.servers[id].Close()
	f.unlist(id)
}

// unlist removes the entry of a target.
func (f *versionFleet) unlist(id string) {
	f.s.must(wiretest.RemoveTarget(f.s.t.Context(), f.s.store, id))
}

// awaitTargets waits until each gateway has read a list that isExpected accepts.
func (f *versionFleet) awaitTargets(isExpected func(list []serving.Target) bool) {
	for _, g := range f.s.gateways {
		for !isExpected(g.view.Targets()) {
			time.Sleep(10 * time.Millisecond) // bounded by the timeout of the test
		}
	}
}

// noteRun counts a request that a target runs.
func (f *versionFleet) noteRun(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
}

// runCount returns how many requests targets have run.
func (f *versionFleet) runCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs
}

// setBreaks sets how many runs of each request are broken off.
func (f *versionFleet) setBreaks(perRequest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breaksPerRequest = perRequest
}

// breakOff implements wiretest.Target.BreaksAfter.
func (f *versionFleet) breakOff(request string, event int) bool {
	if event == brokenAfter && f.onBrokenAfter != nil {
		f.onBrokenAfter(request)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	left, ok := f.breaks[request]
	if !ok {
		left = f.breaksPerRequest
	}
	if event%brokenAfter != 0 || left == 0 {
		return false
	}
	f.breaks[request] = left - 1
	return true
}

// newID returns an id for a request.
func (f *versionFleet) newID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids++
	return fmt.Sprintf("stream-%d", f.ids)
}

// heldStream is a stream as its caller holds it after one or more attempts.
type heldStream struct {
	firstID string // id of the request that brought its first event
	text    string
}

// begin begins a stream of a version at a gateway, reads its first events and disconnects. Other versions serve new
// streams as well, so that several attempts may be needed.
func (f *versionFleet) begin(g *Gateway, version string) heldStream {
	f.s.t.Helper()
	for {
		var group sync.WaitGroup
		begun := make([]heldStream, 4)
		for i := range begun {
			group.Go(func() {
				id := f.newID()
				_, text := f.s.caller.SendUntil(brokenAfter, g.CallerAddr(), "/stream/x", id)
				begun[i] = heldStream{id, text}
			})
		}
		group.Wait()
		for _, h := range begun {
			if s, err := wiretest.ParseStream(h.text); err == nil && s.Events == brokenAfter && slices.Equal(s.Versions, []string{version}) {
				return h
			}
		}
	}
}

// takeUp sends a request that goes on with a stream at a gateway, reads up to the given number of events and adds them
// to the stream. It returns the status and, if that is not 200, the body.
func (f *versionFleet) takeUp(g *Gateway, h *heldStream, events int, resumes string) (status int, body string) {
	f.s.t.Helper()
	s, err := wiretest.ParseStream(h.text)
	f.s.must(err)
	status, body = f.s.caller.SendUntil(events, g.CallerAddr(), "/stream/x", f.newID(), wire.HeaderLastEventID, strconv.Itoa(s.Events), wire.HeaderResumes, resumes)
	if status == http.StatusOK {
		h.text += body
	}
	return status, body
}

// expectWhole checks that a stream has all events, from targets of one version.
func (f *versionFleet) expectWhole(what string, h heldStream) {
	f.s.t.Helper()
	s, err := wiretest.ParseStream(h.text)
	if err != nil || s.Events != itemEvents || len(s.Versions) != 1 {
		f.s.t.Errorf("%s: stream %s has %d events of versions %v, error %v; want %d of one version", what, h.firstID, s.Events, s.Versions, err, itemEvents)
	}
}

// Guards against an answer whose events come from targets of two software versions, because a stream that its target
// broke off went on at any target of the service, and against new streams that use one version only.
func TestBrokenStreamContinuesAtItsVersion(t *testing.T) {
	f := newVersionFleet(t, 1, "v1", "v1", "v2", "v2", "v2")
	defer f.s.stopAll()
	f.setBreaks(1)
	seen := make(map[string]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	for range 30 {
		group.Go(func() {
			id := f.newID()
			status, text := f.s.caller.SendUntil(itemEvents, f.s.gateways[0].CallerAddr(), "/stream/x", id)
			mu.Lock()
			defer mu.Unlock()
			if status != http.StatusOK {
				t.Errorf("stream %s: status %d, text %s; want 200", id, status, text)
				return
			}
			f.expectWhole("broken off once", heldStream{id, text})
			s, _ := wiretest.ParseStream(text) // expectWhole has checked it
			seen[s.Versions[0]]++
		})
	}
	group.Wait()
	if seen["v1"] == 0 || seen["v2"] == 0 {
		t.Errorf("new streams by version: %v, want some of v1 and of v2", seen)
	}
}

// Guards against a stream that a caller resumes at another gateway and that goes on at another software version.
func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	f := newVersionFleet(t, 3, "v1", "v1", "v2", "v2", "v2")
	defer f.s.stopAll()
	for _, version := range []string{"v1", "v2"} {
		for range streamsPerCase {
			h := f.begin(f.s.gateways[0], version)
			for i, g := range []*Gateway{f.s.gateways[1], f.s.gateways[2], f.s.gateways[1]} {
				if status, body := f.takeUp(g, &h, brokenAfter, h.firstID); status != http.StatusOK {
					t.Fatalf("stream of %s resumed for the %d. time: status %d, %s; want 200", version, i+1, status, body)
				}
			}
			f.expectWhole("taken up three times", h)
		}
	}
}

// Guards against the result of a batch item whose text was put together from runs at two software versions.
func TestItemTextComesFromOneVersion(t *testing.T) {
	f := newVersionFleet(t, 2, "v1", "v1", "v2", "v2")
	defer f.s.stopAll()
	f.setBreaks(2)
	const count = 16
	var items []wiretest.Item
	for i := range count {
		items = append(items, wiretest.Item{ID: fmt.Sprintf("item-%d", i), Path: "/batch/x", Tokens: 10})
	}
	if status, text := f.s.caller.Submit(f.s.gateways[0].CallerAddr(), "job", items); status != http.StatusAccepted {
		t.Fatalf("submit: status %d, %s; want 202", status, text)
	}
	f.expectItems("job", count)
}

// expectItems reads the results of a job and checks that each is complete and comes from one version. It returns the
// versions by item.
func (f *versionFleet) expectItems(job string, count int) map[string]string {
	f.s.t.Helper()
	versions := make(map[string]string)
	for len(versions) < count {
		status, page := f.s.caller.Results(f.s.gateways[0].CallerAddr(), job, len(versions), time.Second)
		if status != http.StatusOK {
			f.s.t.Fatalf("results of %s: status %d, want 200", job, status)
		}
		for _, r := range page.Results {
			s := wiretest.ParseItemText(r.Text)
			if r.State != "complete" || s.Events != itemEvents || len(s.Versions) != 1 {
				f.s.t.Errorf("item %s: %s with %d events of versions %v; want it complete with %d of one version", r.ID, r.State, s.Events, s.Versions, itemEvents)
			}
			versions[r.ID] = fmt.Sprint(s.Versions)
		}
	}
	return versions
}

// errorType returns the type of an error that a gateway has answered with.
func errorType(body string) string {
	var e struct {
		Type string `json:"type"`
	}
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		return body
	}
	return e.Type
}

// expectRejected checks that a resumption of a stream is rejected with an error of a type and status 503, which promises
// that no target has run it.
func (f *versionFleet) expectRejected(what string, g *Gateway, h heldStream, resumes, wantType string) {
	f.s.t.Helper()
	runs := f.runCount()
	status, body := f.takeUp(g, &h, itemEvents, resumes)
	if status != http.StatusServiceUnavailable || errorType(body) != wantType || f.runCount() != runs {
		f.s.t.Errorf("%s: status %d, %s, and %d runs at targets; want 503, type %s and no run", what, status, body, f.runCount()-runs, wantType)
	}
}

// Guards against a stream that goes on at another version at a gateway that started after it began, or after the gateway
// where it began has stopped, and against one that does not go on there although other gateways know its origin.
func TestStreamIsTakenUpWhenGatewaysChange(t *testing.T) {
	f := newVersionFleet(t, 3, "v1", "v1", "v2", "v2", "v2")
	defer f.s.stopAll()
	var held []heldStream
	for _, version := range []string{"v1", "v2"} {
		for range streamsPerCase {
			held = append(held, f.begin(f.s.gateways[0], version))
		}
	}
	f.s.startGateways(1)
	newGateway := f.s.gateways[3]
	f.s.cancels[0]()
	f.s.must(<-f.s.done[0])
	f.s.done[0] <- nil // for stopAll
	for i := range held {
		if status, body := f.takeUp(newGateway, &held[i], brokenAfter, held[i].firstID); status != http.StatusOK {
			t.Errorf("stream resumed at a new gateway: status %d, %s; want 200", status, body)
			continue
		}
		if status, body := f.takeUp(f.s.gateways[1], &held[i], itemEvents, held[i].firstID); status != http.StatusOK {
			t.Errorf("stream resumed again: status %d, %s; want 200", status, body)
		}
		f.expectWhole("taken up after its gateway has stopped", held[i])
	}
}

// Guards against a gateway that guesses the version of a stream: because it has never heard of it, because Resumes is
// missing or names no request, or names one of another workspace.
func TestStreamOfUnknownOriginIsRejected(t *testing.T) {
	f := newVersionFleet(t, 1, "v1", "v1", "v2", "v2")
	defer f.s.stopAll()
	h := f.begin(f.s.gateways[0], "v1")
	isolated := f.startIsolatedGateway()
	f.expectRejected("gateway that never heard of the stream", isolated, h, h.firstID, "stream_unknown")
	for what, resumes := range map[string]string{"Resumes is missing": "", "unknown request": "no-such-request", "not an id": "\xff, /?#\t", "long": strings.Repeat("x", 4096)} {
		f.expectRejected(what, f.s.gateways[0], h, resumes, "stream_unknown")
	}
	if status, body := f.takeUp(f.s.gateways[0], &h, itemEvents, h.firstID); status != http.StatusOK {
		t.Errorf("stream resumed with its id: status %d, %s; want 200", status, body)
	}
	f.expectWhole("taken up in the end", h)
}

// startIsolatedGateway starts a gateway that serves the same targets and reaches no other gateway.
func (f *versionFleet) startIsolatedGateway() *Gateway {
	other := &versionFleet{s: newSystemWithoutTargets(f.s.t, longRoutes), servers: f.servers}
	for id := range f.servers {
		other.list(id, false)
	}
	other.s.startGateways(1)
	f.s.t.Cleanup(other.s.stopAll)
	return other.s.gateways[0]
}

// Guards against a stream that waits for its deadline, or goes on elsewhere, when no target of its version is left, and
// against an answer that is not broken off then.
func TestStreamWhoseVersionIsGoneIsToldAtOnce(t *testing.T) {
	f := newVersionFleet(t, 2, "v1", "v2", "v2")
	defer f.s.stopAll()
	h := f.begin(f.s.gateways[0], "v1")
	drained := f.begin(f.s.gateways[0], "v1")
	f.list("i-0", true)
	f.awaitTargets(func(list []serving.Target) bool {
		return slices.ContainsFunc(list, func(t serving.Target) bool { return t.ID == "i-0" && t.IsDraining })
	})
	f.expectRejected("draining target", f.s.gateways[1], drained, drained.firstID, "version_gone")
	f.stopTarget("i-0")
	for _, g := range f.s.gateways {
		f.expectRejected("stopped target", g, h, h.firstID, "version_gone")
	}
	f.setBreaks(math.MaxInt)
	_, text := f.s.caller.SendUntil(itemEvents, f.s.gateways[0].CallerAddr(), "/stream/x", f.newID())
	if s, err := wiretest.ParseStream(text); err != nil || len(s.Versions) != 1 || s.Events == itemEvents {
		t.Errorf("stream that all targets break off: %+v, error %v; want an end after some events of one version", s, err)
	}
}

// Guards against a stream that goes on at a target that has started again with another version: under another name at
// the same address, and under its old name.
func TestStreamDoesNotFollowARestartedTarget(t *testing.T) {
	began := time.Now()
	for name, c := range map[string]struct {
		newID              string
		started, restarted time.Time
	}{
		"another name": {newID: "n-0"},
		"the old name": {newID: "i-0", started: began, restarted: began.Add(time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionFleet(t, 2)
			defer f.s.stopAll()
			f.startTarget("i-0", "v1", c.started)
			hasVersion := func(version string) func([]serving.Target) bool {
				return func(list []serving.Target) bool { return len(list) == 1 && list[0].Version == version }
			}
			f.awaitTargets(hasVersion("v1"))
			h := f.begin(f.s.gateways[0], "v1")
			f.restartTarget("i-0", c.newID, "v2", c.restarted)
			f.expectRejected("before the list has changed", f.s.gateways[1], h, h.firstID, "version_gone")
			if c.newID != "i-0" {
				f.unlist("i-0")
			}
			f.list(c.newID, false)
			f.awaitTargets(hasVersion("v2"))
			f.expectRejected("after the list has changed", f.s.gateways[1], h, h.firstID, "version_gone")
			begun := f.begin(f.s.gateways[0], "v2")
			if status, body := f.takeUp(f.s.gateways[1], &begun, itemEvents, begun.firstID); status != http.StatusOK {
				t.Errorf("stream of the new version: status %d, %s; want 200", status, body)
			}
			f.expectWhole("new version", begun)
		})
	}
}

// Guards against a stream whose target's entry is rewritten with another version while the target serves it: its events
// are of one process, but at which other target they would go on is not known.
func TestStreamOfARewrittenEntryGoesOnNowhereElse(t *testing.T) {
	f := newVersionFleet(t, 2)
	defer f.s.stopAll()
	f.events = math.MaxInt // the stream lasts until it is broken off
	f.startTarget("i-0", "v1", time.Time{})
	f.awaitTargets(func(list []serving.Target) bool { return len(list) == 1 })
	id := f.newID()
	rewrite := sync.OnceFunc(func() {
		f.replaceTarget("i-0", "i-0", "v2", time.Time{})
		f.list("i-0", false)
		f.startTarget("i-1", "v1", time.Time{})
		f.startTarget("i-2", "v2", time.Time{})
		f.awaitTargets(func(list []serving.Target) bool { return len(list) == 3 })
		f.setBreaks(1)
	})
	var rewritten sync.WaitGroup
	f.onBrokenAfter = func(request string) {
		if request == id {
			rewritten.Go(rewrite)
		}
	}
	_, text := f.s.caller.SendUntil(math.MaxInt, f.s.gateways[0].CallerAddr(), "/stream/x", id)
	rewritten.Wait()
	h := heldStream{id, text}
	if s, err := wiretest.ParseStream(text); err != nil || s.Events == 0 || len(s.Versions) != 1 {
		t.Errorf("stream whose target has got another version: %+v, error %v; want an end after some events of one version", s, err)
	}
	f.expectRejected("rewritten entry", f.s.gateways[1], h, id, "stream_unknown")
}

// Guards against callers that don't say which request began their stream and can't resume it any more, although the
// service has had one version only, and against a guess when it has several.
func TestStreamOfUnknownOriginGoesOnAtTheOnlyVersion(t *testing.T) {
	f := newVersionFleet(t, 0, "v1", "v1")
	defer f.s.stopAll()
	s := f.s
	s.must(wiretest.PutConfig(t.Context(), s.store, strings.Replace(wiretest.Routes, `"timeout_ms":2500`, `"timeout_ms":500`, 1)))
	s.changeSettings = func(o *settings.Gateway) { o.TargetLinger = 100 * time.Millisecond }
	s.startGateways(2)
	h := f.begin(s.gateways[0], "v1")
	for status := 0; status != http.StatusOK; {
		status, _ = f.takeUp(s.gateways[1], &h, itemEvents, "")
	}
	f.expectWhole("Resumes is missing", h)
	h = f.begin(s.gateways[0], "v1")
	s.startGateways(1)
	for status := 0; status != http.StatusOK; {
		status, _ = f.takeUp(s.gateways[2], &h, itemEvents, "")
	}
	f.expectWhole("Resumes is missing at a gateway that has just started", h)
	h = f.begin(f.s.gateways[0], "v1")
	f.startTarget("i-2", "v2", time.Time{})
	f.expectRejected("a second version has just come", f.s.gateways[1], h, "", "stream_unknown")
}
