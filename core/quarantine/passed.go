package quarantine

import "sync"

// passedGenerationSize is the number of digests in a full generation of a PassedSet.
const passedGenerationSize = 2048

// PassedSet holds the digests of contents whose runs have recently passed; see MinPassDuration. It has two
// generations and holds at least the last passedGenerationSize digests that were added. It is safe for
// concurrent use.
type PassedSet struct {
	mu sync.Mutex
	// current is the generation to which digests are added, previous the full one before it.
	current, previous map[uint64]struct{}
}

// NewPassedSet returns an empty set.
func NewPassedSet() *PassedSet { return &PassedSet{current: make(map[uint64]struct{})} }

// Add adds the digest of a content. If the current generation is full, it first becomes the previous one, and
// the digests of the generation before it are discarded.
func (s *PassedSet) Add(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.current) >= passedGenerationSize {
		s.current, s.previous = make(map[uint64]struct{}), s.current
	}
	s.current[digest] = struct{}{}
}

// Contains reports whether the set holds the digest of a content.
func (s *PassedSet) Contains(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, isInCurrent := s.current[digest]
	_, isInPrevious := s.previous[digest]
	return isInCurrent || isInPrevious
}
