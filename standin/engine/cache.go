package engine

import "container/list"

// lru is a set of keys with values that forgets the least recently used.
type lru[V any] struct {
	cap     int
	order   *list.List // front is the most recently used
	entries map[uint64]*list.Element
}

type lruEntry[V any] struct {
	key   uint64
	value V
}

func newLRU[V any](capacity int) *lru[V] {
	return &lru[V]{cap: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

func (l *lru[V]) get(key uint64) (V, bool) {
	e, ok := l.entries[key]
	if !ok {
		var zero V
		return zero, false
	}
	l.order.MoveToFront(e)
	return e.Value.(*lruEntry[V]).value, true
}

// put adds or replaces a value. It returns the key that made room, if one did.
func (l *lru[V]) put(key uint64, value V) (dropped uint64, didDrop bool) {
	if l.cap <= 0 {
		return 0, false
	}
	if e, ok := l.entries[key]; ok {
		e.Value.(*lruEntry[V]).value = value
		l.order.MoveToFront(e)
		return 0, false
	}
	if l.order.Len() >= l.cap {
		dropped, didDrop = l.dropOldest(), true
	}
	l.entries[key] = l.order.PushFront(&lruEntry[V]{key, value})
	return dropped, didDrop
}

func (l *lru[V]) dropOldest() uint64 {
	e := l.order.Back()
	key := e.Value.(*lruEntry[V]).key
	l.order.Remove(e)
	delete(l.entries, key)
	return key
}

func (l *lru[V]) len() int { return l.order.Len() }

// prefixCache knows which blocks of prompts are in the engine's memory. A block is
// named by the hash of the whole prefix that ends with it.
type prefixCache struct {
	blocks *lru[struct{}]
	event  func(prefix uint64, added bool)
}

func newPrefixCache(blocks int, event func(prefix uint64, added bool)) *prefixCache {
	return &prefixCache{blocks: newLRU[struct{}](blocks), event: event}
}

// cached returns how many leading blocks of prefixes are in memory.
func (c *prefixCache) cached(prefixes []uint64) int {
	for i, p := range prefixes {
		if _, ok := c.blocks.get(p); !ok {
			return i
		}
	}
	return len(prefixes)
}

// add puts a prompt's blocks into memory.
func (c *prefixCache) add(prefixes []uint64) {
	for _, p := range prefixes {
		if _, ok := c.blocks.get(p); ok {
			continue
		}
		if old, ok := c.blocks.put(p, struct{}{}); ok {
			c.event(old, false)
		}
		c.event(p, true)
	}
}

// used returns the share of memory in use, 0..1.
func (c *prefixCache) used() float64 {
	if c.blocks.cap <= 0 {
		return 0
	}
	return float64(c.blocks.len()) / float64(c.blocks.cap)
}
