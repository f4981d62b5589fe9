package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// pipeListener is a listener whose Accept returns one end of a pipe.
type pipeListener struct {
	net.Listener
	conn net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) { return l.conn, nil }

func trackedPipe(t *testing.T) (c *connTracker, server *trackedConn, caller net.Conn) {
	t.Helper()
	inner, caller := net.Pipe()
	c = newConnTracker(&pipeListener{conn: inner})
	accepted, err := c.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { inner.Close(); caller.Close() })
	return c, accepted.(*trackedConn), caller
}

// Guards against closing a connection whose request has begun to arrive, which would pass the request on and
// leave it without an answer. To the HTTP server a connection is idle until the whole header of a request has
// been read, so an idle connection could be closed while its next header was being read.
func TestConnectionIsBusyFromFirstByte(t *testing.T) {
	c, server, caller := trackedPipe(t)
	c.handleState(server, http.StateIdle)
	go func() { _, _ = caller.Write([]byte("G")) }() // ends with the pipe at the latest
	if n, err := server.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	c.closeIdle()
	if c.countBusy() != 1 {
		t.Error("a connection with a partial request is not busy")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.ReadFull(caller, make([]byte, 2))
	}()
	if _, err := server.Write([]byte("ok")); err != nil {
		t.Errorf("a connection with a request was closed: %v", err)
	}
	<-done
	c.handleState(server, http.StateIdle)
	c.closeIdle()
	if c.countBusy() != 0 || len(c.list()) != 0 {
		t.Error("an idle connection was not closed")
	}
}

// slowRead returns bytes that arrive while the connection is being closed.
type slowRead struct {
	net.Conn
	closing func()
}

func (s slowRead) Read(p []byte) (int, error) {
	s.closing()
	return copy(p, "GET"), nil
}

// Guards against handling a request that arrives while its connection is being closed.
func TestClosedConnectionReturnsNoBytes(t *testing.T) {
	c, server, _ := trackedPipe(t)
	server.Conn = slowRead{server.Conn, c.closeIdle}
	if n, err := server.Read(make([]byte, 10)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("%d bytes, %v", n, err)
	}
}
