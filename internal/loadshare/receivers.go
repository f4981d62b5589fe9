package loadshare

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// relays is how many gateways of another domain take turns in passing reports on. With one, its loss would leave its
// domain without news from all others until it has been silent for PeerTTL.
const relays = 2

// receiver is a gateway that gets a report.
type receiver struct {
	addr   netip.AddrPort
	passOn bool // to those of its domain
}

// receivers returns who gets the n-th report. All gateways of the own domain get it, and of each other domain one that
// passes it on: told to each by its sender, reports cross between domains as often as gateways are there, and these bytes
// cost the most.
func (s *Share) receivers(now time.Time, n uint64) []receiver {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []receiver
	others := make(map[digest][]netip.AddrPort) // live gateways of other domains
	for ap, p := range s.peers {
		silent := now.Sub(p.heard)
		switch {
		case silent > forgetAfter:
			delete(s.peers, ap)
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
		list = append(list, receiver{addr: ap, passOn: len(domain) > 1})
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
