package node

import (
	"context"

	"arbutusramp/core/plan"
	"arbutusramp/core/platform"
	"arbutusramp/internal/adapter/hosthttp"
	"arbutusramp/internal/adapter/loghttp"
	"arbutusramp/internal/adapter/weightshttp"
	"arbutusramp/internal/admin"
	"arbutusramp/internal/batch"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/follow"
	"arbutusramp/internal/keyring"
	"arbutusramp/internal/reconcile"
	"arbutusramp/internal/settings"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// NewEntry returns an entry that listens and does not run yet. Errors: errs.BadSettings.
func NewEntry(s settings.Entry, logger hclog.Logger, reg metrics.Registry) (*entry.Entry, error) {
	values, err := keyring.EntryValues(s)
	if err != nil {
		return nil, err
	}
	keys := keyring.New(values)
	log := loghttp.New(s.Platform.LogURL)
	hosts := &members{HostList: hosthttp.New(s.Platform.HostListURL)}
	config := follow.New(follow.Options{
		Self:    s,
		Log:     log,
		Members: hosts.known,
		Logger:  logger,
		Metrics: reg,

		PeerKeys:   keys.PeerKeys,
		RetiredKey: keys.RetiredPeerKey,
	})
	e, err := entry.New(entry.Options{
		Settings: s,
		Logger:   logger,
		Metrics:  reg,
		Log:      log,
		Hosts:    hosts,
		Weights:  weightStore(s),
		Config:   config,
		Keys:     keys,
	})
	if err != nil {
		return nil, err
	}
	jobs := batch.New(batch.Options{
		Settings: s,
		Log:      log,
		Config:   config,
		Members:  hosts.known,
		Logger:   logger,
		Metrics:  reg,
		PeerAddr: e.PeerAddr(),

		PeerKeys:   keys.PeerKeys,
		RetiredKey: keys.RetiredPeerKey,
	})
	weights := weightStore(s)
	fleet := reconcile.NewFleet(reconcile.FleetOptions{
		Members:   hosts.known,
		Weights:   weights,
		BytesPerS: float64(s.Platform.WeightsBytesPerS),
	})
	placement := reconcile.New(reconcile.Options{
		Self:    s,
		Log:     log,
		Config:  config,
		Members: hosts.known,
		Fleet:   fleet,
		Logger:  logger,
		Metrics: reg,
	})
	operators := admin.New(admin.Options{
		Self:    s,
		Keys:    keys,
		Config:  config,
		Log:     log,
		View:    func() plan.View { return plan.View{Fleet: fleet.View(config.Current())} },
		Weights: weights,
		Logger:  logger,
		Metrics: reg,
	})
	owner := newStage(jobs.Run)
	e.Join(entry.Parts{
		Batch:  jobs,
		Jobs:   serveJobs(jobs),
		Config: config,
		Orders: fleet,
		Admin:  operators.Handler,
		Peers: servePeers([]peerRoute{
			{batch.PeerPath, jobs.PeerHandler},
			{follow.PeerPath, config.PeerHandler},
		}, logger),
		Ready:       []func() bool{isClosed(config.Ready())},
		ConfigFresh: config.Fresh,
		Run:         []func(context.Context) error{config.Run, placement.Run, owner.run},
		Drain:       []func(context.Context){owner.drain},
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
func serveJobs(jobs *batch.Manager) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		caller, ok := entry.CallerOf(ctx)
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusUnauthorized)
			return
		}
		jobs.CallerHandler(ctx, caller.Workspace)
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
