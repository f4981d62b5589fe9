package jobs

import (
	"bytes"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/structs"
)

// MaxSnapshotPart is how many bytes of a snapshot one append carries.
const MaxSnapshotPart = 512 << 10

type stateImage struct {
	Through   structs.Offset      `cbor:"1,keyasint"`
	Epoch     structs.Epoch       `cbor:"2,keyasint"`
	Owner     structs.Writer      `cbor:"3,keyasint"`
	OwnerAddr string              `cbor:"4,keyasint,omitempty"`
	Released  bool                `cbor:"5,keyasint,omitempty"`
	Leases    []structs.ItemLease `cbor:"6,keyasint,omitempty"`
	LastSeq   uint64              `cbor:"7,keyasint"`
	Jobs      []jobImage          `cbor:"8,keyasint,omitempty"`
	Marks     marks               `cbor:"9,keyasint,omitempty"`
}

type jobImage struct {
	ID         structs.JobID   `cbor:"1,keyasint"`
	Spec       structs.JobSpec `cbor:"2,keyasint"`
	Hash       []byte          `cbor:"3,keyasint,omitempty"`
	Accepted   bool            `cbor:"4,keyasint,omitempty"`
	Planned    bool            `cbor:"5,keyasint,omitempty"`
	Cancelled  bool            `cbor:"6,keyasint,omitempty"`
	CancelBy   string          `cbor:"7,keyasint,omitempty"`
	Count      int             `cbor:"8,keyasint,omitempty"`
	Finished   int             `cbor:"9,keyasint,omitempty"`
	Failed     int             `cbor:"10,keyasint,omitempty"`
	Segments   []segmentImage  `cbor:"11,keyasint,omitempty"`
	TouchedMs  int64           `cbor:"12,keyasint,omitempty"`
	AcceptedMs int64           `cbor:"13,keyasint,omitempty"`
	EndedMs    int64           `cbor:"14,keyasint,omitempty"`
	Trouble    map[int]Trouble `cbor:"15,keyasint,omitempty"`
}

type segmentImage struct {
	Offset structs.Offset `cbor:"1,keyasint,omitempty"`
	First  int32          `cbor:"2,keyasint,omitempty"`
	Count  int32          `cbor:"3,keyasint,omitempty"`
	Done   int32          `cbor:"4,keyasint,omitempty"`
	Failed int32          `cbor:"5,keyasint,omitempty"`
	Packed structs.Offset `cbor:"6,keyasint,omitempty"`
	Refs   refs           `cbor:"7,keyasint"`
	Open   *openSegment   `cbor:"8,keyasint,omitempty"`
	More   *morePacked    `cbor:"9,keyasint,omitempty"`
}

// Snapshot returns the state as the bodies of the appends that keep it, each a
// structs.ShardSnapshot. Error: errs.Internal.
func (s *State) Snapshot() ([][]byte, error) {
	image := stateImage{
		Through: s.Through, Epoch: s.Epoch, Owner: s.Owner, OwnerAddr: s.OwnerAddr,
		Released: s.Released, Leases: s.Leases, LastSeq: s.LastSeq, Marks: s.marks,
	}
	for _, j := range s.Jobs {
		image.Jobs = append(image.Jobs, j.image())
	}
	body, err := cbor.Marshal(image)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "snapshot: %v", err)
	}
	return s.parts(body)
}

func (s *State) parts(body []byte) ([][]byte, error) {
	sum := sha256.Sum256(body)
	n := max(1, (len(body)+MaxSnapshotPart-1)/MaxSnapshotPart)
	out := make([][]byte, 0, n)
	for i := range n {
		lo := i * MaxSnapshotPart
		hi := min(len(body), lo+MaxSnapshotPart)
		part := structs.ShardSnapshot{
			Through: s.Through, Part: i, Parts: n, Body: body[lo:hi], Sum: sum[:],
		}
		b, err := cbor.Marshal(part)
		if err != nil {
			return nil, errs.Newf(errs.Internal, "snapshot: %v", err)
		}
		out = append(out, b)
	}
	return out, nil
}

