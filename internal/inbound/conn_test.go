package inbound

import (
	"errors"
	"io"
	"net"
	"testing"
)

// pipeListener is a listener whose Accept returns one end of a pipe.
type pipeListener struct {
	net.Listener
	conn net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) { return l.conn, nil }

// trackedPipe returns both ends of a connection, and the Listener that has accepted the server's end.
func trackedPipe(t *testing.T) (listener *Listener, server *Conn, caller net.Conn) {
	t.Helper()
	inner, caller := net.Pipe()
	listener = newTestListener(&pipeListener{conn: inner}, Host{MemoryBytes: 1 << 30, Descriptors: 1000})
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { inner.Close(); caller.Close() })
	return listener, accepted.(*Conn), caller
}

// Guards against closing a connection whose request has begun to arrive, which would pass the request on and
// leave it without an answer. To the HTTP server a connection is idle until the whole header of a request has
// been read, so an idle connection could be closed while its next header was being read.
func TestConnectionIsBusyFromFirstByte(t *testing.T) {
	listener, server, caller := trackedPipe(t)
	server.becomeIdle()
	go func() { _, _ = caller.Write([]byte("G")) }() // ends with the pipe at the latest
	if n, err := server.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	listener.CloseIdle()
	if listener.CountBusy() != 1 {
		t.Error("CountBusy is not 1 during a partial request, want 1")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.ReadFull(caller, make([]byte, 2))
	}()
	if _, err := server.Write([]byte("ok")); err != nil {
		t.Errorf("CloseIdle closed a connection with a partial request: write error %v, want none", err)
	}
	<-done
	server.becomeIdle()
	listener.CloseIdle()
	if listener.CountBusy() != 0 || len(listener.list()) != 0 {
		t.Error("CloseIdle did not close the connection after its request was answered, want no open connection")
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
	listener, server, _ := trackedPipe(t)
	server.Conn = closingConn{server.Conn, listener.CloseIdle}
	if n, err := server.Read(make([]byte, 10)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read of a connection that is being closed: %d bytes, error %v; want 0 bytes and net.ErrClosed", n, err)
	}
}
