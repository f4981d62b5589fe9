// Package loadshare tells the gateways' loads among each other, over datagrams. Each gateway sends
// all that it has at targets whenever that changes; a lost datagram is made good by the next one. Within a failure
// domain all hear it from the sender; in each other domain one gateway does, and passes it on. In large domains
// hubs gather the reports and tell them on; see core/fanout.
package loadshare

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	"arbutusramp/core/policy"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/quota"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/logging"
)

const (
	// minGap lets changes gather that come together.
	minGap = 3 * time.Millisecond
	// gapPerPeer bounds the rate in large systems: to 40 receivers a gateway sends 50 times a
	// second at most.
	gapPerPeer = 500 * time.Microsecond
	// refresh is the pause between reports without a change. Peers forget a gateway after
	// PeerTTL.
	refresh = 200 * time.Millisecond
	// PeerTTL is how long a report counts: several refreshes, since datagrams get lost.
	PeerTTL = 700 * time.Millisecond
	// quietAfter is the silence after which a peer is sent to only every quietGap: it has
	// stopped, or it is cut off and will be back.
	quietAfter = 3 * time.Second
	quietGap   = time.Second
	// forgetAfter is the silence after which a peer is dropped. It is found again in the store
	// or by its own reports.
	forgetAfter = 60 * time.Second
	// reachedWithin is how long ago a peer may have reached the store to count as one that does. In calm
	// times the store answers each gateway at least every 0.6 s.
	reachedWithin = time.Second
	// maxDatagram is what one report may have.
	maxDatagram = 60 << 10
)

// peer is another gateway's socket.
type peer struct {
	addr   netip.AddrPort
	seq    uint64
	name   fleet.Peer // empty before its first report
	id     fanout.ID  // stands for the name
	domain digest     // 0 is not known
	// capacity is its processor time; 0 is not known.
	capacity fanout.Capacity
	heard    time.Time
	direct   time.Time // when it was last heard of without a hub in between
	sent     time.Time
	probed   time.Time
	// contact is when the store last answered it, and hasDetour says that its own way there is lost.
	contact   time.Time
	hasDetour bool
}

// reachesStore says whether the store has answered the peer a moment ago, by its own way.
func (p *peer) reachesStore(now time.Time) bool {
	return now.Sub(p.heard) < PeerTTL && !p.hasDetour && now.Sub(p.contact) < reachedWithin
}

// origin is what a hub knows of the peer.
func (p *peer) origin(n news, heard time.Time) fanout.Origin[news] {
	return fanout.Origin[news]{
		ID: p.id, Domain: fanout.Domain(p.domain), Seq: n.Seq, Heard: heard, Contact: p.contact, HasDetour: p.hasDetour, IsIdle: n.isIdle(), Report: n,
	}
}

// Share is this process's part.
type Share struct {
	self     fleet.Peer
	domain   digest
	capacity fanout.Capacity
	relays   bool // reports are passed on in other domains; see receivers
	view     *fleetview.View
	// detours says whether this process's own way to the store is lost.
	detours func() bool
	quotas  Quotas
	// quarantine has news of requests that targets crash under.
	quarantine Quarantine
	log        hclog.Logger
	lines      *logging.Routine // a line for each peer, of which many start at once
	conn       *net.UDPConn

	names   names // of the goroutine that receives
	traffic Traffic
	hub     hub

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	byID  map[fanout.ID]*peer // those with a name
	// unknown are gateways that hubs have told of and that are not known here.
	unknown map[fanout.ID]struct{}
	// hasListed says that AddPeer was called for all that are listed.
	hasListed bool
	began     time.Time
}

// Quotas is what gateways tell each other about the requests of workspaces.
type Quotas interface {
	// Report returns what this gateway tells its peers.
	Report() quota.Report
	// Apply takes in the report of the peer at an address.
	Apply(addr string, r quota.Report)
	// AddPeer makes the address of a peer known that has not reported yet.
	AddPeer(addr string)
	// Forget drops a peer that is known to have stopped.
	Forget(addr string)
}

// Quarantine is what gateways tell each other about requests that targets crash under.
type Quarantine interface {
	// ToTell returns the records that peers should be told now.
	ToTell() []quarantine.Record
	// Apply takes in what a peer tells.
	Apply(records []quarantine.Record)
	// PeerStarted notes that a peer is heard for the first time.
	PeerStarted()
}

// Options are what a Share needs to know.
type Options struct {
	Addr   string // IP:port to listen at
	Self   fleet.Peer
	Domain string // failure domain of this process
	// Capacity is the processor time of this process.
	Capacity fanout.Capacity
	Off      policy.Off
	View     *fleetview.View
	Quotas   Quotas
	// Quarantine has what is told beside the loads.
	Quarantine Quarantine
	// Detours says, once Run is called, whether this process's own way to the store is lost.
	Detours func() bool
	Log     hclog.Logger
}

