package dev

import (
	"context"
	"net/http"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	adminclient "arbutusramp/internal/admin/client"
	"arbutusramp/internal/client"
	"arbutusramp/internal/settings"
	"github.com/pkg/errors"
)

const (
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// Configure declares what the system serves and waits until every entry serves it.
func (c *Cluster) Configure(ctx context.Context) error {
	if err := c.declare(ctx); err != nil {
		return err
	}
	for _, e := range c.Entries {
		if err := awaitServing(ctx, client.New("http://"+e.CallerAddr(), WorkspaceKey)); err != nil {
			return err
		}
	}
	return nil
}

// declare plans and confirms the first intents.
func (c *Cluster) declare(ctx context.Context) error {
	admin := c.admin(0)
	p, err := admin.Plan(ctx, "dev", []byte(firstIntents()))
	if err != nil {
		return err
	}
	_, err = admin.Confirm(ctx, p)
	return err
}

// admin returns an operator's client of entry i.
func (c *Cluster) admin(i int) *adminclient.Client {
	return adminclient.New("http://"+c.Entries[i].AdminAddr(), settings.DevOperatorKey)
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Data []struct {
		ID      structs.ModelID `json:"id"`
		Targets int             `json:"targets"`
	} `json:"data"`
}

// awaitServing waits until an entry knows the workspace and has sessions with all that it
// needs: every engine and every service.
func awaitServing(ctx context.Context, c *client.Client) error {
	var last error
	err := poll(ctx, readyTimeout, readyPoll, func() bool {
		last = serving(ctx, c)
		return last == nil
	})
	if err != nil && last != nil {
		return errors.Wrap(last, "entry not serving in time")
	}
	return err
}

func serving(ctx context.Context, c *client.Client) error {
	var list modelList
	if err := c.CallJSON(ctx, http.MethodGet, "/v1/models", nil, nil, &list); err != nil {
		return err
	}
	for _, m := range list.Data {
		if m.ID == model && m.Targets == domains {
			_, err := c.Call(ctx, http.MethodGet, "/svc/"+string(serviceName)+"/ping", nil, nil)
			return err
		}
	}
	return errs.Newf(errs.NoTarget, "model %s has not %d targets yet: %+v", model, domains, list.Data)
}

// poll asks until done is true. Error: errs.DeadlineExceeded after timeout, or when ctx ends.
func poll(ctx context.Context, timeout, every time.Duration, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return errs.Newf(errs.DeadlineExceeded, "waited %s", timeout)
		case <-tick.C:
		}
	}
	return nil
}
