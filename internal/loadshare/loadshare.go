// Package loadshare exchanges load reports among gateways over UDP. Each gateway sends its complete load at
// all targets whenever that changes; the next report makes up for a lost datagram. Within a failure domain
// all gateways receive the report from the sender; in each other domain one gateway does and forwards it. In
// large domains hubs collect the reports and distribute them; see core/fanout.
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
	// minSendInterval is the shortest time between two reports. Changes within it go out in one report.
	minSendInterval = 3 * time.Millisecond
	// sendIntervalPerPeer limits the rate in large systems: a gateway sends to 40 receivers at most 50 times
	// a second.
	sendIntervalPerPeer = 500 * time.Microsecond
	// refreshInterval is the time between reports without a change. Peers drop the loads of a gateway after
	// PeerTTL.
	refreshInterval = 200 * time.Millisecond
	// PeerTTL is how long a report stays valid: several refreshes, since datagrams get lost.
	PeerTTL = 700 * time.Millisecond
	// silentAfter is the silence after which a peer is sent to only every silentSendInterval: it has stopped,
	// or it is cut off and may come back.
	silentAfter        = 3 * time.Second
	silentSendInterval = time.Second
	// removeAfter is the silence after which a peer is dropped. It is added again from the store or by its
	// own reports.
	removeAfter = 60 * time.Second
	// storeReachableWithin is the longest time since a peer's last contact with the store for which the peer
	// counts as having access to it. Without faults the store answers each gateway at least every 0.6 s.
	storeReachableWithin = time.Second
	// maxDatagramBytes is the largest size of a datagram.
	maxDatagramBytes = 60 << 10
)

// peer is the state of another gateway's socket.
type peer struct {
	addr   netip.AddrPort
	seq    uint64
	name   fleet.Peer // empty before the first report
	id     fanout.ID  // derived from the name
	domain digest     // 0 if unknown
	// capacity is the peer's processor time; 0 if unknown.
	capacity       fanout.Capacity
	lastSeen       time.Time
	lastSeenDirect time.Time // last time of a datagram from the peer itself, not through a hub
	lastSent       time.Time
	lastProbed     time.Time
	// lastStoreContact is when the store last answered the peer. hasLostStore is set if the peer has lost its
	// own connection to the store.
	lastStoreContact time.Time
	hasLostStore     bool
}

// reachesStore reports whether the store has answered the peer recently over the peer's own connection.
func (p *peer) reachesStore(now time.Time) bool {
	return now.Sub(p.lastSeen) < PeerTTL && !p.hasLostStore && now.Sub(p.lastStoreContact) < storeReachableWithin
}

// hubEntry returns the entry for a report of the peer in the table of a hub. seenAt is when the peer was last
// seen.
func (p *peer) hubEntry(r relayedReport, seenAt time.Time) fanout.Origin[relayedReport] {
	return fanout.Origin[relayedReport]{
		ID: p.id, Domain: fanout.Domain(p.domain), Seq: r.Seq, Heard: seenAt, Contact: p.lastStoreContact, HasDetour: p.hasLostStore, IsIdle: r.isIdle(), Report: r,
	}
}

// Share exchanges the reports of this process with its peers.
type Share struct {
	self      fleet.Peer
	domain    digest
	capacity  fanout.Capacity
	hasRelays bool // one gateway of each other domain forwards the reports; see selectReceivers
	view      *fleetview.View
	// hasLostStore reports whether this process has lost its own connection to the store.
	hasLostStore func() bool
	quotas       Quotas
	// quarantine provides and receives records of requests under which targets crash.
	quarantine Quarantine
	log        hclog.Logger
	routineLog *logging.Routine // limits the rate of the line for each new peer: many peers may start at once
	conn       *net.UDPConn

	targetIndex targetIndex // used only by the receiving goroutine
	traffic     Traffic
	hub         hub

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	byID  map[fanout.ID]*peer // peers whose name is known
	// unknownIDs are gateways that appear in the batches of hubs and have no peer here.
	unknownIDs map[fanout.ID]struct{}
	// isPeerListLoaded is set once AddPeer was called for all listed gateways.
	isPeerListLoaded bool
	startTime        time.Time
}

