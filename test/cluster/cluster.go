package cluster

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
	"arbutusramp/standin/engine"
	"arbutusramp/standin/hostlist"
	"arbutusramp/standin/logsvc"
	"arbutusramp/standin/ownaddr"
	"arbutusramp/standin/service"
)

const (
	drainTimeout  = 20 * time.Second
	hostListEvery = 100 * time.Millisecond
	commitEvery   = 20 * time.Millisecond
	shards        = 4
)

// Cluster is a running system.
type Cluster struct {
	Entries []*Process
	// EngineSides and ServiceSides are the sides of Engines and Services, in the same order.
	EngineSides  []*Process
	ServiceSides []*Process
	Engines      []*engine.Server
	Services     []*service.Server
	Log          *logsvc.Server

	o       Options
	closers []func() error
	made    int        // entries so far
	removed []*Process // entries that left for good

	mu    sync.Mutex
	hosts map[structs.HostID]platform.Host
	// lists has a host list for each entry, since each reaches a side in a way of its own.
	lists map[structs.HostID]*hostlist.Server
}

// Start brings up stand-ins, sides and entries. Await says when they serve.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{
		o:     o.withDefaults(),
		hosts: make(map[structs.HostID]platform.Host),
		lists: make(map[structs.HostID]*hostlist.Server),
	}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	steps := []func() error{c.startStandins, c.declare, c.startSides, c.startEntries}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startStandins() error {
	var err error
	if c.Log, err = keep(c, logsvc.Start, c.o.Log); err != nil {
		return err
	}
	for i := range c.o.Engines {
		o := c.o.Engine(i)
		o.Models = []structs.ModelID{Model}
		o.Seed = c.o.Seed + uint64(i)
		o.Started = c.o.Started
		e, err := keep(c, engine.Start, o)
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, e)
	}
	for i := range c.o.Services {
		s, err := keep(c, service.Start, service.Options{
			Latency: c.o.ServiceLatency, Seed: c.o.Seed + uint64(i), Called: c.o.Called,
		})
		if err != nil {
			return err
		}
		c.Services = append(c.Services, s)
	}
	return nil
}

// keep starts a stand-in and notes how it is closed. Its address is its own: one that is down for a while finds its port free
// when it comes back.
func keep[O any, S interface{ Close() error }](c *Cluster, start func(string, O) (S, error), o O) (S, error) {
	s, err := start(ownaddr.New(), o)
	if err == nil {
		c.closers = append(c.closers, s.Close)
	}
	return s, err
}

// domain spreads hosts over the failure domains in turn.
func (c *Cluster) domain(i int) structs.FailureDomain {
	return structs.FailureDomain(numbered("domain", i%c.o.Domains))
}

func numbered(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i+1) }

// EngineID is the target of engine i.
func EngineID(i int) structs.TargetID { return structs.TargetID(numbered("engine", i)) }

// ServiceID is the target of service i.
func ServiceID(i int) structs.TargetID { return structs.TargetID(numbered("service", i)) }

func (c *Cluster) startSides() error {
	for i, e := range c.Engines {
		info := structs.TargetInfo{ID: EngineID(i), Kind: structs.KindEngine, Models: []structs.ModelID{Model}}
		p, err := c.newSide(i, "engine-side", info, e.URL())
		if err != nil {
			return err
		}
		c.EngineSides = append(c.EngineSides, p)
	}
	for i, s := range c.Services {
		info := structs.TargetInfo{ID: ServiceID(i), Kind: structs.KindService, Service: Service}
		p, err := c.newSide(i, "service-side", info, s.URL())
		if err != nil {
			return err
		}
		c.ServiceSides = append(c.ServiceSides, p)
	}
	return nil
}

