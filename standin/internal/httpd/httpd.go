// Package httpd is the HTTP listener of the stand-ins. Unlike a plain server it
// can refuse connections, drop those that it has, and come back at the same address.
package httpd

import (
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

const (
	maxBody        = 64 << 20 // bytes of one request
	readBuffer     = 8 << 10  // bytes; bounds a request's header
	reopenAttempts = 50
	reopenPause    = 20 * time.Millisecond
)

// AnswerTime is how long an answer is given to leave before connections are dropped.
const AnswerTime = 5 * time.Millisecond

// Server serves one handler at one address.
type Server struct {
	srv  *fasthttp.Server
	addr string
	done chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	ln    net.Listener // nil while connections are refused
	conns map[net.Conn]fasthttp.ConnState
}

// New returns a Server that does not listen yet.
func New() *Server {
	return &Server{done: make(chan struct{}), conns: map[net.Conn]fasthttp.ConnState{}}
}

// Done is closed by Close; handlers that wait must end then.
func (s *Server) Done() <-chan struct{} { return s.done }

// Start listens at addr and serves h until Close. Error: errs.BadSettings.
func (s *Server) Start(addr string, h fasthttp.RequestHandler) error {
	s.srv = &fasthttp.Server{
		Handler:               h,
		MaxRequestBodySize:    maxBody,
		ReadBufferSize:        readBuffer,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ConnState:             s.track,
		// Dropped connections are wanted here, so they are not worth a log line.
		Logger: log.New(io.Discard, "", 0),
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.WithStack(errs.Newf(errs.BadSettings, "listen %s: %v", addr, err))
	}
	s.addr = ln.Addr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serveLocked(ln)
	return nil
}

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// Refuse closes the listener and the idle connections, so that new connections
// are refused. Requests that are being served go on.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListenerLocked()
	for c, state := range s.conns {
		if state != fasthttp.StateActive {
			_ = c.Close()
		}
	}
}

// Drop is Refuse that also cuts the requests being served.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListenerLocked()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Accept listens again after Refuse or Drop. Error: errs.BadSettings when the address was
// taken meanwhile.
func (s *Server) Accept() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil || s.closed() {
		return nil
	}
	var err error
	for range reopenAttempts {
		var ln net.Listener
		if ln, err = net.Listen("tcp", s.addr); err == nil {
			s.serveLocked(ln)
			return nil
		}
		time.Sleep(reopenPause)
	}
	return errors.WithStack(errs.Newf(errs.BadSettings, "listen again at %s: %v", s.addr, err))
}

// RefuseFor refuses connections for d. It returns at once.
func (s *Server) RefuseFor(d time.Duration) {
	s.Refuse()
	s.acceptAfter(d)
}

// DropFor drops all connections and refuses new ones for d. It returns at once.
func (s *Server) DropFor(d time.Duration) {
	s.Drop()
	s.acceptAfter(d)
}

func (s *Server) acceptAfter(d time.Duration) {
	time.AfterFunc(d, func() { _ = s.Accept() })
}

// Close drops all and waits until the listener has ended.
func (s *Server) Close() error {
	s.mu.Lock()
	if !s.closed() {
		close(s.done)
	}
	s.mu.Unlock()
	s.Drop()
	s.wg.Wait()
	return nil
}

func (s *Server) closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *Server) serveLocked(ln net.Listener) {
	s.ln = ln
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = s.srv.Serve(ln)
	}()
}

func (s *Server) closeListenerLocked() {
	if s.ln != nil {
		_ = s.ln.Close()
		s.ln = nil
	}
}

func (s *Server) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
		return
	case fasthttp.StateNew:
		// A connection that was accepted just before Drop would outlive it.
		if s.ln == nil {
			_ = c.Close()
		}
	case fasthttp.StateIdle:
		// Between Refuse and Accept no connection may wait for another request.
		if s.ln == nil {
			_ = c.Close()
		}
	}
	s.conns[c] = state
}

// JSON answers with a body that is JSON.
func JSON(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ServeRefuse answers POST /knobs/refuse?ms=N: it refuses connections for N milliseconds.
func (s *Server) ServeRefuse(ctx *fasthttp.RequestCtx) {
	s.later(ctx, s.RefuseFor)
}

// ServeDrop answers POST /knobs/drop?ms=N: it drops all connections and refuses new ones for N milliseconds.
func (s *Server) ServeDrop(ctx *fasthttp.RequestCtx) {
	s.later(ctx, s.DropFor)
}

// later calls f once the answer has left.
func (s *Server) later(ctx *fasthttp.RequestCtx, f func(time.Duration)) {
	d := time.Duration(ctx.QueryArgs().GetUintOrZero("ms")) * time.Millisecond
	time.AfterFunc(AnswerTime, func() { f(d) })
}
