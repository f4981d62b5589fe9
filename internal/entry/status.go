package entry

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// status serves the status listener: /healthz says that the process runs, /readyz that it
// should get requests, /metrics gives the registry as JSON.
func (e *Entry) status(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		e.readyz(ctx)
	case "/metrics":
		e.metricsJSON(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Entry) readyz(ctx *fasthttp.RequestCtx) {
	if why := e.notReady(); why != "" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(why + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// notReady returns why the entry should get no requests, or "".
func (e *Entry) notReady() string {
	if e.draining.Load() {
		return "draining"
	}
	if !e.pool.listed.Load() {
		return "host list not read yet"
	}
	if e.pool.connected() == 0 {
		return "no side is connected"
	}
	for _, ready := range e.parts.Ready {
		if !ready() {
			return "a part is not ready"
		}
	}
	return ""
}

func (e *Entry) metricsJSON(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(e.metrics)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(body)
}
