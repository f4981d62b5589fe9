package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// pipeListener accepts one end of a pipe.
type pipeListener struct {
	net.Listener
	conn net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) { return l.conn, nil }

func trackedPipe(t *testing.T) (c *conns, server *conn, caller net.Conn) {
	t.Helper()
	inner, caller := net.Pipe()
	c = trackConns(&pipeListener{conn: inner})
	accepted, err := c.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { inner.Close(); caller.Close() })
	return c, accepted.(*conn), caller
}

// Symptom: a request that came four seconds after the signal to stop was passed on to a target, and its
// connection closed without an answer.
// Sequence: the connection was idle; a request came in; its header was being read when all idle
// connections were closed; the handler ran all the same.
// Cause: to the HTTP server a connection is idle until a request's header has been read whole.
func TestAConnectionIsBusyFromTheFirstByte(t *testing.T) {
	c, server, caller := trackedPipe(t)
	c.state(server, http.StateIdle)
	go func() { _, _ = caller.Write([]byte("G")) }() // ends with the pipe at the latest
	if n, err := server.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	c.closeIdle()
	if c.busy() != 1 {
		t.Error("a connection with a part of a request is not busy")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.ReadFull(caller, make([]byte, 2))
	}()
	if _, err := server.Write([]byte("ok")); err != nil {
		t.Errorf("the connection was closed under a request: %v", err)
	}
	<-done
	c.state(server, http.StateIdle)
	c.closeIdle()
	if c.busy() != 0 || len(c.list()) != 0 {
		t.Error("an idle connection was not closed")
	}
}

// slowRead returns bytes that were on their way while the connection was closed.
type slowRead struct {
	net.Conn
	closing func()
}

func (s slowRead) Read(p []byte) (int, error) {
	s.closing()
	return copy(p, "GET"), nil
}

// What comes in just as the connection is closed must not become a request.
func TestBytesOfAClosedConnectionAreNotRead(t *testing.T) {
	c, server, _ := trackedPipe(t)
	server.Conn = slowRead{server.Conn, c.closeIdle}
	if n, err := server.Read(make([]byte, 10)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("%d bytes, %v", n, err)
	}
}
