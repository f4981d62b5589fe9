package faults

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/structs"
)

// record is one append that took effect at the log service.
type record struct {
	stream string
	offset structs.Offset
	at     time.Time
	body   []byte
}

// foldedItem is what the log says of one item.
type foldedItem struct {
	result string // empty: none
	failed bool
	// starts and reopens are records of the claims of an item that runs at most once.
	starts, reopens int
}

// foldedJob is what the log says of one job.
type foldedJob struct {
	accepted, cancelled bool
	count               int
	firsts              map[int]*structs.JobSegment // by number; the first copy of each
	first               []int                       // index of each segment's first item, once accepted
	items               map[int]*foldedItem
	endedMs             int64
}

// tenure is the time in which one process owned a shard.
type tenure struct {
	owner       structs.Writer
	from, until time.Time // until is zero while it lasts
	released    time.Time // zero unless it was handed over
}

// foldedShard folds the stream of one shard, item by item and without any
// compaction: slow, and simple enough to be checked by reading.
type foldedShard struct {
	epoch    structs.Epoch
	owner    structs.Writer
	released bool
	seq      uint64
	jobs     map[structs.JobID]*foldedJob
	// forgotten are jobs that a record has dropped, with the writer's clock (milliseconds since 1970).
	forgotten map[structs.JobID]int64
	gone      map[structs.JobID]*foldedJob // as they were when they were forgotten
	tenures   []*tenure
	// copies and stale count envelopes that the fold passes over.
	copies, stale int
	bad           []string
}

func newFoldedShard() *foldedShard {
	return &foldedShard{
		jobs:      make(map[structs.JobID]*foldedJob),
		forgotten: make(map[structs.JobID]int64),
		gone:      make(map[structs.JobID]*foldedJob),
	}
}

func (s *foldedShard) apply(r *record) {
	var env structs.Envelope
	if cbor.Unmarshal(r.body, &env) != nil {
		return
	}
	if env.Epoch == 0 {
		s.claim(r, &env)
		return
	}
	if env.Epoch != s.epoch || env.Writer != s.owner || s.released {
		s.stale++
		return
	}
	if env.Seq <= s.seq {
		s.copies++
		return
	}
	s.seq = env.Seq
	for i := range env.Records {
		s.change(r, &env, &env.Records[i])
	}
}

func (s *foldedShard) claim(r *record, env *structs.Envelope) {
	if len(env.Records) != 1 || env.Records[0].Claim == nil || env.Records[0].Claim.Prev != s.epoch {
		return
	}
	if n := len(s.tenures); n > 0 {
		s.tenures[n-1].until = r.at
	}
	s.tenures = append(s.tenures, &tenure{owner: env.Writer, from: r.at})
	s.epoch, s.owner, s.seq, s.released = structs.Epoch(r.offset), env.Writer, env.Seq, false
}

func (s *foldedShard) change(r *record, env *structs.Envelope, c *structs.JobRecord) {
	switch {
	case c.Segment != nil:
		s.segment(c.Segment)
	case c.Accept != nil:
		s.accept(env, c.Accept)
	case c.Start != nil:
		s.started(c.Start)
	case c.Reopen != nil:
		s.reopened(c.Reopen)
	case c.Done != nil:
		s.done(env, c.Done)
	case c.Packed != nil:
		s.packed(c.Packed)
	case c.Cancel != nil:
		if j := s.jobs[c.Cancel.Job]; j != nil && j.accepted && j.endedMs == 0 {
			j.cancelled, j.endedMs = true, env.AtMs
		}
	case c.Forget != nil:
		s.forget(env, c.Forget)
	case c.Release != nil:
		s.released = true
		s.tenures[len(s.tenures)-1].released = r.at
	}
}

func (s *foldedShard) segment(c *structs.JobSegment) {
	j := s.jobs[c.Job]
	if j == nil {
		j = &foldedJob{firsts: make(map[int]*structs.JobSegment), items: make(map[int]*foldedItem)}
		s.jobs[c.Job] = j
	}
	if j.firsts[c.Seg] == nil && !j.accepted {
		j.firsts[c.Seg] = c
	}
}

