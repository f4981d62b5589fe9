package entry

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Header names towards callers; docs/API.md describes them.
const (
	headerKey       = "Idempotency-Key"
	headerKeyIssued = "Idempotency-Issued"
	headerTimeout   = "X-Request-Timeout"
	headerPriority  = "X-Priority"
	headerRequest   = "X-Request-Id"
	headerTarget    = "X-Target"
	headerReplayed  = "X-Replayed"
)

const (
	maxIDLen   = 128
	maxKeyLen  = 255
	maxTimeout = time.Hour
)

// accepted is a request whose caller is known.
type accepted struct {
	id          structs.RequestID
	workspace   structs.WorkspaceID
	class       structs.Class
	start       time.Time
	timeout     time.Duration // 0: not said
	key         string
	keyIssuedMs int64
}

// accept checks the caller's key and reads the headers that every path shares.
func (e *Entry) accept(ctx *fasthttp.RequestCtx, a *accepted) *errs.Error {
	a.start = e.now()
	a.id = e.requestID(ctx.Request.Header.Peek(headerRequest))
	ctx.Response.Header.Set(headerRequest, string(a.id))
	var err *errs.Error
	if a.workspace, err = e.keys.index().lookup(bearer(ctx)); err != nil {
		return err
	}
	if a.class, err = priority(ctx.Request.Header.Peek(headerPriority)); err != nil {
		return err
	}
	if a.timeout, err = timeout(ctx.Request.Header.Peek(headerTimeout)); err != nil {
		return err
	}
	return acceptKey(ctx, a)
}

// scheme is the only kind of credentials that callers may send.
var scheme = []byte("Bearer ")

func bearer(ctx *fasthttp.RequestCtx) []byte {
	auth := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	if len(auth) <= len(scheme) || !bytes.EqualFold(auth[:len(scheme)], scheme) {
		return nil
	}
	return auth[len(scheme):]
}

// requestID takes over the caller's id if it is fit for logs and headers.
func (e *Entry) requestID(given []byte) structs.RequestID {
	if len(given) == 0 || len(given) > maxIDLen || !printable(given) {
		return e.newID()
	}
	return structs.RequestID(given)
}

func printable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

func priority(b []byte) (structs.Class, *errs.Error) {
	switch string(b) {
	case "", "online":
		return structs.ClassOnline, nil
	case "batch":
		return structs.ClassBatch, nil
	default:
		return 0, errs.Newf(errs.BadRequest, "%s: allowed are online and batch", headerPriority)
	}
}

func timeout(b []byte) (time.Duration, *errs.Error) {
	if len(b) == 0 {
		return 0, nil
	}
	ms, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil || ms <= 0 {
		return 0, errs.Newf(errs.BadRequest, "%s: allowed is a whole number of milliseconds above 0", headerTimeout)
	}
	if ms >= maxTimeout.Milliseconds() {
		return maxTimeout, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func acceptKey(ctx *fasthttp.RequestCtx, a *accepted) *errs.Error {
	key := ctx.Request.Header.Peek(headerKey)
	if len(key) > maxKeyLen || !printable(key) {
		return errs.Newf(errs.BadRequest, "%s: allowed are up to %d printable characters without spaces", headerKey, maxKeyLen)
	}
	a.key = string(key)
	issued := ctx.Request.Header.Peek(headerKeyIssued)
	if len(issued) == 0 {
		return nil
	}
	ms, err := strconv.ParseInt(string(issued), 10, 64)
	if err != nil || ms <= 0 {
		return errs.Newf(errs.BadRequest, "%s: allowed is a time in milliseconds since 1970", headerKeyIssued)
	}
	a.keyIssuedMs = ms
	return nil
}
