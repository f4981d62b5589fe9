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

// Variant changes an entry for tests and experiments. The zero value changes nothing.
type Variant struct {
	// Check counts violations of invariants across several entries; if nil, each entry counts its own.
	Check *invariant.Checker
	// Broken disables guards of the job shards.
	Broken jobs.Broken
	// Tuning replaces durations and bounds of the job shards.
	Tuning batch.Tuning
}

// NewEntry returns an entry that listens but does not run yet. Errors: errs.BadSettings.
func NewEntry(s settings.Entry, logger hclog.Logger, reg metrics.Registry) (*entry.Entry, error) {
	return NewEntryVariant(s, logger, reg, Variant{})
}

// NewEntryVariant is like NewEntry, with the changes of v.
func NewEntryVariant(s settings.Entry, logger hclog.Logger, reg metrics.Registry, v Variant) (*entry.Entry, error) {
	c, err := newEntryComponents(s, logger, reg, v)
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

// entryComponents holds what the parts of one entry process share.
type entryComponents struct {
	settings    settings.Entry
	variant     Variant
	logger      hclog.Logger
	metrics     metrics.Registry
	platformLog platform.Log
	hosts       *cachedHostList
	weights     platform.WeightStore // nil without a URL; plans then show no sizes
	keys        *keyring.Keyring
	config      *follow.Follower
	fleet       *reconcile.Fleet
	// quarantine blocks requests that have crashed targets.
	quarantine entryQuarantine
}

func newEntryComponents(s settings.Entry, logger hclog.Logger, reg metrics.Registry, v Variant) (*entryComponents, error) {
	values, err := keyring.EntryValues(s)
	if err != nil {
		return nil, err
	}
	c := &entryComponents{
		settings:    s,
		variant:     v,
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
		Check:      v.Check,
		PeerKeys:   c.keys.PeerKeys,
		RetiredKey: c.keys.RetiredPeerKey,
	})
	c.quarantine = newEntryQuarantine(logger.Named("quarantine"), reg)
	c.fleet = reconcile.NewFleet(reconcile.FleetOptions{
		Members:   c.hosts.lastHosts,
		Weights:   c.weights,
		BytesPerS: float64(s.Platform.WeightsBytesPerS),
	})
	return c, nil
}

// newParts builds the parts that work besides the listeners of the entry. peerAddr is where other entries
// reach it.
func (c *entryComponents) newParts(peerAddr string) entry.Parts {
	manager := c.newBatchManager(peerAddr)
	jobOwner := newDrainableTask(manager.Run)
	reconciler := c.newReconciler()
	adminAPI := c.newAdmin(reconciler)
	return entry.Parts{
		Batch:  manager,
		Jobs:   serveJobs(manager),
		Config: c.config,
		Orders: c.fleet,
		SeeAll: reconciler.Candidate,
		Admin:  adminAPI.Handler,
		Peers: servePeers([]peerRoute{
			{batch.PeerPath, manager.PeerHandler},
			{follow.PeerPath, c.config.PeerHandler},
		}, c.logger),
		Ready:       []func() bool{checkClosed(c.config.Ready())},
		ConfigFresh: c.config.Fresh,
		Run: []func(context.Context) error{c.config.Run, reconciler.Run, jobOwner.run, func(ctx context.Context) error {
			return c.quarantine.Run(ctx, quarantine.NewLogStore(c.platformLog))
		}},
		Drain: []func(context.Context){
			// An operator's watch request stays open for long; unless it is closed, the stop waits for it.
			func(context.Context) { adminAPI.Close() },
			jobOwner.drain,
		},
	}
}

func (c *entryComponents) newBatchManager(peerAddr string) *batch.Manager {
	return batch.New(batch.Options{
		Settings:   c.settings,
		Log:        c.platformLog,
		Config:     c.config,
		Members:    c.hosts.lastHosts,
		Logger:     c.logger,
		Metrics:    c.metrics,
		PeerAddr:   peerAddr,
		Check:      c.variant.Check,
		Broken:     c.variant.Broken,
		Tuning:     c.variant.Tuning,
		PeerKeys:   c.keys.PeerKeys,
		RetiredKey: c.keys.RetiredPeerKey,
	})
}

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

// planView returns the view of the fleet for plans and status of this entry.
func (c *entryComponents) planView(reconciler *reconcile.Reconciler) plan.View {
	return plan.View{
		Fleet:   c.fleet.View(c.config.Current()),
		Partial: c.settings.MaxSides > 0 && !reconciler.Candidate(),
	}
}

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

// serveJobs returns a handler that passes requests for jobs on with the workspace of their caller.
func serveJobs(manager *batch.Manager) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		caller, ok := entry.CallerOf(ctx)
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusUnauthorized)
			return
		}
		manager.CallerHandler(ctx, caller.Workspace)
	}
}

// checkClosed returns a function that reports whether c has been closed.
func checkClosed(c <-chan struct{}) func() bool {
	return func() bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
}
