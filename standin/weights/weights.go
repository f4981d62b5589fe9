// Package weights is a small stand-in of the weight store. All downloads share
// one rate.
//
// GET /models/NAME/size?version=V answers {"bytes":N}; GET /models/NAME?version=V
// sends that many bytes.
package weights

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"arbutusramp/core/structs"
	"arbutusramp/standin/internal/httpd"
	"arbutusramp/standin/knob"
)

// Options of a weight store.
type Options struct {
	// Sizes are the models' sizes in bytes, for all their versions.
	Sizes       map[structs.ModelID]int64
	DefaultSize int64   // bytes of models that Sizes does not name; 0 means that they are unknown
	BytesPerS   float64 // of all downloads together; 64 MiB/s
	Seed        uint64  // of random choices
}

const (
	defaultBytesPerS = 64 << 20
	chunk            = 64 << 10 // bytes taken from the rate at once
)

// Knobs are the faults of a weight store.
type Knobs struct {
	knob.Faults
	// BytesPerS is the rate of all downloads together.
	BytesPerS float64 `json:"bytes_per_s"`
}

// Stats are the downloads so far.
type Stats struct {
	Downloads int64 `json:"downloads"` // begun
	Bytes     int64 `json:"bytes"`     // sent
}

// Server is one weight store.
type Server struct {
	http        *httpd.Server
	knobs       *knob.FaultSet[Knobs]
	limiter     *rate.Limiter
	defaultSize int64
	downloads   atomic.Int64
	sent        atomic.Int64

	mu    sync.Mutex
	sizes map[structs.ModelID]int64
}

// Start listens at addr and serves until Close. Error: errs.BadSettings.
func Start(addr string, o Options) (*Server, error) {
	o.BytesPerS = cmp.Or(o.BytesPerS, defaultBytesPerS)
	s := &Server{
		http:        httpd.New(),
		limiter:     rate.NewLimiter(rate.Limit(o.BytesPerS), chunk),
		defaultSize: o.DefaultSize,
		sizes:       map[structs.ModelID]int64{},
	}
	maps.Copy(s.sizes, o.Sizes)
	faults := func(k Knobs) knob.Faults { return k.Faults }
	knobs := knob.NewSet(Knobs{BytesPerS: o.BytesPerS})
	s.knobs = knob.NewFaultSet(knobs, faults, o.Seed, s.http.Done())
	if err := s.http.Start(addr, s.route()); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Server) route() fasthttp.RequestHandler {
	models := s.knobs.Wrap(s.serveModel)
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/knobs":
			s.knobs.Serve(ctx)
			s.limiter.SetLimit(rate.Limit(s.knobs.Get().BytesPerS))
		case "/stats":
			s.serveStats(ctx)
		default:
			models(ctx)
		}
	}
}

// URL returns the base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close cuts all downloads and ends the weight store.
func (s *Server) Close() error { return s.http.Close() }

// Turn changes the faults by f.
func (s *Server) Turn(f func(*Knobs)) {
	s.knobs.Turn(f)
	s.limiter.SetLimit(rate.Limit(s.knobs.Get().BytesPerS))
}

// Refuse refuses connections for d.
func (s *Server) Refuse(d time.Duration) { s.http.RefuseFor(d) }

// SetSize sets a model's size in bytes.
func (s *Server) SetSize(id structs.ModelID, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[id] = bytes
}

// Stats returns the counts.
func (s *Server) Stats() Stats { return Stats{s.downloads.Load(), s.sent.Load()} }

func (s *Server) size(id structs.ModelID) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.sizes[id]; ok {
		return n, true
	}
	return s.defaultSize, s.defaultSize > 0
}

func (s *Server) serveModel(ctx *fasthttp.RequestCtx) {
	name, ok := strings.CutPrefix(string(ctx.URI().PathOriginal()), "/models/")
	if !ok {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	name, sizeOnly := strings.CutSuffix(name, "/size")
	name, err := url.PathUnescape(name)
	if err != nil {
		ctx.Error("not a model name", fasthttp.StatusBadRequest)
		return
	}
	n, ok := s.size(structs.ModelID(name))
	if !ok {
		ctx.Error("no such model", fasthttp.StatusNotFound)
		return
	}
	if sizeOnly {
		writeJSON(ctx, sizeAnswer{n})
		return
	}
	s.downloads.Add(1)
	ctx.SetBodyStream(newDownload(s, n), int(n))
}

type sizeAnswer struct {
	Bytes int64 `json:"bytes"`
}

func (s *Server) serveStats(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.Stats()) }

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	httpd.JSON(ctx, fasthttp.StatusOK, body)
}

// download is the body of one download: zeros at the shared rate.
type download struct {
	s       *Server
	left    int64
	granted int64 // taken from the rate and not sent yet
	ctx     context.Context
	cancel  context.CancelFunc
}

func newDownload(s *Server, n int64) *download {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-s.http.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	return &download{s: s, left: n, ctx: ctx, cancel: cancel}
}

// Read implements io.Reader.
func (d *download) Read(p []byte) (int, error) {
	if d.left == 0 {
		return 0, io.EOF
	}
	if d.granted == 0 {
		want := min(d.left, chunk)
		if err := d.s.limiter.WaitN(d.ctx, int(want)); err != nil {
			return 0, err
		}
		d.granted = want
	}
	n := min(d.granted, int64(len(p)))
	clear(p[:n])
	d.left -= n
	d.granted -= n
	d.s.sent.Add(n)
	return int(n), nil
}

// Close implements io.Closer.
func (d *download) Close() error {
	d.cancel()
	return nil
}
