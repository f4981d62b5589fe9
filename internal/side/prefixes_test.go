package side

import (
	"slices"
	"testing"
)

func TestPrefixesAreToldOnceAndBounded(t *testing.T) {
	var p prefixes
	if p.latest() != nil && len(p.latest()) != 0 {
		t.Fatal("something from nothing")
	}
	p.add([]uint64{1, 2})
	p.add([]uint64{1, 2, 3})
	if got := p.take(); !slices.Equal(got, []uint64{1, 2, 3}) {
		t.Fatalf("news %v", got)
	}
	p.add([]uint64{2})
	if got := p.take(); len(got) != 0 {
		t.Fatalf("told again: %v", got)
	}
	for h := range uint64(2 * maxPrefixesKnown) {
		p.add([]uint64{h})
		p.take()
	}
	if len(p.told) != maxPrefixesKnown || len(p.ring) != maxPrefixesKnown {
		t.Fatalf("%d told, %d in the ring", len(p.told), len(p.ring))
	}
	if got := p.latest(); len(got) != maxPrefixNews || got[0] != 2*maxPrefixesKnown-1 {
		t.Fatalf("latest %v", got)
	}
}
