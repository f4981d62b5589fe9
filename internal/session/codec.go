package session

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

const (
	maxElements = 1 << 17 // of one CBOR array
	maxPairs    = 1 << 12 // of one CBOR map
	maxDepth    = 16      // of nested CBOR
)

var (
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
		MaxNestedLevels:  maxDepth,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode appends frames to buf as one message.
func Encode(buf *bytes.Buffer, frames []*structs.Frame) error {
	if err := encMode.MarshalToBuffer(frames, buf); err != nil {
		return errs.Newf(errs.Internal, "encode frames: %v", err)
	}
	return nil
}

// Decode returns the frames of one message. The result shares no memory with
// p. Error: errs.BadFrame.
func Decode(p []byte) ([]structs.Frame, error) {
	var frames []structs.Frame
	if err := decMode.Unmarshal(p, &frames); err != nil {
		return nil, errs.Newf(errs.BadFrame, "decode frames: %v", err)
	}
	for i := range frames {
		if bodies(&frames[i]) > 1 {
			return nil, errs.Newf(errs.BadFrame, "frame %d has more than one body", i)
		}
	}
	return frames, nil
}

// bodies counts the bodies of f; a frame without one is a bare heartbeat.
func bodies(f *structs.Frame) int {
	n := 0
	for _, set := range [...]bool{
		f.Hello != nil, f.Open != nil, f.Cancel != nil, f.Credit != nil,
		f.Head != nil, f.Data != nil, f.End != nil, f.Load != nil,
		f.Pull != nil, f.Items != nil, f.ItemDone != nil, f.ItemStop != nil,
		f.Config != nil, f.ItemAck != nil, f.Beat != nil, f.Order != nil,
		f.OrderDone != nil, f.Fence != nil, f.Crashes != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// weight estimates the encoded size of f in bytes; only bodies that may be
// large are looked into.
func weight(f *structs.Frame) int {
	const base = 64
	switch {
	case f.Data != nil:
		return base + len(f.Data.Payload)
	case f.Open != nil:
		return base + len(f.Open.Body) + len(f.Open.PriorText)
	case f.Crashes != nil:
		size := base
		for _, r := range f.Crashes.Records {
			size += len(r)
		}
		return size
	case f.ItemDone != nil:
		return base + len(f.ItemDone.Body)
	case f.Items != nil:
		n := base
		for i := range f.Items.Items {
			n += base + len(f.Items.Items[i].Body)
		}
		return n
	case f.Config != nil:
		n := base + len(f.Config.Snapshot)
		for i := range f.Config.Records {
			n += base + len(f.Config.Records[i].Body)
		}
		return n
	}
	return base
}
