package loadshare

import (
	"net/netip"
	"time"

	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	"arbutusramp/core/quota"
	"arbutusramp/internal/fleetview"
)

// handleBatch forwards a batch of a hub to the gateways that the batch names, and applies its content. from
// is the address that the datagram comes from.
func (s *Sharer) handleBatch(data []byte, from netip.AddrPort) {
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
	updates := s.applyContent(c, heartbeats)
	if len(updates) > 0 {
		s.view.ApplyPeerUpdates(updates)
	}
}

// applyPeerInfos adds peers for the gateways that a hub describes, and updates their domains and capacities.
func (s *Sharer) applyPeerInfos(infos []peerInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, info := range infos {
		if info.Addr == s.Addr() || info.Name == "" {
			continue
		}
		// Ignore a description with another name than that of the live peer at this address: the hub may not
		// have received a report of the restarted process yet, and then still describes the previous one.
		if p, ok := s.peers[info.Addr]; ok && p.name != "" && p.name != info.Name && now.Sub(p.lastSeen) < PeerTTL {
			continue
		}
		p := s.upsertPeer(info.Addr, info.Name)
		p.domain, p.capacity = info.Domain, info.Capacity
	}
}

// markHubSeen records that a batch of the hub at addr has arrived, so that the hub counts as live.
func (s *Sharer) markHubSeen(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[addr]; ok {
		p.lastSeen, p.lastSeenDirect = time.Now(), time.Now()
	}
}

// applyContent applies the reports and heartbeats of a hub to the peers, the quotas and the quarantine, and
// returns the updates for the view of the fleet. What a hub of another domain sends is also put into this
// gateway's own table, from which runHub distributes it in the own domain.
func (s *Sharer) applyContent(c batchContent, heartbeats []heartbeat) []fleetview.PeerUpdate {
	now := time.Now()
	index := s.currentIndex()
	var updates []fleetview.PeerUpdate
	s.mu.Lock()
	hubPeer, isKnown := s.peers[c.Hub]
	isCrossDomain := isKnown && hubPeer.domain != s.domain
	var newReports []peerReport
	for _, r := range c.News {
		p := s.lookUpPeer(r.ID)
		if p == nil || r.Seq <= p.seq {
			continue
		}
		p.seq = r.Seq
		p.lastSeen = now
		newReports = append(newReports, peerReport{p.addr, p.name, r})
		fleetReport := &fleet.Report{
			Loads: decodeLoads(r.Loads, index.idByDigest), Suspects: resolveTargets(r.Suspects, index.idByDigest), Demand: fleet.Demand{Items: r.Items, StartKey: r.Due}, StoreContact: p.lastStoreContact,
		}
		r.Scheduling.decode(fleetReport, index)
		updates = append(updates, fleetview.PeerUpdate{Peer: p.name, Report: fleetReport})
		if isCrossDomain {
			s.hub.putReport(p.hubEntry(r, now), true)
		}
	}
	var heartbeatReports []peerReport // empty reports of live peers
	for _, h := range heartbeats {
		p := s.lookUpPeer(h.id)
		if p == nil {
			continue
		}
		updates = append(updates, s.applyHeartbeat(now, p, h, isCrossDomain))
		if h.hasStopped {
			s.quotas.RemovePeer(p.addr.String())
		} else {
			heartbeatReports = append(heartbeatReports, peerReport{addr: p.addr, name: p.name})
		}
	}
	s.mu.Unlock()
	s.applyAdmissionsAndRecords(append(newReports, heartbeatReports...))
	return updates
}

// lookUpPeer returns the peer with an id. If there is none it returns nil, and the next report requests the
// peerInfo of this id. The caller holds the lock.
func (s *Sharer) lookUpPeer(id fanout.ID) *peer {
	p, ok := s.byID[id]
	if !ok && id != gatewayID(s.self) && len(s.unknownIDs) < maxUnknownIDs {
		s.unknownIDs[id] = struct{}{}
	}
	return p
}

// peerReport is a report forwarded by a hub, with the address and the name of the gateway that it comes from.
type peerReport struct {
	addr netip.AddrPort
	name fleet.Peer
	relayedReport
}

// applyAdmissionsAndRecords applies the quarantine records and the counts of admitted requests in reports
// that arrived through hubs. An empty report still records in the quotas that its gateway is live.
func (s *Sharer) applyAdmissionsAndRecords(reports []peerReport) {
	for _, r := range reports {
		s.quarantine.ApplyRecords(s.decodeRecords(r.Quarantine, r.addr))
		s.quotas.ApplyReport(r.addr.String(), quota.Report{StartID: string(r.name), IsAfterStart: r.IsFirst, Counts: decodeCounts(r.Admitted), ForwardDelay: maxHubDelay})
	}
}

// applyHeartbeat records a heartbeat of p and returns the update for the view of the fleet. isCrossDomain is
// set if a hub of another domain has sent it. The caller holds the lock.
func (s *Sharer) applyHeartbeat(now time.Time, p *peer, h heartbeat, isCrossDomain bool) fleetview.PeerUpdate {
	seenAt := now.Add(-h.age)
	if seenAt.After(p.lastSeen) {
		p.lastSeen = seenAt
		p.lastStoreContact, p.hasLostStore = now.Add(-h.storeContactAge), h.hasLostStore
	}
	// The heartbeat holds only the low 16 bits of the sequence number. The signed difference of 16 bits is
	// negative if a newer report has arrived earlier through another hub, also when the bits wrap around. The
	// heartbeat then says nothing about the present loads.
	seqAhead := int16(h.seq - uint16(p.seq))
	isIdle := h.isIdle && seqAhead >= 0
	// A heartbeat of an idle gateway replaces its report, so that reports up to this sequence number are
	// ignored from now on. The report of a gateway that is not idle is sent separately and must still be
	// accepted.
	if isIdle {
		p.seq += uint64(seqAhead)
	}
	if isCrossDomain {
		e := p.hubEntry(relayedReport{ID: p.id, Seq: p.seq}, seenAt)
		e.IsIdle, e.HasStopped = isIdle, h.hasStopped
		s.hub.putHeartbeat(e)
	}
	return fleetview.PeerUpdate{Peer: p.name, Heartbeat: fleet.Heartbeat{LastSeen: seenAt, StoreContact: now.Add(-h.storeContactAge), IsIdle: isIdle}}
}
