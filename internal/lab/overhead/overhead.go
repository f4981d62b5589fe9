// Package overhead measures what entry and side add to a call: the latency over
// calling the target directly, both interleaved in the same run, and the calls a second
// that an entry carries for each core that it uses.
package overhead

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

// Options say what is called and how often.
type Options struct {
	// Direct is the URL of the target itself, for example http://IP:port/echo.
	Direct string
	// Through is the URL of the same call at an entry, for example
	// http://IP:port/svc/NAME/echo.
	Through string
	// Key is the workspace's API key.
	Key string
	// EntryStatus and SideStatus are the base URLs of status listeners, for processor
	// times; empty ones are not read.
	EntryStatus, SideStatus string

	Pairs       int           // calls of each way for the latency
	Connections int           // of the load for the rate
	Duration    time.Duration // of the load; 0 measures no rate
	BodyBytes   int           // of each call
}

// DefaultOptions returns the shape of the run that docs/DESIGN.md gives.
func DefaultOptions() Options {
	return Options{Pairs: 5000, Connections: 64, Duration: 10 * time.Second, BodyBytes: 64}
}

// Report is what was measured.
type Report struct {
	Latency Latency `json:"latency"`
	Rate    *Rate   `json:"rate,omitempty"`
}

// Run measures. Errors: errs.BadRequest for options without URLs, and what a call failed with.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Direct == "" || o.Through == "" {
		return nil, errs.New(errs.BadRequest, "both the direct URL and the one through an entry are needed")
	}
	lat, err := measureLatency(ctx, o)
	if err != nil {
		return nil, err
	}
	r := &Report{Latency: lat}
	if o.Duration == 0 {
		return r, nil
	}
	if r.Rate, err = measureRate(ctx, o); err != nil {
		return nil, err
	}
	return r, nil
}

// probe is one connection that repeats one call.
type probe struct {
	client *fasthttp.HostClient
	req    *fasthttp.Request
	resp   *fasthttp.Response
}

func newProbe(url string, o Options) *probe {
	p := &probe{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse()}
	p.req.SetRequestURI(url)
	p.req.Header.SetMethod(fasthttp.MethodPost)
	if o.Key != "" {
		p.req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+o.Key)
	}
	p.req.SetBody(make([]byte, o.BodyBytes))
	p.client = &fasthttp.HostClient{Addr: string(p.req.URI().Host()), MaxConns: 1}
	return p
}

// call sends the call and checks its answer. Errors: errs.Overloaded for a refusal without a
// run, errs.TargetFailed, errs.TargetRefused.
func (p *probe) call() error {
	if err := p.client.Do(p.req, p.resp); err != nil {
		return errs.Newf(errs.TargetFailed, "%s: %v", p.req.URI(), err)
	}
	if p.resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		return errs.Newf(errs.Overloaded, "%s: %.200s", p.req.URI(), p.resp.Body())
	}
	if code := p.resp.StatusCode(); code != fasthttp.StatusOK {
		return errs.Newf(errs.TargetRefused, "%s: status %d: %.200s", p.req.URI(), code, p.resp.Body())
	}
	return nil
}

func (p *probe) close() {
	p.client.CloseIdleConnections()
	fasthttp.ReleaseRequest(p.req)
	fasthttp.ReleaseResponse(p.resp)
}
