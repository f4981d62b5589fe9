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

// testAddr returns an address that differs for each i below 65536.
func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
}

// Guards against heartbeats that are decoded with other values than those that were encoded, and against
// durations outside the range of a byte that wrap around.
func TestHeartbeatEncodingRoundTrip(t *testing.T) {
	want := []heartbeat{
		{id: 1, seq: 7, age: 5 * ageUnit, storeContactAge: 3 * storeContactAgeUnit, isIdle: true},
		{id: 1 << 31, seq: 65535, hasStopped: true, hasLostStore: true},
		{id: 3, age: maxEncodedAge, storeContactAge: maxEncodedStoreContactAge},
	}
	var data []byte
	for _, h := range want {
		data = appendHeartbeat(data, h)
	}
	got, err := decodeHeartbeats(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded heartbeats %+v with error %v, want %+v without error", got, err, want)
	}
	if _, err := decodeHeartbeats(data[1:]); !errs.Is(err, errs.BadFrame) {
		t.Errorf("decoding an incomplete heartbeat returns error %v, want BadFrame", err)
	}
	limited, err := decodeHeartbeats(appendHeartbeat(nil, heartbeat{age: time.Hour, storeContactAge: -time.Second}))
	if err != nil || limited[0].age != maxEncodedAge || limited[0].storeContactAge != 0 {
		t.Errorf("ages of 1h and -1s are decoded as %+v with error %v, want the largest encodable age and 0 without error", limited, err)
	}
}

// Guards against batches larger than 16 KiB in a fleet of 2000 gateways, and against entries that are left out
// when the update of a hub is split into several batches.
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
	var counts [3]int // descriptions, reports and heartbeats in all batches
	for _, c := range splitContents(testAddr(1), infos, reports, heartbeats) {
		encodedContent, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		data, err := cbor.Marshal(batch{Forward: []netip.AddrPort{testAddr(1)}, Content: encodedContent})
		if err != nil || !isBatch(data) || len(data) > 16<<10 {
			t.Fatalf("a batch has %d bytes and encoding error %v, want at most 16 KiB, no error and data that is recognised as a batch", len(data), err)
		}
		_, content, decodedHeartbeats, err := decodeBatch(data)
		if err != nil {
			t.Fatal(err)
		}
		counts[0] += len(content.Intros)
		counts[1] += len(content.News)
		counts[2] += len(decodedHeartbeats)
	}
	if counts != [3]int{gateways, gateways, gateways} {
		t.Errorf("the batches contain %v descriptions, reports and heartbeats, want %d of each kind", counts, gateways)
	}
}

// Guards against adding the peers described by a batch that is damaged or names no hub.
func TestDamagedBatchIsIgnored(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	validContent := batchContent{Hub: testAddr(1), Intros: []peerInfo{{Name: "peer", Addr: testAddr(2), Domain: 1}}}
	encodedContent, err := cbor.Marshal(validContent)
	if err != nil {
		t.Fatal(err)
	}
	contentWithoutHub, err := cbor.Marshal(batchContent{Intros: validContent.Intros})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string]batch{"cut": {Content: encodedContent[:len(encodedContent)-1]}, "no hub": {Content: contentWithoutHub}, "empty": {}} {
		data, err := cbor.Marshal(b)
		if err != nil {
			// Marshal rejects the cut content because it is not valid CBOR. Use a batch that ends before its
			// content instead.
			data = []byte{0x82, 0x80}
		}
		s.handleDatagram(data, testAddr(1))
		if s.PeerCount() != 0 {
			t.Errorf("%s batch: %d peers were added, want 0", name, s.PeerCount())
		}
	}
	data, err := cbor.Marshal(batch{Content: encodedContent})
	if err != nil {
		t.Fatal(err)
	}
	s.handleDatagram(data, testAddr(1))
	if s.PeerCount() != 1 || s.peers[testAddr(2)].name != fleet.Peer("peer") {
		t.Errorf("%d peers after an undamaged batch, want only the peer that it describes", s.PeerCount())
	}
}

