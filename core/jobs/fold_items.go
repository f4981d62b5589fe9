package jobs

import (
	"fmt"

	"arbutusramp/core/invariant"
	"arbutusramp/core/structs"
)

// Bounds of a job's file.
const (
	// MaxSegmentItems is how many items a segment holds at most.
	MaxSegmentItems = 1024
	// MaxSegments is how many segments a job has at most.
	MaxSegments = 16384
)

func (s *State) applyStart(r *structs.ItemStart) {
	j := s.Jobs[r.Job]
	if j == nil {
		return
	}
	for _, index := range r.Indexes {
		seg, pos, ok := j.Locate(index)
		if !ok || !j.Open(index) {
			continue
		}
		open := j.Segments[seg].open
		s.check.Check(!open.Started.has(pos), invariant.OneStart,
			fmt.Sprintf("job %s item %d", r.Job, index))
		if open.Started == nil {
			open.Started = newBitset(int(j.Segments[seg].Count))
		}
		open.Started.set(pos)
	}
}

func (s *State) applyReopen(r *structs.ItemReopen) {
	j := s.Jobs[r.Job]
	if j == nil {
		return
	}
	for _, index := range r.Indexes {
		seg, pos, ok := j.Locate(index)
		if ok && j.Started(index) {
			j.Segments[seg].open.Started.clear(pos)
		}
	}
}

func (s *State) applyCharge(r *structs.ItemCharge) {
	j := s.Jobs[r.Job]
	if j == nil || !j.Open(r.Index) {
		return
	}
	if j.trouble == nil {
		j.trouble = make(map[int]Trouble)
	}
	t := j.trouble[r.Index]
	if r.Crash {
		t.Crashes++
	} else {
		t.Charges++
	}
	j.trouble[r.Index] = t
}

// applyDone notes results. The first result of an item in log order counts:
// an item that was handed out again after its side fell silent can finish
// twice, and a caller that has read one result must never read another.
func (s *State) applyDone(off structs.Offset, atMs int64, r *structs.ItemsDone, eff *Effects) {
	j := s.Jobs[r.Job]
	if j == nil || !j.Accepted || j.Ended() {
		eff.Late += len(r.Indexes)
		return
	}
	failed := make(map[int]bool, len(r.Failed))
	for _, index := range r.Failed {
		failed[index] = true
	}
	for _, index := range r.Indexes {
		if !s.finish(off, j, index, failed[index]) {
			eff.Late++
			continue
		}
		eff.Done = append(eff.Done, Key{Job: r.Job, Index: index})
	}
	j.endIfDone(s, atMs)
}

func (s *State) finish(off structs.Offset, j *Job, index int, failed bool) bool {
	n, pos, ok := j.Locate(index)
	if !ok {
		return false
	}
	seg := &j.Segments[n]
	second := seg.HasResult(pos)
	if second && !s.broken.IgnoreIdentities {
		return false
	}
	s.check.Check(!second, invariant.OneResult, fmt.Sprintf("job %s item %d", j.ID, index))
	if seg.open != nil {
		seg.open.Done.set(pos)
	}
	seg.refs.add(off)
	seg.Done++
	j.Finished++
	if failed {
		seg.Failed++
		j.Failed++
	}
	delete(j.trouble, index)
	seg.closeIfDone()
	return true
}

func (s *Segment) closeIfDone() {
	if s.Done == s.Count {
		s.open = nil
	}
}

// applyPacked replaces the offsets that r's results came from, once all parts are there.
func (s *State) applyPacked(off structs.Offset, r *structs.ResultsPacked) {
	j := s.Jobs[r.Job]
	if j == nil || r.Seg < 0 || r.Seg >= len(j.Segments) {
		return
	}
	seg := &j.Segments[r.Seg]
	if seg.packed > r.Through {
		return
	}
	if r.Parts <= 1 {
		seg.replacePacked([]structs.Offset{off}, r.Through)
		return
	}
	if seg.more == nil {
		seg.more = &morePacked{}
	}
	m := seg.more
	if r.Part == 0 {
		m.Coming, m.Through = nil, r.Through
	}
	// A part without those before it is of a writer that was lost or superseded.
	if r.Through != m.Through || r.Part != len(m.Coming) {
		return
	}
	if m.Coming = append(m.Coming, off); len(m.Coming) == r.Parts {
		seg.replacePacked(m.Coming, r.Through)
	}
}

func (s *Segment) replacePacked(parts []structs.Offset, through structs.Offset) {
	s.packed = parts[0]
	s.more = nil
	if len(parts) > 1 {
		s.more = &morePacked{Rest: parts[1:]}
	}
	s.refs.dropThrough(through)
}

func (j *Job) endIfDone(s *State, atMs int64) {
	if j.Finished < j.Count {
		return
	}
	for i := range j.Segments {
		seg := &j.Segments[i]
		s.check.Check(seg.Done == seg.Count, invariant.NoneLost,
			fmt.Sprintf("job %s segment %d: %d of %d", j.ID, i, seg.Done, seg.Count))
	}
	j.end(atMs)
}

// end drops what only an unfinished job needs.
func (j *Job) end(atMs int64) {
	if j.EndedMs == 0 {
		j.EndedMs = max(1, atMs)
	}
	j.trouble = nil
	for i := range j.Segments {
		if open := j.Segments[i].open; open != nil {
			open.Hash, open.Once, open.Started = nil, nil, nil
		}
	}
}
