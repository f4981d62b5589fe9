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

// testOptions are those of a share named self that loses nothing.
func testOptions(self fleet.Peer, v *fleetview.View) Options {
	return Options{
		Addr: "127.0.0.1:0", Self: self, Domain: "d", View: v, Quotas: quotas.New(string(self), quota.Options{ClaimTTL: time.Minute}, metrics.NewRegistry()),
		Quarantine: &fakeQuarantine{},
		Detours:    func() bool { return false }, Log: hclog.NewNullLogger(),
	}
}

// fakeQuarantine tells what it has once, and keeps what it is told.
type fakeQuarantine struct {
	tells   []quarantine.Record
	told    []quarantine.Record
	started int // peers
}

func (q *fakeQuarantine) PeerStarted() { q.started++ }

func (q *fakeQuarantine) ToTell() []quarantine.Record {
	tells := q.tells
	q.tells = nil
	return tells
}

func (q *fakeQuarantine) Apply(records []quarantine.Record) { q.told = append(q.told, records...) }

// Guards against gateways that do not hear of the requests under which targets have crashed elsewhere.
func TestRecordsOfTheQuarantineReachPeers(t *testing.T) {
	a, _ := newShare(t, "a")
	b, _ := newShare(t, "b")
	defer a.conn.Close()
	defer b.conn.Close()
	a.AddPeer(b.Addr().String(), "", 0)
	record := quarantine.Record{Content: quarantine.Fingerprint{1}, Seen: time.UnixMilli(5), Crashes: []quarantine.Crash{{Target: 7, At: time.UnixMilli(4)}}}
	heard := &fakeQuarantine{}
	a.quarantine, b.quarantine = &fakeQuarantine{tells: []quarantine.Record{record}}, heard
	a.broadcast(1)
	buf := make([]byte, maxDatagram)
	n, from, err := b.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	b.take(buf[:n], from)
	if !reflect.DeepEqual(heard.told, []quarantine.Record{record}) || heard.started != 1 {
		t.Errorf("heard %+v of %d peers, want %+v of one", heard.told, heard.started, record)
	}
}

func newShare(t testing.TB, self fleet.Peer) (*Share, *fleetview.View) {
	t.Helper()
	v := fleetview.New(fleet.Options{Self: self, PeerTTL: PeerTTL})
	v.Put([]serving.Target{{ID: "t", Service: "s", Slots: 1}}, nil)
	s, err := New(testOptions(self, v))
	if err != nil {
		t.Fatal(err)
	}
	return s, v
}

// One gateway's request takes the only slot; another's batch item then finds no room.
func TestGatewaysHearOfEachOthersLoads(t *testing.T) {
	a, viewA := newShare(t, "a")
	b, viewB := newShare(t, "b")
	b.AddPeer(a.Addr().String(), "", 0) // a learns of b by its reports
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 2)
	go func() { over <- a.Run(ctx) }()
	go func() { over <- b.Run(ctx) }()
	r, ok := viewA.StartOnline("s", nil)
	if !ok {
		t.Fatal("no target")
	}
	await(t, viewB, false)
	r.Done()
	await(t, viewB, true)
	cancel()
	for range 2 {
		if err := <-over; err != nil {
			t.Error(err)
		}
	}
}

// await waits until a batch item finds room, or none.
func await(t *testing.T, v *fleetview.View, room bool) {
	t.Helper()
	for {
		r, ok := v.StartBatch("s", 0, nil, func() {})
		if ok {
			r.Done()
		}
		if ok == room {
			return
		}
		<-v.Freed()
	}
}

func TestReportsOutOfOrderAreLeftOut(t *testing.T) {
	s, v := newShare(t, "a")
	defer s.conn.Close()
	from := netip.MustParseAddrPort("127.0.0.1:9")
	tell := func(name fleet.Peer, seq uint64, online int) {
		data, err := cbor.Marshal(report{From: name, Seq: seq, Loads: []line{{Target: digestOf("t"), Online: online}}})
		if err != nil {
			t.Fatal(err)
		}
		s.take(data, from)
	}
	room := func() bool {
		r, ok := v.StartBatch("s", 0, nil, func() {})
		if ok {
			r.Done()
		}
		return ok
	}
	tell("b", 5, 1)
	tell("b", 4, 0)
	if room() {
		t.Error("an older report replaced a newer one")
	}
	tell("b", 6, 0)
	if !room() {
		t.Error("a newer report changed nothing")
	}
	tell("b", 7, 1)
	tell("b-restarted", 1, 0)
	if room() {
		t.Error("the old process's load must count until it lapses: its requests may still run")
	}
	s.take([]byte("garbage"), from)
}

func TestSilentPeersAreSentToRarelyAndThenNotAtAll(t *testing.T) {
	s, _ := newShare(t, "a")
	defer s.conn.Close()
	s.AddPeer("127.0.0.1:9", "", 0)
	s.AddPeer(s.Addr().String(), "", 0)
	s.AddPeer("nonsense", "", 0)
	now := time.Now()
	if n := len(s.receivers(now, 0)); n != 1 {
		t.Errorf("%d peers are due, want the other one", n)
	}
	quiet := now.Add(quietAfter + time.Second)
	if len(s.receivers(quiet, 0)) != 1 || len(s.receivers(quiet.Add(quietGap/2), 0)) != 0 || len(s.receivers(quiet.Add(2*quietGap), 0)) != 1 {
		t.Error("a silent peer is not sent to once in quietGap")
	}
	if len(s.receivers(now.Add(2*forgetAfter), 0)) != 0 || s.Peers() != 0 {
		t.Error("a peer that is silent for good is not forgotten")
	}
}

