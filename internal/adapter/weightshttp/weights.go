// Package weightshttp meets the weight store over HTTP.
package weightshttp

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/httpclient"
)

const timeout = 5 * time.Second

// Store is the weight store at one base URL.
type Store struct {
	client *httpclient.Client
}

// New returns the weight store at baseURL.
func New(baseURL string) platform.WeightStore {
	return &Store{httpclient.New(baseURL)}
}

type size struct {
	Bytes int64 `json:"bytes"`
}

// Size implements platform.WeightStore. Beside errs.UnknownModel it can fail with errs.TargetFailed
// when the store can't be read.
func (s *Store) Size(ctx context.Context, m structs.ModelID, version string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	path := "/models/" + url.PathEscape(string(m)) + "/size?version=" + url.QueryEscape(version)
	req := s.client.Request(fasthttp.MethodGet, path)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := s.client.Do(ctx, req, resp); err != nil {
		return 0, httpclient.TargetError(err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotFound:
		return 0, errors.WithStack(errs.Newf(errs.UnknownModel, "the weight store does not know %s", m))
	default:
		return 0, errors.WithStack(errs.Newf(errs.TargetFailed, "the weight store answered %d", resp.StatusCode()))
	}
	var answer size
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return 0, errors.WithStack(errs.Newf(errs.TargetFailed, "the weight store's answer can't be read: %v", err))
	}
	return answer.Bytes, nil
}
