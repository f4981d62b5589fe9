package entry

import (
	"slices"

	"arbutusramp/core/structs"
)

// opened makes a session of a new connection and its targets choosable.
func (p *pool) opened(conn sideConn) *sideSession {
	s := newSideSession(p, conn)
	hello := conn.Peer()
	p.mu.Lock()
	for _, info := range hello.Targets {
		s.targets = append(s.targets, p.attach(s, hello.Domain, info))
	}
	p.reindex()
	p.mu.Unlock()
	if p.parts.Batch != nil {
		p.parts.Batch.SideOpened(s.host, conn.Send)
	}
	if p.parts.Config != nil {
		p.parts.Config.SideOpened(s.host, conn.Send)
	}
	if p.parts.Orders != nil {
		p.parts.Orders.SideOpened(s.host, hello.Targets, conn.Send)
	}
	p.log.Info("side connected", "side", s.host, "domain", hello.Domain)
	return s
}

func (p *pool) attach(s *sideSession, domain structs.FailureDomain, info structs.TargetInfo) *target {
	t := p.targets[info.ID]
	if t == nil {
		t = &target{id: info.ID, service: info.Service, domain: domain}
		p.targets[info.ID] = t
	}
	t.mu.Lock()
	t.session = s
	t.models = slices.Clone(info.Models)
	t.load = structs.Load{}
	t.sent = 0
	t.reports++
	t.mu.Unlock()
	return t
}

// closed takes a session's targets out of the choice and ends its streams.
func (p *pool) closed(s *sideSession, err error) {
	p.mu.Lock()
	for _, t := range s.targets {
		t.mu.Lock()
		if t.session == s {
			t.session = nil
			t.lost = p.now()
		}
		t.mu.Unlock()
	}
	p.reindex()
	p.mu.Unlock()
	s.fail()
	if p.parts.Batch != nil {
		p.parts.Batch.SideClosed(s.host)
	}
	if p.parts.Config != nil {
		p.parts.Config.SideClosed(s.host)
	}
	if p.parts.Orders != nil {
		p.parts.Orders.SideClosed(s.host)
	}
	p.log.Info("side disconnected", "side", s.host, "error", err)
}

// forget drops targets that have been without a session for long, so that hosts which are replaced
// day after day do not pile up.
func (p *pool) forget() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, t := range p.targets {
		t.mu.Lock()
		if t.session == nil && now.Sub(t.lost) > forgetTarget {
			delete(p.targets, id)
		}
		t.mu.Unlock()
	}
}

// learn takes in a load report.
func (p *pool) learn(t *target, l *structs.Load) {
	if !t.learn(l) {
		return
	}
	p.mu.Lock()
	p.reindex()
	p.mu.Unlock()
}

// reindex publishes which connected targets serve what; p.mu is held.
func (p *pool) reindex() {
	connected := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		t.mu.Lock()
		if t.session != nil {
			connected = append(connected, t)
		}
		t.mu.Unlock()
	}
	next := newIndex(connected)
	next.survey()
	p.index.Store(next)
}
