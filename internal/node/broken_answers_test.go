package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
)

// rawTarget is a stand-in for a target that writes its answers byte by byte. It answers the first send of each request with
// answerFirst, and later ones as a sound target does.
type rawTarget struct {
	listener net.Listener
	// answerFirst writes the answer to the first send of a request, whose body has not been read, and reports whether the
	// connection is kept.
	answerFirst func(conn *net.TCPConn, req *http.Request) (isKept bool)

	mu    sync.Mutex
	sends map[string]int // by request id
}

// newRawTarget starts a target that listens until the test ends.
func newRawTarget(t *testing.T, answerFirst func(conn *net.TCPConn, req *http.Request) bool) *rawTarget {
	t.Helper()
	r := &rawTarget{answerFirst: answerFirst, sends: make(map[string]int)}
	r.listener = serveConns(t, r.serve)
	return r
}

func (r *rawTarget) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for isKept := true; isKept; {
		req, err := http.ReadRequest(reader)
		if err != nil || req.URL.Path == wire.PathReport {
			return
		}
		if r.note(req.Header.Get(wire.HeaderRequestID)) == 1 {
			isKept = r.answerFirst(conn, req)
			continue
		}
		isKept = answerSoundly(conn, req)
	}
}

// note counts a send of a request and returns the number so far.
func (r *rawTarget) note(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends[request]++
	return r.sends[request]
}

// sendCount returns how often a request was sent.
func (r *rawTarget) sendCount(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sends[request]
}

// answerSoundly reads a request to its end and answers it as a wiretest.Target does. It reports whether that succeeded.
func answerSoundly(conn net.Conn, req *http.Request) bool {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	id := req.Header.Get(wire.HeaderRequestID)
	text, contentType := wiretest.StreamBody(id, itemEvents), "text/event-stream"
	if lastEvent, err := strconv.Atoi(req.Header.Get(wire.HeaderLastEventID)); err == nil {
		text = strings.TrimPrefix(text, wiretest.StreamBody(id, lastEvent))
	}
	if !strings.HasPrefix(req.URL.Path, "/stream/") && !strings.HasPrefix(req.URL.Path, "/batch/") {
		text, contentType = wiretest.CallAnswer(id, fmt.Sprint(len(body))), "text/plain"
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderRequestID, id, contentType, len(text), text)
	return err == nil
}

// newRawSystem returns a system with one gateway and two targets, of which the first that a request is sent to answers it with
// answerFirst.
func newRawSystem(t *testing.T, config string, answerFirst func(conn *net.TCPConn, req *http.Request) bool) (*system, *rawTarget) {
	target := newRawTarget(t, answerFirst)
	s := newSystemWithoutTargets(t, config)
	for i := range 2 {
		s.listTargetAt(fmt.Sprintf("i-%d", i), target.listener.Addr().String())
	}
	s.startGateways(1)
	return s, target
}

// patientRoutes are longTimeoutRoutes with calls that are not sent to a second target because the first takes long, also on a busy
// machine.
var patientRoutes = strings.ReplaceAll(longTimeoutRoutes, `"goal_ms":300`, `"goal_ms":30000`)

// checkFailsOver sends a request for each kind of route, whose first answer is broken. It reports a failure unless requests that
// may be repeated get the sound answer of the other target, and one that may run once fails as one that may have run.
func checkFailsOver(t *testing.T, s *system, target *rawTarget, name, body string) {
	t.Helper()
	for _, path := range allPaths {
		id := strings.Trim(path, "/") + "-" + name
		status, text := s.caller.WithTimeout(longTimeout).Send(s.gateways[0].CallerAddr(), http.MethodPost, path+"x", id, body)
		sends := target.sendCount(id)
		switch {
		case path == "/once/":
			if status != http.StatusBadGateway || !strings.Contains(text, `"ran":"unknown"`) || sends != 1 {
				t.Errorf("%s%s: status %d, %d sends, body %.300q; want 502, one send and \"ran\":\"unknown\"", path, name, status, sends, text)
			}
		case status != http.StatusOK || sends != 2 || path == "/stream/" && text != wiretest.StreamBody(id, itemEvents) || path == "/call/" && text != wiretest.CallAnswer(id, fmt.Sprint(len(body))):
			t.Errorf("%s%s: status %d, %d sends, body %.300q; want 200 and the whole answer of a second target", path, name, status, sends, text)
		}
	}
}

