package entry

import (
	"io"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

// maxDiscard bounds how much of a refused body is read. Closing a connection on unread bytes resets
// it, and the caller would lose the error: it would see a broken connection in place of
// the reason.
const maxDiscard = 16 << 20

// readBody takes the request's body out of ctx, so that it may outlive the
// request's buffers. Errors: errs.BodyTooLarge, errs.BadRequest.
func readBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, *errs.Error) {
	size := ctx.Request.Header.ContentLength()
	if size > limit {
		return nil, tooLarge(limit)
	}
	if !ctx.Request.IsBodyStream() {
		return ctx.Request.SwapBody(nil), nil
	}
	stream := ctx.RequestBodyStream()
	if size >= 0 {
		body := make([]byte, size)
		if _, err := io.ReadFull(stream, body); err != nil {
			return nil, brokenBody(err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, brokenBody(err)
	}
	if len(body) > limit {
		return nil, tooLarge(limit)
	}
	return body, nil
}

func brokenBody(err error) *errs.Error {
	return errs.Newf(errs.BadRequest, "the body broke off: %v", err)
}

func tooLarge(limit int) *errs.Error {
	return errs.Newf(errs.BodyTooLarge, "the body is larger than %d bytes", limit)
}

// discardBody reads what is left of a refused request's body.
func discardBody(ctx *fasthttp.RequestCtx) {
	if !ctx.Request.IsBodyStream() {
		return
	}
	if _, err := io.CopyN(io.Discard, ctx.RequestBodyStream(), maxDiscard); err != io.EOF {
		ctx.SetConnectionClose()
	}
}
