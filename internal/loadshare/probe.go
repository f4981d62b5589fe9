package loadshare

import (
	"context"
	"net/netip"
	"time"

	"arbutusramp/core/sleep"
	"arbutusramp/internal/tcpprobe"
)

const (
	// probeAfter is the time without a direct datagram from a peer after which the peer is probed. It is longer
	// than refreshInterval, at which the reports of a live peer arrive unless it reports only to hubs.
	probeAfter = 250 * time.Millisecond
	// probeInterval is the pause between two passes over all peers. probeRepeatInterval is the shortest time
	// between two probes of one peer.
	probeInterval       = 100 * time.Millisecond
	probeRepeatInterval = 400 * time.Millisecond
	// probeTimeout is the time limit of one probe: a live host refuses a connection within a few
	// milliseconds.
	probeTimeout = 150 * time.Millisecond
	// maxProbesPerPass is the largest number of peers that one pass probes, one after another.
	maxProbesPerPass = 8
)

// probePeers detects which silent peers have stopped, until ctx ends: the host of a stopped process refuses TCP
// connections, while the host of a peer that is cut off does not answer. A stopped peer admits no requests,
// so its share of the quotas goes to the other gateways at once.
func (s *Sharer) probePeers(ctx context.Context) error {
	for sleep.For(ctx, probeInterval) {
		for _, addr := range s.peersToProbe(time.Now()) {
			if isProcessStopped(ctx, addr) {
				s.log.Info("peer has stopped", "addr", addr.String())
				s.quotas.RemovePeer(addr.String())
				s.markPeerStopped(addr)
			}
		}
	}
	return nil
}

// markPeerStopped marks the process of a peer as stopped in the table that this gateway keeps as a hub.
func (s *Sharer) markPeerStopped(addr netip.AddrPort) {
	s.mu.Lock()
	p, ok := s.peers[addr]
	s.mu.Unlock()
	if ok {
		s.hub.markStopped(p.id)
	}
}

// peersToProbe returns the addresses of at most maxProbesPerPass peers that have sent no direct datagram for
// probeAfter and were not probed within probeRepeatInterval. It sets lastProbed of these peers to now.
// Peers without a direct datagram for longer than silentAfter are left out: they report only to hubs, which
// probe them, or they have been due for several probes already.
func (s *Sharer) peersToProbe(now time.Time) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addrs []netip.AddrPort
	for ap, p := range s.peers {
		silentFor := now.Sub(p.lastSeenDirect)
		if p.name == "" || silentFor < probeAfter || silentFor > silentAfter || now.Sub(p.lastProbed) < probeRepeatInterval || len(addrs) == maxProbesPerPass {
			continue
		}
		p.lastProbed = now
		addrs = append(addrs, ap)
	}
	return addrs
}

// isProcessStopped reports whether the host of a peer is live and no process listens on the peer's address.
func isProcessStopped(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return tcpprobe.IsRefused(ctx, addr.String())
}
