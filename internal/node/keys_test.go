package node

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
)

// runRecorder records the workspace for which each request ran.
type runRecorder struct {
	mu         sync.Mutex
	workspaces map[string]string
	keysSeen   int
}

func (r *runRecorder) note(request, workspace string, hasKey bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workspaces[request] = workspace
	if hasKey {
		r.keysSeen++
	}
}

// get returns the workspace for which a request ran, and how many requests reached targets with a key.
func (r *runRecorder) get(request string) (workspace string, keysSeen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workspaces[request], r.keysSeen
}

// Covers keys end to end: targets get the workspace but never the key, a job is visible only to its
// workspace, and all gateways reject a removed key.
func TestKeysEndToEnd(t *testing.T) {
	seen := &runRecorder{workspaces: make(map[string]string)}
	keysByWorkspace := map[string][]string{"w1": {"k1", "k1b"}, "w2": {"k2"}}
	s := newSystemWith(t, 2, wiretest.KeyedRoutes(1, keysByWorkspace, nil), seen.note)
	defer s.stopAll()
	a, b := s.gateways[0].CallerAddr(), s.gateways[1].CallerAddr()
	first, second := s.caller.WithKey("k1"), s.caller.WithKey("k2")
	for id, path := range map[string]string{"r1": "/call/x", "r2": "/stream/x", "r3": "/once/x"} {
		if status, text := first.Send(a, http.MethodPost, path, id, "", wire.HeaderWorkspace, "w2"); status != http.StatusOK {
			t.Errorf("%s: %d %s", path, status, text)
		}
		if workspace, keys := seen.get(id); workspace != "w1" || keys > 0 {
			t.Errorf("%s ran for %q, %d keys seen", path, workspace, keys)
		}
	}
	for _, unknown := range []*wiretest.Caller{s.caller, s.caller.WithKey("k3")} {
		if status, _ := unknown.Send(b, http.MethodPost, "/call/x", "r4", ""); status != http.StatusUnauthorized {
			t.Errorf("without a valid key: %d", status)
		}
	}
	items := []wiretest.Item{{ID: "i1", Path: "/batch/1", Body: []byte("hi"), Tokens: 10}}
	if status, text := first.Submit(a, "job", items); status != http.StatusAccepted {
		t.Fatalf("job: %d %s", status, text)
	}
	status, _ := second.Results(b, "job", 0, 0)
	for status == http.StatusServiceUnavailable { // the gateway can't decide yet
		status, _ = second.Results(b, "job", 0, 0)
	}
	if status != http.StatusNotFound {
		t.Errorf("results for another workspace: %d", status)
	}
	var page wiretest.Page
	for len(page.Results) == 0 {
		if status, page = first.Results(b, "job", 0, time.Second); status == http.StatusNotFound || status == http.StatusUnauthorized {
			t.Fatalf("results: %d", status)
		}
	}
	if workspace, keys := seen.get("i1"); workspace != "w1" || keys > 0 {
		t.Errorf("the item ran for %q, %d keys seen", workspace, keys)
	}
	s.must(wiretest.Configure(t.Context(), s.store, wiretest.KeyedRoutes(2, map[string][]string{"w1": {"k1b"}, "w2": {"k2"}}, nil)))
	for _, addr := range []string{a, b} {
		for status := http.StatusOK; status != http.StatusUnauthorized; {
			status, _ = first.Send(addr, http.MethodPost, "/call/x", "r5", "")
		}
	}
	status, page = s.caller.WithKey("k1b").Results(a, "job", 0, 0)
	for status == http.StatusServiceUnavailable {
		status, page = s.caller.WithKey("k1b").Results(a, "job", 0, 0)
	}
	if status != http.StatusOK || len(page.Results) != 1 {
		t.Errorf("results by another key of the workspace: %d %+v", status, page)
	}
}

// Covers a quota across gateways: their requests together exhaust it, and requests over it get 429.
func TestQuotaAppliesAcrossGateways(t *testing.T) {
	seen := &runRecorder{workspaces: make(map[string]string)}
	const perSecond = 1
	s := newSystemWith(t, 2, wiretest.KeyedRoutes(1, map[string][]string{"w1": {"k1"}}, map[string]int{"w1": perSecond}), seen.note)
	defer s.stopAll()
	caller := s.caller.WithKey("k1")
	rejected := 0
	for rejected == 0 {
		for _, g := range s.gateways {
			switch status, text := caller.Send(g.CallerAddr(), http.MethodPost, "/call/x", "r", ""); status {
			case http.StatusOK:
			case http.StatusTooManyRequests:
				rejected++
			default:
				t.Fatalf("%d %s", status, text)
			}
		}
	}
}