// Quotas holds the request counts of workspaces, which gateways exchange.
type Quotas interface {
	// Report returns the counts that this gateway sends to its peers.
	Report() quota.Report
	// Apply records the report of the peer at an address.
	Apply(addr string, r quota.Report)
	// AddPeer adds the address of a peer that has not reported yet.
	AddPeer(addr string)
	// Forget drops a peer whose process has stopped.
	Forget(addr string)
}

// Quarantine holds records of requests under which targets crash, which gateways exchange.
type Quarantine interface {
	// ToTell returns the records to send to peers now.
	ToTell() []quarantine.Record
	// Apply adds the records of a peer.
	Apply(records []quarantine.Record)
	// PeerStarted is called when a new peer, or a restarted one, is added.
	PeerStarted()
}

// Options configure a Share.
type Options struct {
	Addr   string // IP:port to listen on
	Self   fleet.Peer
	Domain string // failure domain of this process
	// Capacity is the processor time of this process.
	Capacity fanout.Capacity
	Off      policy.Off
	View     *fleetview.View
	Quotas   Quotas
	// Quarantine provides and receives the records that are sent with the loads.
	Quarantine Quarantine
	// Detours reports whether this process has lost its own connection to the store. It is called only after
	// Run.
	Detours func() bool
	Log     hclog.Logger
}

// New opens the socket for the reports of peers. Run sends and receives.
func New(o Options) (*Share, error) {
	ap, err := netip.ParseAddrPort(o.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "parse the listen address for peers")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams of peers")
	}
	return &Share{
		self: o.Self, domain: newDigest(o.Domain), capacity: o.Capacity, hasRelays: o.Off.Allows(policy.Relays), view: o.View, hasLostStore: o.Detours, quotas: o.Quotas, quarantine: o.Quarantine,
		log: o.Log, routineLog: logging.NewRoutine(o.Log), conn: conn, hub: newHub(), peers: make(map[netip.AddrPort]*peer), byID: make(map[fanout.ID]*peer), unknownIDs: make(map[fanout.ID]struct{}), startTime: time.Now(),
	}, nil
}

// Addr returns the address that peers send to.
func (s *Share) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// AddPeer adds a peer by its address (IP:port), its failure domain and its processor time. The last two are
// empty or 0 if unknown. A peer that is already present stays as it is.
func (s *Share) AddPeer(addr, domain string, capacity fanout.Capacity) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		s.log.Warn("cannot parse peer address", "addr", addr, "error", err)
		return
	}
	if ap == s.Addr() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[ap]; !ok {
		p := &peer{addr: ap, capacity: capacity, lastSeen: time.Now()}
		if domain != "" {
			p.domain = newDigest(domain)
		}
		s.peers[ap] = p
		s.quotas.AddPeer(ap.String())
	}
}

// NoteListed records that AddPeer was called for all listed gateways.
func (s *Share) NoteListed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isPeerListLoaded = true
}

// peerListTimeout is how long after the start Rank waits for the list of gateways.
const peerListTimeout = time.Second

// Rank returns how many gateways that may be live come before this one when only some gateways are assigned a
// task; see fanout.Rank. Right after the start, before the list of gateways is complete, isKnown is false.
func (s *Share) Rank() (rank int, isKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	others := make([]fanout.Member, 0, len(s.peers))
	for addr, p := range s.peers {
		if now.Sub(p.lastSeen) <= silentAfter {
			others = append(others, fanout.Member{Addr: addr, Capacity: p.capacity})
		}
	}
	return fanout.Rank(s.selfMember(), others), s.isPeerListLoaded || now.Sub(s.startTime) > peerListTimeout
}