// brokenHead is the head of an answer that is none, with the body that follows it.
type brokenHead struct {
	name       string
	statusLine string
	lines      string // further lines, each with its end
}

// statusHeads are answers whose status line is not that of an answer.
var statusHeads = []brokenHead{
	{"status 000", "HTTP/1.1 000 Unknown", "Content-Length: 4\r\n"},
	{"status 000 without a reason", "HTTP/1.1 000", "Content-Length: 4\r\n"},
	{"status 000 without a length", "HTTP/1.1 000 Unknown", "Connection: close\r\n"},
	{"status 099", "HTTP/1.1 099 Unknown", "Content-Length: 4\r\n"},
	{"status with a sign", "HTTP/1.1 +20 OK", "Content-Length: 4\r\n"},
	{"status 101 unasked", "HTTP/1.1 101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x\r\n"},
	{"status 600", "HTTP/1.1 600 Unknown", "Content-Length: 4\r\n"},
	{"status 999", "HTTP/1.1 999 Unknown", "Content-Length: 4\r\n"},
	{"another version", "HTTP/9.9 200 OK", "Content-Length: 4\r\n"},
	{"no status", "hello", ""},
}

// checkBrokenHeads lets a target answer with each of the heads. It reports a failure unless each counts as a failure of the target.
func checkBrokenHeads(t *testing.T, heads []brokenHead) {
	for _, head := range heads {
		t.Run(head.name, func(t *testing.T) {
			t.Parallel()
			s, target := newRawSystem(t, patientRoutes, func(conn *net.TCPConn, req *http.Request) bool {
				_, _ = io.Copy(io.Discard, req.Body) // a failure shows with the write
				id := req.Header.Get(wire.HeaderRequestID)
				_, err := fmt.Fprintf(conn, "%s\r\n%s: %s\r\nContent-Type: text/plain\r\n%s\r\nevil", head.statusLine, wire.HeaderRequestID, id, head.lines)
				return err == nil && strings.Contains(head.lines, "Length")
			})
			defer s.stopAll()
			checkFailsOver(t, s, target, strings.ReplaceAll(head.name, " ", "-"), "body")
			if status, text := s.caller.Submit(s.gateways[0].CallerAddr(), "job", []wiretest.Item{{ID: "i1", Path: "/batch/1", Tokens: 10}}); status != http.StatusAccepted {
				t.Fatalf("submit: status %d, text %s; want 202", status, text)
			}
			if status, page := s.awaitResult("job"); status != http.StatusOK || page.Results[0].Text != wiretest.ItemText("i1", itemEvents) {
				t.Errorf("results: status %d, %+v; want the text of the sound answer", status, page)
			}
			if n := s.counter(0, "targets.invalid_answers"); n != 4 {
				t.Errorf("%d invalid answers are counted, want 4", n)
			}
		})
	}
}

// awaitResult reads the results of a job of one item until there is one.
func (s *system) awaitResult(job string) (status int, page wiretest.Page) {
	s.t.Helper()
	for range 12 { // each read waits for a limited time
		if status, page = s.caller.WithTimeout(longTimeout).Results(s.gateways[0].CallerAddr(), job, 0, 5*time.Second); len(page.Results) > 0 {
			return status, page
		}
	}
	s.t.Fatalf("job %s has no result: status %d", job, status)
	return status, page
}

// Guards against an answer whose status is none that reaches a caller, as an answer or as a connection that ends without one.
func TestAnswerWithoutValidStatusIsAFailure(t *testing.T) { checkBrokenHeads(t, statusHeads) }

