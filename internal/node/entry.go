package node

import (
	"context"

	"arbutusramp/core/invariant"
	"arbutusramp/core/jobs"
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
	"arbutusramp/internal/quarantine"
	"arbutusramp/internal/reconcile"
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
	k, err := newKit(s, logger, reg, v)
	if err != nil {
		return nil, err
	}
	e, err := entry.New(entry.Options{
		Settings: s,
		Logger:   logger,
		Metrics:  reg,
		Log:      k.log,
		Hosts:    k.hosts,
		Weights:  k.weights,
		Config:   k.config,
		Keys:     k.keys,

		Quarantine: k.quarantine,
	})
	if err != nil {
		return nil, err
	}
	e.Join(k.parts(e.PeerAddr()))
	return e, nil
}

// kit is what the parts of one entry process have in common.
type kit struct {
	set     settings.Entry
	variant Variant
	logger  hclog.Logger
	metrics metrics.Registry
	log     platform.Log
	hosts   *members
	weights platform.WeightStore // nil without a URL: plans then show no sizes
	keys    *keyring.Keyring
	config  *follow.Follower
	fleet   *reconcile.Fleet
	// quarantine keeps requests under which targets have crashed from targets.
	quarantine entryQuarantine
}

func newKit(s settings.Entry, logger hclog.Logger, reg metrics.Registry, v Variant) (*kit, error) {
	values, err := keyring.EntryValues(s)
	if err != nil {
		return nil, err
	}
	k := &kit{
		set:     s,
		variant: v,
		logger:  logger,
		metrics: reg,
		log:     loghttp.New(s.Platform.LogURL),
		hosts:   &members{HostList: hosthttp.New(s.Platform.HostListURL)},
		keys:    keyring.New(values),
	}
	if s.Platform.WeightsURL != "" {
		k.weights = weightshttp.New(s.Platform.WeightsURL)
	}
	k.config = follow.New(follow.Options{
		Self:       s,
		Log:        k.log,
		Members:    k.hosts.known,
		Logger:     logger,
		Metrics:    reg,
		Check:      v.Check,
		PeerKeys:   k.keys.PeerKeys,
		RetiredKey: k.keys.RetiredPeerKey,
	})
	k.quarantine = newEntryQuarantine(logger.Named("quarantine"), reg)
	k.fleet = reconcile.NewFleet(reconcile.FleetOptions{
		Members:   k.hosts.known,
		Weights:   k.weights,
		BytesPerS: float64(s.Platform.WeightsBytesPerS),
	})
	return k, nil
}

// parts makes what works beside the entry itself. peerAddr is where other entries reach it.
func (k *kit) parts(peerAddr string) entry.Parts {
	m := k.jobs(peerAddr)
	owner := newStage(m.Run)
	placement := k.placement()
	operators := k.operators(placement)
	return entry.Parts{
		Batch:  m,
		Jobs:   serveJobs(m),
		Config: k.config,
		Orders: k.fleet,
		SeeAll: placement.Candidate,
		Admin:  operators.Handler,
		Peers: servePeers([]peerRoute{
			{batch.PeerPath, m.PeerHandler},
			{follow.PeerPath, k.config.PeerHandler},
		}, k.logger),
		Ready:       []func() bool{isClosed(k.config.Ready())},
		ConfigFresh: k.config.Fresh,
		Run: []func(context.Context) error{k.config.Run, placement.Run, owner.run, func(ctx context.Context) error {
			return k.quarantine.Run(ctx, quarantine.NewLogStore(k.log))
		}},
		Drain: []func(context.Context){
			// An operator's watch is held for long; without this a stop would wait for it.
			func(context.Context) { operators.Close() },
			owner.drain,
		},
	}
}

func (k *kit) jobs(peerAddr string) *batch.Manager {
	return batch.New(batch.Options{
		Settings:   k.set,
		Log:        k.log,
		Config:     k.config,
		Members:    k.hosts.known,
		Logger:     k.logger,
		Metrics:    k.metrics,
		PeerAddr:   peerAddr,
		Check:      k.variant.Check,
		Broken:     k.variant.Broken,
		Tuning:     k.variant.Tuning,
		PeerKeys:   k.keys.PeerKeys,
		RetiredKey: k.keys.RetiredPeerKey,
	})
}

func (k *kit) placement() *reconcile.Reconciler {
	return reconcile.New(reconcile.Options{
		Self:    k.set,
		Log:     k.log,
		Config:  k.config,
		Members: k.hosts.known,
		Fleet:   k.fleet,
		Logger:  k.logger,
		Metrics: k.metrics,
	})
}

// view is what plans and status of this entry rest on.
func (k *kit) view(placement *reconcile.Reconciler) plan.View {
	return plan.View{
		Fleet:   k.fleet.View(k.config.Current()),
		Partial: k.set.MaxSides > 0 && !placement.Candidate(),
	}
}

func (k *kit) operators(placement *reconcile.Reconciler) *admin.Admin {
	return admin.New(admin.Options{
		Self:    k.set,
		Keys:    k.keys,
		Config:  k.config,
		Log:     k.log,
		View:    func() plan.View { return k.view(placement) },
		Weights: k.weights,
		Logger:  k.logger,
		Metrics: k.metrics,
	})
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
