// Package logsvc is a small stand-in of the platform's append-only log service,
// with retention, a limit of appends a second, outages and lost answers.
//
// POST /streams/NAME appends the body and answers {"offset":N}. GET
// /streams/NAME?from=N&max=N&wait_ms=N answers a Page in CBOR; it waits when there
// is nothing yet. Too many appends get 429 with Retry-After-Ms; reading what is no
// longer kept gets 410 and an empty Page that says what is.
package logsvc

import (
	"cmp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"arbutusramp/core/structs"
	"arbutusramp/standin/internal/httpd"
	"arbutusramp/standin/knob"
)

// Options of a log service. Zero fields take the defaults named beside them.
type Options struct {
	AppendsPerS float64       // over all streams; 500
	Burst       int           // appends at once; a tenth of AppendsPerS
	RetainFor   time.Duration // age of the oldest record that is kept; 0 is no limit
	RetainBytes int64         // of each stream; 64 MiB
	MaxAppend   int           // bytes of one record; 1 MiB
	Seed        uint64        // of random choices
	// Appended is told of every append that takes effect, in the order of its stream's offsets. It
	// must not block; nil is told nothing.
	Appended func(stream string, offset structs.Offset, body []byte)
}

const (
	defaultAppendsPerS = 500
	defaultRetainBytes = 64 << 20
	defaultMaxAppend   = 1 << 20
	burstShare         = 0.1
	maxPageBytes       = 4 << 20
	maxPageEntries     = 100_000
	maxWait            = 60 * time.Second
	maxStreams         = 10_000
	busyWait           = 20 * time.Millisecond // told to those that BusyShare refuses
)

func (o Options) withDefaults() Options {
	o.AppendsPerS = cmp.Or(o.AppendsPerS, defaultAppendsPerS)
	o.Burst = cmp.Or(o.Burst, max(1, int(o.AppendsPerS*burstShare)))
	o.RetainBytes = cmp.Or(o.RetainBytes, defaultRetainBytes)
	o.MaxAppend = cmp.Or(o.MaxAppend, defaultMaxAppend)
	return o
}

// Knobs are the faults of a log service. An outage or hang holds for reads too.
type Knobs struct {
	knob.Faults
	// RetainForMs is the age of the oldest record kept, in milliseconds; 0 is no limit.
	RetainForMs int64 `json:"retain_for_ms"`
	// RetainBytes of each stream are kept; 0 is no limit.
	RetainBytes int64 `json:"retain_bytes"`
	// BusyShare is the share of appends (0..1) that are refused as over the rate.
	BusyShare float64 `json:"busy_share"`
}

// Page is the answer to a read.
type Page struct {
	First   structs.Offset     `cbor:"1,keyasint"`
	Next    structs.Offset     `cbor:"2,keyasint"`
	Entries []structs.LogEntry `cbor:"3,keyasint,omitempty"`
}

// Stats are the appends and reads that took effect.
type Stats struct {
	Appends     int64 `json:"appends"`
	AppendBytes int64 `json:"append_bytes"`
	Refused     int64 `json:"refused"` // over the rate
	Reads       int64 `json:"reads"`
	ReadBytes   int64 `json:"read_bytes"`
	Waiting     int   `json:"waiting"` // reads that wait for an append now
}

// Server is one log service.
type Server struct {
	opts    Options
	http    *httpd.Server
	knobs   *knob.FaultSet[Knobs]
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	stats   Stats
}

// Start listens at addr and serves until Close. Error: errs.BadSettings.
func Start(addr string, o Options) (*Server, error) {
	o = o.withDefaults()
	s := &Server{
		opts:    o,
		http:    httpd.New(),
		limiter: rate.NewLimiter(rate.Limit(o.AppendsPerS), o.Burst),
		streams: map[string]*stream{},
	}
	knobs := Knobs{RetainForMs: o.RetainFor.Milliseconds(), RetainBytes: o.RetainBytes}
	faults := func(k Knobs) knob.Faults { return k.Faults }
	s.knobs = knob.NewFaultSet(knob.NewSet(knobs), faults, o.Seed, s.http.Done())
	if err := s.http.Start(addr, s.route()); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Server) route() fasthttp.RequestHandler {
	streams := s.knobs.Wrap(s.serveStream)
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/knobs":
			s.knobs.Serve(ctx)
		case "/stats":
			s.serveStats(ctx)
		default:
			streams(ctx)
		}
	}
}

// URL returns the base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close ends the service and loses all records.
func (s *Server) Close() error { return s.http.Close() }

// Turn changes the faults by f.
func (s *Server) Turn(f func(*Knobs)) { s.knobs.Turn(f) }

// Refuse refuses connections for d. Records are kept.
func (s *Server) Refuse(d time.Duration) { s.http.RefuseFor(d) }

// Stats returns the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) serveStream(ctx *fasthttp.RequestCtx) {
	name, ok := strings.CutPrefix(string(ctx.Path()), "/streams/")
	if !ok || name == "" {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsPost() {
		s.serveAppend(ctx, name)
		return
	}
	s.serveRead(ctx, name)
}

