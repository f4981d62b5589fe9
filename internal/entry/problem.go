package entry

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

// problem is the JSON body of every error.
type problem struct {
	Error *errs.Error `json:"error"`
}

func errorBody(err *errs.Error) []byte {
	// An errs.Error holds nothing that can't be marshalled.
	body, _ := json.Marshal(problem{Error: err})
	return body
}

// WriteError answers ctx with err: status, Retry-After and a JSON body.
func WriteError(ctx *fasthttp.RequestCtx, err *errs.Error) {
	ctx.Response.ResetBody()
	ctx.Response.SetStatusCode(errs.Lookup(err.Type).Status)
	ctx.Response.Header.SetContentType("application/json")
	if err.RetryAfterMs > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(err.RetryAfterMs))
	}
	ctx.Response.SetBodyRaw(errorBody(err))
}

// retryAfter is in whole seconds, rounded up.
func retryAfter(ms int64) string {
	const msPerS = 1000
	return strconv.FormatInt((ms+msPerS-1)/msPerS, 10)
}
