package engine

import (
	"slices"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/platform"
	"arbutusramp/standin/internal/count"
)

// Stats is what the engine has done since Start, over crashes.
type Stats struct {
	// Arrivals are generate requests that reached the engine, refused ones too.
	Arrivals count.Snapshot `json:"arrivals"`
	// Starts are sequences that joined the running batch.
	Starts count.Snapshot `json:"starts"`
	Totals
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Pace    Pace `json:"pace"`
	// Orders are those carried out, in order.
	Orders        []platform.Order `json:"orders"`
	RefusedOrders int              `json:"refused_orders"`
}

// Stats returns the counts; with ids those by request id too.
func (s *Server) Stats(ids bool) Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Arrivals:      s.arrivals.Snapshot(ids),
		Starts:        s.starts.Snapshot(ids),
		Totals:        s.batch.totals,
		Running:       len(s.batch.running),
		Waiting:       len(s.batch.waiting),
		Pace:          s.pace,
		Orders:        slices.Clone(s.models.orders),
		RefusedOrders: s.models.refused,
	}
}

// RequestStats is how often one request came.
type RequestStats struct {
	Arrivals int `json:"arrivals"`
	Starts   int `json:"starts"`
}

// Request returns how often the request with that id came and ran.
func (s *Server) Request(id string) RequestStats {
	return RequestStats{s.arrivals.Of(id), s.starts.Of(id)}
}

// serveStats answers /engine/stats, with ?ids=1 with counts by request id, with ?id=ID for one request.
func (s *Server) serveStats(ctx *fasthttp.RequestCtx) {
	if id := ctx.QueryArgs().Peek("id"); len(id) > 0 {
		writeJSON(ctx, s.Request(string(id)))
		return
	}
	writeJSON(ctx, s.Stats(ctx.QueryArgs().GetBool("ids")))
}
