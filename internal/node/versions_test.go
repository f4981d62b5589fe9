package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
)

const (
	// versionEventGap is the pause of the targets of a versionFleet after each event.
	versionEventGap = 2 * time.Millisecond
	// brokenAfter is the event after which a versionFleet breaks off a stream.
	brokenAfter = 5
	// streamsPerCase is how many streams a case begins at each version.
	streamsPerCase = 4
)

// versionFleet has targets whose events contain the version of their software.
type versionFleet struct {
	s       *system
	servers map[string]*httptest.Server // by id of the target

	mu sync.Mutex
	// breaks is how many more runs of a request are broken off, by its id; requests that are not in it break off
	// breaksPerRequest times.
	breaks           map[string]int
	breaksPerRequest int
	ids              int // ids of requests so far
}

// newVersionFleet returns a system with gateways and with targets of these versions, one for each element.
func newVersionFleet(t *testing.T, gateways int, versions ...string) *versionFleet {
	f := &versionFleet{s: newSystemWithoutTargets(t, wiretest.Routes), servers: make(map[string]*httptest.Server), breaks: make(map[string]int)}
	for i, version := range versions {
		f.startTarget(fmt.Sprintf("i-%d", i), version)
	}
	f.s.startGateways(gateways)
	return f
}

// startTarget starts a target and adds it to the list of targets.
func (f *versionFleet) startTarget(id, version string) {
	target := &wiretest.Target{ID: id, Version: version, Events: itemEvents, EventGap: versionEventGap, BreaksAfter: f.breakOff}
	server := httptest.NewServer(target)
	f.s.t.Cleanup(server.Close)
	f.servers[id] = server
	f.list(wiretest.TargetEntry{Name: id, Version: version})
}

// list writes the entry of a target, with the address of its server.
func (f *versionFleet) list(e wiretest.TargetEntry) {
	e.Addr, e.Domain, e.Slots = f.servers[e.Name].Listener.Addr().String(), "d", targetSlots
	f.s.must(wiretest.PutTarget(f.s.t.Context(), f.s.store, e))
}

// stopTarget ends a target and removes it from the list of targets.
func (f *versionFleet) stopTarget(id string) {
	f.servers[id].CloseClientConnections()
	f.servers[id].Close()
	f.s.must(wiretest.RemoveTarget(f.s.t.Context(), f.s.store, id))
}

// breakOff implements wiretest.Target.BreaksAfter.
func (f *versionFleet) breakOff(request string, event int) bool {
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
	f.breaksPerRequest = 1
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
	f.breaksPerRequest = 2
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
