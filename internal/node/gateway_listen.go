package node

import (
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"arbutusramp/core/fleet"
	"arbutusramp/core/policy"
	"arbutusramp/internal/loadshare"
	"arbutusramp/internal/storepath"
	"arbutusramp/internal/telemetry"
	"arbutusramp/platform/store"
)

// The listeners beside that of callers, in the order in which they are taken.
const (
	_ = iota // the relay of peers
	readyOn
	metricsOn
)

// reachStore opens the ways to the store: the process's own and those through peers, which it serves in turn
// at the address where it hears of their loads.
func (g *Gateway) reachStore(client *store.Client, self fleet.Peer) error {
	log := g.log.Named("peers")
	on, err := g.hearPeers(self, log)
	if err != nil {
		return err
	}
	var others storepath.Peers = g.share
	if !g.set.Off.Allows(policy.StorePeers) {
		others = storepath.NoPeers{}
	}
	g.paths = storepath.New(client, others, g.log.Named("store"), g.reg)
	g.serve(on, storepath.NewRelay(client, log))
	return nil
}

// portTries is how many free ports are tried for peers.
const portTries = 10

// hearPeers opens the sockets for peers, datagrams and connections on the same port. A free port that the system has chosen for
// one kind may be taken for the other by somebody else, which shows as a process that now and then does not
// start with port 0; then another one is tried.
func (g *Gateway) hearPeers(self fleet.Peer, log hclog.Logger) (on net.Listener, err error) {
	detours := func() bool { return g.paths.Lost() }
	tries := 1
	if _, port, splitErr := net.SplitHostPort(g.set.PeerAddr); splitErr == nil && port == "0" {
		tries = portTries
	}
	for range tries {
		if on, err = net.Listen("tcp", g.set.PeerAddr); err != nil {
			return nil, errors.Wrap(err, "listen for peers")
		}
		if g.share, err = loadshare.New(loadshare.Options{
			Addr: on.Addr().String(), Self: self, Domain: string(g.set.Host.Domain), Capacity: capacityOf(g.set), Off: g.set.Off,
			View: g.view, Quotas: g.quotas, Quarantine: g.quarantine, Detours: detours, Log: log,
		}); err == nil {
			return on, nil
		}
		if closeErr := on.Close(); closeErr != nil {
			log.Warn("listener not closed", "error", closeErr)
		}
	}
	return nil, err
}

// serve adds one of the process's listeners beside that of callers. Run serves it.
func (g *Gateway) serve(on net.Listener, h http.Handler) {
	g.sideOn = append(g.sideOn, on)
	g.sides = append(g.sides, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout})
}

func (g *Gateway) listen() error {
	for _, l := range []struct {
		addr string
		mux  http.Handler
	}{
		{g.set.ReadyAddr, http.HandlerFunc(g.serveReady)},
		{g.set.MetricsAddr, telemetry.TextHandler(g.reg)},
	} {
		on, err := net.Listen("tcp", l.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		g.serve(on, l.mux)
	}
	on, err := net.Listen("tcp", g.set.CallerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	g.callers = trackConns(on)
	return nil
}
