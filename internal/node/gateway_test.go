package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
	"arbutusramp/standin/keyedlog"
)

const (
	// itemEvents is the number of events in a stream of the stand-in target.
	itemEvents = 20
	// callTimeout is how long callers wait for an answer.
	callTimeout  = 5 * time.Second
	maxIdleConns = 4
	targetSlots  = 8
)

// system is a set of gateways with a store and targets, connected through real sockets.
type system struct {
	t         *testing.T
	store     platform.Store
	storeAddr string
	caller    *wiretest.Caller
	gateways  []*Gateway
	cancels   []context.CancelFunc
	done      []chan error
}

func newSystem(t *testing.T, gateways int) *system {
	return newSystemWith(t, gateways, wiretest.Routes, nil)
}

// newSystemWith is newSystem with a configuration and a function that targets call for each request; nil for
// none.
func newSystemWith(t *testing.T, gateways int, config string, noteRun func(request, workspace string, hasKey bool)) *system {
	s := newSystemWithoutTargets(t, config)
	for i := range 2 {
		id := fmt.Sprintf("i-%d", i)
		target := httptest.NewServer(&wiretest.Target{ID: id, Events: itemEvents, RanFor: noteRun})
		t.Cleanup(target.Close)
		s.listTarget(id, target)
	}
	s.startGateways(gateways)
	return s
}

// newSystemWithoutTargets returns a system that has only a store with a configuration.
func newSystemWithoutTargets(t *testing.T, config string) *system {
	s := &system{t: t, store: keyedlog.New(4).View(), caller: wiretest.NewCaller(callTimeout, maxIdleConns)}
	server := httptest.NewServer(wiretest.StoreHandler(s.store))
	t.Cleanup(server.Close)
	s.storeAddr = strings.TrimPrefix(server.URL, "http://")
	s.must(wiretest.Configure(t.Context(), s.store, config))
	return s
}

// listTarget puts a target on the list.
func (s *system) listTarget(id string, target *httptest.Server) {
	s.must(wiretest.List(s.t.Context(), s.store, wiretest.Listing{Name: id, Addr: target.Listener.Addr().String(), Domain: "d", Slots: targetSlots}))
}

// startGateways starts n more gateways that use the address of the system's store.
func (s *system) startGateways(n int) {
	for range n {
		s.start(fmt.Sprintf("g%d", len(s.gateways)), s.storeAddr)
	}
}

func (s *system) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) start(id, store string) {
	s.t.Helper()
	const anyPort = "127.0.0.1:0"
	opts := settings.Gateway{
		CallerAddr: anyPort, ReadyAddr: anyPort, PeerAddr: anyPort, MetricsAddr: anyPort,
		StoreAddr: store, Shards: 4, MinTTL: 300 * time.Millisecond, Grace: 4 * time.Second,
		RevokeWithin: 5 * time.Second, QuotaWindow: 5 * time.Second,
		QuarantineAfter: quarantine.DefaultThreshold, QuarantineHold: quarantine.DefaultHold,
	}
	opts.Host.ID, opts.Host.Domain = structs.HostID(id), "d"
	g, err := NewGateway(opts, hclog.NewNullLogger(), metrics.NewRegistry())
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	s.gateways = append(s.gateways, g)
	s.cancels = append(s.cancels, cancel)
	s.done = append(s.done, done)
	for status, _ := s.ready(g); status != http.StatusOK; status, _ = s.ready(g) {
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *system) ready(g *Gateway) (int, string) {
	return s.caller.Ready(g.ReadyAddr())
}

func (s *system) stopAll() {
	for _, cancel := range s.cancels {
		cancel()
	}
	for _, done := range s.done {
		if err := <-done; err != nil {
			s.t.Error(err)
		}
	}
}

func TestGatewaysServeEveryKindOfRequest(t *testing.T) {
	s := newSystem(t, 2)
	defer s.stopAll()
	a, b := s.gateways[0].CallerAddr(), s.gateways[1].CallerAddr()
	if status, text := s.caller.Send(a, http.MethodPost, "/call/x?y", "r1", "echo"); status != 200 || text != wiretest.AnswerTo("r1", "echo") {
		t.Errorf("call: %d %s", status, text)
	}
	if status, text := s.caller.Send(b, http.MethodPost, "/stream/x", "r2", ""); status != 200 || text != wiretest.Stream("r2", itemEvents) {
		t.Errorf("stream: %d %s", status, text)
	}
	if status, _ := s.caller.Send(a, http.MethodPost, "/none/x", "r3", ""); status != 404 {
		t.Errorf("no route: %d", status)
	}
	s.runJob(a, b)
	if _, text := s.caller.Send(s.gateways[0].MetricsAddr(), http.MethodGet, "/metrics", "", ""); !strings.Contains(text, "online.safe.served 1\n") {
		t.Errorf("metrics: %s", text)
	}
}

// runJob submits a job at one gateway and reads its results at another.
func (s *system) runJob(submitAddr, readAddr string) {
	s.t.Helper()
	items := []wiretest.Item{{ID: "i1", Path: "/batch/1", Body: []byte("hi"), Tokens: 10}, {ID: "i2", Path: "/batch/2", Tokens: 10}}
	if status, text := s.caller.Submit(submitAddr, "job-1", items); status != 202 {
		s.t.Fatalf("job: %d %s", status, text)
	}
	if status, text := s.caller.Body(readAddr, "job-1", "i1"); status != 200 || text != "hi" {
		s.t.Errorf("body: %d %q", status, text)
	}
	for next := 0; next < len(items); {
		status, page := s.caller.Results(readAddr, "job-1", next, time.Second)
		if status != 200 || page.Total != len(items) || page.Next != next+len(page.Results) {
			s.t.Fatalf("results: %d %+v", status, page)
		}
		next = page.Next
		for _, r := range page.Results {
			if r.State != "complete" || r.Text != wiretest.Text(r.ID, itemEvents) {
				s.t.Errorf("result %+v", r)
			}
		}
	}
	if status, _ := s.caller.End(submitAddr, "job-1"); status != 200 {
		s.t.Errorf("end: %d", status)
	}
	if status, _ := s.caller.Results(submitAddr, "job-none", 0, 0); status != 404 {
		s.t.Errorf("unknown job: %d", status)
	}
}

func TestStoppingGatewayIsNotReadyAndStillServes(t *testing.T) {
	s := newSystem(t, 1)
	g := s.gateways[0]
	s.cancels[0]()
	for status, _ := s.ready(g); status == http.StatusOK; status, _ = s.ready(g) {
		time.Sleep(10 * time.Millisecond)
	}
	if status, text := s.caller.Send(g.CallerAddr(), http.MethodPost, "/call/x", "r1", "echo"); status != 200 || text != wiretest.AnswerTo("r1", "echo") {
		t.Errorf("call after the stop signal: %d %s", status, text)
	}
	if err := <-s.done[0]; err != nil {
		t.Error(err)
	}
}

// itemBodies returns bodies that JSON, CBOR, base64 or the splitting into store records may change.
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
		"two-chunks": strings.Repeat(string(all), 1200), // larger than one record of the store
	}
}

// Guards against changing an item's body between its caller, the store, its target and readers of the job.
func TestItemBodiesAreUnchanged(t *testing.T) {
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
	s.listTarget("i-0", server)
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
	for n := 0; n < len(bodies); { // bounded by the timeout of the test
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
