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
		Addr: "127.0.0.1:0", Self: self, Domain: "d", View: v, Quotas: quotas.New(string(self), quota.Options{PeerShareTTL: time.Minute}, metrics.NewRegistry()),
		Quarantine:   &fakeQuarantine{},
		HasLostStore: func() bool { return false }, Log: hclog.NewNullLogger(),
	}
}

// fakeQuarantine returns its pending records once, and stores the records that are applied.
type fakeQuarantine struct {
	pending      []quarantine.Record // returned by the next call of DueForPeers
	applied      []quarantine.Record // passed to ApplyRecords so far
	startedPeers int                 // number of calls of NotePeerStarted
}

func (q *fakeQuarantine) NotePeerStarted() { q.startedPeers++ }

func (q *fakeQuarantine) DueForPeers() []quarantine.Record {
	records := q.pending
	q.pending = nil
	return records
}

func (q *fakeQuarantine) ApplyRecords(records []quarantine.Record) {
	q.applied = append(q.applied, records...)
}

// Guards against gateways that do not receive the quarantine records of their peers.
func TestQuarantineRecordsReachPeers(t *testing.T) {
	a, _ := newTestSharer(t, "a")
	b, _ := newTestSharer(t, "b")
	defer a.conn.Close()
	defer b.conn.Close()
	a.AddPeer(b.Addr().String(), "", 0)
	record := quarantine.Record{Content: quarantine.Fingerprint{1}, LastSeen: time.UnixMilli(5), Crashes: []quarantine.Crash{{TargetDigest: 7, BrokenAt: time.UnixMilli(4)}}}
	quarantineB := &fakeQuarantine{}
	a.quarantine, b.quarantine = &fakeQuarantine{pending: []quarantine.Record{record}}, quarantineB
	a.sendReport(1)
	buf := make([]byte, maxDatagramBytes)
	n, from, err := b.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	b.handleDatagram(buf[:n], from)
	if !reflect.DeepEqual(quarantineB.applied, []quarantine.Record{record}) || quarantineB.startedPeers != 1 {
		t.Errorf("received the records %+v from %d new peers, want %+v from 1", quarantineB.applied, quarantineB.startedPeers, record)
	}
}

// newTestSharer returns a gateway named self that does not run yet, and its view of the fleet with one target
// that has one slot.
func newTestSharer(t testing.TB, self fleet.Peer) (*Sharer, *fleetview.View) {
	t.Helper()
	v := fleetview.New(fleet.Options{Self: self, PeerTTL: PeerTTL})
	v.UpdateTargets([]serving.Target{{ID: "t", Service: "s", Slots: 1}}, nil)
	s, err := New(testOptions(self, v))
	if err != nil {
		t.Fatal(err)
	}
	return s, v
}

// Guards against gateways that do not receive the loads of others: a request at one gateway occupies the only
// slot, so a batch item at another one must find no free slot until the request has ended.
func TestGatewaysExchangeLoads(t *testing.T) {
	a, viewA := newTestSharer(t, "a")
	b, viewB := newTestSharer(t, "b")
	b.AddPeer(a.Addr().String(), "", 0) // a adds b on its first report
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- b.Run(ctx) }()
	r, ok := viewA.StartOnline(fleet.Work{Service: "s"}, nil)
	if !ok {
		t.Fatal("StartOnline found no target for an online request")
	}
	awaitFreeSlot(t, viewB, false)
	r.Done()
	awaitFreeSlot(t, viewB, true)
	cancel()
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// awaitFreeSlot waits until a batch item finds a free slot, or until it finds none if wantFreeSlot is false.
func awaitFreeSlot(t *testing.T, v *fleetview.View, wantFreeSlot bool) {
	t.Helper()
	for {
		r, ok := v.StartBatch(fleet.Work{Service: "s"}, 0, func() {})
		if ok {
			r.Done()
		}
		if ok == wantFreeSlot {
			return
		}
		<-v.SlotFreed()
	}
}

