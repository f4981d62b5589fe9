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
	maxIdleConns = 4 // of the callers
	targetSlots  = 8 // of each target
)

// system is a set of gateways with a store and targets, connected through real sockets.
type system struct {
	t         *testing.T
	store     platform.Store // for the configuration and the list of targets
	storeAddr string
	caller    *wiretest.Caller
	gateways  []*Gateway
	cancels   []context.CancelFunc // for each gateway, stops it
	done      []chan error         // for each gateway, the result of its Run
	// changeSettings changes the settings of each gateway that is started; nil leaves them as they are.
	changeSettings func(*settings.Gateway)
}

// newSystem returns a system with two targets, a number of gateways and the routes wiretest.Routes.
func newSystem(t *testing.T, gatewayCount int) *system {
	return newSystemWith(t, gatewayCount, wiretest.Routes, nil)
}

// newSystemWith returns a system with two targets, a number of gateways and a configuration. Targets call noteRun
// for each request unless it is nil.
func newSystemWith(t *testing.T, gatewayCount int, config string, noteRun func(request, workspace string, hasKey bool)) *system {
	s := newSystemWithoutTargets(t, config)
	for i := range 2 {
		id := fmt.Sprintf("i-%d", i)
		target := httptest.NewServer(&wiretest.Target{ID: id, Events: itemEvents, OnRunFor: noteRun})
		t.Cleanup(target.Close)
		s.listTarget(id, target)
	}
	s.startGateways(gatewayCount)
	return s
}

// newSystemWithoutTargets returns a system that has only a store with a configuration.
func newSystemWithoutTargets(t *testing.T, config string) *system {
	s := &system{t: t, store: keyedlog.New(4).View(), caller: wiretest.NewCaller(callTimeout, maxIdleConns)}
	server := httptest.NewServer(wiretest.StoreHandler(s.store))
	t.Cleanup(server.Close)
	s.storeAddr = strings.TrimPrefix(server.URL, "http://")
	s.must(wiretest.PutConfig(t.Context(), s.store, config))
	return s
}

// listTarget adds a target to the list of targets in the store.
func (s *system) listTarget(id string, target *httptest.Server) {
	s.must(wiretest.PutTarget(s.t.Context(), s.store, wiretest.TargetEntry{Name: id, Addr: target.Listener.Addr().String(), Domain: "d", Slots: targetSlots}))
}

// startGateways starts n more gateways that use the address of the system's store.
func (s *system) startGateways(n int) {
	for range n {
		s.start(fmt.Sprintf("g%d", len(s.gateways)), s.storeAddr)
	}
}

// must ends the test if err is not nil.
func (s *system) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// start starts a gateway that uses the store at storeAddr, and waits until the gateway is ready.
func (s *system) start(id, storeAddr string) {
	s.t.Helper()
	const anyPort = "127.0.0.1:0"
	opts := settings.Gateway{
		CallerAddr: anyPort, ReadyAddr: anyPort, PeerAddr: anyPort, MetricsAddr: anyPort,
		StoreAddr: storeAddr, Shards: 4, MinTTL: 300 * time.Millisecond, Grace: 4 * time.Second,
		RevokeWithin: 5 * time.Second, QuotaWindow: 5 * time.Second,
		QuarantineAfter: quarantine.DefaultThreshold, QuarantineHold: quarantine.DefaultHold, TargetLinger: time.Hour,
	}
	opts.Host.ID, opts.Host.Domain = structs.HostID(id), "d"
	if s.changeSettings != nil {
		s.changeSettings(&opts)
	}
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

// ready returns status and text of a readiness check of g.
func (s *system) ready(g *Gateway) (int, string) {
	return s.caller.CheckReady(g.ReadyAddr())
}

// stopAll stops all gateways and waits until they have ended without error.
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
	addr1, addr2 := s.gateways[0].CallerAddr(), s.gateways[1].CallerAddr()
	if status, text := s.caller.Send(addr1, http.MethodPost, "/call/x?y", "r1", "echo"); status != 200 || text != wiretest.CallAnswer("r1", "echo") {
		t.Errorf("call: status %d, text %s; want 200 and the echo of the body", status, text)
	}
	if status, text := s.caller.Send(addr2, http.MethodPost, "/stream/x", "r2", ""); status != 200 || text != wiretest.StreamBody("r2", itemEvents) {
		t.Errorf("stream: status %d, text %s; want 200 and all 20 events", status, text)
	}
	if status, _ := s.caller.Send(addr1, http.MethodPost, "/none/x", "r3", ""); status != 404 {
		t.Errorf("request that no route matches: status %d, want 404", status)
	}
	s.runJob(addr1, addr2)
	if _, text := s.caller.Send(s.gateways[0].MetricsAddr(), http.MethodGet, "/metrics", "", ""); !strings.Contains(text, "online.safe.served 1\n") {
		t.Errorf("metrics lack the line online.safe.served 1: %s", text)
	}
}

