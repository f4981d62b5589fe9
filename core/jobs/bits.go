package jobs

import "math/bits"

// bitset is a plain bitmap; nil has no bit set.
type bitset []uint64

const wordBits = 64

func newBitset(n int) bitset { return make(bitset, (n+wordBits-1)/wordBits) }

func (b bitset) has(i int) bool {
	w := i / wordBits
	return w < len(b) && b[w]&(1<<(i%wordBits)) != 0
}

func (b bitset) set(i int)   { b[i/wordBits] |= 1 << (i % wordBits) }
func (b bitset) clear(i int) { b[i/wordBits] &^= 1 << (i % wordBits) }

func (b bitset) count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

// nextClear returns the first position from i on below n that is clear, or n.
func (b bitset) nextClear(i, n int) int {
	for i < n {
		w := i / wordBits
		if w >= len(b) {
			return i
		}
		free := ^b[w] >> (i % wordBits)
		if free != 0 {
			return min(n, i+bits.TrailingZeros64(free))
		}
		i = (w + 1) * wordBits
	}
	return n
}
