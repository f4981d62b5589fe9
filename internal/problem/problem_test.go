package problem

import (
	"testing"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

// Symptom: callers come back a moment too early and are refused again. Events: a refusal names
// 1,001 ms, Retry-After says 1 s. Cause: milliseconds were rounded down.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	for ms, want := range map[int64]string{0: "", 1: "1", 1000: "1", 1001: "2"} {
		var ctx fasthttp.RequestCtx
		e := errs.New(errs.Overloaded, "full")
		e.RetryAfterMs = ms
		Write(&ctx, e)
		if got := string(ctx.Response.Header.Peek("Retry-After")); got != want {
			t.Errorf("%d ms: Retry-After %q, want %q", ms, got, want)
		}
	}
}

func TestWriteReplacesTheAnswer(t *testing.T) {
	var ctx fasthttp.RequestCtx
	ctx.SetBodyString("half an answer")
	Write(&ctx, errs.New(errs.NotFound, "no such path"))
	want := `{"error":{"type":"not_found","ran":"not run","message":"no such path"}}`
	if got := string(ctx.Response.Body()); got != want || ctx.Response.StatusCode() != fasthttp.StatusNotFound {
		t.Errorf("%d %s", ctx.Response.StatusCode(), got)
	}
}
