package structs

import "arbutusramp/core/errs"

// Writer names one run of one process that appends to a shard's stream.
type Writer struct {
	Host HostID `cbor:"1,keyasint"`
	// Incarnation differs after each start of the process.
	Incarnation int64 `cbor:"2,keyasint"`
}

// Envelope is one append to the stream of a job shard. The pair (Writer, Seq)
// identifies it: an append whose answer was lost is sent again with the same pair,
// and the fold applies only the first copy.
type Envelope struct {
	Writer Writer `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"` // from 1, rising by one for each append of Writer to the shard
	// Epoch under which the writer acts; 0 only for a claim.
	Epoch Epoch `cbor:"3,keyasint,omitempty"`
	// AtMs is the writer's clock (milliseconds since 1970). It orders nothing; it
	// only tells how old records are and when a job ended.
	AtMs    int64       `cbor:"4,keyasint"`
	Records []JobRecord `cbor:"5,keyasint"`
}

// JobRecord is one change of a job shard. Exactly one field is set.
type JobRecord struct {
	Claim   *ShardClaim    `cbor:"1,keyasint,omitempty"`
	Release *ShardRelease  `cbor:"2,keyasint,omitempty"`
	Segment *JobSegment    `cbor:"3,keyasint,omitempty"`
	Accept  *JobAccept     `cbor:"4,keyasint,omitempty"`
	Run     *JobRun        `cbor:"5,keyasint,omitempty"`
	Start   *ItemStart     `cbor:"6,keyasint,omitempty"`
	Reopen  *ItemReopen    `cbor:"7,keyasint,omitempty"`
	Charge  *ItemCharge    `cbor:"8,keyasint,omitempty"`
	Done    *ItemsDone     `cbor:"9,keyasint,omitempty"`
	Packed  *ResultsPacked `cbor:"10,keyasint,omitempty"`
	Cancel  *JobCancel     `cbor:"11,keyasint,omitempty"`
	Forget  *JobForget     `cbor:"12,keyasint,omitempty"`
}

// ShardClaim makes its writer the owner of the shard; its offset is the new epoch.
type ShardClaim struct {
	// Prev is the epoch that the claim replaces. A claim whose Prev is not
	// the current epoch is void, so of two racing claims the first in log order wins.
	Prev Epoch `cbor:"1,keyasint,omitempty"`
	// Addr is the owner's peer listener, IP:port.
	Addr string `cbor:"2,keyasint,omitempty"`
}

// ShardRelease ends its writer's epoch at a planned handover.
type ShardRelease struct {
	// Leases are the items that sides still run, so that the next owner
	// waits for their outcomes before it hands them out again.
	Leases []ItemLease `cbor:"1,keyasint,omitempty"`
}

// ItemLease is one item that a side holds.
type ItemLease struct {
	Job     JobID  `cbor:"1,keyasint"`
	Index   int    `cbor:"2,keyasint,omitempty"`
	Attempt int    `cbor:"3,keyasint,omitempty"`
	Side    HostID `cbor:"4,keyasint"`
	LeftMs  int64  `cbor:"5,keyasint"` // what was left of the lease
}

// JobSegment is a run of consecutive items of a job. It may come before the
// job is accepted, and again later so that it outlives the log's retention.
type JobSegment struct {
	Job   JobID `cbor:"1,keyasint"`
	Seg   int   `cbor:"2,keyasint,omitempty"` // from 0
	Count int   `cbor:"3,keyasint"`
	// Hash is the SHA-256 sum of Blob.
	Hash []byte `cbor:"4,keyasint"`
	// Bad and Once list positions within the segment, rising: lines that
	// can't be run, and items that run at most once.
	Bad  []int `cbor:"5,keyasint,omitempty"`
	Once []int `cbor:"6,keyasint,omitempty"`
	// Blob is the CBOR array of JobItem; the fold never opens it.
	Blob []byte `cbor:"7,keyasint"`
}

// JobItem is one line of a job's file.
type JobItem struct {
	CustomID string `cbor:"1,keyasint,omitempty"`
	Method   string `cbor:"2,keyasint,omitempty"`
	Path     string `cbor:"3,keyasint,omitempty"`
	Body     []byte `cbor:"4,keyasint,omitempty"`
	Once     bool   `cbor:"5,keyasint,omitempty"` // runs at most once
	// Err is set for a bad line: it is the item's result.
	Err *errs.Error `cbor:"6,keyasint,omitempty"`
}

