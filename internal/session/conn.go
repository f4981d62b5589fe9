package session

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// Conn is one open session.
type Conn struct {
	ws   *websocket.Conn
	o    Options
	h    Handler
	peer structs.Hello

	start time.Time
	// echoed is when the Beat that the peer echoed last was sent, ns after start.
	echoed      atomic.Int64
	peerVersion atomic.Uint64

	wake chan struct{} // holds one token when there is something to write
	done chan struct{} // closed by shut

	mu     sync.Mutex
	queue  []*structs.Frame
	bytes  int
	err    *errs.Error // set once, by shut
	flush  bool        // the queue is still worth sending after shut
	closed bool
}

func newConn(ws *websocket.Conn, o Options, h Handler, peer structs.Hello, start time.Time) *Conn {
	return &Conn{
		ws: ws, o: o, h: h, peer: peer, start: start,
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
}

// Peer returns what the other end said of itself.
func (c *Conn) Peer() structs.Hello { return c.peer }

// PeerVersion returns the configuration version in the peer's last heartbeat.
func (c *Conn) PeerVersion() structs.Version { return structs.Version(c.peerVersion.Load()) }

// Heard returns a time after which the peer was surely alive, and such that
// everything that it had sent before is handled. It is when the newest heartbeat that the
// peer has echoed was sent, on this process's clock.
func (c *Conn) Heard() time.Time { return c.start.Add(time.Duration(c.echoed.Load())) }

// Done is closed when the session closes.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Send queues f, which belongs to the session from then on. It never blocks. Errors:
// the session's own when it has closed, errs.Overloaded when the queue is full; that
// closes the session, for a frame that is lost without a word would break a stream.
func (c *Conn) Send(f *structs.Frame) error {
	n := weight(f)
	c.mu.Lock()
	if c.closed {
		err := c.err
		c.mu.Unlock()
		return err
	}
	if c.bytes+n > c.o.MaxQueue || len(c.queue) >= maxQueuedFrames {
		c.mu.Unlock()
		err := errs.Newf(errs.Overloaded, "session to %s: send queue is full", c.peer.Host)
		c.shut(err, dropQueue)
		return err
	}
	c.queue = append(c.queue, f)
	c.bytes += n
	first := len(c.queue) == 1
	c.mu.Unlock()
	if first {
		c.signal()
	}
	return nil
}

// Close sends what is queued, tells the peer err and closes the session. It
// does not wait.
func (c *Conn) Close(err error) { c.shut(errs.As(err), sendQueue) }

func (c *Conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// ending says what becomes of the frames that are queued when a session closes.
type ending int

const (
	sendQueue ending = iota
	dropQueue
)

func (c *Conn) shut(err *errs.Error, queued ending) {
	if err == nil {
		err = errs.New(errs.SessionLost, "closed")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.err = err
	c.flush = queued == sendQueue
	close(c.done)
}

// run serves the session until it is closed.
func (c *Conn) run() {
	var writer sync.WaitGroup
	writer.Go(c.write)
	c.h.Opened(c)
	c.shut(errs.As(c.read()), sendQueue)
	writer.Wait()
	c.h.Closed(c, c.err)
}

// read hands frames to the handler until the session fails.
func (c *Conn) read() error {
	var buf bytes.Buffer
	for {
		frames, err := c.readMessage(&buf)
		if err != nil {
			return err
		}
		for i := range frames {
			if err := c.handle(&frames[i]); err != nil {
				return err
			}
		}
	}
}

func (c *Conn) readMessage(buf *bytes.Buffer) ([]structs.Frame, error) {
	c.ws.SetReadDeadline(time.Now().Add(silentBeats * c.o.Heartbeat))
	_, r, err := c.ws.NextReader()
	if err != nil {
		return nil, c.lost(err)
	}
	buf.Reset()
	if _, err := buf.ReadFrom(r); err != nil {
		return nil, c.lost(err)
	}
	return Decode(buf.Bytes())
}

func (c *Conn) lost(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errs.Newf(errs.SessionLost, "%s was silent for %d heartbeats", c.peer.Host, silentBeats)
	}
	if errors.Is(err, websocket.ErrReadLimit) {
		return errs.Newf(errs.BadFrame, "message from %s is larger than %d bytes", c.peer.Host, c.o.MaxMessage)
	}
	return errs.Newf(errs.SessionLost, "session to %s: %v", c.peer.Host, err)
}

func (c *Conn) handle(f *structs.Frame) error {
	switch {
	case f.Beat != nil:
		c.beat(f)
		return nil
	case f.Hello != nil:
		return errs.Newf(errs.BadFrame, "second hello from %s", c.peer.Host)
	case f.Stream == 0 && f.End != nil:
		return c.peerClosed(f.End)
	case bodies(f) == 0:
		return nil
	}
	c.h.Frame(c, f)
	return nil
}

func (c *Conn) peerClosed(end *structs.End) error {
	if end.Err == nil {
		return errs.Newf(errs.SessionLost, "%s closed the session", c.peer.Host)
	}
	return end.Err
}

func (c *Conn) beat(f *structs.Frame) {
	if f.Version != 0 {
		c.peerVersion.Store(uint64(f.Version))
	}
	if f.Beat.Echo > c.echoed.Load() && f.Beat.Echo <= int64(time.Since(c.start)) {
		c.echoed.Store(f.Beat.Echo)
	}
	if f.Beat.Sent == 0 {
		return
	}
	// A full queue has closed the session, which the read loop then sees.
	_ = c.Send(&structs.Frame{Beat: &structs.Beat{Echo: f.Beat.Sent}})
}

// write sends queued frames, as many as are there in one message, until the session closes.
func (c *Conn) write() {
	defer c.ws.Close()
	beat := sleep.NewTimer(c.o.Heartbeat)
	defer beat.Stop()
	var buf bytes.Buffer
	c.sendBeat()
	for {
		select {
		case <-c.done:
			c.lastWords(&buf)
			return
		case <-beat.C:
			beat.Reset(c.o.Heartbeat)
			c.sendBeat()
		case <-c.wake:
			if err := c.writeAll(&buf, c.take(), silentBeats*c.o.Heartbeat); err != nil {
				c.writeFailed(err)
				return
			}
		}
	}
}

// writeFailed closes the session after a write that was not done.
//
// What goes wrong without the wait: the reader refuses a message, and the library tells the peer so with its last frame before the
// reader has said why; a write at that moment fails, and the session is closed as lost. It is noticed as sessions that end with
// "close sent" where a bad frame came. The last frame is sent by the reader alone, which ends with the true reason.
func (c *Conn) writeFailed(err error) {
	if errors.Is(err, websocket.ErrCloseSent) {
		<-c.done
		return
	}
	c.shut(errs.Newf(errs.SessionLost, "session to %s: %v", c.peer.Host, err), dropQueue)
}

func (c *Conn) sendBeat() {
	f := &structs.Frame{Beat: &structs.Beat{Sent: max(1, int64(time.Since(c.start)))}}
	if c.o.Version != nil {
		f.Version = c.o.Version()
	}
	_ = c.Send(f) // fails only when the session is closed, which write sees next
}

func (c *Conn) take() []*structs.Frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue
	c.queue = nil
	c.bytes = 0
	return q
}

// lastWords sends what is queued and why the session closes, if that can still arrive.
func (c *Conn) lastWords(buf *bytes.Buffer) {
	if !c.flush {
		return
	}
	last := append(c.take(), &structs.Frame{End: &structs.End{Err: c.err}})
	if err := c.writeAll(buf, last, flushTimeout); err != nil {
		logDebug(c.o.Logger, "last frames not sent", err)
	}
}

// writeAll sends frames in messages of about messageTarget bytes.
func (c *Conn) writeAll(buf *bytes.Buffer, frames []*structs.Frame, timeout time.Duration) error {
	c.ws.SetWriteDeadline(time.Now().Add(timeout))
	for len(frames) > 0 {
		n, size := 0, 0
		for n < len(frames) && (n == 0 || size+weight(frames[n]) <= messageTarget) {
			size += weight(frames[n])
			n++
		}
		buf.Reset()
		if err := Encode(buf, frames[:n]); err != nil {
			return err
		}
		if err := c.ws.WriteMessage(websocket.BinaryMessage, buf.Bytes()); err != nil {
			return errors.Wrap(err, "write")
		}
		frames = frames[n:]
	}
	return nil
}
