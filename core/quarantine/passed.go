package quarantine

import "sync"

// passedGeneration is how many contents a generation of a PassedSet holds.
const passedGeneration = 2048

// PassedSet remembers the contents whose runs have lately passed, by their digests: at least the last passedGeneration of them. It is safe for concurrent use.
type PassedSet struct {
	mu            sync.Mutex
	newest, older map[uint64]struct{}
}

// NewPassedSet returns an empty set.
func NewPassedSet() *PassedSet { return &PassedSet{newest: make(map[uint64]struct{})} }

// Add adds a content.
func (p *PassedSet) Add(digest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.newest) >= passedGeneration {
		p.newest, p.older = make(map[uint64]struct{}), p.newest
	}
	p.newest[digest] = struct{}{}
}

// Has says whether a content is remembered.
func (p *PassedSet) Has(digest uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, isNew := p.newest[digest]
	_, isOld := p.older[digest]
	return isNew || isOld
}
