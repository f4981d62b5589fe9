package loadshare

import (
	"net/netip"
	"time"

	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	"arbutusramp/core/quota"
	"arbutusramp/internal/fleetview"
)

// takeBatch takes in what a hub tells, and passes it on to those that the hub names.
func (s *Share) takeBatch(data []byte, from netip.AddrPort) {
	b, c, signs, err := decodeBatch(data)
	if err != nil {
		s.log.Warn("batch of load reports can't be read", "from", from.String(), "error", err)
		return
	}
	if len(b.Forward) > 0 {
		s.sendBatch(batch{Content: b.Content}, b.Forward...)
	}
	s.introduce(c.Intros)
	s.noteHub(c.Hub)
	list := s.newsFrom(c, signs)
	if len(list) > 0 {
		s.view.ApplyNews(list)
	}
}

// introduce makes gateways known by what a hub tells of them.
func (s *Share) introduce(intros []intro) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, i := range intros {
		if i.Addr == s.Addr() || i.Name == "" {
			continue
		}
		// A hub that has not heard of a restart yet still introduces the start before.
		if p, ok := s.peers[i.Addr]; ok && p.name != "" && p.name != i.Name && now.Sub(p.heard) < PeerTTL {
			continue
		}
		p := s.named(i.Addr, i.Name)
		p.domain, p.capacity = i.Domain, i.Capacity
	}
}

// noteHub notes that a hub lives.
func (s *Share) noteHub(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[addr]; ok {
		p.heard, p.direct = time.Now(), time.Now()
	}
}

// newsFrom notes what a hub tells of peers, and returns what of it the view of the fleet takes in. A hub of another domain tells what this
// gateway, as a hub, has to pass on.
func (s *Share) newsFrom(c content, signs []sign) []fleetview.PeerNews {
	now := time.Now()
	ids := s.targetNames()
	var list []fleetview.PeerNews
	s.mu.Lock()
	hub, isKnown := s.peers[c.Hub]
	isAcross := isKnown && hub.domain != s.domain
	var reports []heardReport
	for _, n := range c.News {
		p := s.peerOf(n.ID)
		if p == nil || n.Seq <= p.seq {
			continue
		}
		p.seq = n.Seq
		p.heard = now
		reports = append(reports, heardReport{p.addr, p.name, n})
		list = append(list, fleetview.PeerNews{From: p.name, Report: &fleet.Report{
			Loads: loadsOf(n.Loads, ids), Suspects: idsOf(n.Suspects, ids), Demand: fleet.Demand{Items: n.Items, Due: n.Due}, Contact: p.contact,
		}})
		if isAcross {
			s.hub.gather(p.origin(n, now), true)
		}
	}
	var alive []heardReport
	for _, g := range signs {
		p := s.peerOf(g.id)
		if p == nil {
			continue
		}
		list = append(list, s.noteSign(now, p, g, isAcross))
		if g.hasStopped {
			s.quotas.Forget(p.addr.String())
		} else {
			alive = append(alive, heardReport{addr: p.addr, name: p.name})
		}
	}
	s.mu.Unlock()
	s.applyReports(append(reports, alive...))
	return list
}

// peerOf returns the peer for which an id stands; nil if it is not known. The caller holds the lock.
func (s *Share) peerOf(id fanout.ID) *peer {
	p, ok := s.byID[id]
	if !ok && id != idOf(s.self) && len(s.unknown) < maxUnknown {
		s.unknown[id] = struct{}{}
	}
	return p
}

// heardReport is a report that a hub has passed on.
type heardReport struct {
	addr netip.AddrPort
	name fleet.Peer
	news
}

// applyReports hands on what reports hold beside loads.
func (s *Share) applyReports(list []heardReport) {
	for _, r := range list {
		s.quarantine.Apply(s.recordsOf(r.Quarantine, r.addr))
		s.quotas.Apply(r.addr.String(), quota.Report{Start: string(r.name), IsFirst: r.IsFirst, Counts: countsFrom(r.Admitted), Delay: hubDelay})
	}
}

// noteSign takes in a sign of life. The caller holds the lock.
func (s *Share) noteSign(now time.Time, p *peer, g sign, isAcross bool) fleetview.PeerNews {
	heard := now.Add(-g.age)
	if heard.After(p.heard) {
		p.heard = heard
		p.contact, p.hasDetour = now.Add(-g.contact), g.hasDetour
	}
	// A sign of an older report, which another hub has overtaken, says nothing of the loads.
	newer := int16(g.seq - uint16(p.seq))
	isIdle := g.isIdle && newer >= 0
	if isIdle {
		p.seq += uint64(newer)
	}
	if isAcross {
		o := p.origin(news{ID: p.id, Seq: p.seq}, heard)
		o.IsIdle, o.HasStopped = isIdle, g.hasStopped
		s.hub.vouch(o)
	}
	return fleetview.PeerNews{From: p.name, Sign: fleet.Sign{Heard: heard, Contact: now.Add(-g.contact), IsIdle: isIdle}}
}
