package batch

import (
	"container/list"
	"sync"

	"arbutusramp/core/structs"
)

// segmentKey names one segment of a job.
type segmentKey struct {
	job structs.JobID
	seg int
}

// segmentCache keeps the items of the segments used last, bounded in bytes.
type segmentCache struct {
	mu    sync.Mutex
	limit int
	bytes int
	order *list.List // of *cachedSegment, the latest first
	byKey map[segmentKey]*list.Element
}

type cachedSegment struct {
	key   segmentKey
	items []structs.JobItem
	bytes int
}

func newSegmentCache(limit int) *segmentCache {
	return &segmentCache{limit: limit, order: list.New(), byKey: make(map[segmentKey]*list.Element)}
}

func (c *segmentCache) get(key segmentKey) ([]structs.JobItem, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byKey[key]
	if e == nil {
		return nil, false
	}
	c.order.MoveToFront(e)
	return e.Value.(*cachedSegment).items, true
}

func (c *segmentCache) has(key segmentKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byKey[key] != nil
}

func (c *segmentCache) put(key segmentKey, items []structs.JobItem) {
	size := 0
	for i := range items {
		size += itemOverhead + len(items[i].Body) + len(items[i].Path) + len(items[i].CustomID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKey[key] != nil {
		return
	}
	c.byKey[key] = c.order.PushFront(&cachedSegment{key: key, items: items, bytes: size})
	c.bytes += size
	for c.bytes > c.limit && c.order.Len() > 1 {
		c.remove(c.order.Back())
	}
}

func (c *segmentCache) remove(e *list.Element) {
	old := c.order.Remove(e).(*cachedSegment)
	delete(c.byKey, old.key)
	c.bytes -= old.bytes
}

// itemOverhead is the size of an item's struct in memory, in bytes.
const itemOverhead = 96
