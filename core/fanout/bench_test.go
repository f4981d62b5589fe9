package fanout

import (
	"net/netip"
	"testing"
)

// BenchmarkBranches measures what a hub of a domain with 110 other gateways does with every batch.
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
