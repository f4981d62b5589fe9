package side

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/admit"
	"arbutusramp/core/dedup"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/inbound"
	"arbutusramp/internal/keyring"
	"arbutusramp/internal/session"
	"arbutusramp/internal/settings"
)

const (
	// defaultBudget is for settings that name no TargetBudget.
	defaultBudget = 10 * time.Second
	// defaultLoadEvery is for settings that name no LoadEvery.
	defaultLoadEvery = 50 * time.Millisecond
	// cutGrace is how long requests that a drain cuts off have to send their End.
	cutGrace = time.Second
)

// Options are what a side is made of. Engine is set for a model engine, Service
// for a plain service.
type Options struct {
	Settings settings.Side
	Logger   hclog.Logger
	Metrics  metrics.Registry
	Engine   platform.Engine
	Service  platform.Service
	// Config folds configuration messages; nil leaves the settings in force.
	Config ConfigPort
	// Keys are the keys in force; nil takes those of Settings.
	Keys *keyring.Keyring
	// Probe tells whether the start of the target's process that ran at a time still runs; nil can't tell.
	Probe func(ctx context.Context, since time.Time) platform.ProbeResult
	// NoPreempt turns preemption off, as a baseline for experiments.
	NoPreempt bool
}

// Side is one side process.
type Side struct {
	o       Options
	log     hclog.Logger
	metrics *meters
	target  structs.TargetInfo

	ln       net.Listener
	statusLn net.Listener

	peers   *peers
	queue   *queue
	keys    *keyGate
	items   *items
	puller  *puller
	orders  *orders
	config  *configuration
	crashes *crashes

	healthMu sync.Mutex
	health   health
	report   atomic.Pointer[engineReport] // the engine's last one
	prefixes prefixes

	base     context.Context // of all runs at the target
	cut      context.CancelCauseFunc
	draining atomic.Bool
	// retired says that an operator takes host or target out of service: no more batch items are
	// pulled. Online requests still come while entries know no other target for them.
	retired atomic.Bool
	serving atomic.Bool
	active  atomic.Int64  // streams from Open to End
	still   chan struct{} // a token when something has ended while draining

	loadDirty chan struct{}
	roomDirty chan struct{}
}

// New binds the side's listeners. Error: errs.BadSettings.
func New(o Options) (*Side, error) {
	if err := check(&o); err != nil {
		return nil, err
	}
	s := build(o, time.Now())
	return s, s.listen()
}

// build makes a side that knows nothing of what ran before now.
func build(o Options, now time.Time) *Side {
	s := &Side{
		o: o, log: o.Logger, target: o.Settings.Target,
		metrics:   newMeters(o.Metrics),
		peers:     &peers{m: make(map[link]*peer)},
		still:     make(chan struct{}, 1),
		loadDirty: make(chan struct{}, 1),
		roomDirty: make(chan struct{}, 1),
	}
	s.base, s.cut = context.WithCancelCause(context.Background())
	s.queue = newQueue(admit.New(admit.Config{
		Headroom:  o.Settings.Headroom,
		MaxLimit:  o.Settings.MaxLimit,
		MaxQueue:  o.Settings.MaxQueue,
		NoPreempt: o.NoPreempt,
	}, now), s.signal)
	s.keys = &keyGate{m: dedup.New(dedup.Config{Window: o.Settings.KeyWindow}, now)}
	s.items = newItems(s)
	s.puller = &puller{s: s}
	s.orders = &orders{s: s}
	s.crashes = newCrashes(now)
	s.config = &configuration{port: o.Config, log: s.log, apply: s.configured}
	return s
}

