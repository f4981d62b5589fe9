package inbound

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/limit"
)

const (
	// maxHeadBytes bounds the limit for heads that an operator may set, in bytes.
	maxHeadBytes = 1 << 20
	// headSlack is by how much a head may exceed its limit, in bytes: clients differ in what they count.
	headSlack = 1 << 10
	// headGrace is by how much the arrival of a head may exceed its time limit: the network has a part in it.
	headGrace = 500 * time.Millisecond
	// restTime is how long the rest of a request's body is read and discarded after its answer.
	restTime = 5 * time.Second
	// progressBytes is how much of a body must arrive for its client to count as moving, in bytes.
	progressBytes = 16 << 10
)

// phase is what a connection waits for.
type phase uint8

const (
	phaseIdle    phase = iota // a request
	phaseHead                 // the rest of a request's head
	phaseRequest              // the answer, or the body that the handler reads
	phaseRest                 // the rest of a body that the handler has not read
)

// String implements fmt.Stringer.
func (p phase) String() string { return [...]string{"idle", "head", "request", "rest"}[p] }

// Conn is a connection of a Listener. It counts as busy from the first byte of a request to the end of its answer.
type Conn struct {
	net.Conn
	listener *Listener
	requests *limit.Memory // of the account

	mu       sync.Mutex // guards all below
	phase    phase
	isClosed bool // Close was called
	// isDropped is set when the connection is being closed as idle: what is read from then on is discarded.
	isDropped bool
	// endedBy is why the process has ended the client; nil if it has not.
	endedBy   error
	hasServed bool // a request has reached the handler
	meter     headMeter
	held      int64     // taken from requests for the request
	body      bodyHold  // taken for its body
	deadline  time.Time // of reads in this phase; zero for none
	// waitsSince is since when the process has waited for the client; zero while it does not.
	waitsSince time.Time
	// hasUnreadBody is set while the body of the request has not been read to its end.
	hasUnreadBody bool
}

// enterFirst begins the first phase.
func (c *Conn) enterFirst() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseIdle, time.Now())
}

// enter begins a phase. The caller holds the lock.
func (c *Conn) enter(p phase, now time.Time) {
	limits := c.listener.o.Limits()
	c.phase, c.waitsSince = p, now
	switch p {
	case phaseIdle:
		c.deadline = now.Add(limits.IdleTime)
	case phaseHead:
		c.meter = headMeter{}
		c.deadline = now.Add(limits.HeadTime + headGrace)
	case phaseRequest:
		c.deadline, c.waitsSince, c.hasServed = time.Time{}, time.Time{}, true
	case phaseRest:
		// While no body is read, the server waits on the connection to notice when the client leaves. That read must not
		// end before it does.
		if c.deadline = (time.Time{}); c.hasUnreadBody {
			c.deadline = now.Add(restTime)
		}
	}
	c.applyDeadline()
}

// applyDeadline sets the time limit of reads to that of the phase. The caller holds the lock.
func (c *Conn) applyDeadline() {
	t := c.deadline
	if c.endedBy != nil {
		t = time.Unix(1, 0) // reads fail at once
	}
	_ = c.Conn.SetReadDeadline(t) // fails only if the connection is closed, which the next read shows
}

// SetReadDeadline implements net.Conn. The HTTP server, which has no time limits of its own, sets the zero time between the
// phases and a past one to end a read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	c.applyDeadline()
	return nil
}

// Read implements net.Conn. The bytes of a head are paid for before the server sees them. Bytes that arrive after the
// connection was closed as idle are discarded: the request has not been read, so its client may send it elsewhere.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if c.isClosed || c.isDropped {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if n > 0 && c.phase == phaseIdle {
		c.enter(phaseHead, time.Now())
	}
	if c.phase != phaseHead {
		c.mu.Unlock()
		return n, err
	}
	if n == 0 {
		err = c.headError(err)
		c.mu.Unlock()
	} else {
		c.meter.add(p[:n])
		need := c.meter.cost() - c.held
		maxBytes := min(c.listener.o.Limits().MaxHeadBytes, maxHeadBytes)
		isTooLarge := c.meter.size > maxBytes+headSlack
		c.mu.Unlock()
		if isTooLarge {
			err = errs.Newf(errs.HeadTooLarge, "the head of the request is larger than %d bytes", maxBytes)
		} else if takeErr := c.take(context.Background(), need); takeErr != nil {
			err = takeErr
		}
	}
	if typed := (*errs.Error)(nil); errors.As(err, &typed) {
		return 0, c.rejectHead(typed)
	}
	return n, err
}

// headError returns the error for a read of a head that has failed with err. The caller holds the lock.
func (c *Conn) headError(err error) error {
	switch {
	case c.endedBy != nil:
		return c.endedBy
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errs.Newf(errs.RequestTimeout, "the head of the request has not arrived within %v", c.listener.o.Limits().HeadTime)
	}
	return err
}

