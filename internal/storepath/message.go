package storepath

import (
	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// request is a call of the store, as a gateway sends it to the relay of a peer. The field of the called method
// is set, and no other.
type request struct {
	Append *platform.Append     `cbor:"1,keyasint,omitempty"`
	Read   *platform.Read       `cbor:"2,keyasint,omitempty"`
	Newest *newestRequest       `cbor:"3,keyasint,omitempty"`
	Join   *platform.Membership `cbor:"4,keyasint,omitempty"`
	Leave  *leaveRequest        `cbor:"5,keyasint,omitempty"`
}

// newestRequest holds the arguments of platform.Store.Newest.
type newestRequest struct {
	Partition platform.Partition `cbor:"1,keyasint"`
	After     string             `cbor:"2,keyasint"`
}

// leaveRequest holds the arguments of platform.Store.Leave.
type leaveRequest struct {
	Group  string `cbor:"1,keyasint"`
	Member string `cbor:"2,keyasint"`
}

// response is the result of a request, as the relay returns it: the field of the called method is set, or
// Failure if the call has failed. Leave has no field of its own.
type response struct {
	Appended   platform.Appended   `cbor:"1,keyasint,omitempty"`
	Records    platform.Records    `cbor:"2,keyasint,omitempty"`
	Page       platform.NewestPage `cbor:"3,keyasint,omitempty"`
	Assignment platform.Assignment `cbor:"4,keyasint,omitempty"`
	Failure    *storeError         `cbor:"5,keyasint,omitempty"`
}

// storeError is an error of a store call in encoded form, with the fields that a caller of the store evaluates.
// Exactly one field is set.
type storeError struct {
	EndMoved      *platform.EndMoved      `cbor:"1,keyasint,omitempty"`
	Fenced        *platform.Fenced        `cbor:"2,keyasint,omitempty"`
	OutOfSequence *platform.OutOfSequence `cbor:"3,keyasint,omitempty"`
	Expired       *platform.Expired       `cbor:"4,keyasint,omitempty"`
	Other         *errs.Error             `cbor:"5,keyasint,omitempty"`
}

// encodeError returns err in encoded form; nil for a nil err.
func encodeError(err error) *storeError {
	if err == nil {
		return nil
	}
	var e storeError
	switch {
	case errors.As(err, &e.EndMoved), errors.As(err, &e.Fenced), errors.As(err, &e.OutOfSequence), errors.As(err, &e.Expired):
	default:
		e.Other = errs.As(err)
	}
	return &e
}

// decode returns the error that encodeError has encoded; nil for a nil e. Error without a set field:
// errs.BadFrame.
func (e *storeError) decode() error {
	switch {
	case e == nil:
		return nil
	case e.EndMoved != nil:
		return e.EndMoved
	case e.Fenced != nil:
		return e.Fenced
	case e.OutOfSequence != nil:
		return e.OutOfSequence
	case e.Expired != nil:
		return e.Expired
	case e.Other != nil:
		return e.Other
	}
	return errs.New(errs.BadFrame, "response of the relay contains an empty store error")
}
