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
	"arbutusramp/core/fairshare"
	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	coreplatform "arbutusramp/core/platform"
	"arbutusramp/core/policy"
	"arbutusramp/core/quota"
	"arbutusramp/internal/backlog"
	"arbutusramp/internal/bootclock"
	"arbutusramp/internal/dependency"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/gateway"
	"arbutusramp/internal/inbound"
	"arbutusramp/internal/loadshare"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/origins"
	"arbutusramp/internal/quarantine"
	"arbutusramp/internal/quotas"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/stopping"
	"arbutusramp/internal/storepath"
	"arbutusramp/internal/watch"
	"arbutusramp/platform/directory"
	"arbutusramp/platform/features"
	"arbutusramp/platform/ingress"
	"arbutusramp/platform/runner"
	"arbutusramp/platform/store"
	"arbutusramp/platform/wire"
)

const (
	// startSpareSlots is how many slots of a target must stay free when a batch item starts there.
	// keepSpareSlots is how many slots are kept free by preempting running batch items. Both are 0: an online
	// request gets its slot within a few milliseconds by preemption.
	startSpareSlots = 0
	keepSpareSlots  = 0

	// inlineReadBytes bounds which result texts are stored in the record of their result, which all gateways
	// read: it is the number of bytes that they may read of one text in total. Longer texts are stored
	// separately, which costs one call for the reader and one for the owner of the text. Reading 512 KiB takes
	// as much time on the link of the store as these two calls.
	inlineReadBytes = 512 << 10

	// textMemoryShare is the share of the host's memory for what the texts of batch items have beyond their expected length.
	textMemoryShare = 0.08
)

// Gateway is a gateway process. It serves the online requests and batch jobs of callers on the users' platform.
type Gateway struct {
	settings  settings.Gateway
	log       hclog.Logger
	reg       metrics.Registry
	view      *fleetview.View
	watch     *watch.Watch
	jobs      *backlog.Manager
	loadShare *loadshare.Sharer
	quotas    *quotas.Quotas
	// quarantine blocks requests whose content has crashed targets.
	quarantine *quarantine.Quarantine
	origins    *origins.Registry
	storePaths *storepath.Paths
	peers      *peerDirectory
	server     *http.Server // serves callers
	callers    *inbound.Listener
	host       inbound.Host
	// account divides the memory and the descriptors of the process between its clients.
	account      *inbound.Account
	auxServers   []*http.Server // servers of auxListeners, at the same indexes
	auxListeners []net.Listener // the listeners other than that for callers; see readyListener

	stop       *stopping.Stop
	isStopping atomic.Bool // Run has begun to drain the process
	// isRejecting is true when new requests are rejected because the process exits soon.
	isRejecting   atomic.Bool
	inFlightCount atomic.Int64
	lastRequestAt atomic.Int64 // arrival of the last request, in nanoseconds since began
	began         time.Time    // when the process was created
}

