// Package backlog defines the records in which batch jobs, their results and their progress are stored, and
// builds the state of all jobs from them. Each gateway uses it to derive the state from the records that it has
// read; gateways that have read the same records have the same state. The package also computes the order in
// which items start. It does no I/O.
package backlog

import (
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/serving"
)

// Job is an accepted batch job: a list of requests that run in the background.
type Job struct {
	ID          string        `cbor:"1,keyasint"`           // of a stored job: as returned by ScopedID
	Route       string        `cbor:"2,keyasint"`           // name of the route on which the job was submitted
	Host        string        `cbor:"3,keyasint"`           // host name of the submission; selects the items' route
	SubmittedMs int64         `cbor:"4,keyasint"`           // milliseconds since 1970, by the accepting process's clock
	DueWithin   time.Duration `cbor:"5,keyasint"`           // time after SubmittedMs within which the items should be finished
	RetainFor   time.Duration `cbor:"6,keyasint"`           // time after SubmittedMs during which no item is given up; read by earlier software versions only
	MaxAttempts int           `cbor:"7,keyasint"`           // failed runs after which an item gets the outcome Errored
	Items       []Item        `cbor:"8,keyasint"`           // the requests of the job
	Rank        int           `cbor:"9,keyasint,omitempty"` // urgency of the job among all jobs; 0 is the most urgent
	// Workspace is the workspace that submitted the job; empty if the cluster requires no API keys.
	Workspace string `cbor:"10,keyasint,omitempty"`
}

// Item is one request of a job. URI, Header and Body are sent to the target as they are.
type Item struct {
	ID     string              `cbor:"1,keyasint"` // unique within the job
	URI    string              `cbor:"2,keyasint"` // path and query
	Header map[string][]string `cbor:"3,keyasint"`
	Body   []byte              `cbor:"4,keyasint"`
	Tokens int64               `cbor:"5,keyasint"` // prompt tokens plus the maximum number of output tokens
	// Size is what the submitter states of the size of the request.
	Size costmodel.Size `cbor:"6,keyasint,omitzero"`
	// Prompt is what the submitter states of the prompt.
	Prompt serving.Prompt `cbor:"7,keyasint,omitzero"`
}

const (
	// itemBytes is what an item takes in memory beside its strings and its body, in bytes, headerBytes what each of its headers
	// does.
	itemBytes   = 512
	headerBytes = 128
)

// Bytes returns about how much memory the job takes in each process that keeps it, in bytes.
func (j *Job) Bytes() int64 {
	sum := int64(len(j.Items)) * itemBytes
	for i := range j.Items {
		item := &j.Items[i]
		sum += int64(len(item.ID) + len(item.URI) + len(item.Body))
		for name, values := range item.Header {
			sum += headerBytes + int64(len(name))
			for _, value := range values {
				sum += int64(len(value))
			}
		}
	}
	return sum
}

// Tokens returns the sum of the tokens of the job's items.
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
	// Complete is the outcome of an item whose whole output has been received.
	Complete Outcome = "complete"
	// Errored is the outcome of an item that was given up. Its text is empty.
	Errored Outcome = "errored"
)

// Result is the final result of an item, at its position in the job's list of results.
type Result struct {
	Job      string  `cbor:"1,keyasint"`           // id of the job
	Position int     `cbor:"2,keyasint"`           // in the job's list of results, from 0
	Item     string  `cbor:"3,keyasint"`           // id of the item
	Outcome  Outcome `cbor:"4,keyasint"`           // Complete or Errored
	Text     string  `cbor:"5,keyasint,omitempty"` // output of the item; empty if it is stored separately
	// Index is the item's index in its job. Job, Index and TextChecksum identify a separately stored text.
	Index int `cbor:"6,keyasint,omitempty"`
	// TextSize is the length in bytes of a separately stored text; 0 if Text holds the text.
	TextSize int `cbor:"7,keyasint,omitempty"`
	// TextChecksum is the checksum of a separately stored text.
	TextChecksum uint64 `cbor:"8,keyasint,omitempty"`
	// TextOffset is the offset in its partition at which a separately stored text was written. As long as the store
	// keeps the history of the partition, the text is read from there without a search by key.
	TextOffset uint64 `cbor:"9,keyasint,omitempty"`
}

// Progress holds the events, the number of failures and the outcome of an item without a stored result. The
// process that owns the item's shard stores it, so that the next owner can resume the item.
type Progress struct {
	Job         string `cbor:"1,keyasint"` // id of the job
	Item        string `cbor:"2,keyasint"` // id of the item
	LastEventID string `cbor:"3,keyasint"` // id of the last event in Text
	Text        string `cbor:"4,keyasint"` // data of the events so far, joined by newlines
	// Failures is the number of runs that a target has answered with a failure. Without it each new owner
	// would allow all attempts again, and an item that always fails would be given up only if its owner stays
	// the same.
	Failures int `cbor:"5,keyasint,omitempty"`
	// Outcome is the outcome of an item whose owner could not write the result any more; empty for an
	// unfinished item. Without it the next owner would have a target resume an output that is already complete.
	Outcome Outcome `cbor:"6,keyasint,omitempty"`
	// Service and Version are those of the target that sent the first event of Text: only targets of the same service and
	// software version can go on with it. Service is empty if they are not known.
	Service string `cbor:"7,keyasint,omitempty"`
	Version string `cbor:"8,keyasint,omitempty"`
	// TextChecksum is the checksum of Text, set by EncodeProgress; 0 if Text is empty or an earlier software version has
	// written the progress.
	TextChecksum uint64 `cbor:"9,keyasint,omitempty"`
}

// HasStarted reports whether a run of the item has produced an event, a failure or an outcome.
func (p Progress) HasStarted() bool { return p.LastEventID != "" || p.Failures > 0 || p.Outcome != "" }

// Merge merges other progress of the same item, which was written later, into p. It keeps the longer text, because all
// targets of a version produce the same events for an item, the larger number of failures, and the outcome if either
// has one. Of texts of two versions it keeps the later one: the item was begun again because the other version could
// not go on. The text of a complete item is its whole output, which no other text replaces, however long it is.
func (p *Progress) Merge(o Progress) {
	isLater := o.Text != "" && (len(o.Text) > len(p.Text) || o.Service != p.Service || o.Version != p.Version)
	if p.Outcome != Complete && (isLater || p.Outcome == "" && o.Outcome == Complete) {
		p.LastEventID, p.Text = o.LastEventID, o.Text
		p.Service, p.Version = o.Service, o.Version
	}
	p.Failures = max(p.Failures, o.Failures)
	if p.Outcome == "" {
		p.Outcome = o.Outcome
	}
}

// ResultPage is a part of a job's list of results.
type ResultPage struct {
	Total   int      // number of items of the job; 0 for an unknown job
	Results []Result // in the order of their positions
	Next    int      // position after the last result of the page
}
