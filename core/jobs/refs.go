package jobs

import (
	"encoding/binary"

	"arbutusramp/core/structs"
)

// refs is a rising list of offsets, kept as varints of their differences: an
// offset costs one or two bytes where its neighbours are near.
type refs struct {
	Bytes []byte         `cbor:"1,keyasint,omitempty"`
	Last  structs.Offset `cbor:"2,keyasint,omitempty"`
}

// add appends off unless it is the last already.
func (r *refs) add(off structs.Offset) {
	if off == r.Last {
		return
	}
	r.Bytes = binary.AppendUvarint(r.Bytes, uint64(off-r.Last))
	r.Last = off
}

// first returns the lowest offset, 0 if there is none.
func (r *refs) first() structs.Offset {
	if len(r.Bytes) == 0 {
		return 0
	}
	d, _ := binary.Uvarint(r.Bytes)
	return structs.Offset(d)
}

// list returns the offsets, rising.
func (r *refs) list() []structs.Offset {
	var out []structs.Offset
	off := structs.Offset(0)
	for rest := r.Bytes; len(rest) > 0; {
		d, n := binary.Uvarint(rest)
		off += structs.Offset(d)
		out = append(out, off)
		rest = rest[n:]
	}
	return out
}

// dropThrough removes the offsets up to through.
func (r *refs) dropThrough(through structs.Offset) {
	if first := r.first(); first == 0 || first > through {
		return
	}
	var kept refs
	for _, off := range r.list() {
		if off > through {
			kept.add(off)
		}
	}
	*r = kept
}
