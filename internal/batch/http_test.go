package batch

import (
	"encoding/json"
	"testing"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/internal/adapter/logmem"
)

func TestCallerErrorsAreTyped(t *testing.T) {
	m := soloManager(logmem.New(1), 1, 0)
	for _, c := range []struct {
		method, path, due string
		want              errs.Type
	}{
		{"POST", "/v1/batches", "", errs.BadRequest}, // no key
		{"POST", "/v1/batches", "soon", errs.BadRequest},
		{"GET", "/v1/batches/x/results/-1", "", errs.BadRequest},
		{"PUT", "/v1/batches", "", errs.NotFound},
	} {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(c.method)
		ctx.Request.SetRequestURI(c.path)
		if c.due != "" {
			ctx.Request.Header.Set(headerDue, c.due)
		}
		m.CallerHandler(&ctx, testWorkspace)
		var got errorBody
		if err := json.Unmarshal(ctx.Response.Body(), &got); err != nil || got.Error == nil {
			t.Fatalf("%s %s: %q, %v", c.method, c.path, ctx.Response.Body(), err)
		}
		if got.Error.Type != c.want || ctx.Response.StatusCode() != errs.Lookup(c.want).Status {
			t.Errorf("%s %s: %v with status %d, want %s", c.method, c.path, got.Error, ctx.Response.StatusCode(), c.want)
		}
	}
}
