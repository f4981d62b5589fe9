package loadshare

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"arbutusramp/core/fanout"
)

// relaysPerDomain is how many gateways of another domain take turns in forwarding the reports of a sender.
// With only one, the loss of this gateway would keep the reports from its domain until it has been silent for
// PeerTTL; with two, every second report still arrives.
const relaysPerDomain = 2

// receiver is a gateway to which a report is sent, and what it does with the report besides applying it.
type receiver struct {
	addr netip.AddrPort
	assignment
}

// assignment says how a receiver distributes a report to other gateways.
type assignment struct {
	isRelay bool    // it forwards the report to the gateways of its domain at once
	role    hubRole // what it does with the report as a hub
}

// selectReceivers returns the receivers of the report with sequence number seq, and drops peers that have
// been silent for longer than removeAfter.
func (s *Sharer) selectReceivers(now time.Time, seq uint64) []receiver {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ap, p := range s.peers {
		if now.Sub(p.lastSeen) > removeAfter {
			s.removePeer(ap)
		}
	}
	if s.isLargeFleet(now) {
		return s.hubModeReceivers(now, seq)
	}
	return s.directModeReceivers(now, seq)
}

// isLargeFleet reports whether hubs are used: a report without hubs would have more than maxDirectReceivers
// receivers, and the settings allow that gateways forward reports (hasRelays). The caller holds the lock.
func (s *Sharer) isLargeFleet(now time.Time) bool {
	otherDomainSet := make(map[digest]bool)
	ownDomainPeers := 0
	for _, p := range s.peers {
		switch {
		case now.Sub(p.lastSeen) > silentAfter:
		case p.domain == s.domain:
			ownDomainPeers++
		default:
			otherDomainSet[p.domain] = true
		}
	}
	return s.hasRelays && ownDomainPeers+len(otherDomainSet) > maxDirectReceivers
}

// domainMembers returns the gateways of a domain that have not been silent for longer than silentAfter,
// including this one. IsLive is set for this one and for those whose name is known and which were seen within
// PeerTTL. The caller holds the lock.
func (s *Sharer) domainMembers(now time.Time, domain digest) []fanout.Member {
	var members []fanout.Member
	if domain == s.domain {
		members = append(members, s.selfMember())
	}
	for ap, p := range s.peers {
		if silentFor := now.Sub(p.lastSeen); p.domain == domain && silentFor <= silentAfter {
			members = append(members, fanout.Member{Addr: ap, Domain: fanout.Domain(domain), Capacity: p.capacity, IsLive: p.name != "" && silentFor < PeerTTL})
		}
	}
	return members
}

// selfMember returns the Member that stands for this gateway in fanout.Hubs and fanout.Rank.
func (s *Sharer) selfMember() fanout.Member {
	return fanout.Member{Addr: s.Addr(), Domain: fanout.Domain(s.domain), Capacity: s.capacity, IsLive: true}
}

// hubModeReceivers returns the receivers of the report with sequence number seq when hubs distribute it: the
// hubs of the own domain, each of which forwards half of the reports at once. Gateways that come before the
// last hub in the order of fanout.Hubs but were not seen recently may be live and act as hubs. They may have
// no entry for this gateway yet, so up to maxUnconfirmedHubs of them receive the report too. Gateways whose
// domain is unknown also receive it, at most every silentSendInterval, since no hub sends to them. The caller
// holds the lock.
func (s *Sharer) hubModeReceivers(now time.Time, seq uint64) []receiver {
	hubs, unconfirmed := fanout.Hubs(s.domainMembers(now, s.domain))
	// Right after the start the peers are listed but have not reported yet. With this many unconfirmed
	// gateways before it, this gateway does not use itself as a hub.
	if len(unconfirmed) >= maxUnconfirmedHubs {
		hubs = slices.DeleteFunc(hubs, func(ap netip.AddrPort) bool { return ap == s.Addr() })
	}
	var receivers []receiver
	for i, ap := range hubs {
		role := roleStore
		if seq%uint64(len(hubs)) == uint64(i) {
			role = roleForward
		}
		receivers = append(receivers, receiver{ap, assignment{role: role}})
	}
	for _, ap := range unconfirmed[:min(maxUnconfirmedHubs, len(unconfirmed))] {
		receivers = append(receivers, receiver{ap, assignment{role: roleForward}})
	}
	for ap, p := range s.peers {
		if p.domain == 0 && now.Sub(p.lastSent) >= silentSendInterval {
			p.lastSent = now
			receivers = append(receivers, receiver{addr: ap})
		}
	}
	return receivers
}

