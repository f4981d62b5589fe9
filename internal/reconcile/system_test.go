package reconcile_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/confstate"
	"arbutusramp/core/platform"
	corereconcile "arbutusramp/core/reconcile"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/enginehttp"
	"arbutusramp/internal/adapter/hosthttp"
	"arbutusramp/internal/adapter/loghttp"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/follow"
	"arbutusramp/internal/reconcile"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/side"
	"arbutusramp/standin/engine"
	"arbutusramp/standin/hostlist"
	"arbutusramp/standin/logsvc"
	"arbutusramp/standin/weights"
)

const loopback = "127.0.0.1:0"

// system is stand-ins, sides and entries over loopback sockets, with the
// reconciler's times made short.
type system struct {
	t       *testing.T
	log     *logsvc.Server
	hosts   *hostlist.Server
	weights *weights.Server
	engines map[structs.HostID]*engine.Server
	stop    map[structs.HostID]func()
	plans   int
}

func must[T any](v T, err error) func(*testing.T) T {
	return func(t *testing.T) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func newSystem(t *testing.T) *system {
	s := &system{
		t:       t,
		log:     must(logsvc.Start(loopback, logsvc.Options{}))(t),
		hosts:   must(hostlist.Start(loopback, hostlist.Options{}))(t),
		weights: must(weights.Start(loopback, weights.Options{DefaultSize: 1 << 20}))(t),
		engines: map[structs.HostID]*engine.Server{},
		stop:    map[structs.HostID]func(){},
	}
	t.Cleanup(func() {
		for _, stop := range s.stop {
			stop()
		}
		for _, e := range s.engines {
			e.Close()
		}
		s.log.Close()
		s.hosts.Close()
		s.weights.Close()
	})
	return s
}

// process runs p until it is stopped.
func (s *system) process(id structs.HostID, run ...func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for _, r := range run {
		g.Go(func() error { return r(ctx) })
	}
	s.stop[id] = func() {
		cancel()
		g.Wait() // what a stopped process returns does not matter here
	}
}

func (s *system) kill(id structs.HostID) {
	s.hosts.Remove(id)
	s.stop[id]()
	delete(s.stop, id)
}

func (s *system) startSide(n int, checks bool) structs.HostID {
	id := structs.HostID(fmt.Sprint("side-", n))
	e := must(engine.Start(loopback, engine.Options{WeightsURL: s.weights.URL(), ChecksFence: checks, LoadLag: 50 * time.Millisecond}))(s.t)
	s.engines[id] = e
	set := settings.DefaultSide()
	set.Host = settings.Identity{ID: id, Domain: domain(n)}
	set.Target = structs.TargetInfo{ID: structs.TargetID(fmt.Sprint("t", n)), Kind: structs.KindEngine, ChecksFence: checks}
	set.TargetURL = e.URL()
	set.DrainTimeout = time.Second
	p := must(side.New(side.Options{
		Settings: set, Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		Engine: enginehttp.New(e.URL(), enginehttp.Options{}),
	}))(s.t)
	s.process(id, p.Run)
	s.hosts.Set(platform.Host{ID: id, Role: platform.RoleSide, Addr: p.Addr(), Domain: domain(n), State: platform.HostLive})
	return id
}

func domain(n int) structs.FailureDomain { return structs.FailureDomain(fmt.Sprint("d", n%2)) }

func quick() corereconcile.Config {
	c := corereconcile.DefaultConfig()
	c.Grace = 2 * time.Second
	c.BackoffMin = 100 * time.Millisecond
	return c
}

// hostsSeen is a host list that remembers what was read last.
type hostsSeen struct {
	platform.HostList
	last chan []platform.Host // of length 1
}

func (h *hostsSeen) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := h.HostList.Hosts(ctx)
	if err == nil {
		<-h.last
		h.last <- hosts
	}
	return hosts, err
}

func (h *hostsSeen) known() []platform.Host {
	hosts := <-h.last
	h.last <- hosts
	return hosts
}

