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

// BenchmarkHandleReport measures handling one report of a peer in a gateway of a fleet of 88, which has 87
// peers and 44 targets and runs 3 batch items. Each report contains the loads at 3 targets. Such a gateway
// receives some hundred reports a second.
func BenchmarkHandleReport(b *testing.B) {
	const peerCount, targetCount, targetsPerGateway = 87, 44, 3
	view := fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Minute})
	var targets []serving.Target
	for i := range targetCount {
		targets = append(targets, serving.Target{ID: fmt.Sprintf("i-%08x", i), Service: "llm", Slots: 7})
	}
	view.UpdateTargets(targets, nil)
	sharer, err := New(testOptions("self", view))
	if err != nil {
		b.Fatal(err)
	}
	defer sharer.conn.Close()
	for range targetsPerGateway {
		if _, ok := view.StartBatch(fleet.Work{Service: "llm"}, 0, func() {}); !ok {
			b.Fatal("StartBatch found no free slot for a batch item")
		}
	}
	var seq uint64
	encode := func(i int) []byte {
		loads := make(map[string]fleet.Load)
		for k := range targetsPerGateway {
			loads[targets[(i+k)%targetCount].ID] = fleet.Load{Online: 1 + i%2}
		}
		seq++
		data, err := cbor.Marshal(report{From: fleet.Peer(fmt.Sprintf("peer-%d", i%peerCount)), Seq: seq, Loads: encodeLoads(loads), Domain: 1})
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
		sharer.handleDatagram(reports[i], netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i % peerCount)}), 7000))
	}
}
