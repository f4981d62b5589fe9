package choose

// maxPrefixes bounds the prefixes that are remembered of one target.
const maxPrefixes = 4096

// PrefixSet remembers prefix hashes that a target has lately been given or
// reported. It is a hint: the target may have dropped any of them.
type PrefixSet struct {
	has  map[uint64]struct{}
	ring []uint64
	next int
}

// Add takes in hashes; the oldest are forgotten when there are too many.
func (s *PrefixSet) Add(hashes []uint64) {
	if s.has == nil {
		s.has = make(map[uint64]struct{})
	}
	for _, h := range hashes {
		s.add(h)
	}
}

func (s *PrefixSet) add(h uint64) {
	if _, ok := s.has[h]; ok {
		return
	}
	s.has[h] = struct{}{}
	if len(s.ring) < maxPrefixes {
		s.ring = append(s.ring, h)
		return
	}
	delete(s.has, s.ring[s.next])
	s.ring[s.next] = h
	s.next = (s.next + 1) % maxPrefixes
}

// Match returns how many blocks of a prompt's growing prefixes are in the set,
// by the longest one that is.
func (s *PrefixSet) Match(prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if _, ok := s.has[prefixes[i]]; ok {
			return i + 1
		}
	}
	return 0
}