func (s *system) startEntry(n int) (*follow.Follower, *reconcile.Reconciler) {
	set := settings.DefaultEntry()
	set.Host = settings.Identity{ID: structs.HostID(fmt.Sprint("entry-", n)), Domain: domain(n)}
	set.HostListEvery = 100 * time.Millisecond
	set.DrainTimeout = time.Second
	log := loghttp.New(s.log.URL())
	hosts := &hostsSeen{HostList: hosthttp.New(s.hosts.URL()), last: make(chan []platform.Host, 1)}
	hosts.last <- nil
	config := follow.New(follow.Options{Self: set, Log: log, Members: hosts.known})
	e := must(entry.New(entry.Options{
		Settings: set, Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Log: log, Hosts: hosts, Config: config,
	}))(s.t)
	fleet := reconcile.NewFleet(reconcile.FleetOptions{Members: hosts.known})
	r := reconcile.New(reconcile.Options{
		Self: set, Log: log, Config: config, Members: hosts.known, Fleet: fleet,
		Tuning: quick(), Settle: time.Second,
	})
	e.Join(entry.Parts{Config: config, Orders: fleet, Run: []func(context.Context) error{config.Run, r.Run}})
	s.process(set.Host.ID, e.Run)
	s.hosts.Set(platform.Host{ID: set.Host.ID, Role: platform.RoleEntry, Addr: e.PeerAddr(), Domain: domain(n), State: platform.HostLive})
	return config, r
}

// confirm appends a confirmed plan.
func (s *system) confirm(intents ...structs.Intent) {
	s.t.Helper()
	s.plans++
	body := must(confstate.EncodeConfirm(&structs.Confirm{
		Plan: fmt.Sprint("p", s.plans), Base: structs.Version(s.plans - 1), Operator: "ann", Intents: intents,
	}))(s.t)
	must(loghttp.New(s.log.URL()).Append(s.t.Context(), structs.ConfigStream, body))(s.t)
}

func (s *system) holders(m structs.ModelID) []structs.HostID {
	var out []structs.HostID
	for id, e := range s.engines {
		if _, running := s.stop[id]; !running {
			continue
		}
		for _, have := range e.Load().Models {
			if have == m {
				out = append(out, id)
			}
		}
	}
	return out
}

// eventually waits until ok holds.
func (s *system) eventually(what string, ok func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(45 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: not in time", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func register(n int, checks bool) structs.Intent {
	return structs.Intent{Target: &structs.TargetIntent{
		ID: structs.TargetID(fmt.Sprint("t", n)), Kind: structs.KindEngine, Host: structs.HostID(fmt.Sprint("side-", n)), ChecksFence: checks,
	}}
}

func serve(m structs.ModelID, replicas int) structs.Intent {
	version := "1"
	return structs.Intent{Model: &structs.ModelIntent{ID: m, Version: &version, Replicas: &replicas, SpreadDomains: &replicas}}
}

// Symptom: what an operator confirmed stops being true.
// Sequence: a model is confirmed; the host of a replica is lost; then the entry that
// owns the placement is lost as well; then another replica's host is retired.
// Cause: nobody goes on comparing. Engines that check the fencing number and such
// that don't stand side by side.
func TestConfirmedModelStaysServed(t *testing.T) {
	s := newSystem(t)
	for n := range 4 {
		s.startSide(n, n%2 == 0)
	}
	_, first := s.startEntry(0)
	s.confirm(register(0, true), register(1, false), register(2, true), register(3, false))
	s.confirm(serve("m", 2))
	s.eventually("two replicas", func() bool { return len(s.holders("m")) == 2 })
	before := must(first.Owner())(t)

	lost := s.holders("m")[0]
	s.kill(lost)
	s.eventually("the lost replica elsewhere", func() bool { return len(s.holders("m")) == 2 })

	_, second := s.startEntry(1)
	s.kill("entry-0")
	retired := s.holders("m")[0]
	s.confirm(structs.Intent{Host: &structs.HostOrder{ID: retired, Retire: true}})
	s.eventually("the retired host without work", func() bool {
		held := s.holders("m")
		return len(held) == 2 && held[0] != retired && held[1] != retired || len(held) == 1 && held[0] != retired
	})
	if after := must(second.Owner())(t); after <= before {
		t.Errorf("epoch %d after %d", after, before)
	}
	for id, e := range s.engines {
		var highest structs.Epoch
		for _, o := range e.Stats(false).Orders {
			if o.Fence < highest {
				t.Errorf("%s took an order of epoch %d after one of %d", id, o.Fence, highest)
			}
			highest = max(highest, o.Fence)
		}
	}
}
