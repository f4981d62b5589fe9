package quarantine

import (
	"sync"
	"time"
)

// passTimesGenerationSize is the number of parts in a full generation of PassTimes.
const passTimesGenerationSize = 4096

// PassTimes holds when the answers of runs with the parts of prompts that have passed in this process last began; see
// MinPassDuration. It holds at least the last passTimesGenerationSize parts. It is safe for concurrent use.
type PassTimes struct {
	mu sync.Mutex
	generations[Fingerprint, time.Time]
}

// NewPassTimes returns a PassTimes without parts.
func NewPassTimes() *PassTimes {
	return &PassTimes{generations: newGenerations[Fingerprint, time.Time](passTimesGenerationSize)}
}

// Note notes that a run with the parts, whose answer began at answeredAt, has passed.
func (p *PassTimes) Note(answeredAt time.Time, parts []Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		last, _ := p.get(part)
		p.put(part, later(answeredAt, last))
	}
}

// Last returns when the answer of a run with the part that has passed last began; the zero time if that is not known.
func (p *PassTimes) Last(part Fingerprint) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, _ := p.get(part)
	return last
}
