package origin

import (
	"fmt"
	"testing"
)

// BenchmarkKeepers measures the choice of keepers, which a gateway makes for each stream that it begins.
func BenchmarkKeepers(b *testing.B) {
	for _, n := range []int{8, 28, 556} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			peers := testPeers(n)
			for i := 0; b.Loop(); i++ {
				Keepers(Key(i), peers, KeeperCount)
			}
		})
	}
}

// BenchmarkTable measures the addition of a record to a table that has many.
func BenchmarkTable(b *testing.B) {
	table := NewTable(MaxRecords)
	for i := 0; b.Loop(); i++ {
		table.Add(start, Record{Key: Key(i), Origin: version("v1")})
	}
}
