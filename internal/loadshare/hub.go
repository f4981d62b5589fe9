package loadshare

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/fanout"
	"arbutusramp/core/sleep"
)

const (
	// minHubInterval is the shortest time after a hub has forwarded new reports or heartbeats until it sends
	// again.
	minHubInterval = 5 * time.Millisecond
	// maxDirectInterval is the longest interval between two reports up to which a gateway sends them to all
	// receivers itself. maxDirectReceivers (40) is the number of receivers at which sendIntervalPerPeer results
	// in this interval. With more receivers a report arrives earlier through hubs.
	maxDirectInterval  = 20 * time.Millisecond
	maxDirectReceivers = int(maxDirectInterval / sendIntervalPerPeer)
	// maxHubDelay is the longest additional delay of a report that arrives through hubs: one wait of
	// refreshInterval and three of minHubInterval. The quotas treat a peer as silent that much later if its
	// reports arrive through hubs.
	maxHubDelay = refreshInterval + 3*minHubInterval
	// peerInfosPerRefresh is how many gateways a hub describes again in each refresh, for receivers that have
	// not received the earlier descriptions.
	peerInfosPerRefresh = 16
	// maxUnknownIDs is the largest number of gateways whose peerInfo one report requests.
	maxUnknownIDs = 128
	// maxUnconfirmedHubs is the largest number of gateways that were not seen recently and receive a report
	// besides the hubs, because they may be live and act as hubs; see hubModeReceivers.
	maxUnconfirmedHubs = 3
)

// hubRole is what the receiver of a report does with it as a hub.
type hubRole uint8

const (
	roleNone    hubRole = iota // the receiver is no hub for the sender
	roleStore                  // store the report, and send the state of the sender with each refresh
	roleForward                // as roleStore, and forward the report at once
)

// hub holds the state of this gateway as a hub: the reports of the gateways of its domain, and those from the
// hubs of other domains.
type hub struct {
	changed chan struct{} // gets a token when a report or heartbeat is to be forwarded at once

	mu             sync.Mutex // guards the fields below
	table          *fanout.Table[relayedReport]
	unannounced    []fanout.ID // gateways that are in the table and were not described to others yet
	announceOffset int         // number of gateways that were described again; the next refresh continues there
	reporterCount  int         // number of live gateways of the own domain in the table at the last refresh
}

// newHub returns a hub with an empty table.
func newHub() hub {
	return hub{changed: make(chan struct{}, 1), table: fanout.NewTable(PeerTTL, mergeReports)}
}

// putReport stores the report of a gateway. isForwardDue makes runHub forward it at once.
func (h *hub) putReport(e fanout.Entry[relayedReport], isForwardDue bool) {
	h.mu.Lock()
	h.updateTable(e.ID, func() { h.table.Put(e, isForwardDue) })
	h.mu.Unlock()
	if isForwardDue {
		signal(h.changed)
	}
}

// updateTable calls apply, which changes the table, and marks the gateway as unannounced if the call adds it
// to the table. The caller holds the lock.
func (h *hub) updateTable(id fanout.ID, apply func()) {
	oldLen := h.table.Len()
	apply()
	if h.table.Len() > oldLen {
		h.unannounced = append(h.unannounced, id)
	}
}

// signal sends a token to a channel of capacity 1, unless one is pending.
func signal(tokens chan struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}

// hubUpdate is what a hub sends at one time, in one or more batches.
type hubUpdate struct {
	changes    []fanout.Entry[relayedReport] // entries of gateways whose reports are new
	heartbeats []fanout.Entry[relayedReport] // entries whose heartbeats are sent, with their reports unless idle
	announced  []fanout.ID                   // gateways whose descriptions are sent
}

// takeUpdate returns the reports and heartbeats that are to be forwarded and the gateways that are to be
// described, and clears the lists of them. A refresh also includes a heartbeat of each live gateway of the
// hub's domain, and describes the next peerInfosPerRefresh of them again.
func (h *hub) takeUpdate(now time.Time, isRefresh bool, domain fanout.Domain) hubUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := hubUpdate{changes: h.table.TakeChanges(), heartbeats: h.table.TakeHeartbeats(), announced: h.unannounced}
	h.unannounced = nil
	if !isRefresh {
		return u
	}
	own := h.table.PruneAndList(now, domain)
	h.reporterCount = len(own)
	u.heartbeats = append(u.heartbeats, own...)
	for i := range min(peerInfosPerRefresh, len(own)) {
		u.announced = append(u.announced, own[(h.announceOffset+i)%len(own)].ID)
	}
	h.announceOffset += peerInfosPerRefresh
	return u
}

// forDomain returns the changes and heartbeats of the gateways of one domain, without announced gateways.
func (u hubUpdate) forDomain(d fanout.Domain) hubUpdate {
	isOtherDomain := func(e fanout.Entry[relayedReport]) bool { return e.Domain != d }
	return hubUpdate{changes: slices.DeleteFunc(slices.Clone(u.changes), isOtherDomain), heartbeats: slices.DeleteFunc(slices.Clone(u.heartbeats), isOtherDomain)}
}

// runHub distributes the reports in this gateway's table as a hub, until ctx ends.
func (s *Sharer) runHub(ctx context.Context) error {
	refreshTimer := sleep.NewTimer(refreshInterval)
	defer refreshTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.hub.changed:
			s.sendHubUpdate(false)
			sleep.For(ctx, minHubInterval)
		case <-refreshTimer.C:
			s.sendHubUpdate(true)
			refreshTimer.Reset(refreshInterval)
		}
	}
}

