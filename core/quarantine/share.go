package quarantine

import "time"

// scheduleAnnouncement schedules an entry to be sent to peers and written to the store immediately.
func (g *Registry) scheduleAnnouncement(now time.Time, e *entry) {
	e.sendAt, e.sendInterval, e.announcedSeen = now, minSendInterval, e.Seen
	g.nextSendAt = time.Time{}
	g.scheduleWrite(e, now)
}

func (g *Registry) scheduleWrite(e *entry, at time.Time) {
	if e.stored.covers(e.Record, g.renewInterval()) {
		e.writeAt = time.Time{}
		return
	}
	if e.writeAt.IsZero() || at.Before(e.writeAt) {
		e.writeAt = at
	}
}

// ToTell returns up to n records that are due to be sent to peers, those of quarantined contents first.
func (g *Registry) ToTell(now time.Time, n int) []Record {
	if now.Before(g.nextSendAt) {
		return nil
	}
	var list []Record
	for _, isQuarantinedPass := range []bool{true, false} {
		for _, e := range g.entries {
			if len(list) == n {
				return list
			}
			if g.isQuarantined(e) != isQuarantinedPass || e.sendAt.IsZero() || now.Before(e.sendAt) {
				continue
			}
			e.sendAt = now.Add(e.sendInterval)
			e.sendInterval = min(maxSendInterval, sendIntervalGrowth*e.sendInterval)
			list = append(list, e.Record.clone())
		}
	}
	g.nextSendAt = g.earliestSend(now)
	return list
}

// earliestSend returns when the next entry is due to be sent, at most maxSendInterval after now.
func (g *Registry) earliestSend(now time.Time) time.Time {
	earliest := now.Add(maxSendInterval)
	for _, e := range g.entries {
		if !e.sendAt.IsZero() && e.sendAt.Before(earliest) {
			earliest = e.sendAt
		}
	}
	return earliest
}

// TellAgain schedules the records of quarantined contents to be sent again because a peer has started.
func (g *Registry) TellAgain(now time.Time) {
	for _, e := range g.entries {
		if g.isQuarantined(e) {
			e.sendAt, e.sendInterval = now, minSendInterval
		}
	}
	g.nextSendAt = time.Time{}
}

// ToStore returns up to n records that are due to be written to the store, and when the next one is due; zero
// if there is none.
func (g *Registry) ToStore(now time.Time, n int) (due []Record, next time.Time) {
	for _, e := range g.entries {
		switch {
		case e.writeAt.IsZero():
		case !now.Before(e.writeAt) && len(due) < n:
			due = append(due, e.Record.clone())
		case next.IsZero() || e.writeAt.Before(next):
			next = e.writeAt
		}
	}
	return due, next
}

// NoteStored notes that the store holds a record that ToStore has returned.
func (g *Registry) NoteStored(r Record) {
	e, ok := g.entries[r.Content]
	if !ok {
		return
	}
	at := e.writeAt
	e.stored, e.writeAt = r.clone(), time.Time{}
	g.scheduleWrite(e, at)
}
