package session

import (
	"context"
	"time"

	"github.com/fasthttp/websocket"

	"arbutusramp/core/errs"
)

// Dial opens a session to addr (IP:port) and serves it in the background until it
// closes. Errors: errs.SessionLost (not reached), errs.Unauthenticated,
// errs.BadFrame; all say that nothing ran.
func Dial(ctx context.Context, addr string, o Options, h Handler) (*Conn, error) {
	o = o.withDefaults()
	start := time.Now()
	dialer := websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   ioBuffer,
		WriteBufferSize:  ioBuffer,
	}
	ws, _, err := dialer.DialContext(ctx, "ws://"+addr+path, nil)
	if err != nil {
		return nil, errs.Newf(errs.SessionLost, "dial %s: %v", addr, err).WithRan(errs.RanNo)
	}
	stop := context.AfterFunc(ctx, func() { ws.Close() })
	peer, err := newShaker(ws, &o).client()
	if !stop() && err == nil {
		err = errs.Newf(errs.SessionLost, "dial %s: %v", addr, context.Cause(ctx)).WithRan(errs.RanNo)
	}
	if err != nil {
		ws.Close()
		return nil, errs.As(err).WithRan(errs.RanNo)
	}
	c := newConn(ws, o, h, *peer, start)
	go c.run()
	return c, nil
}
