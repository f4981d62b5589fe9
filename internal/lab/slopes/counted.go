package slopes

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// traffic counts what passes through the connections of one listener, both ways.
// TCP and IP headers are not in it.
type traffic struct {
	bytes, writes atomic.Int64
}

// countedListener counts the traffic of what it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return countedConn{c, l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	if n > 0 {
		c.traffic.writes.Add(1)
	}
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}