func (c *Cluster) newSide(i int, kind string, info structs.TargetInfo, url string) (*Process, error) {
	s := settings.DefaultSide()
	s.Host = settings.Identity{ID: structs.HostID(numbered(kind, i)), Domain: c.domain(i)}
	s.Target = info
	s.DrainTimeout = drainTimeout
	addr, err := c.o.hop(s.Host.ID, structs.HostID(info.ID), strings.TrimPrefix(url, "http://"))
	if err != nil {
		return nil, err
	}
	s.TargetURL = "http://" + addr
	if c.o.SideSettings != nil {
		c.o.SideSettings(&s)
	}
	p := &Process{ID: s.Host.ID, Domain: s.Host.Domain, Target: info.ID, c: c, side: s}
	return p, p.start(ownaddr.New())
}

func (c *Cluster) startEntries() error {
	for i := range c.o.Entries {
		p, err := c.newEntry(i)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, p)
	}
	return nil
}

func (c *Cluster) newEntry(i int) (*Process, error) {
	s := settings.DefaultEntry()
	s.Host = settings.Identity{ID: structs.HostID(numbered("entry", i)), Domain: c.domain(i)}
	list, err := keep(c, hostlist.Start, hostlist.Options{Seed: c.o.Seed})
	if err != nil {
		return nil, err
	}
	if s.Platform.HostListURL, err = c.platformURL(s.Host.ID, ListHost, list.URL()); err != nil {
		return nil, err
	}
	if s.Platform.LogURL, err = c.platformURL(s.Host.ID, LogHost, c.Log.URL()); err != nil {
		return nil, err
	}
	if err := c.addList(s.Host.ID, list); err != nil {
		return nil, err
	}
	s.DrainTimeout = drainTimeout
	s.HostListEvery = hostListEvery
	s.CommitEvery = commitEvery
	s.Shards = shards
	if c.o.EntrySettings != nil {
		c.o.EntrySettings(&s)
	}
	c.made = max(c.made, i+1)
	p := &Process{ID: s.Host.ID, Domain: s.Host.Domain, c: c, entry: s}
	return p, p.start(ownaddr.New())
}

func (c *Cluster) platformURL(from, to structs.HostID, url string) (string, error) {
	addr, err := c.o.hop(from, to, strings.TrimPrefix(url, "http://"))
	return "http://" + addr, err
}

// addList tells a new entry's list all hosts, at once, and lets later changes lag.
func (c *Cluster) addList(entry structs.HostID, list *hostlist.Server) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists[entry] = list
	for _, h := range c.hosts {
		if err := c.tell(entry, list, h); err != nil {
			return err
		}
	}
	list.Turn(func(k *hostlist.Knobs) { k.LagMs = c.o.HostListLag.Milliseconds() })
	return nil
}

// list puts a host on every entry's host list.
func (c *Cluster) list(h platform.Host) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[h.ID] = h
	for entry, list := range c.lists {
		if err := c.tell(entry, list, h); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) tell(entry structs.HostID, list *hostlist.Server, h platform.Host) error {
	addr, err := c.o.hop(entry, h.ID, h.Addr)
	if err != nil {
		return err
	}
	h.Addr = addr
	list.Set(h)
	return nil
}

// Leaving shows p as leaving on the host list, which lags.
func (c *Cluster) Leaving(p *Process) error {
	c.mu.Lock()
	h := c.hosts[p.ID]
	c.mu.Unlock()
	h.State = platform.HostLeaving
	return c.list(h)
}

// Processes are all entries and sides.
func (c *Cluster) Processes() []*Process {
	all := append([]*Process(nil), c.Entries...)
	all = append(all, c.EngineSides...)
	return append(all, c.ServiceSides...)
}

// Close stops all processes, then the stand-ins. The error is the first of a process that
// did not end well.
func (c *Cluster) Close() error {
	for _, p := range c.removed {
		p.Stop()
		<-p.Done()
	}
	for _, p := range c.Processes() {
		p.Stop()
	}
	var err error
	for _, p := range c.Processes() {
		if ended := p.Wait(); err == nil && ended != nil {
			err = errs.Newf(errs.Internal, "%s: %v", p.ID, ended)
		}
	}
	for _, close := range c.closers {
		_ = close() // a listener that is closed already is closed
	}
	return err
}
