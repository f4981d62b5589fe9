package loadshare

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"arbutusramp/core/fanout"
)

// relays is how many gateways of another domain take turns in passing reports on. With one, its loss would leave its
// domain without news from all others until it has been silent for PeerTTL.
const relays = 2

// receiver is a gateway that gets a report.
type receiver struct {
	addr netip.AddrPort
	purpose
}

// purpose is what a receiver is to do with a report for others.
type purpose struct {
	passOn bool // tell those of its domain at once
	role   hubRole
}

// receivers returns who gets the n-th report.
func (s *Share) receivers(now time.Time, n uint64) []receiver {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ap, p := range s.peers {
		if now.Sub(p.heard) > forgetAfter {
			s.forget(ap)
		}
	}
	if s.isLarge(now) {
		return s.toHubs(now, n)
	}
	return s.toAll(now, n)
}

// isLarge says whether there are too many gateways for each to tell all of its domain. The caller holds the lock.
func (s *Share) isLarge(now time.Time) bool {
	others := make(map[digest]bool)
	n := 0
	for _, p := range s.peers {
		switch {
		case now.Sub(p.heard) > quietAfter:
		case p.domain == s.domain:
			n++
		default:
			others[p.domain] = true
		}
	}
	return s.relays && n+len(others) > maxDirect
}

// members returns the gateways of a domain. The caller holds the lock.
func (s *Share) members(now time.Time, domain digest) []fanout.Member {
	var list []fanout.Member
	if domain == s.domain {
		list = append(list, s.selfMember())
	}
	for ap, p := range s.peers {
		if silent := now.Sub(p.heard); p.domain == domain && silent <= quietAfter {
			list = append(list, fanout.Member{Addr: ap, Domain: fanout.Domain(domain), Capacity: p.capacity, IsHeard: p.name != "" && silent < PeerTTL})
		}
	}
	return list
}

// selfMember is this gateway among the members of its domain.
func (s *Share) selfMember() fanout.Member {
	return fanout.Member{Addr: s.Addr(), Domain: fanout.Domain(s.domain), Capacity: s.capacity, IsHeard: true}
}

// toHubs has the hubs of the own domain tell the n-th report on. Each passes half of the reports on at once. Gateways that are listed before
// the hubs may be hubs that do not know this one, and those whose domain is not known have to hear of it by itself. The caller holds the lock.
func (s *Share) toHubs(now time.Time, n uint64) []receiver {
	hubs, listed := fanout.Hubs(s.members(now, s.domain))
	if len(listed) >= maxListed {
		hubs = slices.DeleteFunc(hubs, func(ap netip.AddrPort) bool { return ap == s.Addr() })
	}
	var list []receiver
	for i, ap := range hubs {
		role := roleKeep
		if n%uint64(len(hubs)) == uint64(i) {
			role = rolePassOn
		}
		list = append(list, receiver{ap, purpose{role: role}})
	}
	for _, ap := range listed[:min(maxListed, len(listed))] {
		list = append(list, receiver{ap, purpose{role: rolePassOn}})
	}
	for ap, p := range s.peers {
		if p.domain == 0 && now.Sub(p.sent) >= quietGap {
			p.sent = now
			list = append(list, receiver{addr: ap})
		}
	}
	return list
}

// hubReceivers returns whom this gateway tells as a hub: the gateways of its domain, and a hub of each other one.
func (s *Share) hubReceivers(now time.Time) (inside, across []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := make(map[digest]bool)
	for ap, p := range s.peers {
		silent := now.Sub(p.heard)
		switch {
		case p.domain != s.domain:
			others[p.domain] = p.domain != 0
		case silent > quietAfter && now.Sub(p.sent) < quietGap:
		default:
			p.sent = now
			inside = append(inside, ap)
		}
	}
	own, _ := fanout.Hubs(s.members(now, s.domain))
	rank := max(0, slices.Index(own, s.Addr()))
	for domain, isKnown := range others {
		if !isKnown {
			continue
		}
		hubs, listed := fanout.Hubs(s.members(now, domain))
		if len(hubs) > 0 {
			across = append(across, hubs[rank%len(hubs)])
		}
		across = append(across, listed[:min(1, len(listed))]...)
	}
	return inside, across
}

// toAll has all gateways of the own domain get the n-th report, and of each other domain one that
// passes it on: told to each by its sender, reports cross between domains as often as gateways are there, and these bytes
// cost the most. The caller holds the lock.
func (s *Share) toAll(now time.Time, n uint64) []receiver {
	var list []receiver
	others := make(map[digest][]netip.AddrPort) // live gateways of other domains
	for ap, p := range s.peers {
		silent := now.Sub(p.heard)
		switch {
		case silent > quietAfter && now.Sub(p.sent) < quietGap:
		case s.relays && p.name != "" && p.domain != s.domain && silent < PeerTTL:
			others[p.domain] = append(others[p.domain], ap)
		default:
			p.sent = now
			list = append(list, receiver{addr: ap})
		}
	}
	for _, domain := range others {
		slices.SortFunc(domain, func(a, b netip.AddrPort) int { return cmp.Compare(s.rank(a.String()), s.rank(b.String())) })
		ap := domain[n%uint64(min(relays, len(domain)))]
		s.peers[ap].sent = now
		list = append(list, receiver{ap, purpose{passOn: len(domain) > 1}})
	}
	return list
}

// domainPeers returns the live gateways of the own domain but for one.
func (s *Share) domainPeers(now time.Time, but netip.AddrPort) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []netip.AddrPort
	for ap, p := range s.peers {
		if ap != but && p.domain == s.domain && now.Sub(p.heard) < quietAfter {
			list = append(list, ap)
		}
	}
	return list
}
