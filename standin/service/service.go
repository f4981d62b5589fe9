// Package service is a small stand-in of a plain service. It echoes each body,
// and counts every call by request id and by idempotency key, so that a test can tell
// how often a call really ran.
package service

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/standin/internal/count"
	"arbutusramp/standin/internal/httpd"
	"arbutusramp/standin/knob"
)

// Options of a service.
type Options struct {
	Latency time.Duration // of each call
	Seed    uint64        // of random choices
	// Called is told of every call that takes effect. It must not block; nil is told nothing.
	Called func(request, method string)
}

// Knobs are the faults of a service.
type Knobs struct {
	knob.Faults
	// FailShare is the share of calls (0..1) that run and are answered 500.
	FailShare float64 `json:"fail_share"`
}

// Server is one service.
type Server struct {
	latency time.Duration
	called  func(request, method string)
	http    *httpd.Server
	knobs   *knob.FaultSet[Knobs]
	byID    count.Counter
	byKey   count.Counter
}

// Stats are the calls that took effect.
type Stats struct {
	ByRequest count.Snapshot `json:"by_request"`
	ByKey     count.Snapshot `json:"by_key"`
}

// Start listens at addr and serves until Close. Error: errs.BadSettings.
func Start(addr string, o Options) (*Server, error) {
	s := &Server{latency: o.Latency, called: o.Called, http: httpd.New()}
	faults := func(k Knobs) knob.Faults { return k.Faults }
	s.knobs = knob.NewFaultSet(knob.NewSet(Knobs{}), faults, o.Seed, s.http.Done())
	call := s.knobs.Wrap(s.call)
	err := s.http.Start(addr, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/knobs":
			s.knobs.Serve(ctx)
		case "/stats":
			s.serveStats(ctx)
		default:
			call(ctx)
		}
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// URL returns the base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close cuts all calls and ends the service.
func (s *Server) Close() error { return s.http.Close() }

// Turn changes the faults by f.
func (s *Server) Turn(f func(*Knobs)) { s.knobs.Turn(f) }

// Refuse refuses connections for d.
func (s *Server) Refuse(d time.Duration) { s.http.RefuseFor(d) }

// Crash cuts all calls and refuses connections for d. Counts are kept.
func (s *Server) Crash(d time.Duration) { s.http.DropFor(d) }

// Calls returns how often a call with that request id took effect.
func (s *Server) Calls(request string) int { return s.byID.Of(request) }

// KeyCalls returns how often a call with that idempotency key took effect.
func (s *Server) KeyCalls(key string) int { return s.byKey.Of(key) }

// Stats returns the counts; with ids those by name too.
func (s *Server) Stats(ids bool) Stats {
	return Stats{s.byID.Snapshot(ids), s.byKey.Snapshot(ids)}
}

// call takes effect when it comes, then takes its time: a caller that leaves meanwhile
// leaves a call that ran.
func (s *Server) call(ctx *fasthttp.RequestCtx) {
	request := string(ctx.Request.Header.Peek("X-Request-Id"))
	s.byID.Add(request)
	if s.called != nil {
		s.called(request, string(ctx.Method()))
	}
	if key := ctx.Request.Header.Peek("Idempotency-Key"); len(key) > 0 {
		s.byKey.Add(string(key))
	}
	if s.latency > 0 {
		time.Sleep(s.latency)
	}
	if s.knobs.Hit(s.knobs.Get().FailShare) {
		ctx.Error("failed", fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.Set("X-Echo-Path", string(ctx.RequestURI()))
	if contentType := ctx.Request.Header.ContentType(); len(contentType) > 0 {
		ctx.SetContentTypeBytes(contentType)
	}
	ctx.SetBody(ctx.PostBody())
}

// serveStats answers /stats, with ?ids=1 with counts by name.
func (s *Server) serveStats(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(s.Stats(ctx.QueryArgs().GetBool("ids")))
	if err != nil {
		ctx.Error(string(errs.Internal), fasthttp.StatusInternalServerError)
		return
	}
	httpd.JSON(ctx, fasthttp.StatusOK, body)
}
