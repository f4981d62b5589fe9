// Package client speaks to the administration API of an entry.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/plan"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/admin"
	"arbutusramp/internal/client"
)

const (
	// confirmTries bounds how often a confirm is sent whose answer was lost. It is the
	// same confirm each time.
	confirmTries = 3
	confirmPause = 500 * time.Millisecond
)

// Client speaks to one entry with an operator's key.
type Client struct {
	api *client.Client
}

// New returns a Client of the administration listener at base (http://IP:port).
func New(base, key string) *Client {
	return &Client{client.New(strings.TrimSuffix(base, "/"), key)}
}

// Plan returns the plan of a document of intents; file names it in faults. Errors:
// errs.BadSettings with the document's faults, errs.Conflict, errs.Unauthenticated.
func (c *Client) Plan(ctx context.Context, file string, doc []byte) (*plan.Plan, error) {
	path := admin.PathPlan + "?file=" + url.QueryEscape(file)
	var p plan.Plan
	a, err := c.api.Call(ctx, http.MethodPost, path, nil, bytes.NewReader(doc))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(a.Body, &p); err != nil {
		return nil, errs.Newf(errs.Internal, "the answer is no plan: %v", err)
	}
	return &p, p.Check()
}

// Confirm confirms p. A lost answer is no matter: the confirm is sent again, and counts
// once. Errors: errs.StalePlan with what came first, errs.LogDown with when to come back,
// errs.AppendUnknown when it still is not known: send it again later.
func (c *Client) Confirm(ctx context.Context, p *plan.Plan) (admin.Confirmed, error) {
	var out admin.Confirmed
	var err error
	for try := range confirmTries {
		if try > 0 {
			sleep.For(ctx, confirmPause)
		}
		err = c.api.CallJSON(ctx, http.MethodPost, admin.PathConfirm, nil, p, &out)
		if err == nil || !answerLost(err) || ctx.Err() != nil {
			break
		}
	}
	return out, err
}

func answerLost(err error) bool {
	t := errs.As(err).Type
	return t == errs.AppendUnknown || t == errs.Internal
}

// Status returns confirmed against actual.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var st admin.Status
	err := c.api.CallJSON(ctx, http.MethodGet, admin.PathStatus, nil, nil, &st)
	return st, err
}

// Watch returns the status once its tag is not tag, or after wait.
func (c *Client) Watch(ctx context.Context, tag string, wait time.Duration) (admin.Status, error) {
	query := url.Values{"tag": {tag}, "wait": {wait.String()}}
	var st admin.Status
	err := c.api.CallJSON(ctx, http.MethodGet, admin.PathWatch+"?"+query.Encode(), nil, nil, &st)
	return st, err
}

// Config returns the configuration that the entry holds.
func (c *Client) Config(ctx context.Context) (*confstate.State, error) {
	var s confstate.State
	if err := c.api.CallJSON(ctx, http.MethodGet, admin.PathConfig, nil, nil, &s); err != nil {
		return nil, err
	}
	return &s, nil
}
