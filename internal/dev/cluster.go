package dev

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/side"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

const (
	domains      = 2
	drainTimeout = 10 * time.Second
	commitEvery  = 20 * time.Millisecond
	shards       = 4
)

// WorkspaceKey is the API key of the one workspace. It is public.
const WorkspaceKey = "dev-workspace-key"

const workspace = structs.WorkspaceID("dev")

// Cluster is a whole system: two failure domains with an entry, a side of a model engine
// and a side of a plain service each.
type Cluster struct {
	Entries []*entry.Entry
	Sides   []*side.Side

	standins *standins
	logger   hclog.Logger
	entries  runners
	sides    runners
}

// runner is a process that serves until its context is cancelled, and drains then.
type runner interface {
	Run(ctx context.Context) error
}

// runners are processes that stop together.
type runners struct {
	group  errgroup.Group
	cancel context.CancelFunc
	ctx    context.Context
	once   sync.Once
	err    error
}

func (r *runners) start(p runner) {
	if r.ctx == nil {
		r.ctx, r.cancel = context.WithCancel(context.Background())
	}
	r.group.Go(func() error { return p.Run(r.ctx) })
}

// stop cancels all and returns the first failure.
func (r *runners) stop() error {
	r.once.Do(func() {
		if r.cancel != nil {
			r.cancel()
			r.err = r.group.Wait()
		}
	})
	return r.err
}

// Start brings up stand-ins, sides and entries. What it logs goes to logger.
func Start(logger hclog.Logger) (*Cluster, error) {
	s, err := startStandins(domains)
	if err != nil {
		return nil, err
	}
	c := &Cluster{standins: s, logger: logger}
	if err := c.start(); err != nil {
		_ = c.Stop() // the failed start is what matters
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	for i := range domains {
		domain := structs.FailureDomain(numbered("domain", i))
		if err := c.startSide(c.engineSide(i), domain); err != nil {
			return err
		}
		if err := c.startSide(c.serviceSide(i), domain); err != nil {
			return err
		}
		if err := c.startEntry(i, domain); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) engineSide(i int) settings.Side {
	s := settings.DefaultSide()
	s.Host.ID = structs.HostID(numbered("side-engine", i))
	s.Target = structs.TargetInfo{
		ID:     structs.TargetID(numbered("engine", i)),
		Kind:   structs.KindEngine,
		Models: []structs.ModelID{model},
	}
	s.TargetURL = c.standins.engines[i].URL()
	return s
}

func (c *Cluster) serviceSide(i int) settings.Side {
	s := settings.DefaultSide()
	s.Host.ID = structs.HostID(numbered("side-service", i))
	s.Target = structs.TargetInfo{
		ID:      structs.TargetID(numbered("service", i)),
		Kind:    structs.KindService,
		Service: serviceName,
	}
	s.TargetURL = c.standins.services[i].URL()
	return s
}

func (c *Cluster) startSide(s settings.Side, domain structs.FailureDomain) error {
	s.Host.Domain = domain
	s.DrainTimeout = drainTimeout
	p, err := node.NewSide(s, c.logger.Named(string(s.Host.ID)), metrics.NewRegistry())
	if err != nil {
		return err
	}
	c.Sides = append(c.Sides, p)
	c.sides.start(p)
	c.standins.list(s.Host.ID, platform.RoleSide, p.Addr(), domain)
	return nil
}

func (c *Cluster) startEntry(i int, domain structs.FailureDomain) error {
	s := settings.DefaultEntry()
	s.Host = settings.Identity{ID: structs.HostID(numbered("entry", i)), Domain: domain}
	s.Platform = settings.Platform{
		LogURL:      c.standins.log.URL(),
		HostListURL: c.standins.hosts.URL(),
		WeightsURL:  c.standins.weights.URL(),
	}
	s.DrainTimeout = drainTimeout
	s.CommitEvery = commitEvery
	s.Shards = shards
	p, err := node.NewEntry(s, c.logger.Named(string(s.Host.ID)), metrics.NewRegistry())
	if err != nil {
		return err
	}
	c.Entries = append(c.Entries, p)
	c.entries.start(p)
	c.standins.list(s.Host.ID, platform.RoleEntry, p.PeerAddr(), domain)
	return nil
}

// Stop stops the entries, then the sides, then the stand-ins, and waits for each. The
// error is the first of a process that did not end well.
func (c *Cluster) Stop() error {
	err := c.entries.stop()
	if sideErr := c.sides.stop(); err == nil {
		err = sideErr
	}
	c.standins.close()
	return err
}
