package entry

import (
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/httpanswer"
	"arbutusramp/internal/problem"
)

// relayEvents answers with server-sent events as they come. An error before the first event
// becomes the answer's status.
func relayEvents(ctx *fasthttp.RequestCtx, c *call) *errs.Error {
	first, err := c.next()
	if err != nil {
		return err
	}
	r := &eventReader{c: c}
	if first == nil {
		r.finish()
	} else {
		r.event(first)
	}
	setTarget(ctx, c)
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.SetBodyStream(r, -1)
	return nil
}

// eventReader is the body of a streamed answer. The server reads from it and writes each read
// to the caller before the next, so a read also says that earlier events were written. It runs on
// the connection's goroutine: a slow caller holds up nobody else.
type eventReader struct {
	c    *call
	buf  []byte
	off  int
	over bool
	err  *errs.Error
}

// maxEvents bounds how much one refill gathers, in bytes.
const maxEvents = 4096

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	if r.off == len(r.buf) {
		if r.over {
			return 0, io.EOF
		}
		r.refill()
	}
	n := copy(p, r.buf[r.off:])
	r.off += n
	return n, nil
}

func (r *eventReader) refill() {
	r.buf, r.off = r.buf[:0], 0
	r.c.credit()
	for len(r.buf) == 0 || (r.c.ready() && !r.over && len(r.buf) < maxEvents) {
		part, err := r.c.next()
		switch {
		case err != nil:
			r.fail(err)
			return
		case part == nil:
			r.finish()
			return
		}
		r.event(part)
	}
}

func (r *eventReader) event(data []byte) {
	r.buf = append(r.buf, "data: "...)
	r.buf = append(r.buf, data...)
	r.buf = append(r.buf, "\n\n"...)
}

func (r *eventReader) finish() {
	r.buf = append(r.buf, "data: [DONE]\n\n"...)
	r.over = true
}

// fail ends the stream with the error in place of [DONE], so that the caller can tell that
// the answer is not whole.
func (r *eventReader) fail(err *errs.Error) {
	r.err = err
	r.buf = append(r.buf, "event: error\n"...)
	r.event(problem.Encode(err))
	r.over = true
}

// Close implements io.Closer. The server calls it also when the caller has gone.
func (r *eventReader) Close() error {
	r.c.close(r.err)
	return nil
}

// relayJoined answers a generation request as one JSON document.
func relayJoined(ctx *fasthttp.RequestCtx, c *call) *errs.Error {
	for {
		part, err := c.next()
		if err != nil {
			return err
		}
		if part == nil {
			break
		}
		c.credit()
	}
	body, err := c.progress.whole(c.req.generate.Chat)
	if err != nil {
		return err
	}
	setTarget(ctx, c)
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBodyRaw(body)
	return nil
}

// relayService answers a call of a plain service: whole when it fits in the
// stream's window, else as it comes.
func relayService(ctx *fasthttp.RequestCtx, c *call) *errs.Error {
	var body []byte
	for !c.done || !c.drained() {
		part, err := c.next()
		if err != nil {
			return err
		}
		if part == nil {
			break
		}
		body = appendPart(body, part)
		if c.mustWait() && len(body) >= c.e.set.SessionWindow/2 {
			return relayLarge(ctx, c, body)
		}
	}
	if err := setHead(ctx, c); err != nil {
		return err
	}
	ctx.Response.SetBodyRaw(body)
	return nil
}

func (c *call) drained() bool { return c.used == len(c.parts) }

// mustWait says that more is to come and nothing is known of how it ends.
func (c *call) mustWait() bool { return c.drained() && !c.done && c.failure == nil }

// appendPart takes over the first part without a copy.
func appendPart(body, part []byte) []byte {
	if body == nil {
		return part
	}
	return append(body, part...)
}

func relayLarge(ctx *fasthttp.RequestCtx, c *call, body []byte) *errs.Error {
	if err := setHead(ctx, c); err != nil {
		return err
	}
	ctx.Response.SetBodyStream(&bodyReader{c: c, buf: body}, -1)
	return nil
}

// bodyReader is the body of a large answer of a plain service.
type bodyReader struct {
	c   *call
	buf []byte
	err *errs.Error
}

// Read implements io.Reader. An error ends the connection without the last chunk, so that the
// caller's HTTP client reports a broken answer.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.buf) == 0 {
		r.c.credit()
		part, err := r.c.next()
		if err != nil {
			r.err = err
			return 0, errors.WithStack(err)
		}
		if part == nil {
			return 0, io.EOF
		}
		r.buf = part
	}
	n := copy(p, r.buf)
	r.buf = r.buf[n:]
	return n, nil
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	r.c.close(r.err)
	return nil
}

func setTarget(ctx *fasthttp.RequestCtx, c *call) {
	ctx.Response.Header.Set(headerTarget, string(c.target.id))
}

func setHead(ctx *fasthttp.RequestCtx, c *call) *errs.Error {
	if c.head == nil {
		return errs.New(errs.BadFrame, "the side sent an answer without a head")
	}
	if err := httpanswer.CheckStatus(c.head.Status); err != nil {
		return errs.Newf(errs.BadFrame, "the side sent an %v", err)
	}
	setTarget(ctx, c)
	ctx.Response.SetStatusCode(c.head.Status)
	for _, h := range c.head.Headers {
		setAnswerHeader(ctx, h)
	}
	if c.replayed {
		ctx.Response.Header.Set(headerReplayed, strconv.FormatBool(true))
	}
	return nil
}

func setAnswerHeader(ctx *fasthttp.RequestCtx, h structs.Header) {
	switch h.Name {
	case "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive",
		"Date", "Server", "Trailer", "Upgrade", headerRequest, headerTarget:
		return
	case "Content-Type":
		ctx.Response.Header.SetContentType(h.Value)
		return
	}
	ctx.Response.Header.Add(h.Name, h.Value)
}
