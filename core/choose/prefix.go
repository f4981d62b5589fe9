package choose

// MaxPrefixes bounds the prefixes that are remembered of one target.
const MaxPrefixes = 4096

// PrefixSet remembers prefix hashes that a target has lately been given or
// reported. It is a hint: the target may have dropped any of them.
type PrefixSet struct {
	has  map[uint64]struct{}
	ring []uint64
	next int
}

// Add takes in hashes; the oldest are forgotten when there are too many.
func (s *PrefixSet) Add(hashes []uint64) {
	for _, h := range hashes {
		s.Insert(h)
	}
}

// Insert takes in h and says whether it is new.
func (s *PrefixSet) Insert(h uint64) bool {
	if s.Has(h) {
		return false
	}
	if s.has == nil {
		s.has = make(map[uint64]struct{})
	}
	s.has[h] = struct{}{}
	if len(s.ring) < MaxPrefixes {
		s.ring = append(s.ring, h)
		return true
	}
	delete(s.has, s.ring[s.next])
	s.ring[s.next] = h
	s.next = (s.next + 1) % MaxPrefixes
	return true
}

// Has says whether h is in the set.
func (s *PrefixSet) Has(h uint64) bool {
	_, ok := s.has[h]
	return ok
}

// Latest returns up to n hashes, the newest first.
func (s *PrefixSet) Latest(n int) []uint64 {
	n = min(len(s.ring), n)
	out := make([]uint64, 0, n)
	for i := range n {
		out = append(out, s.ring[(s.next+len(s.ring)-1-i)%len(s.ring)])
	}
	return out
}

// Match returns how many blocks of a prompt's growing prefixes are in the set,
// by the longest one that is.
func (s *PrefixSet) Match(prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if s.Has(prefixes[i]) {
			return i + 1
		}
	}
	return 0
}
