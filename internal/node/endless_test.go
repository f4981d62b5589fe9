package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
)

const (
	// maxSocketBytes is how much the kernel may hold of what a target has written and a gateway has not read: the send buffer
	// that floodTarget sets, and the receive buffer, which the kernel enlarges to 6 MB at most.
	maxSocketBytes = 8 << 20
	// maxFloodBytes ends a flood that no gateway ends, so that a failing test does not take all memory.
	maxFloodBytes = 128 << 20
	// floodHead begins an answer to which the body of a flood is added. The argument is the id of the request.
	floodHead = "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": %s\r\nConnection: close\r\n"
)

// streamHead begins a stream whose events follow without chunks. The argument is the id of the request.
const streamHead = floodHead + "Content-Type: text/event-stream\r\n\r\n"

// flood is an answer without end.
type flood struct {
	name string
	head string             // the first part of the answer; %s stands for the id of the request
	next func(n int) string // the n-th of the parts that follow, from 0
}

// floodTarget answers each request with bytes without end, until its caller closes the connection.
type floodTarget struct {
	listener net.Listener
	// choose returns the answer to a request by its path.
	choose func(path string) flood
	sent   atomic.Int64  // bytes written after the heads, to all connections
	served atomic.Int64  // requests
	ended  chan struct{} // receives a value for each answer that a caller has ended
}

// newFloodTarget starts a target that listens until the test ends.
func newFloodTarget(t *testing.T, choose func(path string) flood) *floodTarget {
	t.Helper()
	f := &floodTarget{choose: choose, ended: make(chan struct{}, 1<<10)}
	f.listener = serveConns(t, f.serve)
	return f
}

// serveConns serves each connection to a loopback port with serve, until the test ends.
func serveConns(t *testing.T, serve func(conn *net.TCPConn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener
}

// serve answers one request on a connection.
func (f *floodTarget) serve(conn *net.TCPConn) {
	defer conn.Close()
	_ = conn.SetWriteBuffer(64 << 10) // otherwise more bytes count as sent than were read
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || req.URL.Path == wire.PathReport {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body) // a failure shows with the next write
	f.served.Add(1)
	defer func() { f.ended <- struct{}{} }()
	answer := f.choose(req.URL.Path)
	if _, err := io.WriteString(conn, strings.Replace(answer.head, "%s", req.Header.Get(wire.HeaderRequestID), 1)); err != nil {
		return
	}
	for n, sent := 0, 0; sent < maxFloodBytes; n++ {
		written, err := io.WriteString(conn, answer.next(n))
		f.sent.Add(int64(written))
		sent += written
		if err != nil {
			return
		}
	}
}

// repeated returns parts of a flood that consist of copies of text.
func repeated(text string) func(int) string {
	part := strings.Repeat(text, max(1, 16<<10/len(text)))
	return func(int) string { return part }
}

// newFloodSystem returns a system with one gateway and one target, which answers with the floods by the number that a
// path ends with.
func newFloodSystem(t *testing.T, floods []flood) (*system, *floodTarget) {
	f := newFloodTarget(t, func(path string) flood {
		n, err := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
		if err != nil {
			t.Errorf("path %s does not end with the number of a flood", path)
		}
		return floods[n]
	})
	s := newSystemWithoutTargets(t, longTimeoutRoutes)
	s.listTargetAt("i-0", f.listener.Addr().String())
	s.startGateways(1)
	return s, f
}

// longTimeoutRoutes are wiretest.Routes with time limits that no request reaches, also on a busy machine: the bounds must end it.
var longTimeoutRoutes = strings.NewReplacer(`"timeout_ms":1500`, `"timeout_ms":60000`, `"timeout_ms":2500`, `"timeout_ms":60000`).Replace(wiretest.Routes)

// listTargetAt adds a target at an address to the list of targets in the store.
func (s *system) listTargetAt(id, addr string) {
	s.must(wiretest.PutTarget(s.t.Context(), s.store, wiretest.TargetEntry{Name: id, Addr: addr, Domain: "d", Slots: targetSlots}))
}

// counter returns the value of a counter of the n-th gateway.
func (s *system) counter(n int, name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.gateways[n].reg).Count()
}