// Guards against an answer with a field name that is no token that reaches a caller: with that line, without it, or with a body that
// another line would have framed.
func TestAnswerWithInvalidFieldNameIsAFailure(t *testing.T) {
	const ok, length = "HTTP/1.1 200 OK", "Content-Length: 4\r\n"
	heads := []brokenHead{
		{"blank in a name", ok, length + "X Y: z\r\n"},
		{"blank behind a name", ok, length + "X-Y : z\r\n"},
		{"blank behind the length", ok, "Connection: close\r\nContent-Length : 2\r\n"},
		{"blank in the encoding", ok, length + "Transfer-Encoding : chunked\r\n"},
		{"only a blank", ok, length + "X-Y: z\r\n : z\r\n  : z\r\nX : z\r\n"},
	}
	for name, char := range map[string]string{"NUL": "\x00", "BEL": "\a", "TAB": "\t", "CR": "\r", "ESC": "\x1b", "DEL": "\x7f", "byte above ASCII": "\x80"} {
		heads = append(heads, brokenHead{name + " in a name", ok, length + "X" + char + "Y: z\r\n"})
	}
	checkBrokenHeads(t, heads)
}

// largeBodyRoutes are patientRoutes with bodies of largeBody.
var largeBodyRoutes = strings.Replace(patientRoutes, `"max_body_bytes":1000000`, `"max_body_bytes":8000000`, 1)

// largeBody is larger than the buffers of a connection, so that it is still being written when its answer arrives.
var largeBody = strings.Repeat("x", 4<<20)

// cutRuns is how often each case of a cut answer is tried: who notices the end of a connection first is a matter of chance.
const cutRuns = 8

// Guards against a part of an answer that counts as a whole one: it has no length, and its connection is reset while the request is
// still being written.
func TestAnswerCutDuringUploadIsAFailure(t *testing.T) {
	for _, test := range []struct {
		name    string
		framing string
		pause   time.Duration // between the part and the reset
	}{
		{"reset later", "Connection: close\r\n", 30 * time.Millisecond},
		{"reset at once", "Connection: close\r\n", 0},
		{"with a length", "Content-Length: 100000\r\n", 30 * time.Millisecond},
		{"in chunks", "Transfer-Encoding: chunked\r\n", 30 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s, target := newRawSystem(t, largeBodyRoutes, func(conn *net.TCPConn, req *http.Request) bool {
				part, contentType := earlyAnswer(req)
				if strings.Contains(test.framing, "chunked") {
					part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: %s\r\n%s\r\n%s", wire.HeaderRequestID, req.Header.Get(wire.HeaderRequestID), contentType, test.framing, part)
				time.Sleep(test.pause)
				_ = conn.SetLinger(0) // close resets the connection
				return false
			})
			defer s.stopAll()
			for n := range cutRuns {
				checkFailsOver(t, s, target, fmt.Sprint(strings.ReplaceAll(test.name, " ", "-"), n), largeBody)
			}
		})
	}
}

// earlyAnswer returns the body of an answer that is sent before its request has been read, and its media type.
func earlyAnswer(req *http.Request) (body, contentType string) {
	if strings.HasPrefix(req.URL.Path, "/stream/") {
		return wiretest.StreamBody(req.Header.Get(wire.HeaderRequestID), 3), "text/event-stream"
	}
	return "part of an answer", "text/plain"
}

// Guards against a whole answer that counts as cut: it has no length, and its connection ends in order while the request is still
// being written.
func TestWholeAnswerDuringUploadIsPassedOn(t *testing.T) {
	closed := make(chan struct{})
	defer close(closed)
	s, target := newRawSystem(t, largeBodyRoutes, func(conn *net.TCPConn, req *http.Request) bool {
		body, contentType := earlyAnswer(req)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", wire.HeaderRequestID, req.Header.Get(wire.HeaderRequestID), contentType, body)
		_ = conn.CloseWrite()
		_, _ = conn.Read(make([]byte, 1<<10)) // unread bytes fill the buffers of the connection
		<-closed                              // until the test has ended: a close with unread bytes is a reset
		return false
	})
	defer s.stopAll()
	for n := range cutRuns {
		for _, path := range allPaths {
			id := fmt.Sprint(strings.Trim(path, "/"), n)
			want, _ := earlyAnswer(&http.Request{URL: &url.URL{Path: path}, Header: http.Header{wire.HeaderRequestID: {id}}})
			if status, text := s.caller.WithTimeout(longTimeout).Send(s.gateways[0].CallerAddr(), http.MethodPost, path+"x", id, largeBody); status != http.StatusOK || text != want || target.sendCount(id) != 1 {
				t.Errorf("%s: status %d, %d sends, body %.300q; want 200 and the answer of the first target", id, status, target.sendCount(id), text)
			}
		}
	}
}
