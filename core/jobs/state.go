package jobs

import (
	"time"

	"arbutusramp/core/invariant"
	"arbutusramp/core/structs"
)

// Status is the state of a job as a caller sees it.
type Status string

// The states of a job, in the order of its life.
const (
	// StatusUploading jobs have segments in the log but are not accepted.
	StatusUploading Status = "uploading"
	// StatusPlanned jobs are accepted and wait for an operator.
	StatusPlanned Status = "planned"
	// StatusRunning jobs are worked on.
	StatusRunning Status = "running"
	// StatusCompleted jobs have a result for every item.
	StatusCompleted Status = "completed"
	// StatusCancelled jobs were cancelled before every item had a result.
	StatusCancelled Status = "cancelled"
)

// Broken switches guards off, so that a test can show that the invariants notice.
type Broken struct {
	// IgnoreEpochs applies records of any epoch.
	IgnoreEpochs bool
	// IgnoreIdentities applies second copies of appends and of results.
	IgnoreIdentities bool
}

// State is the fold of one shard's stream. It is not safe for concurrent use.
type State struct {
	// Through is the offset of the last envelope folded.
	Through structs.Offset
	// Epoch and Owner are those of the last valid claim; Epoch is 0 before the first.
	Epoch structs.Epoch
	Owner structs.Writer
	// OwnerAddr is the peer listener of Owner.
	OwnerAddr string
	// Released says that Owner has handed the shard over.
	Released bool
	// Leases are what Owner left behind when it released the shard.
	Leases []structs.ItemLease
	// LastSeq is the Seq of Owner's last envelope.
	LastSeq uint64
	Jobs    map[structs.JobID]*Job
	// MarkEvery is how finely the age of records is known; it is no part of the fold.
	MarkEvery time.Duration

	marks  marks
	check  *invariant.Checker
	broken Broken
}

// Job is one job of a shard.
type Job struct {
	ID       structs.JobID
	Spec     structs.JobSpec
	Hash     []byte
	Accepted bool
	Planned  bool
	// Cancelled says that no item starts any more.
	Cancelled bool
	CancelBy  string
	// Count, Finished and Failed number the items, those with a result, and
	// those of the latter whose result is an error.
	Count, Finished, Failed int
	Segments                []Segment
	// TouchedMs is the owner's clock at the first record, AcceptedMs at the accept, EndedMs at
	// the end (milliseconds since 1970); 0 before.
	TouchedMs, AcceptedMs, EndedMs int64

	trouble map[int]Trouble
}

// Segment is a run of consecutive items of a job. A zero Offset means that it
// is not in the log yet.
type Segment struct {
	Offset structs.Offset // where its bodies are
	First  int32          // index of its first item; known once the job is accepted
	Count  int32
	Done   int32
	Failed int32

	// packed is the offset of the first part of the newest ResultsPacked. Its results count
	// before those at refs.
	packed structs.Offset
	refs   refs
	// more is set for the few segments whose packed results have several parts.
	more *morePacked
	// open is dropped when every item has a result: a finished segment costs
	// under a byte an item.
	open *openSegment
}

// morePacked are the further parts of packed results.
type morePacked struct {
	// Rest are the offsets of the parts after the first.
	Rest []structs.Offset `cbor:"1,keyasint,omitempty"`
	// Coming are the offsets of the parts seen so far of newer packed results that go up to Through.
	Coming  []structs.Offset `cbor:"2,keyasint,omitempty"`
	Through structs.Offset   `cbor:"3,keyasint,omitempty"`
}

// openSegment is what only a segment with open items needs.
type openSegment struct {
	Hash    []byte `cbor:"1,keyasint,omitempty"`
	Done    bitset `cbor:"2,keyasint,omitempty"`
	Once    bitset `cbor:"3,keyasint,omitempty"`
	Started bitset `cbor:"4,keyasint,omitempty"`
}

// Trouble counts the failed attempts of one item that has no result yet.
type Trouble struct {
	Charges int `cbor:"1,keyasint,omitempty"`
	Crashes int `cbor:"2,keyasint,omitempty"`
}

