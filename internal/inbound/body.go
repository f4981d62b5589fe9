package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/limit"
)

const (
	// firstBodyBytes is the size with which the buffer of a body begins if its length is not known, knownBodyBytes if it is known
	// and larger. bodyGrowth is the factor by which the buffer grows; the one that it outgrows is held until its content is copied.
	firstBodyBytes = 4 << 10
	knownBodyBytes = 64 << 10
	bodyGrowth     = 4
	// usualReceiveBuffer is what the kernel may hold of a connection's unread bytes, largeReceiveBuffer while a large body
	// arrives, approximately, in bytes. The window of a connection, and so its rate on a long way, follows from it.
	usualReceiveBuffer = 32 << 10
	largeReceiveBuffer = 256 << 10
)

// BodyLimits bound the body of a request.
type BodyLimits struct {
	MaxBytes int64
	// Until is when the body must have arrived; the zero time for no limit.
	Until time.Time
	// Workspace is the workspace of the request, which has a share of the memory; empty if it is not known.
	Workspace string
	// Check, if it is not nil, returns an error once the request can't be served any more, so that its body need not be read; see
	// Listener.CheckBodies.
	Check func() error
}

// bodyHold is what a request has taken for its body. The lock of its Conn guards it.
type bodyHold struct {
	memory    *limit.Memory // of the workspace, or all
	held      int64
	done      func()       // of the workspace's memory; nil for none
	isReading bool         // the handler reads the body
	unmoved   int          // bytes of the body since the client has last counted as moving
	isWide    bool         // the connection has a large receive buffer
	check     func() error // of the BodyLimits
}

// release gives back all that the body holds.
func (b *bodyHold) release() {
	if b.memory == nil {
		return
	}
	b.memory.Return(b.held)
	if b.done != nil {
		b.done()
	}
	*b = bodyHold{isWide: b.isWide}
}

// connOf returns the connection of a request that a server of a Listener has read.
func connOf(ctx context.Context) *Conn {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		panic("inbound: the request is not of a server of a Listener")
	}
	return c
}

// ReadBody reads the body of a request to its end. The body is held until the request is answered. Errors: errs.BodyTooLarge,
// errs.RequestTimeout, errs.ProcessFull, and errs.BadRequest if it ends early. After an error, the connection is closed with the
// answer.
func ReadBody(w http.ResponseWriter, r *http.Request, l BodyLimits) ([]byte, error) {
	c := connOf(r.Context())
	c.beginBody(l)
	body, err := c.readBody(r, l)
	c.endBody(err == nil)
	if err != nil {
		w.Header().Set("Connection", "close") // the body is not read to its end
	}
	if err != nil && !errs.Is(err, errs.BadRequest) { // clients may leave
		c.listener.note(c, "request rejected", err, "phase", phaseRequest.String())
	}
	return body, err
}

// Take takes n bytes of memory for a request until it is answered. Errors: errs.ProcessFull, and errs.BodyTooLarge if the process
// never has as much for one request.
func Take(ctx context.Context, n int64) error {
	c := connOf(ctx)
	err := c.take(ctx, n)
	if err != nil {
		c.listener.note(c, "request rejected", err, "phase", phaseRequest.String())
	}
	return err
}

// beginBody prepares the connection for a read of a body.
func (c *Conn) beginBody(l BodyLimits) {
	memory, done := c.requests, (func())(nil)
	if l.Workspace != "" {
		memory, done = c.listener.o.Account.workspace(l.Workspace)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body.memory, c.body.done, c.body.isReading, c.body.check = memory, done, true, l.Check
	c.deadline, c.waitsSince = l.Until, time.Now()
	c.applyDeadline()
}

// endBody ends the read of a body.
func (c *Conn) endBody(isWhole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body.isReading, c.hasUnreadBody = false, !isWhole
	c.deadline, c.waitsSince = time.Time{}, time.Time{}
	if isWhole {
		c.endedBy = nil // end came too late
	}
	c.applyDeadline()
}

// readBody reads the body of r. Errors as for ReadBody.
func (c *Conn) readBody(r *http.Request, l BodyLimits) ([]byte, error) {
	data, err := readAll(r.Body, r.ContentLength, l.MaxBytes, func(n int64) error {
		if n > knownBodyBytes {
			c.widen()
		}
		return c.takeOf(r.Context(), c.body.memory, &c.body.held, n)
	}, c.noteProgress)
	if err != nil && errs.As(err).Type == errs.Internal { // of the connection
		return nil, c.bodyError(err)
	}
	return data, err
}

// readAll reads r to its end. length is its length, negative if that is not known. It calls take before it allocates memory, with the
// number of bytes, and with a negative number when it has given some up, and note after each read. Errors: errs.BodyTooLarge if
// r has more than maxBytes, those of take, and those of r.
func readAll(r io.Reader, length, maxBytes int64, take func(int64) error, note func(int)) ([]byte, error) {
	if length > maxBytes {
		return nil, errs.Newf(errs.BodyTooLarge, "the body of %d bytes is larger than %d bytes", length, maxBytes)
	}
	most, first := maxBytes, int64(firstBodyBytes)
	if length >= 0 {
		most, first = length, knownBodyBytes
	}
	var data []byte
	for {
		if held := int64(cap(data)); len(data) == cap(data) && held < most {
			size := min(most, max(first, bodyGrowth*held))
			if err := take(size); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
			if err := take(-held); err != nil {
				return nil, err
			}
		}
		free := data[len(data):cap(data)]
		var last [1]byte // the body has its stated or its largest length: only its end may follow
		if len(free) == 0 {
			free = last[:]
		}
		n, err := r.Read(free)
		if len(data)+n > cap(data) {
			return nil, errs.Newf(errs.BodyTooLarge, "the body is larger than %d bytes", maxBytes)
		}
		data = data[:len(data)+n]
		note(n)
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// widen gives the connection a large receive buffer for the rest of the request if there is memory for it.
func (c *Conn) widen() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.body.isWide || !c.requests.Take(largeReceiveBuffer) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += largeReceiveBuffer
	c.body.isWide = tcp.SetReadBuffer(largeReceiveBuffer) == nil // without it the body arrives at the usual rate
}

// narrow gives the connection its usual receive buffer again. The caller holds the lock.
func (c *Conn) narrow() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.body.isWide {
		c.body.isWide = tcp.SetReadBuffer(usualReceiveBuffer) != nil // fails only if the connection is closed
	}
}

// noteProgress records that n bytes of the body have arrived.
func (c *Conn) noteProgress(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body.unmoved += n; c.body.unmoved >= progressBytes {
		c.body.unmoved, c.waitsSince = 0, time.Now()
	}
}

// bodyError returns the error for a read of a body that has failed with err.
func (c *Conn) bodyError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.endedBy != nil:
		return c.endedBy
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errs.New(errs.RequestTimeout, "the body of the request has not arrived in time")
	}
	return errs.Newf(errs.BadRequest, "the body ends early: %v", err)
}
