// Package singlesend controls on which connections the HTTP client of the standard library sends a request, and tells whether
// a byte of it was written. The client repeats some requests by itself; a request that may be sent only once is written to one
// connection at most, whatever its rules are.
package singlesend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"arbutusramp/core/platform"
	"arbutusramp/internal/httpanswer"
)

var (
	// errNoRequest is the error of a write on a connection that no request may write on.
	errNoRequest = errors.New("no request may be written to this connection")
	// errSentOnce is the error of a second send of a request that may be sent only once.
	errSentOnce = errors.New("the connection ended without an answer, and the request must not be sent on another one")
	// ErrAnsweredBefore is the error of an answer that was read before the request was written.
	ErrAnsweredBefore = errors.New("the target sent an answer before the request was written")
)

// connection is a connection to a target.
//
// Only the request that the HTTP client has taken the connection for can be written to it, and only if that request may
// still be sent: the HTTP client repeats some requests by itself on another connection when the first one ends without an
// answer. Which ones is its own rule, so that rule is not relied on.
//
// A target may send the answer to a request a second time, late, where the answer to the next request on the connection
// is expected, or even later. Only the request id in it tells it from that answer, so a connection carries an id once, and no
// request after an answer without the id of its request. An answer that has arrived before the first request was written
// belongs to none: then nothing is written.
type connection struct {
	net.Conn

	hasWritten    atomic.Bool // a first write to the connection has begun
	hasEarlyBytes atomic.Bool // bytes arrived before that

	mu     sync.Mutex
	newest *exchange // the request that may be written; nil if there is none
	// idHashes are hashes of the ids of all requests so far. Two ids with the same hash count as equal, which costs a
	// connection. The field is only used by begin.
	idHashes []uint64
}

// MaxRequestsPerConnection bounds the requests on a connection, since each new one is compared with all before. Opening a
// connection once in so many requests costs next to nothing.
const MaxRequestsPerConnection = 512

// exchange is one request on a connection.
type exchange struct {
	request *Request
	conn    *connection
	isFirst bool          // no other request was on the connection before
	ended   chan struct{} // closed once the header of the answer has been read, or the request has failed
	// isIdentified reports whether the answer carries the id of the request. It must not be read before ended is closed.
	isIdentified bool
}

// begin adds a request to the connection. It returns nil if the connection must not be used for it. It waits for the end of
// the request before, whose answer has already been read. The HTTP client adds one request at a time.
func (c *connection) begin(request *Request) *exchange {
	last, isFirst := c.current(), len(c.idHashes) == 0
	if last != nil {
		<-last.ended
	}
	var next *exchange
	idHash := xxhash.Sum64String(request.id)
	isInStep := last != nil && last.isIdentified && !slices.Contains(c.idHashes, idHash)
	if isFirst || isInStep && len(c.idHashes) < MaxRequestsPerConnection {
		next = &exchange{request: request, conn: c, isFirst: isFirst, ended: make(chan struct{})}
		c.idHashes = append(c.idHashes, idHash)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest = next
	return next
}

// current returns the request that may be written to the connection; nil if there is none.
func (c *connection) current() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.hasWritten.Load() {
		c.hasEarlyBytes.Store(true)
	}
	return n, err
}

// Write implements net.Conn. It writes nothing unless a request has the permission to be written to the connection.
// Nothing else of a connection writes: the HTTP client finds no ReadFrom here.
func (c *connection) Write(p []byte) (int, error) {
	current := c.current()
	if current == nil {
		return 0, errNoRequest
	}
	return current.request.write(current, p)
}

// Request is a request that is sent with an http.Transport. The HTTP client may begin it on several connections, one after the
// other. Its methods but those that the HTTP client calls must be called by the goroutine that sends it.
type Request struct {
	id      string
	addr    string // of the target
	isOnce  bool   // the request may be written to one connection only
	trace   httptrace.ClientTrace
	current *exchange // on the newest connection that was taken for it; nil without one

	mu       sync.Mutex
	writes   int       // number of connections to which a byte was written, or a first write has begun
	writer   *exchange // on the newest of them
	isClosed bool      // nothing may be written any more
}

// requestKey is the context key for the *Request that is sent.
type requestKey struct{}

