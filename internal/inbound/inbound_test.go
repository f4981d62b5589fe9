package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
)

// testLimits are the limits of the listeners of tests.
var testLimits = serving.Limits{MaxHeadBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}

func newTestListener(inner net.Listener, host Host) *Listener {
	return NewListener(inner, Options{
		Name: "test", Account: NewAccount(host, hclog.NewNullLogger(), metrics.NewRegistry()), Limits: func() serving.Limits { return testLimits },
		Log: hclog.NewNullLogger(),
	})
}

// pipes is a listener for connections in memory, whose writes end when their bytes are read.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is a server with its clients in a bubble.
type testServer struct {
	listener *Listener
	pipes    *pipes
}

// startServer serves h on a host of the given memory.
func startServer(t *testing.T, memory int64, h http.HandlerFunc) *testServer {
	b := &testServer{pipes: &pipes{conns: make(chan net.Conn), done: make(chan struct{})}}
	b.listener = newTestListener(b.pipes, Host{MemoryBytes: memory, Descriptors: 1000})
	server := b.listener.NewServer(h)
	go func() { _ = server.Serve(b.listener) }() // until the test closes it
	t.Cleanup(func() { server.Close(); synctest.Wait() })
	return b
}

// client is one end of a connection. What the server writes is read at once.
type client struct {
	net.Conn
	mu     sync.Mutex
	answer strings.Builder
	ended  bool
}

func (b *testServer) dial() *client {
	inner, outer := net.Pipe()
	c := &client{Conn: outer}
	b.pipes.conns <- inner
	go func() {
		r := bufio.NewReader(outer)
		for {
			p := make([]byte, 1<<10)
			n, err := r.Read(p)
			c.mu.Lock()
			c.answer.Write(p[:n])
			c.ended = err != nil
			c.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return c
}

// send writes text in the background and waits until the server has read what it reads of it.
func (c *client) send(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }() // fails once the server closes the connection
	synctest.Wait()
}

// status returns the status of the first answer, 0 before it.
func (c *client) status() (status int) {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Sscanf(c.answer.String(), "HTTP/1.1 %d", &status) // 0 without an answer
	return status
}

func (c *client) hasEnded() bool {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// echo answers with the length of the body, which it reads for a workspace named in the path.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, BodyLimits{MaxBytes: testLimits.MaxBodyBytes, Until: time.Now().Add(20 * time.Second), Workspace: strings.Trim(r.URL.Path, "/")})
	if err != nil {
		writeRejection(w, errs.As(err))
		return
	}
	fmt.Fprint(w, len(body))
}

func request(path string, length int, sent string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, sent)
}

// stillUploads returns clients that send a body of a size to a path without its last byte and stay.
func (b *testServer) stillUploads(n int, path string, size int) (list []*client) {
	for range n {
		c := b.dial()
		c.send(request(path, size, strings.Repeat("x", size-1)))
		list = append(list, c)
	}
	return list
}

const smallHost, largeHost = 112 * megabyte, 1000 * megabyte

// Guards against heads that are served beyond the operator's limits, and against the end of a legal one.
func TestHeadIsBoundedByLimits(t *testing.T) {
	legal := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n"
	for name, test := range map[string]struct {
		text   string
		after  time.Duration
		status int
	}{
		"legal head of short lines": {legal, 0, 200},
		"head of too many bytes":    {"POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4600), 0, 431},
		"line without end":          {"POST /" + strings.Repeat("x", 20<<10), 0, 431},
		"blank lines":               {strings.Repeat("\r\n", 10<<10), 0, 400},
		"head that does not end":    {"POST / HTTP/1.1\r\nHost: h\r\n", testLimits.HeadTime + headGrace, 408},
		"head that may still end":   {"POST / HTTP/1.1\r\nHost: h\r\n", testLimits.HeadTime, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := startServer(t, smallHost, echo)
				c := b.dial()
				c.send(test.text)
				time.Sleep(test.after)
				if c.status() != test.status {
					t.Errorf("status %d, want %d", c.status(), test.status)
				}
				c.Close()
				synctest.Wait()
				time.Sleep(rejectTime)
				b.checkFree(t)
			})
		})
	}
}

