// Package loadshare exchanges load reports among the gateways of a fleet over UDP, so that each gateway can
// choose targets by the load of all gateways. A gateway sends its complete load at all targets whenever it
// changes, and every refreshInterval without a change; the next report makes up for a lost datagram. Within a
// failure domain all gateways receive the report from the sender; in each other domain one gateway receives
// it and forwards it. In large fleets hubs collect the reports and distribute them; see core/fanout.
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
	// minSendInterval is the shortest time between two reports. Changes within this time are sent in one
	// report.
	minSendInterval = 3 * time.Millisecond
	// sendIntervalPerPeer, multiplied by the number of receivers, is the shortest time between two reports if
	// it exceeds minSendInterval: a gateway sends to 40 receivers at most 50 times a second.
	sendIntervalPerPeer = 500 * time.Microsecond
	// refreshInterval is the time between reports without a change of the loads, and between the refreshes in
	// which a hub sends the state of all gateways of its domain.
	refreshInterval = 200 * time.Millisecond
	// PeerTTL is how long the loads in a report stay valid without a newer report: it spans three times
	// refreshInterval, since datagrams get lost.
	PeerTTL = 700 * time.Millisecond
	// silentAfter is the time without a report or heartbeat of a peer after which reports are sent to it only
	// every silentSendInterval: it has stopped, or it is cut off and may be reachable again later.
	silentAfter        = 3 * time.Second
	silentSendInterval = time.Second
	// removeAfter is the time without a report or heartbeat of a peer after which the peer is dropped. It is
	// added again from the list of gateways in the platform's store, or when it reports.
	removeAfter = 60 * time.Second
	// maxStoreContactAge is the longest time since the platform's store last answered a peer for which the peer
	// counts as having access to the store. Without faults the store answers each gateway at least every 0.6 s.
	maxStoreContactAge = time.Second
	// maxDatagramBytes is the largest size of a datagram that is received whole. A longer one is truncated and
	// cannot be decoded.
	maxDatagramBytes = 60 << 10
)

// peer holds what this process has received or read about the gateway at an address. A restarted gateway gets a
// new peer.
type peer struct {
	addr   netip.AddrPort
	seq    uint64     // sequence number of the peer's newest report
	name   fleet.Peer // empty until the peer has reported or a hub has described it
	id     fanout.ID  // derived from the name
	domain digest     // digest of the name of its failure domain; 0 if unknown
	// capacity is the peer's processor time; 0 if unknown.
	capacity       fanout.Capacity
	lastSeen       time.Time // time of the last report, heartbeat or batch; at first, when the peer was added
	lastSeenDirect time.Time // last time of a report not through a hub, or of a batch of the peer as a hub
	// lastSent is when a report or batch was last sent to the peer. It limits how often one is sent to a peer
	// that is silent or whose domain is unknown; see silentSendInterval.
	lastSent   time.Time
	lastProbed time.Time // time of the last probe; see peersToProbe
	// lastStoreContact is when the platform's store last answered the peer, directly or through another gateway.
	// hasLostStore is set if the peer has lost its direct connection to the store; see report.HasLostStore.
	lastStoreContact time.Time
	hasLostStore     bool
}

// hasStoreAccess reports whether the peer is live, has a direct connection to the platform's store, and was
// answered by the store within maxStoreContactAge.
func (p *peer) hasStoreAccess(now time.Time) bool {
	return now.Sub(p.lastSeen) < PeerTTL && !p.hasLostStore && now.Sub(p.lastStoreContact) < maxStoreContactAge
}

// hubEntry returns the entry of a report of the peer for the table that this gateway keeps as a hub. seenAt is
// when the peer was last seen.
func (p *peer) hubEntry(r relayedReport, seenAt time.Time) fanout.Entry[relayedReport] {
	return fanout.Entry[relayedReport]{
		ID: p.id, Domain: fanout.Domain(p.domain), Seq: r.Seq, LastSeen: seenAt, LastStoreContact: p.lastStoreContact, HasLostStore: p.hasLostStore, IsIdle: r.isIdle(), Report: r,
	}
}

