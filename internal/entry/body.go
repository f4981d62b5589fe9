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

// holdKey is the user value of a request that holds its memory. The server closes it with the request.
const holdKey = "hold"

// readBody takes the request's body out of ctx, so that it may outlive the
// request's buffers. Errors: errs.BodyTooLarge, errs.ProcessFull, errs.BadRequest.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx) ([]byte, *errs.Error) {
	if !ctx.Request.IsBodyStream() {
		return ctx.Request.SwapBody(nil), nil
	}
	hold := e.account.NewHold()
	ctx.SetUserValue(holdKey, hold)
	body, err := hold.ReadBody(ctx, ctx.RequestBodyStream(), int64(ctx.Request.Header.ContentLength()), int64(e.set.MaxBody))
	return body, errs.As(err)
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