// checkFree checks that nothing is held.
func (b *testServer) checkFree(t *testing.T) {
	t.Helper()
	synctest.Wait()
	a := b.listener.o.Account
	if a.requests.Held() != 0 || a.connections.Held() != 0 || len(a.workspaces) != 0 {
		t.Errorf("%d bytes, %d connections and %d workspaces are held, want none", a.requests.Held(), a.connections.Held(), len(a.workspaces))
	}
}

// Guards against connections that stay open for longer than the operator allows, and against the end of one within it.
func TestIdleConnectionEndsAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startServer(t, largeHost, echo)
		unused, used := b.dial(), b.dial()
		time.Sleep(testLimits.IdleTime * 4 / 5)
		used.send(request("/", 2, "ok"))
		if used.status() != http.StatusOK || unused.hasEnded() {
			t.Errorf("status %d, unused connection ended %t; want 200 and an open one", used.status(), unused.hasEnded())
		}
		time.Sleep(testLimits.IdleTime*4/5 + time.Second)
		if used.hasEnded() || !unused.hasEnded() {
			t.Errorf("used connection ended %t, unused %t; want false and true", used.hasEnded(), unused.hasEnded())
		}
		time.Sleep(testLimits.IdleTime / 5)
		if !used.hasEnded() {
			t.Error("the used connection is still open")
		}
		b.checkFree(t)
	})
}

// Guards against bodies that fill the memory together: a client that has stood still is ended when another needs its memory, and
// one that moves is not.
func TestStillUploadYieldsToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startServer(t, smallHost, echo)
		const size = 4 << 20
		part := strings.Repeat("x", size-1)
		still := b.stillUploads(20, "/", size)
		rejected := 0
		for _, c := range still {
			if c.status() == http.StatusServiceUnavailable {
				rejected++
			}
		}
		if rejected == 0 || rejected == len(still) {
			t.Errorf("%d of %d uploads are rejected, want some", rejected, len(still))
		}
		time.Sleep(stillTime)
		c := b.dial()
		c.send(request("/", size, part+"x"))
		time.Sleep(reliefWait)
		if c.status() != http.StatusOK {
			t.Errorf("status %d of a whole upload, want 200", c.status())
		}
		small := b.dial()
		small.send(request("/", 2, "ok"))
		if small.status() != http.StatusOK {
			t.Errorf("status %d of a small request, want 200", small.status())
		}
		for _, c := range append(still, c, small) {
			c.Close()
		}
		time.Sleep(rejectTime + restTime)
		b.checkFree(t)
	})
}

// Guards against the end of an upload that moves, and against one that moves too slowly to end in time.
func TestUploadMayTakeItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startServer(t, largeHost, echo)
		slow, tooSlow := b.dial(), b.dial()
		slow.send(request("/", 10, ""))
		tooSlow.send(request("/", 30, ""))
		for range 10 {
			time.Sleep(1900 * time.Millisecond)
			slow.send("x")
			tooSlow.send("x")
		}
		if slow.status() != http.StatusOK || tooSlow.status() != 0 {
			t.Errorf("status %d and %d, want 200 and none yet", slow.status(), tooSlow.status())
		}
		time.Sleep(time.Second)
		if tooSlow.status() != http.StatusRequestTimeout {
			t.Errorf("status %d after the time limit, want 408", tooSlow.status())
		}
		slow.Close()
		tooSlow.Close()
		time.Sleep(restTime)
		b.checkFree(t)
	})
}

// Guards against a workspace whose uploads leave nothing to another one.
func TestWorkspaceHasAShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startServer(t, smallHost, echo)
		const size = 4 << 20
		clients := b.stillUploads(20, "/loud", size)
		c := b.dial()
		c.send(request("/other", size, strings.Repeat("x", size)))
		if c.status() != http.StatusOK {
			t.Errorf("status %d for another workspace, want 200", c.status())
		}
		for _, c := range append(clients, c) {
			c.Close()
		}
		time.Sleep(rejectTime + restTime)
		b.checkFree(t)
	})
}

