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
	workspaces map[string]string // by request id
	keysSeen   int               // requests that reached targets with a key
}

// note records that a request ran for a workspace, and whether it reached the target with a key.
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

// Covers API keys end to end: targets get the workspace of a key but never the key, a job is visible only to its
// workspace, and all gateways reject a key after its removal from the configuration.
func TestKeysEndToEnd(t *testing.T) {
	recorder := &runRecorder{workspaces: make(map[string]string)}
	keysByWorkspace := map[string][]string{"w1": {"k1", "k1b"}, "w2": {"k2"}}
	s := newSystemWith(t, 2, wiretest.RoutesWithKeys(1, keysByWorkspace, nil), recorder.note)
	defer s.stopAll()
	addr1, addr2 := s.gateways[0].CallerAddr(), s.gateways[1].CallerAddr()
	callerOfW1, callerOfW2 := s.caller.WithKey("k1"), s.caller.WithKey("k2")
	for id, path := range map[string]string{"r1": "/call/x", "r2": "/stream/x", "r3": "/once/x"} {
		if status, text := callerOfW1.Send(addr1, http.MethodPost, path, id, "", wire.HeaderWorkspace, "w2"); status != http.StatusOK {
			t.Errorf("%s with a valid key: status %d, text %s; want 200", path, status, text)
		}
		if workspace, keys := recorder.get(id); workspace != "w1" || keys > 0 {
			t.Errorf("%s ran for workspace %q, want w1; %d requests reached targets with a key, want 0", path, workspace, keys)
		}
	}
	for _, unknown := range []*wiretest.Caller{s.caller, s.caller.WithKey("k3")} {
		if status, _ := unknown.Send(addr2, http.MethodPost, "/call/x", "r4", ""); status != http.StatusUnauthorized {
			t.Errorf("request without a valid key: status %d, want 401", status)
		}
	}
	items := []wiretest.Item{{ID: "i1", Path: "/batch/1", Body: []byte("hi"), Tokens: 10}}
	if status, text := callerOfW1.Submit(addr1, "job", items); status != http.StatusAccepted {
		t.Fatalf("submit of a job: status %d, text %s; want 202", status, text)
	}
	status, _ := callerOfW2.Results(addr2, "job", 0, 0)
	for status == http.StatusServiceUnavailable { // the gateway can't tell yet whether the job exists
		status, _ = callerOfW2.Results(addr2, "job", 0, 0)
	}
	if status != http.StatusNotFound {
		t.Errorf("results of the job for another workspace: status %d, want 404", status)
	}
	var page wiretest.Page
	for len(page.Results) == 0 {
		if status, page = callerOfW1.Results(addr2, "job", 0, time.Second); status == http.StatusNotFound || status == http.StatusUnauthorized {
			t.Fatalf("results of the job for its workspace: status %d, want neither 404 nor 401", status)
		}
	}
	if workspace, keys := recorder.get("i1"); workspace != "w1" || keys > 0 {
		t.Errorf("the item ran for workspace %q, want w1; %d requests reached targets with a key, want 0", workspace, keys)
	}
	s.must(wiretest.PutConfig(t.Context(), s.store, wiretest.RoutesWithKeys(2, map[string][]string{"w1": {"k1b"}, "w2": {"k2"}}, nil)))
	for _, addr := range []string{addr1, addr2} {
		for status := http.StatusOK; status != http.StatusUnauthorized; {
			status, _ = callerOfW1.Send(addr, http.MethodPost, "/call/x", "r5", "")
		}
	}
	status, page = s.caller.WithKey("k1b").Results(addr1, "job", 0, 0)
	for status == http.StatusServiceUnavailable {
		status, page = s.caller.WithKey("k1b").Results(addr1, "job", 0, 0)
	}
	if status != http.StatusOK || len(page.Results) != 1 {
		t.Errorf("results read with another key of the workspace: status %d, page %+v; want 200 and 1 result", status, page)
	}
}

// Covers a quota that applies to all gateways together: requests to two gateways exhaust it, and a request over it
// gets status 429.
func TestQuotaAppliesAcrossGateways(t *testing.T) {
	recorder := &runRecorder{workspaces: make(map[string]string)}
	const quotaPerSecond = 1
	s := newSystemWith(t, 2, wiretest.RoutesWithKeys(1, map[string][]string{"w1": {"k1"}}, map[string]int{"w1": quotaPerSecond}), recorder.note)
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
				t.Fatalf("request of a workspace with a quota: status %d, text %s; want 200 or 429", status, text)
			}
		}
	}
}
