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

// EntryOverrides overrides the construction of an entry for tests and experiments. The zero value overrides nothing.
type EntryOverrides struct {
	// Checker counts violations of the system's invariants. Several entries may share it; if it is nil, each
	// entry counts its own.
	Checker *invariant.Checker
	// DisabledGuards disables guards in the state of job shards, so that tests can show that the invariants detect
	// the resulting faults.
	DisabledGuards jobs.Broken
	// Tuning replaces durations and bounds of the job shards that are not settings.
	Tuning batch.Tuning
}

// NewEntry returns an entry, which is the process that accepts requests of callers and sends them to sides. The
// entry listens, but serves only after its Run is called. Error: errs.BadSettings.
func NewEntry(s settings.Entry, logger hclog.Logger, reg metrics.Registry) (*entry.Entry, error) {
	return NewEntryWithOverrides(s, logger, reg, EntryOverrides{})
}

// NewEntryWithOverrides is like NewEntry, with overrides applied.
func NewEntryWithOverrides(s settings.Entry, logger hclog.Logger, reg metrics.Registry, overrides EntryOverrides) (*entry.Entry, error) {
	c, err := newEntryComponents(s, logger, reg, overrides)
	if err != nil {
		return nil, err
	}
	e, err := entry.New(entry.Options{
		Settings: s,
		Logger:   logger,
		Metrics:  reg,
		Log:      c.platformLog,
		Hosts:    c.hosts,
		Weights:  c.weights,
		Config:   c.config,
		Keys:     c.keys,

		Quarantine: c.quarantine,
	})
	if err != nil {
		return nil, err
	}
	e.Join(c.newParts(e.PeerAddr()))
	return e, nil
}

// entryComponents holds the settings, clients and state that the parts of one entry process share.
type entryComponents struct {
	settings    settings.Entry
	overrides   EntryOverrides
	logger      hclog.Logger
	metrics     metrics.Registry
	platformLog platform.Log
	hosts       *cachedHostList
	weights     platform.WeightStore // sizes of model weights; nil if the settings name no URL, plans then show no sizes
	keys        *keyring.Keyring
	config      *follow.Follower
	fleet       *reconcile.Fleet
	// quarantine blocks requests whose content has crashed targets.
	quarantine entryQuarantine
}

// newEntryComponents creates the components of an entry with settings s. Error: errs.BadSettings.
func newEntryComponents(s settings.Entry, logger hclog.Logger, reg metrics.Registry, overrides EntryOverrides) (*entryComponents, error) {
	values, err := keyring.EntryValues(s)
	if err != nil {
		return nil, err
	}
	c := &entryComponents{
		settings:    s,
		overrides:   overrides,
		logger:      logger,
		metrics:     reg,
		platformLog: loghttp.New(s.Platform.LogURL),
		hosts:       &cachedHostList{HostList: hosthttp.New(s.Platform.HostListURL)},
		keys:        keyring.New(values),
	}
	if s.Platform.WeightsURL != "" {
		c.weights = weightshttp.New(s.Platform.WeightsURL)
	}
	c.config = follow.New(follow.Options{
		Self:       s,
		Log:        c.platformLog,
		Members:    c.hosts.lastHosts,
		Logger:     logger,
		Metrics:    reg,
		Check:      overrides.Checker,
		PeerKeys:   c.keys.PeerKeys,
		RetiredKey: c.keys.IsRetiredPeerKey,
	})
	c.quarantine = newEntryQuarantine(logger.Named("quarantine"), reg)
	c.fleet = reconcile.NewFleet(reconcile.FleetOptions{
		Members:   c.hosts.lastHosts,
		Weights:   c.weights,
		BytesPerS: float64(s.Platform.WeightsBytesPerS),
	})
	return c, nil
}

// newParts builds the parts that the entry runs besides its listeners. peerAddr is the address at which other
// entries reach this one.
func (c *entryComponents) newParts(peerAddr string) entry.Parts {
	manager := c.newBatchManager(peerAddr)
	jobOwner := newDrainableTask(manager.Run)
	reconciler := c.newReconciler()
	adminAPI := c.newAdmin(reconciler)
	return entry.Parts{
		Batch:  manager,
		Jobs:   newJobsHandler(manager),
		Config: c.config,
		Orders: c.fleet,
		SeeAll: reconciler.Candidate,
		Admin:  adminAPI.Handler,
		Peers: serveEntryPeers([]entryPeerRoute{
			{batch.PeerPath, manager.PeerHandler},
			{follow.PeerPath, c.config.PeerHandler},
		}, c.logger),
		Ready:       []func() bool{newClosedCheck(c.config.Ready())},
		ConfigFresh: c.config.Fresh,
		Run: []func(context.Context) error{c.config.Run, reconciler.Run, jobOwner.run, func(ctx context.Context) error {
			return c.quarantine.Run(ctx, quarantine.NewLogStore(c.platformLog))
		}},
		Drain: []func(context.Context){
			// A watch request of an operator stays open for long. The drain would wait for it, so it is closed.
			func(context.Context) { adminAPI.Close() },
			jobOwner.drain,
		},
	}
}

// newBatchManager returns the manager of batch jobs.
func (c *entryComponents) newBatchManager(peerAddr string) *batch.Manager {
	return batch.New(batch.Options{
		Settings:   c.settings,
		Log:        c.platformLog,
		Config:     c.config,
		Members:    c.hosts.lastHosts,
		Logger:     c.logger,
		Metrics:    c.metrics,
		PeerAddr:   peerAddr,
		Check:      c.overrides.Checker,
		Broken:     c.overrides.DisabledGuards,
		Tuning:     c.overrides.Tuning,
		PeerKeys:   c.keys.PeerKeys,
		RetiredKey: c.keys.IsRetiredPeerKey,
	})
}

// newReconciler returns the part that places models and services on the fleet.
func (c *entryComponents) newReconciler() *reconcile.Reconciler {
	return reconcile.New(reconcile.Options{
		Self:    c.settings,
		Log:     c.platformLog,
		Config:  c.config,
		Members: c.hosts.lastHosts,
		Fleet:   c.fleet,
		Logger:  c.logger,
		Metrics: c.metrics,
	})
}

// planView returns the view of the fleet from which the admin API computes plans and status. It is partial if
// this entry has sessions to only a part of the sides.
func (c *entryComponents) planView(reconciler *reconcile.Reconciler) plan.View {
	return plan.View{
		Fleet:   c.fleet.View(c.config.Current()),
		Partial: c.settings.MaxSides > 0 && !reconciler.Candidate(),
	}
}

// newAdmin returns the administration API.
func (c *entryComponents) newAdmin(reconciler *reconcile.Reconciler) *admin.Admin {
	return admin.New(admin.Options{
		Self:    c.settings,
		Keys:    c.keys,
		Config:  c.config,
		Log:     c.platformLog,
		View:    func() plan.View { return c.planView(reconciler) },
		Weights: c.weights,
		Logger:  c.logger,
		Metrics: c.metrics,
	})
}

// newJobsHandler returns a handler of job requests that calls manager with the workspace of the caller.
func newJobsHandler(manager *batch.Manager) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		caller, ok := entry.CallerOf(ctx)
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusUnauthorized)
			return
		}
		manager.CallerHandler(ctx, caller.Workspace)
	}
}

// newClosedCheck returns a function that reports whether c has been closed.
func newClosedCheck(c <-chan struct{}) func() bool {
	return func() bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
}
