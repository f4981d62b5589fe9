// Package servicehttp meets a plain service over HTTP.
package servicehttp

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/httpclient"
)

// Options of the adapter.
type Options struct {
	// Timeout bounds each call beside its context; 0 is no bound.
	Timeout time.Duration
}

// Service is a plain service at one base URL.
type Service struct {
	client  *httpclient.Client
	timeout time.Duration
}

// New returns the plain service at baseURL.
func New(baseURL string, o Options) platform.Service {
	return &Service{httpclient.New(baseURL), o.Timeout}
}

// headerRequestID names the request to the service.
const headerRequestID = "X-Request-Id"

// Call implements platform.Service.
func (s *Service) Call(ctx context.Context, c platform.ServiceCall) (platform.ServiceAnswer, error) {
	if s.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.timeout)
		defer cancel()
	}
	req := s.client.Request(c.Method, c.Path)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for _, h := range c.Headers {
		if !perConnection(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(headerRequestID, string(c.Request))
	req.SetBodyRaw(c.Body)
	if err := s.client.Do(ctx, req, resp); err != nil {
		return platform.ServiceAnswer{}, httpclient.TargetError(err)
	}
	return answer(resp), nil
}

func answer(resp *fasthttp.Response) platform.ServiceAnswer {
	a := platform.ServiceAnswer{Status: resp.StatusCode()}
	for name, value := range resp.Header.All() {
		if !perConnection(string(name)) {
			a.Headers = append(a.Headers, structs.Header{Name: string(name), Value: string(value)})
		}
	}
	// resp's buffer is used again after its release.
	a.Body = append([]byte(nil), resp.Body()...)
	return a
}

// perConnection reports whether a header is about one connection, so that it isn't passed on.
func perConnection(name string) bool {
	return slices.ContainsFunc(connectionHeaders, func(h string) bool { return strings.EqualFold(h, name) })
}

var connectionHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
}
