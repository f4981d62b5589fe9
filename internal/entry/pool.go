package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

const (
	redialMin   = 100 * time.Millisecond
	redialMax   = 5 * time.Second
	surveyEvery = 500 * time.Millisecond
	// linger is how long the session to a side that is no longer in the subset stays: batch items
	// that run there still have to be reported.
	linger = time.Minute
	// forgetTarget is how long a target without a session is remembered.
	forgetTarget = 10 * time.Minute
)

// dialFunc connects to a side. The session it returns has ended when its gone is closed.
type dialFunc func(ctx context.Context, addr string, p *pool) (*sideSession, error)

// pool keeps the sessions to sides: it follows the host list, dials, and
// holds what is known of each target.
type pool struct {
	set   settings.Entry
	hosts platform.HostList
	dial  dialFunc
	parts *Parts
	log   hclog.Logger
	now   func() time.Time
	// crashes takes in what sides tell of requests under which targets have crashed.
	crashes Quarantine

	index  atomic.Pointer[index]
	listed atomic.Bool // the host list was read once

	ejecting sync.Mutex // held while a bad outcome is judged

	mu      sync.Mutex
	keepers map[structs.HostID]*keeper
	targets map[structs.TargetID]*target

	wg sync.WaitGroup
}

// keeper keeps one side connected until it is stopped.
type keeper struct {
	addr     string
	leaving  bool      // its targets get nothing new
	unwanted time.Time // since when the side is live and not in the subset; zero: it is in
	stop     context.CancelFunc
	session  *sideSession // nil while there is none; under pool.mu
}

func newPool(set settings.Entry, hosts platform.HostList, dial dialFunc, parts *Parts, log hclog.Logger, now func() time.Time) *pool {
	p := &pool{
		set: set, hosts: hosts, dial: dial, parts: parts, log: log, now: now, crashes: noQuarantine{},
		keepers: make(map[structs.HostID]*keeper),
		targets: make(map[structs.TargetID]*target),
	}
	p.index.Store(newIndex(nil))
	return p
}

// run follows the host list until ctx ends, then closes every session.
func (p *pool) run(ctx context.Context) {
	lists := sleep.NewTimer(p.set.HostListEvery)
	defer lists.Stop()
	surveys := sleep.NewTimer(surveyEvery)
	defer surveys.Stop()
	p.follow(ctx)
	for {
		select {
		case <-ctx.Done():
			p.shutdown()
			return
		case <-lists.C:
			lists.Reset(p.set.HostListEvery)
			p.follow(ctx)
		case <-surveys.C:
			surveys.Reset(surveyEvery)
			p.index.Load().survey()
			p.forget()
		}
	}
}

func (p *pool) follow(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, p.set.HostListEvery)
	defer cancel()
	hosts, err := p.hosts.Hosts(readCtx)
	if err != nil {
		p.log.Warn("host list not read; the last one stays in use", "error", err)
		return
	}
	p.listed.Store(true)
	p.apply(ctx, hosts)
}

// apply brings the keepers in line with the host list. A side that leaves or is missing from the
// list keeps its session: the list lags and can be wrong, while a session that
// answers heartbeats is a fresh fact, and a leaving side finishes what it has. It is not
// dialled again once that session ends.
func (p *pool) apply(ctx context.Context, hosts []platform.Host) {
	live, leaving := splitSides(hosts)
	wanted := make(map[structs.HostID]platform.Host)
	for _, h := range subset(p.set.Host.ID, p.set.Host.Domain, live, p.maxSides()) {
		wanted[h.ID] = h
	}
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, k := range p.keepers {
		_, want := wanted[id]
		k.note(now, listing{wanted: want, leaving: leaving[id], live: isListed(live, id)})
		p.mark(k)
		if !want && k.droppable(now) {
			k.drop()
			delete(p.keepers, id)
		}
	}
	for id, h := range wanted {
		p.want(ctx, id, h)
	}
}