// hubUpdateReceivers returns the receivers of an update of this gateway as a hub: the other gateways of its
// domain, of which those silent for longer than silentAfter are included only every silentSendInterval; and in
// each other domain one hub and at most one unconfirmed gateway of fanout.Hubs.
func (s *Sharer) hubUpdateReceivers(now time.Time) (ownDomainReceivers, otherDomainReceivers []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	otherDomainSet := make(map[digest]bool) // false for 0, the unknown domain
	for ap, p := range s.peers {
		silentFor := now.Sub(p.lastSeen)
		switch {
		case p.domain != s.domain:
			otherDomainSet[p.domain] = p.domain != 0
		case silentFor > silentAfter && now.Sub(p.lastSent) < silentSendInterval:
		default:
			p.lastSent = now
			ownDomainReceivers = append(ownDomainReceivers, ap)
		}
	}
	ownHubs, _ := fanout.Hubs(s.domainMembers(now, s.domain))
	// The hubs of this domain send to different hubs of another domain, as far as it has as many: the first
	// hub to the first one there, the second to the second. A gateway that is not among the hubs sends to the
	// first one.
	rank := max(0, slices.Index(ownHubs, s.Addr()))
	for domain, isKnown := range otherDomainSet {
		if !isKnown {
			continue
		}
		hubs, unconfirmed := fanout.Hubs(s.domainMembers(now, domain))
		if len(hubs) > 0 {
			otherDomainReceivers = append(otherDomainReceivers, hubs[rank%len(hubs)])
		}
		otherDomainReceivers = append(otherDomainReceivers, unconfirmed[:min(1, len(unconfirmed))]...)
	}
	return ownDomainReceivers, otherDomainReceivers
}

// directModeReceivers returns the receivers of the report with sequence number seq when no hubs are used: all
// gateways of the own domain, and one live gateway of each other domain, which forwards the report. If the
// sender sent the report to each gateway, it would cross between domains once for each, and traffic between
// domains is the most costly. Gateways of other domains that have not reported yet, or were not seen within
// PeerTTL, receive the report directly, as do all gateways if relays are disabled. Gateways that are silent for
// longer than silentAfter are included only every silentSendInterval. The caller holds the lock.
func (s *Sharer) directModeReceivers(now time.Time, seq uint64) []receiver {
	var receivers []receiver
	relayCandidates := make(map[digest][]netip.AddrPort) // live gateways of each other domain
	for ap, p := range s.peers {
		silentFor := now.Sub(p.lastSeen)
		switch {
		case silentFor > silentAfter && now.Sub(p.lastSent) < silentSendInterval:
		case s.hasRelays && p.name != "" && p.domain != s.domain && silentFor < PeerTTL:
			relayCandidates[p.domain] = append(relayCandidates[p.domain], ap)
		default:
			p.lastSent = now
			receivers = append(receivers, receiver{addr: ap})
		}
	}
	for _, candidates := range relayCandidates {
		slices.SortFunc(candidates, func(a, b netip.AddrPort) int { return cmp.Compare(s.hashPeer(a.String()), s.hashPeer(b.String())) })
		ap := candidates[seq%uint64(min(relaysPerDomain, len(candidates)))]
		s.peers[ap].lastSent = now
		receivers = append(receivers, receiver{ap, assignment{isRelay: len(candidates) > 1}})
	}
	return receivers
}

// domainPeersExcept returns the addresses of the other gateways of the own domain that have been silent for
// less than silentAfter, without the address except.
func (s *Sharer) domainPeersExcept(now time.Time, except netip.AddrPort) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addrs []netip.AddrPort
	for ap, p := range s.peers {
		if ap != except && p.domain == s.domain && now.Sub(p.lastSeen) < silentAfter {
			addrs = append(addrs, ap)
		}
	}
	return addrs
}
