package node

import (
	"net"
	"net/http"
	"sync"
)

// conns are the callers' connections. They can be closed between requests without losing one: the
// HTTP server's own closing looks at a state that changes only after a request's header has been
// read, so that it can close a connection under a request that is about to be passed on.
type conns struct {
	net.Listener

	mu  sync.Mutex
	all map[*conn]bool
}

func trackConns(l net.Listener) *conns { return &conns{Listener: l, all: make(map[*conn]bool)} }

// conn is one connection. It is busy from the first byte of a request to the end of the answer.
type conn struct {
	net.Conn
	owner *conns

	mu     sync.Mutex
	busy   bool
	closed bool
}

// Accept implements net.Listener.
func (c *conns) Accept() (net.Conn, error) {
	inner, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{Conn: inner, owner: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[tracked] = true
	return tracked, nil
}

// state is the HTTP server's hook: an answer is complete.
func (c *conns) state(inner net.Conn, s http.ConnState) {
	if tracked, ok := inner.(*conn); ok && s == http.StateIdle {
		tracked.mu.Lock()
		tracked.busy = false
		tracked.mu.Unlock()
	}
}

// closeIdle closes the connections that have no request.
func (c *conns) closeIdle() {
	for _, one := range c.list() {
		one.closeIfIdle()
	}
}

// busy is the number of connections with a request.
func (c *conns) busy() int {
	n := 0
	for _, one := range c.list() {
		if one.isBusy() {
			n++
		}
	}
	return n
}

func (c *conns) list() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*conn, 0, len(c.all))
	for one := range c.all {
		list = append(list, one)
	}
	return list
}

// Read implements net.Conn. Bytes that come to a connection that was closed as idle are not handed
// on: their request has not been read, and its caller may send it elsewhere.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.busy = true
	return n, err
}

// CloseWrite ends the answers' direction alone, which the HTTP server does before it closes a connection
// whose caller may still send.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.all, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.busy
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close() // it may have been closed by its caller
	}
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}
