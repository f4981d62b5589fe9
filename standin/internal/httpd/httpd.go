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
	settleTime     = 20 * time.Millisecond
	settlePause    = 200 * time.Microsecond
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
	// downUntil is when the last of the timed faults ends.
	downUntil time.Time
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
		Handler:               s.withKnobs(h),
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
	s.closeLocked(idleConns)
	s.mu.Unlock()
	s.settle()
}

// RefuseFor refuses connections for d.
func (s *Server) RefuseFor(d time.Duration) {
	s.mu.Lock()
	s.closeLocked(idleConns)
	s.acceptAfterLocked(d)
	s.mu.Unlock()
	s.settle()
}

// Drop is Refuse that also cuts the requests being served.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked(allConns)
}

// DropFor drops all connections and refuses new ones for d.
func (s *Server) DropFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked(allConns)
	s.acceptAfterLocked(d)
}

// reach says which connections a fault closes.
type reach int

const (
	idleConns reach = iota // requests that are being served go on
	allConns
)

func (s *Server) closeLocked(which reach) {
	if s.ln != nil {
		_ = s.ln.Close()
		s.ln = nil
	}
	for c, state := range s.conns {
		if which == allConns || state != fasthttp.StateActive {
			_ = c.Close()
		}
	}
}

// settle waits a little for connections whose answer has just left: they count as active for
// a moment more. Their clients would send on them in vain once Refuse has returned, and see a
// lost answer in place of a refusal.
func (s *Server) settle() {
	for end := time.Now().Add(settleTime); time.Now().Before(end) && s.active() > 0; {
		time.Sleep(settlePause)
	}
}

func (s *Server) active() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.conns {
		if state == fasthttp.StateActive {
			n++
		}
	}
	return n
}

// Accept listens again after Refuse or Drop. Error: errs.BadSettings when the address was
// taken meanwhile.
func (s *Server) Accept() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptLocked()
}

func (s *Server) acceptLocked() error {
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

// acceptAfterLocked listens again after d, unless a longer time was asked for meanwhile: a
// short fault must not end a longer one that overlaps it.
func (s *Server) acceptAfterLocked(d time.Duration) {
	until := time.Now().Add(d)
	if until.After(s.downUntil) {
		s.downUntil = until
	}
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !time.Now().Before(s.downUntil) {
			_ = s.acceptLocked()
		}
	})
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

// withKnobs returns h with the knobs of the listener itself before it: POST
// /knobs/refuse?ms=N refuses connections for N milliseconds, /knobs/drop?ms=N cuts
// what is being served as well.
func (s *Server) withKnobs(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/knobs/refuse":
			s.later(ctx, s.RefuseFor)
		case "/knobs/drop":
			s.later(ctx, s.DropFor)
		default:
			h(ctx)
		}
	}
}

// later calls f once the answer has left.
func (s *Server) later(ctx *fasthttp.RequestCtx, f func(time.Duration)) {
	d := time.Duration(ctx.QueryArgs().GetUintOrZero("ms")) * time.Millisecond
	time.AfterFunc(AnswerTime, func() { f(d) })
}
