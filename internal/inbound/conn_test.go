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

// trackedPipe returns both ends of a connection, and the connTracker that has accepted the server's end.
func trackedPipe(t *testing.T) (tracker *connTracker, server *trackedConn, caller net.Conn) {
	t.Helper()
	inner, caller := net.Pipe()
	tracker = newConnTracker(&pipeListener{conn: inner})
	accepted, err := tracker.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { inner.Close(); caller.Close() })
	return tracker, accepted.(*trackedConn), caller
}

// Guards against closing a connection whose request has begun to arrive, which would pass the request on and
// leave it without an answer. To the HTTP server a connection is idle until the whole header of a request has
// been read, so an idle connection could be closed while its next header was being read.
func TestConnectionIsBusyFromFirstByte(t *testing.T) {
	tracker, server, caller := trackedPipe(t)
	tracker.handleState(server, http.StateIdle)
	go func() { _, _ = caller.Write([]byte("G")) }() // ends with the pipe at the latest
	if n, err := server.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	tracker.closeIdle()
	if tracker.countBusy() != 1 {
		t.Error("countBusy is not 1 during a partial request, want 1")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.ReadFull(caller, make([]byte, 2))
	}()
	if _, err := server.Write([]byte("ok")); err != nil {
		t.Errorf("closeIdle closed a connection with a partial request: write error %v, want none", err)
	}
	<-done
	tracker.handleState(server, http.StateIdle)
	tracker.closeIdle()
	if tracker.countBusy() != 0 || len(tracker.list()) != 0 {
		t.Error("closeIdle did not close the connection after its request was answered, want no open connection")
	}
}

// closingConn is a connection that receives bytes while it is being closed: Read calls closeFirst and then
// returns data.
type closingConn struct {
	net.Conn
	closeFirst func()
}

func (c closingConn) Read(p []byte) (int, error) {
	c.closeFirst()
	return copy(p, "GET"), nil
}

// Guards against handling a request that arrives while its connection is being closed.
func TestClosedConnectionReturnsNoBytes(t *testing.T) {
	tracker, server, _ := trackedPipe(t)
	server.Conn = closingConn{server.Conn, tracker.closeIdle}
	if n, err := server.Read(make([]byte, 10)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read of a connection that is being closed: %d bytes, error %v; want 0 bytes and net.ErrClosed", n, err)
	}
}