// Sharer exchanges load reports between this gateway and its peers. Its methods may be called concurrently,
// except Run, which is called once.
type Sharer struct {
	self      fleet.Peer
	domain    digest // digest of the name of this process's failure domain
	capacity  fanout.Capacity
	hasRelays bool // policy.ReportRelays is enabled: gateways forward reports of others; see selectReceivers
	view      *fleetview.View
	// hasLostStore reports whether this process has lost its direct connection to the platform's store.
	hasLostStore func() bool
	onMessage    func(payload []byte, from netip.AddrPort)
	quotas       Quotas
	// quarantine provides and receives records of requests during which targets crashed.
	quarantine Quarantine
	log        hclog.Logger
	routineLog *logging.Routine // rate-limited logger for the "peer" line: many peers may start at once
	conn       *net.UDPConn

	targetIndex targetIndex // used only by the goroutine that receives datagrams
	traffic     Traffic
	hub         hub

	mu    sync.Mutex // guards the fields below, and the fields of the peers
	peers map[netip.AddrPort]*peer
	byID  map[fanout.ID]*peer // peers whose name is known
	// unknownIDs identify gateways that appear in the batches of hubs and are not in byID. The next report
	// requests their descriptions.
	unknownIDs map[fanout.ID]struct{}
	// isPeerListLoaded is set once AddPeer has been called for every gateway listed in the platform's store.
	isPeerListLoaded bool
	startTime        time.Time
}

// Quotas limits the requests of each workspace in the whole fleet. For this purpose gateways exchange how
// many requests each of them has admitted.
type Quotas interface {
	// Report returns the counts of admitted requests to send to peers now.
	Report() quota.Report
	// ApplyReport records the counts that the peer at an address (IP:port) has reported.
	ApplyReport(addr string, r quota.Report)
	// AddPeer adds the address of a peer that has not reported yet.
	AddPeer(addr string)
	// RemovePeer drops a peer whose process has stopped; its share of the quotas goes to the other gateways.
	RemovePeer(addr string)
}

// Quarantine holds records of requests during which targets crashed. Gateways exchange these records.
type Quarantine interface {
	// DueForPeers returns the records to send to peers now. It returns a record several times, at growing
	// intervals.
	DueForPeers() []quarantine.Record
	// ApplyRecords adds the records that a peer has sent.
	ApplyRecords(records []quarantine.Record)
	// NotePeerStarted is called when a new or restarted peer has reported for the first time or was described by
	// a hub.
	NotePeerStarted()
}

// Options holds the settings of a Sharer.
type Options struct {
	Addr   string     // IP:port to listen on
	Self   fleet.Peer // name of this process, new with each start
	Domain string     // failure domain of this process
	// Capacity is the processor time of this process.
	Capacity fanout.Capacity
	Disabled policy.Disabled // mechanisms that the settings disable; only policy.ReportRelays matters here
	View     *fleetview.View // provides this process's loads and receives those of the peers
	Quotas   Quotas
	// Quarantine provides the records that are sent with the loads, and receives those of the peers.
	Quarantine Quarantine
	// HasLostStore reports whether this process has lost its direct connection to the platform's store. It is
	// not called before Run.
	HasLostStore func() bool
	// OnMessage is called with each message of a peer, see SendMessage; nil to ignore them. It must not block.
	OnMessage func(payload []byte, from netip.AddrPort)
	Log       hclog.Logger
}