// sendHubUpdate sends the pending entries of the table to the gateways of the own domain, and the pending
// entries of gateways of the own domain to a hub of each other domain.
func (s *Sharer) sendHubUpdate(isRefresh bool) {
	now := time.Now()
	oldCount := s.HubReporterCount()
	update := s.hub.takeUpdate(now, isRefresh, fanout.Domain(s.domain))
	if count := s.HubReporterCount(); (count > 0) != (oldCount > 0) {
		s.log.Info("hub for load reports", "gateways", count, "before", oldCount)
	}
	if len(update.changes) == 0 && len(update.heartbeats) == 0 && len(update.announced) == 0 {
		return
	}
	ownDomainReceivers, otherDomainReceivers := s.hubUpdateReceivers(now)
	infos := s.peerInfos(update.announced)
	s.sendToBranches(s.encodeContents(now, infos, update), fanout.Branches(s.Addr(), ownDomainReceivers))
	ownInfos := slices.DeleteFunc(slices.Clone(infos), func(p peerInfo) bool { return p.Domain != s.domain })
	for _, data := range s.encodeContents(now, ownInfos, update.forDomain(fanout.Domain(s.domain))) {
		for _, to := range otherDomainReceivers {
			s.sendBatch(batch{Content: data}, to)
		}
	}
}

// HubReporterCount returns the number of gateways of the own domain whose reports this gateway held as a hub at
// its last refresh; 0 if it is no hub.
func (s *Sharer) HubReporterCount() int {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	return s.hub.reporterCount
}

// sendPeerInfos sends to the gateway at addr the descriptions of gateways that are unknown to it.
func (s *Sharer) sendPeerInfos(addr netip.AddrPort, unknownIDs []fanout.ID) {
	for _, data := range s.encodeContents(time.Now(), s.peerInfos(unknownIDs), hubUpdate{}) {
		s.sendBatch(batch{Content: data}, addr)
	}
}

// encodeContents encodes descriptions and an update as contents of one or more batches. Contents that cannot
// be encoded are logged and left out.
func (s *Sharer) encodeContents(now time.Time, infos []peerInfo, u hubUpdate) []cbor.RawMessage {
	var reports []relayedReport
	var heartbeats []heartbeat
	for _, e := range u.changes {
		reports = append(reports, e.Report)
	}
	for _, e := range u.heartbeats {
		heartbeats = append(heartbeats, newHeartbeat(now, e))
		if !e.IsIdle {
			reports = append(reports, e.Report)
		}
	}
	var contents []cbor.RawMessage
	for _, c := range splitContents(s.Addr(), infos, reports, heartbeats) {
		data, err := cbor.Marshal(c)
		if err != nil {
			s.log.Error("cannot encode batch of load reports", "reports", len(c.News), "error", err)
			continue
		}
		contents = append(contents, data)
	}
	return contents
}

// newHeartbeat returns the heartbeat for an entry of the table, with its ages at the time now.
func newHeartbeat(now time.Time, e fanout.Entry[relayedReport]) heartbeat {
	return heartbeat{
		id: e.ID, seq: uint16(e.Seq), age: now.Sub(e.LastSeen), storeContactAge: now.Sub(e.LastStoreContact), isIdle: e.IsIdle, hasStopped: e.HasStopped, hasLostStore: e.HasLostStore,
	}
}

// sendToBranches sends each of the contents to the first gateway of each branch, which forwards it to the
// others.
func (s *Sharer) sendToBranches(contents []cbor.RawMessage, branches []fanout.Branch) {
	for _, data := range contents {
		for _, b := range branches {
			s.sendBatch(batch{Forward: b.Children, Content: data}, b.Parent)
		}
	}
}

// sendBatch sends a batch to each of the given addresses. If encoding fails it logs the error and sends
// nothing.
func (s *Sharer) sendBatch(b batch, to ...netip.AddrPort) {
	data, err := cbor.Marshal(b)
	if err != nil {
		s.log.Error("cannot encode batch of load reports", "error", err)
		return
	}
	for _, addr := range to {
		s.sendDatagram(data, addr)
		s.traffic.Forwarded.add(len(data))
	}
}

// peerInfos returns the descriptions of the gateways with the given ids. Ids of unknown gateways are left out.
func (s *Sharer) peerInfos(ids []fanout.ID) []peerInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	var infos []peerInfo
	for _, id := range ids {
		if p, ok := s.byID[id]; ok {
			infos = append(infos, p.info())
		}
		if id == gatewayID(s.self) {
			infos = append(infos, s.selfInfo())
		}
	}
	return infos
}

// info returns the description of the peer.
func (p *peer) info() peerInfo {
	return peerInfo{Name: p.name, Addr: p.addr, Domain: p.domain, Capacity: p.capacity}
}

// selfInfo returns the description of this gateway.
func (s *Sharer) selfInfo() peerInfo {
	return peerInfo{Name: s.self, Addr: s.Addr(), Domain: s.domain, Capacity: s.capacity}
}

// putHeartbeat records a heartbeat that a hub of another domain has sent, to be forwarded at once.
func (h *hub) putHeartbeat(e fanout.Entry[relayedReport]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateTable(e.ID, func() { h.table.PutHeartbeat(e) })
	signal(h.changed)
}

// markStopped marks a gateway's process as stopped in the table, so that the next heartbeat for the gateway has
// hasStopped set.
func (h *hub) markStopped(id fanout.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.MarkStopped(id)
}