// NewGateway opens the listeners of the process and connects its parts. Requests are served only after Run is
// called.
func NewGateway(s settings.Gateway, logger hclog.Logger, reg metrics.Registry) (*Gateway, error) {
	self := fmt.Sprintf("%s-%s", s.Host.ID, uuid.NewString()[:8])
	client := store.New(s.StoreAddr, reg)
	targets := runner.New()
	badHeaders := newInvalidHeaders(logger.Named("headers"), reg)
	targets.OnInvalidHeader = badHeaders.record
	targets.OnInvalidAnswer = newInvalidAnswerRecorder(logger.Named("targets"), reg)
	view := fleetview.New(fleet.Options{
		Domain: string(s.Host.Domain), Self: fleet.Peer(self),
		MinFreeAfterStart: startSpareSlots, MinFreeSlots: keepSpareSlots, PeerTTL: loadshare.PeerTTL, Disabled: s.Off,
		ExpectedTime: expectedTimeMode(s), YieldsInOverload: s.YieldsInOverload, Sharing: sharingOptions(s),
	})
	host, err := inbound.NewHost(s.Host.MemoryMB, s.Host.Descriptors)
	if err != nil {
		return nil, err
	}
	g := &Gateway{settings: s, log: logger, reg: reg, view: view, host: host, account: inbound.NewAccount(host, logger.Named("inbound"), reg), stop: stopping.New(), began: time.Now()}
	g.quotas = quotas.New(self, quota.Options{Window: s.QuotaWindow, MaxExcessShare: s.QuotaExcess, MaxExcessRequests: float64(s.QuotaSlack), PeerShareTTL: claimTTL(s)}, reg)
	g.quarantine = quarantine.New(quarantine.Options{
		Threshold: s.QuarantineAfter, Hold: s.QuarantineHold, Disabled: s.Off, Prober: targets, Fleet: view, Log: logger.Named("quarantine"), Metrics: reg,
	})
	g.origins = origins.New(logger.Named("origins"), reg)
	if err := g.openStorePaths(client, fleet.Peer(self)); err != nil {
		return nil, err
	}
	g.origins.SetTransport(g.loadShare)
	g.watch = watch.New(watch.Options{
		Directory: directory.New(g.storePaths, self), View: view, Quotas: g.quotas, Observer: g.quarantine, RevokeWithin: s.RevokeWithin, Weights: s.SharingWeights, TargetLinger: s.TargetLinger, Peers: g.origins,
		Clock: bootclock.Now, Log: logger.Named("watch"),
	})
	g.origins.SetHistory(g.watch)
	g.jobs = backlog.New(backlog.Options{MemberID: self, Shards: s.Shards, MinTTL: s.MinTTL, KeepFor: s.Keep, MaxInlineReadBytes: inlineReadBytes, Disabled: s.Off, Rank: g.loadShare.Rank, MaxJobBytes: func() int64 { return g.peers.maxJobBytes() }, MaxExcessText: int(textMemoryShare * float64(host.MemoryBytes)), Ending: g.stop.Ending().Done()},
		g.storePaths, targets, view, g.watch, logger.Named("backlog"), reg)
	online := gateway.New(gateway.Options{
		Targets: targets, View: view, Config: g.watch, Access: g.watch, Quotas: g.quotas, Quarantine: g.quarantine, Origins: g.origins, Versions: g.watch, Prober: targets, Disabled: s.Off, AnswerMemory: g.account.Answers(), Stop: g.stop,
		Log: logger.Named("online"), Metrics: reg,
	})
	if err := g.listen(); err != nil {
		return nil, err
	}
	peersLog := logger.Named("peers")
	g.peers = &peerDirectory{store: g.storePaths, loadShare: g.loadShare, self: peerRecord{Domain: s.Host.Domain, Capacity: cpuCapacity(s), MemoryBytes: host.MemoryBytes}, storeLink: dependency.NewLink(peersLog, "peer addresses"), log: peersLog}
	g.registerGauges()
	g.server = g.callers.NewServer(g.countRequests(&ingress.Handler{Router: g.watch, Online: online, Jobs: g.jobs, IsClosing: g.isStopping.Load, IsRejecting: g.isRejecting.Load, OnRejected: g.newRejectionRecorder(), OnInvalidHeader: badHeaders.record, OnPanic: g.recordPanic}))
	g.log.Info("started", "id", s.Host.ID, "member", self, "domain", s.Host.Domain, "callers", s.CallerAddr, "store", s.StoreAddr, "shards", s.Shards, "policies_off", len(s.Off))
	return g, nil
}

// expectedTimeMode returns for which services targets are chosen by expected time.
func expectedTimeMode(s settings.Gateway) fleet.ExpectedTimeMode {
	switch {
	case s.ExpectedTime == "on":
		return fleet.ExpectedTimeOn
	case s.ExpectedTime == "auto":
		return fleet.ExpectedTimeAuto
	}
	return fleet.ExpectedTimeOff
}

