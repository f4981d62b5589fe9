package httpanswer

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// endedConn is a connection at the end of its data, on which a write waits until the write deadline is set, and then fails.
type endedConn struct {
	net.Conn
	writeErr error
	began    chan struct{} // closed when the write has begun
	release  chan struct{} // closed when it may return
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.began)
	<-c.release
	return 0, &net.OpError{Op: "write", Err: c.writeErr}
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.release)
	return nil
}

// Guards against the end of the data that counts as the end of an answer while a write, which has not returned, knows of a reset;
// and against an end in order that counts as a reset.
func TestEndIsInOrderOnlyWithoutReset(t *testing.T) {
	for _, test := range []struct {
		name      string
		writeErr  error
		isInOrder bool
	}{
		{"reset", os.NewSyscallError("write", syscall.ECONNRESET), false},
		{"no acknowledgement", os.NewSyscallError("write", syscall.ETIMEDOUT), false},
		{"ended before", os.NewSyscallError("write", syscall.EPIPE), true},
		{"write ended by the read", os.ErrDeadlineExceeded, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			inner := &endedConn{writeErr: test.writeErr, began: make(chan struct{}), release: make(chan struct{})}
			conn, done := &Conn{Conn: inner}, make(chan struct{})
			go func() {
				defer close(done)
				_, _ = conn.Write([]byte("x")) // its error is the subject of the read
			}()
			<-inner.began
			_, err := conn.Read(make([]byte, 1))
			<-done
			if errors.Is(err, io.EOF) != test.isInOrder || err == nil {
				t.Errorf("error %v; want io.EOF if the end is in order (%v), else another", err, test.isInOrder)
			}
		})
	}
}
