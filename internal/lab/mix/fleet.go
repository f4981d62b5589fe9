package mix

import (
	"context"
	"fmt"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/enginehttp"
	"arbutusramp/internal/adapter/hosthttp"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/adapter/servicehttp"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/side"
	"arbutusramp/standin/engine"
	"arbutusramp/standin/hostlist"
	"arbutusramp/standin/service"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

const (
	loopback       = "127.0.0.1:0"
	workspace      = structs.WorkspaceID("mix")
	workspaceKey   = "mix-workspace-key"
	serviceLatency = 5 * time.Millisecond
	hostListLag    = 2 * time.Second
	drainTimeout   = 30 * time.Second
	maxInFlight    = 4096 // of the workspace, at one entry
)

// fleet is one system under test with its stand-ins, in this process.
type fleet struct {
	shape    shape
	logger   hclog.Logger
	hosts    *hostlist.Server
	engines  []*engine.Server
	services []*service.Server
	sides    []*process // engines' sides first, then services'
	entries  []*process
	feed     *feed
	links    *links // nil unless a fault cuts or pauses connections

	closers []func()
}

// process is one entry or side that runs in this process.
type process struct {
	host   structs.HostID
	domain structs.FailureDomain
	addr   string // callers' listener of an entry, session listener of a side
	entry  *entry.Entry
	side   *side.Side
	stop   context.CancelFunc // starts a planned stop
	done   chan struct{}      // closed when Run has returned
	err    error              // of Run, valid once done is closed
}

// setup is how a fleet is run.
type setup struct {
	headroom  float64
	noPreempt bool
	feed      *feed // nil: no batch
	links     bool
	seed      uint64
	logger    hclog.Logger
}

// startFleet brings up stand-ins, sides and entries.
func startFleet(s shape, o setup) (*fleet, error) {
	f := &fleet{shape: s, logger: o.logger, feed: o.feed}
	if o.links {
		f.links = newLinks()
		f.closers = append(f.closers, f.links.close)
	}
	if err := f.start(o); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(o setup) error {
	if err := f.startStandins(o.seed); err != nil {
		return err
	}
	for i := range f.engines {
		if err := f.startSide(i, f.engineSide(i), o); err != nil {
			return err
		}
	}
	for i := range f.services {
		if err := f.startSide(i, f.serviceSide(i), o); err != nil {
			return err
		}
	}
	state := f.state(o.headroom)
	for i := range f.shape.entries {
		if err := f.startEntry(i, state); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startStandins(seed uint64) error {
	hosts, err := hostlist.Start(loopback, hostlist.Options{Lag: hostListLag})
	if err != nil {
		return err
	}
	f.hosts = hosts
	f.closers = append(f.closers, func() { _ = hosts.Close() })
	for i := range f.shape.engines {
		e, err := engine.Start(loopback, engine.Options{
			Models: []structs.ModelID{f.shape.model},
			Seed:   seed + uint64(i),
		})
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		f.closers = append(f.closers, func() { _ = e.Close() })
	}
	for i := range f.shape.services {
		s, err := service.Start(loopback, service.Options{Latency: serviceLatency, Seed: seed + uint64(i)})
		if err != nil {
			return err
		}
		f.services = append(f.services, s)
		f.closers = append(f.closers, func() { _ = s.Close() })
	}
	return nil
}

func (f *fleet) engineSide(i int) settings.Side {
	s := settings.DefaultSide()
	s.Host.ID = structs.HostID(fmt.Sprintf("side-engine-%d", i+1))
	s.Target = structs.TargetInfo{
		ID:     engineID(i),
		Kind:   structs.KindEngine,
		Models: []structs.ModelID{f.shape.model},
	}
	s.TargetURL = f.engines[i].URL()
	return s
}

func (f *fleet) serviceSide(i int) settings.Side {
	s := settings.DefaultSide()
	s.Host.ID = structs.HostID(fmt.Sprintf("side-service-%d", i+1))
	s.Target = structs.TargetInfo{ID: serviceID(i), Kind: structs.KindService, Service: f.shape.service}
	s.TargetURL = f.services[i].URL()
	return s
}

func engineID(i int) structs.TargetID  { return structs.TargetID(fmt.Sprintf("engine-%d", i+1)) }
func serviceID(i int) structs.TargetID { return structs.TargetID(fmt.Sprintf("service-%d", i+1)) }

func (f *fleet) startSide(i int, s settings.Side, o setup) error {
	s.Host.Domain = f.shape.domainOf(i)
	s.Headroom = o.headroom
	s.DrainTimeout = drainTimeout
	if f.links != nil {
		url, err := f.links.targetURL(s.Host.ID, s.TargetURL)
		if err != nil {
			return err
		}
		s.TargetURL = url
	}
	opts := side.Options{
		Settings:  s,
		Logger:    f.logger.Named(string(s.Host.ID)),
		Metrics:   metrics.NewRegistry(),
		NoPreempt: o.noPreempt,
	}
	if s.Target.Kind == structs.KindEngine {
		opts.Engine = enginehttp.New(s.TargetURL, enginehttp.Options{})
	} else {
		opts.Service = servicehttp.New(s.TargetURL, servicehttp.Options{})
	}
	sd, err := side.New(opts)
	if err != nil {
		return err
	}
	p := &process{host: s.Host.ID, domain: s.Host.Domain, addr: sd.Addr(), side: sd}
	f.sides = append(f.sides, p)
	f.run(p, sd.Run)
	f.list(p, platform.HostLive)
	return nil
}

func (f *fleet) startEntry(i int, state *confstate.State) error {
	s := settings.DefaultEntry()
	s.Host = settings.Identity{ID: structs.HostID(fmt.Sprintf("entry-%d", i+1)), Domain: f.shape.domainOf(i)}
	s.DrainTimeout = drainTimeout
	var hosts platform.HostList = hosthttp.New(f.hosts.URL())
	if f.links != nil {
		hosts = f.links.hostsOf(s.Host.ID, hosts)
	}
	parts := entry.Parts{}
	if f.feed != nil {
		parts.Batch = f.feed.port(s.Host.ID)
	}
	e, err := entry.New(entry.Options{
		Settings: s,
		Logger:   f.logger.Named(string(s.Host.ID)),
		Metrics:  metrics.NewRegistry(),
		Log:      logmem.New(1),
		Hosts:    hosts,
		Config:   confstate.Static(state),
		Parts:    parts,
	})
	if err != nil {
		return err
	}
	p := &process{host: s.Host.ID, domain: s.Host.Domain, addr: e.CallerAddr(), entry: e}
	f.entries = append(f.entries, p)
	f.run(p, e.Run)
	return nil
}

func (f *fleet) run(p *process, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		p.err = run(ctx)
	}()
}

// list puts a side on the host list; entries see it after the list's lag.
func (f *fleet) list(p *process, state platform.HostState) {
	f.hosts.Set(platform.Host{
		ID: p.host, Role: platform.RoleSide, Addr: p.addr, Domain: p.domain, State: state,
	})
}

// state is the configuration that all entries hold.
func (f *fleet) state(headroom float64) *confstate.State {
	s := &confstate.State{
		Version: 1,
		Workspaces: map[structs.WorkspaceID]confstate.Workspace{
			workspace: {ID: workspace, KeyHashes: []string{settings.KeySum(workspaceKey)}, MaxInFlight: maxInFlight},
		},
		Models: map[structs.ModelID]confstate.Model{f.shape.model: {ID: f.shape.model}},
		Services: map[structs.ServiceID]confstate.Service{
			f.shape.service: {ID: f.shape.service, NonIdempotent: []string{"POST"}},
		},
		Targets: map[structs.TargetID]confstate.Target{},
		Policy:  confstate.Policy{Headroom: headroom},
	}
	for i := range f.engines {
		id := engineID(i)
		s.Targets[id] = confstate.Target{ID: id, Kind: structs.KindEngine, Host: f.sides[i].host}
	}
	for i := range f.services {
		id := serviceID(i)
		s.Targets[id] = confstate.Target{
			ID: id, Kind: structs.KindService, Service: f.shape.service,
			Host: f.sides[len(f.engines)+i].host,
		}
	}
	return s
}

// close stops all processes and stand-ins. Batch streams that still run are cut.
func (f *fleet) close() {
	for _, p := range append(f.entries, f.sides...) {
		p.stop()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
	for _, p := range append(f.entries, f.sides...) {
		<-p.done
	}
}