// sharingOptions returns how the capacity is divided between workspaces; nil if it is not.
func sharingOptions(s settings.Gateway) *fairshare.Options {
	if !s.IsSharing && !features.FromContracts(s.Contracts).IsSharingRequired || !s.Off.IsEnabled(policy.FairShare) {
		return nil
	}
	return &fairshare.Options{Window: s.SharingWindow, Weights: s.SharingWeights}
}

// cpuCapacity returns the processor time that a gateway may use: CPUShare of all its cores.
func cpuCapacity(s settings.Gateway) fanout.Capacity {
	return fanout.CapacityFromCores(s.CPUShare * float64(s.Cores))
}

// defaultClaimTTL is the value of claimTTL if RevokeWithin is 0, so that keys are trusted without a time limit. It
// is longer than a restart takes.
const defaultClaimTTL = 6 * time.Second

// claimTTL returns for how long a gateway that sends no messages to its peers keeps its share of the workspaces'
// quotas. A gateway that is cut off trusts keys, and so admits requests, for at most RevokeWithin after its last
// message.
func claimTTL(s settings.Gateway) time.Duration {
	if s.RevokeWithin == 0 {
		return defaultClaimTTL
	}
	return s.RevokeWithin + loadshare.PeerTTL
}

// newRejectionRecorder returns a function that counts and logs a request that was rejected because no route
// matches it or its key is not valid.
func (g *Gateway) newRejectionRecorder() func(request string, err error) {
	rejectedLog := logging.NewRoutine(g.log.Named("access"))
	return func(request string, err error) {
		outcome := string(errs.As(err).Type)
		metrics.GetOrRegisterCounter("access."+outcome, g.reg).Inc(1)
		rejectedLog.Info(time.Now(), "rejected", "request", request, "outcome", outcome, "config", g.watch.Version(),
			"config_age_ms", g.watch.Age().Milliseconds(), "error", err.Error())
	}
}

// panicMetric counts the requests during which the process has panicked.
const panicMetric = "panics"

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 8 << 10

// recordPanic counts and logs a panic while a request was served.
func (g *Gateway) recordPanic(request string, value any, stack []byte) {
	metrics.GetOrRegisterCounter(panicMetric, g.reg).Inc(1)
	g.log.Error("panic", "request", request, "value", fmt.Sprint(value), "stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// countRequests wraps h to count the requests in flight and to record when the last one arrived.
func (g *Gateway) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inFlightCount.Add(1)
		defer g.inFlightCount.Add(-1)
		g.lastRequestAt.Store(int64(time.Since(g.began)))
		h.ServeHTTP(w, r)
	})
}

// notReadyReason returns why the process is not ready, so that callers should use another gateway; "" if it is.
func (g *Gateway) notReadyReason() string {
	switch {
	case g.isStopping.Load():
		return "stopping"
	case !g.watch.IsReady():
		return "configuration or targets not read"
	case g.watch.IsStale():
		return "configuration not confirmed for too long"
	case !g.jobs.IsLoaded():
		return "backlog not read"
	case !g.quarantine.IsLoaded():
		return "quarantine not read"
	}
	return ""
}

// serveReady answers the readiness checks of the balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	reason := g.notReadyReason()
	if r.URL.Path != wire.PathReady {
		http.NotFound(w, r)
		return
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Run serves until ctx ends or a part fails, then drains and stops. It returns the error of a failed part.
func (g *Gateway) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return g.watch.Run(workCtx) })
	group.Go(func() error { return g.loadShare.Run(workCtx) })
	group.Go(func() error { return g.peers.run(workCtx) })
	group.Go(func() error { return g.origins.Run(workCtx) })
	group.Go(func() error { return g.quarantine.Run(workCtx, g.storePaths) })
	for i := range g.auxServers {
		group.Go(func() error { return ignoreClosed(g.auxServers[i].Serve(g.auxListeners[i])) })
	}
	group.Go(func() error { return ignoreClosed(g.server.Serve(g.callers)) })
	jobsDone := make(chan error, 1)
	go func() { jobsDone <- g.jobs.Run(ctx) }()
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
	}
	g.isStopping.Store(true)
	drain(g, g.settings.Grace, g.log)
	g.closeAll() // no request is in flight any more; this ends the server's accept loop
	err := <-jobsDone
	cancelWork()
	for _, s := range g.auxServers {
		_ = s.Close() // requests at these listeners need not be answered any more
	}
	if groupErr := group.Wait(); groupErr != nil {
		err = groupErr
	}
	g.log.Info("stopped", "error", err)
	return err
}