// A peer is of use for reaching the store only if it is live, has reached the store itself a moment ago, and has not
// lost its own way since.
func TestReachingNamesPeersThatReachTheStoreThemselves(t *testing.T) {
	s, _ := newShare(t, "self")
	defer s.conn.Close()
	reports := map[string]report{
		"127.0.0.1:1": {From: "fresh", Seq: 1, ContactAge: 10},
		"127.0.0.1:2": {From: "stale", Seq: 1, ContactAge: reachedWithin.Milliseconds() + 10},
		"127.0.0.1:3": {From: "detours", Seq: 1, ContactAge: 10, Detours: true},
		"127.0.0.1:4": {From: "silent", Seq: 1, ContactAge: 10},
	}
	for addr, r := range reports {
		s.heard(netip.MustParseAddrPort(addr), r)
	}
	s.AddPeer("127.0.0.1:5", "", 0) // known by its address alone
	s.peers[netip.MustParseAddrPort("127.0.0.1:4")].heard = time.Now().Add(-2 * PeerTTL)
	if got := s.PeersWithStore(); len(got) != 1 || got[0] != "127.0.0.1:1" {
		t.Errorf("reaching %v", got)
	}
}

// Traffic between domains that grows with the square of the fleet: two gateways of each other domain get the reports by turns, all others none.
func TestOneGatewayOfEachOtherDomainIsTold(t *testing.T) {
	s, _ := newShare(t, "self")
	defer s.conn.Close()
	const domains, each = 4, 7
	addr := func(domain, i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), 0, byte(i)}), 1)
	}
	for d := range domains {
		for i := range each {
			name := fleet.Peer(addr(d, i).String())
			s.heard(addr(d, i), report{From: name, Seq: 1, Domain: digestOf([]string{"d", "e", "f", "g"}[d])})
		}
	}
	told := make(map[netip.AddrPort]int)
	const reports = 10
	for n := range uint64(reports) {
		list := s.receivers(time.Now(), n)
		if len(list) != each+domains-1 {
			t.Fatalf("%d receivers", len(list))
		}
		for _, r := range list {
			told[r.addr]++
			if own := r.addr.Addr().As4()[1] == 0; own == r.passOn {
				t.Errorf("%v, pass on: %v", r.addr, r.passOn)
			}
		}
	}
	if len(told) != each+relays*(domains-1) {
		t.Errorf("%d gateways were told directly", len(told))
	}
	for ap, n := range told {
		if want := reports / relays; ap.Addr().As4()[1] != 0 && n != want {
			t.Errorf("%v was told %d times, want %d", ap, n, want)
		}
	}
	lost := s.receivers(time.Now(), 0)
	for _, r := range lost {
		if r.passOn {
			s.peers[r.addr].heard = time.Now().Add(-2 * PeerTTL)
		}
	}
	passes := 0
	for _, r := range s.receivers(time.Now(), 0) {
		if r.passOn {
			passes++
		}
	}
	if passes != domains-1 {
		t.Errorf("after the loss of those who pass reports on, %d others do, want one for each domain", passes)
	}
}

// A report that is passed on counts as its sender's, and comes to all of the domain, but not back.
func TestAReportIsPassedOn(t *testing.T) {
	origin := netip.MustParseAddrPort("127.0.0.1:9")
	relay, _ := newShare(t, "relay")
	defer relay.conn.Close()
	other, view := newShare(t, "other")
	defer other.conn.Close()
	relay.heard(other.Addr(), report{From: "other", Seq: 1, Domain: relay.domain})
	r := report{From: "sender", Seq: 3, Domain: digestOf("far"), Loads: []line{{Target: digestOf("t"), Online: 1}}, PassOn: true}
	data, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	relay.take(data, origin)
	buf := make([]byte, maxDatagram)
	if err := other.conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	n, from, err := other.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	other.take(buf[:n], from)
	p, ok := other.peers[origin]
	if !ok || p.name != "sender" || p.seq != 3 || p.domain != digestOf("far") {
		t.Errorf("%+v", p)
	}
	if _, room := view.StartBatch("s", 0, nil, func() {}); room {
		t.Error("the load that was passed on does not count")
	}
	if got := other.domainPeers(time.Now(), origin); len(got) != 0 {
		t.Errorf("the other one passes on to %v", got)
	}
}

// What one gateway sends another hears, and both count it.
func TestTrafficIsCounted(t *testing.T) {
	a, _ := newShare(t, "a")
	b, _ := newShare(t, "b")
	a.AddPeer(b.Addr().String(), "", 0)
	if n := a.broadcast(1); n != 1 {
		t.Fatalf("told %d gateways", n)
	}
	buf := make([]byte, maxDatagram)
	n, _, err := b.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	own := &a.Traffic().Own
	if own.Datagrams() != 1 || own.Bytes() != int64(n) {
		t.Errorf("%d datagrams of %d bytes are counted, one of %d was sent", own.Datagrams(), own.Bytes(), n)
	}
}
