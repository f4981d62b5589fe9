package jobs

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/structs"
)

// Void says why an envelope took no effect.
type Void string

// The reasons for which an envelope is void.
const (
	Applied    Void = ""
	VoidEpoch  Void = "other epoch"
	VoidCopy   Void = "second copy"
	VoidClaim  Void = "claim of a replaced epoch"
	VoidFormat Void = "not an envelope"
)

// Effects says what an envelope changed.
type Effects struct {
	Void     Void
	Claimed  bool // a new epoch has begun
	Accepted []structs.JobID
	Runnable []structs.JobID
	// Cancelled jobs have just been cancelled.
	Cancelled []structs.JobID
	Forgotten []structs.JobID
	// Done are items that have just got their result.
	Done []Key
	// Late counts results that came second.
	Late int
}

// Key names one item within a shard.
type Key struct {
	Job   structs.JobID
	Index int
}

// Decode opens one entry of a shard's stream. Error: errs.BadFrame.
func Decode(body []byte) (*structs.Envelope, error) {
	var env structs.Envelope
	if err := cbor.Unmarshal(body, &env); err != nil {
		return nil, errs.Newf(errs.BadFrame, "shard record: %v", err)
	}
	return &env, nil
}

// Encode returns the bytes of env. Error: errs.Internal.
func Encode(env *structs.Envelope) ([]byte, error) {
	body, err := cbor.Marshal(env)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "shard record: %v", err)
	}
	return body, nil
}

// ApplyEntry decodes and applies one entry. What is not an envelope is void: a
// foreign record in the stream must not stop the shard for good.
func (s *State) ApplyEntry(e structs.LogEntry) Effects {
	env, err := Decode(e.Body)
	if err != nil {
		s.Through = e.Offset
		return Effects{Void: VoidFormat}
	}
	return s.Apply(e.Offset, env)
}

// Apply folds the envelope at off, which must be above Through.
func (s *State) Apply(off structs.Offset, env *structs.Envelope) Effects {
	s.Through = off
	s.marks.add(off, env.AtMs, s.MarkEvery)
	var eff Effects
	if env.Epoch == 0 {
		eff.Void = s.applyClaim(off, env)
		eff.Claimed = eff.Void == Applied
		return eff
	}
	if eff.Void = s.guard(env); eff.Void != Applied {
		return eff
	}
	s.assertGuard(off, env)
	s.LastSeq = max(s.LastSeq, env.Seq)
	for i := range env.Records {
		s.applyRecord(off, env, &env.Records[i], &eff)
	}
	return eff
}

// guard decides whether env may take effect. An owner that was paused past a
// takeover still appends under its old epoch, and an append whose answer was
// lost comes twice; without the guard either would change the state that the
// present owner acts on.
func (s *State) guard(env *structs.Envelope) Void {
	current := env.Epoch == s.Epoch && env.Writer == s.Owner && !s.Released
	if !current && !s.broken.IgnoreEpochs {
		return VoidEpoch
	}
	if current && env.Seq <= s.LastSeq && !s.broken.IgnoreIdentities {
		return VoidCopy
	}
	return Applied
}

// assertGuard checks what guard has let through.
func (s *State) assertGuard(off structs.Offset, env *structs.Envelope) {
	current := env.Epoch == s.Epoch && env.Writer == s.Owner
	s.check.Check(current, invariant.CurrentEpoch,
		fmt.Sprintf("offset %d of epoch %d under epoch %d", off, env.Epoch, s.Epoch))
	s.check.Check(!current || env.Seq > s.LastSeq, invariant.OneCopy,
		fmt.Sprintf("offset %d seq %d after %d", off, env.Seq, s.LastSeq))
}

func (s *State) applyClaim(off structs.Offset, env *structs.Envelope) Void {
	if len(env.Records) != 1 || env.Records[0].Claim == nil {
		return VoidFormat
	}
	claim := env.Records[0].Claim
	if claim.Prev != s.Epoch {
		return VoidClaim
	}
	s.Epoch = structs.Epoch(off)
	s.Owner = env.Writer
	s.OwnerAddr = claim.Addr
	s.LastSeq = env.Seq
	if !s.Released {
		s.Leases = nil
	}
	s.Released = false
	return Applied
}

func (s *State) applyRecord(off structs.Offset, env *structs.Envelope, r *structs.JobRecord, eff *Effects) {
	switch {
	case r.Segment != nil:
		s.applySegment(off, env.AtMs, r.Segment)
	case r.Accept != nil:
		s.applyAccept(env.AtMs, r.Accept, eff)
	case r.Run != nil:
		s.applyRun(r.Run, eff)
	case r.Start != nil:
		s.applyStart(r.Start)
	case r.Reopen != nil:
		s.applyReopen(r.Reopen)
	case r.Charge != nil:
		s.applyCharge(r.Charge)
	case r.Done != nil:
		s.applyDone(off, env.AtMs, r.Done, eff)
	case r.Packed != nil:
		s.applyPacked(off, r.Packed)
	case r.Cancel != nil:
		s.applyCancel(env.AtMs, r.Cancel, eff)
	case r.Forget != nil:
		s.applyForget(r.Forget, eff)
	case r.Release != nil:
		s.Released = true
		s.Leases = r.Release.Leases
	}
}

