package side

import (
	"sync"

	"arbutusramp/core/choose"
)

// maxPrefixNews bounds the prefix hashes in one Load frame.
const maxPrefixNews = 64

// prefixes are the hashes of prompt prefixes that the target was given. Each is told to
// the entries once, so that a prompt which all requests share costs no traffic. They
// are hints: entries that connect later miss older ones.
type prefixes struct {
	mu   sync.Mutex
	told choose.PrefixSet
	news []uint64
}

func (p *prefixes) add(hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hashes {
		if len(p.news) < maxPrefixNews && p.told.Insert(h) {
			p.news = append(p.news, h)
		}
	}
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
	return p.told.Latest(maxPrefixNews)
}
