// Package telemetry answers what a balancer and a monitor ask of a process: is it
// alive, is it ready, and what are its metrics.
package telemetry

import (
	"encoding/json"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Paths of the status listener.
const (
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
)

// Handler serves the status listener. /healthz answers 200 while the process runs, /readyz 200
// or 503 with the reason that notReady gives ("" when ready), /metrics the registry as JSON.
func Handler(reg metrics.Registry, notReady func() string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case HealthPath:
			ctx.SetBodyString("ok\n")
		case ReadyPath:
			serveReady(ctx, notReady())
		case MetricsPath:
			serveMetrics(ctx, reg)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

func serveReady(ctx *fasthttp.RequestCtx, why string) {
	if why == "" {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(why + "\n")
}

func serveMetrics(ctx *fasthttp.RequestCtx, reg metrics.Registry) {
	body, err := json.Marshal(reg.GetAll())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
