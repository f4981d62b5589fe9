// Package client speaks to the callers' API of an entry.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/internal/httpanswer"
	"arbutusramp/internal/problem"
)

// maxErrorBody bounds what is read of a refusal, bytes.
const maxErrorBody = 1 << 20

// Client speaks to one entry with the key of a workspace.
type Client struct {
	base string // http://IP:port of the callers' listener
	key  string
}

// New returns a Client of the entry at base (http://IP:port).
func New(base, key string) *Client {
	return &Client{base: base, key: key}
}

// Answer is the whole answer to one call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one request and reads the whole answer. An error in the API's
// shape comes back as its *errs.Error.
func (c *Client) Call(ctx context.Context, method, path string, header http.Header, body io.Reader) (Answer, error) {
	resp, err := c.do(ctx, method, path, header, body)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, wrap(err, path)
	}
	return Answer{resp.StatusCode, resp.Header, data}, nil
}

// do sends one request and returns the answer's head with its body open.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, wrap(err, path)
	}
	maps.Copy(req.Header, header)
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := httpanswer.Client.Do(req)
	if err != nil {
		return nil, wrap(err, path)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		return nil, wrap(err, path)
	}
	return nil, errors.Wrap(apiError(resp.StatusCode, data), path)
}

// CallJSON sends in as JSON and reads the answer into out.
func (c *Client) CallJSON(ctx context.Context, method, path string, header http.Header, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return wrap(err, path)
		}
		body = bytes.NewReader(data)
		header = header.Clone()
		if header == nil {
			header = http.Header{}
		}
		header.Set("Content-Type", "application/json")
	}
	a, err := c.Call(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return wrap(err, path)
	}
	return nil
}

func apiError(status int, body []byte) error {
	var answer problem.Body
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
