package backlog

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// State is the state of all jobs, built from the records that were applied. Use NewState to create one; the
// zero value is not usable. State has no lock of its own: callers serialize access.
type State struct {
	chunks chunkAssembler
	jobs   map[string]*jobState
}

// jobState is the state of one job. Its records may arrive in any order, since the newest records are read in
// key order.
type jobState struct {
	job         *Job // nil until the job's record has been read
	isCancelled bool
	results     []*Result // by position; nil where a later result was read first
	doneItems   map[string]bool
	progress    map[string]Progress
}

// NewState returns an empty state.
func NewState() *State {
	return &State{chunks: chunkAssembler{partial: make(map[string][][]byte)}, jobs: make(map[string]*jobState)}
}

// Apply applies one record. Applying a record twice has no further effect. Errors: errs.BadFrame.
func (s *State) Apply(r platform.KeyedRecord) error {
	if len(r.Value) == 0 {
		s.applyTombstone(r.Key)
		return nil
	}
	key, value, err := s.chunks.add(r)
	if err != nil || value == nil {
		return err
	}
	kind, _, _ := strings.Cut(key, "/")
	switch kind {
	case kindJob:
		return decodeAndApply(value, s.applyJob)
	case kindCancel:
		return decodeAndApply(value, s.applyCancel)
	case kindResult:
		return decodeAndApply(value, s.applyResult)
	case kindProgress:
		return decodeAndApply(value, s.applyProgress)
	}
	return errs.Newf(errs.BadFrame, "record %q is of an unknown kind", key)
}

func decodeAndApply[T any](value []byte, applyValue func(*T)) error {
	v := new(T)
	if err := cbor.Unmarshal(value, v); err != nil {
		return errs.Newf(errs.BadFrame, "decode backlog record: %v", err)
	}
	applyValue(v)
	return nil
}

// applyTombstone handles the deletion of a key. Only whole jobs and progress are deleted; tombstones of
// progress have no effect on the state.
func (s *State) applyTombstone(key string) {
	kind, id, _ := strings.Cut(key, "/")
	if kind == kindJob && !strings.Contains(id, "#") {
		delete(s.jobs, id)
	}
}

func (s *State) jobStateFor(id string) *jobState {
	j, ok := s.jobs[id]
	if !ok {
		j = &jobState{doneItems: make(map[string]bool), progress: make(map[string]Progress)}
		s.jobs[id] = j
	}
	return j
}

func (s *State) applyJob(j *Job) {
	st := s.jobStateFor(j.ID)
	if st.job == nil {
		st.job = j
	}
}

func (s *State) applyCancel(id *string) {
	st := s.jobStateFor(*id)
	st.isCancelled = true
	clear(st.progress)
}

func (s *State) applyResult(r *Result) {
	st := s.jobStateFor(r.Job)
	for len(st.results) <= r.Position {
		st.results = append(st.results, nil)
	}
	if st.results[r.Position] == nil {
		st.results[r.Position] = r
		st.doneItems[r.Item] = true
		delete(st.progress, r.Item)
	}
}

func (s *State) applyProgress(p *Progress) {
	st := s.jobStateFor(p.Job)
	if !st.doneItems[p.Item] && !st.isCancelled {
		merged := st.progress[p.Item]
		merged.Merge(*p)
		st.progress[p.Item] = merged
	}
}

// Job returns an accepted job.
func (s *State) Job(id string) (*Job, bool) {
	st, ok := s.jobs[id]
	if !ok || st.job == nil {
		return nil, false
	}
	return st.job, true
}

// Ended reports whether the job's caller has cancelled it.
func (s *State) Ended(id string) bool {
	st, ok := s.jobs[id]
	return ok && st.isCancelled
}

// Done reports whether an item has a result.
func (s *State) Done(job, item string) bool {
	st, ok := s.jobs[job]
	return ok && st.doneItems[item]
}

