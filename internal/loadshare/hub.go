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
	// minHubInterval is the shortest time between two batches of a hub.
	minHubInterval = 5 * time.Millisecond
	// maxDirectInterval is the longest time between two reports of a gateway that sends to all receivers
	// itself, and maxDirectReceivers the number of receivers that results in it. With more of them the path
	// through hubs takes less time than that interval.
	maxDirectInterval  = 20 * time.Millisecond
	maxDirectReceivers = int(maxDirectInterval / sendIntervalPerPeer)
	// maxHubDelay is the longest additional delay of a report that arrives through hubs.
	maxHubDelay = refreshInterval + 3*minHubInterval
	// peerInfosPerRefresh is how many gateways a hub announces again with each refresh, for receivers that
	// have missed them.
	peerInfosPerRefresh = 16
	// maxUnknownIDs limits the number of gateways whose peerInfo one report requests.
	maxUnknownIDs = 128
	// maxUnconfirmedHubs is to how many listed gateways that were not seen yet a report is sent besides the
	// hubs.
	maxUnconfirmedHubs = 3
)

// hubRole is what the receiver of a report does with it as a hub.
type hubRole uint8

const (
	roleNone    hubRole = iota
	roleStore           // store it and repeat its state with each refresh
	roleForward         // also forward it at once
)

// hub holds the state of this gateway as a hub: the reports of the gateways of its domain, and those from the
// hubs of other domains.
type hub struct {
	changed chan struct{}

	mu             sync.Mutex
	table          *fanout.Table[relayedReport]
	unannounced    []fanout.ID // gateways that were not announced to others yet
	announceOffset int         // position in the list of gateways that are announced again
	reporterCount  int         // gateways of the own domain that report to this one
}

func newHub() hub {
	return hub{changed: make(chan struct{}, 1), table: fanout.NewTable(PeerTTL, mergeReports)}
}

// putReport stores the report of a gateway.
func (h *hub) putReport(o fanout.Origin[relayedReport], isForwarded bool) {
	h.mu.Lock()
	h.updateTable(o.ID, func() { h.table.Put(o, isForwarded) })
	h.mu.Unlock()
	if isForwarded {
		signal(h.changed)
	}
}