// JobSpec is what a caller says of a job besides its items.
type JobSpec struct {
	Workspace WorkspaceID `cbor:"1,keyasint"`
	Key       string      `cbor:"2,keyasint"` // idempotency key
	Model     ModelID     `cbor:"3,keyasint,omitempty"`
	Service   ServiceID   `cbor:"4,keyasint,omitempty"`
	// DueMs is when the results are needed (milliseconds since 1970), 0 for never.
	DueMs int64 `cbor:"5,keyasint,omitempty"`
}

// JobAccept accepts a job whose segments are all in the log.
type JobAccept struct {
	Job      JobID   `cbor:"1,keyasint"`
	Spec     JobSpec `cbor:"2,keyasint"`
	Segments int     `cbor:"3,keyasint"`
	Count    int     `cbor:"4,keyasint"`
	Hash     []byte  `cbor:"5,keyasint"` // SHA-256 sum over the segments' hashes, model and service
	// Planned jobs wait for an operator's decision.
	Planned bool `cbor:"6,keyasint,omitempty"`
}

// JobRun starts a planned job.
type JobRun struct {
	Job JobID `cbor:"1,keyasint"`
}

// ItemStart claims the one run of items that run at most once.
type ItemStart struct {
	Job     JobID `cbor:"1,keyasint"`
	Indexes []int `cbor:"2,keyasint"`
}

// ItemReopen takes back an ItemStart: the side knows that the items did not run.
type ItemReopen struct {
	Job     JobID `cbor:"1,keyasint"`
	Indexes []int `cbor:"2,keyasint"`
}

// ItemCharge counts a failed attempt of one item.
type ItemCharge struct {
	Job   JobID `cbor:"1,keyasint"`
	Index int   `cbor:"2,keyasint,omitempty"`
	// Crash: the target died under the item and others.
	Crash bool `cbor:"3,keyasint,omitempty"`
}

// ItemsDone gives results of items of one job. The first result of an item in
// log order counts.
type ItemsDone struct {
	Job     JobID `cbor:"1,keyasint"`
	Indexes []int `cbor:"2,keyasint"`
	// Failed lists those of Indexes whose result is an error.
	Failed []int `cbor:"3,keyasint,omitempty"`
	// Blob is the CBOR array of ItemResult in the order of Indexes; the fold never opens it.
	Blob []byte `cbor:"4,keyasint"`
}

// ItemResult is the result of one item.
type ItemResult struct {
	Index  int         `cbor:"1,keyasint,omitempty"`
	Status int         `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	Err    *errs.Error `cbor:"4,keyasint,omitempty"`
	// Attempt is the run that gave the result, from 0.
	Attempt int `cbor:"5,keyasint,omitempty"`
	// CustomID is the caller's name of the item: bodies are not kept once a job has ended.
	CustomID string `cbor:"6,keyasint,omitempty"`
}

// ResultsPacked carries every result that a segment has up to offset Through
// again, so that they outlive the log's retention and are read with few calls. They come in
// Parts records, for an append is bounded in size; only all of them together replace
// what they were made from.
type ResultsPacked struct {
	Job     JobID  `cbor:"1,keyasint"`
	Seg     int    `cbor:"2,keyasint,omitempty"`
	Through Offset `cbor:"3,keyasint"`
	Blob    []byte `cbor:"4,keyasint"`           // CBOR array of ItemResult
	Part    int    `cbor:"5,keyasint,omitempty"` // from 0
	Parts   int    `cbor:"6,keyasint"`
}

// JobCancel cancels a job: items without a result by then get none.
type JobCancel struct {
	Job JobID  `cbor:"1,keyasint"`
	By  string `cbor:"2,keyasint,omitempty"` // "caller" or "operator"
}

// JobForget drops a job whose results are past their promised time, or an
// upload that was never completed.
type JobForget struct {
	Job JobID `cbor:"1,keyasint"`
}

// ShardSnapshot is one part of a snapshot of a shard's fold.
type ShardSnapshot struct {
	// Through is the offset of the last envelope that is folded in.
	Through Offset `cbor:"1,keyasint"`
	Part    int    `cbor:"2,keyasint,omitempty"` // from 0
	Parts   int    `cbor:"3,keyasint"`
	Body    []byte `cbor:"4,keyasint"`
	// Sum is the SHA-256 sum of the whole snapshot.
	Sum []byte `cbor:"5,keyasint"`
}
