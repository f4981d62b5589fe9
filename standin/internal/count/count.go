// Package count counts events by name in bounded memory.
package count

import (
	"maps"
	"sync"
)

// MaxNames bounds the names that one Counter tells apart.
const MaxNames = 1 << 18

// Counter counts events by name.
type Counter struct {
	mu      sync.Mutex
	total   int64
	uncount int64
	byName  map[string]int
}

// Snapshot is what a Counter has counted.
type Snapshot struct {
	Total int64 `json:"total"`
	// Uncounted events had a name that found no room.
	Uncounted int64          `json:"uncounted,omitempty"`
	ByName    map[string]int `json:"by_name,omitempty"`
}

// Add counts one event. An empty name counts towards the total only.
func (c *Counter) Add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if name == "" {
		return
	}
	if c.byName == nil {
		c.byName = map[string]int{}
	}
	if _, ok := c.byName[name]; !ok && len(c.byName) >= MaxNames {
		c.uncount++
		return
	}
	c.byName[name]++
}

// Of returns the count of one name.
func (c *Counter) Of(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byName[name]
}

// Total returns the count of all events.
func (c *Counter) Total() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Snapshot returns a copy; with names it holds the count of each name.
func (c *Counter) Snapshot(names bool) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Snapshot{Total: c.total, Uncounted: c.uncount}
	if names {
		s.ByName = maps.Clone(c.byName)
	}
	return s
}
