package fanout

import "time"

// ID identifies a gateway's process. A restarted gateway has a new ID.
type ID uint32

// Origin holds what a hub stores about one gateway: its newest report, and when it was last seen.
type Origin[R any] struct {
	ID     ID
	Domain Domain
	// Seq is the sequence number that the gateway has assigned to Report.
	Seq uint64
	// Heard is when a hub last received a report from the gateway, by this process's clock.
	Heard time.Time
	// Contact is when the platform's log store last answered the gateway. HasDetour is set if the gateway has
	// lost its own connection to that store.
	Contact   time.Time
	HasDetour bool
	// IsIdle is set if the report holds no load and no other content that other gateways need.
	IsIdle bool
	// HasStopped is set if this hub or another one has detected that the gateway's process has stopped.
	HasStopped bool
	Report     R
}

// Table holds what a hub has collected: the newest report of each gateway of its domain, and the reports and
// heartbeats that hubs of other domains have sent to it. Its methods must not be called concurrently.
type Table[R any] struct {
	ttl   time.Duration
	merge func(undelivered, next R) R
	rows  map[ID]*row[R]
	// changes are the rows whose reports are to be forwarded, heartbeats the rows for which a hub of another
	// domain has sent a heartbeat that is to be forwarded.
	changes, heartbeats []*row[R]
}

// row holds an entry of a Table and says which lists of the table contain the row.
type row[R any] struct {
	Origin[R]
	isChangePending    bool // the row is in Table.changes
	isHeartbeatPending bool // the row is in Table.heartbeats
}

// NewTable returns an empty table. Refresh drops gateways that have been silent for longer than ttl. merge
// combines a report that was not forwarded yet with the next one of the same gateway.
func NewTable[R any](ttl time.Duration, merge func(undelivered, next R) R) *Table[R] {
	return &Table[R]{ttl: ttl, merge: merge, rows: make(map[ID]*row[R])}
}

// Put stores the report in e. If its sequence number is not larger than that of the stored report, e only
// counts as a heartbeat. If isForwardDue is set, the next call of Changes returns the report, unless both it
// and the stored report are idle.
func (t *Table[R]) Put(e Origin[R], isForwardDue bool) {
	r := t.ensureRow(e)
	r.recordLiveness(e)
	if e.Seq <= r.Seq {
		return
	}
	hasChange := !r.IsIdle || !e.IsIdle
	if r.isChangePending {
		e.Report = t.merge(r.Report, e.Report)
	}
	r.Seq, r.Report, r.IsIdle = e.Seq, e.Report, e.IsIdle
	if isForwardDue && hasChange && !r.isChangePending {
		r.isChangePending = true
		t.changes = append(t.changes, r)
	}
}

// Vouch records a heartbeat of a gateway that a hub of another domain has sent; the next call of Vouched
// returns the entry. A heartbeat of an idle gateway clears its stored report, unless the report has a larger
// sequence number.
func (t *Table[R]) Vouch(e Origin[R]) {
	r := t.ensureRow(e)
	r.recordLiveness(e)
	if !r.isHeartbeatPending {
		r.isHeartbeatPending = true
		t.heartbeats = append(t.heartbeats, r)
	}
	if e.IsIdle && e.Seq >= r.Seq {
		var empty R
		r.Seq, r.IsIdle, r.Report = e.Seq, true, empty
	}
}

// ensureRow returns the row of a gateway and adds it if it is missing. A new row counts as idle until its
// first report.
func (t *Table[R]) ensureRow(e Origin[R]) *row[R] {
	r, ok := t.rows[e.ID]
	if !ok {
		r = &row[R]{Origin: Origin[R]{ID: e.ID, Domain: e.Domain, IsIdle: true}}
		t.rows[e.ID] = r
	}
	return r
}

// recordLiveness copies from e when the gateway was last seen, whether its process has stopped, and the state
// of its connection to the store. It does nothing unless e.Heard is later than that of the row.
func (r *row[R]) recordLiveness(e Origin[R]) {
	if e.Heard.After(r.Heard) {
		r.Heard, r.Contact, r.HasDetour, r.HasStopped = e.Heard, e.Contact, e.HasDetour, e.HasStopped
	}
}

// Stop marks a gateway's process as stopped until a newer report or heartbeat arrives. An unknown id is
// ignored.
func (t *Table[R]) Stop(id ID) {
	if r, ok := t.rows[id]; ok {
		r.HasStopped = true
	}
}

// Len returns the number of gateways in the table.
func (t *Table[R]) Len() int { return len(t.rows) }

// Vouched returns the entries of the gateways for which hubs of other domains have sent heartbeats since the
// last call.
func (t *Table[R]) Vouched() []Origin[R] {
	entries := make([]Origin[R], 0, len(t.heartbeats))
	for _, r := range t.heartbeats {
		r.isHeartbeatPending = false
		entries = append(entries, r.Origin)
	}
	t.heartbeats = t.heartbeats[:0]
	return entries
}

// Changes returns the entries whose reports are to be forwarded and were stored since the last call.
func (t *Table[R]) Changes() []Origin[R] {
	entries := make([]Origin[R], 0, len(t.changes))
	for _, r := range t.changes {
		r.isChangePending = false
		entries = append(entries, r.Origin)
	}
	t.changes = t.changes[:0]
	return entries
}

// Refresh drops the gateways of all domains that have been silent for longer than the table's ttl, and
// returns the entries of the remaining ones of domain d.
func (t *Table[R]) Refresh(now time.Time, d Domain) []Origin[R] {
	entries := make([]Origin[R], 0, len(t.rows))
	for id, r := range t.rows {
		if now.Sub(r.Heard) > t.ttl {
			delete(t.rows, id)
			continue
		}
		if r.Domain == d {
			entries = append(entries, r.Origin)
		}
	}
	return entries
}