// Guards against loads that an older report overwrites, and against loads of a previous process that stop
// counting as soon as the peer has restarted.
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
	hasFreeSlot := func() bool {
		r, ok := v.StartBatch(fleet.Work{Service: "s"}, 0, func() {})
		if ok {
			r.Done()
		}
		return ok
	}
	deliver("b", 5, 1)
	deliver("b", 4, 0)
	if hasFreeSlot() {
		t.Error("a batch item finds a free slot after an older report without load, want the newer report to remain")
	}
	deliver("b", 6, 0)
	if !hasFreeSlot() {
		t.Error("a batch item finds no free slot after a newer report without load, want a free slot")
	}
	deliver("b", 7, 1)
	deliver("b-restarted", 1, 0)
	if hasFreeSlot() {
		t.Error("a batch item finds a free slot right after the peer has restarted, want the load of its previous process to count until it expires: its requests may still run")
	}
	s.handleDatagram([]byte("garbage"), from)
}

// Guards against traffic to stopped peers: reports are sent to a peer that is silent for longer than silentAfter
// only once in silentSendInterval, and the peer is removed after removeAfter.
func TestSilentPeersAreSentToRarelyAndThenRemoved(t *testing.T) {
	s, _ := newTestSharer(t, "a")
	defer s.conn.Close()
	s.AddPeer("127.0.0.1:9", "", 0)
	s.AddPeer(s.Addr().String(), "", 0)
	s.AddPeer("nonsense", "", 0)
	now := time.Now()
	if count := len(s.selectReceivers(now, 0)); count != 1 {
		t.Errorf("a report has %d receivers, want 1: neither this gateway itself nor an invalid address", count)
	}
	silentTime := now.Add(silentAfter + time.Second)
	if len(s.selectReceivers(silentTime, 0)) != 1 || len(s.selectReceivers(silentTime.Add(silentSendInterval/2), 0)) != 0 || len(s.selectReceivers(silentTime.Add(2*silentSendInterval), 0)) != 1 {
		t.Error("a silent peer is not a receiver exactly once in silentSendInterval, want 1, 0 and 1 receivers after 0, 0.5 and 2 intervals")
	}
	if len(s.selectReceivers(now.Add(2*removeAfter), 0)) != 0 || s.PeerCount() != 0 {
		t.Error("a peer that has been silent for twice removeAfter is still a receiver or counted, want 0 receivers and 0 peers")
	}
}

// Guards against store calls through peers that cannot reach the store: PeersWithStore returns only live
// peers that the store has answered recently and that have not lost their direct connection to it.
func TestPeersWithStoreReturnsPeersWithDirectConnection(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	reports := map[string]report{
		"127.0.0.1:1": {From: "fresh", Seq: 1, StoreContactAgeMs: 10},
		"127.0.0.1:2": {From: "stale", Seq: 1, StoreContactAgeMs: maxStoreContactAge.Milliseconds() + 10},
		"127.0.0.1:3": {From: "detours", Seq: 1, StoreContactAgeMs: 10, HasLostStore: true},
		"127.0.0.1:4": {From: "silent", Seq: 1, StoreContactAgeMs: 10},
	}
	for addr, r := range reports {
		s.noteReport(netip.MustParseAddrPort(addr), r)
	}
	s.AddPeer("127.0.0.1:5", "", 0) // has not reported yet
	s.peers[netip.MustParseAddrPort("127.0.0.1:4")].lastSeen = time.Now().Add(-2 * PeerTTL)
	if addrs := s.PeersWithStore(); len(addrs) != 1 || addrs[0] != "127.0.0.1:1" {
		t.Errorf("peers with access to the store are %v, want only 127.0.0.1:1", addrs)
	}
}

