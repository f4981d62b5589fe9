// Package backlog builds the state of batch jobs from the records in the platform's store: which jobs are
// accepted, which items have which result at which position, and which jobs are cancelled. The state is
// deterministic, and applying a record again has no effect, so processes that have read the same records have
// the same state. The package does no I/O.
package backlog

import (
	"time"
)

// Job is an accepted batch job.
type Job struct {
	ID        string        `cbor:"1,keyasint"`
	Route     string        `cbor:"2,keyasint"` // name of the route on which it was submitted
	Host      string        `cbor:"3,keyasint"`
	Submitted int64         `cbor:"4,keyasint"` // milliseconds since 1970, by the accepting process's clock
	Due       time.Duration `cbor:"5,keyasint"`
	Retain    time.Duration `cbor:"6,keyasint"`
	Attempts  int           `cbor:"7,keyasint"` // failed runs after which an item gets the outcome Errored
	Items     []Item        `cbor:"8,keyasint"`
	Rank      int           `cbor:"9,keyasint,omitempty"` // see serving.Caller.RankOn
	// Workspace is the workspace that submitted the job; empty where requests need no keys.
	Workspace string `cbor:"10,keyasint,omitempty"`
}

// Item is one request of a job.
type Item struct {
	ID     string              `cbor:"1,keyasint"`
	URI    string              `cbor:"2,keyasint"`
	Header map[string][]string `cbor:"3,keyasint"`
	Body   []byte              `cbor:"4,keyasint"`
	Tokens int64               `cbor:"5,keyasint"` // prompt tokens plus the maximum output
}

// Tokens returns the sum over the job's items.
func (j *Job) Tokens() int64 {
	var sum int64
	for i := range j.Items {
		sum += j.Items[i].Tokens
	}
	return sum
}

// Outcome is the final state of an item.
type Outcome string

const (
	// Complete items have their whole output.
	Complete Outcome = "complete"
	// Errored items were given up.
	Errored Outcome = "errored"
)

// Result is the final result of an item, at its position in the job's list of results.
type Result struct {
	Job      string  `cbor:"1,keyasint"`
	Position int     `cbor:"2,keyasint"`
	Item     string  `cbor:"3,keyasint"`
	Outcome  Outcome `cbor:"4,keyasint"`
	Text     string  `cbor:"5,keyasint,omitempty"` // empty if it is stored separately
	// Index is the item's index in its job; with Sum it identifies a separately stored text.
	Index int `cbor:"6,keyasint,omitempty"`
	// Size is the length in bytes of a separately stored text; 0 if Text holds the text.
	Size int    `cbor:"7,keyasint,omitempty"`
	Sum  uint64 `cbor:"8,keyasint,omitempty"`
	// TextAt is the offset at which a separately stored text was written. While the store keeps its history,
	// the text can be read there without a search.
	TextAt uint64 `cbor:"9,keyasint,omitempty"`
}

// Progress is the state of an unfinished item that its owner stores for the next owner.
type Progress struct {
	Job    string `cbor:"1,keyasint"`
	Item   string `cbor:"2,keyasint"`
	LastID string `cbor:"3,keyasint"` // id of the last event in Text
	Text   string `cbor:"4,keyasint"`
	// Failures is the number of runs that a target has answered with a failure. Without it each new owner
	// would allow all attempts again, and an item that always fails would end only if its owner stays the
	// same.
	Failures int `cbor:"5,keyasint,omitempty"`
	// Outcome is the item's outcome if its owner could not write the result any more; empty while the item is
	// unfinished. Without it the next owner would have a target resume an output that is already complete.
	Outcome Outcome `cbor:"6,keyasint,omitempty"`
}

// Begun reports whether there is anything to resume from.
func (p Progress) Begun() bool { return p.LastID != "" || p.Failures > 0 || p.Outcome != "" }

// Merge merges another record of the same item: the longest text, since events are the same from every
// target, the most failures, and an outcome if there is one.
func (p *Progress) Merge(o Progress) {
	if len(o.Text) > len(p.Text) {
		p.LastID, p.Text = o.LastID, o.Text
	}
	p.Failures = max(p.Failures, o.Failures)
	if p.Outcome == "" {
		p.Outcome = o.Outcome
	}
}

// Page is a part of a job's results.
type Page struct {
	Total   int // number of items of the job
	Results []Result
	Next    int // position after the last result of the page
}
