package platform

import (
	"context"
	"io"
	"net/http"
	"time"

	"arbutusramp/core/serving"
)

// TargetCaller sends requests to targets.
type TargetCaller interface {
	// Send returns a target's answer once its header has arrived. Cancelling ctx cancels the
	// request at the target. Error: errs.BadRequest if its URI can't be sent, else errs.TargetFailed, with RanNo exactly
	// if no byte of the request was written to a connection; none is written later.
	Send(ctx context.Context, c TargetCall) (*TargetAnswer, error)
}

// TargetProber tells whether the start of a target's process that is on the list still runs.
type TargetProber interface {
	// Probe asks a target for its start. It returns within half a second.
	Probe(ctx context.Context, t serving.Target) ProbeResult
}

// ProbeResult is what a probe shows of one start of a process.
type ProbeResult uint8

const (
	// ProbeUnknown shows nothing: the process may be cut off, or something else accepts connections in its place.
	ProbeUnknown ProbeResult = iota
	// ProbeAlive shows that the start still runs.
	ProbeAlive
	// ProbeGone shows that it does not: nothing listens at its address, or another start answers there.
	ProbeGone
)

// TargetCall is one request to one target.
type TargetCall struct {
	Target  serving.Target
	Request *serving.Request
	// TimeLeft is how long the target may work on it; 0 tells it no limit.
	TimeLeft time.Duration
	// ResumeAfter is the id of the last event that is already there; empty from the start.
	ResumeAfter string
	// Once says that the request must not be sent twice: it is written to one connection at most, even if that ends
	// without an answer. A connection that fails before the first byte was written to it does not count.
	Once bool
	// Record, if it is not nil, is filled in before Send returns.
	Record *SendRecord
}

// SendRecord describes one send of a request and what shows whether the target has begun with it.
type SendRecord struct {
	// Writes is the number of connections to which any byte of the request was written.
	Writes int
	// IsReused says that the last of these connections had carried another request before.
	IsReused bool
	// LocalAddr is this process's address on the last of these connections; empty without one.
	LocalAddr string
	// Status is the status of the answer, 0 without one.
	Status int
	// AnswerID is the request id in the answer; empty if there is none.
	AnswerID string
	// Evidence is what shows that the target has not begun with the request.
	Evidence Evidence
}

// Evidence is what shows that a target has not begun with a request.
type Evidence uint8

const (
	// EvidenceNone shows nothing: the request may have run.
	EvidenceNone Evidence = iota
	// EvidenceNotWritten says that no byte of the request was written to a connection.
	EvidenceNotWritten
	// EvidenceRejection is a rejection with the id of the request.
	EvidenceRejection
	// EvidenceFirstRejection is a rejection without an id that is the first answer on its connection.
	EvidenceFirstRejection
)

// String returns the evidence as it is logged.
func (e Evidence) String() string {
	return [...]string{"none", "nothing written", "rejection with the id of the request", "rejection without an id, first answer on its connection"}[e]
}

// TargetAnswer is the answer of a target. Body must be closed.
type TargetAnswer struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes, -1 when not known
	Body   io.ReadCloser
	// IsUnframed says that the body has neither a length nor chunks: only the end of its connection ends it.
	IsUnframed bool
	// NotRun says that the target has not begun with the request, and why that is known is in SendRecord.Evidence. It is set
	// only for a rejection (status 421, or 4xx or 503 with the header that says so, once) that carries the id of the request
	// and no other, or no id and is the first answer on its connection, and only if the request was written to no other
	// connection.
	NotRun bool
	// OtherInstance says that another target has taken over the address. It is set only with NotRun.
	OtherInstance bool
	// Foreign says that the answer shows nothing of this request, which may have run, and must not be passed on. It
	// carries another id, several or none, or it is a rejection that does not meet the conditions of NotRun.
	// OtherInstance is not set then, and Pace is 0.
	Foreign bool
	// Pace is how long work takes at the target at this moment, in percent of its usual duration; 0 if the target
	// does not report it.
	Pace int
}

// CallerAnswer is where an answer to a caller is written.
type CallerAnswer interface {
	// Begin sends a status and headers of a target.
	Begin(status int, header http.Header, length int64)
	// Write sends a part of the body at once.
	Write(p []byte) error
	// Abort breaks off an answer that has begun, so that it can't be taken for a whole one.
	Abort()
	// Fail sends an answer of the system's own. Only before Begin.
	Fail(err error)
}