// New opens the socket for the reports of peers. Run sends, receives and closes the socket.
func New(o Options) (*Sharer, error) {
	ap, err := netip.ParseAddrPort(o.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "parse the listen address for peers")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams of peers")
	}
	return &Sharer{
		self: o.Self, domain: newDigest(o.Domain), capacity: o.Capacity, hasRelays: o.Disabled.IsEnabled(policy.ReportRelays), view: o.View, hasLostStore: o.HasLostStore, onMessage: o.OnMessage, quotas: o.Quotas, quarantine: o.Quarantine,
		log: o.Log, routineLog: logging.NewRoutine(o.Log), conn: conn, hub: newHub(), peers: make(map[netip.AddrPort]*peer), byID: make(map[fanout.ID]*peer), unknownIDs: make(map[fanout.ID]struct{}), startTime: time.Now(),
	}, nil
}

// Addr returns the address on which this process receives the reports of peers.
func (s *Sharer) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// AddPeer adds a peer by its address (IP:port), its failure domain and its processor time. domain is empty
// and capacity is 0 if unknown. A peer that is already present stays as it is; this process's own address is
// ignored.
func (s *Sharer) AddPeer(addr, domain string, capacity fanout.Capacity) {
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

// MarkPeersListed records that AddPeer has been called for every gateway listed in the platform's store. From
// then on Rank returns isKnown as true.
func (s *Sharer) MarkPeersListed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isPeerListLoaded = true
}

// peerListTimeout is how long after the start Rank returns isKnown as false if the list of gateways has not
// been loaded.
const peerListTimeout = time.Second

// Rank returns how many gateways that may be live come before this one when only some gateways are assigned a
// task; see fanout.Rank. isKnown is false until the list of gateways is loaded, but not for longer than
// peerListTimeout after the start.
func (s *Sharer) Rank() (rank int, isKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	isKnown = s.isPeerListKnown(now)
	others := make([]fanout.Member, 0, len(s.peers))
	for addr, p := range s.peers {
		if now.Sub(p.lastSeen) <= silentAfter {
			others = append(others, fanout.Member{Addr: addr, Capacity: p.capacity})
		}
	}
	return fanout.Rank(s.selfMember(), others), isKnown
}

// isPeerListKnown reports whether the list of gateways has been loaded, or peerListTimeout has passed since the start.
// The caller holds the lock.
func (s *Sharer) isPeerListKnown(now time.Time) bool {
	return s.isPeerListLoaded || now.Sub(s.startTime) > peerListTimeout
}

// upsertPeer returns the peer with a name at an address. It adds the peer if it is missing, and removes a
// peer of another name at this address: the previous process there. The caller holds the lock.
func (s *Sharer) upsertPeer(addr netip.AddrPort, name fleet.Peer) *peer {
	if p, ok := s.peers[addr]; ok && p.name == name {
		return p
	}
	s.quarantine.NotePeerStarted()
	s.routineLog.Info(time.Now(), "peer", "peer", name, "addr", addr.String())
	s.removePeer(addr)
	p := &peer{addr: addr, name: name, id: gatewayID(name), lastSeen: time.Now()}
	s.peers[addr], s.byID[p.id] = p, p
	return p
}

// removePeer drops the peer at an address, if there is one. The caller holds the lock.
func (s *Sharer) removePeer(addr netip.AddrPort) {
	if p, ok := s.peers[addr]; ok && s.byID[p.id] == p {
		delete(s.byID, p.id)
	}
	delete(s.peers, addr)
}

// gatewayID returns the identifier that stands for a gateway's name in the batches of hubs.
func gatewayID(name fleet.Peer) fanout.ID { return fanout.ID(newDigest(string(name))) }

// Run sends and receives reports until ctx ends, and closes the socket. It is called once.
func (s *Sharer) Run(ctx context.Context) error {
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

// runSender sends a report after each change of the loads, and every refreshInterval, until ctx ends.
func (s *Sharer) runSender(ctx context.Context) error {
	refreshTimer := sleep.NewTimer(refreshInterval)
	defer refreshTimer.Stop()
	var seq uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-refreshTimer.C:
		case <-s.view.LoadsChanged():
		}
		seq++
		receiverCount := s.sendReport(seq)
		refreshTimer.Reset(refreshInterval)
		sleep.For(ctx, max(minSendInterval, time.Duration(receiverCount)*sendIntervalPerPeer))
	}
}