// checkFloods sends a request for each of the floods on each of the paths. It reports a failure unless the gateway ends
// each answer by a bound, after at most maxTaken bytes, and after one run that it does not state as not run.
func checkFloods(t *testing.T, floods []flood, paths []string, maxTaken int64) {
	s, f := newFloodSystem(t, floods)
	defer s.stopAll()
	for i, test := range floods {
		for _, path := range paths {
			name := test.name + " on " + path
			taken, runs, oversized, silent := f.sent.Load(), f.served.Load(), s.counter(0, "online.oversized_answers"), s.counter(0, "quarantine.fell_silent")
			status, _ := s.caller.Send(s.gateways[0].CallerAddr(), http.MethodPost, fmt.Sprint(path, i), fmt.Sprint("r", path, i), "")
			<-f.ended
			taken, runs, oversized = f.sent.Load()-taken, f.served.Load()-runs, s.counter(0, "online.oversized_answers")-oversized
			silent = s.counter(0, "quarantine.fell_silent") - silent
			t.Logf("%s: %d bytes taken, status %d", name, taken, status)
			if taken > maxTaken {
				t.Errorf("%s: the gateway took %d bytes, want at most %d", name, taken, maxTaken)
			}
			// On a busy machine, a run that may be repeated can be ended before its bound because no event has come for too long.
			if oversized+silent != 1 || silent > 0 && path == "/once/" {
				t.Errorf("%s: %d answers counted as beyond their bounds, %d as silent, want 1 in all, and none as silent on a route that runs once", name, oversized, silent)
			}
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || runs != 1 {
				t.Errorf("%s: status %d after %d runs, want one run and no status that says that the request has not run", name, status, runs)
			}
		}
	}
}

// allPaths are the paths of one route of each kind whose callers wait for the answer.
var allPaths = []string{"/stream/", "/call/", "/once/"}

// Guards against a gateway that takes bytes without end from a target: into its memory, as events that never end, or as
// progress of a stream, as lines without content. One request took up to 1.4 GB of heap in 1.5 s.
func TestEndlessEventEndsAnswer(t *testing.T) {
	checkFloods(t, []flood{
		{"one line", streamHead, repeated("x")},
		{"data lines", streamHead, repeated("data: x\n")},
		{"comment lines", streamHead, repeated(": x\n")},
		{"blank lines", streamHead, repeated("\n")},
		{"blank lines with carriage returns", streamHead, repeated("\r\n")},
		{"comments", streamHead, repeated(": x\n\n")},
		{"events without data or id", streamHead, repeated("event: x\n\n")},
	}, allPaths, maxSocketBytes+2<<20)
}

// itemFlood is the answer to an item without an end.
type itemFlood struct {
	flood
	maxTaken int64 // bytes that its run may take at most
}

// maxItemFloods is how often a flood is tried until a run has reached its bound. On a busy machine, a run can be ended before
// because no event has come for too long; what it has sent until then can't be told from a part of the item's output.
const maxItemFloods = 10

// Guards against an item whose run takes bytes without end: into its text, as events that are valid, or as blank lines,
// which are no progress. The item must be done by another target, with nothing of the flood in its text.
func TestItemOfFloodingTargetIsDoneElsewhere(t *testing.T) {
	data := strings.Repeat("x", 16<<10)
	manyEvents := func(n int) string {
		var part strings.Builder
		for i := range 1000 {
			fmt.Fprintf(&part, "id: %d\ndata: x\n\n", 1000*n+i+1)
		}
		return part.String()
	}
	for _, test := range []itemFlood{
		{flood{"large events", streamHead, func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, data) }}, maxSocketBytes + 5<<20},
		{flood{"small events", streamHead, manyEvents}, maxSocketBytes + 1<<20},
		{flood{"one line", streamHead, repeated("x")}, maxSocketBytes + 2<<20},
		{flood{"blank lines", streamHead, repeated("\n")}, maxSocketBytes + 1<<20},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range maxItemFloods {
				if checkItemFlood(t, test) {
					return
				}
			}
			t.Errorf("none of %d runs has reached its bound, want one", maxItemFloods)
		})
	}
}

