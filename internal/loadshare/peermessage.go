package loadshare

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// SendMessage sends a payload to one peer, in a datagram that other parts of the process interpret; see
// Options.OnMessage. It may get lost.
func (s *Sharer) SendMessage(payload []byte, to netip.AddrPort) {
	data, err := cbor.Marshal(payload)
	if err != nil {
		s.log.Error("cannot encode message", "to", to.String(), "error", err)
		return
	}
	s.sendDatagram(data, to)
	s.traffic.Messages.add(len(data))
}

// handleMessage passes the payload of a message of the peer at an address on.
func (s *Sharer) handleMessage(data []byte, from netip.AddrPort) {
	var payload []byte
	if err := cbor.Unmarshal(data, &payload); err != nil {
		s.log.Warn("cannot decode message", "from", from.String(), "error", err)
		return
	}
	if s.onMessage != nil {
		s.onMessage(payload, from)
	}
}

// LivePeers returns the addresses of the peers that have sent a sign of life within PeerTTL, or were added within it.
// isKnown is false until the list of gateways is loaded, as in Rank.
func (s *Sharer) LivePeers() (addrs []netip.AddrPort, isKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for addr, p := range s.peers {
		if now.Sub(p.lastSeen) < PeerTTL {
			addrs = append(addrs, addr)
		}
	}
	return addrs, s.isPeerListKnown(now)
}
