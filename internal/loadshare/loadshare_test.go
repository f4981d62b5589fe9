package loadshare

import (
	"context"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/fleet"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/quota"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/quotas"
)

// testOptions returns the options of a gateway named self, with a fake quarantine and a working connection to
// the store.
func testOptions(self fleet.Peer, v *fleetview.View) Options {
	return Options{
		Addr: "127.0.0.1:0", Self: self, Domain: "d", View: v, Quotas: quotas.New(string(self), quota.Options{ClaimTTL: time.Minute}, metrics.NewRegistry()),
		Quarantine: &fakeQuarantine{},
		Detours:    func() bool { return false }, Log: hclog.NewNullLogger(),
	}
}

// fakeQuarantine returns its pending records once, and stores the records that are applied.
type fakeQuarantine struct {
	pending      []quarantine.Record
	applied      []quarantine.Record
	startedPeers int // calls of PeerStarted
}

func (q *fakeQuarantine) PeerStarted() { q.startedPeers++ }

func (q *fakeQuarantine) ToTell() []quarantine.Record {
	records := q.pending
	q.pending = nil
	return records
}

func (q *fakeQuarantine) Apply(records []quarantine.Record) {
	q.applied = append(q.applied, records...)
}

// Guards against gateways that do not receive the records of requests under which targets of others have
// crashed.
func TestQuarantineRecordsReachPeers(t *testing.T) {
	a, _ := newTestSharer(t, "a")
	b, _ := newTestSharer(t, "b")
	defer a.conn.Close()
	defer b.conn.Close()
	a.AddPeer(b.Addr().String(), "", 0)
	record := quarantine.Record{Content: quarantine.Fingerprint{1}, Seen: time.UnixMilli(5), Crashes: []quarantine.Crash{{Target: 7, At: time.UnixMilli(4)}}}
	received := &fakeQuarantine{}
	a.quarantine, b.quarantine = &fakeQuarantine{pending: []quarantine.Record{record}}, received
	a.sendReport(1)
	buf := make([]byte, maxDatagramBytes)
	n, from, err := b.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	b.handleDatagram(buf[:n], from)
	if !reflect.DeepEqual(received.applied, []quarantine.Record{record}) || received.startedPeers != 1 {
		t.Errorf("received %+v from %d peers, want %+v from one", received.applied, received.startedPeers, record)
	}
}

func newTestSharer(t testing.TB, self fleet.Peer) (*Share, *fleetview.View) {
	t.Helper()
	v := fleetview.New(fleet.Options{Self: self, PeerTTL: PeerTTL})
	v.Put([]serving.Target{{ID: "t", Service: "s", Slots: 1}}, nil)
	s, err := New(testOptions(self, v))
	if err != nil {
		t.Fatal(err)
	}
	return s, v
}

// A request at one gateway takes the only slot, so that a batch item at another one finds no free slot.
func TestGatewaysExchangeLoads(t *testing.T) {
	a, viewA := newTestSharer(t, "a")
	b, viewB := newTestSharer(t, "b")
	b.AddPeer(a.Addr().String(), "", 0) // a adds b on its first report
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- b.Run(ctx) }()
	r, ok := viewA.StartOnline("s", nil)
	if !ok {
		t.Fatal("no target")
	}
	awaitRoom(t, viewB, false)
	r.Done()
	awaitRoom(t, viewB, true)
	cancel()
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// awaitRoom waits until a batch item finds a free slot, or until it finds none.
func awaitRoom(t *testing.T, v *fleetview.View, wantRoom bool) {
	t.Helper()
	for {
		r, ok := v.StartBatch("s", 0, nil, func() {})
		if ok {
			r.Done()
		}
		if ok == wantRoom {
			return
		}
		<-v.Freed()
	}
}

func TestOutOfOrderReportsAreIgnored(t *testing.T) {
	s, v := newTestSharer(t, "a")
	defer s.conn.Close()
	from := netip.MustParseAddrPort("127.0.0.1:9")
	deliver := func(name fleet.Peer, seq uint64, online int) {
		data, err := cbor.Marshal(report{From: name, Seq: seq, Loads: []targetLoad{{Target: newDigest("t"), Online: online}}})
		if err != nil {
			t.Fatal(err)
		}
		s.handleDatagram(data, from)
	}
	hasRoom := func() bool {
		r, ok := v.StartBatch("s", 0, nil, func() {})
		if ok {
			r.Done()
		}
		return ok
	}
	deliver("b", 5, 1)
	deliver("b", 4, 0)
	if hasRoom() {
		t.Error("an older report replaced a newer one")
	}
	deliver("b", 6, 0)
	if !hasRoom() {
		t.Error("a newer report has not been applied")
	}
	deliver("b", 7, 1)
	deliver("b-restarted", 1, 0)
	if hasRoom() {
		t.Error("the load of the old process does not count until it expires, though its requests may still run")
	}
	s.handleDatagram([]byte("garbage"), from)
}

func TestSilentPeersAreSentToRarelyAndThenRemoved(t *testing.T) {
	s, _ := newTestSharer(t, "a")
	defer s.conn.Close()
	s.AddPeer("127.0.0.1:9", "", 0)
	s.AddPeer(s.Addr().String(), "", 0)
	s.AddPeer("nonsense", "", 0)
	now := time.Now()
	if n := len(s.selectReceivers(now, 0)); n != 1 {
		t.Errorf("%d peers are due, want the other one", n)
	}
	silent := now.Add(silentAfter + time.Second)
	if len(s.selectReceivers(silent, 0)) != 1 || len(s.selectReceivers(silent.Add(silentSendInterval/2), 0)) != 0 || len(s.selectReceivers(silent.Add(2*silentSendInterval), 0)) != 1 {
		t.Error("a silent peer is not sent to once in silentSendInterval")
	}
	if len(s.selectReceivers(now.Add(2*removeAfter), 0)) != 0 || s.Peers() != 0 {
		t.Error("a peer that stays silent is not removed")
	}
}