// maxSides is the bound on sessions, 0 for none. Who may have to place models for the
// whole fleet has to see all of it: what it does not see it would take for lost.
func (p *pool) maxSides() int {
	if p.parts.SeeAll != nil && p.parts.SeeAll() {
		return 0
	}
	return p.set.MaxSides
}

func splitSides(hosts []platform.Host) (live []platform.Host, leaving map[structs.HostID]bool) {
	leaving = make(map[structs.HostID]bool)
	for _, h := range hosts {
		switch {
		case h.Role != platform.RoleSide:
		case h.State == platform.HostLeaving:
			leaving[h.ID] = true
		default:
			live = append(live, h)
		}
	}
	return live, leaving
}

func isListed(hosts []platform.Host, id structs.HostID) bool {
	return slices.ContainsFunc(hosts, func(h platform.Host) bool { return h.ID == id })
}

// listing is what the host list says of one side.
type listing struct {
	wanted  bool // it is in this entry's subset
	leaving bool
	live    bool
}

func (k *keeper) note(now time.Time, l listing) {
	k.leaving = l.leaving || (l.live && !l.wanted)
	switch {
	case l.wanted || !l.live:
		k.unwanted = time.Time{}
	case k.unwanted.IsZero():
		k.unwanted = now
	}
}

// droppable says that nothing would be cut off by dropping the session.
func (k *keeper) droppable(now time.Time) bool {
	if k.session == nil {
		return true
	}
	return !k.unwanted.IsZero() && now.Sub(k.unwanted) > linger && k.session.open.Load() == 0
}

// want starts a keeper for h, or replaces one whose side has moved to another address.
func (p *pool) want(ctx context.Context, id structs.HostID, h platform.Host) {
	if k, ok := p.keepers[id]; ok {
		if k.addr == h.Addr {
			return
		}
		k.drop()
	}
	kctx, stop := context.WithCancel(ctx)
	k := &keeper{addr: h.Addr, stop: stop}
	p.keepers[id] = k
	p.wg.Go(func() { p.keep(kctx, k) })
}

// mark tells the targets behind k whether they may get new requests.
func (p *pool) mark(k *keeper) {
	if k.session == nil {
		return
	}
	for _, t := range k.session.targets {
		t.leaving.Store(k.leaving)
	}
}

func (k *keeper) drop() {
	k.stop()
	if k.session != nil {
		k.session.conn.Close(nil)
	}
}

// keep dials one side again and again until ctx ends. The pause between failed
// dials doubles and is jittered, so that entries do not all come back to a restarted side at once.
func (p *pool) keep(ctx context.Context, k *keeper) {
	pause := redialMin
	for ctx.Err() == nil {
		s, err := p.dial(ctx, k.addr, p)
		if err == nil {
			pause = redialMin
			p.hold(ctx, k, s)
			continue
		}
		p.log.Debug("side not reached", "addr", k.addr, "error", err)
		sleep.For(ctx, pause/2+rand.N(pause))
		pause = min(redialMax, 2*pause)
	}
}

// hold waits until the session ends.
func (p *pool) hold(ctx context.Context, k *keeper, s *sideSession) {
	p.mu.Lock()
	k.session = s
	p.mark(k)
	p.mu.Unlock()
	p.crashes.NotePeerStarted()
	select {
	case <-s.gone:
	case <-ctx.Done():
		s.conn.Close(nil)
		<-s.gone
	}
	p.mu.Lock()
	k.session = nil
	p.mu.Unlock()
	sleep.For(ctx, redialMin/2+rand.N(redialMin))
}

func (p *pool) shutdown() {
	p.mu.Lock()
	for _, k := range p.keepers {
		k.drop()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// sessions returns the open sessions to sides.
func (p *pool) sessions() []*sideSession {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*sideSession
	for _, k := range p.keepers {
		if k.session != nil {
			list = append(list, k.session)
		}
	}
	return list
}

// connected is the number of sides with a session.
func (p *pool) connected() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, k := range p.keepers {
		if k.session != nil {
			n++
		}
	}
	return n
}
