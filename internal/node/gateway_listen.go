package node

import (
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"arbutusramp/core/fleet"
	"arbutusramp/core/policy"
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
	g.addListener(ln, storepath.NewRelay(client, log))
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
		if ln, err = net.Listen("tcp", g.settings.PeerAddr); err != nil {
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

// addListener adds a listener that Run serves with handler, in addition to the listener for callers.
func (g *Gateway) addListener(ln net.Listener, handler http.Handler) {
	g.auxListeners = append(g.auxListeners, ln)
	g.auxServers = append(g.auxServers, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout})
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
		addr    string
		handler http.Handler
	}{
		{g.settings.ReadyAddr, http.HandlerFunc(g.serveReady)},
		{g.settings.MetricsAddr, g.metricsHandler()},
	} {
		ln, err := net.Listen("tcp", listener.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		g.addListener(ln, listener.handler)
	}
	ln, err := net.Listen("tcp", g.settings.CallerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	g.conns = newConnTracker(ln)
	return nil
}
