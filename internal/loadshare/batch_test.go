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

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
}

func TestSignsAreReadAsTheyWereWritten(t *testing.T) {
	want := []sign{
		{id: 1, seq: 7, age: 5 * ageUnit, contact: 3 * contactUnit, isIdle: true},
		{id: 1 << 31, seq: 65535, hasStopped: true, hasDetour: true},
		{id: 3, age: maxAge, contact: maxContactAge},
	}
	var data []byte
	for _, s := range want {
		data = appendSign(data, s)
	}
	got, err := decodeSigns(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
	if _, err := decodeSigns(data[1:]); !errs.Is(err, errs.BadFrame) {
		t.Errorf("half a sign: %v", err)
	}
	old, err := decodeSigns(appendSign(nil, sign{age: time.Hour, contact: -time.Second}))
	if err != nil || old[0].age != maxAge || old[0].contact != 0 {
		t.Errorf("out of range: %+v, %v", old, err)
	}
}

// What a hub tells of a large fleet fits into datagrams, and nothing of it is left out.
func TestABatchOfALargeFleetIsSplit(t *testing.T) {
	const gateways = 2000
	var intros []intro
	var list []news
	var signs []sign
	for i := range gateways {
		intros = append(intros, intro{Name: "a-gateway-with-a-long-name-12345678", Addr: addrOf(i), Domain: 1})
		list = append(list, news{ID: fanout.ID(i), Seq: 1 << 30, Loads: []line{{Target: 1 << 31, Online: 1}, {Target: 1 << 30, Batch: 2}}})
		signs = append(signs, sign{id: fanout.ID(i)})
	}
	var sums [3]int
	for _, c := range split(addrOf(1), intros, list, signs) {
		raw, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		data, err := cbor.Marshal(batch{Forward: []netip.AddrPort{addrOf(1)}, Content: raw})
		if err != nil || !isBatch(data) || len(data) > 16<<10 {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
		_, got, told, err := decodeBatch(data)
		if err != nil {
			t.Fatal(err)
		}
		sums[0] += len(got.Intros)
		sums[1] += len(got.News)
		sums[2] += len(told)
	}
	if sums != [3]int{gateways, gateways, gateways} {
		t.Errorf("told of %v, want %d of each", sums, gateways)
	}
}

// Guards against a hub that makes gateways known, or changes what is known of them, by a batch that is damaged.
func TestADamagedBatchChangesNothing(t *testing.T) {
	s, _ := newShare(t, "self")
	defer s.conn.Close()
	whole := content{Hub: addrOf(1), Intros: []intro{{Name: "peer", Addr: addrOf(2), Domain: 1}}}
	raw, err := cbor.Marshal(whole)
	if err != nil {
		t.Fatal(err)
	}
	noHub, err := cbor.Marshal(content{Intros: whole.Intros})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string]batch{"cut": {Content: raw[:len(raw)-1]}, "no hub": {Content: noHub}, "empty": {}} {
		data, err := cbor.Marshal(b)
		if err != nil {
			data = []byte{0x82, 0x80} // cut before its content
		}
		s.take(data, addrOf(1))
		if s.Peers() != 0 {
			t.Errorf("%s: %d peers", name, s.Peers())
		}
	}
	data, err := cbor.Marshal(batch{Content: raw})
	if err != nil {
		t.Fatal(err)
	}
	s.take(data, addrOf(1))
	if s.Peers() != 1 || s.peers[addrOf(2)].name != fleet.Peer("peer") {
		t.Errorf("%d peers after a whole batch", s.Peers())
	}
}

// Guards against a sign that a newer report has overtaken on its way over another hub: it would clear loads that are there.
func TestAnOldSignDoesNotClearLoads(t *testing.T) {
	s, view := newShare(t, "self")
	defer s.conn.Close()
	id := idOf("peer")
	tell := func(c content) {
		t.Helper()
		raw, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		data, err := cbor.Marshal(batch{Content: raw})
		if err != nil {
			t.Fatal(err)
		}
		s.take(data, addrOf(1))
	}
	idle := func(seq uint16) []byte { return appendSign(nil, sign{id: id, seq: seq, isIdle: true}) }
	hasRoom := func() bool {
		r, ok := view.StartBatch("s", 0, nil, func() {})
		if ok {
			r.Done()
		}
		return ok
	}
	tell(content{Hub: addrOf(1), Intros: []intro{{Name: "peer", Addr: addrOf(2), Domain: 1}}, News: []news{{ID: id, Seq: 5, Loads: []line{{Target: digestOf("t"), Online: 1}}}}})
	tell(content{Hub: addrOf(1), Signs: idle(4)})
	if hasRoom() {
		t.Error("a sign of an older report has cleared the loads")
	}
	tell(content{Hub: addrOf(1), Signs: idle(6)})
	if !hasRoom() {
		t.Error("the peer still counts as busy after it has become idle")
	}
	tell(content{Hub: addrOf(1), News: []news{{ID: id, Seq: 6, Loads: []line{{Target: digestOf("t"), Online: 1}}}}})
	if !hasRoom() {
		t.Error("a report that is older than the sign counts")
	}
}

// FuzzTake feeds whatever may come to the socket: none of it may stop the process.
func FuzzTake(f *testing.F) {
	raw, err := cbor.Marshal(content{Hub: addrOf(1), Intros: []intro{{Name: "p", Addr: addrOf(2), Domain: 1}}, News: []news{{ID: 1, Seq: 1}}, Signs: make([]byte, signBytes)})
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
	v, _ := newShare(f, "self")
	f.Cleanup(func() { _ = v.conn.Close() })
	f.Fuzz(func(_ *testing.T, data []byte) { v.take(data, addrOf(1)) })
}

// Guards against a hub that has not heard of a restart yet: its introduction must not bring the start before back.
func TestAnOldIntroductionDoesNotReplaceAStart(t *testing.T) {
	s, _ := newShare(t, "self")
	defer s.conn.Close()
	s.heard(addrOf(2), report{From: "new", Seq: 1, Domain: 1})
	s.introduce([]intro{{Name: "old", Addr: addrOf(2), Domain: 1}, {Name: "other", Addr: addrOf(3), Domain: 1}, {Name: "me", Addr: s.Addr(), Domain: 1}})
	if s.peers[addrOf(2)].name != "new" || s.peers[addrOf(3)].name != "other" || s.Peers() != 2 {
		t.Errorf("%d peers, %q and %q", s.Peers(), s.peers[addrOf(2)].name, s.peers[addrOf(3)].name)
	}
}