// A peer can give access to the store only if it is live, has reached the store itself recently, and has not
// lost its own connection since.
func TestPeersWithStoreListsPeersWithDirectContact(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	reports := map[string]report{
		"127.0.0.1:1": {From: "fresh", Seq: 1, ContactAge: 10},
		"127.0.0.1:2": {From: "stale", Seq: 1, ContactAge: storeReachableWithin.Milliseconds() + 10},
		"127.0.0.1:3": {From: "detours", Seq: 1, ContactAge: 10, Detours: true},
		"127.0.0.1:4": {From: "silent", Seq: 1, ContactAge: 10},
	}
	for addr, r := range reports {
		s.noteReport(netip.MustParseAddrPort(addr), r)
	}
	s.AddPeer("127.0.0.1:5", "", 0) // only the address is known
	s.peers[netip.MustParseAddrPort("127.0.0.1:4")].lastSeen = time.Now().Add(-2 * PeerTTL)
	if got := s.PeersWithStore(); len(got) != 1 || got[0] != "127.0.0.1:1" {
		t.Errorf("peers with access to the store: %v", got)
	}
}

// Guards against traffic between domains that grows with the square of the fleet: two gateways of each other
// domain take turns in receiving the reports, all others get none.
func TestOneRelayPerOtherDomainReceivesReport(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	const domains, each = 4, 7
	addr := func(domain, i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), 0, byte(i)}), 1)
	}
	for d := range domains {
		for i := range each {
			name := fleet.Peer(addr(d, i).String())
			s.noteReport(addr(d, i), report{From: name, Seq: 1, Domain: newDigest([]string{"d", "e", "f", "g"}[d])})
		}
	}
	received := make(map[netip.AddrPort]int)
	const reports = 10
	for n := range uint64(reports) {
		list := s.selectReceivers(time.Now(), n)
		if len(list) != each+domains-1 {
			t.Fatalf("%d receivers", len(list))
		}
		for _, r := range list {
			received[r.addr]++
			if own := r.addr.Addr().As4()[1] == 0; own == r.isRelay {
				t.Errorf("%v is a relay: %v", r.addr, r.isRelay)
			}
		}
	}
	if len(received) != each+relaysPerDomain*(domains-1) {
		t.Errorf("%d gateways received reports directly", len(received))
	}
	for ap, n := range received {
		if want := reports / relaysPerDomain; ap.Addr().As4()[1] != 0 && n != want {
			t.Errorf("%v received %d reports, want %d", ap, n, want)
		}
	}
	lost := s.selectReceivers(time.Now(), 0)
	for _, r := range lost {
		if r.isRelay {
			s.peers[r.addr].lastSeen = time.Now().Add(-2 * PeerTTL)
		}
	}
	relays := 0
	for _, r := range s.selectReceivers(time.Now(), 0) {
		if r.isRelay {
			relays++
		}
	}
	if relays != domains-1 {
		t.Errorf("after the loss of the relays there are %d others, want one for each domain", relays)
	}
}

// A forwarded report counts as a report of its sender. It reaches the whole domain and is not sent back.
func TestRelayForwardsReport(t *testing.T) {
	origin := netip.MustParseAddrPort("127.0.0.1:9")
	relay, _ := newTestSharer(t, "relay")
	defer relay.conn.Close()
	other, view := newTestSharer(t, "other")
	defer other.conn.Close()
	relay.noteReport(other.Addr(), report{From: "other", Seq: 1, Domain: relay.domain})
	r := report{From: "sender", Seq: 3, Domain: newDigest("far"), Loads: []targetLoad{{Target: newDigest("t"), Online: 1}}, PassOn: true}
	data, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	relay.handleDatagram(data, origin)
	buf := make([]byte, maxDatagramBytes)
	if err := other.conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	n, from, err := other.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	other.handleDatagram(buf[:n], from)
	p, ok := other.peers[origin]
	if !ok || p.name != "sender" || p.seq != 3 || p.domain != newDigest("far") {
		t.Errorf("%+v", p)
	}
	if _, hasRoom := view.StartBatch("s", 0, nil, func() {}); hasRoom {
		t.Error("the load in the forwarded report does not count")
	}
	if got := other.domainPeersExcept(time.Now(), origin); len(got) != 0 {
		t.Errorf("the other gateway forwards to %v", got)
	}
}

// A datagram is counted by its sender and has the size that the peer receives.
func TestTrafficIsCounted(t *testing.T) {
	a, _ := newTestSharer(t, "a")
	b, _ := newTestSharer(t, "b")
	a.AddPeer(b.Addr().String(), "", 0)
	if n := a.sendReport(1); n != 1 {
		t.Fatalf("sent to %d gateways", n)
	}
	buf := make([]byte, maxDatagramBytes)
	n, _, err := b.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	own := &a.Traffic().Own
	if own.Datagrams() != 1 || own.Bytes() != int64(n) {
		t.Errorf("%d datagrams of %d bytes are counted, want one of %d", own.Datagrams(), own.Bytes(), n)
	}
}
