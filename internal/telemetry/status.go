// Package telemetry answers what a balancer and a monitor ask of a process: is it
// alive, is it ready, and what are its metrics.
package telemetry

import (
	"encoding/json"

	"arbutusramp/core/errs"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Paths of the status listener.
const (
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
)

// Handler serves the status listener. /healthz answers 200 while the process runs,
// /readyz 200 or 503 with ready's error, /metrics the registry as JSON.
func Handler(reg metrics.Registry, ready func() error) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case HealthPath:
			ctx.SetBodyString("ok\n")
		case ReadyPath:
			serveReady(ctx, ready())
		case MetricsPath:
			serveMetrics(ctx, reg)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

func serveReady(ctx *fasthttp.RequestCtx, err error) {
	if err == nil {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	writeJSON(ctx, struct {
		Error *errs.Error `json:"error"`
	}{errs.As(err)})
}

func serveMetrics(ctx *fasthttp.RequestCtx, reg metrics.Registry) {
	writeJSON(ctx, reg.GetAll())
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
