package confstate

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// encMode gives one encoding for one value, so that equal states have equal
// snapshots and a plan's hash is the same in every process.
var encMode = mustEncMode()

// decMode has room for the largest maps of the target size.
var decMode = mustDecMode()

const maxDecodeElements = 4 << 20

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxDecodeElements,
		MaxMapPairs:      maxDecodeElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the deterministic CBOR of v.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(errs.New(errs.Internal, err.Error()), "encode")
	}
	return b, nil
}

// Decode reads CBOR into v. Error: errs.BadFrame.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return errs.Newf(errs.BadFrame, "decode %T: %v", v, err)
	}
	return nil
}

// Snapshot returns s as bytes for Restore.
func (s *State) Snapshot() ([]byte, error) { return Encode(s) }

// Restore returns the State of a snapshot. Error: errs.BadFrame.
func Restore(b []byte) (*State, error) {
	var s State
	if err := Decode(b, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// EncodeConfirm returns the configuration record of c.
func EncodeConfirm(c *structs.Confirm) ([]byte, error) {
	return Encode(structs.ConfigRecord{Confirm: c})
}
