package cluster

import (
	"context"
	"sync"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/side"
	"arbutusramp/standin/ownaddr"
	"github.com/rcrowley/go-metrics"
)

// Process is an entry or a side. After Replace it is the new incarnation.
type Process struct {
	ID     structs.HostID
	Domain structs.FailureDomain
	Target structs.TargetID // of a side

	// Entry or Side is set, with its Metrics.
	Entry   *entry.Entry
	Side    *side.Side
	Metrics metrics.Registry

	mu    sync.Mutex // of what Replace changes and callers read meanwhile
	c     *Cluster
	entry settings.Entry
	side  settings.Side
	addr  string // of the session or peer listener
	stop  context.CancelFunc
	done  chan struct{}
	err   error // of Run, once done is closed
}

func (p *Process) isEntry() bool { return p.Target == "" }

// start makes and runs the process with its session or peer listener at addr, and lists it.
func (p *Process) start(addr string) error {
	p.Metrics = metrics.NewRegistry()
	run, err := p.make(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.done = cancel, make(chan struct{})
	done := p.done
	go func() {
		defer close(done)
		p.err = run(ctx)
	}()
	role := platform.RoleSide
	if p.isEntry() {
		role = platform.RoleEntry
	}
	return p.c.list(platform.Host{ID: p.ID, Role: role, Addr: p.addr, Domain: p.Domain, State: platform.HostLive})
}

func (p *Process) make(addr string) (func(context.Context) error, error) {
	logger := p.c.o.Logger.Named(string(p.ID))
	if p.isEntry() {
		p.entry.PeerAddr = addr
		e, err := node.NewEntryWithOverrides(p.entry, logger, p.Metrics, p.c.o.Variant)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		p.Entry = e // callers look where it listens while it is replaced
		p.mu.Unlock()
		p.addr = e.PeerAddr()
		return e.Run, nil
	}
	p.side.SessionAddr = addr
	s, err := node.NewSide(p.side, logger, p.Metrics)
	if err != nil {
		return nil, err
	}
	p.Side, p.addr = s, s.Addr()
	return s.Run, nil
}

// Stop begins a planned stop.
func (p *Process) Stop() {
	if p.stop != nil {
		p.stop()
	}
}

// Wait returns the error of Run once the process has ended.
func (p *Process) Wait() error {
	if p.done == nil {
		return nil
	}
	<-p.done
	return p.err
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill takes all of the process's sockets away at once, as the loss of its host does. What
// the process still does has no effect on anybody.
func (p *Process) Kill() {
	p.c.o.Network.Kill(p.ID)
	p.Stop()
}

// Replace starts the process anew after its end, as a platform does after a loss: with nothing
// but its settings, at the address that it had or at another.
func (p *Process) Replace(sameAddr bool) error {
	select {
	case <-p.done:
	default:
		return errs.Newf(errs.Conflict, "%s still runs", p.ID)
	}
	if p.c.o.Network != nil {
		p.c.o.Network.Revive(p.ID)
	}
	addr := ownaddr.New()
	if sameAddr {
		addr = p.addr
	}
	return p.start(addr)
}

// URL is the base URL of an entry's callers' listener, as callers reach it.
func (p *Process) URL() (string, error) {
	p.mu.Lock()
	e := p.Entry
	p.mu.Unlock()
	addr, err := p.c.o.hop(Callers, p.ID, e.CallerAddr())
	return "http://" + addr, err
}