// Listed returns the number of results before the first gap in the positions.
func (s *State) Listed(id string) int {
	st, ok := s.jobs[id]
	if !ok {
		return 0
	}
	if i := slices.Index(st.results, nil); i >= 0 {
		return i
	}
	return len(st.results)
}

// Page returns the results from a position on: at least one if there is one, and beyond the first no more
// than maxBytes of text.
func (s *State) Page(id string, from, maxBytes int) Page {
	st, ok := s.jobs[id]
	if !ok || st.job == nil {
		return Page{Next: from}
	}
	page := Page{Total: len(st.job.Items), Next: from}
	size := 0
	for i := from; i < s.Listed(id); i++ {
		size += len(st.results[i].Text) + st.results[i].Size
		if i > from && size > maxBytes {
			break
		}
		page.Results = append(page.Results, *st.results[i])
		page.Next = i + 1
	}
	return page
}

// Progress returns the progress of the item that its former owners have stored.
func (s *State) Progress(job, item string) Progress {
	st, ok := s.jobs[job]
	if !ok {
		return Progress{Job: job, Item: item}
	}
	p := st.progress[item]
	p.Job, p.Item = job, item
	return p
}

// Unneeded reports whether a progress record is obsolete: its item has a result, or its job is cancelled or
// deleted, so no owner resumes from it.
func (s *State) Unneeded(key string) bool {
	job, index, ok := parseProgressKey(key)
	if !ok {
		return false
	}
	st, isKnown := s.jobs[job]
	if !isKnown || st.job == nil || st.isCancelled {
		return true
	}
	return index >= len(st.job.Items) || st.doneItems[st.job.Items[index].ID]
}

// Queued returns the number of tokens of unfinished items of the workspace's jobs on a route.
func (s *State) Queued(workspace, route string) int64 {
	var sum int64
	for _, st := range s.jobs {
		if st.job == nil || st.isCancelled || st.job.Route != route || st.job.Workspace != workspace {
			continue
		}
		for i := range st.job.Items {
			if !st.doneItems[st.job.Items[i].ID] {
				sum += st.job.Items[i].Tokens
			}
		}
	}
	return sum
}

// Open calls visit for each job that is not cancelled and has unfinished items.
func (s *State) Open(visit func(*Job)) {
	for _, st := range s.jobs {
		if st.job != nil && !st.isCancelled && len(st.doneItems) < len(st.job.Items) {
			visit(st.job)
		}
	}
}

// Expired calls visit for each job that was submitted before a time, in milliseconds since 1970, and is
// cancelled or has all its results.
func (s *State) Expired(before int64, visit func(*Job)) {
	for _, st := range s.jobs {
		if st.job == nil || st.job.Submitted >= before {
			continue
		}
		if st.isCancelled || len(st.doneItems) == len(st.job.Items) {
			visit(st.job)
		}
	}
}

// Forgotten holds the tombstones that delete a job and everything that belongs to it, by partition.
type Forgotten struct{ Jobs, Results, Texts []platform.KeyedRecord }

// Forget returns the tombstones that delete a job and everything that belongs to it. It does not change the
// state.
func (s *State) Forget(id string) (Forgotten, error) {
	st, ok := s.jobs[id]
	if !ok || st.job == nil {
		return Forgotten{}, nil
	}
	jobs, err := EncodeJob(st.job)
	if err != nil {
		return Forgotten{}, err
	}
	f := Forgotten{Jobs: Drop(jobs)}
	for _, r := range st.results {
		if r == nil {
			continue
		}
		records, err := EncodeResult(r)
		if err != nil {
			return Forgotten{}, err
		}
		f.Results = append(f.Results, Drop(records)...)
		f.Texts = append(f.Texts, r.textTombstones()...)
	}
	if st.isCancelled {
		f.Jobs = append(f.Jobs, platform.KeyedRecord{Key: joinKey(kindCancel, id)})
	}
	return f, nil
}
