package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	coreplatform "arbutusramp/core/platform"
	"arbutusramp/core/quota"
	"arbutusramp/internal/backlog"
	"arbutusramp/internal/bootclock"
	"arbutusramp/internal/dependency"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/gateway"
	"arbutusramp/internal/loadshare"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/quarantine"
	"arbutusramp/internal/quotas"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/storepath"
	"arbutusramp/internal/watch"
	"arbutusramp/platform/directory"
	"arbutusramp/platform/ingress"
	"arbutusramp/platform/runner"
	"arbutusramp/platform/store"
	"arbutusramp/platform/wire"
)

const (
	// startSpare slots stay free at a target after a batch item has started there, keepSpare
	// are made free again by preempting items. None: an online request gets its slot within a few
	// milliseconds by preemption.
	startSpare = 0
	keepSpare  = 0

	// spreadBytes is how many bytes of a text in the record of its result all gateways together may read. A text that lies apart costs
	// its reader a call, and its owner one; 512 KiB take the store's link as long as such calls take.
	spreadBytes = 512 << 10

	// headerTimeout bounds how long a caller may take for a request's header, idleTimeout how long
	// a connection stays open between requests. Both are above what the operator allows
	// callers, so that none is cut off that keeps to it.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes is likewise above the operator's limit.
	maxHeaderBytes = 64 << 10
)

// Gateway is a process that takes callers' requests on the users' platform.
type Gateway struct {
	set    settings.Gateway
	log    hclog.Logger
	reg    metrics.Registry
	view   *fleetview.View
	watch  *watch.Watch
	jobs   *backlog.Manager
	share  *loadshare.Share
	quotas *quotas.Quotas
	// quarantine keeps requests under which targets have crashed from reaching more.
	quarantine *quarantine.Quarantine
	paths      *storepath.Paths
	peers      *peerDirectory
	server     *http.Server
	callers    *conns
	sides      []*http.Server // of the other listeners: see readyOn
	sideOn     []net.Listener

	stopping atomic.Bool
	// rejecting says that requests that come now are rejected: the process ends soon.
	rejecting atomic.Bool
	active    atomic.Int64
	lastCall  atomic.Int64 // in nanoseconds since began
	began     time.Time
}

// NewGateway takes the process's listeners and wires its parts.
func NewGateway(s settings.Gateway, logger hclog.Logger, reg metrics.Registry) (*Gateway, error) {
	self := fmt.Sprintf("%s-%s", s.Host.ID, uuid.NewString()[:8])
	client := store.New(s.StoreAddr, reg)
	targets := runner.New()
	view := fleetview.New(fleet.Options{
		Domain: string(s.Host.Domain), Self: fleet.Peer(self),
		StartSpare: startSpare, KeepSpare: keepSpare, PeerTTL: loadshare.PeerTTL, Off: s.Off,
	})
	g := &Gateway{set: s, log: logger, reg: reg, view: view, began: time.Now()}
	g.quotas = quotas.New(self, quota.Options{Window: s.QuotaWindow, Excess: s.QuotaExcess, Slack: float64(s.QuotaSlack), ClaimTTL: claimTTL(s)}, reg)
	g.quarantine = quarantine.New(quarantine.Options{
		Threshold: s.QuarantineAfter, Hold: s.QuarantineHold, Off: s.Off, Prober: targets, Fleet: view, Log: logger.Named("quarantine"), Metrics: reg,
	})
	if err := g.reachStore(client, fleet.Peer(self)); err != nil {
		return nil, err
	}
	g.watch = watch.New(watch.Options{
		Directory: directory.New(g.paths, self), View: view, Quotas: g.quotas, Observer: g.quarantine, RevokeWithin: s.RevokeWithin,
		Clock: bootclock.Now, Log: logger.Named("watch"),
	})
	g.jobs = backlog.New(backlog.Options{Member: self, Shards: s.Shards, MinTTL: s.MinTTL, Keep: s.Keep, SpreadBytes: spreadBytes, Off: s.Off, Quarantine: g.quarantine, Rank: g.share.Rank},
		g.paths, targets, view, g.watch, logger.Named("backlog"), reg)
	online := gateway.New(gateway.Options{
		Targets: targets, View: view, Beliefs: g.watch, Access: g.watch, Quotas: g.quotas, Quarantine: g.quarantine, Off: s.Off,
		Log: logger.Named("online"), Metrics: reg,
	})
	if err := g.listen(); err != nil {
		return nil, err
	}
	peersLog := logger.Named("peers")
	g.peers = &peerDirectory{store: g.paths, share: g.share, self: peerListing{Domain: s.Host.Domain, Capacity: capacityOf(s)}, link: dependency.NewLink(peersLog, "peers' addresses"), log: peersLog}
	g.registerGauges()
	g.server = g.callersServer(&ingress.Handler{Router: g.watch, Online: online, Jobs: g.jobs, Closing: g.stopping.Load, Rejecting: g.rejecting.Load, Rejected: g.noteRejected()})
	g.log.Info("started", "id", s.Host.ID, "member", self, "domain", s.Host.Domain, "callers", s.CallerAddr, "store", s.StoreAddr, "shards", s.Shards, "policies_off", len(s.Off))
	return g, nil
}

// capacityOf is the processor time that a gateway may use.
func capacityOf(s settings.Gateway) fanout.Capacity {
	return fanout.CapacityOf(s.CPUShare * float64(s.Cores))
}