func (j *Job) image() jobImage {
	image := jobImage{
		ID: j.ID, Spec: j.Spec, Hash: j.Hash,
		Accepted: j.Accepted, Planned: j.Planned, Cancelled: j.Cancelled, CancelBy: j.CancelBy,
		Count: j.Count, Finished: j.Finished, Failed: j.Failed,
		TouchedMs: j.TouchedMs, AcceptedMs: j.AcceptedMs, EndedMs: j.EndedMs,
		Trouble: j.trouble,
	}
	for i := range j.Segments {
		g := &j.Segments[i]
		image.Segments = append(image.Segments, segmentImage{
			Offset: g.Offset, First: g.First, Count: g.Count, Done: g.Done, Failed: g.Failed,
			Packed: g.packed, Refs: g.refs, Open: g.open, More: g.more,
		})
	}
	return image
}

// NewestSnapshot finds the newest whole snapshot among entries of a snapshot
// stream. ok is false when there is none: parts of it may be trimmed, missing
// (its writer was lost between two appends) or doubled.
func NewestSnapshot(entries []structs.LogEntry) (body []byte, ok bool) {
	type pending struct {
		parts map[int][]byte
		want  int
	}
	open := make(map[string]*pending)
	var newest structs.Offset
	for _, e := range entries {
		var p structs.ShardSnapshot
		if cbor.Unmarshal(e.Body, &p) != nil || p.Parts < 1 {
			continue
		}
		g := open[string(p.Sum)]
		if g == nil {
			g = &pending{parts: make(map[int][]byte), want: p.Parts}
			open[string(p.Sum)] = g
		}
		g.parts[p.Part] = p.Body
		if len(g.parts) < g.want || p.Through < newest {
			continue
		}
		whole := joinParts(g.parts, g.want)
		if sum := sha256.Sum256(whole); !bytes.Equal(sum[:], p.Sum) {
			continue
		}
		body, ok, newest = whole, true, p.Through
	}
	return body, ok
}

func joinParts(parts map[int][]byte, n int) []byte {
	var whole []byte
	for i := range n {
		whole = append(whole, parts[i]...)
	}
	return whole
}

// Restore returns the state that body, from NewestSnapshot, holds. Error: errs.BadFrame.
func Restore(body []byte, check *invariant.Checker, broken Broken) (*State, error) {
	var image stateImage
	if err := cbor.Unmarshal(body, &image); err != nil {
		return nil, errs.Newf(errs.BadFrame, "snapshot: %v", err)
	}
	s := NewState(check, broken)
	s.Through, s.Epoch, s.Owner = image.Through, image.Epoch, image.Owner
	s.OwnerAddr, s.Released, s.Leases = image.OwnerAddr, image.Released, image.Leases
	s.LastSeq, s.marks = image.LastSeq, image.Marks
	for i := range image.Jobs {
		j := image.Jobs[i].job()
		s.Jobs[j.ID] = j
	}
	return s, nil
}

func (image *jobImage) job() *Job {
	j := &Job{
		ID: image.ID, Spec: image.Spec, Hash: image.Hash,
		Accepted: image.Accepted, Planned: image.Planned,
		Cancelled: image.Cancelled, CancelBy: image.CancelBy,
		Count: image.Count, Finished: image.Finished, Failed: image.Failed,
		TouchedMs: image.TouchedMs, AcceptedMs: image.AcceptedMs, EndedMs: image.EndedMs,
		trouble: image.Trouble,
	}
	for _, g := range image.Segments {
		j.Segments = append(j.Segments, Segment{
			Offset: g.Offset, First: g.First, Count: g.Count, Done: g.Done, Failed: g.Failed,
			packed: g.Packed, refs: g.Refs, open: g.Open, more: g.More,
		})
	}
	return j
}