// updateTable calls update, and announces the gateway if the call adds it to the table. The caller holds the
// lock.
func (h *hub) updateTable(id fanout.ID, update func()) {
	before := h.table.Len()
	update()
	if h.table.Len() > before {
		h.unannounced = append(h.unannounced, id)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// hubUpdate is what a hub sends at one time.
type hubUpdate struct {
	changes    []fanout.Origin[relayedReport] // gateways whose reports are new
	heartbeats []fanout.Origin[relayedReport] // sent with the reports of gateways that are not idle
	announced  []fanout.ID
}

// takeUpdate returns what is to be sent now. A refresh includes a heartbeat of each gateway of a domain.
func (h *hub) takeUpdate(now time.Time, isRefresh bool, domain fanout.Domain) hubUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := hubUpdate{changes: h.table.Changes(), heartbeats: h.table.Vouched(), announced: h.unannounced}
	h.unannounced = nil
	if !isRefresh {
		return u
	}
	own := h.table.Refresh(now, domain)
	h.reporterCount = len(own)
	u.heartbeats = append(u.heartbeats, own...)
	for i := range min(peerInfosPerRefresh, len(own)) {
		u.announced = append(u.announced, own[(h.announceOffset+i)%len(own)].ID)
	}
	h.announceOffset += peerInfosPerRefresh
	return u
}

// forDomain returns the entries of the gateways of one domain.
func (u hubUpdate) forDomain(d fanout.Domain) hubUpdate {
	isOther := func(o fanout.Origin[relayedReport]) bool { return o.Domain != d }
	return hubUpdate{changes: slices.DeleteFunc(slices.Clone(u.changes), isOther), heartbeats: slices.DeleteFunc(slices.Clone(u.heartbeats), isOther)}
}

// runHub distributes the reports that other gateways send to this one, until ctx ends.
func (s *Share) runHub(ctx context.Context) error {
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

// sendHubUpdate sends the pending entries of the table to the gateways of the own domain, and those that come
// from the own domain to the hubs of the other domains.
func (s *Share) sendHubUpdate(isRefresh bool) {
	now := time.Now()
	before := s.HubFor()
	all := s.hub.takeUpdate(now, isRefresh, fanout.Domain(s.domain))
	if n := s.HubFor(); (n > 0) != (before > 0) {
		s.log.Info("hub for load reports", "gateways", n, "before", before)
	}
	if len(all.changes) == 0 && len(all.heartbeats) == 0 && len(all.announced) == 0 {
		return
	}
	inDomain, otherDomains := s.hubUpdateReceivers(now)
	infos := s.peerInfos(all.announced)
	s.sendToBranches(s.encodeContents(now, infos, all), fanout.Branches(s.Addr(), inDomain))
	ownInfos := slices.DeleteFunc(slices.Clone(infos), func(p peerInfo) bool { return p.Domain != s.domain })
	for _, data := range s.encodeContents(now, ownInfos, all.forDomain(fanout.Domain(s.domain))) {
		for _, to := range otherDomains {
			s.sendBatch(batch{Content: data}, to)
		}
	}
}

// HubFor returns the number of gateways whose reports this one forwards.
func (s *Share) HubFor() int {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	return s.hub.reporterCount
}

// sendPeerInfos sends to a gateway the descriptions of gateways that it has no peer for.
func (s *Share) sendPeerInfos(addr netip.AddrPort, unknown []fanout.ID) {
	for _, data := range s.encodeContents(time.Now(), s.peerInfos(unknown), hubUpdate{}) {
		s.sendBatch(batch{Content: data}, addr)
	}
}

// encodeContents encodes an update as contents of batches.
func (s *Share) encodeContents(now time.Time, infos []peerInfo, u hubUpdate) []cbor.RawMessage {
	var reports []relayedReport
	var heartbeats []heartbeat
	for _, o := range u.changes {
		reports = append(reports, o.Report)
	}
	for _, o := range u.heartbeats {
		heartbeats = append(heartbeats, newHeartbeat(now, o))
		if !o.IsIdle {
			reports = append(reports, o.Report)
		}
	}
	var encoded []cbor.RawMessage
	for _, c := range splitContents(s.Addr(), infos, reports, heartbeats) {
		data, err := cbor.Marshal(c)
		if err != nil {
			s.log.Error("cannot encode batch of load reports", "reports", len(c.News), "error", err)
			continue
		}
		encoded = append(encoded, data)
	}
	return encoded
}

func newHeartbeat(now time.Time, o fanout.Origin[relayedReport]) heartbeat {
	return heartbeat{
		id: o.ID, seq: uint16(o.Seq), age: now.Sub(o.Heard), contactAge: now.Sub(o.Contact), isIdle: o.IsIdle, hasStopped: o.HasStopped, hasLostStore: o.HasDetour,
	}
}

func (s *Share) sendToBranches(contents []cbor.RawMessage, branches []fanout.Branch) {
	for _, data := range contents {
		for _, b := range branches {
			s.sendBatch(batch{Forward: b.Rest, Content: data}, b.First)
		}
	}
}

func (s *Share) sendBatch(b batch, to ...netip.AddrPort) {
	data, err := cbor.Marshal(b)
	if err != nil {
		s.log.Error("cannot encode batch of load reports", "error", err)
		return
	}
	for _, addr := range to {
		s.sendDatagram(data, addr)
		s.traffic.PassedOn.add(len(data))
	}
}

// peerInfos returns the descriptions of gateways. Unknown ids are left out.
func (s *Share) peerInfos(ids []fanout.ID) []peerInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []peerInfo
	for _, id := range ids {
		if p, ok := s.byID[id]; ok {
			list = append(list, p.info())
		}
		if id == gatewayID(s.self) {
			list = append(list, s.selfInfo())
		}
	}
	return list
}

func (p *peer) info() peerInfo {
	return peerInfo{Name: p.name, Addr: p.addr, Domain: p.domain, Capacity: p.capacity}
}

func (s *Share) selfInfo() peerInfo {
	return peerInfo{Name: s.self, Addr: s.Addr(), Domain: s.domain, Capacity: s.capacity}
}

// putHeartbeat records a heartbeat that a hub of another domain has sent.
func (h *hub) putHeartbeat(o fanout.Origin[relayedReport]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateTable(o.ID, func() { h.table.Vouch(o) })
	signal(h.changed)
}

// markStopped marks a gateway's process as stopped.
func (h *hub) markStopped(id fanout.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Stop(id)
}