// applySegment adds a segment of an upload or moves one that was appended again.
func (s *State) applySegment(off structs.Offset, atMs int64, r *structs.JobSegment) {
	if r.Seg < 0 || r.Seg >= MaxSegments || r.Count <= 0 || r.Count > MaxSegmentItems {
		return
	}
	j := s.Jobs[r.Job]
	if j == nil {
		j = &Job{ID: r.Job, TouchedMs: atMs}
		s.Jobs[r.Job] = j
	}
	if j.Accepted {
		j.moveSegment(off, r)
		return
	}
	for len(j.Segments) <= r.Seg {
		j.Segments = append(j.Segments, Segment{})
	}
	seg := &j.Segments[r.Seg]
	if seg.Offset == 0 {
		*seg = newSegment(off, r)
		return
	}
	if bytes.Equal(seg.Hash(), r.Hash) {
		seg.Offset = off
	}
}

func newSegment(off structs.Offset, r *structs.JobSegment) Segment {
	open := &openSegment{Hash: r.Hash, Done: newBitset(r.Count)}
	seg := Segment{Offset: off, Count: int32(r.Count), open: open}
	for _, pos := range r.Bad {
		if pos < 0 || pos >= r.Count || open.Done.has(pos) {
			continue
		}
		open.Done.set(pos)
		seg.Done++
		seg.Failed++
	}
	if seg.Done > 0 {
		seg.refs.add(off)
	}
	for _, pos := range r.Once {
		if pos < 0 || pos >= r.Count {
			continue
		}
		if open.Once == nil {
			open.Once = newBitset(r.Count)
		}
		open.Once.set(pos)
	}
	return seg
}

// moveSegment notes the newer copy of a segment whose first copy nears retention.
func (j *Job) moveSegment(off structs.Offset, r *structs.JobSegment) {
	if r.Seg >= len(j.Segments) || j.Ended() {
		return
	}
	seg := &j.Segments[r.Seg]
	if seg.open != nil && bytes.Equal(seg.open.Hash, r.Hash) {
		seg.Offset = off
	}
}

func (s *State) applyAccept(atMs int64, r *structs.JobAccept, eff *Effects) {
	j := s.Jobs[r.Job]
	if j == nil || j.Accepted || len(j.Segments) != r.Segments {
		return
	}
	hashes := make([][]byte, 0, len(j.Segments))
	first, finished, failed := 0, 0, 0
	for i := range j.Segments {
		seg := &j.Segments[i]
		if seg.Offset == 0 {
			return
		}
		seg.First = int32(first)
		first += int(seg.Count)
		finished += int(seg.Done)
		failed += int(seg.Failed)
		hashes = append(hashes, seg.Hash())
	}
	if first != r.Count || !bytes.Equal(ContentHash(r.Spec, hashes), r.Hash) {
		return
	}
	j.Spec = r.Spec
	j.Hash = r.Hash
	j.Accepted = true
	j.Planned = r.Planned
	j.AcceptedMs = atMs
	j.Count, j.Finished, j.Failed = first, finished, failed
	for i := range j.Segments {
		j.Segments[i].closeIfDone()
	}
	eff.Accepted = append(eff.Accepted, j.ID)
	if j.Runnable() {
		eff.Runnable = append(eff.Runnable, j.ID)
	}
	j.endIfDone(s, atMs)
}

func (s *State) applyRun(r *structs.JobRun, eff *Effects) {
	j := s.Jobs[r.Job]
	if j == nil || !j.Planned {
		return
	}
	j.Planned = false
	if j.Runnable() {
		eff.Runnable = append(eff.Runnable, j.ID)
	}
}

func (s *State) applyCancel(atMs int64, r *structs.JobCancel, eff *Effects) {
	j := s.Jobs[r.Job]
	if j == nil || !j.Accepted || j.Ended() {
		return
	}
	j.Cancelled = true
	j.CancelBy = r.By
	eff.Cancelled = append(eff.Cancelled, j.ID)
	j.end(atMs)
}

func (s *State) applyForget(r *structs.JobForget, eff *Effects) {
	j := s.Jobs[r.Job]
	if j == nil || (j.Accepted && !j.Ended()) {
		return
	}
	delete(s.Jobs, r.Job)
	eff.Forgotten = append(eff.Forgotten, r.Job)
}
