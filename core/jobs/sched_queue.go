package jobs

import (
	"sort"
	"time"

	"arbutusramp/core/structs"
)

// hasWork says that the queue may have an item to hand out at now.
func (c *queue) hasWork(now time.Time) bool {
	if c.seg < len(c.job.Segments) {
		return true
	}
	for _, list := range [][]returned{c.back, c.suspects} {
		for _, r := range list {
			if !r.notBefore.After(now) {
				return true
			}
		}
	}
	return false
}

// next takes the next item off the queue, returned ones first.
func (c *queue) next(now time.Time, leases map[Key]*Lease, q *Query) (returned, int, bool) {
	if r, seg, ok := c.nextReturned(now, q); ok {
		return r, seg, ok
	}
	for c.seg < len(c.job.Segments) {
		seg := c.seg
		if !q.ready(c.job.ID, seg) {
			return returned{}, 0, false
		}
		index, ok := c.advance()
		if !ok {
			continue
		}
		if _, held := leases[Key{c.job.ID, index}]; held {
			continue
		}
		return returned{index: index}, seg, true
	}
	return returned{}, 0, false
}

// advance moves the cursor past the next open item and returns it; ok is false
// at the end of a segment.
func (c *queue) advance() (index int, ok bool) {
	g := &c.job.Segments[c.seg]
	n := int(g.Count)
	pos := n
	if g.open != nil {
		pos = g.open.Done.nextClear(c.pos, n)
	}
	if pos >= n {
		c.seg, c.pos = c.seg+1, 0
		return 0, false
	}
	c.pos = pos + 1
	return int(g.First) + pos, true
}

func (c *queue) nextReturned(now time.Time, q *Query) (returned, int, bool) {
	for i := 0; i < len(c.back); i++ {
		r := c.back[i]
		if !c.job.Open(r.index) {
			c.back = append(c.back[:i], c.back[i+1:]...)
			i--
			continue
		}
		seg, _, _ := c.job.Locate(r.index)
		if r.notBefore.After(now) || !q.ready(c.job.ID, seg) {
			continue
		}
		c.back = append(c.back[:i], c.back[i+1:]...)
		return r, seg, true
	}
	return returned{}, 0, false
}

// Reported notes that the outcome of key is on its way to the log, so that its lease
// does not run out. It says whether the item is still open.
func (s *Sched) Reported(key Key) bool {
	j := s.state.Jobs[key.Job]
	if j == nil || !j.Open(key.Index) {
		s.Drop(key)
		return false
	}
	l := s.leases[key]
	if l == nil {
		// The owner has changed, or the item was handed out again and not yet
		// picked: the outcome counts all the same.
		l = &Lease{Once: j.Once(key.Index)}
		s.leases[key] = l
		s.queues[key.Job].forget(key.Index)
	}
	if l.Alone {
		delete(s.alone, l.Side)
	}
	l.Reported = true
	return true
}

// forget drops index from what is to be handed out again.
func (c *queue) forget(index int) {
	if c == nil {
		return
	}
	drop := func(list []returned) []returned {
		for i, r := range list {
			if r.index == index {
				return append(list[:i], list[i+1:]...)
			}
		}
		return list
	}
	c.back = drop(c.back)
	c.suspects = drop(c.suspects)
}

// IsReported says that an outcome of key is on its way to the log.
func (s *Sched) IsReported(key Key) bool {
	l := s.leases[key]
	return l != nil && l.Reported
}

// Lease returns the lease of key.
func (s *Sched) Lease(key Key) (Lease, bool) {
	l := s.leases[key]
	if l == nil {
		return Lease{}, false
	}
	return *l, true
}

// Sent notes that the item of key goes to its side now, whose lease ends at until.
func (s *Sched) Sent(key Key, until time.Time, customID string) {
	l := s.leases[key]
	if l == nil {
		return
	}
	l.Unsent = false
	l.Until = until
	l.CustomID = customID
}

// Extend moves the end of the lease of key to until.
func (s *Sched) Extend(key Key, until time.Time) {
	if l := s.leases[key]; l != nil {
		l.Until = until
	}
}

// Return gives an item back to be handed out again as its next attempt. charged is how
// often it has failed: the wait before it grows with that.
func (s *Sched) Return(now time.Time, key Key, charged int) {
	l := s.leases[key]
	s.Drop(key)
	q := s.queues[key.Job]
	if q == nil || !q.job.Open(key.Index) {
		return
	}
	r := returned{index: key.Index, notBefore: now.Add(returnWait)}
	if l != nil {
		r.attempt = l.Attempt + 1
	}
	if charged > 0 {
		r.notBefore = now.Add(min(retryMax, retryBase<<min(charged-1, 6)))
	}
	q.forget(key.Index)
	if q.job.Trouble(key.Index).Crashes > 0 {
		q.suspects = append(q.suspects, r)
		return
	}
	q.back = append(q.back, r)
}

// SideGone shortens the leases of a side whose session has closed, so that its items
// are handed out again after grace unless it comes back and reports.
func (s *Sched) SideGone(now time.Time, side structs.HostID, grace time.Duration) {
	until := now.Add(grace)
	for _, l := range s.leases {
		if l.Side == side && !l.Reported && l.Until.After(until) {
			l.Until = until
		}
	}
}

// Expired returns the items whose lease ran out without an outcome, in a stable order.
func (s *Sched) Expired(now time.Time) []Key {
	var out []Key
	for key, l := range s.leases {
		if !l.Reported && !l.Unsent && now.After(l.Until) {
			out = append(out, key)
		}
	}
	sortKeys(out)
	return out
}

// Holders returns the sides that hold items of job, with the end of their last lease.
func (s *Sched) Holders(job structs.JobID) map[structs.HostID]time.Time {
	out := make(map[structs.HostID]time.Time)
	for key, l := range s.leases {
		if key.Job != job || l.Side == "" || l.Reported || l.Unsent {
			continue
		}
		if l.Until.After(out[l.Side]) {
			out[l.Side] = l.Until
		}
	}
	return out
}

// HasUnsent says whether an item was picked and did not go out yet.
func (s *Sched) HasUnsent() bool {
	for _, l := range s.leases {
		if l.Unsent && !l.Reported {
			return true
		}
	}
	return false
}

// Drop removes the lease of key without handing the item out again.
func (s *Sched) Drop(key Key) {
	if l := s.leases[key]; l != nil && l.Alone {
		delete(s.alone, l.Side)
	}
	delete(s.leases, key)
}

// InFlight returns how many items sides hold.
func (s *Sched) InFlight() int { return len(s.leases) }

// Held returns the leases for the next owner. Leases whose outcome is on its
// way to the log are left out: the release comes after them.
func (s *Sched) Held(now time.Time) []structs.ItemLease {
	var keys []Key
	for key, l := range s.leases {
		if !l.Reported && !l.Unsent && l.Side != "" {
			keys = append(keys, key)
		}
	}
	sortKeys(keys)
	out := make([]structs.ItemLease, 0, len(keys))
	for _, key := range keys {
		l := s.leases[key]
		out = append(out, structs.ItemLease{
			Job: key.Job, Index: key.Index, Attempt: l.Attempt, Side: l.Side,
			LeftMs: max(0, l.Until.Sub(now).Milliseconds()),
		})
	}
	return out
}

func sortKeys(keys []Key) {
	sort.Slice(keys, func(a, b int) bool {
		if keys[a].Job != keys[b].Job {
			return keys[a].Job < keys[b].Job
		}
		return keys[a].Index < keys[b].Index
	})
}
