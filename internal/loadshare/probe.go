package loadshare

import (
	"context"
	"net/netip"
	"time"

	"arbutusramp/core/sleep"
	"arbutusramp/internal/tcpprobe"
)

const (
	// probeAfter is the silence after which a peer is asked whether its process still runs: all live ones report more often.
	probeAfter = 250 * time.Millisecond
	// probeInterval is the pause between two looks at the peers, and probeGap that between two probes of one peer.
	probeInterval = 100 * time.Millisecond
	probeGap      = 400 * time.Millisecond
	// probeTimeout bounds a probe: a host that lives refuses a connection within a few milliseconds.
	probeTimeout = 150 * time.Millisecond
	// maxProbes bounds the probes of one look.
	maxProbes = 8
)

// probePeers finds out which silent peers have stopped: their hosts refuse connections, while those of peers that are cut off do
// not answer. A stopped peer admits no requests, so that its part of the quotas falls to the others at once.
func (s *Share) probePeers(ctx context.Context) error {
	for sleep.For(ctx, probeInterval) {
		for _, addr := range s.silentPeers(time.Now()) {
			if hasStopped(ctx, addr) {
				s.log.Info("peer has stopped", "addr", addr.String())
				s.quotas.Forget(addr.String())
				s.noteStopped(addr)
			}
		}
	}
	return nil
}

// noteStopped has others know, by this gateway as a hub, that the process of a peer has stopped.
func (s *Share) noteStopped(addr netip.AddrPort) {
	s.mu.Lock()
	p, ok := s.peers[addr]
	s.mu.Unlock()
	if ok {
		s.hub.stop(p.id)
	}
}

// silentPeers returns the peers that are due to be probed.
func (s *Share) silentPeers(now time.Time) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []netip.AddrPort
	for ap, p := range s.peers {
		silent := now.Sub(p.direct)
		if p.name == "" || silent < probeAfter || silent > quietAfter || now.Sub(p.probed) < probeGap || len(list) == maxProbes {
			continue
		}
		p.probed = now
		list = append(list, ap)
	}
	return list
}

// hasStopped reports whether the host of a peer lives and no process listens there.
func hasStopped(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return tcpprobe.IsRefused(ctx, addr.String())
}
