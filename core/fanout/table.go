package fanout

import "time"

// ID identifies a gateway's process. A restarted gateway has a new ID.
type ID uint32

// Entry holds what a hub stores about one gateway: its newest report, and when it was last seen.
type Entry[R any] struct {
	ID     ID
	Domain Domain
	// Seq is the sequence number that the gateway has assigned to Report.
	Seq uint64
	// LastSeen is when a hub last received a report from the gateway, by this process's clock.
	LastSeen time.Time
	// LastStoreContact is when the platform's store last answered the gateway, directly or through a peer.
	// HasLostStore is set if the gateway has lost its direct connection to the store and reaches it through a
	// peer, if at all.
	LastStoreContact time.Time
	HasLostStore     bool
	// IsIdle is set if the report holds no load and no other content that other gateways need.
	IsIdle bool
	// HasStopped is set if this hub or another one has detected that the gateway's process has stopped.
	HasStopped bool
	Report     R
}

// Table holds what a hub has received: the newest report of each gateway of its domain, and the reports and
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
	Entry[R]
	isChangePending    bool // the row is in Table.changes
	isHeartbeatPending bool // the row is in Table.heartbeats
}

// NewTable returns an empty table. PruneAndList drops gateways that have been silent for longer than ttl. merge
// combines a report that was not forwarded yet with the next one of the same gateway.
func NewTable[R any](ttl time.Duration, merge func(undelivered, next R) R) *Table[R] {
	return &Table[R]{ttl: ttl, merge: merge, rows: make(map[ID]*row[R])}
}

// Put stores the report in e, merged with the stored one if that is still to be forwarded. If its sequence
// number is not larger than that of the stored report, Put only records when the gateway was last seen and its
// state. If isForwardDue is set, the next call of TakeChanges returns the report, unless both it
// and the stored report are idle.
func (t *Table[R]) Put(e Entry[R], isForwardDue bool) {
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

// PutHeartbeat records a heartbeat of a gateway that a hub of another domain has sent; the next call of TakeHeartbeats
// returns the entry. A heartbeat of an idle gateway clears its stored report, unless the report has a larger
// sequence number.
func (t *Table[R]) PutHeartbeat(e Entry[R]) {
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
func (t *Table[R]) ensureRow(e Entry[R]) *row[R] {
	r, ok := t.rows[e.ID]
	if !ok {
		r = &row[R]{Entry: Entry[R]{ID: e.ID, Domain: e.Domain, IsIdle: true}}
		t.rows[e.ID] = r
	}
	return r
}

// recordLiveness copies from e when the gateway was last seen, whether its process has stopped, and the state
// of its connection to the store. It does nothing unless e.LastSeen is later than that of the row.
func (r *row[R]) recordLiveness(e Entry[R]) {
	if e.LastSeen.After(r.LastSeen) {
		r.LastSeen, r.LastStoreContact, r.HasLostStore, r.HasStopped = e.LastSeen, e.LastStoreContact, e.HasLostStore, e.HasStopped
	}
}

// MarkStopped marks a gateway's process as stopped until a report or heartbeat with a later LastSeen is stored.
// An unknown id is ignored.
func (t *Table[R]) MarkStopped(id ID) {
	if r, ok := t.rows[id]; ok {
		r.HasStopped = true
	}
}

// Len returns the number of gateways in the table.
func (t *Table[R]) Len() int { return len(t.rows) }

// TakeHeartbeats returns the entries of the gateways for which hubs of other domains have sent heartbeats since the
// last call.
func (t *Table[R]) TakeHeartbeats() []Entry[R] {
	entries := make([]Entry[R], 0, len(t.heartbeats))
	for _, r := range t.heartbeats {
		r.isHeartbeatPending = false
		entries = append(entries, r.Entry)
	}
	t.heartbeats = t.heartbeats[:0]
	return entries
}

// TakeChanges returns the entries whose reports are to be forwarded and were stored since the last call.
func (t *Table[R]) TakeChanges() []Entry[R] {
	entries := make([]Entry[R], 0, len(t.changes))
	for _, r := range t.changes {
		r.isChangePending = false
		entries = append(entries, r.Entry)
	}
	t.changes = t.changes[:0]
	return entries
}

// PruneAndList drops the gateways of all domains that have been silent for longer than the table's ttl, and
// returns the entries of the remaining ones of domain d.
func (t *Table[R]) PruneAndList(now time.Time, d Domain) []Entry[R] {
	entries := make([]Entry[R], 0, len(t.rows))
	for id, r := range t.rows {
		if now.Sub(r.LastSeen) > t.ttl {
			delete(t.rows, id)
			continue
		}
		if r.Domain == d {
			entries = append(entries, r.Entry)
		}
	}
	return entries
}