func (s *foldedShard) accept(env *structs.Envelope, c *structs.JobAccept) {
	j := s.jobs[c.Job]
	if j == nil || j.accepted {
		return
	}
	total := 0
	j.first = nil
	for i := range c.Segments {
		if j.firsts[i] == nil {
			return
		}
		j.first = append(j.first, total)
		total += j.firsts[i].Count
	}
	if total != c.Count {
		return
	}
	j.accepted, j.count = true, total
	for i := range total {
		j.items[i] = &foldedItem{}
	}
	for n := range c.Segments {
		s.badLines(c.Job, j, n)
	}
	j.endIfWhole(env.AtMs)
}

// badLines gives lines that can't be run their error.
func (s *foldedShard) badLines(id structs.JobID, j *foldedJob, n int) {
	var lines []structs.JobItem
	if err := cbor.Unmarshal(j.firsts[n].Blob, &lines); err != nil {
		s.note("segment %d of %s can't be read: %v", n, id, err)
		return
	}
	for _, pos := range j.firsts[n].Bad {
		index := j.first[n] + pos
		r := structs.ItemResult{Index: index, CustomID: lines[pos].CustomID, Err: lines[pos].Err}
		j.items[index].result, j.items[index].failed = shape(r), true
	}
}

func (s *foldedShard) started(c *structs.ItemStart) {
	j := s.jobs[c.Job]
	if j == nil {
		return
	}
	for _, index := range c.Indexes {
		it := j.items[index]
		if it == nil || it.result != "" || j.cancelled {
			continue
		}
		it.starts++
		if it.starts > it.reopens+1 {
			s.note("item %d of %s was claimed twice", index, c.Job)
		}
	}
}

func (s *foldedShard) reopened(c *structs.ItemReopen) {
	if j := s.jobs[c.Job]; j != nil {
		for _, index := range c.Indexes {
			if it := j.items[index]; it != nil && it.reopens < it.starts {
				it.reopens++
			}
		}
	}
}

func (s *foldedShard) done(env *structs.Envelope, c *structs.ItemsDone) {
	j := s.jobs[c.Job]
	if j == nil || !j.accepted || j.cancelled {
		return
	}
	var results []structs.ItemResult
	if err := cbor.Unmarshal(c.Blob, &results); err != nil || len(results) != len(c.Indexes) {
		s.note("results of %s can't be read: %v", c.Job, err)
		return
	}
	for _, r := range results {
		it := j.items[r.Index]
		if it == nil || it.result != "" {
			continue
		}
		it.result, it.failed = shape(r), r.Err != nil
	}
	j.endIfWhole(env.AtMs)
}

// packed must say the same as what it replaces.
func (s *foldedShard) packed(c *structs.ResultsPacked) {
	j := s.jobs[c.Job]
	if j == nil || !j.accepted {
		return
	}
	var results []structs.ItemResult
	if err := cbor.Unmarshal(c.Blob, &results); err != nil {
		s.note("packed results of %s can't be read: %v", c.Job, err)
		return
	}
	for _, r := range results {
		if it := j.items[r.Index]; it == nil || it.result != shape(r) {
			s.note("packed result of item %d of %s differs", r.Index, c.Job)
		}
	}
}

func (s *foldedShard) forget(env *structs.Envelope, c *structs.JobForget) {
	j := s.jobs[c.Job]
	if j == nil || j.accepted && j.endedMs == 0 {
		return
	}
	delete(s.jobs, c.Job)
	if j.accepted {
		s.forgotten[c.Job] = env.AtMs
		s.gone[c.Job] = j
	}
}

func (s *foldedShard) note(format string, args ...any) {
	s.bad = append(s.bad, fmt.Sprintf(format, args...))
}

func (j *foldedJob) endIfWhole(atMs int64) {
	for _, it := range j.items {
		if it.result == "" {
			return
		}
	}
	if j.endedMs == 0 {
		j.endedMs = atMs
	}
}

// shape writes a result in the one way in which results are compared.
func shape(r structs.ItemResult) string {
	if r.Err != nil {
		return fmt.Sprintf("%s error %s", r.CustomID, r.Err.Type)
	}
	return shapeAnswer(r.CustomID, r.Status, r.Body)
}

func shapeAnswer(customID string, status int, body []byte) string {
	var b bytes.Buffer
	if json.Compact(&b, body) != nil {
		text, _ := json.Marshal(string(body))
		b.Reset()
		b.Write(text)
	}
	return fmt.Sprintf("%s %d %s", customID, status, b.String())
}
