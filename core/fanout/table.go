package fanout

import "time"

// ID stands for the name of a gateway's start.
type ID uint32

// Origin is what a hub knows of the gateway that a report comes from.
type Origin[R any] struct {
	ID     ID
	Domain Domain
	// Seq is the number of Report at its origin.
	Seq uint64
	// Heard is when the origin last told a hub something, by this process's clock.
	Heard time.Time
	// Contact is when the platform's store last answered the origin, and HasDetour says that its own way there is lost.
	Contact   time.Time
	HasDetour bool
	// IsIdle says that the report holds nothing that others need to know.
	IsIdle bool
	// HasStopped says that the origin's process is known to have stopped.
	HasStopped bool
	Report     R
}

// Table is what a hub has gathered: the newest report of each gateway of its domain, and what the hubs of the others have told.
type Table[R any] struct {
	ttl   time.Duration
	merge func(undelivered, next R) R
	rows  map[ID]*row[R]
	// changed are the rows whose reports are to be passed on, vouched those of which the hub of another domain has told a sign of life.
	changed, vouched []*row[R]
}

type row[R any] struct {
	Origin[R]
	isChanged bool // it is in Table.changed
	isVouched bool // it is in Table.vouched
}

// NewTable returns an empty table. It drops gateways that have been silent for ttl. merge takes what was not passed on yet of a report
// into the next one of the same origin.
func NewTable[R any](ttl time.Duration, merge func(undelivered, next R) R) *Table[R] {
	return &Table[R]{ttl: ttl, merge: merge, rows: make(map[ID]*row[R])}
}

// Put takes in a report. One that is not newer only counts as a sign of life. isPassedOn has the next Changes return it; a report that only
// repeats that its origin is idle is not passed on.
func (t *Table[R]) Put(o Origin[R], isPassedOn bool) {
	r := t.row(o)
	r.note(o)
	if o.Seq <= r.Seq {
		return
	}
	hasNews := !r.IsIdle || !o.IsIdle
	if r.isChanged {
		o.Report = t.merge(r.Report, o.Report)
	}
	r.Seq, r.Report, r.IsIdle = o.Seq, o.Report, o.IsIdle
	if isPassedOn && hasNews && !r.isChanged {
		r.isChanged = true
		t.changed = append(t.changed, r)
	}
}

// Vouch takes in that the hub of another domain has heard of a gateway.
func (t *Table[R]) Vouch(o Origin[R]) {
	r := t.row(o)
	r.note(o)
	if !r.isVouched {
		r.isVouched = true
		t.vouched = append(t.vouched, r)
	}
	if o.IsIdle && o.Seq >= r.Seq {
		var none R
		r.Seq, r.IsIdle, r.Report = o.Seq, true, none
	}
}

// row returns the row of an origin. Until its first report it counts as idle.
func (t *Table[R]) row(o Origin[R]) *row[R] {
	r, ok := t.rows[o.ID]
	if !ok {
		r = &row[R]{Origin: Origin[R]{ID: o.ID, Domain: o.Domain, IsIdle: true}}
		t.rows[o.ID] = r
	}
	return r
}

// note takes in a sign of life.
func (r *row[R]) note(o Origin[R]) {
	if o.Heard.After(r.Heard) {
		r.Heard, r.Contact, r.HasDetour, r.HasStopped = o.Heard, o.Contact, o.HasDetour, o.HasStopped
	}
}

// Stop notes that a gateway's process has stopped.
func (t *Table[R]) Stop(id ID) {
	if r, ok := t.rows[id]; ok {
		r.HasStopped = true
	}
}

// Len is the number of gateways in the table.
func (t *Table[R]) Len() int { return len(t.rows) }

// Vouched returns the gateways for which the hubs of other domains have vouched since the last call.
func (t *Table[R]) Vouched() []Origin[R] {
	list := make([]Origin[R], 0, len(t.vouched))
	for _, r := range t.vouched {
		r.isVouched = false
		list = append(list, r.Origin)
	}
	t.vouched = t.vouched[:0]
	return list
}

// Changes returns the reports to be passed on that came since the last call.
func (t *Table[R]) Changes() []Origin[R] {
	list := make([]Origin[R], 0, len(t.changed))
	for _, r := range t.changed {
		r.isChanged = false
		list = append(list, r.Origin)
	}
	t.changed = t.changed[:0]
	return list
}

// Refresh returns what is known of the gateways of a domain that live, and drops all that are silent.
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
