// Package loghttp meets the log service over HTTP.
package loghttp

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/httpclient"
)

const (
	// retryDown is when to come back to a log service that is down.
	retryDown = time.Second
	// retryBusy is when to come back when the log service doesn't say.
	retryBusy       = 100 * time.Millisecond
	headerRetryMs   = "Retry-After-Ms"
	appendTimeout   = 10 * time.Second
	readGracePeriod = 5 * time.Second // beyond the wait that was asked for
)

// Log is the log service at one base URL.
type Log struct {
	client *httpclient.Client
}

// New returns the log service at baseURL.
func New(baseURL string) platform.Log {
	return &Log{httpclient.New(baseURL)}
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream string, body []byte) (structs.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	req := l.client.Request(fasthttp.MethodPost, "/streams/"+url.PathEscape(stream))
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetBodyRaw(body)
	if err := l.client.Do(ctx, req, resp); err != nil {
		return 0, appendError(err)
	}
	return appendAnswer(resp)
}

// appendError types an append without an answer. Once any of it was sent, the record may be in.
func appendError(err error) error {
	var e *httpclient.Error
	if errors.As(err, &e) && !e.Sent {
		return down(err.Error())
	}
	return errors.WithStack(errs.New(errs.AppendUnknown, err.Error()).WithRetry(retryDown))
}

func down(detail string) error {
	return errors.WithStack(errs.New(errs.LogDown, detail).WithRetry(retryDown))
}

type appended struct {
	Offset structs.Offset `json:"offset"`
}

func appendAnswer(resp *fasthttp.Response) (structs.Offset, error) {
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		var a appended
		if err := json.Unmarshal(resp.Body(), &a); err != nil || a.Offset == 0 {
			return 0, errors.WithStack(errs.New(errs.AppendUnknown, "the log service's answer can't be read"))
		}
		return a.Offset, nil
	case fasthttp.StatusTooManyRequests:
		return 0, errors.WithStack(errs.New(errs.LogBusy, "over the append rate").WithRetry(retryAfter(resp)))
	case fasthttp.StatusServiceUnavailable:
		return 0, down("the log service is unavailable")
	case fasthttp.StatusRequestEntityTooLarge:
		return 0, errors.WithStack(errs.New(errs.BodyTooLarge, "the record is too large for the log service"))
	case fasthttp.StatusInsufficientStorage:
		return 0, down("the log service has no room for another stream")
	default:
		return 0, errors.WithStack(errs.Newf(errs.AppendUnknown, "the log service answered %d", status))
	}
}

func retryAfter(resp *fasthttp.Response) time.Duration {
	ms, err := strconv.Atoi(string(resp.Header.Peek(headerRetryMs)))
	if err != nil {
		return retryBusy
	}
	return time.Duration(ms) * time.Millisecond
}

// page is a platform.Page on the wire.
type page struct {
	First   structs.Offset     `cbor:"1,keyasint"`
	Next    structs.Offset     `cbor:"2,keyasint"`
	Entries []structs.LogEntry `cbor:"3,keyasint,omitempty"`
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream string, from structs.Offset, max int,
	wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGracePeriod)
	defer cancel()
	req := l.client.Request(fasthttp.MethodGet, readPath(stream, from, max, wait))
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := l.client.Do(ctx, req, resp); err != nil {
		return platform.Page{}, down(err.Error())
	}
	return readAnswer(resp, from)
}

func readPath(stream string, from structs.Offset, max int, wait time.Duration) string {
	b := append([]byte("/streams/"), url.PathEscape(stream)...)
	b = append(b, "?from="...)
	b = strconv.AppendUint(b, uint64(from), 10)
	b = append(b, "&max="...)
	b = strconv.AppendInt(b, int64(max), 10)
	b = append(b, "&wait_ms="...)
	b = strconv.AppendInt(b, wait.Milliseconds(), 10)
	return string(b)
}

func readAnswer(resp *fasthttp.Response, from structs.Offset) (platform.Page, error) {
	status := resp.StatusCode()
	if status != fasthttp.StatusOK && status != fasthttp.StatusGone {
		return platform.Page{}, down("the log service answered " + strconv.Itoa(status))
	}
	// Decoding copies the bodies, so the page outlives resp.
	var p page
	if err := cbor.Unmarshal(resp.Body(), &p); err != nil {
		return platform.Page{}, down("the log service's page can't be read: " + err.Error())
	}
	found := platform.Page{First: p.First, Next: p.Next, Entries: p.Entries}
	if status == fasthttp.StatusGone {
		return found, errors.WithStack(errs.Newf(errs.LogTrimmed, "offset %d is gone, the oldest kept is %d", from, p.First))
	}
	return found, nil
}
