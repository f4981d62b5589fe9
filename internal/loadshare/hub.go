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
	// hubGap is the shortest time between two batches of a hub.
	hubGap = 5 * time.Millisecond
	// maxPause is the longest pause between two reports that a gateway tells by itself, and maxDirect is to how many receivers it does.
	// With more of them the way over hubs is shorter than the pause.
	maxPause  = 20 * time.Millisecond
	maxDirect = int(maxPause / gapPerPeer)
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
	origins int         // gateways of the own domain that report to this one
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
	h.origins = len(own)
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
	before := s.HubFor()
	all := s.hub.take(now, isRefresh, fanout.Domain(s.domain))
	if n := s.HubFor(); (n > 0) != (before > 0) {
		s.log.Info("hub for load reports", "gateways", n, "before", before)
	}
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

// HubFor is the number of gateways whose reports this one passes on.
func (s *Share) HubFor() int {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	return s.hub.origins
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

func (p *peer) intro() intro {
	return intro{Name: p.name, Addr: p.addr, Domain: p.domain, Capacity: p.capacity}
}

func (s *Share) ownIntro() intro {
	return intro{Name: s.self, Addr: s.Addr(), Domain: s.domain, Capacity: s.capacity}
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
