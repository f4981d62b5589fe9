// Package hosthttp meets the host list over HTTP.
package hosthttp

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/adapter/httpclient"
)

const (
	timeout   = 5 * time.Second
	retryDown = time.Second
)

// List is the host list at one base URL.
type List struct {
	client *httpclient.Client
}

// New returns the host list at baseURL.
func New(baseURL string) platform.HostList {
	return &List{httpclient.New(baseURL)}
}

// Hosts implements platform.HostList.
func (l *List) Hosts(ctx context.Context) ([]platform.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := l.client.Request(fasthttp.MethodGet, "/hosts")
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := l.client.Do(ctx, req, resp); err != nil {
		return nil, unreadable(err.Error())
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, unreadable(fasthttp.StatusMessage(resp.StatusCode()))
	}
	var hosts []platform.Host
	if err := json.Unmarshal(resp.Body(), &hosts); err != nil {
		return nil, unreadable(err.Error())
	}
	return hosts, nil
}

func unreadable(detail string) error {
	e := errs.New(errs.NoTarget, "the host list can't be read: "+detail)
	return errors.WithStack(e.WithRetry(retryDown))
}
