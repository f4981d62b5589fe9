package storepath

import (
	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// request is one call of the store; exactly one field is set.
type request struct {
	Append *platform.Append     `cbor:"1,keyasint,omitempty"`
	Read   *platform.Read       `cbor:"2,keyasint,omitempty"`
	Newest *newestRequest       `cbor:"3,keyasint,omitempty"`
	Join   *platform.Membership `cbor:"4,keyasint,omitempty"`
	Leave  *leaveRequest        `cbor:"5,keyasint,omitempty"`
}

type newestRequest struct {
	Partition platform.Partition `cbor:"1,keyasint"`
	After     string             `cbor:"2,keyasint"`
}

type leaveRequest struct {
	Group  string `cbor:"1,keyasint"`
	Member string `cbor:"2,keyasint"`
}

// answer is what the store has said to a request: the field of the call, or why there is none.
type answer struct {
	Appended   platform.Appended   `cbor:"1,keyasint,omitempty"`
	Records    platform.Records    `cbor:"2,keyasint,omitempty"`
	Page       platform.NewestPage `cbor:"3,keyasint,omitempty"`
	Assignment platform.Assignment `cbor:"4,keyasint,omitempty"`
	Failure    *failure            `cbor:"5,keyasint,omitempty"`
}

// failure carries the store's errors between processes; one field is set.
type failure struct {
	EndMoved      *platform.EndMoved      `cbor:"1,keyasint,omitempty"`
	Fenced        *platform.Fenced        `cbor:"2,keyasint,omitempty"`
	OutOfSequence *platform.OutOfSequence `cbor:"3,keyasint,omitempty"`
	Expired       *platform.Expired       `cbor:"4,keyasint,omitempty"`
	Other         *errs.Error             `cbor:"5,keyasint,omitempty"`
}

// failureOf encodes an error; nil stays nil.
func failureOf(err error) *failure {
	if err == nil {
		return nil
	}
	var f failure
	switch {
	case errors.As(err, &f.EndMoved), errors.As(err, &f.Fenced), errors.As(err, &f.OutOfSequence), errors.As(err, &f.Expired):
	default:
		f.Other = errs.As(err)
	}
	return &f
}

// err is the error that f carries.
func (f *failure) err() error {
	switch {
	case f == nil:
		return nil
	case f.EndMoved != nil:
		return f.EndMoved
	case f.Fenced != nil:
		return f.Fenced
	case f.OutOfSequence != nil:
		return f.OutOfSequence
	case f.Expired != nil:
		return f.Expired
	case f.Other != nil:
		return f.Other
	}
	return errs.New(errs.BadFrame, "a failure without a reason")
}