func check(o *Options) error {
	o.Logger = cmp.Or(o.Logger, hclog.NewNullLogger())
	o.Metrics = cmp.Or(o.Metrics, metrics.NewRegistry())
	if o.Keys == nil {
		o.Keys = keyring.New(keyring.SideValues(o.Settings))
	}
	if o.Settings.TargetBudget <= 0 {
		o.Settings.TargetBudget = defaultBudget
	}
	if o.Settings.LoadEvery <= 0 {
		o.Settings.LoadEvery = defaultLoadEvery
	}
	if o.Settings.KeyWindow <= 0 {
		o.Settings.KeyWindow = dedup.DefaultWindow
	}
	switch {
	case o.Settings.Target.Kind == structs.KindEngine && o.Engine != nil:
		return nil
	case o.Settings.Target.Kind == structs.KindService && o.Service != nil:
		return nil
	}
	return errs.Newf(errs.BadSettings, "target %q has no adapter for its kind", o.Settings.Target.ID)
}

func (s *Side) listen() error {
	host, err := inbound.NewHost(s.o.Settings.Host.MemoryMB, s.o.Settings.Host.Descriptors)
	if err != nil {
		return errs.Newf(errs.BadSettings, "%v", err)
	}
	account := inbound.NewAccount(host, s.log.Named("inbound"), s.metrics.registry)
	ln, err := net.Listen("tcp", s.o.Settings.SessionAddr) // sessions have large windows
	if err != nil {
		return errs.Newf(errs.BadSettings, "listen for sessions: %v", err)
	}
	statusLn, err := inbound.Listen(context.Background(), s.o.Settings.StatusAddr)
	if err != nil {
		ln.Close()
		return errs.Newf(errs.BadSettings, "listen for status: %v", err)
	}
	s.ln, s.statusLn = account.Count(ln), account.Count(statusLn)
	return nil
}

// Keys returns the keys in force, for replacing them without a restart.
func (s *Side) Keys() *keyring.Keyring { return s.o.Keys }

// Addr returns the session listener's address.
func (s *Side) Addr() string { return s.ln.Addr().String() }

// StatusAddr returns the status listener's address.
func (s *Side) StatusAddr() string { return s.statusLn.Addr().String() }

// Run serves until ctx is cancelled, then drains: nothing new is taken, what is at the
// target finishes within DrainTimeout, items are given back.
func (s *Side) Run(ctx context.Context) error {
	status := s.serveStatus()
	server := session.Serve(s.ln, s.sessionOptions(), handler{s})
	s.serving.Store(true)
	s.log.Info("side serves", "target", s.target.ID, "sessions", s.Addr(), "status", s.StatusAddr())

	stop := s.loops()
	<-ctx.Done()
	s.drain()
	server.Close()
	err := stop()
	if closeErr := status.Shutdown(); err == nil && closeErr != nil {
		err = errs.Newf(errs.Internal, "close status listener: %v", closeErr)
	}
	return err
}

// loops starts what runs beside the sessions; stop ends it, and all that is at the target.
func (s *Side) loops() (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.reportLoads(ctx) })
	g.Go(func() error { return s.puller.run(ctx) })
	g.Go(func() error { return s.items.watch(ctx) })
	g.Go(func() error { return s.watchTarget(ctx) })
	return func() error {
		cancel()
		s.queue.stop()
		s.cut(drainingErr())
		return g.Wait()
	}
}

func (s *Side) sessionOptions() session.Options {
	return session.Options{
		Hello: structs.Hello{
			Host:        s.o.Settings.Host.ID,
			Domain:      s.o.Settings.Host.Domain,
			Region:      s.o.Settings.Host.Region,
			Incarnation: time.Now().UnixMilli(),
			Targets:     []structs.TargetInfo{s.target},
		},
		PeerKeys:   s.o.Keys.PeerKeys,
		RetiredKey: s.o.Keys.IsRetiredPeerKey,
		Logger:     s.log,
		Version:    s.config.version,
	}
}

// drain waits until nothing is in flight, DrainTimeout at most.
func (s *Side) drain() {
	s.draining.Store(true)
	s.tellDraining()
	s.log.Info("draining", "streams", s.active.Load())
	s.signal()
	s.queue.drain()
	s.items.drain()
	if s.awaitIdle(s.o.Settings.DrainTimeout) {
		s.log.Info("drained")
		return
	}
	s.log.Warn("drain timeout passed; requests are cut off", "streams", s.active.Load())
	s.cut(errs.New(errs.Draining, "the drain timeout passed").WithRan(errs.RanUnknown))
	s.awaitIdle(cutGrace)
}

