package engine

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/standin/knob"
)

// Request headers that the engine reads.
const (
	// HeaderRequestID names the request.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID names this stream among those of the same request.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderResumeFrom is the position to continue at.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderStream with the value "sse" asks for a stream whatever the body says.
	HeaderStream = "X-Stream"
)

func (s *Server) serveGenerate(ctx *fasthttp.RequestCtx, chat bool) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	s.arrivals.Add(id)
	if s.knobs.Get().Hang {
		s.knobs.Hold(s.http.Done(), func(k Knobs) bool { return k.Hang })
		knob.CloseUnanswered(ctx)
		return
	}
	r, err := parseRequest(ctx.PostBody())
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, string(errs.BadRequest), errs.As(err).Detail)
		return
	}
	if r.Poison == PoisonRefuse {
		refuse(ctx, fasthttp.StatusUnprocessableEntity, string(errs.BadRequest), "the content is refused")
		return
	}
	q, ok := s.newSequence(ctx, id, r)
	if !ok {
		return
	}
	if !s.enqueue(q) {
		refuse(ctx, fasthttp.StatusNotFound, string(errs.UnknownModel), "model "+string(r.Model)+" is not loaded")
		return
	}
	f := newEventFormat(id, string(r.Model), chat)
	if r.Stream || string(ctx.Request.Header.Peek(HeaderStream)) == "sse" {
		s.answerStream(ctx, q, f)
		return
	}
	s.answerWhole(ctx, q, f)
}

func (s *Server) newSequence(ctx *fasthttp.RequestCtx, id string, r *request) (*sequence, bool) {
	from, err := resumeFrom(ctx)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, string(errs.BadRequest), "X-Resume-From is not a position")
		return nil, false
	}
	q := &sequence{
		id:       id,
		attempt:  string(ctx.Request.Header.Peek(HeaderAttemptID)),
		model:    r.Model,
		content:  r.contentHash(),
		prefixes: r.prefixes(),
		prompt:   promptTokens(r.text),
		from:     from,
		max:      r.maxTokens(s.opts.MaxTokens),
		poison:   r.Poison,
		wake:     make(chan struct{}, 1),
	}
	q.next.Store(int64(from))
	return q, true
}

func resumeFrom(ctx *fasthttp.RequestCtx) (int, error) {
	v := ctx.Request.Header.Peek(HeaderResumeFrom)
	if len(v) == 0 {
		return 0, nil
	}
	return fasthttp.ParseUint(v)
}

// enqueue adds q to the batch. It returns false when its model is not loaded.
func (s *Server) enqueue(q *sequence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		q.end(sequenceStopped)
		return true
	}
	if !s.models.has(q.model) {
		return false
	}
	if q.from >= q.max {
		q.end(sequenceFinished)
		return true
	}
	s.batch.add(q)
	s.reportLocked(time.Now())
	s.wakeLoop()
	return true
}

// stop cancels q unless it has ended.
func (s *Server) stop(q *sequence) {
	s.mu.Lock()
	s.batch.cancelOne(q)
	s.mu.Unlock()
	s.wakeLoop()
}

func (s *Server) answerStream(ctx *fasthttp.RequestCtx, q *sequence, f *eventFormat) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&eventStream{q: q, format: f, pos: q.from, stop: s.stop}, -1)
}

// answerWhole waits for all tokens. The caller's leaving goes unnoticed here; only POST
// /engine/cancel ends such a request early.
func (s *Server) answerWhole(ctx *fasthttp.RequestCtx, q *sequence, f *eventFormat) {
	for sequenceState(q.state.Load()) == sequenceOpen {
		select {
		case <-q.wake:
		case <-s.http.Done():
			s.stop(q)
		}
	}
	if sequenceState(q.state.Load()) == sequenceStopped {
		knob.CloseUnanswered(ctx)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(f.appendWhole(nil, q))
}

// eventFormat writes answers in the shape of the completion interfaces.
type eventFormat struct {
	id    []byte // as a JSON string
	model []byte // as a JSON string
	chat  bool
}

func newEventFormat(id, model string, chat bool) *eventFormat {
	quotedID, _ := json.Marshal(id)
	quotedModel, _ := json.Marshal(model)
	return &eventFormat{quotedID, quotedModel, chat}
}

// appendToken appends the event of the token at pos.
func (f *eventFormat) appendToken(b []byte, q *sequence, pos int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(pos), 10)
	b = append(b, "\ndata: "...)
	finish := "null"
	if pos+1 == q.max {
		finish = `"length"`
	}
	if f.chat {
		b = f.appendHead(b, "chat.completion.chunk")
		b = append(b, `"delta":{"content":"`...)
	} else {
		b = f.appendHead(b, "text_completion")
		b = append(b, `"text":"`...)
	}
	b = append(b, TokenText(q.content, pos)...)
	b = f.appendTextEnd(b)
	b = append(b, `,"finish_reason":`...)
	b = append(b, finish...)
	return append(b, "}]}\n\n"...)
}

// appendHead appends an object up to the first field of its only choice.
func (f *eventFormat) appendHead(b []byte, object string) []byte {
	b = append(b, `{"id":`...)
	b = append(b, f.id...)
	b = append(b, `,"object":"`...)
	b = append(b, object...)
	b = append(b, `","model":`...)
	b = append(b, f.model...)
	return append(b, `,"choices":[{"index":0,`...)
}

func (f *eventFormat) appendWhole(b []byte, q *sequence) []byte {
	if f.chat {
		b = f.appendHead(b, "chat.completion")
		b = append(b, `"message":{"role":"assistant","content":"`...)
	} else {
		b = f.appendHead(b, "text_completion")
		b = append(b, `"text":"`...)
	}
	b = append(b, expectText(q.content, q.from, q.max)...)
	b = f.appendTextEnd(b)
	b = append(b, `,"finish_reason":"length"}],"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(q.prompt), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(q.max-q.from), 10)
	return append(b, "}}"...)
}

// appendTextEnd ends the string, and in a chat the object around it.
func (f *eventFormat) appendTextEnd(b []byte) []byte {
	if f.chat {
		return append(b, `"}`...)
	}
	return append(b, '"')
}
