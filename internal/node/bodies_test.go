package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
)

// itemBodies are bodies that a step on the way through JSON, CBOR, base64 or chunks of records may change.
func itemBodies() map[string]string {
	all := make([]byte, 256)
	for i := range all {
		all[i] = byte(i)
	}
	return map[string]string{
		"empty":      "",
		"all-bytes":  string(all),
		"escaped":    "\"\\\b\f\n\r\t\u0000\u2028<>&é\xff\xfe",
		"line-ends":  "\r\n\r\n0\r\n\r\n",
		"two-chunks": strings.Repeat(string(all), 1200), // over one record of the store
	}
}

// Guards against an item whose body changes between its caller, the store, a target and whoever reads it back.
func TestBodiesOfItemsAreKeptToTheByte(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	var mu sync.Mutex
	sent := make(map[string]string)
	release := make(chan struct{})
	target := &wiretest.Target{ID: "i-0", Events: itemEvents}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		sent[r.Header.Get(wire.HeaderRequestID)] = string(body)
		mu.Unlock()
		select {
		case <-release:
		case <-r.Context().Done():
		}
		target.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.list("i-0", server)
	s.startGateways(2)
	defer s.stopAll()
	bodies := itemBodies()
	var items []wiretest.Item
	for id, body := range bodies {
		items = append(items, wiretest.Item{ID: id, Path: "/batch/" + id, Body: []byte(body), Tokens: 10})
	}
	if status, text := s.caller.Submit(s.gateways[0].CallerAddr(), "job", items); status != http.StatusAccepted {
		t.Fatalf("job: %d %s", status, text)
	}
	for id, body := range bodies {
		for _, g := range s.gateways {
			if status, got := s.caller.Body(g.CallerAddr(), "job", id); status != http.StatusOK || got != body {
				t.Errorf("%s: %d and %d bytes read at %s, want %d", id, status, len(got), g.CallerAddr(), len(body))
			}
		}
	}
	close(release)
	for n := 0; n < len(bodies); { // the test's own time limit ends this
		status, page := s.caller.Results(s.gateways[1].CallerAddr(), "job", 0, time.Second)
		if status != http.StatusOK {
			t.Fatalf("results: %d", status)
		}
		n = len(page.Results)
	}
	mu.Lock()
	defer mu.Unlock()
	for id, body := range bodies {
		if got, ok := sent[id]; !ok || got != body {
			t.Errorf("%s: the target got %d bytes, want %d", id, len(got), len(body))
		}
	}
}
