package quarantine

import "sync"

// passedGenerationSize is the number of digests in a full generation of a PassedSet.
const passedGenerationSize = 2048

// PassedSet holds the digests of contents whose runs have recently passed; see MinPassDuration. It holds at least the
// last passedGenerationSize digests that were added. It is safe for concurrent use.
type PassedSet struct {
	mu sync.Mutex
	generations[uint64, struct{}]
}

// NewPassedSet returns an empty set.
func NewPassedSet() *PassedSet {
	return &PassedSet{generations: newGenerations[uint64, struct{}](passedGenerationSize)}
}

// Add adds the digest of a content.
func (s *PassedSet) Add(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(digest, struct{}{})
}

// Contains reports whether the set holds the digest of a content.
func (s *PassedSet) Contains(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.get(digest)
	return ok
}