// checkItemFlood lets a target answer an item with a flood. It returns false if the run was not ended by its bound. Otherwise
// it reports a failure unless another target does the item.
func checkItemFlood(t *testing.T, test itemFlood) (hasReachedBound bool) {
	f := newFloodTarget(t, func(string) flood { return test.flood })
	s := newSystemWithoutTargets(t, wiretest.Routes)
	s.listTargetAt("i-0", f.listener.Addr().String())
	s.startGateways(1)
	defer s.stopAll()
	addr := s.gateways[0].CallerAddr()
	if status, text := s.caller.Submit(addr, "job", []wiretest.Item{{ID: "i1", Path: "/batch/1", Tokens: 10}}); status != http.StatusAccepted {
		t.Fatalf("submit: status %d, text %s; want 202", status, text)
	}
	<-f.ended
	if taken := f.sent.Load(); taken > test.maxTaken {
		t.Errorf("the run took %d bytes, want at most %d", taken, test.maxTaken)
	}
	t.Logf("%d bytes taken in the first run", f.sent.Load())
	if s.counter(0, "item.oversized_answers") == 0 {
		return false
	}
	sound := httptest.NewServer(&wiretest.Target{ID: "i-1", Events: itemEvents})
	t.Cleanup(sound.Close)
	s.listTarget("i-1", sound)
	s.must(wiretest.RemoveTarget(t.Context(), s.store, "i-0"))
	var page wiretest.Page
	status := 0
	for range 12 { // each read waits for a limited time
		if status, page = s.caller.Results(addr, "job", 0, 5*time.Second); len(page.Results) > 0 {
			break
		}
	}
	if status != http.StatusOK || len(page.Results) != 1 || page.Results[0].Text != wiretest.ItemText("i1", itemEvents) {
		t.Errorf("results: status %d, %d results; want the text of all events once, and nothing of the flood", status, len(page.Results))
	}
	return true
}

// Guards against a target that sends without end and keeps others from being served: requests that may be repeated go to
// another target, also many at once.
func TestOthersAreServedBesideAFlood(t *testing.T) {
	const atOnce = 6 // fewer than the slots of the sound target
	f := newFloodTarget(t, func(string) flood { return flood{"event", streamHead, repeated("x")} })
	s := newSystemWithoutTargets(t, wiretest.Routes)
	s.listTargetAt("i-0", f.listener.Addr().String())
	sound := httptest.NewServer(&wiretest.Target{ID: "i-1", Events: itemEvents})
	t.Cleanup(sound.Close)
	s.listTarget("i-1", sound)
	s.startGateways(1)
	defer s.stopAll()
	addr := s.gateways[0].CallerAddr()
	var wg sync.WaitGroup
	for i := range atOnce {
		wg.Go(func() {
			id := fmt.Sprint("s", i)
			if status, text := s.caller.Send(addr, http.MethodPost, "/stream/x", id, ""); status != http.StatusOK || text != wiretest.StreamBody(id, itemEvents) {
				t.Errorf("stream %s: status %d, %d bytes; want 200 and all events once", id, status, len(text))
			}
		})
	}
	wg.Wait()
	t.Logf("%d requests at the target that floods, %d bytes taken from it", f.served.Load(), f.sent.Load())
	if f.served.Load() == 0 {
		t.Error("no request has reached the target that floods")
	}
	if limit := f.served.Load() * (maxSocketBytes + 2<<20); f.sent.Load() > limit {
		t.Errorf("%d bytes taken, want at most %d", f.sent.Load(), limit)
	}
}
