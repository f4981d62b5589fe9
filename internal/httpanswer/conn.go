package httpanswer

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errReset is the error of a read at the end of a connection that has not ended in order.
var errReset = errors.New("the connection was reset while the request was being written")

// Conn is a connection to a server whose end can be trusted: a read returns io.EOF only if the server has ended it in order.
//
// The kernel reports a reset once, to a read or to a write; a read after that finds the plain end of the data. An answer without a
// length would then be whole, however much of it is missing.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during a write; guards isReset
	isReset bool       // a write has found that the connection did not end in order
}

// Dial returns a function that opens connections with dialer, for an http.Transport.
func Dial(dialer *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !isOrderly(err) {
		c.isReset = true
	}
	return n, err
}

// isOrderly reports whether an error of a write says nothing against the order in which the server has ended the connection: it
// was ended before (EPIPE), this process has closed it, or it has ended the write.
func isOrderly(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset() {
		return n, errReset
	}
	return n, err
}

// wasReset reports whether a write has taken the report of a reset. It is called at the end of the data. A write may have taken the
// report and not returned, so it is waited for; one that waits for the server to read is ended, since nothing answers the request
// any more.
func (c *Conn) wasReset() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if this process has closed the connection, which ends writes too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.isReset
}
