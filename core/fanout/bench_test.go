package fanout

import (
	"net/netip"
	"testing"
)

// BenchmarkBranches measures how long a hub takes to divide the 110 other gateways of its domain into
// branches. A hub does so for every batch.
func BenchmarkBranches(b *testing.B) {
	var receivers []netip.AddrPort
	for i := range 110 {
		receivers = append(receivers, testAddr(i+1))
	}
	b.ReportAllocs()
	for b.Loop() {
		Branches(testAddr(0), receivers)
	}
}
