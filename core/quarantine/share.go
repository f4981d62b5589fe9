package quarantine

import "time"

// announce has an entry told to peers and written to the store at once.
func (g *Registry) announce(now time.Time, e *entry) {
	e.tellAt, e.tellPause, e.announced = now, firstTellPause, e.Seen
	g.nextTell = time.Time{}
	g.scheduleWrite(e, now)
}

func (g *Registry) scheduleWrite(e *entry, at time.Time) {
	if e.stored.covers(e.Record, g.renewAfter()) {
		e.writeAt = time.Time{}
		return
	}
	if e.writeAt.IsZero() || at.Before(e.writeAt) {
		e.writeAt = at
	}
}

// ToTell returns up to n records that peers should be told now, those of quarantined contents first.
func (g *Registry) ToTell(now time.Time, n int) []Record {
	if now.Before(g.nextTell) {
		return nil
	}
	var list []Record
	for _, quarantined := range []bool{true, false} {
		for _, e := range g.entries {
			if len(list) == n {
				return list
			}
			if g.isQuarantined(e) != quarantined || e.tellAt.IsZero() || now.Before(e.tellAt) {
				continue
			}
			e.tellAt = now.Add(e.tellPause)
			e.tellPause = min(lastTellPause, tellGrowth*e.tellPause)
			list = append(list, e.Record.clone())
		}
	}
	g.nextTell = g.firstTell(now)
	return list
}

// firstTell is when the first entry has to be told after now.
func (g *Registry) firstTell(now time.Time) time.Time {
	first := now.Add(lastTellPause)
	for _, e := range g.entries {
		if !e.tellAt.IsZero() && e.tellAt.Before(first) {
			first = e.tellAt
		}
	}
	return first
}

// TellAgain has the records of quarantined contents told again: a peer has started.
func (g *Registry) TellAgain(now time.Time) {
	for _, e := range g.entries {
		if g.isQuarantined(e) {
			e.tellAt, e.tellPause = now, firstTellPause
		}
	}
	g.nextTell = time.Time{}
}

// ToStore returns up to n records that the store should get now, and when the next one is due; zero if none is.
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
