package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"arbutusramp/core/fleet"
	"arbutusramp/core/policy"
	"arbutusramp/core/serving"
	"arbutusramp/internal/inbound"
	"arbutusramp/internal/loadshare"
	"arbutusramp/internal/scheduling"
	"arbutusramp/internal/storepath"
	"arbutusramp/internal/telemetry"
	"arbutusramp/platform/store"
)

// Indexes into Gateway.auxListeners, in the order in which the listeners are opened.
const (
	_ = iota // the store relay for peers
	readyListener
	metricsListener
)

// openStorePaths sets up the paths to the store: the direct one of this process, and those through other gateways
// (its peers) that relay calls to the store. It also opens the listener at which this process is a relay for its
// peers, with the port at which it receives their load reports.
func (g *Gateway) openStorePaths(client *store.Client, self fleet.Peer) error {
	log := g.log.Named("peers")
	ln, err := g.listenForPeers(self, log)
	if err != nil {
		return err
	}
	var storePeers storepath.Peers = g.loadShare
	if !g.settings.Off.IsEnabled(policy.StoreThroughPeers) {
		storePeers = storepath.NoPeers{}
	}
	g.storePaths = storepath.New(client, storePeers, g.log.Named("store"), g.reg)
	g.addListener("peers", ln, 0, storepath.NewRelay(client, log))
	return nil
}

// maxPortTries bounds the ports that listenForPeers tries if the settings leave the choice to the system.
const maxPortTries = 10

// listenForPeers opens a TCP listener and a UDP socket for peers on the same port. If the settings name port 0,
// the system chooses a port that is free for TCP but may be in use for UDP, which would make a start fail now
// and then. In that case listenForPeers tries another port.
func (g *Gateway) listenForPeers(self fleet.Peer, log hclog.Logger) (ln net.Listener, err error) {
	isStoreLost := func() bool { return g.storePaths.IsDirectLost() }
	tries := 1
	if _, port, splitErr := net.SplitHostPort(g.settings.PeerAddr); splitErr == nil && port == "0" {
		tries = maxPortTries
	}
	for range tries {
		if ln, err = inbound.Listen(context.Background(), g.settings.PeerAddr); err != nil {
			return nil, errors.Wrap(err, "listen for peers")
		}
		if g.loadShare, err = loadshare.New(loadshare.Options{
			Addr: ln.Addr().String(), Self: self, Domain: string(g.settings.Host.Domain), Capacity: cpuCapacity(g.settings), Disabled: g.settings.Off,
			View: g.view, Quotas: g.quotas, Quarantine: g.quarantine, HasLostStore: isStoreLost, OnMessage: g.origins.HandleMessage, Log: log,
		}); err == nil {
			return ln, nil
		}
		if closeErr := ln.Close(); closeErr != nil {
			log.Warn("failed to close the listener", "error", closeErr)
		}
	}
	return nil, err
}

// operatorLimits are the limits for clients of the listeners for peers, readiness checks and metrics: other gateways and
// programs of the operators.
var operatorLimits = serving.Limits{MaxHeadBytes: 8 << 10, HeadTime: 5 * time.Second, IdleTime: 90 * time.Second}

// maxProbeConnections bounds the connections to each of the listeners for readiness checks and metrics.
const maxProbeConnections = 64

// addListener adds a listener that Run serves with handler, in addition to the listener for callers. maxConnections bounds its
// connections; 0 leaves that to the account.
func (g *Gateway) addListener(name string, ln net.Listener, maxConnections int, handler http.Handler) {
	bounded := inbound.NewListener(ln, inbound.Options{
		Name: name, Account: g.account, Limits: func() serving.Limits { return operatorLimits }, MaxConnections: maxConnections, Log: g.log.Named(name),
	})
	g.auxListeners = append(g.auxListeners, bounded)
	g.auxServers = append(g.auxServers, bounded.NewServer(handler))
}

// metricsHandler returns the handler for operators: the state of the scheduling, and the metrics at all other paths.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(scheduling.Path, scheduling.Handler(g.view.Scheduling))
	mux.Handle("/", telemetry.TextHandler(g.reg))
	return mux
}

// listen opens the listeners for readiness checks, metrics and callers.
func (g *Gateway) listen() error {
	for _, listener := range []struct {
		name, addr string
		handler    http.Handler
	}{
		{"ready", g.settings.ReadyAddr, http.HandlerFunc(g.serveReady)},
		{"metrics", g.settings.MetricsAddr, g.metricsHandler()},
	} {
		ln, err := inbound.Listen(context.Background(), listener.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		g.addListener(listener.name, ln, maxProbeConnections, listener.handler)
	}
	ln, err := inbound.Listen(context.Background(), g.settings.CallerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	g.callers = inbound.NewListener(ln, inbound.Options{
		Name: "callers", Account: g.account, Limits: g.watch.Limits, MaxConnections: g.account.MaxClients(), Log: g.log.Named("http"),
	})
	return nil
}
