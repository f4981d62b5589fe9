package node

import (
	"net"
	"net/http"
	"sync"
)

// connTracker is a listener that tracks its open connections. It can close idle connections without losing a
// request. The shutdown of the HTTP server can't: a connection is idle to the server until the header of a request
// has been read, so the server may close it while a request arrives. A connTracker is safe for concurrent use.
type connTracker struct {
	net.Listener

	mu   sync.Mutex
	open map[*trackedConn]bool // the keys are the open connections
}

func newConnTracker(l net.Listener) *connTracker {
	return &connTracker{Listener: l, open: make(map[*trackedConn]bool)}
}

// trackedConn is one connection of a connTracker. It counts as busy from the first byte of a request to the end of
// its answer.
type trackedConn struct {
	net.Conn
	tracker *connTracker

	mu         sync.Mutex
	hasRequest bool // the connection is busy
	isClosed   bool // closed by closeIfIdle
}

// Accept implements net.Listener.
func (t *connTracker) Accept() (net.Conn, error) {
	inner, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: inner, tracker: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[tracked] = true
	return tracked, nil
}

// handleState is the ConnState hook of the HTTP server. A connection becomes idle when its request has been
// answered.
func (t *connTracker) handleState(inner net.Conn, state http.ConnState) {
	if tracked, ok := inner.(*trackedConn); ok && state == http.StateIdle {
		tracked.mu.Lock()
		tracked.hasRequest = false
		tracked.mu.Unlock()
	}
}

// closeIdle closes the connections that are not busy.
func (t *connTracker) closeIdle() {
	for _, conn := range t.list() {
		conn.closeIfIdle()
	}
}

// countBusy returns the number of busy connections.
func (t *connTracker) countBusy() int {
	n := 0
	for _, conn := range t.list() {
		if conn.isBusy() {
			n++
		}
	}
	return n
}

// list returns the open connections.
func (t *connTracker) list() []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*trackedConn, 0, len(t.open))
	for conn := range t.open {
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
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
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

// closeIfIdle closes the connection unless it is busy.
func (c *trackedConn) closeIfIdle() {
	c.mu.Lock()
	isIdle := !c.hasRequest
	c.isClosed = c.isClosed || isIdle
	c.mu.Unlock()
	if isIdle {
		_ = c.Close() // the caller may have closed it already
	}
}

// isBusy reports whether a request has begun to arrive that has not been answered.
func (c *trackedConn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRequest
}