// defaultClaimTTL is how long a silent peer keeps its part of the quotas where keys may be relied upon for ever. It is longer than
// a restart takes.
const defaultClaimTTL = 6 * time.Second

// claimTTL is how long a silent peer keeps its part of the quotas: a peer that is cut off can't rely on keys for longer than
// the bound, counted from its last word.
func claimTTL(s settings.Gateway) time.Duration {
	if s.RevokeWithin == 0 {
		return defaultClaimTTL
	}
	return s.RevokeWithin + loadshare.PeerTTL
}

func (g *Gateway) callersServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           g.counted(h),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.callers.state,
		ErrorLog:          g.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// noteRejected returns what counts and logs requests that go no further than their route and key.
func (g *Gateway) noteRejected() func(request string, err error) {
	lines := logging.NewRoutine(g.log.Named("access"))
	return func(request string, err error) {
		outcome := string(errs.As(err).Type)
		metrics.GetOrRegisterCounter("access."+outcome, g.reg).Inc(1)
		lines.Info(time.Now(), "rejected", "request", request, "outcome", outcome, "config", g.watch.Version(),
			"config_age_ms", g.watch.Age().Milliseconds(), "error", err.Error())
	}
}

// counted follows how many requests are under way.
func (g *Gateway) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.active.Add(1)
		defer g.active.Add(-1)
		g.lastCall.Store(int64(time.Since(g.began)))
		h.ServeHTTP(w, r)
	})
}

// notReady says why callers should go elsewhere; "" when they need not.
func (g *Gateway) notReady() string {
	switch {
	case g.stopping.Load():
		return "stopping"
	case !g.watch.Ready():
		return "no configuration or no targets read"
	case g.watch.IsStale():
		return "configuration not confirmed for too long"
	case !g.jobs.Loaded():
		return "backlog not read"
	case !g.quarantine.Loaded():
		return "quarantine not read"
	}
	return ""
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	why := g.notReady()
	if r.URL.Path != wire.PathReady {
		http.NotFound(w, r)
		return
	}
	if why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Run serves until ctx ends, then drains.
func (g *Gateway) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	parts, work := errgroup.WithContext(work)
	parts.Go(func() error { return g.watch.Run(work) })
	parts.Go(func() error { return g.share.Run(work) })
	parts.Go(func() error { return g.peers.run(work) })
	parts.Go(func() error { return g.quarantine.Run(work, g.paths) })
	for i := range g.sides {
		parts.Go(func() error { return served(g.sides[i].Serve(g.sideOn[i])) })
	}
	parts.Go(func() error { return served(g.server.Serve(g.callers)) })
	jobsOver := make(chan error, 1)
	go func() { jobsOver <- g.jobs.Run(ctx) }()
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	g.stopping.Store(true)
	drain(g, g.set.Grace, g.log)
	g.breakOff() // nothing is under way; this ends the server's loop
	err := <-jobsOver
	stopWork()
	for _, s := range g.sides {
		_ = s.Close() // nobody waits for their answers any more
	}
	if partsErr := parts.Wait(); partsErr != nil {
		err = partsErr
	}
	g.log.Info("stopped", "error", err)
	return err
}

// CallerAddr is where callers reach the process.
func (g *Gateway) CallerAddr() string { return g.callers.Addr().String() }

// ReadyAddr is where the balancer asks whether the process is ready.
func (g *Gateway) ReadyAddr() string { return g.sideOn[readyOn].Addr().String() }

// MetricsAddr is where the metrics are.
func (g *Gateway) MetricsAddr() string { return g.sideOn[metricsOn].Addr().String() }

// inFlight is the number of requests under way.
func (g *Gateway) inFlight() int64 { return g.active.Load() }

// quietFor implements callerSide.
func (g *Gateway) quietFor() time.Duration {
	return time.Since(g.began) - time.Duration(g.lastCall.Load())
}

// busy implements callerSide.
func (g *Gateway) busy() int { return g.callers.busy() }

// closeIdle implements callerSide.
func (g *Gateway) closeIdle() { g.callers.closeIdle() }

// stopTaking implements callerSide.
func (g *Gateway) stopTaking() {
	g.rejecting.Store(true)
	if err := g.callers.Close(); err != nil {
		g.log.Warn("listener not closed", "error", err)
	}
}

// breakOff implements callerSide.
func (g *Gateway) breakOff() {
	if err := g.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		g.log.Warn("connections not closed", "error", err)
	}
}

// served drops the error of a server that was closed, or whose listener was.
func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// GatewayReloader reads a gateway's settings file again.
type GatewayReloader struct {
	path  string
	start settings.Gateway
	log   hclog.Logger
}

// NewGatewayReloader returns the reloader of a gateway that was started with s from the file path.
func NewGatewayReloader(path string, s settings.Gateway, logger hclog.Logger) *GatewayReloader {
	return &GatewayReloader{path: path, start: s, log: logger}
}

// Reload puts the log level into force and names what needs a restart. Error: errs.BadSettings.
func (r *GatewayReloader) Reload() error {
	now, err := settings.LoadGateway(r.path)
	if err != nil {
		r.log.Error("settings not reloaded", "error", err)
		return err
	}
	r.log.SetLevel(hclog.LevelFromString(now.Logs.Level))
	r.log.Info("settings reloaded", "level", now.Logs.Level, "needs_restart", strings.Join(settings.GatewayRestart(r.start, now), ", "))
	return nil
}

var _ coreplatform.Store = (*store.Client)(nil)