// New listens for the reports of peers.
func New(o Options) (*Share, error) {
	ap, err := netip.ParseAddrPort(o.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "address for peers")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return &Share{
		self: o.Self, domain: digestOf(o.Domain), capacity: o.Capacity, relays: o.Off.Allows(policy.Relays), view: o.View, detours: o.Detours, quotas: o.Quotas, quarantine: o.Quarantine,
		log: o.Log, lines: logging.NewRoutine(o.Log), conn: conn, hub: newHub(), peers: make(map[netip.AddrPort]*peer), byID: make(map[fanout.ID]*peer), unknown: make(map[fanout.ID]struct{}), began: time.Now(),
	}, nil
}

// Addr is where peers send to.
func (s *Share) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// AddPeer makes a peer known by its address (IP:port), its failure domain and its processor time, which are empty where they are not
// known.
func (s *Share) AddPeer(addr, domain string, capacity fanout.Capacity) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		s.log.Warn("peer address can't be read", "addr", addr, "error", err)
		return
	}
	if ap == s.Addr() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[ap]; !ok {
		p := &peer{addr: ap, capacity: capacity, heard: time.Now()}
		if domain != "" {
			p.domain = digestOf(domain)
		}
		s.peers[ap] = p
		s.quotas.AddPeer(ap.String())
	}
}

// NoteListed notes that AddPeer was called for all that are listed.
func (s *Share) NoteListed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasListed = true
}

// listedWithin is how long after the start the list of gateways is awaited.
const listedWithin = time.Second

// Rank is how many of the gateways that may live go before this one when some of all have a duty. It is not known right after the start.
func (s *Share) Rank() (rank int, isKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	others := make([]fanout.Member, 0, len(s.peers))
	for addr, p := range s.peers {
		if now.Sub(p.heard) <= quietAfter {
			others = append(others, fanout.Member{Addr: addr, Capacity: p.capacity})
		}
	}
	return fanout.Rank(s.selfMember(), others), s.hasListed || now.Sub(s.began) > listedWithin
}

// named returns the peer at an address, which is new if it had another name there. The caller holds the lock.
func (s *Share) named(addr netip.AddrPort, name fleet.Peer) *peer {
	if p, ok := s.peers[addr]; ok && p.name == name {
		return p
	}
	s.quarantine.PeerStarted()
	s.lines.Info(time.Now(), "peer", "peer", name, "addr", addr.String())
	s.forget(addr)
	p := &peer{addr: addr, name: name, id: idOf(name), heard: time.Now()}
	s.peers[addr], s.byID[p.id] = p, p
	return p
}

// forget drops the peer at an address. The caller holds the lock.
func (s *Share) forget(addr netip.AddrPort) {
	if p, ok := s.peers[addr]; ok && s.byID[p.id] == p {
		delete(s.byID, p.id)
	}
	delete(s.peers, addr)
}

// idOf is what stands for a gateway's name in what hubs tell.
func idOf(name fleet.Peer) fanout.ID { return fanout.ID(digestOf(string(name))) }

// Run sends and receives until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.receive(ctx) })
	g.Go(func() error { return s.send(ctx) })
	g.Go(func() error { return s.runHub(ctx) })
	g.Go(func() error { return s.probePeers(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		return s.conn.Close()
	})
	return g.Wait()
}

func (s *Share) send(ctx context.Context) error {
	again := sleep.NewTimer(refresh)
	defer again.Stop()
	var seq uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-again.C:
		case <-s.view.Changed():
		}
		seq++
		n := s.broadcast(seq)
		again.Reset(refresh)
		sleep.For(ctx, max(minGap, time.Duration(n)*gapPerPeer))
	}
}

// Peers is the number of gateways that are known.
func (s *Share) Peers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// broadcast sends this process's loads. It returns to how many gateways.
func (s *Share) broadcast(seq uint64) int {
	own := s.view.Report()
	now := time.Now()
	admitted := s.quotas.Report()
	r := report{
		IsFirst: admitted.IsFirst, Admitted: countsOf(admitted.Counts),
		From: s.self, Seq: seq, Loads: linesOf(own.Loads), Items: own.Demand.Items, Due: own.Demand.Due,
		ContactAge: now.Sub(own.Contact).Milliseconds(), Detours: s.detours(), Domain: s.domain, Suspects: digestsOf(own.Suspects), Quarantine: messagesOf(s.quarantine.ToTell()),
		Unknown: s.takeUnknown(), Capacity: s.capacity,
	}
	list := s.receivers(now, seq)
	encoded := make(map[purpose][]byte)
	for _, to := range list {
		if to.addr == s.Addr() {
			s.gatherOwn(now, r, to.role)
			continue
		}
		data, ok := encoded[to.purpose]
		if !ok {
			r.PassOn, r.Role = to.passOn, to.role
			data = s.encode(r)
			encoded[to.purpose] = data
		}
		if data != nil {
			s.sendTo(data, to.addr)
			s.traffic.Own.add(len(data))
		}
	}
	return len(list)
}

