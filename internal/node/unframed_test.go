package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"arbutusramp/platform/wiretest"
)

// cuts reports each request once as one to cut.
type cuts struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (c *cuts) isFirst(request string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = make(map[string]bool)
	}
	isFirst := !c.seen[request]
	c.seen[request] = true
	return isFirst
}

// newUnframedSystem returns a system with two targets whose answers have neither a length nor chunks.
func newUnframedSystem(t *testing.T, change func(*wiretest.Unframed)) *system {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	for i := range 2 {
		id := fmt.Sprintf("i-%d", i)
		target := &wiretest.Unframed{Target: &wiretest.Target{ID: id, Events: itemEvents, EventGap: time.Millisecond}}
		change(target)
		server := httptest.NewServer(target)
		t.Cleanup(server.Close)
		s.listTarget(id, server)
	}
	s.startGateways(1)
	return s
}

// Guards against answers that end with their connection and are taken for broken, or cut and taken for whole: streams,
// calls, and the texts of items.
func TestAnswersWithoutLengthOrChunks(t *testing.T) {
	for _, test := range []struct {
		name  string
		cutAt int // event after which a stream ends inside the next one; -1 for whole answers
		reset bool
	}{
		{"whole", -1, false}, {"cut inside the first event", 0, false}, {"cut inside an event", 7, false}, {"cut inside the last event", itemEvents - 1, false}, {"reset", -1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var streams, calls cuts
			s := newUnframedSystem(t, func(u *wiretest.Unframed) {
				u.CutsAfter = func(request string, event int) bool { return event == test.cutAt && streams.isFirst(request) }
				u.ResetsCall = func(request string) bool { return test.reset && calls.isFirst(request) }
			})
			defer s.stopAll()
			addr := s.gateways[0].CallerAddr()
			if status, text := s.caller.Send(addr, http.MethodPost, "/stream/x", "s1", ""); status != http.StatusOK || text != wiretest.StreamBody("s1", itemEvents) {
				t.Errorf("stream: status %d, text %q; want 200 and all events once", status, text)
			}
			if status, text := s.caller.Send(addr, http.MethodPost, "/call/x", "c1", "echo"); status != http.StatusOK || text != wiretest.CallAnswer("c1", "echo") {
				t.Errorf("call: status %d, text %q; want 200 and the whole answer", status, text)
			}
			status, text := s.caller.Send(addr, http.MethodPost, "/once/x", "o1", "echo")
			if test.reset && status == http.StatusOK || !test.reset && text != wiretest.CallAnswer("o1", "echo") {
				t.Errorf("call that may run once: status %d, text %q; want the whole answer, or a failure if its connection is reset", status, text)
			}
			if status, text := s.caller.Submit(addr, "job", []wiretest.Item{{ID: "i1", Path: "/batch/1", Tokens: 10}}); status != http.StatusAccepted {
				t.Fatalf("submit: status %d, text %s; want 202", status, text)
			}
			status, page := s.caller.Results(addr, "job", 0, 5*time.Second)
			if status != http.StatusOK || len(page.Results) != 1 || page.Results[0].Text != wiretest.ItemText("i1", itemEvents) {
				t.Errorf("results: status %d, %+v; want the text of all events once", status, page)
			}
		})
	}
}

// Guards against a target that crashes when it begins an answer without length or chunks: an answer without any content
// must neither count as whole nor as a pass of its request.
func TestEmptyAnswerWithoutLengthIsNotWhole(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	var mu sync.Mutex
	ran := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran++
		mu.Unlock()
		(&wiretest.Unframed{Target: &wiretest.Target{ID: "i-0"}}).ServeHTTP(w, r) // a stream of no events
	}))
	t.Cleanup(server.Close)
	s.listTarget("i-0", server)
	s.startGateways(1)
	defer s.stopAll()
	if status, text := s.caller.Send(s.gateways[0].CallerAddr(), http.MethodPost, "/stream/x", "s1", ""); status == http.StatusOK {
		t.Errorf("stream whose target ends before its first event: status %d, text %q; want a failure", status, text)
	}
	mu.Lock()
	defer mu.Unlock()
	if ran == 0 {
		t.Error("the stream has not reached the target")
	}
}
