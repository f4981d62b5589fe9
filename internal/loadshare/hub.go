package loadshare

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	"arbutusramp/core/quota"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
)

const (
	// hubGap is the shortest time between two batches of a hub.
	hubGap = 10 * time.Millisecond
	// maxDirect is how many receivers a gateway tells by itself. With more of them the pauses between its reports are longer than the way
	// over two hubs.
	maxDirect = int(2 * hubGap / gapPerPeer)
	// hubDelay is how much later than by itself the word of a peer may come over hubs.
	hubDelay = refresh + 3*hubGap
	// introsPerRefresh is how many gateways a hub introduces again with each refresh, for those that have missed it.
	introsPerRefresh = 16
	// maxUnknown bounds the gateways that one report asks to be introduced.
	maxUnknown = 128
	// maxListed is how many listed gateways that were not heard yet are told a report beside the hubs.
	maxListed = 3
)

// hubRole is what the receiver of a report is to do with it.
type hubRole uint8

const (
	roleNone   hubRole = iota
	roleKeep           // repeat what counts of it with each refresh
	rolePassOn         // and pass it on at once
)

// hub is what this gateway does for others of its domain that report to it.
type hub struct {
	changed chan struct{}

	mu      sync.Mutex
	table   *fanout.Table[news]
	intros  []fanout.ID // gateways that were not introduced to others yet
	rotated int         // of the gateways that are introduced again
}

func newHub() hub {
	return hub{changed: make(chan struct{}, 1), table: fanout.NewTable(PeerTTL, mergeNews)}
}

// gather takes in a report of a gateway.
func (h *hub) gather(o fanout.Origin[news], isPassedOn bool) {
	h.mu.Lock()
	h.noteNew(o.ID, func() { h.table.Put(o, isPassedOn) })
	h.mu.Unlock()
	if isPassedOn {
		signal(h.changed)
	}
}

// noteNew has a gateway introduced that a change adds to the table. The caller holds the lock.
func (h *hub) noteNew(id fanout.ID, change func()) {
	known := h.table.Len()
	change()
	if h.table.Len() > known {
		h.intros = append(h.intros, id)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// told is what a hub tells at a moment.
type told struct {
	changes []fanout.Origin[news] // whose reports are new
	signs   []fanout.Origin[news] // of life; with them go the reports of those that are not idle
	intros  []fanout.ID
}

// take returns what is to be told now. With a refresh that is a sign of life of each gateway of a domain.
func (h *hub) take(now time.Time, isRefresh bool, domain fanout.Domain) told {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := told{changes: h.table.Changes(), signs: h.table.Vouched(), intros: h.intros}
	h.intros = nil
	if !isRefresh {
		return t
	}
	own := h.table.Refresh(now, domain)
	t.signs = append(t.signs, own...)
	for i := range min(introsPerRefresh, len(own)) {
		t.intros = append(t.intros, own[(h.rotated+i)%len(own)].ID)
	}
	h.rotated += introsPerRefresh
	return t
}

// of returns what is told of the gateways of one domain.
func (t told) of(d fanout.Domain) told {
	isOther := func(o fanout.Origin[news]) bool { return o.Domain != d }
	return told{changes: slices.DeleteFunc(slices.Clone(t.changes), isOther), signs: slices.DeleteFunc(slices.Clone(t.signs), isOther)}
}

// runHub passes on what other gateways report to this one, until ctx ends.
func (s *Share) runHub(ctx context.Context) error {
	again := sleep.NewTimer(refresh)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.hub.changed:
			s.spread(false)
			sleep.For(ctx, hubGap)
		case <-again.C:
			s.spread(true)
			again.Reset(refresh)
		}
	}
}

