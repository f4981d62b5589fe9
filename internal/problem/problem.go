// Package problem writes errors as the answers of the HTTP listeners.
package problem

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

// Body is the JSON document of every error.
type Body struct {
	Error *errs.Error `json:"error"`
}

// Encode returns the Body of err as JSON.
func Encode(err *errs.Error) []byte {
	// An errs.Error holds nothing that can't be marshalled.
	body, _ := json.Marshal(Body{Error: err})
	return body
}

// Write answers ctx with err: status, Retry-After and a Body.
func Write(ctx *fasthttp.RequestCtx, err *errs.Error) {
	ctx.Response.ResetBody()
	ctx.Response.SetStatusCode(errs.Lookup(err.Type).Status)
	ctx.Response.Header.SetContentType("application/json")
	if err.RetryAfterMs > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(err.RetryAfterMs))
	}
	ctx.Response.SetBodyRaw(Encode(err))
}

// retryAfter is in whole seconds, rounded up: who comes back earlier is refused again.
func retryAfter(ms int64) string {
	const msPerS = int64(time.Second / time.Millisecond)
	return strconv.FormatInt((ms+msPerS-1)/msPerS, 10)
}