// NewState returns the fold of an empty stream. check, which may be nil, counts violations.
func NewState(check *invariant.Checker, broken Broken) *State {
	return &State{
		Jobs:      make(map[structs.JobID]*Job),
		MarkEvery: DefaultMarkEvery,
		check:     check,
		broken:    broken,
	}
}

// Status returns the job's state.
func (j *Job) Status() Status {
	switch {
	case !j.Accepted:
		return StatusUploading
	case j.Finished == j.Count:
		return StatusCompleted
	case j.Cancelled:
		return StatusCancelled
	case j.Planned:
		return StatusPlanned
	}
	return StatusRunning
}

// Runnable says that the job has items to hand out.
func (j *Job) Runnable() bool { return j.Status() == StatusRunning }

// Ended says that the job gets no further results.
func (j *Job) Ended() bool {
	s := j.Status()
	return s == StatusCompleted || s == StatusCancelled
}

// Trouble returns the failed attempts of item index.
func (j *Job) Trouble(index int) Trouble { return j.trouble[index] }

// Locate returns the segment of item index and its position there; ok is false
// when the job has no such item.
func (j *Job) Locate(index int) (seg, pos int, ok bool) {
	if index < 0 || index >= j.Count {
		return 0, 0, false
	}
	lo, hi := 0, len(j.Segments)
	for hi-lo > 1 {
		mid := (lo + hi) / 2
		if int(j.Segments[mid].First) <= index {
			lo = mid
		} else {
			hi = mid
		}
	}
	return lo, index - int(j.Segments[lo].First), true
}

// Open says that item index has no result and can still get one.
func (j *Job) Open(index int) bool {
	seg, pos, ok := j.Locate(index)
	if !ok || !j.Accepted || j.Cancelled {
		return false
	}
	return !j.Segments[seg].HasResult(pos)
}

// Once says that item index runs at most once.
func (j *Job) Once(index int) bool {
	seg, pos, ok := j.Locate(index)
	if !ok {
		return false
	}
	open := j.Segments[seg].open
	return open != nil && open.Once.has(pos)
}

// Started says that the one run of item index was claimed.
func (j *Job) Started(index int) bool {
	seg, pos, ok := j.Locate(index)
	if !ok {
		return false
	}
	open := j.Segments[seg].open
	return open != nil && open.Started.has(pos)
}

// StartedOpen returns the items whose one run was claimed and that have no result.
func (j *Job) StartedOpen() []int {
	var out []int
	for s := range j.Segments {
		seg := &j.Segments[s]
		if seg.open == nil || seg.open.Started == nil {
			continue
		}
		for pos := range int(seg.Count) {
			if seg.open.Started.has(pos) && !seg.HasResult(pos) {
				out = append(out, int(seg.First)+pos)
			}
		}
	}
	return out
}

// HasResult says that the item at position pos has a result.
func (s *Segment) HasResult(pos int) bool {
	return s.open == nil || s.open.Done.has(pos)
}

// Hash returns the hash of the segment's blob while it has open items, nil after.
func (s *Segment) Hash() []byte {
	if s.open == nil {
		return nil
	}
	return s.open.Hash
}

// ResultOffsets returns where results of the segment stand, in the order in which the first
// result of an item counts.
func (s *Segment) ResultOffsets() []structs.Offset {
	var out []structs.Offset
	if s.packed != 0 {
		out = append(out, s.packed)
	}
	if s.more != nil {
		out = append(out, s.more.Rest...)
	}
	return append(out, s.refs.list()...)
}

// OldestResult returns the lowest offset at which a result stands, 0 if there is none.
func (s *Segment) OldestResult() structs.Offset {
	oldest := s.packed
	if first := s.refs.first(); first != 0 && (oldest == 0 || first < oldest) {
		oldest = first
	}
	return oldest
}

// Refs returns at how many offsets the segment's results stand.
func (s *Segment) Refs() int { return len(s.ResultOffsets()) }
