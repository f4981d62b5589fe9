package loadshare

import (
	"net/netip"
	"time"

	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	"arbutusramp/core/quota"
	"arbutusramp/internal/fleetview"
)

// handleBatch applies a batch of a hub and forwards it to the gateways that the batch names.
func (s *Share) handleBatch(data []byte, from netip.AddrPort) {
	b, c, heartbeats, err := decodeBatch(data)
	if err != nil {
		s.log.Warn("cannot decode batch of load reports", "from", from.String(), "error", err)
		return
	}
	if len(b.Forward) > 0 {
		s.sendBatch(batch{Content: b.Content}, b.Forward...)
	}
	s.applyPeerInfos(c.Intros)
	s.markHubSeen(c.Hub)
	list := s.applyContent(c, heartbeats)
	if len(list) > 0 {
		s.view.ApplyNews(list)
	}
}

// applyPeerInfos adds the gateways that a hub describes.
func (s *Share) applyPeerInfos(infos []peerInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, info := range infos {
		if info.Addr == s.Addr() || info.Name == "" {
			continue
		}
		// A hub that has not received a report of a restarted process yet still describes the previous start.
		if p, ok := s.peers[info.Addr]; ok && p.name != "" && p.name != info.Name && now.Sub(p.lastSeen) < PeerTTL {
			continue
		}
		p := s.upsertPeer(info.Addr, info.Name)
		p.domain, p.capacity = info.Domain, info.Capacity
	}
}

// markHubSeen records that a hub is live.
func (s *Share) markHubSeen(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[addr]; ok {
		p.lastSeen, p.lastSeenDirect = time.Now(), time.Now()
	}
}

// applyContent applies the reports and heartbeats of a hub to the peers, and returns the updates for the view
// of the fleet. What a hub of another domain sends is also put into this gateway's own table as a hub, to be
// distributed.
func (s *Share) applyContent(c batchContent, heartbeats []heartbeat) []fleetview.PeerNews {
	now := time.Now()
	ids := s.targetIDs()
	var list []fleetview.PeerNews
	s.mu.Lock()
	hub, isKnown := s.peers[c.Hub]
	isCrossDomain := isKnown && hub.domain != s.domain
	var reports []peerReport
	for _, r := range c.News {
		p := s.lookUpPeer(r.ID)
		if p == nil || r.Seq <= p.seq {
			continue
		}
		p.seq = r.Seq
		p.lastSeen = now
		reports = append(reports, peerReport{p.addr, p.name, r})
		list = append(list, fleetview.PeerNews{From: p.name, Report: &fleet.Report{
			Loads: decodeLoads(r.Loads, ids), Suspects: resolveTargets(r.Suspects, ids), Demand: fleet.Demand{Items: r.Items, Due: r.Due}, Contact: p.lastStoreContact,
		}})
		if isCrossDomain {
			s.hub.putReport(p.hubEntry(r, now), true)
		}
	}
	var liveReports []peerReport
	for _, h := range heartbeats {
		p := s.lookUpPeer(h.id)
		if p == nil {
			continue
		}
		list = append(list, s.applyHeartbeat(now, p, h, isCrossDomain))
		if h.hasStopped {
			s.quotas.Forget(p.addr.String())
		} else {
			liveReports = append(liveReports, peerReport{addr: p.addr, name: p.name})
		}
	}
	s.mu.Unlock()
	s.applyAdmissionsAndRecords(append(reports, liveReports...))
	return list
}

// lookUpPeer returns the peer that an id stands for. If there is none it returns nil and notes the id, to
// request a peerInfo. The caller holds the lock.
func (s *Share) lookUpPeer(id fanout.ID) *peer {
	p, ok := s.byID[id]
	if !ok && id != gatewayID(s.self) && len(s.unknownIDs) < maxUnknownIDs {
		s.unknownIDs[id] = struct{}{}
	}
	return p
}

// peerReport is a report forwarded by a hub, with the peer that it comes from.
type peerReport struct {
	addr netip.AddrPort
	name fleet.Peer
	relayedReport
}

// applyAdmissionsAndRecords applies what reports contain besides loads: quarantine records and admitted
// requests.
func (s *Share) applyAdmissionsAndRecords(list []peerReport) {
	for _, r := range list {
		s.quarantine.Apply(s.decodeRecords(r.Quarantine, r.addr))
		s.quotas.Apply(r.addr.String(), quota.Report{Start: string(r.name), IsFirst: r.IsFirst, Counts: decodeCounts(r.Admitted), Delay: maxHubDelay})
	}
}

// applyHeartbeat records a heartbeat and returns the update for the view of the fleet. The caller holds the
// lock.
func (s *Share) applyHeartbeat(now time.Time, p *peer, h heartbeat, isCrossDomain bool) fleetview.PeerNews {
	seenAt := now.Add(-h.age)
	if seenAt.After(p.lastSeen) {
		p.lastSeen = seenAt
		p.lastStoreContact, p.hasLostStore = now.Add(-h.contactAge), h.hasLostStore
	}
	// A heartbeat of an older report, which a newer one has overtaken through another hub, does not describe
	// the loads.
	seqAhead := int16(h.seq - uint16(p.seq))
	isIdle := h.isIdle && seqAhead >= 0
	if isIdle {
		p.seq += uint64(seqAhead)
	}
	if isCrossDomain {
		o := p.hubEntry(relayedReport{ID: p.id, Seq: p.seq}, seenAt)
		o.IsIdle, o.HasStopped = isIdle, h.hasStopped
		s.hub.putHeartbeat(o)
	}
	return fleetview.PeerNews{From: p.name, Sign: fleet.Sign{Heard: seenAt, Contact: now.Add(-h.contactAge), IsIdle: isIdle}}
}
