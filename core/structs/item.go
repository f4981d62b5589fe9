package structs

import "arbutusramp/core/errs"

// ItemRef names one run of one item under one owner.
type ItemRef struct {
	Shard   Shard `cbor:"1,keyasint,omitempty"`
	Epoch   Epoch `cbor:"2,keyasint"`
	Job     JobID `cbor:"3,keyasint"`
	Index   int   `cbor:"4,keyasint,omitempty"` // from 0, in the order of the job's file
	Attempt int   `cbor:"5,keyasint,omitempty"` // from 0
}

// Pull says that a side has room for batch items now. Room falls to 0 when the
// side has none; the newest Pull replaces earlier ones.
type Pull struct {
	Target TargetID  `cbor:"1,keyasint"`
	Room   int       `cbor:"2,keyasint"`
	Models []ModelID `cbor:"3,keyasint,omitempty"`
	// Service is set by the side of a plain service.
	Service ServiceID `cbor:"4,keyasint,omitempty"`
}

// Items answers a Pull with items to run.
type Items struct {
	Items []Item `cbor:"1,keyasint"`
}

// Item is one item to run on a side.
type Item struct {
	Ref       ItemRef     `cbor:"1,keyasint"`
	Target    TargetID    `cbor:"2,keyasint,omitempty"`
	Workspace WorkspaceID `cbor:"3,keyasint,omitempty"`
	Generate  *Generate   `cbor:"4,keyasint,omitempty"`
	Method    string      `cbor:"5,keyasint,omitempty"`
	Path      string      `cbor:"6,keyasint,omitempty"`
	Body      []byte      `cbor:"7,keyasint"`
	// NonIdempotent items have a claim in the log before they are sent.
	NonIdempotent bool `cbor:"8,keyasint,omitempty"`
	// Alone asks the side to run the item with no other batch item beside
	// it: it is suspected of killing workers.
	Alone bool `cbor:"9,keyasint,omitempty"`
	// TimeoutMs bounds one attempt.
	TimeoutMs int64 `cbor:"10,keyasint,omitempty"`
}

// ItemDone is the outcome of one attempt. The side keeps it until the owner
// acknowledges it or the session to the owner's epoch is gone.
type ItemDone struct {
	Ref    ItemRef     `cbor:"1,keyasint"`
	Status int         `cbor:"2,keyasint,omitempty"` // HTTP status of the target's answer
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	Err    *errs.Error `cbor:"4,keyasint,omitempty"`
	// GaveBack says that the item was not finished for a reason that is not its
	// own (preempted, draining): the attempt is not charged.
	GaveBack bool `cbor:"5,keyasint,omitempty"`
	// Neighbours are items that ran at the target when it died under this one;
	// any of them may be the cause.
	Neighbours []ItemRef `cbor:"6,keyasint,omitempty"`
}

// ItemStop asks the side to stop items: a cancelled job, or one item of it.
type ItemStop struct {
	Job JobID `cbor:"1,keyasint"`
	// All stops every item of the job; else only Index.
	All   bool `cbor:"2,keyasint,omitempty"`
	Index int  `cbor:"3,keyasint,omitempty"`
}

// ItemAck tells a side that the outcomes are in the log and may be forgotten.
type ItemAck struct {
	Refs []ItemRef `cbor:"1,keyasint"`
}