// PeerCount returns the number of known other gateways, including those that have been silent for up to
// removeAfter.
func (s *Sharer) PeerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// sendReport sends the report with sequence number seq, which contains this process's loads. It returns the
// number of receivers.
func (s *Sharer) sendReport(seq uint64) int {
	fleetReport := s.view.Report()
	now := time.Now()
	quotaReport := s.quotas.Report()
	r := report{
		IsFirst: quotaReport.IsAfterStart, Admitted: encodeCounts(quotaReport.Counts),
		From: s.self, Seq: seq, Loads: encodeLoads(fleetReport.Loads), Items: fleetReport.Demand.Items, Due: fleetReport.Demand.StartKey,
		StoreContactAgeMs: now.Sub(fleetReport.StoreContact).Milliseconds(), HasLostStore: s.hasLostStore(), Domain: s.domain, Suspects: newDigests(fleetReport.Suspects), Quarantine: encodeRecords(s.quarantine.DueForPeers()),
		UnknownIDs: s.takeUnknownIDs(), Capacity: s.capacity, Scheduling: encodeScheduling(fleetReport),
	}
	receivers := s.selectReceivers(now, seq)
	encoded := make(map[assignment][]byte)
	for _, to := range receivers {
		if to.addr == s.Addr() {
			s.putOwnReport(now, r, to.role)
			continue
		}
		data, ok := encoded[to.assignment]
		if !ok {
			r.IsForwardRequested, r.Role = to.isRelay, to.role
			data = s.encodeReport(r)
			encoded[to.assignment] = data
		}
		if data != nil {
			s.sendDatagram(data, to.addr)
			s.traffic.Own.add(len(data))
		}
	}
	return len(receivers)
}

// putOwnReport stores this gateway's own report in the table that it keeps as a hub.
func (s *Sharer) putOwnReport(now time.Time, r report, role hubRole) {
	self := peer{id: gatewayID(s.self), domain: s.domain, lastStoreContact: r.lastStoreContact(now), hasLostStore: r.HasLostStore}
	s.hub.putReport(self.hubEntry(newRelayedReport(self.id, r), now), role == roleForward)
}

// takeUnknownIDs returns and clears s.unknownIDs.
func (s *Sharer) takeUnknownIDs() []fanout.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Collect(maps.Keys(s.unknownIDs))
	clear(s.unknownIDs)
	return ids
}

// encodeReport returns the encoded report. If encoding fails it logs the error and returns nil.
func (s *Sharer) encodeReport(r report) []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		s.log.Error("cannot encode load report", "from", r.From, "origin", r.Origin.String(), "error", err)
		return nil
	}
	return data
}

// sendDatagram sends one datagram. Errors are ignored, since the next report makes up for a lost datagram.
func (s *Sharer) sendDatagram(data []byte, to netip.AddrPort) {
	_, _ = s.conn.WriteToUDPAddrPort(data, to)
}

// forwardReport sends a report of the gateway at origin to the other gateways of this gateway's domain.
func (s *Sharer) forwardReport(r report, origin netip.AddrPort) {
	r.IsForwardRequested, r.Origin = false, origin
	data := s.encodeReport(r)
	if data == nil {
		return
	}
	for _, to := range s.domainPeersExcept(time.Now(), origin) {
		s.sendDatagram(data, to)
		s.traffic.Forwarded.add(len(data))
	}
}