// Guards against traffic between domains that grows with the square of the fleet: two gateways of each other
// domain take turns in receiving the reports, and all others there receive none from the sender.
func TestOneRelayPerOtherDomainReceivesReport(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	const domains, perDomain = 4, 7
	addr := func(domain, i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), 0, byte(i)}), 1)
	}
	for d := range domains {
		for i := range perDomain {
			name := fleet.Peer(addr(d, i).String())
			s.noteReport(addr(d, i), report{From: name, Seq: 1, Domain: newDigest([]string{"d", "e", "f", "g"}[d])})
		}
	}
	receivedCounts := make(map[netip.AddrPort]int)
	const reports = 10
	for seq := range uint64(reports) {
		receivers := s.selectReceivers(time.Now(), seq)
		if len(receivers) != perDomain+domains-1 {
			t.Fatalf("a report has %d receivers, want 10: 7 in the own domain and 1 in each of 3 others", len(receivers))
		}
		for _, r := range receivers {
			receivedCounts[r.addr]++
			if isOwnDomain := r.addr.Addr().As4()[1] == 0; isOwnDomain == r.isRelay {
				t.Errorf("%v is a relay: %v, want relays in all other domains and none in the own one", r.addr, r.isRelay)
			}
		}
	}
	if len(receivedCounts) != perDomain+relaysPerDomain*(domains-1) {
		t.Errorf("%d gateways received reports from the sender, want 13: 7 in the own domain and 2 in each of 3 others", len(receivedCounts))
	}
	for ap, count := range receivedCounts {
		if want := reports / relaysPerDomain; ap.Addr().As4()[1] != 0 && count != want {
			t.Errorf("relay %v received %d reports, want %d", ap, count, want)
		}
	}
	receiversBeforeLoss := s.selectReceivers(time.Now(), 0)
	for _, r := range receiversBeforeLoss {
		if r.isRelay {
			s.peers[r.addr].lastSeen = time.Now().Add(-2 * PeerTTL)
		}
	}
	relayCount := 0
	for _, r := range s.selectReceivers(time.Now(), 0) {
		if r.isRelay {
			relayCount++
		}
	}
	if relayCount != domains-1 {
		t.Errorf("a report has %d relays after the first ones were lost, want 3: 1 in each other domain", relayCount)
	}
}

// Guards against a forwarded report that is stored under the address of the relay, does not reach the domain of
// the relay, or is forwarded again.
func TestRelayForwardsReport(t *testing.T) {
	origin := netip.MustParseAddrPort("127.0.0.1:9")
	relay, _ := newTestSharer(t, "relay")
	defer relay.conn.Close()
	other, view := newTestSharer(t, "other")
	defer other.conn.Close()
	relay.noteReport(other.Addr(), report{From: "other", Seq: 1, Domain: relay.domain})
	r := report{From: "sender", Seq: 3, Domain: newDigest("far"), Loads: []targetLoad{{Target: newDigest("t"), Online: 1}}, IsForwardRequested: true}
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
		t.Errorf("the peer at the sender's address is %+v, want name sender, sequence number 3 and the sender's domain", p)
	}
	if _, hasFreeSlot := view.StartBatch(fleet.Work{Service: "s"}, 0, func() {}); hasFreeSlot {
		t.Error("a batch item finds a free slot after a forwarded report with load, want none")
	}
	if addrs := other.domainPeersExcept(time.Now(), origin); len(addrs) != 0 {
		t.Errorf("the receiver of a forwarded report would forward reports to %v, want no gateway", addrs)
	}
}

// Guards against datagrams that their sender does not count in Traffic, or counts with another size than the
// peer receives.
func TestTrafficIsCounted(t *testing.T) {
	a, _ := newTestSharer(t, "a")
	b, _ := newTestSharer(t, "b")
	a.AddPeer(b.Addr().String(), "", 0)
	if receiverCount := a.sendReport(1); receiverCount != 1 {
		t.Fatalf("the report was sent to %d gateways, want 1", receiverCount)
	}
	buf := make([]byte, maxDatagramBytes)
	n, _, err := b.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	ownFlow := &a.Traffic().Own
	if ownFlow.Datagrams() != 1 || ownFlow.Bytes() != int64(n) {
		t.Errorf("%d datagrams of %d bytes are counted, want 1 of %d bytes", ownFlow.Datagrams(), ownFlow.Bytes(), n)
	}
}