// New returns a request with the given id to addr, and the context with which it must be sent by a transport that has Dial and
// RefuseRepeat. With isOnce it may be written to one connection only.
func New(ctx context.Context, id, addr string, isOnce bool) (*Request, context.Context) {
	s := &Request{id: id, addr: addr, isOnce: isOnce}
	s.trace.GotConn = s.gotConn
	return s, httptrace.WithClientTrace(context.WithValue(ctx, requestKey{}, s), &s.trace)
}

// Dial opens a connection with dialer for the request in ctx, to its address.
func Dial(ctx context.Context, dialer *net.Dialer, network string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, ctx.Value(requestKey{}).(*Request).addr)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: &httpanswer.Conn{Conn: conn}}, nil
}

// IsFirstOnConnection reports whether the answer that has been read is the first one on its connection: no other request was
// on it before, and no bytes were read before the first write began. The latter is asked once more here, since a write that
// has found none may be slow to begin.
func (s *Request) IsFirstOnConnection() bool {
	return s.current.isFirst && !s.current.conn.hasEarlyBytes.Load()
}

// CloseConnection closes the connection whose answer has been read.
func (s *Request) CloseConnection() { _ = s.current.conn.Close() } // the connection is given up

// write writes a part of the request to the connection of e, if that is permitted.
func (s *Request) write(e *exchange, p []byte) (int, error) {
	if e.conn.hasEarlyBytes.Load() {
		return 0, ErrAnsweredBefore
	}
	before, err := s.beginWrite(e)
	if err != nil {
		return 0, err
	}
	e.conn.hasWritten.Store(true)
	n, err := e.conn.Conn.Write(p)
	if n == 0 && before != e {
		s.undoWrite(e, before)
	}
	return n, err
}

// beginWrite notes a write to the connection of e, and returns on which exchange the newest write before was. An error means
// that nothing must be written.
func (s *Request) beginWrite(e *exchange) (before *exchange, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.writer
	switch {
	case s.isClosed:
		return nil, errNoRequest
	case before == e:
		return e, nil
	case s.isOnce && s.writes > 0:
		return nil, errSentOnce
	}
	s.writer = e
	s.writes++
	return before, nil
}

// undoWrite notes that the first write to the connection of e has failed before its first byte.
func (s *Request) undoWrite(e, before *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writer == e {
		s.writer = before
	}
	s.writes--
}

// NoteAnswer notes that an answer has been read, and returns the number of connections to which the request was written. If
// it was not written to the newest one, it returns 0 and ends the permission to write it.
func (s *Request) NoteAnswer() (writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writer == nil || s.writer != s.current {
		s.isClosed = true
		return 0
	}
	return s.writes
}

// Close ends the permission to write the request, and returns the number of connections to which a part of it may have been
// written.
func (s *Request) Close() (writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	return s.writes
}

// Record returns the record of the send, without what an answer shows.
func (s *Request) Record() platform.SendRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := platform.SendRecord{Writes: s.writes}
	if s.writer != nil {
		r.IsReused, r.LocalAddr = !s.writer.isFirst, s.writer.conn.LocalAddr().String()
	}
	return r
}

// isSpent reports whether the request must not be written to another connection.
func (s *Request) isSpent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isOnce && s.writes > 0
}

// RefuseRepeat is the function of a transport that selects a proxy, which is never one. It is called each time the
// HTTP client begins to look for a connection. Its error ends a request that must not be sent again before a connection is
// taken for it: the connection would be closed unused.
func RefuseRepeat(req *http.Request) (*url.URL, error) {
	if s, ok := req.Context().Value(requestKey{}).(*Request); ok && s.isSpent() {
		return nil, errSentOnce
	}
	return nil, nil
}

// gotConn is called before the request is written to a connection. If the connection must not be used, it is closed: the
// HTTP client then finds that nothing was written, and takes another one.
func (s *Request) gotConn(info httptrace.GotConnInfo) {
	s.End(false)
	conn := info.Conn.(*connection) // Dial returns no others
	if s.current = conn.begin(s); s.current == nil {
		_ = conn.Close() // the connection is given up
	}
}

// End notes that the header of the answer has been read, or that the request has failed on its newest connection.
func (s *Request) End(isIdentified bool) {
	if s.current != nil {
		s.current.isIdentified = isIdentified
		close(s.current.ended)
	}
}