func (s *Server) serveAppend(ctx *fasthttp.RequestCtx, name string) {
	body := ctx.PostBody()
	if len(body) > s.opts.MaxAppend {
		ctx.Error("the record is too large", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	now := time.Now()
	if wait := s.reserve(now); wait > 0 {
		ctx.Error("too many appends", fasthttp.StatusTooManyRequests)
		ctx.Response.Header.Set("Retry-After-Ms", strconv.FormatInt(max(1, wait.Milliseconds()), 10))
		return
	}
	// The server reuses its buffer after the handler.
	kept := append([]byte(nil), body...)
	offset, ok := s.append(now, name, kept)
	if !ok {
		ctx.Error("too many streams", fasthttp.StatusInsufficientStorage)
		return
	}
	httpd.JSON(ctx, fasthttp.StatusOK, fmtOffset(offset))
}

// reserve takes one append from the rate, or returns how long to wait for one.
func (s *Server) reserve(now time.Time) time.Duration {
	if s.knobs.Hit(s.knobs.Get().BusyShare) {
		s.countRefused()
		return busyWait
	}
	r := s.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
		s.countRefused()
	}
	return wait
}

func (s *Server) countRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Refused++
}

func (s *Server) append(now time.Time, name string, body []byte) (structs.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streamLocked(now, name)
	if !ok {
		return 0, false
	}
	s.stats.Appends++
	s.stats.AppendBytes += int64(len(body))
	offset := st.append(now, body)
	if s.opts.Appended != nil {
		s.opts.Appended(name, offset, body)
	}
	return offset, true
}

// streamLocked returns a stream, trimmed, and makes it when it is new.
func (s *Server) streamLocked(now time.Time, name string) (*stream, bool) {
	st, ok := s.streams[name]
	if !ok {
		if len(s.streams) >= maxStreams {
			return nil, false
		}
		st = newStream()
		s.streams[name] = st
	}
	k := s.knobs.Get()
	st.trim(now, time.Duration(k.RetainForMs)*time.Millisecond, k.RetainBytes)
	return st, true
}

func fmtOffset(o structs.Offset) []byte {
	b := []byte(`{"offset":`)
	b = strconv.AppendUint(b, uint64(o), 10)
	return append(b, '}')
}

func (s *Server) serveRead(ctx *fasthttp.RequestCtx, name string) {
	args := ctx.QueryArgs()
	from := structs.Offset(max(1, args.GetUintOrZero("from")))
	maxEntries := args.GetUintOrZero("max")
	if maxEntries == 0 || maxEntries > maxPageEntries {
		maxEntries = maxPageEntries
	}
	wait := min(maxWait, time.Duration(args.GetUintOrZero("wait_ms"))*time.Millisecond)
	page, ok := s.read(name, from, maxEntries, wait)
	if !ok {
		knob.CloseUnanswered(ctx)
		return
	}
	body, err := cbor.Marshal(page)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if from < page.First {
		ctx.SetStatusCode(fasthttp.StatusGone)
	}
	ctx.SetContentType("application/cbor")
	ctx.SetBody(body)
	s.countRead(len(body))
}

func (s *Server) countRead(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	s.stats.ReadBytes += int64(n)
}

// read waits up to wait for an entry at from. It returns false when the service ends or
// goes down meanwhile.
func (s *Server) read(name string, from structs.Offset, maxEntries int, wait time.Duration) (Page, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, grown := s.readNow(name, from, maxEntries)
		if len(page.Entries) > 0 || from < page.First {
			return page, true
		}
		knobs, changed := s.knobs.Watch()
		if knobs.Outage || knobs.Hang {
			return Page{}, false
		}
		switch s.await(grown, changed, timeout.C) {
		case waitTimedOut:
			return page, true
		case waitClosed:
			return Page{}, false
		}
	}
}

type waitResult int

const (
	waitWoken waitResult = iota
	waitTimedOut
	waitClosed
)

// await waits for an append, a turn of the knobs, the timeout or the service's end.
func (s *Server) await(grown, changed <-chan struct{}, timeout <-chan time.Time) waitResult {
	s.countWaiting(1)
	defer s.countWaiting(-1)
	select {
	case <-grown:
		return waitWoken
	case <-changed:
		return waitWoken
	case <-timeout:
		return waitTimedOut
	case <-s.http.Done():
		return waitClosed
	}
}

func (s *Server) countWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Waiting += n
}

// readNow returns what there is, and a channel that is closed at the stream's next
// append. Reading a stream that does not exist makes an empty one, to wait on.
func (s *Server) readNow(name string, from structs.Offset, maxEntries int) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streamLocked(time.Now(), name)
	if !ok {
		return Page{First: 1, Next: 1}, nil
	}
	return Page{
		First:   st.first,
		Next:    st.next(),
		Entries: st.read(from, maxEntries, maxPageBytes),
	}, st.grown
}
