package admin

import (
	"strings"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

const bearer = "Bearer "

// operator returns who asks. Error: errs.Unauthenticated, which says whether the
// key is missing, not known, or an old one.
func (a *Admin) operator(ctx *fasthttp.RequestCtx) (string, error) {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, ok := strings.CutPrefix(header, bearer)
	if !ok || key == "" {
		return "", errs.New(errs.Unauthenticated, "no operator's key was sent; send Authorization: Bearer KEY")
	}
	return a.opts.Keys.FindOperator(key)
}