// runJob submits a job at one gateway, reads its results at another and ends it.
func (s *system) runJob(submitAddr, readAddr string) {
	s.t.Helper()
	items := []wiretest.Item{{ID: "i1", Path: "/batch/1", Body: []byte("hi"), Tokens: 10}, {ID: "i2", Path: "/batch/2", Tokens: 10}}
	if status, text := s.caller.Submit(submitAddr, "job-1", items); status != 202 {
		s.t.Fatalf("submit of job-1: status %d, text %s; want 202", status, text)
	}
	if status, text := s.caller.ItemBody(readAddr, "job-1", "i1"); status != 200 || text != "hi" {
		s.t.Errorf("body of item i1: status %d, %q; want 200 and hi", status, text)
	}
	for next := 0; next < len(items); {
		status, page := s.caller.Results(readAddr, "job-1", next, time.Second)
		if status != 200 || page.Total != len(items) || page.Next != next+len(page.Results) {
			s.t.Fatalf("results of job-1: status %d, page %+v; want 200, 2 items in total and Next after the last result", status, page)
		}
		next = page.Next
		for _, r := range page.Results {
			if r.State != "complete" || r.Text != wiretest.ItemText(r.ID, itemEvents) {
				s.t.Errorf("result of job-1: %+v, want state complete and the text of 20 events", r)
			}
		}
	}
	if status, _ := s.caller.CancelJob(submitAddr, "job-1"); status != 200 {
		s.t.Errorf("end of job-1: status %d, want 200", status)
	}
	if status, _ := s.caller.Results(submitAddr, "job-none", 0, 0); status != 404 {
		s.t.Errorf("results of an unknown job: status %d, want 404", status)
	}
}

func TestStoppingGatewayIsNotReadyAndStillServes(t *testing.T) {
	s := newSystem(t, 1)
	g := s.gateways[0]
	s.cancels[0]()
	for status, _ := s.ready(g); status == http.StatusOK; status, _ = s.ready(g) {
		time.Sleep(10 * time.Millisecond)
	}
	if status, text := s.caller.Send(g.CallerAddr(), http.MethodPost, "/call/x", "r1", "echo"); status != 200 || text != wiretest.CallAnswer("r1", "echo") {
		t.Errorf("call after the stop signal: status %d, text %s; want 200 and the echo of the body", status, text)
	}
	if err := <-s.done[0]; err != nil {
		t.Error(err)
	}
}

// Guards against paces and runs that are lost on their way from the targets' answers to the gateways, and against a
// request that is not served because of a header about its size.
func TestGatewaysLearnTheSpeedOfTargets(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	s.changeSettings = func(g *settings.Gateway) { g.ExpectedTime = "auto" }
	for i, gap := range []time.Duration{time.Millisecond, 4 * time.Millisecond} {
		id := fmt.Sprintf("i-%d", i)
		target := httptest.NewServer(&wiretest.Target{ID: id, Events: itemEvents, EventGap: gap, Load: "1,0,8,100"})
		t.Cleanup(target.Close)
		s.listTarget(id, target)
	}
	s.startGateways(2)
	defer s.stopAll()
	const parallel = 4
	for n := 0; ; n++ { // bounded by the timeout of the test
		var group sync.WaitGroup
		for i := range parallel {
			group.Go(func() {
				id := fmt.Sprintf("r%d-%d", n, i)
				status, text := s.caller.Send(s.gateways[0].CallerAddr(), http.MethodPost, "/stream/x", id, "", wire.HeaderTokenCount, "10,20", wire.HeaderLengthHint, "20000")
				if status != http.StatusOK || text != wiretest.StreamBody(id, itemEvents) {
					t.Errorf("stream with an invalid length hint: status %d, text %s; want 200 and all events", status, text)
				}
			})
		}
		group.Wait()
		costs := s.gateways[1].view.TargetCosts() // of the gateway that has no requests
		if t.Failed() || len(costs) == 2 && costs[0].Runs > 0 && costs[1].Runs > 0 && costs[1].Slowness > costs[0].Slowness {
			break
		}
	}
	_, text := s.caller.Send(s.gateways[0].MetricsAddr(), http.MethodGet, "/metrics", "", "")
	for _, want := range []string{"headers.invalid ", "cost.error_percent.count "} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics lack %s: %s", want, text)
		}
	}
}

// itemBodies returns bodies, by item id, that a fault in the encoding as JSON, CBOR or base64, or in the splitting
// into store records, would change.
func itemBodies() map[string]string {
	allBytes := make([]byte, 256)
	for i := range allBytes {
		allBytes[i] = byte(i)
	}
	return map[string]string{
		"empty":      "",
		"all-bytes":  string(allBytes),
		"escaped":    "\"\\\b\f\n\r\t\u0000\u2028<>&é\xff\xfe",
		"line-ends":  "\r\n\r\n0\r\n\r\n",
		"two-chunks": strings.Repeat(string(allBytes), 1200), // larger than one record of the store
	}
}

// Guards against changes of an item's body on its way from the caller through the store to the target and to
// readers of the job.
func TestItemBodiesAreUnchanged(t *testing.T) {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	var mu sync.Mutex
	targetBodies := make(map[string]string) // by request id
	release := make(chan struct{})          // closed to let the target answer
	target := &wiretest.Target{ID: "i-0", Events: itemEvents}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		targetBodies[r.Header.Get(wire.HeaderRequestID)] = string(body)
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
		t.Fatalf("submit of the job: status %d, text %s; want 202", status, text)
	}
	for id, body := range bodies {
		for _, g := range s.gateways {
			if status, got := s.caller.ItemBody(g.CallerAddr(), "job", id); status != http.StatusOK || got != body {
				t.Errorf("body of item %s: status %d and %d bytes read at %s, want 200 and the same %d bytes", id, status, len(got), g.CallerAddr(), len(body))
			}
		}
	}
	close(release)
	for n := 0; n < len(bodies); { // bounded by the timeout of the test
		status, page := s.caller.Results(s.gateways[1].CallerAddr(), "job", 0, time.Second)
		if status != http.StatusOK {
			t.Fatalf("results of the job: status %d, want 200", status)
		}
		n = len(page.Results)
	}
	mu.Lock()
	defer mu.Unlock()
	for id, body := range bodies {
		if got, ok := targetBodies[id]; !ok || got != body {
			t.Errorf("body of item %s: the target got %d bytes, want the same %d bytes as submitted", id, len(got), len(body))
		}
	}
}
