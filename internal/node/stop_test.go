package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
)

// lateRequest is a request whose head arrives before a stop, and the end of its body during it.
type lateRequest struct {
	path, id string
	conn     net.Conn
	status   int    // of its answer; 0 without a whole one
	text     string // body of the answer, or the error
}

// lateBody is the body of a lateRequest, of which the first half is sent with the head.
const lateBody = "helloworld"

// begin sends the head of the request and half of its body.
func (r *lateRequest) begin(t *testing.T, addr string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	r.conn = conn
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", r.path, wiretest.Host, wire.HeaderRequestID, r.id, len(lateBody), lateBody[:len(lateBody)/2])
	if err != nil {
		t.Fatal(err)
	}
}

// finish sends the rest of the body and reads the answer, which may have come before.
func (r *lateRequest) finish() {
	_, _ = io.WriteString(r.conn, lateBody[len(lateBody)/2:]) // fails if the request has been rejected
	resp, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	if err != nil {
		r.text = err.Error()
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.text = err.Error()
		return
	}
	r.status, r.text = resp.StatusCode, string(data)
}

// Guards against requests that are passed on in a stop and cut without an answer at its end, because their bodies end late in it.
func TestRequestsThatEndLateInAStopAreAnswered(t *testing.T) {
	const (
		requests = 38 // of each kind; their bodies end one after the other
		interval = 100 * time.Millisecond
		runTime  = time.Second
	)
	var mu sync.Mutex
	runs := make(map[string]int)
	noteRun := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		runs[id]++
	}
	s := newSystemWithoutTargets(t, longTimeoutRoutes)
	calls, streams := &wiretest.Target{ID: "i-0", EventGap: runTime, OnRun: noteRun}, &wiretest.Target{ID: "i-0", Events: itemEvents, EventGap: runTime / itemEvents, OnRun: noteRun}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			streams.ServeHTTP(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/batch/") {
			<-r.Context().Done() // the item never ends
			return
		}
		calls.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.must(wiretest.PutTarget(t.Context(), s.store, wiretest.TargetEntry{Name: "i-0", Addr: server.Listener.Addr().String(), Domain: "d", Slots: 4 * requests}))
	s.startGateways(1)
	addr := s.gateways[0].CallerAddr()
	var wg sync.WaitGroup
	for n := range 4 { // the gateway learns how long requests take
		for _, path := range allPaths {
			wg.Go(func() { s.caller.Send(addr, http.MethodPost, path+"x", fmt.Sprint("w", path, n), "x") })
		}
	}
	wg.Wait()
	var late []*lateRequest
	for n := range requests {
		for _, path := range allPaths {
			late = append(late, &lateRequest{path: path, id: fmt.Sprint(strings.Trim(path, "/"), n)})
		}
	}
	for _, r := range late {
		r.begin(t, addr)
	}
	if status, text := s.caller.Submit(addr, "job", []wiretest.Item{{ID: "i1", Path: "/batch/1", Tokens: 10}}); status != http.StatusAccepted {
		t.Fatalf("submit: status %d, text %s; want 202", status, text)
	}
	wg.Go(func() {
		if status, page := s.caller.WithTimeout(longTimeout).Results(addr, "job", 0, longTimeout); status != http.StatusOK || page.Total != 1 {
			t.Errorf("read of results that waits: status %d, %+v; want 200 and a page without results", status, page)
		}
	})
	for s.gateways[0].inFlight() < int64(len(late))+1 {
		time.Sleep(time.Millisecond) // until all have begun
	}
	s.cancels[0]()
	for i, r := range late {
		wg.Go(func() {
			time.Sleep(time.Duration(i/len(allPaths)) * interval)
			r.finish()
		})
	}
	wg.Wait()
	s.stopAll()
	counts := make(map[int]int)
	for _, r := range late {
		counts[r.status]++
		ran := runs[r.id]
		isNotRun := r.status == http.StatusServiceUnavailable && strings.Contains(r.text, `"ran":"not run"`)
		isUncertain := r.status == http.StatusBadGateway && strings.Contains(r.text, `"ran":"unknown"`)
		isWhole := r.status == http.StatusOK && (r.text == wiretest.StreamBody(r.id, itemEvents) || r.text == wiretest.CallAnswer(r.id, lateBody))
		if !isNotRun && !isUncertain && !isWhole || isNotRun && ran > 0 || ran > 1 {
			t.Errorf("%s: status %d, %d runs, answer %.200q; want a whole answer, or one that says truly that it has not run", r.id, r.status, ran, r.text)
		}
	}
	t.Logf("answers by status: %v", counts)
	if counts[http.StatusOK] == 0 || counts[http.StatusServiceUnavailable] == 0 {
		t.Errorf("answers by status %v, want some with 200 and some with 503", counts)
	}
}
