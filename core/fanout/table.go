package fanout

import "time"

// ID identifies one start of a gateway's process; it is a short form of the gateway's name.
type ID uint32

// Origin is what a hub holds about the gateway that a report comes from.
type Origin[R any] struct {
	ID     ID
	Domain Domain
	// Seq is the sequence number of Report at its origin.
	Seq uint64
	// Heard is when a hub last received something from the origin, by this process's clock.
	Heard time.Time
	// Contact is when the platform's store last answered the origin. HasDetour is set if the origin has lost
	// its own connection to the store.
	Contact   time.Time
	HasDetour bool
	// IsIdle is set if the report holds nothing that other gateways need.
	IsIdle bool
	// HasStopped is set if the origin's process is known to have stopped.
	HasStopped bool
	Report     R
}

// Table holds what a hub has collected: the newest report of each gateway of its domain, and what the hubs of
// the other domains have sent.
type Table[R any] struct {
	ttl   time.Duration
	merge func(undelivered, next R) R
	rows  map[ID]*row[R]
	// changes are the rows whose reports are to be forwarded, heartbeats the rows for which the hub of
	// another domain has sent a heartbeat.
	changes, heartbeats []*row[R]
}

type row[R any] struct {
	Origin[R]
	isChangePending    bool // the row is in Table.changes
	isHeartbeatPending bool // the row is in Table.heartbeats
}

// NewTable returns an empty table. Refresh drops gateways that have been silent for longer than ttl. merge
// combines a report that was not forwarded yet with the next one of the same origin.
func NewTable[R any](ttl time.Duration, merge func(undelivered, next R) R) *Table[R] {
	return &Table[R]{ttl: ttl, merge: merge, rows: make(map[ID]*row[R])}
}

// Put stores a report. One that is not newer than the stored report only counts as a heartbeat. isForwarded
// makes the next call of Changes return the report; a report that only repeats that its origin is idle is not
// forwarded.
func (t *Table[R]) Put(o Origin[R], isForwarded bool) {
	r := t.ensureRow(o)
	r.recordLiveness(o)
	if o.Seq <= r.Seq {
		return
	}
	hasChange := !r.IsIdle || !o.IsIdle
	if r.isChangePending {
		o.Report = t.merge(r.Report, o.Report)
	}
	r.Seq, r.Report, r.IsIdle = o.Seq, o.Report, o.IsIdle
	if isForwarded && hasChange && !r.isChangePending {
		r.isChangePending = true
		t.changes = append(t.changes, r)
	}
}

// Vouch records a heartbeat of a gateway that the hub of another domain has sent.
func (t *Table[R]) Vouch(o Origin[R]) {
	r := t.ensureRow(o)
	r.recordLiveness(o)
	if !r.isHeartbeatPending {
		r.isHeartbeatPending = true
		t.heartbeats = append(t.heartbeats, r)
	}
	if o.IsIdle && o.Seq >= r.Seq {
		var empty R
		r.Seq, r.IsIdle, r.Report = o.Seq, true, empty
	}
}

// ensureRow returns the row of an origin and adds it if it is missing. A new row counts as idle until its
// first report.
func (t *Table[R]) ensureRow(o Origin[R]) *row[R] {
	r, ok := t.rows[o.ID]
	if !ok {
		r = &row[R]{Origin: Origin[R]{ID: o.ID, Domain: o.Domain, IsIdle: true}}
		t.rows[o.ID] = r
	}
	return r
}

// recordLiveness updates the fields that say when the origin was last seen, unless o is older.
func (r *row[R]) recordLiveness(o Origin[R]) {
	if o.Heard.After(r.Heard) {
		r.Heard, r.Contact, r.HasDetour, r.HasStopped = o.Heard, o.Contact, o.HasDetour, o.HasStopped
	}
}

// Stop marks a gateway's process as stopped.
func (t *Table[R]) Stop(id ID) {
	if r, ok := t.rows[id]; ok {
		r.HasStopped = true
	}
}

// Len returns the number of gateways in the table.
func (t *Table[R]) Len() int { return len(t.rows) }

// Vouched returns the gateways for which hubs of other domains have sent heartbeats since the last call.
func (t *Table[R]) Vouched() []Origin[R] {
	list := make([]Origin[R], 0, len(t.heartbeats))
	for _, r := range t.heartbeats {
		r.isHeartbeatPending = false
		list = append(list, r.Origin)
	}
	t.heartbeats = t.heartbeats[:0]
	return list
}

// Changes returns the reports to be forwarded that were stored since the last call.
func (t *Table[R]) Changes() []Origin[R] {
	list := make([]Origin[R], 0, len(t.changes))
	for _, r := range t.changes {
		r.isChangePending = false
		list = append(list, r.Origin)
	}
	t.changes = t.changes[:0]
	return list
}

// Refresh returns the entries of the live gateways of one domain, and drops all silent gateways from the
// table.
func (t *Table[R]) Refresh(now time.Time, d Domain) []Origin[R] {
	list := make([]Origin[R], 0, len(t.rows))
	for id, r := range t.rows {
		if now.Sub(r.Heard) > t.ttl {
			delete(t.rows, id)
			continue
		}
		if r.Domain == d {
			list = append(list, r.Origin)
		}
	}
	return list
}