// Guards against a workspace that uses up its share and so has uploads of others ended, though there is room for them.
func TestWorkspaceBeyondItsShareEndsItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startServer(t, smallHost, echo)
		const size = 4 << 20
		other := b.dial()
		other.send(request("/other", size, strings.Repeat("x", size-1)))
		time.Sleep(stillTime)
		clients := b.stillUploads(4, "/loud", size)
		time.Sleep(2 * stillTime)
		last := b.dial()
		last.send(request("/loud", size, strings.Repeat("x", size)))
		time.Sleep(reliefWait)
		if other.send("x"); other.status() != http.StatusOK || last.status() != http.StatusOK {
			t.Errorf("status %d of another workspace's upload, %d of the loud one's last; want 200 and 200", other.status(), last.status())
		}
		for _, c := range append(clients, other, last) {
			c.Close()
		}
		time.Sleep(rejectTime + restTime)
		b.checkFree(t)
	})
}

// Guards against connections that keep all others out: those that keep the process waiting make room, and those that are kept
// between requests stay.
func TestConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startServer(t, smallHost, echo)
		most := int(b.listener.o.Account.connections.Max())
		kept := b.dial()
		kept.send(request("/", 2, "ok"))
		var silent []*client
		for range most {
			silent = append(silent, b.dial())
		}
		late := b.dial()
		if late.status() != http.StatusServiceUnavailable {
			t.Errorf("status %d with %d connections, want 503", late.status(), most)
		}
		time.Sleep(stillTime)
		b.dial().Close() // makes room
		time.Sleep(rejectTime)
		next := b.dial()
		next.send(request("/", 2, "ok"))
		if next.status() != http.StatusOK || kept.hasEnded() {
			t.Errorf("status %d, connection kept between requests ended %t; want 200 and false", next.status(), kept.hasEnded())
		}
		for _, c := range append(silent, kept, late, next) {
			c.Close()
		}
		time.Sleep(rejectTime)
		b.checkFree(t)
	})
}

// Guards against connections that are closed for the sake of another listener, which has few of its own.
func TestRoomIsMadeWhereItIsScarce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startServer(t, smallHost, echo)
		few := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
		o := b.listener.o
		o.MaxConnections = 4
		probes := &testServer{listener: NewListener(few, o), pipes: few}
		server := probes.listener.NewServer(http.HandlerFunc(echo))
		go func() { _ = server.Serve(probes.listener) }() // until the test closes it
		defer server.Close()
		var idle []*client
		for range 2 * o.MaxConnections {
			c := b.dial()
			c.send(request("/", 2, "ok"))
			idle = append(idle, c)
		}
		time.Sleep(testLimits.IdleTime * 4 / 5)
		for range 3 * o.MaxConnections {
			probes.dial()
			time.Sleep(2 * scanInterval)
		}
		for _, c := range idle {
			if c.send(request("/", 2, "ok")); c.hasEnded() {
				t.Fatal("a connection was closed within its limits, with room for many")
			}
		}
	})
}

// Guards against bodies that are read wrongly at the sizes where the buffer grows.
func TestBodyIsReadWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startServer(t, largeHost, echo)
		for _, size := range []int{0, 1, firstBodyBytes, firstBodyBytes + 1, knownBodyBytes, knownBodyBytes + 1, 1 << 20, 4 << 20} {
			for _, chunked := range []bool{false, true} {
				c := b.dial()
				if body := strings.Repeat("x", size); chunked {
					c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", max(size, 1), body+strings.Repeat("y", max(0, 1-size))))
				} else {
					c.send(strings.Replace(request("/", size, body), "Host:", "Connection: close\r\nHost:", 1))
				}
				synctest.Wait()
				want := fmt.Sprintf("\r\n\r\n%d", size)
				if chunked {
					want = fmt.Sprintf("\r\n\r\n%d", max(size, 1))
				}
				if !strings.HasSuffix(c.answer.String(), want) {
					t.Errorf("size %d, chunked %t: answer %q, want it to end with %q", size, chunked, c.answer.String(), want)
				}
				c.Close()
			}
		}
		tooLarge := b.dial()
		tooLarge.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n400001\r\n" + strings.Repeat("x", 4<<20+1))
		if tooLarge.status() != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d of a body beyond its limit, want 413", tooLarge.status())
		}
		tooLarge.Close()
		time.Sleep(restTime + rejectTime)
		b.checkFree(t)
	})
}
