package loadshare

import (
	"context"
	"net/netip"
	"time"

	"arbutusramp/core/sleep"
	"arbutusramp/internal/tcpprobe"
)

const (
	// probeAfter is the silence after which a peer is probed: all live peers report more often.
	probeAfter = 250 * time.Millisecond
	// probeInterval is the time between two passes over the peers, and probeRepeatInterval that between two
	// probes of one peer.
	probeInterval       = 100 * time.Millisecond
	probeRepeatInterval = 400 * time.Millisecond
	// probeTimeout limits a probe: a live host refuses a connection within a few milliseconds.
	probeTimeout = 150 * time.Millisecond
	// maxProbesPerPass limits the number of probes in one pass.
	maxProbesPerPass = 8
)

// probePeers detects which silent peers have stopped: their hosts refuse connections, while those of peers
// that are cut off do not answer. A stopped peer admits no requests, so its share of the quotas goes to the
// other gateways at once.
func (s *Share) probePeers(ctx context.Context) error {
	for sleep.For(ctx, probeInterval) {
		for _, addr := range s.peersToProbe(time.Now()) {
			if isProcessStopped(ctx, addr) {
				s.log.Info("peer has stopped", "addr", addr.String())
				s.quotas.Forget(addr.String())
				s.markPeerStopped(addr)
			}
		}
	}
	return nil
}

// markPeerStopped marks a peer's process as stopped in what this gateway sends as a hub.
func (s *Share) markPeerStopped(addr netip.AddrPort) {
	s.mu.Lock()
	p, ok := s.peers[addr]
	s.mu.Unlock()
	if ok {
		s.hub.markStopped(p.id)
	}
}

// peersToProbe returns the peers that are due for a probe, and marks them as probed.
func (s *Share) peersToProbe(now time.Time) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []netip.AddrPort
	for ap, p := range s.peers {
		silentFor := now.Sub(p.lastSeenDirect)
		if p.name == "" || silentFor < probeAfter || silentFor > silentAfter || now.Sub(p.lastProbed) < probeRepeatInterval || len(list) == maxProbesPerPass {
			continue
		}
		p.lastProbed = now
		list = append(list, ap)
	}
	return list
}

// isProcessStopped reports whether the host of a peer is live and no process listens there.
func isProcessStopped(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return tcpprobe.IsRefused(ctx, addr.String())
}
