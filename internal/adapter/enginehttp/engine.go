// Package enginehttp meets a model engine over HTTP: completions streamed as server-sent
// events, and the engine's own paths under /engine for load, orders, cancels and cache events.
package enginehttp

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/adapter/httpclient"
)

// Options of the adapter. Zero fields take the defaults named beside them.
type Options struct {
	// ControlTimeout bounds load reports, orders, cancels and cache events; 2 s.
	ControlTimeout time.Duration
}

const defaultControlTimeout = 2 * time.Second

const (
	headerRequestID  = "X-Request-Id"
	headerAttemptID  = "X-Attempt-Id"
	headerResumeFrom = "X-Resume-From"
	headerStream     = "X-Stream"
)

// Engine is a model engine at one base URL.
type Engine struct {
	client         *httpclient.Client
	controlTimeout time.Duration
	// started and attempts name each stream, so that a cancel that arrives late doesn't
	// end a later stream of the same request.
	started  string
	attempts atomic.Uint64
}

// New returns the model engine at baseURL.
func New(baseURL string, o Options) platform.Engine {
	o.ControlTimeout = cmp.Or(o.ControlTimeout, defaultControlTimeout)
	return &Engine{
		client:         httpclient.New(baseURL),
		controlTimeout: o.ControlTimeout,
		started:        strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
	}
}

// Generate implements platform.Engine. The engine resumes by position, so PriorText is not sent.
func (e *Engine) Generate(ctx context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
	attempt := e.started + strconv.FormatUint(e.attempts.Add(1), 36)
	req := e.request(call, attempt)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	var sinkErr error
	err := e.client.Stream(ctx, req, resp, func(body io.Reader) error {
		var err error
		err, sinkErr = readEvents(body, call.ResumeFrom, sink)
		if sinkErr != nil {
			return sinkErr
		}
		return err
	})
	if err != nil {
		e.cancelUnlessUnsent(err, call, attempt)
		return typed(ctx, err, sinkErr)
	}
	return refused(resp)
}

func (e *Engine) request(call platform.GenerateCall, attempt string) *fasthttp.Request {
	req := e.client.Request(fasthttp.MethodPost, call.Path)
	req.Header.SetContentType("application/json")
	req.Header.Set(headerRequestID, string(call.Request))
	req.Header.Set(headerAttemptID, attempt)
	req.Header.Set(headerStream, "sse")
	if call.ResumeFrom > 0 {
		req.Header.Set(headerResumeFrom, strconv.Itoa(call.ResumeFrom))
	}
	req.SetBodyRaw(call.Body)
	return req
}

func typed(ctx context.Context, err, sinkErr error) error {
	if sinkErr != nil {
		return sinkErr
	}
	// A stream that is cut because ctx has ended looks broken to its reader.
	if cause := ctx.Err(); cause != nil {
		return httpclient.TargetError(withContext(err, cause))
	}
	return httpclient.TargetError(err)
}

func withContext(err, cause error) error {
	var e *httpclient.Error
	if !errors.As(err, &e) {
		return &httpclient.Error{Sent: true, Answered: true, Cause: errors.WithStack(cause)}
	}
	return &httpclient.Error{Sent: e.Sent, Answered: e.Answered, Cause: errors.WithStack(cause)}
}

const (
	// cancelWait bounds the wait for the engine's word that a stream has ended.
	cancelWait = 250 * time.Millisecond
	// cancelAgain is the wait before the engine is asked again.
	cancelAgain = 5 * time.Millisecond
)

// cancelUnlessUnsent tells the engine that nobody reads the stream any more, and waits for its
// word. The closed connection says so too, but the engine notices that only at its next
// write, which for a waiting sequence can be long off. A request that is still on its way can
// come after its own cancel: it would start although its caller was told that it has ended,
// so while no answer had begun the engine is asked again until it has found the stream.
func (e *Engine) cancelUnlessUnsent(err error, call platform.GenerateCall, attempt string) {
	var sent *httpclient.Error
	known := errors.As(err, &sent)
	if known && !sent.Sent {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
	defer cancel()
	body := cancelRequest{ID: string(call.Request), Attempt: attempt}
	underWay := known && !sent.Answered && errors.Is(err, context.Canceled)
	for {
		var found cancelAnswer
		if err := e.post(ctx, "/engine/cancel", body, &found); err != nil || found.Cancelled > 0 || !underWay {
			return
		}
		if !sleep.For(ctx, cancelAgain) {
			return
		}
	}
}

// cancelAnswer is the engine's answer: how many streams the cancel has found.
type cancelAnswer struct {
	Cancelled int `json:"cancelled"`
}

type cancelRequest struct {
	ID      string `json:"id"`
	Attempt string `json:"attempt"`
}

// refused types an answer other than 200.
func refused(resp *fasthttp.Response) error {
	status := resp.StatusCode()
	switch {
	case status == fasthttp.StatusOK:
		return nil
	case status >= 400 && status < 500:
		return errors.WithStack(errs.New(errs.TargetRefused, answerDetail(resp)))
	default:
		return errors.WithStack(errs.New(errs.TargetFailed, answerDetail(resp)))
	}
}

const maxDetail = 500 // bytes of an engine's answer that an error repeats

func answerDetail(resp *fasthttp.Response) string {
	body := resp.Body()
	return fmt.Sprintf("the engine answered %d: %s", resp.StatusCode(), body[:min(len(body), maxDetail)])
}

// Load implements platform.Engine. Error: errs.TargetFailed, errs.TargetTimeout, errs.Cancelled.
func (e *Engine) Load(ctx context.Context) (platform.EngineLoad, error) {
	var load platform.EngineLoad
	err := e.get(ctx, "/engine/load", &load)
	return load, err
}

// CacheEvents implements platform.Engine. Errors as of Load.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]platform.CacheEvent, error) {
	var events []platform.CacheEvent
	err := e.get(ctx, "/engine/events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// Order implements platform.Engine. Errors: errs.StaleFence, errs.TargetRefused, and as of Load.
func (e *Engine) Order(ctx context.Context, o platform.Order) error {
	ctx, cancel := context.WithTimeout(ctx, e.controlTimeout)
	defer cancel()
	return e.post(ctx, "/engine/order", o, nil)
}

func (e *Engine) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, e.controlTimeout)
	defer cancel()
	req := e.client.Request(fasthttp.MethodGet, path)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := e.client.Do(ctx, req, resp); err != nil {
		return httpclient.TargetError(err)
	}
	if err := refused(resp); err != nil {
		return err
	}
	return decode(resp, into)
}

// post sends v and reads the answer into into, unless that is nil.
func (e *Engine) post(ctx context.Context, path string, v, into any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(errs.New(errs.Internal, err.Error()))
	}
	req := e.client.Request(fasthttp.MethodPost, path)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetBodyRaw(body)
	if err := e.client.Do(ctx, req, resp); err != nil {
		return httpclient.TargetError(err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusConflict:
		return errors.WithStack(errs.New(errs.StaleFence, answerDetail(resp)))
	case fasthttp.StatusAccepted:
		return nil
	}
	if err := refused(resp); err != nil || into == nil {
		return err
	}
	return decode(resp, into)
}

func decode(resp *fasthttp.Response, into any) error {
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return errors.WithStack(errs.Newf(errs.TargetFailed, "the engine's answer can't be read: %v", err))
	}
	return nil
}
