package config

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/admin/client"
	"arbutusramp/standin/logsvc"
)

const (
	readyTimeout = 30 * time.Second
	// adminNodes serve the administration API to the lab's operators.
	adminNodes = 3
	maxDetails = 20
)

// bench is one run.
type bench struct {
	o       Options
	rng     *rand.Rand
	log     *logsvc.Server
	logAddr string
	apiURL  []string

	mu         sync.Mutex
	hosts      []platform.Host
	nodes      []*node
	gone       []*node // replaced ones
	meters     []*meter
	changes    []change
	refused    int
	stale      int
	regressed  int
	violations int
	details    []string
}

// change is one confirm that holds.
type change struct {
	version  structs.Version
	sent     time.Time
	answered time.Duration
}

func newBench(ctx context.Context, o Options) (*bench, error) {
	log, err := logsvc.Start(loopback, logsvc.Options{Seed: o.Seed})
	if err != nil {
		return nil, err
	}
	b := &bench{
		o:       o,
		rng:     rand.New(rand.NewPCG(o.Seed, 0)),
		log:     log,
		logAddr: strings.TrimPrefix(log.URL(), "http://"),
	}
	if err := b.startAll(ctx); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bench) startAll(ctx context.Context) error {
	for n := range b.o.Followers {
		host := platform.Host{
			ID:     structs.HostID(fmt.Sprintf("entry-%03d", n)),
			Role:   platform.RoleEntry,
			Domain: structs.FailureDomain(fmt.Sprintf("domain-%02d", n%b.o.Domains)),
			State:  platform.HostLive,
		}
		m := new(meter)
		b.meters = append(b.meters, m)
		node, err := b.startNode(host, m)
		if err != nil {
			return err
		}
		b.join(node, n)
	}
	for n := range min(adminNodes, b.o.Followers) {
		if err := b.serveAdmin(n); err != nil {
			return err
		}
	}
	return b.awaitReady(ctx, b.nodes)
}

// join puts a node at place n of the host list.
func (b *bench) join(n *node, at int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at == len(b.nodes) {
		b.nodes = append(b.nodes, n)
		b.hosts = append(b.hosts, n.host)
		return
	}
	b.gone = append(b.gone, b.nodes[at])
	b.nodes[at] = n
	b.hosts[at] = n.host
}

func (b *bench) members() []platform.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]platform.Host(nil), b.hosts...)
}

// serveAdmin serves the administration API of the node at place n. Its bytes are
// not the nodes' control traffic and are not counted.
func (b *bench) serveAdmin(n int) error {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errs.Newf(errs.Internal, "administration listener: %v", err)
	}
	server := &fasthttp.Server{Handler: b.nodes[n].admin.Handler}
	go server.Serve(ln)
	b.apiURL = append(b.apiURL, "http://"+ln.Addr().String())
	return nil
}

func (b *bench) awaitReady(ctx context.Context, nodes []*node) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range nodes {
		select {
		case <-n.follow.Ready():
		case <-ctx.Done():
			return errs.Newf(errs.Internal, "%s is not ready after %v", n.host.ID, readyTimeout)
		}
	}
	return nil
}

func (b *bench) violated(v invariant.Violation) {
	b.mu.Lock()
	b.regressed++
	b.mu.Unlock()
	b.violation("%s: %s", v.Name, v.Detail)
}

func (b *bench) violation(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations++
	if len(b.details) < maxDetails {
		b.details = append(b.details, fmt.Sprintf(format, args...))
	}
}

func (b *bench) close() {
	var g errgroup.Group
	for _, n := range b.nodes {
		g.Go(func() error {
			n.stop()
			return nil
		})
	}
	_ = g.Wait() // its functions return no error
	b.log.Close()
}

// client returns a client of one of the administration APIs.
func (b *bench) client(n int) *client.Client {
	return client.New(b.apiURL[n%len(b.apiURL)], labKey)
}

// checkEnd compares the processes and what operators were told with the log.
func (b *bench) checkEnd() error {
	whole := b.nodes[0].follow.Current()
	want, err := whole.Snapshot()
	if err != nil {
		return err
	}
	for _, n := range b.nodes[1:] {
		s := n.follow.Current()
		got, err := s.Snapshot()
		if err != nil {
			return err
		}
		if !bytes.Equal(got, want) {
			b.violation("%s differs from %s: versions %d and %d", n.host.ID, b.nodes[0].host.ID, s.Version, whole.Version)
		}
	}
	for _, c := range b.changes {
		if c.version > whole.Version {
			b.violation("confirmed version %d is not in the configuration at version %d", c.version, whole.Version)
		}
	}
	return nil
}

// lastInForce returns the time from sending c until the last process had it. Those
// that started after it have it from their start on, which replace checks.
func (b *bench) lastInForce(c change) time.Duration {
	var last time.Duration
	for _, n := range b.nodes {
		if n.startedAt >= c.version {
			continue
		}
		at, ok := n.inForceAt(c.version)
		if !ok {
			b.violation("version %d never was in force at %s", c.version, n.host.ID)
			continue
		}
		last = max(last, at.Sub(c.sent))
	}
	return last
}

// percentile returns the p-th percentile of ds in milliseconds.
func percentile(ds []time.Duration, p float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), ds...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := min(len(sorted)-1, int(p/100*float64(len(sorted))))
	return float64(sorted[at]) / float64(time.Millisecond)
}
