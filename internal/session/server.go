package session

import (
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

// Server accepts sessions on one listener.
type Server struct {
	o        Options
	h        Handler
	ln       net.Listener
	upgrader websocket.FastHTTPUpgrader
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	raw    map[*websocket.Conn]struct{} // in handshake
	closed bool
}

// Serve accepts sessions on ln in the background until Close.
func Serve(ln net.Listener, o Options, h Handler) *Server {
	s := &Server{
		o: o.withDefaults(), h: h, ln: ln,
		upgrader: websocket.FastHTTPUpgrader{
			HandshakeTimeout: handshakeTimeout,
			ReadBufferSize:   ioBuffer,
			WriteBufferSize:  ioBuffer,
		},
		conns: make(map[*Conn]struct{}),
		raw:   make(map[*websocket.Conn]struct{}),
	}
	http := &fasthttp.Server{
		Handler:               s.upgrade,
		ReadTimeout:           handshakeTimeout,
		GetOnly:               true, // a handshake has no body
		NoDefaultServerHeader: true,
		Logger:                quiet{},
	}
	s.wg.Go(func() {
		if err := http.Serve(ln); err != nil {
			logDebug(s.o.Logger, "session listener closed", err)
		}
	})
	return s
}

// quiet drops the HTTP server's own lines; peers that break off while connecting are not news.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

func (s *Server) upgrade(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != path {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	if err := s.upgrader.Upgrade(ctx, s.serve); err != nil {
		logDebug(s.o.Logger, "upgrade refused", err)
	}
}

func (s *Server) serve(ws *websocket.Conn) {
	defer ws.Close()
	if !s.enter(ws) {
		return
	}
	defer s.wg.Done()
	start := time.Now()
	peer, err := newShaker(ws, &s.o).server()
	if err != nil {
		s.leaveRaw(ws)
		logDebug(s.o.Logger, "handshake failed", err)
		return
	}
	c := newConn(ws, s.o, s.h, *peer, start)
	if !s.track(ws, c) {
		return
	}
	defer s.forget(c)
	c.run()
}

func (s *Server) enter(ws *websocket.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	s.raw[ws] = struct{}{}
	return true
}

func (s *Server) leaveRaw(ws *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.raw, ws)
}

func (s *Server) track(ws *websocket.Conn, c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.raw, ws)
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) forget(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Addr returns the listener's address.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close stops accepting, closes all sessions after their queued frames, and
// waits until every handler has been told.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close(errs.New(errs.SessionLost, "the peer stops"))
	}
	for ws := range s.raw {
		ws.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
