package loadshare

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"arbutusramp/core/fanout"
)

// relaysPerDomain is how many gateways of another domain take turns in forwarding reports. With only one, its
// loss would leave its domain without reports from all others until it has been silent for PeerTTL.
const relaysPerDomain = 2

// receiver is a gateway that receives a report.
type receiver struct {
	addr netip.AddrPort
	assignment
}

// assignment is what a receiver does with a report for others.
type assignment struct {
	isRelay bool // forward it to the gateways of its domain at once
	role    hubRole
}

// selectReceivers returns the receivers of the n-th report, and drops peers that have been silent for
// removeAfter.
func (s *Share) selectReceivers(now time.Time, n uint64) []receiver {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ap, p := range s.peers {
		if now.Sub(p.lastSeen) > removeAfter {
			s.removePeer(ap)
		}
	}
	if s.isLargeFleet(now) {
		return s.hubModeReceivers(now, n)
	}
	return s.directModeReceivers(now, n)
}

// isLargeFleet reports whether there are more receivers than a gateway sends to directly. The caller holds
// the lock.
func (s *Share) isLargeFleet(now time.Time) bool {
	others := make(map[digest]bool)
	n := 0
	for _, p := range s.peers {
		switch {
		case now.Sub(p.lastSeen) > silentAfter:
		case p.domain == s.domain:
			n++
		default:
			others[p.domain] = true
		}
	}
	return s.hasRelays && n+len(others) > maxDirectReceivers
}

// domainMembers returns the gateways of a domain that may be live. The caller holds the lock.
func (s *Share) domainMembers(now time.Time, domain digest) []fanout.Member {
	var list []fanout.Member
	if domain == s.domain {
		list = append(list, s.selfMember())
	}
	for ap, p := range s.peers {
		if silentFor := now.Sub(p.lastSeen); p.domain == domain && silentFor <= silentAfter {
			list = append(list, fanout.Member{Addr: ap, Domain: fanout.Domain(domain), Capacity: p.capacity, IsHeard: p.name != "" && silentFor < PeerTTL})
		}
	}
	return list
}

// selfMember returns this gateway as a member of its domain.
func (s *Share) selfMember() fanout.Member {
	return fanout.Member{Addr: s.Addr(), Domain: fanout.Domain(s.domain), Capacity: s.capacity, IsHeard: true}
}

// hubModeReceivers returns the receivers of the n-th report when hubs distribute it: the hubs of the own
// domain, each of which forwards half of the reports at once. Listed gateways that rank before the hubs may
// be hubs without this gateway in their view, so some receive the report too. Gateways whose domain is
// unknown also receive it, since no hub covers them. The caller holds the lock.
func (s *Share) hubModeReceivers(now time.Time, n uint64) []receiver {
	hubs, listed := fanout.Hubs(s.domainMembers(now, s.domain))
	if len(listed) >= maxUnconfirmedHubs {
		hubs = slices.DeleteFunc(hubs, func(ap netip.AddrPort) bool { return ap == s.Addr() })
	}
	var list []receiver
	for i, ap := range hubs {
		role := roleStore
		if n%uint64(len(hubs)) == uint64(i) {
			role = roleForward
		}
		list = append(list, receiver{ap, assignment{role: role}})
	}
	for _, ap := range listed[:min(maxUnconfirmedHubs, len(listed))] {
		list = append(list, receiver{ap, assignment{role: roleForward}})
	}
	for ap, p := range s.peers {
		if p.domain == 0 && now.Sub(p.lastSent) >= silentSendInterval {
			p.lastSent = now
			list = append(list, receiver{addr: ap})
		}
	}
	return list
}

// hubUpdateReceivers returns the receivers of a hub's update: the gateways of its domain, and a hub of each
// other one.
func (s *Share) hubUpdateReceivers(now time.Time) (inDomain, otherDomains []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := make(map[digest]bool)
	for ap, p := range s.peers {
		silentFor := now.Sub(p.lastSeen)
		switch {
		case p.domain != s.domain:
			others[p.domain] = p.domain != 0
		case silentFor > silentAfter && now.Sub(p.lastSent) < silentSendInterval:
		default:
			p.lastSent = now
			inDomain = append(inDomain, ap)
		}
	}
	own, _ := fanout.Hubs(s.domainMembers(now, s.domain))
	rank := max(0, slices.Index(own, s.Addr()))
	for domain, isKnown := range others {
		if !isKnown {
			continue
		}
		hubs, listed := fanout.Hubs(s.domainMembers(now, domain))
		if len(hubs) > 0 {
			otherDomains = append(otherDomains, hubs[rank%len(hubs)])
		}
		otherDomains = append(otherDomains, listed[:min(1, len(listed))]...)
	}
	return inDomain, otherDomains
}

// directModeReceivers returns the receivers of the n-th report when no hubs are used: all gateways of the own
// domain, and one of each other domain, which forwards the report. If the sender sent it to each, reports
// would cross between domains as many times as there are gateways, and this traffic is the most costly. The
// caller holds the lock.
func (s *Share) directModeReceivers(now time.Time, n uint64) []receiver {
	var list []receiver
	others := make(map[digest][]netip.AddrPort) // live gateways of other domains
	for ap, p := range s.peers {
		silentFor := now.Sub(p.lastSeen)
		switch {
		case silentFor > silentAfter && now.Sub(p.lastSent) < silentSendInterval:
		case s.hasRelays && p.name != "" && p.domain != s.domain && silentFor < PeerTTL:
			others[p.domain] = append(others[p.domain], ap)
		default:
			p.lastSent = now
			list = append(list, receiver{addr: ap})
		}
	}
	for _, domain := range others {
		slices.SortFunc(domain, func(a, b netip.AddrPort) int { return cmp.Compare(s.hashPeer(a.String()), s.hashPeer(b.String())) })
		ap := domain[n%uint64(min(relaysPerDomain, len(domain)))]
		s.peers[ap].lastSent = now
		list = append(list, receiver{ap, assignment{isRelay: len(domain) > 1}})
	}
	return list
}

// domainPeersExcept returns the live gateways of the own domain except one.
func (s *Share) domainPeersExcept(now time.Time, except netip.AddrPort) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []netip.AddrPort
	for ap, p := range s.peers {
		if ap != except && p.domain == s.domain && now.Sub(p.lastSeen) < silentAfter {
			list = append(list, ap)
		}
	}
	return list
}
