package side

import (
	"slices"
	"testing"

	"arbutusramp/core/choose"
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
	for h := range uint64(2 * choose.MaxPrefixes) {
		p.add([]uint64{h})
		p.take()
	}
	if n := len(p.told.Latest(3 * choose.MaxPrefixes)); n != choose.MaxPrefixes {
		t.Fatalf("%d told", n)
	}
	if got := p.latest(); len(got) != maxPrefixNews || got[0] != 2*choose.MaxPrefixes-1 {
		t.Fatalf("latest %v", got)
	}
}