// upsertPeer returns the peer at an address. It replaces a peer of another name there by a new one. The
// caller holds the lock.
func (s *Share) upsertPeer(addr netip.AddrPort, name fleet.Peer) *peer {
	if p, ok := s.peers[addr]; ok && p.name == name {
		return p
	}
	s.quarantine.PeerStarted()
	s.routineLog.Info(time.Now(), "peer", "peer", name, "addr", addr.String())
	s.removePeer(addr)
	p := &peer{addr: addr, name: name, id: gatewayID(name), lastSeen: time.Now()}
	s.peers[addr], s.byID[p.id] = p, p
	return p
}

// removePeer drops the peer at an address. The caller holds the lock.
func (s *Share) removePeer(addr netip.AddrPort) {
	if p, ok := s.peers[addr]; ok && s.byID[p.id] == p {
		delete(s.byID, p.id)
	}
	delete(s.peers, addr)
}

// gatewayID returns the identifier that stands for a gateway's name in the batches of hubs.
func gatewayID(name fleet.Peer) fanout.ID { return fanout.ID(newDigest(string(name))) }

// Run sends and receives until ctx ends, and closes the socket.
func (s *Share) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.runReceiver(ctx) })
	g.Go(func() error { return s.runSender(ctx) })
	g.Go(func() error { return s.runHub(ctx) })
	g.Go(func() error { return s.probePeers(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		return s.conn.Close()
	})
	return g.Wait()
}

func (s *Share) runSender(ctx context.Context) error {
	refreshTimer := sleep.NewTimer(refreshInterval)
	defer refreshTimer.Stop()
	var seq uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-refreshTimer.C:
		case <-s.view.Changed():
		}
		seq++
		n := s.sendReport(seq)
		refreshTimer.Reset(refreshInterval)
		sleep.For(ctx, max(minSendInterval, time.Duration(n)*sendIntervalPerPeer))
	}
}

// Peers returns the number of known gateways.
func (s *Share) Peers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// sendReport sends this process's loads. It returns the number of receivers.
func (s *Share) sendReport(seq uint64) int {
	own := s.view.Report()
	now := time.Now()
	admitted := s.quotas.Report()
	r := report{
		IsFirst: admitted.IsFirst, Admitted: encodeCounts(admitted.Counts),
		From: s.self, Seq: seq, Loads: encodeLoads(own.Loads), Items: own.Demand.Items, Due: own.Demand.Due,
		ContactAge: now.Sub(own.Contact).Milliseconds(), Detours: s.hasLostStore(), Domain: s.domain, Suspects: newDigests(own.Suspects), Quarantine: encodeRecords(s.quarantine.ToTell()),
		Unknown: s.takeUnknownIDs(), Capacity: s.capacity,
	}
	list := s.selectReceivers(now, seq)
	encoded := make(map[assignment][]byte)
	for _, to := range list {
		if to.addr == s.Addr() {
			s.putOwnReport(now, r, to.role)
			continue
		}
		data, ok := encoded[to.assignment]
		if !ok {
			r.PassOn, r.Role = to.isRelay, to.role
			data = s.encodeReport(r)
			encoded[to.assignment] = data
		}
		if data != nil {
			s.sendDatagram(data, to.addr)
			s.traffic.Own.add(len(data))
		}
	}
	return len(list)
}

// putOwnReport adds this gateway's own report to what it sends as a hub.
func (s *Share) putOwnReport(now time.Time, r report, role hubRole) {
	self := peer{id: gatewayID(s.self), domain: s.domain, lastStoreContact: r.storeContact(now), hasLostStore: r.Detours}
	s.hub.putReport(self.hubEntry(newRelayedReport(self.id, r), now), role == roleForward)
}

// takeUnknownIDs returns the gateways that have appeared in the batches of hubs since the last call and have
// no peer here.
func (s *Share) takeUnknownIDs() []fanout.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Collect(maps.Keys(s.unknownIDs))
	clear(s.unknownIDs)
	return list
}

// encodeReport returns the encoded report. If encoding fails it logs the error and returns nil.
func (s *Share) encodeReport(r report) []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		s.log.Error("cannot encode load report", "from", r.From, "origin", r.Origin.String(), "error", err)
		return nil
	}
	return data
}

