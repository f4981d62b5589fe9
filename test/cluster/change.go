package cluster

import (
	"arbutusramp/standin/hostlist"
)

// AddEntry starts one more entry on a host of its own.
func (c *Cluster) AddEntry() (*Process, error) {
	p, err := c.newEntry(c.made)
	if err != nil {
		return nil, err
	}
	c.Entries = append(c.Entries, p)
	return p, nil
}

// RemoveEntry takes an entry that has ended, or that was killed, off the host lists for good.
func (c *Cluster) RemoveEntry(p *Process) {
	c.mu.Lock()
	delete(c.hosts, p.ID)
	delete(c.lists, p.ID)
	for _, list := range c.lists {
		list.Remove(p.ID)
	}
	c.mu.Unlock()
	kept := c.Entries[:0:0]
	for _, e := range c.Entries {
		if e != p {
			kept = append(kept, e)
		}
	}
	c.Entries = kept
	c.removed = append(c.removed, p)
}

// TurnLists changes the faults of every entry's host list by f.
func (c *Cluster) TurnLists(f func(*hostlist.Knobs)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.lists {
		list.Turn(f)
	}
}
