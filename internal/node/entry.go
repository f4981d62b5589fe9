package node

import (
	"context"

	"arbutusramp/core/invariant"
	"arbutusramp/core/jobs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/adapter/hosthttp"
	"arbutusramp/internal/adapter/loghttp"
	"arbutusramp/internal/adapter/weightshttp"
	"arbutusramp/internal/admin"
	"arbutusramp/internal/batch"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/follow"
	"arbutusramp/internal/settings"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Variant changes an entry for tests and labs. The zero value changes nothing.
type Variant struct {
	// Check counts violations of invariants over several entries; nil has each count its own.
	Check *invariant.Checker
	// Broken switches guards of the job shards off.
	Broken jobs.Broken
	// Tuning replaces times and bounds of the job shards.
	Tuning batch.Tuning
}

// NewEntry returns an entry that listens and does not run yet. Errors: errs.BadSettings.
func NewEntry(s settings.Entry, logger hclog.Logger, reg metrics.Registry) (*entry.Entry, error) {
	return NewEntryVariant(s, logger, reg, Variant{})
}

// NewEntryVariant is NewEntry with the changes of v.
func NewEntryVariant(s settings.Entry, logger hclog.Logger, reg metrics.Registry, v Variant) (*entry.Entry, error) {
	log := loghttp.New(s.Platform.LogURL)
	hosts := &members{HostList: hosthttp.New(s.Platform.HostListURL)}
	config := follow.New(follow.Options{
		Self:    s,
		Log:     log,
		Members: hosts.known,
		Logger:  logger,
		Metrics: reg,
		Check:   v.Check,
	})
	e, err := entry.New(entry.Options{
		Settings: s,
		Logger:   logger,
		Metrics:  reg,
		Log:      log,
		Hosts:    hosts,
		Weights:  weightStore(s),
		Config:   config,
	})
	if err != nil {
		return nil, err
	}
	owner := batch.New(batch.Options{
		Settings: s,
		Log:      log,
		Config:   config,
		Members:  hosts.known,
		Logger:   logger,
		Metrics:  reg,
		PeerAddr: e.PeerAddr(),
		Check:    v.Check,
		Broken:   v.Broken,
		Tuning:   v.Tuning,
	})
	operators := admin.New(admin.Options{
		Self:    s,
		Config:  config,
		Log:     log,
		Logger:  logger,
		Metrics: reg,
	})
	owning := newStage(owner.Run)
	e.Join(entry.Parts{
		Batch:  owner,
		Jobs:   serveJobs(owner),
		Config: config,
		Admin:  operators.Handler,
		Peers: servePeers([]peerRoute{
			{batch.PeerPath, owner.PeerHandler},
			{follow.PeerPath, config.PeerHandler},
		}, logger),
		Ready:       []func() bool{isClosed(config.Ready())},
		ConfigFresh: config.Fresh,
		Run:         []func(context.Context) error{config.Run, owning.run},
		Drain:       []func(context.Context){owning.drain},
	})
	return e, nil
}

// weightStore returns nil without a URL: plans then show no sizes.
func weightStore(s settings.Entry) platform.WeightStore {
	if s.Platform.WeightsURL == "" {
		return nil
	}
	return weightshttp.New(s.Platform.WeightsURL)
}

// serveJobs passes the job paths on with the workspace that asks.
func serveJobs(m *batch.Manager) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		caller, ok := entry.CallerOf(ctx)
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusUnauthorized)
			return
		}
		m.CallerHandler(ctx, caller.Workspace)
	}
}

// isClosed returns whether c has been closed.
func isClosed(c <-chan struct{}) func() bool {
	return func() bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
}