// gatherOwn takes this gateway's own report into what it tells as a hub.
func (s *Share) gatherOwn(now time.Time, r report, role hubRole) {
	self := peer{id: idOf(s.self), domain: s.domain, contact: r.contact(now), hasDetour: r.Detours}
	s.hub.gather(self.origin(newsOf(self.id, r), now), role == rolePassOn)
}

// takeUnknown returns gateways that hubs have told of since the last call and that are not known here.
func (s *Share) takeUnknown() []fanout.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Collect(maps.Keys(s.unknown))
	clear(s.unknown)
	return list
}

// encode returns a report as it is sent; nil, with a line in the log, if it can't be encoded.
func (s *Share) encode(r report) []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		s.log.Error("load report can't be encoded", "from", r.From, "origin", r.Origin.String(), "error", err)
		return nil
	}
	return data
}

// sendTo sends one datagram. One that can't be sent is lost like others are; the next report follows.
func (s *Share) sendTo(data []byte, to netip.AddrPort) {
	_, _ = s.conn.WriteToUDPAddrPort(data, to)
}

// forward sends another gateway's report to those of the own domain.
func (s *Share) forward(r report, origin netip.AddrPort) {
	r.PassOn, r.Origin = false, origin
	data := s.encode(r)
	if data == nil {
		return
	}
	for _, to := range s.domainPeers(time.Now(), origin) {
		s.sendTo(data, to)
		s.traffic.PassedOn.add(len(data))
	}
}

func (s *Share) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The answer of a host without a listener comes up here: a peer has stopped.
			sleep.For(ctx, minGap)
			continue
		}
		s.traffic.Heard.add(n)
		s.take(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (s *Share) take(data []byte, from netip.AddrPort) {
	if isBatch(data) {
		s.takeBatch(data, from)
		return
	}
	var r report
	if err := cbor.Unmarshal(data, &r); err != nil {
		s.log.Warn("load report can't be read", "from", from.String(), "error", err)
		return
	}
	if r.Origin.IsValid() {
		from = r.Origin
	}
	if from == s.Addr() || !s.heard(from, r) {
		return
	}
	if r.PassOn {
		s.forward(r, from)
	}
	if len(r.Unknown) > 0 {
		s.introduceTo(from, r.Unknown)
	}
	ids := s.targetNames()
	s.view.ApplyReport(r.From, fleet.Report{
		Loads: loadsOf(r.Loads, ids), Suspects: idsOf(r.Suspects, ids), Demand: fleet.Demand{Items: r.Items, Due: r.Due},
		Contact: r.contact(time.Now()),
	})
	s.quarantine.Apply(s.recordsOf(r.Quarantine, from))
	s.quotas.Apply(from.String(), quota.Report{Start: string(r.From), IsFirst: r.IsFirst, Counts: countsFrom(r.Admitted)})
}

// recordsOf reads what a peer tells of requests that targets crash under. What can't be read is left out.
func (s *Share) recordsOf(messages []quarantine.Message, from netip.AddrPort) []quarantine.Record {
	var list []quarantine.Record
	for _, m := range messages {
		r, err := m.Record()
		if err != nil {
			s.log.Warn("record of the quarantine can't be read", "from", from.String(), "error", err)
			continue
		}
		list = append(list, r)
	}
	return list
}

// targetNames returns the targets' ids by their digests. Only the goroutine that receives calls it.
func (s *Share) targetNames() map[digest]string {
	if listed := s.view.Listed(); s.names.ids == nil || listed != s.names.listed {
		s.names = namesOf(listed, s.view.Targets())
	}
	return s.names.ids
}

// heard notes a report. It reports whether the report is newer than those before it.
func (s *Share) heard(from netip.AddrPort, r report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.named(from, r.From)
	p.heard, p.domain, p.capacity = time.Now(), r.Domain, r.Capacity
	p.direct = p.heard
	isNew := r.Seq > p.seq
	if isNew {
		p.seq = r.Seq
		p.contact, p.hasDetour = r.contact(p.heard), r.Detours
	}
	if r.Role != roleNone {
		s.hub.gather(p.origin(newsOf(p.id, r), p.heard), r.Role == rolePassOn)
	}
	return isNew
}

// PeersWithStore returns the addresses of live peers that have reached the store by their own way within
// reachedWithin. Each process has an order of its own, so that not all turn to the same peer.
func (s *Share) PeersWithStore() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var list []string
	for ap, p := range s.peers {
		if p.reachesStore(now) {
			list = append(list, ap.String())
		}
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(s.rank(a), s.rank(b)) })
	return list
}

func (s *Share) rank(addr string) uint64 { return xxhash.Sum64String(string(s.self) + " " + addr) }