// rejectHead answers a request whose head is not read to its end, and closes the connection. It returns an error that the
// HTTP server takes for one of the network, after which it writes nothing.
func (c *Conn) rejectHead(err *errs.Error) error {
	c.mu.Lock()
	wasEnded := c.endedBy != nil
	c.endedBy = err
	c.mu.Unlock()
	if !wasEnded { // else end has noted it
		c.listener.note(c, "request rejected", err, "phase", phaseHead.String())
	}
	rejectConn(c.Conn, err)
	_ = c.Close() // rejectConn has closed the inner connection
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// Write implements net.Conn. The process waits for the client until it has taken the bytes.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	isWaiting := !c.waitsSince.IsZero()
	if !isWaiting {
		c.waitsSince = time.Now()
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if !isWaiting {
		c.mu.Lock()
		c.waitsSince = time.Time{}
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the write direction only. The HTTP server does this before it closes a connection whose client may
// still send.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	wasClosed := c.isClosed
	c.isClosed = true
	if c.phase != phaseRequest {
		c.release()
	}
	c.mu.Unlock()
	err := c.Conn.Close()
	if wasClosed {
		return err
	}
	l := c.listener
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	l.o.Account.connections.Return(1)
	return err
}

// take takes n bytes for the request; a negative number gives back. Errors as for Account.take.
func (c *Conn) take(ctx context.Context, n int64) error { return c.takeOf(ctx, c.requests, &c.held, n) }

// takeOf takes n bytes of m and adds them to held, which the lock guards; a negative number gives back. Errors as for
// Account.take.
func (c *Conn) takeOf(ctx context.Context, m *limit.Memory, held *int64, n int64) error {
	c.mu.Lock()
	all, waitsSince := c.held+c.body.held, c.waitsSince
	if n <= 0 {
		*held += n
		c.mu.Unlock()
		m.Return(-n)
		return nil
	}
	c.waitsSince = time.Time{} // the client waits for the process
	c.mu.Unlock()
	err := c.listener.o.Account.take(ctx, m, all, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitsSince = waitsSince
	if err == nil {
		*held += n
	}
	return err
}

// release gives back all that the request holds. The caller holds the lock.
func (c *Conn) release() {
	c.requests.Return(c.held)
	c.held = 0
	c.body.release()
}

// beginRequest is called when the head of a request has been read. From here on the request holds what its head takes. Errors
// as for Account.take.
func (c *Conn) beginRequest(r *http.Request) error {
	c.mu.Lock()
	c.hasUnreadBody = r.Body != http.NoBody
	c.enter(phaseRequest, time.Now())
	need := headCost(r) - c.held
	c.mu.Unlock()
	return c.take(r.Context(), need)
}

// finishRequest is called when the answer is complete. The server may read the rest of the body.
func (c *Conn) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
	c.narrow()
	c.endedBy = nil // it has its answer, and the server closes the connection
	c.enter(phaseRest, time.Now())
}

// becomeIdle is called when the connection can take the next request.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseIdle, time.Now())
}

// waiting is the state of a connection for whose client the process waits.
type waiting struct {
	conn  *Conn
	phase phase
	time  time.Duration // how long it has waited; 0 if it does not wait
	held  int64         // bytes
	// memory is that from which its body is held; nil without one.
	memory *limit.Memory
}

// cost returns what the client has held for how long, in bytes times milliseconds.
func (w waiting) cost() int64 { return w.held * w.time.Milliseconds() }

// waiting returns for how long the process has waited for the client. For one whose connection is kept open between requests,
// that begins after half of the time limit.
func (c *Conn) waiting(now time.Time) waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitsSince.IsZero() || c.isClosed {
		return waiting{}
	}
	w := waiting{conn: c, phase: c.phase, time: now.Sub(c.waitsSince), held: c.held + c.body.held, memory: c.body.memory}
	if c.phase == phaseIdle && c.hasServed {
		w.time -= c.listener.o.Limits().IdleTime / 2
	}
	return w
}

// end ends the client that w is about, unless its connection has gone on since. A read of a head or a body fails, so that the
// request is rejected; other connections are closed.
func (c *Conn) end(w waiting) {
	c.mu.Lock()
	if c.phase != w.phase || c.endedBy != nil || c.isClosed || c.waitsSince.IsZero() {
		c.mu.Unlock()
		return
	}
	reason := errProcessFull("room")
	c.endedBy = reason
	c.isDropped = c.phase == phaseIdle
	isReading := c.phase == phaseHead || c.body.isReading
	c.applyDeadline()
	c.mu.Unlock()
	c.listener.note(c, "client ended", reason, "phase", w.phase.String(), "waited_ms", w.time.Milliseconds(), "client_bytes", w.held)
	if !isReading {
		_ = c.Close() // the client may have closed it already
	}
}

// bodyCheck returns the check of the request whose body is being read; nil for none.
func (c *Conn) bodyCheck() func() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.body.isReading {
		return nil
	}
	return c.body.check
}

// endRead ends the read of a head or a body, if there is one, so that the request is rejected with err.
func (c *Conn) endRead(err *errs.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endedBy == nil && !c.isClosed && (c.phase == phaseHead || c.body.isReading) {
		c.endedBy = err
		c.applyDeadline()
	}
}

// closeIfIdle closes the connection unless it is busy.
func (c *Conn) closeIfIdle() {
	c.mu.Lock()
	isIdle := c.phase == phaseIdle
	c.isDropped = c.isDropped || isIdle
	c.mu.Unlock()
	if isIdle {
		_ = c.Close() // the client may have closed it already
	}
}

// isBusy reports whether a request has begun to arrive that has not been answered.
func (c *Conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != phaseIdle
}
