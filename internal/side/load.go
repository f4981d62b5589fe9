package side

import (
	"context"
	"slices"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/reconcile"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// loadStep is by what share the time to the first token must change to be news.
const loadStep = 0.1

// load is the load now, as it goes with each End.
func (s *Side) load() structs.Load {
	l := s.queue.load()
	l.Target = s.target.ID
	l.Draining = s.draining.Load()
	l.Unhealthy = s.unhealthy()
	return l
}

// fullLoad has the loaded models too.
func (s *Side) fullLoad() *structs.Load {
	l := s.load()
	if r := s.report.Load(); r != nil {
		l.Models, l.Loaded = r.models, r.loaded
	} else {
		l.Models = s.target.Models
	}
	return &l
}

// engineReport is what an engine last said it has loaded.
type engineReport struct {
	models []structs.ModelID
	loaded []structs.Loaded
}

func newReport(l *platform.EngineLoad) *engineReport {
	loaded := reconcile.LoadedOf(l.Models)
	for i := range loaded {
		loaded[i].Version = l.Versions[loaded[i].Model]
	}
	return &engineReport{l.Models, loaded}
}

// reportLoads sends the load to all sessions on change, every LoadEvery at most and more rarely to many.
func (s *Side) reportLoads(ctx context.Context) error {
	var last structs.Load
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.loadDirty:
		}
		l := s.fullLoad()
		l.Prefixes = s.prefixes.take()
		if len(l.Prefixes) > 0 || !sameLoad(&last, l) {
			last = *l
			s.broadcast(&structs.Frame{Version: s.config.version(), Load: l})
		}
		if !sleep.For(ctx, LoadPace(s.o.Settings.LoadEvery, s.peers.count())) {
			return nil
		}
	}
}

func (s *Side) broadcast(f *structs.Frame) {
	for _, p := range s.peers.all() {
		each := *f
		p.send(&each)
	}
}

// sameLoad says that b is no news after a.
func sameLoad(a, b *structs.Load) bool {
	return a.OnlineInFlight == b.OnlineInFlight &&
		a.BatchInFlight == b.BatchInFlight &&
		a.OnlineQueued == b.OnlineQueued &&
		a.Limit == b.Limit &&
		a.Draining == b.Draining &&
		a.Unhealthy == b.Unhealthy &&
		near(a.FirstTokenUs, b.FirstTokenUs) &&
		slices.Equal(a.Models, b.Models) &&
		slices.EqualFunc(a.Loaded, b.Loaded, sameLoaded)
}

func sameLoaded(a, b structs.Loaded) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

func near(a, b int64) bool {
	return float64(max(a-b, b-a)) <= loadStep*float64(max(a, b))
}

// signal says that load or room may have changed. It never blocks.
func (s *Side) signal() {
	for _, ch := range [...]chan struct{}{s.loadDirty, s.roomDirty} {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// watchTarget asks an engine for its models, and probes a target that is unhealthy.
func (s *Side) watchTarget(ctx context.Context) error {
	for {
		s.look(ctx)
		if ps := s.peers.all(); len(ps) > 0 {
			s.config.catchUp(ps[0], time.Now()) // any of them: map order
		}
		if !sleep.For(ctx, watchEvery) {
			return nil
		}
	}
}

// watchEvery is the time between two looks at the target.
const watchEvery = 500 * time.Millisecond

func (s *Side) look(ctx context.Context) {
	ok := true
	if s.target.Kind == structs.KindEngine {
		ok = s.askEngine(ctx)
	}
	s.healthMu.Lock()
	defer s.healthMu.Unlock()
	now := time.Now()
	if !s.health.wantsProbe(now) {
		return
	}
	s.health.probed(now, ok)
	s.log.Info("target probed", "target", s.target.ID, "healthy", ok)
	s.signal()
}

// askEngine reads the engine's report and says whether it came.
func (s *Side) askEngine(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, s.o.Settings.TargetBudget)
	defer cancel()
	l, err := s.o.Engine.Load(ctx)
	if err != nil {
		if s.log.IsDebug() {
			s.log.Debug("engine gives no report", "target", s.target.ID, "error", err)
		}
		s.noReport(errs.As(err))
		return false
	}
	s.report.Store(newReport(&l))
	s.signal()
	return true
}

// noReport counts an engine that nothing listens for as unhealthy, before a request meets it.
func (s *Side) noReport(err *errs.Error) {
	if err.Type != errs.TargetFailed || err.Ran != errs.RanNo {
		return
	}
	s.healthMu.Lock()
	was := s.health.bad
	s.health.unreachable(time.Now())
	s.healthMu.Unlock()
	if !was {
		s.log.Warn("target counts as unhealthy", "target", s.target.ID, "why", err.Detail)
		s.signal()
	}
}

func (s *Side) models() []structs.ModelID {
	if r := s.report.Load(); r != nil {
		return r.models
	}
	return s.target.Models
}

func (s *Side) unhealthy() bool {
	s.healthMu.Lock()
	defer s.healthMu.Unlock()
	return s.health.bad
}
