package quarantine

import (
	"sync"
	"time"
)

// passTimesGenerationSize is the number of parts in a full generation of PassTimes.
const passTimesGenerationSize = 4096

// PassTimes holds when the answers of runs with the parts of prompts that have passed in this process last began; see MinPassDuration. It has two
// generations and holds at least the last passTimesGenerationSize parts. It is safe for concurrent use.
type PassTimes struct {
	mu sync.Mutex
	// current is the generation to which parts are added, previous the full one before it.
	current, previous map[Fingerprint]time.Time
}

// NewPassTimes returns a PassTimes without parts.
func NewPassTimes() *PassTimes { return &PassTimes{current: make(map[Fingerprint]time.Time)} }

// Note notes that a run with the parts, whose answer began at answeredAt, has passed. If the current generation is full, it first becomes the
// previous one, and the one before it is discarded.
func (p *PassTimes) Note(answeredAt time.Time, parts []Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if len(p.current) >= passTimesGenerationSize {
			p.current, p.previous = make(map[Fingerprint]time.Time), p.current
		}
		p.current[part] = later(answeredAt, p.current[part])
	}
}

// Last returns when the answer of a run with the part that has passed last began; the zero time if that is not known.
func (p *PassTimes) Last(part Fingerprint) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.current[part]; ok {
		return at
	}
	return p.previous[part]
}