// sendDatagram sends one datagram. Errors are ignored like losses: the next report follows.
func (s *Share) sendDatagram(data []byte, to netip.AddrPort) {
	_, _ = s.conn.WriteToUDPAddrPort(data, to)
}

// forwardReport sends the report of another gateway to the gateways of the own domain.
func (s *Share) forwardReport(r report, origin netip.AddrPort) {
	r.PassOn, r.Origin = false, origin
	data := s.encodeReport(r)
	if data == nil {
		return
	}
	for _, to := range s.domainPeersExcept(time.Now(), origin) {
		s.sendDatagram(data, to)
		s.traffic.PassedOn.add(len(data))
	}
}

func (s *Share) runReceiver(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The refusal of a host without a listener is returned here: a peer has stopped.
			sleep.For(ctx, minSendInterval)
			continue
		}
		s.traffic.Heard.add(n)
		s.handleDatagram(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (s *Share) handleDatagram(data []byte, from netip.AddrPort) {
	if isBatch(data) {
		s.handleBatch(data, from)
		return
	}
	var r report
	if err := cbor.Unmarshal(data, &r); err != nil {
		s.log.Warn("cannot decode load report", "from", from.String(), "error", err)
		return
	}
	if r.Origin.IsValid() {
		from = r.Origin
	}
	if from == s.Addr() || !s.noteReport(from, r) {
		return
	}
	if r.PassOn {
		s.forwardReport(r, from)
	}
	if len(r.Unknown) > 0 {
		s.sendPeerInfos(from, r.Unknown)
	}
	ids := s.targetIDs()
	s.view.ApplyReport(r.From, fleet.Report{
		Loads: decodeLoads(r.Loads, ids), Suspects: resolveTargets(r.Suspects, ids), Demand: fleet.Demand{Items: r.Items, Due: r.Due},
		Contact: r.storeContact(time.Now()),
	})
	s.quarantine.Apply(s.decodeRecords(r.Quarantine, from))
	s.quotas.Apply(from.String(), quota.Report{Start: string(r.From), IsFirst: r.IsFirst, Counts: decodeCounts(r.Admitted)})
}

// decodeRecords converts the quarantine records of a peer. Records that cannot be decoded are logged and left
// out.
func (s *Share) decodeRecords(messages []quarantine.Message, from netip.AddrPort) []quarantine.Record {
	var list []quarantine.Record
	for _, m := range messages {
		r, err := m.Record()
		if err != nil {
			s.log.Warn("cannot decode quarantine record", "from", from.String(), "error", err)
			continue
		}
		list = append(list, r)
	}
	return list
}

// targetIDs returns the ids of the targets by their digests. Only the receiving goroutine calls it.
func (s *Share) targetIDs() map[digest]string {
	if version := s.view.Listed(); s.targetIndex.idByDigest == nil || version != s.targetIndex.version {
		s.targetIndex = newTargetIndex(version, s.view.Targets())
	}
	return s.targetIndex.idByDigest
}

// noteReport records the arrival of a report. It returns whether the report is newer than the previous ones.
func (s *Share) noteReport(from netip.AddrPort, r report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.upsertPeer(from, r.From)
	p.lastSeen, p.domain, p.capacity = time.Now(), r.Domain, r.Capacity
	p.lastSeenDirect = p.lastSeen
	isNew := r.Seq > p.seq
	if isNew {
		p.seq = r.Seq
		p.lastStoreContact, p.hasLostStore = r.storeContact(p.lastSeen), r.Detours
	}
	if r.Role != roleNone {
		s.hub.putReport(p.hubEntry(newRelayedReport(p.id, r), p.lastSeen), r.Role == roleForward)
	}
	return isNew
}

// PeersWithStore returns the addresses of live peers that have reached the store over their own connection
// within storeReachableWithin. Each process orders them differently, so that not all of them use the same
// peer.
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
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(s.hashPeer(a), s.hashPeer(b)) })
	return list
}

func (s *Share) hashPeer(addr string) uint64 { return xxhash.Sum64String(string(s.self) + " " + addr) }
