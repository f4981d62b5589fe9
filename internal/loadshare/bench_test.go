package loadshare

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
)

// BenchmarkHandleReport measures the cost of one report of a peer at a gateway among 88 with 44 targets under
// overload, while it runs batch items. Such a gateway receives some hundred reports a second.
func BenchmarkHandleReport(b *testing.B) {
	const peers, targets, atOnce = 87, 44, 3
	view := fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Minute})
	var list []serving.Target
	for i := range targets {
		list = append(list, serving.Target{ID: fmt.Sprintf("i-%08x", i), Service: "llm", Slots: 7})
	}
	view.Put(list, nil)
	sharer, err := New(testOptions("self", view))
	if err != nil {
		b.Fatal(err)
	}
	defer sharer.conn.Close()
	for range atOnce {
		if _, ok := view.StartBatch("llm", 0, nil, func() {}); !ok {
			b.Fatal("no room")
		}
	}
	var seq uint64
	encode := func(i int) []byte {
		loads := make(map[string]fleet.Load)
		for k := range atOnce {
			loads[list[(i+k)%targets].ID] = fleet.Load{Online: 1 + i%2}
		}
		seq++
		data, err := cbor.Marshal(report{From: fleet.Peer(fmt.Sprintf("peer-%d", i%peers)), Seq: seq, Loads: encodeLoads(loads), Domain: 1})
		if err != nil {
			b.Fatal(err)
		}
		return data
	}
	var reports [][]byte
	for i := range b.N {
		reports = append(reports, encode(i))
	}
	b.ResetTimer()
	for i := range b.N {
		sharer.handleDatagram(reports[i], netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i % peers)}), 7000))
	}
}