// spread tells the gateways of the own domain what the table holds, and the hubs of the other domains what came from the own one.
func (s *Share) spread(isRefresh bool) {
	now := time.Now()
	all := s.hub.take(now, isRefresh, fanout.Domain(s.domain))
	if len(all.changes) == 0 && len(all.signs) == 0 && len(all.intros) == 0 {
		return
	}
	inside, across := s.hubReceivers(now)
	intros := s.introsOf(all.intros)
	s.tellBranches(s.encodeContents(now, intros, all), fanout.Branches(s.Addr(), inside))
	ownIntros := slices.DeleteFunc(slices.Clone(intros), func(i intro) bool { return i.Domain != s.domain })
	for _, data := range s.encodeContents(now, ownIntros, all.of(fanout.Domain(s.domain))) {
		for _, to := range across {
			s.sendBatch(batch{Content: data}, to)
		}
	}
}

// introduceTo tells a gateway of those that it does not know.
func (s *Share) introduceTo(addr netip.AddrPort, unknown []fanout.ID) {
	for _, data := range s.encodeContents(time.Now(), s.introsOf(unknown), told{}) {
		s.sendBatch(batch{Content: data}, addr)
	}
}

// encodeContents encodes what is told of gateways.
func (s *Share) encodeContents(now time.Time, intros []intro, t told) []cbor.RawMessage {
	var reports []news
	var signs []sign
	for _, o := range t.changes {
		reports = append(reports, o.Report)
	}
	for _, o := range t.signs {
		signs = append(signs, signOf(now, o))
		if !o.IsIdle {
			reports = append(reports, o.Report)
		}
	}
	var encoded []cbor.RawMessage
	for _, c := range split(s.Addr(), intros, reports, signs) {
		data, err := cbor.Marshal(c)
		if err != nil {
			s.log.Error("batch of load reports can't be encoded", "reports", len(c.News), "error", err)
			continue
		}
		encoded = append(encoded, data)
	}
	return encoded
}

func signOf(now time.Time, o fanout.Origin[news]) sign {
	return sign{
		id: o.ID, seq: uint16(o.Seq), age: now.Sub(o.Heard), contact: now.Sub(o.Contact), isIdle: o.IsIdle, hasStopped: o.HasStopped, hasDetour: o.HasDetour,
	}
}

func (s *Share) tellBranches(contents []cbor.RawMessage, branches []fanout.Branch) {
	for _, data := range contents {
		for _, b := range branches {
			s.sendBatch(batch{Forward: b.Rest, Content: data}, b.First)
		}
	}
}

func (s *Share) sendBatch(b batch, to ...netip.AddrPort) {
	data, err := cbor.Marshal(b)
	if err != nil {
		s.log.Error("batch of load reports can't be encoded", "error", err)
		return
	}
	for _, addr := range to {
		s.sendTo(data, addr)
		s.traffic.PassedOn.add(len(data))
	}
}

// takeBatch takes in what a hub tells, and passes it on to those that the hub names.
func (s *Share) takeBatch(data []byte, from netip.AddrPort) {
	b, c, signs, err := decodeBatch(data)
	if err != nil {
		s.log.Warn("batch of load reports can't be read", "from", from.String(), "error", err)
		return
	}
	if len(b.Forward) > 0 {
		s.sendBatch(batch{Content: b.Content}, b.Forward...)
	}
	s.introduce(c.Intros)
	s.noteHub(c.Hub)
	list := s.newsFrom(c, signs)
	if len(list) > 0 {
		s.view.ApplyNews(list)
	}
}

// introduce makes gateways known by what a hub tells of them.
func (s *Share) introduce(intros []intro) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range intros {
		if i.Addr != s.Addr() && i.Name != "" {
			s.named(i.Addr, i.Name).domain = i.Domain
		}
	}
}

// noteHub notes that a hub lives.
func (s *Share) noteHub(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[addr]; ok {
		p.heard, p.direct = time.Now(), time.Now()
	}
}

