package quarantine

import "sync"

// passedGenerationSize is how many contents one generation of a PassedSet holds.
const passedGenerationSize = 2048

// PassedSet holds the digests of contents whose runs have recently passed: at least the last
// passedGenerationSize of them. It is safe for concurrent use.
type PassedSet struct {
	mu                sync.Mutex
	current, previous map[uint64]struct{}
}

// NewPassedSet returns an empty set.
func NewPassedSet() *PassedSet { return &PassedSet{current: make(map[uint64]struct{})} }

// Add adds the digest of a content. When the current generation is full, it replaces the previous one.
func (p *PassedSet) Add(digest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.current) >= passedGenerationSize {
		p.current, p.previous = make(map[uint64]struct{}), p.current
	}
	p.current[digest] = struct{}{}
}

// Has reports whether the set holds the digest of a content.
func (p *PassedSet) Has(digest uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, isInCurrent := p.current[digest]
	_, isInPrevious := p.previous[digest]
	return isInCurrent || isInPrevious
}
