package inbound

import (
	"context"
	"io"
	"net"
	"sync"

	"arbutusramp/core/errs"
)

// Hold is what a request holds of an account, of a server that is not made by a Listener. It is for one goroutine.
type Hold struct {
	account *Account
	held    int64
}

// NewHold returns a Hold of nothing. Close gives back what it has taken.
func (a *Account) NewHold() *Hold { return &Hold{account: a} }

// Take takes n bytes; a negative number gives back. Errors: errs.ProcessFull, and errs.BodyTooLarge if the process never has as much
// for one request.
func (h *Hold) Take(ctx context.Context, n int64) error {
	if n <= 0 {
		h.account.requests.Return(-n)
	} else if err := h.account.take(ctx, h.account.requests, h.held, n); err != nil {
		return err
	}
	h.held += n
	return nil
}

// ReadBody reads r to its end and holds it. length is its length, negative if that is not known. Errors: errs.BodyTooLarge,
// errs.ProcessFull, and errs.BadRequest if r ends early.
func (h *Hold) ReadBody(ctx context.Context, r io.Reader, length, maxBytes int64) ([]byte, error) {
	data, err := readAll(r, length, maxBytes, func(n int64) error { return h.Take(ctx, n) }, func(int) {})
	if err == nil && length > int64(len(data)) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && errs.As(err).Type == errs.Internal { // of r
		return nil, errs.Newf(errs.BadRequest, "the body broke off: %v", err)
	}
	return data, err
}

// Close gives back all that is held. It always returns nil.
func (h *Hold) Close() error {
	h.account.requests.Return(h.held)
	h.held = 0
	return nil
}

// countedListener is a listener that bounds the number of its connections by an account.
type countedListener struct {
	net.Listener
	account *Account
}

// Count returns a listener whose connections count in the account, of a server that is not made by a Listener. One for which there is
// no room is closed.
func (a *Account) Count(inner net.Listener) net.Listener {
	return &countedListener{Listener: inner, account: a}
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.account.connections.Take(1) {
			return &countedConn{Conn: conn, done: sync.OnceFunc(func() { l.account.connections.Return(1) })}, nil
		}
		_ = conn.Close() // the client sees that its request was not answered
	}
}

// countedConn is a connection of a countedListener.
type countedConn struct {
	net.Conn
	done func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	defer c.done()
	return c.Conn.Close()
}
