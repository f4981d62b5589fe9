package config

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/loghttp"
	"arbutusramp/internal/admin"
	"arbutusramp/internal/follow"
	"arbutusramp/internal/settings"
)

const (
	loopback  = "127.0.0.1:0"
	operator  = "lab"
	labKey    = "key of the lab's operator"
	peerKeyID = "lab"
)

// node is one entry as far as configuration goes: a follower, its peer listener and, on
// the first ones, the administration API.
type node struct {
	host   platform.Host
	meter  *meter
	follow *follow.Follower
	admin  *admin.Admin
	tap    *tap
	peers  *fasthttp.Server
	cancel context.CancelFunc
	done   chan struct{}
	// startedAt is the version that was confirmed before the process started.
	startedAt structs.Version

	mu   sync.Mutex
	seen []seen
	back int // versions that went back, as the measurement saw it
}

// seen is when a version was in force in a process.
type seen struct {
	version structs.Version
	at      time.Time
}

// startNode starts a process for host. A listener is made unless host has one already.
func (b *bench) startNode(host platform.Host, m *meter) (*node, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "peer listener: %v", err)
	}
	host.Addr = ln.Addr().String()
	n := &node{host: host, meter: m, done: make(chan struct{})}
	if n.tap, err = newTap(b.logAddr, m); err != nil {
		return nil, errs.Newf(errs.Internal, "log tap: %v", err)
	}
	self := settings.Entry{
		Host:         settings.Identity{ID: host.ID, Domain: host.Domain},
		OperatorKeys: map[string]string{operator: settings.KeySum(labKey)},
		PeerKeys:     []settings.PeerKey{{ID: peerKeyID, Secret: []byte("sixteen bytes it is")}},
	}
	keys := func() []settings.PeerKey { return self.PeerKeys }
	log := loghttp.New(n.tap.url())
	n.follow = follow.New(follow.Options{
		Self:     self,
		Log:      log,
		Members:  b.members,
		PeerKeys: keys,
		Fetcher:  follow.NewHTTPFetcher(host.ID, keys, m.dial),
		Check:    invariant.NewChecker(b.violated),
	})
	n.admin = admin.New(admin.Options{Self: self, Config: n.follow, Log: log, Logger: hclog.NewNullLogger()})
	n.peers = &fasthttp.Server{
		Handler:               n.serve,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
	go n.peers.Serve(listener{ln, m}) // ends with Shutdown
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		n.follow.Run(ctx) // returns nil after cancel
	}()
	go n.watch(ctx)
	return n, nil
}

func (n *node) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == follow.PeerPath {
		n.follow.PeerHandler(ctx)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// watch notes when each version is in force.
func (n *node) watch(ctx context.Context) {
	var last structs.Version
	for {
		s, changed := n.follow.Watch()
		if s.Version != last {
			n.note(s.Version, s.Version < last)
			last = s.Version
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (n *node) note(v structs.Version, back bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = append(n.seen, seen{v, time.Now()})
	if back {
		n.back++
	}
}

// inForceAt returns when version v or a later one was in force.
func (n *node) inForceAt(v structs.Version) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.seen {
		if s.version >= v {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// stop ends the process without warning to the others.
func (n *node) stop() {
	n.cancel()
	n.admin.Close()
	<-n.done
	n.peers.Shutdown() // best effort: its connections end with the process
	n.tap.close()
}