// newsFrom notes what a hub tells of peers, and returns what of it the view of the fleet takes in. A hub of another domain tells what this
// gateway, as a hub, has to pass on.
func (s *Share) newsFrom(c content, signs []sign) []fleetview.PeerNews {
	now := time.Now()
	ids := s.targetNames()
	var list []fleetview.PeerNews
	s.mu.Lock()
	hub, isKnown := s.peers[c.Hub]
	isAcross := isKnown && hub.domain != s.domain
	var reports []heardReport
	for _, n := range c.News {
		p := s.peerOf(n.ID)
		if p == nil || n.Seq <= p.seq {
			continue
		}
		p.seq = n.Seq
		p.heard = now
		reports = append(reports, heardReport{p.addr, p.name, n})
		list = append(list, fleetview.PeerNews{From: p.name, Report: &fleet.Report{
			Loads: loadsOf(n.Loads, ids), Suspects: idsOf(n.Suspects, ids), Demand: fleet.Demand{Items: n.Items, Due: n.Due}, Contact: p.contact,
		}})
		if isAcross {
			s.hub.gather(p.origin(n, now), true)
		}
	}
	var alive []heardReport
	for _, g := range signs {
		p := s.peerOf(g.id)
		if p == nil {
			continue
		}
		list = append(list, s.noteSign(now, p, g, isAcross))
		if g.hasStopped {
			s.quotas.Forget(p.addr.String())
		} else {
			alive = append(alive, heardReport{addr: p.addr, name: p.name})
		}
	}
	s.mu.Unlock()
	s.applyReports(append(reports, alive...))
	return list
}

// peerOf returns the peer for which an id stands; nil if it is not known. The caller holds the lock.
func (s *Share) peerOf(id fanout.ID) *peer {
	p, ok := s.byID[id]
	if !ok && id != idOf(s.self) && len(s.unknown) < maxUnknown {
		s.unknown[id] = struct{}{}
	}
	return p
}

// introsOf introduces gateways.
func (s *Share) introsOf(ids []fanout.ID) []intro {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []intro
	for _, id := range ids {
		if p, ok := s.byID[id]; ok {
			list = append(list, p.intro())
		}
		if id == idOf(s.self) {
			list = append(list, s.ownIntro())
		}
	}
	return list
}

func (p *peer) intro() intro { return intro{Name: p.name, Addr: p.addr, Domain: p.domain} }

func (s *Share) ownIntro() intro { return intro{Name: s.self, Addr: s.Addr(), Domain: s.domain} }

// heardReport is a report that a hub has passed on.
type heardReport struct {
	addr netip.AddrPort
	name fleet.Peer
	news
}

// applyReports hands on what reports hold beside loads.
func (s *Share) applyReports(list []heardReport) {
	for _, r := range list {
		s.quarantine.Apply(s.recordsOf(r.Quarantine, r.addr))
		s.quotas.Apply(r.addr.String(), quota.Report{Start: string(r.name), IsFirst: r.IsFirst, Counts: countsFrom(r.Admitted), Delay: hubDelay})
	}
}

// noteSign takes in a sign of life. The caller holds the lock.
func (s *Share) noteSign(now time.Time, p *peer, g sign, isAcross bool) fleetview.PeerNews {
	heard := now.Add(-g.age)
	if heard.After(p.heard) {
		p.heard = heard
		p.contact, p.hasDetour = now.Add(-g.contact), g.hasDetour
	}
	// A sign of an older report, which another hub has overtaken, says nothing of the loads.
	newer := int16(g.seq - uint16(p.seq))
	isIdle := g.isIdle && newer >= 0
	if isIdle {
		p.seq += uint64(newer)
	}
	if isAcross {
		o := p.origin(news{ID: p.id, Seq: p.seq}, heard)
		o.IsIdle, o.HasStopped = isIdle, g.hasStopped
		s.hub.vouch(o)
	}
	return fleetview.PeerNews{From: p.name, Sign: fleet.Sign{Heard: heard, Contact: now.Add(-g.contact), IsIdle: isIdle}}
}

// vouch takes in that a hub of another domain has heard of a gateway.
func (h *hub) vouch(o fanout.Origin[news]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteNew(o.ID, func() { h.table.Vouch(o) })
	signal(h.changed)
}

// stop notes that a gateway's process has stopped.
func (h *hub) stop(id fanout.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Stop(id)
}
