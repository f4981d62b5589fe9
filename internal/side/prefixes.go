package side

import "sync"

const (
	// maxPrefixNews bounds the prefix hashes in one Load frame.
	maxPrefixNews = 64
	// maxPrefixesKnown bounds the hashes that are remembered as told.
	maxPrefixesKnown = 4096
)

// prefixes are the hashes of prompt prefixes that the target was given. Each is told to
// the entries once, so that a prompt which all requests share costs no traffic. They
// are hints: entries that connect later miss older ones.
type prefixes struct {
	mu   sync.Mutex
	told map[uint64]struct{}
	ring []uint64 // told, in order; the oldest is at next once it is full
	next int
	news []uint64
}

func (p *prefixes) add(hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hashes {
		if _, ok := p.told[h]; !ok && len(p.news) < maxPrefixNews {
			p.remember(h)
			p.news = append(p.news, h)
		}
	}
}

func (p *prefixes) remember(h uint64) {
	if p.told == nil {
		p.told = make(map[uint64]struct{})
	}
	p.told[h] = struct{}{}
	if len(p.ring) < maxPrefixesKnown {
		p.ring = append(p.ring, h)
		return
	}
	delete(p.told, p.ring[p.next])
	p.ring[p.next] = h
	p.next = (p.next + 1) % maxPrefixesKnown
}

// take returns what is news since the last call.
func (p *prefixes) take() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := p.news
	p.news = nil
	return news
}

// latest returns the newest hashes, for an entry that has just connected.
func (p *prefixes) latest() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.ring), maxPrefixNews)
	out := make([]uint64, 0, n)
	for i := range n {
		out = append(out, p.ring[(p.next+len(p.ring)-1-i)%len(p.ring)])
	}
	return out
}
