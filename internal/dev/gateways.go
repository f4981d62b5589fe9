package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/structs"
	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"arbutusramp/platform/wiretest"
	"arbutusramp/standin/keyedlog"
)

const (
	gatewayTargets = 3
	targetSlots    = 8
	targetEvents   = 40
	targetGap      = 10 * time.Millisecond
	// shortLease is the shortest lease that the stand-in of the store is asked for.
	shortLease = 400 * time.Millisecond
	keepJobs   = 10 * time.Minute

	callerTimeout = 3 * time.Second
	callerConns   = 4
)

// Gateways are two gateways in two failure domains, on stand-ins of the users' platform: its store with
// all that lasts, and targets.
type Gateways struct {
	Nodes []*node.Gateway

	caller  *wiretest.Caller
	store   *keyedlog.Store
	views   []*keyedlog.View // each gateway's connection to the store
	nodes   runners
	closers []func() error
}

// StartGateways brings up stand-ins and gateways, and waits until each is ready. What they log goes to logger.
func StartGateways(ctx context.Context, logger hclog.Logger) (*Gateways, error) {
	g := &Gateways{store: keyedlog.New(shards), caller: wiretest.NewCaller(callerTimeout, callerConns)}
	err := g.start(ctx, logger)
	if err == nil {
		err = poll(ctx, readyTimeout, readyPoll, g.ready)
	}
	if err != nil {
		_ = g.Stop() // the failed start is what matters
		return nil, err
	}
	return g, nil
}

func (g *Gateways) start(ctx context.Context, logger hclog.Logger) error {
	view := g.store.View()
	if err := wiretest.PutConfig(ctx, view, wiretest.Routes); err != nil {
		return err
	}
	for i := range gatewayTargets {
		if err := g.startTarget(ctx, view, i); err != nil {
			return err
		}
	}
	for i := range domains {
		if err := g.startGateway(i, logger); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateways) startTarget(ctx context.Context, view platform.Store, i int) error {
	id := numbered("target", i)
	addr, err := g.serve(&wiretest.Target{ID: id, Events: targetEvents, EventGap: targetGap})
	if err != nil {
		return err
	}
	return wiretest.PutTarget(ctx, view, wiretest.TargetEntry{Name: id, Addr: addr, Domain: numbered("domain", i%domains), Slots: targetSlots})
}

func (g *Gateways) startGateway(i int, logger hclog.Logger) error {
	view := g.store.View()
	store, err := g.serve(wiretest.StoreHandler(view))
	if err != nil {
		return err
	}
	s := settings.Gateway{
		Host:       settings.Identity{ID: structs.HostID(numbered("gateway", i)), Domain: structs.FailureDomain(numbered("domain", i))},
		CallerAddr: loopback, ReadyAddr: loopback, PeerAddr: loopback, MetricsAddr: loopback,
		StoreAddr: store, Shards: shards, MinTTL: shortLease, Keep: keepJobs, Grace: drainTimeout,
		QuarantineAfter: quarantine.DefaultThreshold, QuarantineHold: quarantine.DefaultHold,
	}
	n, err := node.NewGateway(s, logger.Named(string(s.Host.ID)), metrics.NewRegistry())
	if err != nil {
		return err
	}
	g.views = append(g.views, view)
	g.Nodes = append(g.Nodes, n)
	g.nodes.start(n)
	return nil
}

// serve serves a stand-in on a loopback port.
func (g *Gateways) serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errs.Newf(errs.Internal, "listen for a stand-in: %v", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: callerTimeout}
	g.closers = append(g.closers, server.Close)
	go func() { _ = server.Serve(l) }() // it ends with the close
	return l.Addr().String(), nil
}

// ready says whether every gateway takes callers.
func (g *Gateways) ready() bool {
	for _, n := range g.Nodes {
		if status, _ := g.caller.CheckReady(n.ReadyAddr()); status != http.StatusOK {
			return false
		}
	}
	return true
}

// Stop stops the gateways, then the stand-ins, and waits for the gateways.
func (g *Gateways) Stop() error {
	err := g.nodes.stop()
	for _, c := range g.closers {
		_ = c() // a listener that is closed already is closed
	}
	return err
}

// ServeGateways starts gateways, prints where they are and what to try, and runs until ctx is cancelled.
func ServeGateways(ctx context.Context, logger hclog.Logger, out io.Writer) error {
	g, err := StartGateways(ctx, logger)
	if err != nil {
		return err
	}
	g.printTour(out)
	<-ctx.Done()
	return g.Stop()
}

func (g *Gateways) printTour(out io.Writer) {
	for i, n := range g.Nodes {
		fmt.Fprintf(out, "gateway-%d  callers http://%s  metrics http://%s/metrics\n", i+1, n.CallerAddr(), n.MetricsAddr())
	}
	for _, line := range wiretest.ExampleCommands(g.Nodes[0].CallerAddr(), g.Nodes[1].CallerAddr()) {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintln(out, "SIGINT stops it")
}
