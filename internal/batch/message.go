package batch

import (
	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// Op names one call between entries.
type Op string

// The calls between entries. All can be repeated without harm.
const (
	// OpProbe asks whether the entry is there and what it owns.
	OpProbe Op = "probe"
	// OpHandover asks the owner to release a shard to Host.
	OpHandover Op = "handover"
	// OpOffer tells a candidate that its owner is about to release a shard.
	OpOffer Op = "offer"
	// OpDone passes on outcomes.
	OpDone Op = "done"
	// OpBegin asks what is known of a job before its upload.
	OpBegin Op = "begin"
	// OpSegment adds a segment of an upload.
	OpSegment Op = "segment"
	// OpCommit accepts an uploaded job.
	OpCommit Op = "commit"
	// OpStatus, OpList, OpCancel and OpResults serve callers.
	OpStatus  Op = "status"
	OpList    Op = "list"
	OpCancel  Op = "cancel"
	OpResults Op = "results"
)

// PeerRequest is one call between entries.
type PeerRequest struct {
	Op        Op                  `cbor:"1,keyasint"`
	Shard     structs.Shard       `cbor:"2,keyasint,omitempty"`
	Host      structs.HostID      `cbor:"3,keyasint,omitempty"` // who asks
	Workspace structs.WorkspaceID `cbor:"4,keyasint,omitempty"`
	Job       structs.JobID       `cbor:"5,keyasint,omitempty"`
	Done      []SideDone          `cbor:"6,keyasint,omitempty"`
	Segment   *structs.JobSegment `cbor:"7,keyasint,omitempty"`
	Accept    *structs.JobAccept  `cbor:"8,keyasint,omitempty"`
	// From, Limit and FailedOnly choose results: items from index From on, up
	// to Limit bytes.
	From       int  `cbor:"9,keyasint,omitempty"`
	Limit      int  `cbor:"10,keyasint,omitempty"`
	FailedOnly bool `cbor:"11,keyasint,omitempty"`
}

// SideDone is an outcome with the side that reports it.
type SideDone struct {
	Side structs.HostID    `cbor:"1,keyasint"`
	Done *structs.ItemDone `cbor:"2,keyasint"`
}

// PeerReply answers a PeerRequest.
type PeerReply struct {
	Err *errs.Error `cbor:"1,keyasint,omitempty"`
	// Owner is who else may own the shard, with Err of type not_owner.
	Owner       *platform.Host                  `cbor:"2,keyasint,omitempty"`
	Incarnation int64                           `cbor:"3,keyasint,omitempty"`
	Holds       map[structs.Shard]structs.Epoch `cbor:"4,keyasint,omitempty"`
	Leaving     bool                            `cbor:"5,keyasint,omitempty"`
	// LogDown says that the entry does not reach the log service, LogUp that it
	// did just now. Neither holds for one that does not call it.
	LogDown bool `cbor:"12,keyasint,omitempty"`
	LogUp   bool `cbor:"13,keyasint,omitempty"`
	// Acked are the positions in PeerRequest.Done that need not be sent again.
	Acked []int `cbor:"6,keyasint,omitempty"`
	// Have are the hashes of the segments that are in the log; empty where one is missing.
	Have    [][]byte             `cbor:"7,keyasint,omitempty"`
	Job     *JobView             `cbor:"8,keyasint,omitempty"`
	Jobs    []JobView            `cbor:"9,keyasint,omitempty"`
	Results []structs.ItemResult `cbor:"10,keyasint,omitempty"`
	// Next is the index from which the next call for results goes on; at the end it is the job's count.
	Next int `cbor:"11,keyasint,omitempty"`
}

// JobView is a job as callers see it.
type JobView struct {
	ID         structs.JobID       `cbor:"1,keyasint" json:"id"`
	Workspace  structs.WorkspaceID `cbor:"2,keyasint" json:"workspace"`
	Key        string              `cbor:"3,keyasint" json:"idempotency_key"`
	Model      structs.ModelID     `cbor:"4,keyasint,omitempty" json:"model,omitempty"`
	Service    structs.ServiceID   `cbor:"5,keyasint,omitempty" json:"service,omitempty"`
	Status     jobs.Status         `cbor:"6,keyasint" json:"status"`
	Items      int                 `cbor:"7,keyasint" json:"items"`
	Finished   int                 `cbor:"8,keyasint" json:"finished"`
	Failed     int                 `cbor:"9,keyasint" json:"failed"`
	AcceptedMs int64               `cbor:"10,keyasint" json:"accepted_ms"`
	EndedMs    int64               `cbor:"11,keyasint,omitempty" json:"ended_ms,omitempty"`
	DueMs      int64               `cbor:"12,keyasint,omitempty" json:"due_ms,omitempty"`
	// ReadableUntilMs is until when the results are promised; 0 before the end.
	ReadableUntilMs int64 `cbor:"13,keyasint,omitempty" json:"readable_until_ms,omitempty"`
	// Hash tells contents apart.
	Hash []byte `cbor:"14,keyasint,omitempty" json:"-"`
}

func (m *Manager) view(j *jobs.Job) *JobView {
	v := &JobView{
		ID: j.ID, Workspace: j.Spec.Workspace, Key: j.Spec.Key,
		Model: j.Spec.Model, Service: j.Spec.Service,
		Status: j.Status(), Items: j.Count, Finished: j.Finished, Failed: j.Failed,
		AcceptedMs: j.AcceptedMs, EndedMs: j.EndedMs, DueMs: j.Spec.DueMs, Hash: j.Hash,
	}
	if j.EndedMs != 0 {
		v.ReadableUntilMs = j.EndedMs + m.set.ResultsFor.Milliseconds()
	}
	return v
}