// Guards against loads that are cleared too early or not at all: a heartbeat of an idle gateway may arrive
// after a newer report that another hub has sent, and must not clear the loads in that report.
func TestStaleHeartbeatDoesNotClearLoads(t *testing.T) {
	s, view := newTestSharer(t, "self")
	defer s.conn.Close()
	id := gatewayID("peer")
	deliver := func(c batchContent) {
		t.Helper()
		encodedContent, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		data, err := cbor.Marshal(batch{Content: encodedContent})
		if err != nil {
			t.Fatal(err)
		}
		s.handleDatagram(data, testAddr(1))
	}
	idleHeartbeat := func(seq uint16) []byte { return appendHeartbeat(nil, heartbeat{id: id, seq: seq, isIdle: true}) }
	hasFreeSlot := func() bool {
		r, ok := view.StartBatch(fleet.Work{Service: "s"}, 0, func() {})
		if ok {
			r.Done()
		}
		return ok
	}
	deliver(batchContent{Hub: testAddr(1), Intros: []peerInfo{{Name: "peer", Addr: testAddr(2), Domain: 1}}, News: []relayedReport{{ID: id, Seq: 5, Loads: []targetLoad{{Target: newDigest("t"), Online: 1}}}}})
	deliver(batchContent{Hub: testAddr(1), Signs: idleHeartbeat(4)})
	if hasFreeSlot() {
		t.Error("a batch item finds a free slot after a heartbeat older than the report, want the reported loads to remain")
	}
	deliver(batchContent{Hub: testAddr(1), Signs: idleHeartbeat(6)})
	if !hasFreeSlot() {
		t.Error("a batch item finds no free slot after an idle heartbeat newer than the peer's report, want a free slot")
	}
	deliver(batchContent{Hub: testAddr(1), News: []relayedReport{{ID: id, Seq: 6, Loads: []targetLoad{{Target: newDigest("t"), Online: 1}}}}})
	if !hasFreeSlot() {
		t.Error("a batch item finds no free slot after a report no newer than the heartbeat, want the report to be ignored")
	}
}

// FuzzHandleDatagram passes arbitrary data to handleDatagram, which must not panic.
func FuzzHandleDatagram(f *testing.F) {
	encodedContent, err := cbor.Marshal(batchContent{Hub: testAddr(1), Intros: []peerInfo{{Name: "p", Addr: testAddr(2), Domain: 1}}, News: []relayedReport{{ID: 1, Seq: 1}}, Signs: make([]byte, heartbeatBytes)})
	if err != nil {
		f.Fatal(err)
	}
	validBatch, err := cbor.Marshal(batch{Content: encodedContent})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(validBatch)
	f.Add([]byte{0x82, 0x80, 0x80})       // a batch whose content is an empty array
	f.Add([]byte{0xa1, 0x01, 0x61, 0x61}) // a report with only the sender's name, a
	s, _ := newTestSharer(f, "self")
	f.Cleanup(func() { _ = s.conn.Close() })
	f.Fuzz(func(_ *testing.T, data []byte) { s.handleDatagram(data, testAddr(1)) })
}

// Guards against a peer that is replaced by its own previous process: a hub that has not received a report of
// the restarted process yet still sends the description of the previous one.
func TestStalePeerInfoDoesNotReplaceRestartedPeer(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	s.noteReport(testAddr(2), report{From: "new", Seq: 1, Domain: 1})
	s.applyPeerInfos([]peerInfo{{Name: "old", Addr: testAddr(2), Domain: 1}, {Name: "other", Addr: testAddr(3), Domain: 1}, {Name: "me", Addr: s.Addr(), Domain: 1}})
	if s.peers[testAddr(2)].name != "new" || s.peers[testAddr(3)].name != "other" || s.PeerCount() != 2 {
		t.Errorf("%d peers with names %q and %q, want 2 peers named new and other", s.PeerCount(), s.peers[testAddr(2)].name, s.peers[testAddr(3)].name)
	}
}
