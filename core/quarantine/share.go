package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// scheduleAnnouncement schedules the record of an entry to be sent to peers and written to the store at once.
func (reg *Registry) scheduleAnnouncement(now time.Time, e *entry) {
	e.sendAt, e.sendInterval, e.announcedLastSeen, e.isPassPending = now, minSendInterval, e.LastSeen, false
	reg.nextSendAt = time.Time{}
	reg.scheduleWrite(e, now)
}

// scheduleWrite schedules the record of an entry to be written to the store at the time at, or leaves it scheduled
// for an earlier time. If the store already holds all information of the record, no write is scheduled.
func (reg *Registry) scheduleWrite(e *entry, at time.Time) {
	if e.stored.covers(e.Record, reg.renewInterval()) {
		e.writeAt = time.Time{}
		return
	}
	if e.writeAt.IsZero() || at.Before(e.writeAt) {
		e.writeAt = at
	}
}

// DueForPeers returns up to n records that are due to be sent to peers, and schedules the next time that each is sent.
// The quarantined ones come first, then those with several crashes: most of those with one crash belong to requests
// that a target was running beside the one that has crashed it.
func (reg *Registry) DueForPeers(now time.Time, n int) []Record {
	if now.Before(reg.nextSendAt) {
		return nil
	}
	type dueEntry struct {
		*entry
		priority int
	}
	var due []dueEntry
	for _, e := range reg.entries {
		if !e.sendAt.IsZero() && !now.Before(e.sendAt) {
			due = append(due, dueEntry{e, reg.sendPriority(e)})
		}
	}
	slices.SortFunc(due, func(a, b dueEntry) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.sendAt.Compare(b.sendAt), slices.Compare(a.Content[:], b.Content[:]))
	})
	list := make([]Record, 0, min(n, len(due)))
	for _, e := range due[:min(n, len(due))] {
		e.sendAt, e.isPassPending = now.Add(e.sendInterval), false
		e.sendInterval = min(maxSendInterval, sendIntervalGrowth*e.sendInterval)
		list = append(list, e.Record.clone())
	}
	if len(list) == n {
		return list // more may be due
	}
	reg.nextSendAt = reg.earliestSend(now)
	return list
}

// sendPriority returns the place of an entry in the order in which records are sent to peers; 0 is the first.
func (reg *Registry) sendPriority(e *entry) int {
	switch {
	case reg.isQuarantined(e):
		return 0
	case len(e.Crashes) > 1:
		return 1
	}
	return 2
}

// earliestSend returns when the next record is due to be sent to peers, or maxSendInterval after now if that
// is earlier.
func (reg *Registry) earliestSend(now time.Time) time.Time {
	earliest := now.Add(maxSendInterval)
	for _, e := range reg.entries {
		if !e.sendAt.IsZero() && e.sendAt.Before(earliest) {
			earliest = e.sendAt
		}
	}
	return earliest
}

// ResendQuarantined schedules all quarantined records to be sent to peers at once. It is meant for the time when a
// peer has just started and has none of them.
func (reg *Registry) ResendQuarantined(now time.Time) {
	for _, e := range reg.entries {
		if reg.isQuarantined(e) {
			e.sendAt, e.sendInterval = now, minSendInterval
		}
	}
	reg.nextSendAt = time.Time{}
}

// DueForStore returns up to n records that are due to be written to the store, and when the next of the other
// records is due; next is zero if none is scheduled.
func (reg *Registry) DueForStore(now time.Time, n int) (due []Record, next time.Time) {
	for _, e := range reg.entries {
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

// NoteStored notes that a record that DueForStore has returned was written to the store. If the record has gained
// information since, it stays due.
func (reg *Registry) NoteStored(r Record) {
	e, ok := reg.entries[r.Content]
	if !ok {
		return
	}
	at := e.writeAt
	e.stored, e.writeAt = r.clone(), time.Time{}
	reg.scheduleWrite(e, at)
}