// runReceiver handles the datagrams that arrive until ctx ends.
func (s *Sharer) runReceiver(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A read may fail with ECONNREFUSED after a send to a stopped peer. The pause keeps repeated
			// errors from using up the processor.
			sleep.For(ctx, minSendInterval)
			continue
		}
		s.traffic.Received.add(n)
		s.handleDatagram(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// handleDatagram decodes and applies a report or a batch. from is the address that the datagram comes from.
// Only the goroutine that receives datagrams calls it.
func (s *Sharer) handleDatagram(data []byte, from netip.AddrPort) {
	if isBatch(data) {
		s.handleBatch(data, from)
		return
	}
	if hasMajorType(data, majorTypeBytes) {
		s.handleMessage(data, from)
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
	if r.IsForwardRequested {
		s.forwardReport(r, from)
	}
	if len(r.UnknownIDs) > 0 {
		s.sendPeerInfos(from, r.UnknownIDs)
	}
	index := s.currentIndex()
	fleetReport := fleet.Report{
		Loads: decodeLoads(r.Loads, index.idByDigest), Suspects: resolveTargets(r.Suspects, index.idByDigest), Demand: fleet.Demand{Items: r.Items, StartKey: r.Due},
		StoreContact: r.lastStoreContact(time.Now()),
	}
	r.Scheduling.decode(&fleetReport, index)
	s.view.ApplyReport(r.From, fleetReport)
	s.quarantine.ApplyRecords(s.decodeRecords(r.Quarantine, from))
	s.quotas.ApplyReport(from.String(), quota.Report{StartID: string(r.From), IsAfterStart: r.IsFirst, Counts: decodeCounts(r.Admitted)})
}

// decodeRecords decodes the quarantine records of the peer at from. Records that cannot be decoded are logged
// and left out.
func (s *Sharer) decodeRecords(messages []quarantine.Message, from netip.AddrPort) []quarantine.Record {
	var records []quarantine.Record
	for _, m := range messages {
		r, err := m.Record()
		if err != nil {
			s.log.Warn("cannot decode quarantine record", "from", from.String(), "error", err)
			continue
		}
		records = append(records, r)
	}
	return records
}

// currentIndex returns the index of the current list of targets. Only the goroutine that receives datagrams
// calls it.
func (s *Sharer) currentIndex() targetIndex {
	if version := s.view.ListRevision(); s.targetIndex.idByDigest == nil || version != s.targetIndex.version {
		s.targetIndex = newTargetIndex(version, s.view.Targets())
	}
	return s.targetIndex
}

// noteReport records that a report of the gateway at from has arrived, and the domain, the capacity and the
// state of the connection to the store that it contains. It returns whether the report is newer than all
// previous ones of that gateway's process.
func (s *Sharer) noteReport(from netip.AddrPort, r report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.upsertPeer(from, r.From)
	p.lastSeen, p.domain, p.capacity = time.Now(), r.Domain, r.Capacity
	p.lastSeenDirect = p.lastSeen
	isNew := r.Seq > p.seq
	if isNew {
		p.seq = r.Seq
		p.lastStoreContact, p.hasLostStore = r.lastStoreContact(p.lastSeen), r.HasLostStore
	}
	if r.Role != roleNone {
		s.hub.putReport(p.hubEntry(newRelayedReport(p.id, r), p.lastSeen), r.Role == roleForward)
	}
	return isNew
}

// PeersWithStore returns the addresses (IP:port) of live peers that have a direct connection to the platform's
// store and were answered by the store within maxStoreContactAge. Each process returns them in another order, so
// that not all processes use the same peer.
func (s *Sharer) PeersWithStore() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var addrs []string
	for ap, p := range s.peers {
		if p.hasStoreAccess(now) {
			addrs = append(addrs, ap.String())
		}
	}
	slices.SortFunc(addrs, func(a, b string) int { return cmp.Compare(s.hashPeer(a), s.hashPeer(b)) })
	return addrs
}

// hashPeer returns the hash by which this process orders the peers from which it selects some. It depends on the
// name of this process, so that not all processes select the same ones.
func (s *Sharer) hashPeer(addr string) uint64 { return xxhash.Sum64String(string(s.self) + " " + addr) }