func (s *Side) awaitIdle(d time.Duration) bool {
	timer := sleep.NewTimer(d)
	defer timer.Stop()
	for !s.idle() {
		select {
		case <-s.still:
		case <-timer.C:
			return s.idle()
		}
	}
	return true
}

// idle says that nothing is in flight, and no outcome waits that anybody could acknowledge.
func (s *Side) idle() bool {
	open, held := s.items.counts()
	if s.active.Load() > 0 || open > 0 {
		return false
	}
	return held == 0 || len(s.peers.all()) == 0
}

func (s *Side) entered() { s.active.Add(1) }

func (s *Side) left() {
	s.active.Add(-1)
	s.quiet()
}

// quiet wakes a drain to look whether all is done.
func (s *Side) quiet() {
	if !s.draining.Load() {
		return
	}
	select {
	case s.still <- struct{}{}:
	default:
	}
}

// targetAnswered notes that the target gave something.
func (s *Side) targetAnswered() {
	s.healthMu.Lock()
	was := s.health.bad
	s.health.answered()
	s.healthMu.Unlock()
	if was {
		s.log.Info("target answers again", "target", s.target.ID)
		s.signal()
	}
}

const (
	// probeTimeout bounds the question whether the target's process is there. It is on the same host.
	probeTimeout = 300 * time.Millisecond
	// diagnoseTimeout bounds how long the question is asked again while its answer shows nothing. Meanwhile the request is not sent to
	// another target, which it may crash as well.
	diagnoseTimeout = 2 * time.Second
	// probePause is the time between two questions.
	probePause = 50 * time.Millisecond
)

// diagnose finds out whether the target's process that had a run from a time on still runs after the run failed. The failure gets the
// type errs.TargetCrashed if it does not: entries count such crashes against the request. Without a probe the process is
// taken to be alive.
func (s *Side) diagnose(failure *errs.Error, began time.Time) (*errs.Error, platform.ProbeResult) {
	broke := failure.Type == errs.StreamBroken || failure.Type == errs.TargetFailed
	if s.o.Probe == nil || !broke || failure.Ran == errs.RanNo {
		return failure, platform.ProbeAlive
	}
	result := s.probe(began)
	if result != platform.ProbeGone {
		return failure, result
	}
	crashed := *failure
	crashed.Type, crashed.Start = errs.TargetCrashed, s.crashes.startOf(s.target.ID, began, time.Now())
	return &crashed, result
}

// probe asks whether the start of the target's process that had a run lives. An engine is asked until its answer shows that or
// diagnoseTimeout is over; a service that lives shows nothing.
func (s *Side) probe(began time.Time) platform.ProbeResult {
	asked := time.Now()
	for n := 1; ; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		result := s.o.Probe(ctx, began)
		cancel()
		if result != platform.ProbeUnknown || s.o.Engine == nil {
			return result
		}
		if time.Since(asked) >= diagnoseTimeout {
			s.log.Warn("not known whether the target has crashed", "target", s.target.ID, "probes", n, "ms", time.Since(asked).Milliseconds())
			return result
		}
		sleep.For(context.Background(), probePause)
	}
}

// targetFailed counts the target as unhealthy when it hung or could not be reached.
func (s *Side) targetFailed(err *errs.Error) {
	if err.Type != errs.TargetTimeout && err.Type != errs.TargetFailed && err.Type != errs.TargetCrashed {
		return
	}
	s.healthMu.Lock()
	s.health.failed(time.Now())
	s.healthMu.Unlock()
	s.metrics.targetFailures.Inc(1)
	s.log.Warn("target counts as unhealthy", "target", s.target.ID, "type", err.Type, "why", err.Detail)
	s.signal()
}
