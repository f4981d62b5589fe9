package cluster

import (
	"context"
	"net/http"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/loghttp"
	"arbutusramp/internal/client"
	"arbutusramp/internal/settings"
)

const (
	maxInFlight = 8192 // requests of the workspace at one entry
	maxJobItems = 660_000
	// declaredBefore puts the declaration in the past, so that sides need not wait for
	// its propagation before they take idempotency keys.
	declaredBefore = time.Hour
	declareTimeout = 10 * time.Second
	awaitPoll      = 10 * time.Millisecond
)

// declare confirms the workspace, the model, the service and their targets in the log.
func (c *Cluster) declare() error {
	record, err := confstate.EncodeConfirm(&structs.Confirm{
		Plan: "cluster", Operator: settings.DevOperator,
		AtMs: time.Now().Add(-declaredBefore).UnixMilli(), Intents: c.intents(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), declareTimeout)
	defer cancel()
	_, err = loghttp.New(c.Log.URL()).Append(ctx, structs.ConfigStream, record)
	return err
}

func (c *Cluster) intents() []structs.Intent {
	inFlight, replicas, spread := maxInFlight, max(1, c.o.Engines), 1
	intents := []structs.Intent{
		{Workspace: &structs.WorkspaceIntent{
			ID: Workspace, KeyHashes: []string{settings.KeySum(WorkspaceKey)}, MaxInFlight: &inFlight,
		}},
		{Grant: &structs.GrantIntent{Workspace: Workspace, MaxItems: maxJobItems}},
		{Service: &structs.ServiceIntent{ID: Service, NonIdempotent: []string{http.MethodPost}}},
	}
	for i := range c.o.Engines {
		intents = append(intents, structs.Intent{Target: &structs.TargetIntent{
			ID: EngineID(i), Kind: structs.KindEngine, Host: structs.HostID(numbered("engine-side", i)),
		}})
	}
	for i := range c.o.Services {
		intents = append(intents, structs.Intent{Target: &structs.TargetIntent{
			ID: ServiceID(i), Kind: structs.KindService, Host: structs.HostID(numbered("service-side", i)),
			Service: Service,
		}})
	}
	return append(intents, structs.Intent{Model: &structs.ModelIntent{
		ID: Model, Replicas: &replicas, SpreadDomains: &spread,
	}})
}

// StartServing starts a cluster and waits until it serves, for some time at the most. Errors: of Start and Await.
func StartServing(ctx context.Context, within time.Duration, o Options) (*Cluster, error) {
	c, err := Start(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := c.Await(ctx); err != nil {
		_ = c.Close() // that it does not serve is what matters
		return nil, err
	}
	return c, nil
}

// Await waits until every entry is ready and has a session with every side. Error:
// errs.DeadlineExceeded when ctx ends before.
func (c *Cluster) Await(ctx context.Context) error {
	tick := time.NewTicker(awaitPoll)
	defer tick.Stop()
	for {
		err := c.serving(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errs.Newf(errs.DeadlineExceeded, "not serving: %v", err)
		case <-tick.C:
		}
	}
}

func (c *Cluster) serving(ctx context.Context) error {
	sides := int64(len(c.EngineSides) + len(c.ServiceSides))
	for _, p := range c.EngineSides {
		if err := sessions(p, int64(len(c.Entries))); err != nil {
			return err
		}
	}
	for _, p := range c.ServiceSides {
		if err := sessions(p, int64(len(c.Entries))); err != nil {
			return err
		}
	}
	for _, p := range c.Entries {
		if err := c.entryServes(ctx, p, sides); err != nil {
			return err
		}
	}
	return nil
}

// sessions fails unless p has n sessions.
func sessions(p *Process, n int64) error {
	g, ok := p.Metrics.Get("side.sessions").(interface{ Value() int64 })
	if !ok || g.Value() != n {
		return errs.Newf(errs.NoTarget, "%s has not %d sessions yet", p.ID, n)
	}
	return nil
}

func (c *Cluster) entryServes(ctx context.Context, p *Process, sides int64) error {
	status := client.New("http://"+p.Entry.StatusAddr(), "")
	if _, err := status.Call(ctx, http.MethodGet, "/readyz", nil, nil); err != nil {
		return err
	}
	if c.o.Engines == 0 {
		return nil
	}
	var list struct {
		Data []struct {
			ID      structs.ModelID `json:"id"`
			Targets int             `json:"targets"`
		} `json:"data"`
	}
	callers := client.New("http://"+p.Entry.CallerAddr(), WorkspaceKey)
	if err := callers.CallJSON(ctx, http.MethodGet, "/v1/models", nil, nil, &list); err != nil {
		return err
	}
	for _, m := range list.Data {
		if m.ID == Model && m.Targets == c.o.Engines {
			return nil
		}
	}
	return errs.Newf(errs.NoTarget, "%s does not see %d sides yet", p.ID, sides)
}
