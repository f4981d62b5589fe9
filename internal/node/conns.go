package node

import (
	"net"
	"net/http"
	"sync"
)

// connTracker is a listener that tracks the open connections of callers. It can close idle connections
// without losing a request. The HTTP server's own shutdown can't: its connection state changes only after the
// header of a request has been read, so it may close a connection whose request is about to be passed on. A
// connTracker is safe for concurrent use.
type connTracker struct {
	net.Listener

	mu   sync.Mutex
	open map[*trackedConn]bool
}

func newConnTracker(l net.Listener) *connTracker {
	return &connTracker{Listener: l, open: make(map[*trackedConn]bool)}
}

// trackedConn is one connection. It has a request from the first byte of the request to the end of its answer.
type trackedConn struct {
	net.Conn
	tracker *connTracker

	mu         sync.Mutex
	hasRequest bool
	isClosed   bool
}

// Accept implements net.Listener.
func (c *connTracker) Accept() (net.Conn, error) {
	inner, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: inner, tracker: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[tracked] = true
	return tracked, nil
}

// handleState is the ConnState hook of the HTTP server. A connection that becomes idle has answered its
// request.
func (c *connTracker) handleState(inner net.Conn, s http.ConnState) {
	if tracked, ok := inner.(*trackedConn); ok && s == http.StateIdle {
		tracked.mu.Lock()
		tracked.hasRequest = false
		tracked.mu.Unlock()
	}
}

// closeIdle closes the connections without a request.
func (c *connTracker) closeIdle() {
	for _, conn := range c.list() {
		conn.closeIfIdle()
	}
}

// countBusy returns the number of connections with a request.
func (c *connTracker) countBusy() int {
	n := 0
	for _, conn := range c.list() {
		if conn.isBusy() {
			n++
		}
	}
	return n
}

func (c *connTracker) list() []*trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*trackedConn, 0, len(c.open))
	for conn := range c.open {
		list = append(list, conn)
	}
	return list
}

// Read implements net.Conn. Bytes that arrive after the connection was closed as idle are discarded: the
// request has not been read, so its caller may send it elsewhere.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, net.ErrClosed
	}
	c.hasRequest = true
	return n, err
}

// CloseWrite closes the write direction only. The HTTP server does this before it closes a connection whose
// caller may still send.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.open, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

func (c *trackedConn) closeIfIdle() {
	c.mu.Lock()
	isIdle := !c.hasRequest
	c.isClosed = c.isClosed || isIdle
	c.mu.Unlock()
	if isIdle {
		_ = c.Close() // the caller may have closed it already
	}
}

func (c *trackedConn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRequest
}