// RuntimeBytes returns the memory that the Go runtime of the process should stay within, in bytes.
func (g *Gateway) RuntimeBytes() int64 { return g.host.RuntimeBytes() }

// CallerAddr returns the address of the listener for callers.
func (g *Gateway) CallerAddr() string { return g.callers.Addr().String() }

// ReadyAddr returns the address of the listener for readiness checks.
func (g *Gateway) ReadyAddr() string { return g.auxListeners[readyListener].Addr().String() }

// MetricsAddr returns the address of the listener for metrics.
func (g *Gateway) MetricsAddr() string { return g.auxListeners[metricsListener].Addr().String() }

// inFlight returns the number of caller requests that are being served.
func (g *Gateway) inFlight() int64 { return g.inFlightCount.Load() }

// idleTime implements callerConns.
func (g *Gateway) idleTime() time.Duration {
	return time.Since(g.began) - time.Duration(g.lastRequestAt.Load())
}

// countBusy implements callerConns.
func (g *Gateway) countBusy() int { return g.callers.CountBusy() }

// beginStop implements callerConns.
func (g *Gateway) beginStop(t stopping.Times) { g.stop.Begin(t) }

// checkBodies implements callerConns.
func (g *Gateway) checkBodies() { g.callers.CheckBodies() }

// answerAll implements callerConns.
func (g *Gateway) answerAll() {
	g.stop.End()
	g.callers.EndReads(errs.New(errs.Draining, "the process stops before the request has arrived").WithRetry(stopping.RetryAfter))
}

// closeIdle implements callerConns.
func (g *Gateway) closeIdle() { g.callers.CloseIdle() }

// stopAccepting implements callerConns.
func (g *Gateway) stopAccepting() {
	g.isRejecting.Store(true)
	if err := g.callers.Close(); err != nil {
		g.log.Warn("failed to close the listener", "error", err)
	}
}

// closeAll implements callerConns.
func (g *Gateway) closeAll() {
	if err := g.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		g.log.Warn("failed to close the connections", "error", err)
	}
}

// ignoreClosed returns err, or nil if err says that the server or its listener was closed, which is how a server
// ends when the process stops.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// GatewayReloader reloads the settings file of a running gateway. Only the log level is applied without a restart.
type GatewayReloader struct {
	path          string
	startSettings settings.Gateway
	log           hclog.Logger
}

// NewGatewayReloader returns the reloader of a gateway that was started with s from the file at path.
func NewGatewayReloader(path string, s settings.Gateway, logger hclog.Logger) *GatewayReloader {
	return &GatewayReloader{path: path, startSettings: s, log: logger}
}

// Reload reads the settings file again, applies its log level and logs which changed settings need a restart.
// A file with errors changes nothing. Error: errs.BadSettings.
func (r *GatewayReloader) Reload() error {
	current, err := settings.LoadGateway(r.path)
	if err != nil {
		r.log.Error("settings not reloaded", "error", err)
		return err
	}
	r.log.SetLevel(hclog.LevelFromString(current.Logs.Level))
	r.log.Info("settings reloaded", "level", current.Logs.Level, "needs_restart", strings.Join(settings.GatewayRestart(r.startSettings, current), ", "))
	return nil
}

var _ coreplatform.Store = (*store.Client)(nil)
