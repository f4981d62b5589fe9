package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/problem"
	"arbutusramp/internal/telemetry"
)

const (
	idleTimeout = 2 * time.Minute
	readTimeout = time.Minute
	// uploadTimeout is for callers, whose jobs may have hundreds of megabytes.
	uploadTimeout = 15 * time.Minute
	// stopGrace is how long a stopping entry still takes new requests: the platform's balancer
	// needs a moment to see that it is not ready.
	stopGrace = 2 * time.Second
	drainPoll = 20 * time.Millisecond
	// operatorConnections bounds the connections to each of the listeners for operators, whose requests are read whole before their
	// key is checked.
	operatorConnections = 16
)

// Run serves until ctx is cancelled. Then the entry is not ready at once, takes new requests for
// a short grace while closing kept-alive connections, waits for requests in
// flight up to DrainTimeout and returns.
func (e *Entry) Run(ctx context.Context) error {
	e.makeServers()
	if e.parts.Peers != nil {
		e.peerServer = e.parts.Peers(e.peers)
	}
	lifeCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, failCtx := errgroup.WithContext(lifeCtx)
	g.Go(func() error { return serveOn(e.callerServer, e.callers) })
	g.Go(func() error { return serveOn(e.adminServer, e.admin) })
	g.Go(func() error { return serveOn(e.statusServer, e.statuses) })
	g.Go(func() error { e.pool.run(failCtx); return nil })
	g.Go(func() error { e.tellCrashes(failCtx); return nil })
	for _, run := range e.parts.Run {
		g.Go(func() error { return run(failCtx) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			e.stop(failCtx)
		case <-failCtx.Done():
			e.shutdown(failCtx)
		}
		end()
		return nil
	})
	return g.Wait()
}

func serveOn(s *fasthttp.Server, ln net.Listener) error {
	if err := s.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) {
		return errs.Newf(errs.Internal, "serve %s: %v", ln.Addr(), err)
	}
	return nil
}

func (e *Entry) makeServers() {
	e.callerServer = e.newServer(e.serve)
	e.callerServer.MaxRequestBodySize = e.set.MaxBody
	e.callerServer.WriteTimeout = maxTimeout
	e.callerServer.ReadTimeout = uploadTimeout
	// The files of large jobs must not sit in memory whole.
	e.callerServer.StreamRequestBody = true
	e.adminServer = e.newServer(e.serveAdmin)
	e.adminServer.MaxRequestBodySize = e.set.MaxBody
	e.adminServer.Concurrency = operatorConnections
	e.statusServer = e.newServer(telemetry.Handler(e.metrics, e.notReady))
	e.statusServer.GetOnly = true
	e.statusServer.Concurrency = operatorConnections
}

func (e *Entry) newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      h,
		ErrorHandler:                 e.badHTTP,
		Name:                         "arbutusramp",
		IdleTimeout:                  idleTimeout,
		ReadTimeout:                  readTimeout,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       e.log.StandardLogger(nil),
	}
}

func (e *Entry) serveAdmin(ctx *fasthttp.RequestCtx) {
	if e.parts.Admin == nil {
		problem.Write(ctx, errs.New(errs.NotFound, "no administration here"))
		return
	}
	e.parts.Admin(ctx)
}

// badHTTP answers what is no HTTP request, or one with too large a body for
// the administration.
func (e *Entry) badHTTP(ctx *fasthttp.RequestCtx, err error) {
	typed := errs.Newf(errs.BadRequest, "not an HTTP request: %v", err)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		typed = tooLarge(e.set.MaxBody)
	}
	e.rec.failed("", typed)
	problem.Write(ctx, typed)
}

// stop ends the entry within DrainTimeout. Sessions and sockets stay until the last answer is
// written.
func (e *Entry) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.set.DrainTimeout)
	defer cancel()
	e.drain(ctx)
	e.shutdown(ctx)
}

// drain waits for requests in flight and for the other parts.
func (e *Entry) drain(ctx context.Context) {
	e.draining.Store(true)
	e.log.Info("stopping", "in_flight", e.inFlight.Load())
	var parts sync.WaitGroup
	for _, drain := range e.parts.Drain {
		parts.Go(func() { drain(ctx) })
	}
	sleep.For(ctx, min(stopGrace, e.set.DrainTimeout/4))
	for e.inFlight.Load() > 0 && ctx.Err() == nil {
		sleep.For(ctx, drainPoll)
	}
	parts.Wait()
	if n := e.inFlight.Load(); n > 0 {
		e.log.Warn("stopping with requests in flight", "in_flight", n)
	}
}

// shutdown closes the listeners and waits until ctx ends for connections that are still written
// to, such as the results of a job.
func (e *Entry) shutdown(ctx context.Context) {
	for _, s := range []*fasthttp.Server{e.callerServer, e.adminServer, e.statusServer} {
		if err := s.ShutdownWithContext(ctx); err != nil {
			e.log.Debug("connections left open at the stop", "error", err)
		}
	}
	if e.peerServer != nil {
		e.peerServer.Close()
	}
	e.closeListeners()
}
