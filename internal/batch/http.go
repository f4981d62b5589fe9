package batch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// BatchesPath is the path of the job API on the caller listener.
const BatchesPath = "/v1/batches"

const (
	headerKey   = "Idempotency-Key"
	headerDue   = "X-Due-By-S"
	headerModel = "X-Model"
	jsonLines   = "application/jsonl"
)

// CallerHandler serves BatchesPath for a caller of workspace ws:
//
//	POST /v1/batches                   JSON Lines body; Idempotency-Key, X-Due-By-S, X-Model
//	GET  /v1/batches                   the workspace's jobs
//	GET  /v1/batches/ID                one job
//	GET  /v1/batches/ID/results        all results in item order, JSON Lines
//	GET  /v1/batches/ID/results/INDEX  one result
//	GET  /v1/batches/ID/errors         the results that are errors, JSON Lines
//	POST /v1/batches/ID/cancel         answered when no item starts any more
//
// The server should have StreamRequestBody set: otherwise a file is held in memory whole.
func (m *Manager) CallerHandler(ctx *fasthttp.RequestCtx, ws structs.WorkspaceID) {
	path := strings.Trim(strings.TrimPrefix(string(ctx.Path()), BatchesPath), "/")
	var parts []string
	if path != "" {
		parts = strings.Split(path, "/")
	}
	method := string(ctx.Method())
	post, get := method == fasthttp.MethodPost, method == fasthttp.MethodGet
	switch {
	case post && len(parts) == 0:
		m.httpSubmit(ctx, ws)
	case get && len(parts) == 0:
		m.httpList(ctx, ws)
	case get && len(parts) == 1:
		m.httpStatus(ctx, ws, structs.JobID(parts[0]))
	case post && len(parts) == 2 && parts[1] == "cancel":
		m.httpCancel(ctx, ws, structs.JobID(parts[0]))
	case get && len(parts) == 2 && parts[1] == "results":
		m.httpResults(ctx, ws, structs.JobID(parts[0]), false)
	case get && len(parts) == 2 && parts[1] == "errors":
		m.httpResults(ctx, ws, structs.JobID(parts[0]), true)
	case get && len(parts) == 3 && parts[1] == "results":
		m.httpResult(ctx, ws, structs.JobID(parts[0]), parts[2])
	default:
		writeError(ctx, errs.Newf(errs.NotFound, "no %s %s", method, ctx.Path()))
	}
}

func (m *Manager) httpSubmit(ctx *fasthttp.RequestCtx, ws structs.WorkspaceID) {
	spec := structs.JobSpec{
		Workspace: ws,
		Key:       string(ctx.Request.Header.Peek(headerKey)),
		Model:     structs.ModelID(ctx.Request.Header.Peek(headerModel)),
	}
	if due := string(ctx.Request.Header.Peek(headerDue)); due != "" {
		seconds, err := strconv.ParseInt(due, 10, 32)
		if err != nil || seconds <= 0 {
			writeError(ctx, errs.Newf(errs.BadRequest, "%s %q is not a number of seconds", headerDue, due))
			return
		}
		spec.DueMs = m.now().Add(time.Duration(seconds) * time.Second).UnixMilli()
	}
	var body io.Reader = ctx.RequestBodyStream()
	if body == nil || !ctx.Request.IsBodyStream() {
		body = bytes.NewReader(ctx.PostBody())
	}
	job, err := m.Submit(ctx, spec, body)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, job)
}

func (m *Manager) httpList(ctx *fasthttp.RequestCtx, ws structs.WorkspaceID) {
	list, err := m.List(ctx, ws)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, struct {
		Data []JobView `json:"data"`
	}{list})
}

func (m *Manager) httpStatus(ctx *fasthttp.RequestCtx, ws structs.WorkspaceID, job structs.JobID) {
	view, err := m.Status(ctx, ws, job)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, view)
}

func (m *Manager) httpCancel(ctx *fasthttp.RequestCtx, ws structs.WorkspaceID, job structs.JobID) {
	view, err := m.Cancel(ctx, ws, job)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, view)
}

func (m *Manager) httpResult(ctx *fasthttp.RequestCtx, ws structs.WorkspaceID, job structs.JobID, index string) {
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 {
		writeError(ctx, errs.Newf(errs.BadRequest, "%q is not an item's index", index))
		return
	}
	result, err := m.Result(ctx, ws, job, i)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, resultLine(result))
}

// httpResults streams results. The first page is read before the answer's head goes
// out, so that a job that is not there gets its own status.
func (m *Manager) httpResults(ctx *fasthttp.RequestCtx, ws structs.WorkspaceID, job structs.JobID, failedOnly bool) {
	if _, err := m.Status(ctx, ws, job); err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetContentType(jsonLines)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		enc := json.NewEncoder(w)
		enc.SetEscapeHTML(false)
		// The request's own context ends with its handler, before the body is written.
		err := m.Results(context.Background(), ws, job, 0, failedOnly, func(r structs.ItemResult) error {
			return enc.Encode(resultLine(r))
		})
		if err != nil {
			// The head is out: a last line that is no result says that the
			// list is not whole. Cut silently it would look complete.
			_ = enc.Encode(errorBody{errs.As(err)})
		}
	})
}

// line is the JSON of one result.
type line struct {
	CustomID string      `json:"custom_id,omitempty"`
	Index    int         `json:"index"`
	Attempt  int         `json:"attempt,omitempty"`
	Response *lineAnswer `json:"response"`
	Error    *errs.Error `json:"error"`
}

type lineAnswer struct {
	Status int             `json:"status_code"`
	Body   json.RawMessage `json:"body"`
}

func resultLine(r structs.ItemResult) line {
	l := line{CustomID: r.CustomID, Index: r.Index, Attempt: r.Attempt, Error: r.Err}
	if r.Err != nil {
		return l
	}
	l.Response = &lineAnswer{Status: r.Status, Body: r.Body}
	if !json.Valid(r.Body) {
		// Plain services answer with whatever they like.
		text, _ := json.Marshal(string(r.Body))
		l.Response.Body = text
	}
	return l
}

type errorBody struct {
	Error *errs.Error `json:"error"`
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	e := errs.As(err)
	if e.RetryAfterMs > 0 {
		seconds := (e.RetryAfterMs + 999) / 1000
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	writeJSON(ctx, errs.Lookup(e.Type).Status, errorBody{e})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
