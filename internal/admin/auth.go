package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
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
	sum := sha256.Sum256([]byte(key))
	valid, revoked := a.opts.Self.Operators()
	if name, ok := holder(valid, sum[:]); ok {
		return name, nil
	}
	if name, ok := holder(revoked, sum[:]); ok {
		return "", errs.Newf(errs.Unauthenticated, "the key is an old one of operator %s; use the new one", name)
	}
	return "", errs.New(errs.Unauthenticated, "the operator's key is not known")
}

// holder compares with every key in constant time.
func holder(keys map[string]string, sum []byte) (string, bool) {
	found, ok := "", false
	for name, want := range keys {
		raw, err := hex.DecodeString(want)
		if err == nil && subtle.ConstantTimeCompare(raw, sum) == 1 {
			found, ok = name, true
		}
	}
	return found, ok
}
