package engine

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/standin/internal/count"
	"arbutusramp/standin/internal/httpd"
	"arbutusramp/standin/knob"
)

// Knobs are the faults of an engine.
type Knobs struct {
	// Hang accepts requests and never answers them; streams that run go on.
	Hang bool `json:"hang"`
	// Pause stops the whole engine, as a stopped process does.
	Pause bool `json:"pause"`
	// Slow multiplies step times; 0 counts as 1.
	Slow float64 `json:"slow"`
	// LoadLagMs is the age of the load report, in milliseconds.
	LoadLagMs int64 `json:"load_lag_ms"`
	// EventLagMs is the delay of cache events, in milliseconds.
	EventLagMs int64 `json:"event_lag_ms"`
	// EventDropShare is the share of cache events that are lost, 0..1.
	EventDropShare float64 `json:"event_drop_share"`
}

func (k Knobs) loadLag() time.Duration  { return time.Duration(k.LoadLagMs) * time.Millisecond }
func (k Knobs) eventLag() time.Duration { return time.Duration(k.EventLagMs) * time.Millisecond }

// Server is one engine.
type Server struct {
	opts  Options
	http  *httpd.Server
	knobs *knob.Set[Knobs]

	arrivals count.Counter // requests that reached the engine, by request id
	starts   count.Counter // sequences that joined the running batch, by request id
	loads    loadHistory
	events   *eventLog
	work     chan struct{} // has room for one: there is something to do
	loops    sync.WaitGroup

	mu     sync.Mutex // guards the fields below and all sequences
	batch  *batch
	models models
	pace   Pace
	// downUntil is when a crashed engine is back. A request that was read just before
	// the crash must not start in the batch after it.
	downUntil time.Time
	// startedAt is when the engine's present process started.
	startedAt time.Time
}

const forever = 100 * 365 * 24 * time.Hour

// Start listens at addr and serves until Close. Error: errs.BadSettings.
func Start(addr string, o Options) (*Server, error) {
	o = o.WithDefaults()
	s := &Server{
		opts:   o,
		http:   httpd.New(),
		events: newEventLog(o.Seed),
		work:   make(chan struct{}, 1),
		knobs: knob.NewSet(Knobs{
			LoadLagMs:      o.LoadLag.Milliseconds(),
			EventLagMs:     o.EventLag.Milliseconds(),
			EventDropShare: o.EventDropShare,
		}),
	}
	s.startedAt = time.Now()
	s.batch = newBatch(o, s.onStarted, s.onCacheEvent)
	s.models.reset(o.Models)
	s.reportLocked(time.Now())
	if err := s.http.Start(addr, s.serve); err != nil {
		return nil, err
	}
	s.loops.Add(1)
	go s.run()
	return s, nil
}

// URL returns the base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close drops all streams and ends the engine.
func (s *Server) Close() error {
	err := s.http.Close()
	s.mu.Lock()
	s.downUntil = time.Now().Add(forever)
	s.batch.crash()
	s.models.reset(nil)
	s.mu.Unlock()
	s.loops.Wait()
	return err
}

// Knobs returns the faults as they stand.
func (s *Server) Knobs() Knobs { return s.knobs.Get() }

// Turn changes the faults by f.
func (s *Server) Turn(f func(*Knobs)) { s.knobs.Turn(f) }

// Refuse refuses connections for d. Streams that run go on.
func (s *Server) Refuse(d time.Duration) { s.http.RefuseFor(d) }

// Crash drops all streams, forgets everything and refuses connections for Options.RestartTime.
func (s *Server) Crash() {
	s.mu.Lock()
	s.downUntil = time.Now().Add(s.opts.RestartTime)
	s.startedAt = s.downUntil
	s.batch.crash()
	s.models.reset(s.opts.Models)
	s.reportLocked(time.Now())
	s.mu.Unlock()
	s.http.DropFor(s.opts.RestartTime)
}

