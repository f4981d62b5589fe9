package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"arbutusramp/core/errs"
	"github.com/pkg/errors"
)

const callTimeout = 20 * time.Second

// caller speaks to one entry as a workspace's client does.
type caller struct {
	base string // http://IP:port of the callers' listener
	key  string
	http http.Client
}

func newCaller(addr, key string) *caller {
	return &caller{base: "http://" + addr, key: key, http: http.Client{Timeout: callTimeout}}
}

// answer is the whole answer to one call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call sends one request and reads the whole answer. An error in the API's
// shape comes back as its *errs.Error.
func (c *caller) call(ctx context.Context, method, path string, header http.Header, body []byte) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, wrap(err, path)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, wrap(err, path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, wrap(err, path)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return answer{}, errors.Wrap(apiError(resp.StatusCode, data), path)
	}
	return answer{resp.StatusCode, resp.Header, data}, nil
}

// callJSON sends in as JSON and reads the answer into out.
func (c *caller) callJSON(ctx context.Context, method, path string, header http.Header, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return wrap(err, path)
		}
		header = header.Clone()
		if header == nil {
			header = http.Header{}
		}
		header.Set("Content-Type", "application/json")
	}
	a, err := c.call(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return wrap(err, path)
	}
	return nil
}

func apiError(status int, body []byte) error {
	var answer struct {
		Error *errs.Error `json:"error"`
	}
	if json.Unmarshal(body, &answer) == nil && answer.Error != nil && answer.Error.Type != "" {
		return answer.Error
	}
	return errs.Newf(errs.Internal, "status %d: %.200s", status, body)
}

// wrap gives err a type and says what it was about.
func wrap(err error, about string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(errs.As(err), about)
}
