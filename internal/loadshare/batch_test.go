package loadshare

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
)

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
}

func TestHeartbeatEncodingRoundTrip(t *testing.T) {
	want := []heartbeat{
		{id: 1, seq: 7, age: 5 * ageUnit, contactAge: 3 * contactAgeUnit, isIdle: true},
		{id: 1 << 31, seq: 65535, hasStopped: true, hasLostStore: true},
		{id: 3, age: maxEncodedAge, contactAge: maxEncodedContactAge},
	}
	var data []byte
	for _, h := range want {
		data = appendHeartbeat(data, h)
	}
	got, err := decodeHeartbeats(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
	if _, err := decodeHeartbeats(data[1:]); !errs.Is(err, errs.BadFrame) {
		t.Errorf("incomplete heartbeat: %v", err)
	}
	old, err := decodeHeartbeats(appendHeartbeat(nil, heartbeat{age: time.Hour, contactAge: -time.Second}))
	if err != nil || old[0].age != maxEncodedAge || old[0].contactAge != 0 {
		t.Errorf("out of range: %+v, %v", old, err)
	}
}

// The update of a hub of a large fleet is split into batches of limited size, and no entry is left out.
func TestLargeFleetBatchIsSplit(t *testing.T) {
	const gateways = 2000
	var infos []peerInfo
	var reports []relayedReport
	var heartbeats []heartbeat
	for i := range gateways {
		infos = append(infos, peerInfo{Name: "a-gateway-with-a-long-name-12345678", Addr: testAddr(i), Domain: 1})
		reports = append(reports, relayedReport{ID: fanout.ID(i), Seq: 1 << 30, Loads: []targetLoad{{Target: 1 << 31, Online: 1}, {Target: 1 << 30, Batch: 2}}})
		heartbeats = append(heartbeats, heartbeat{id: fanout.ID(i)})
	}
	var sums [3]int
	for _, c := range splitContents(testAddr(1), infos, reports, heartbeats) {
		raw, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		data, err := cbor.Marshal(batch{Forward: []netip.AddrPort{testAddr(1)}, Content: raw})
		if err != nil || !isBatch(data) || len(data) > 16<<10 {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
		_, got, gotHeartbeats, err := decodeBatch(data)
		if err != nil {
			t.Fatal(err)
		}
		sums[0] += len(got.Intros)
		sums[1] += len(got.News)
		sums[2] += len(gotHeartbeats)
	}
	if sums != [3]int{gateways, gateways, gateways} {
		t.Errorf("the batches contain %v, want %d of each", sums, gateways)
	}
}

// Guards against a damaged batch that adds gateways or changes what is stored about them.
func TestDamagedBatchIsIgnored(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	whole := batchContent{Hub: testAddr(1), Intros: []peerInfo{{Name: "peer", Addr: testAddr(2), Domain: 1}}}
	raw, err := cbor.Marshal(whole)
	if err != nil {
		t.Fatal(err)
	}
	noHub, err := cbor.Marshal(batchContent{Intros: whole.Intros})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string]batch{"cut": {Content: raw[:len(raw)-1]}, "no hub": {Content: noHub}, "empty": {}} {
		data, err := cbor.Marshal(b)
		if err != nil {
			data = []byte{0x82, 0x80} // ends before the content
		}
		s.handleDatagram(data, testAddr(1))
		if s.Peers() != 0 {
			t.Errorf("%s: %d peers", name, s.Peers())
		}
	}
	data, err := cbor.Marshal(batch{Content: raw})
	if err != nil {
		t.Fatal(err)
	}
	s.handleDatagram(data, testAddr(1))
	if s.Peers() != 1 || s.peers[testAddr(2)].name != fleet.Peer("peer") {
		t.Errorf("%d peers after an undamaged batch", s.Peers())
	}
}

// Guards against a heartbeat that a newer report has overtaken through another hub: it would clear loads that
// are still in effect.
func TestStaleHeartbeatDoesNotClearLoads(t *testing.T) {
	s, view := newTestSharer(t, "self")
	defer s.conn.Close()
	id := gatewayID("peer")
	deliver := func(c batchContent) {
		t.Helper()
		raw, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		data, err := cbor.Marshal(batch{Content: raw})
		if err != nil {
			t.Fatal(err)
		}
		s.handleDatagram(data, testAddr(1))
	}
	idleHeartbeat := func(seq uint16) []byte { return appendHeartbeat(nil, heartbeat{id: id, seq: seq, isIdle: true}) }
	hasRoom := func() bool {
		r, ok := view.StartBatch("s", 0, nil, func() {})
		if ok {
			r.Done()
		}
		return ok
	}
	deliver(batchContent{Hub: testAddr(1), Intros: []peerInfo{{Name: "peer", Addr: testAddr(2), Domain: 1}}, News: []relayedReport{{ID: id, Seq: 5, Loads: []targetLoad{{Target: newDigest("t"), Online: 1}}}}})
	deliver(batchContent{Hub: testAddr(1), Signs: idleHeartbeat(4)})
	if hasRoom() {
		t.Error("a heartbeat of an older report has cleared the loads")
	}
	deliver(batchContent{Hub: testAddr(1), Signs: idleHeartbeat(6)})
	if !hasRoom() {
		t.Error("the peer still counts as busy after it has become idle")
	}
	deliver(batchContent{Hub: testAddr(1), News: []relayedReport{{ID: id, Seq: 6, Loads: []targetLoad{{Target: newDigest("t"), Online: 1}}}}})
	if !hasRoom() {
		t.Error("a report that is not newer than the heartbeat is applied")
	}
}

// FuzzHandleDatagram passes arbitrary data as datagrams: none of it may crash the process.
func FuzzHandleDatagram(f *testing.F) {
	raw, err := cbor.Marshal(batchContent{Hub: testAddr(1), Intros: []peerInfo{{Name: "p", Addr: testAddr(2), Domain: 1}}, News: []relayedReport{{ID: 1, Seq: 1}}, Signs: make([]byte, heartbeatBytes)})
	if err != nil {
		f.Fatal(err)
	}
	whole, err := cbor.Marshal(batch{Content: raw})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte{0x82, 0x80, 0x80})
	f.Add([]byte{0xa1, 0x01, 0x61, 0x61})
	s, _ := newTestSharer(f, "self")
	f.Cleanup(func() { _ = s.conn.Close() })
	f.Fuzz(func(_ *testing.T, data []byte) { s.handleDatagram(data, testAddr(1)) })
}

// Guards against a hub that has not received a report of a restarted process yet: its peerInfo must not bring
// back the previous start.
func TestStalePeerInfoDoesNotReplaceRestartedPeer(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	s.noteReport(testAddr(2), report{From: "new", Seq: 1, Domain: 1})
	s.applyPeerInfos([]peerInfo{{Name: "old", Addr: testAddr(2), Domain: 1}, {Name: "other", Addr: testAddr(3), Domain: 1}, {Name: "me", Addr: s.Addr(), Domain: 1}})
	if s.peers[testAddr(2)].name != "new" || s.peers[testAddr(3)].name != "other" || s.Peers() != 2 {
		t.Errorf("%d peers, %q and %q", s.Peers(), s.peers[testAddr(2)].name, s.peers[testAddr(3)].name)
	}
}