func (s *Server) onStarted(q *sequence) {
	s.starts.Add(q.id)
	if s.opts.Started != nil {
		s.opts.Started(q.id)
	}
}

func (s *Server) onCacheEvent(prefix uint64, added bool) {
	s.events.add(time.Now(), prefix, added, s.knobs.Get().EventDropShare)
}

// reportLocked records the load for the lagging report.
func (s *Server) reportLocked(now time.Time) {
	s.loads.add(now, platform.EngineLoad{
		Running:   len(s.batch.running),
		Waiting:   len(s.batch.waiting),
		CacheUsed: s.batch.cache.used(),
		Models:    s.models.list,
		Versions:  s.models.versions,
		Role:      s.models.role,
	}, s.knobs.Get().loadLag())
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/knobs":
		s.knobs.Serve(ctx)
	case "/knobs/crash":
		time.AfterFunc(httpd.AnswerTime, s.Crash)
	case "/engine/stats":
		s.serveStats(ctx)
	default:
		s.serveEngine(ctx)
	}
}

func (s *Server) serveEngine(ctx *fasthttp.RequestCtx) {
	if !s.knobs.Hold(s.http.Done(), func(k Knobs) bool { return k.Pause }) {
		knob.CloseUnanswered(ctx)
		return
	}
	switch string(ctx.Path()) {
	case "/v1/completions":
		s.serveGenerate(ctx, false)
	case "/v1/chat/completions":
		s.serveGenerate(ctx, true)
	case "/v1/models":
		s.serveModels(ctx)
	case "/engine/load":
		writeJSON(ctx, s.Load())
	case "/engine/events":
		s.serveEvents(ctx)
	case "/engine/cancel":
		s.serveCancel(ctx)
	case "/engine/order":
		s.serveOrder(ctx)
	case "/engine/kv/export":
		s.serveExport(ctx)
	case "/engine/kv/import":
		s.serveImport(ctx)
	default:
		refuse(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
	}
}

// Load returns the lagging load report with the process's present uptime.
func (s *Server) Load() platform.EngineLoad {
	now := time.Now()
	load := s.loads.at(now.Add(-s.knobs.Get().loadLag()))
	s.mu.Lock()
	defer s.mu.Unlock()
	load.UptimeMs = max(1, now.Sub(s.startedAt).Milliseconds())
	return load
}

func (s *Server) serveEvents(ctx *fasthttp.RequestCtx) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	until := time.Now().Add(-s.knobs.Get().eventLag())
	writeJSON(ctx, s.events.after(uint64(after), until))
}

// cancelRequest is the body of POST /engine/cancel.
type cancelRequest struct {
	ID string `json:"id"`
	// Attempt limits the cancel to the stream that was opened with this
	// X-Attempt-Id; empty cancels all streams of the request.
	Attempt string `json:"attempt"`
}

func (s *Server) serveCancel(ctx *fasthttp.RequestCtx) {
	var c cancelRequest
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil || c.ID == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "bad_request", "id is missing")
		return
	}
	s.mu.Lock()
	n := s.batch.cancel(c.ID, c.Attempt)
	s.mu.Unlock()
	s.wakeLoop()
	writeJSON(ctx, struct {
		Cancelled int `json:"cancelled"`
	}{n})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		refuse(ctx, fasthttp.StatusInternalServerError, "internal", err.Error())
		return
	}
	httpd.JSON(ctx, fasthttp.StatusOK, body)
}

// refusal is the shape of an error answer.
type refusal struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func refuse(ctx *fasthttp.RequestCtx, status int, kind, message string) {
	body, _ := json.Marshal(refusal{refusalError{kind, message}})
	httpd.JSON(ctx, status, body)
}

func (s *Server) serveModels(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	list := s.models.list
	s.mu.Unlock()
	answer := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range list {
		answer.Data = append(answer.Data, modelEntry{m, "model"})
	}
	writeJSON(ctx, answer)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     structs.ModelID `json:"id"`
	Object string          `json:"object"`
}
