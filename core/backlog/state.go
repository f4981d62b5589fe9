package backlog

import (
	"slices"
	"strings"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// State is the state of all jobs, built from the records that were applied. Use NewState to create one; the
// zero value is not usable. State has no lock of its own: callers serialize access.
type State struct {
	chunks   chunkAssembler
	jobs     map[string]*jobState // by job id
	jobBytes int64                // of all jobs; see JobBytes
}

// jobState is the state of one job. Its records may be applied in any order: a process that loads the backlog
// reads the newest record of each key in key order.
type jobState struct {
	job *Job // nil until the job's record has been applied
	// attempt is the one that has written the job, empty if it did so with one append; chunks is the number of the job's
	// chunks. They are valid if job is not nil.
	attempt     string
	chunks      int
	bytes       int64 // of job; see Job.Bytes
	isCancelled bool
	results     []*Result           // by position; nil at positions whose result has not been applied yet
	doneItems   map[string]bool     // ids of the items that have a result
	progress    map[string]Progress // of unfinished items, by item id
}

// NewState returns a state without jobs.
func NewState() *State {
	return &State{chunks: newChunkAssembler(), jobs: make(map[string]*jobState)}
}

// Apply applies one record, of any kind. Applying a record again has no effect. Errors: errs.BadFrame for a
// malformed record.
func (s *State) Apply(r platform.KeyedRecord) error {
	if len(r.Value) == 0 {
		s.applyTombstone(r.Key)
		return nil
	}
	if s.isOfStoredJob(r) {
		return nil
	}
	value, err := s.chunks.add(r)
	if err != nil || value.data == nil {
		return err
	}
	kind, _, _ := strings.Cut(value.key, "/")
	switch kind {
	case kindJob:
		return decodeAndApply(value.data, func(j *Job) { s.applyJob(j, value) })
	case kindCancel:
		return decodeAndApply(value.data, s.applyCancel)
	case kindResult:
		return decodeAndApply(value.data, s.applyResult)
	case kindProgress:
		var p Progress
		if err := decodeAndApply(value.data, func(decoded *Progress) { p = *decoded }); err != nil {
			return err
		}
		if p.TextChecksum != 0 && p.TextChecksum != Checksum(p.Text) {
			return errs.Newf(errs.BadFrame, "the progress of item %s of job %s consists of parts of several", p.Item, p.Job)
		}
		s.applyProgress(&p)
		return nil
	}
	return errs.Newf(errs.BadFrame, "record %q is of an unknown kind", value.key)
}

// isOfStoredJob reports whether a record is one of several chunks of a job that is stored. Applied again, it would be the
// first chunk of a value that never becomes complete.
func (s *State) isOfStoredJob(r platform.KeyedRecord) bool {
	i, n, err := chunkHeader(r)
	if err != nil || n == 1 {
		return false
	}
	key, attempt := splitChunkKey(r.Key, i)
	kind, id, _ := strings.Cut(key, "/")
	js, isKnown := s.jobs[id]
	return kind == kindJob && isKnown && js.job != nil && js.attempt == attempt
}

// decodeAndApply decodes a value from CBOR and passes it to applyValue. Errors: errs.BadFrame.
func decodeAndApply[T any](value []byte, applyValue func(*T)) error {
	v := new(T)
	if err := decMode.Unmarshal(value, v); err != nil {
		return errs.Newf(errs.BadFrame, "decode backlog record: %v", err)
	}
	applyValue(v)
	return nil
}

// applyTombstone applies the deletion of a key. The tombstone of a job's plain key removes the whole job from the state,
// that of any of a job's chunks those of its attempt that wait for others. Other tombstones have no effect: a job's other
// records are deleted with it, and progress is only deleted once it is obsolete.
func (s *State) applyTombstone(recordKey string) {
	kind, id, _ := strings.Cut(recordKey, "/")
	if kind != kindJob {
		return
	}
	if key, attempt, ok := splitAttemptKey(recordKey); ok {
		s.chunks.drop(valueID{key, attempt})
		return
	}
	key, _, isChunk := strings.Cut(recordKey, chunkSeparator)
	s.chunks.drop(valueID{key: key})
	if js, isKnown := s.jobs[id]; isKnown && !isChunk {
		s.jobBytes -= js.bytes
		delete(s.jobs, id)
	}
}

// IncompleteJob is an attempt to store a job of which the state contains some chunks, but not all.
type IncompleteJob struct {
	Job     string // id of the job
	Attempt string // empty if an earlier software version has written the chunks
	// Tombstones delete the chunks.
	Tombstones []platform.KeyedRecord
}

// IncompleteJobs returns the attempts to store jobs that are not complete, in no particular order. Their submissions are
// under way or have failed.
func (s *State) IncompleteJobs() []IncompleteJob {
	var list []IncompleteJob
	for id, parts := range s.chunks.partial {
		kind, job, _ := strings.Cut(id.key, "/")
		if kind != kindJob {
			continue
		}
		if _, isStored := s.Job(job); isStored && id.attempt == "" {
			continue // the tombstone of the first chunk would delete the job
		}
		incomplete := IncompleteJob{Job: job, Attempt: id.attempt}
		for i, part := range parts {
			if part != nil {
				incomplete.Tombstones = append(incomplete.Tombstones, platform.KeyedRecord{Key: attemptChunkKey(id.key, id.attempt, i)})
			}
		}
		list = append(list, incomplete)
	}
	return list
}

// jobStateFor returns the state of a job and adds an empty one for a new id.
func (s *State) jobStateFor(id string) *jobState {
	js, ok := s.jobs[id]
	if !ok {
		js = &jobState{doneItems: make(map[string]bool), progress: make(map[string]Progress)}
		s.jobs[id] = js
	}
	return js
}

func (s *State) applyJob(j *Job, value assembled) {
	js := s.jobStateFor(j.ID)
	if js.job == nil {
		js.job, js.attempt, js.chunks, js.bytes = j, value.attempt, value.chunks, j.Bytes()
		s.jobBytes += js.bytes
	}
}

// JobBytes returns about how much memory the jobs take, with the parts of those that are being submitted, in bytes.
func (s *State) JobBytes() int64 { return s.jobBytes + s.chunks.bytes }

// HasChunks reports whether the given chunks of a value that is not complete yet have been applied and not been deleted
// since.
func (s *State) HasChunks(records []platform.KeyedRecord) bool {
	for _, r := range records {
		i, _, err := chunkHeader(r)
		key, attempt := splitChunkKey(r.Key, i)
		parts := s.chunks.partial[valueID{key, attempt}]
		if err != nil || i >= len(parts) || parts[i] == nil {
			return false
		}
	}
	return true
}

func (s *State) applyCancel(id *string) {
	js := s.jobStateFor(*id)
	js.isCancelled = true
	clear(js.progress)
}

func (s *State) applyResult(r *Result) {
	js := s.jobStateFor(r.Job)
	for len(js.results) <= r.Position {
		js.results = append(js.results, nil)
	}
	if js.results[r.Position] == nil {
		js.results[r.Position] = r
		js.doneItems[r.Item] = true
		delete(js.progress, r.Item)
	}
}

func (s *State) applyProgress(p *Progress) {
	js := s.jobStateFor(p.Job)
	if !js.doneItems[p.Item] && !js.isCancelled {
		merged := js.progress[p.Item]
		merged.Merge(*p)
		js.progress[p.Item] = merged
	}
}

// Job returns the accepted job with the id, and false if there is none.
func (s *State) Job(id string) (*Job, bool) {
	js, ok := s.jobs[id]
	if !ok || js.job == nil {
		return nil, false
	}
	return js.job, true
}

// IsCancelled reports whether the job's caller has cancelled it.
func (s *State) IsCancelled(id string) bool {
	js, ok := s.jobs[id]
	return ok && js.isCancelled
}

// HasResult reports whether an item of a job has a result.
func (s *State) HasResult(job, item string) bool {
	js, ok := s.jobs[job]
	return ok && js.doneItems[item]
}

// ListedCount returns the number of a job's results before the first position without one. Only these are returned
// to callers.
func (s *State) ListedCount(id string) int {
	js, ok := s.jobs[id]
	if !ok {
		return 0
	}
	if i := slices.Index(js.results, nil); i >= 0 {
		return i
	}
	return len(js.results)
}

// Page returns a page of a job's results that begins at position from. It holds the first result, if there is
// one, and further ones as long as the texts of all of them have at most maxBytes.
func (s *State) Page(id string, from, maxBytes int) ResultPage {
	js, ok := s.jobs[id]
	if !ok || js.job == nil {
		return ResultPage{Next: from}
	}
	page := ResultPage{Total: len(js.job.Items), Next: from}
	size := 0
	for i := from; i < s.ListedCount(id); i++ {
		size += len(js.results[i].Text) + js.results[i].TextSize
		if i > from && size > maxBytes {
			break
		}
		page.Results = append(page.Results, *js.results[i])
		page.Next = i + 1
	}
	return page
}

// Progress returns the stored progress of an item. Only its fields Job and Item are set if there is none.
func (s *State) Progress(job, item string) Progress {
	js, ok := s.jobs[job]
	if !ok {
		return Progress{Job: job, Item: item}
	}
	p := js.progress[item]
	p.Job, p.Item = job, item
	return p
}

// IsProgressObsolete reports whether the progress record with the key is obsolete, because its item has a result or its
// job is cancelled or deleted. It is false for keys of other records.
func (s *State) IsProgressObsolete(key string) bool {
	job, index, ok := parseProgressKey(key)
	if !ok {
		return false
	}
	js, isKnown := s.jobs[job]
	if !isKnown || js.job == nil || js.isCancelled {
		return true
	}
	return index >= len(js.job.Items) || js.doneItems[js.job.Items[index].ID]
}

// QueuedTokens returns the number of tokens of all unfinished items of a workspace's jobs on a route. Items of
// cancelled jobs don't count.
func (s *State) QueuedTokens(workspace, route string) int64 {
	var sum int64
	for _, js := range s.jobs {
		if js.job == nil || js.isCancelled || js.job.Route != route || js.job.Workspace != workspace {
			continue
		}
		for i := range js.job.Items {
			if !js.doneItems[js.job.Items[i].ID] {
				sum += js.job.Items[i].Tokens
			}
		}
	}
	return sum
}

// EachOpenJob calls visit for each job that is not cancelled and has unfinished items.
func (s *State) EachOpenJob(visit func(*Job)) {
	for _, js := range s.jobs {
		if js.job != nil && !js.isCancelled && len(js.doneItems) < len(js.job.Items) {
			visit(js.job)
		}
	}
}

// EachExpiredJob calls visit for each job that was submitted before beforeMs, in milliseconds since 1970, and is
// cancelled or has all its results.
func (s *State) EachExpiredJob(beforeMs int64, visit func(*Job)) {
	for _, js := range s.jobs {
		if js.job == nil || js.job.SubmittedMs >= beforeMs {
			continue
		}
		if js.isCancelled || len(js.doneItems) == len(js.job.Items) {
			visit(js.job)
		}
	}
}

// JobTombstones holds the tombstones that delete a job, its cancellation, its results and their texts, by the
// partition of the store into which they are written.
type JobTombstones struct{ Jobs, Results, Texts []platform.KeyedRecord }

// TombstonesOf returns the tombstones that delete a job; none for an unknown job. It does not change the state.
// Errors: those of EncodeJob.
func (s *State) TombstonesOf(id string) (JobTombstones, error) {
	js, ok := s.jobs[id]
	if !ok || js.job == nil {
		return JobTombstones{}, nil
	}
	var tombstones JobTombstones
	key := joinKey(kindJob, id)
	for i := range js.chunks {
		tombstones.Jobs = append(tombstones.Jobs, platform.KeyedRecord{Key: attemptChunkKey(key, js.attempt, i)})
	}
	if js.attempt != "" {
		tombstones.Jobs = append(tombstones.Jobs, platform.KeyedRecord{Key: key}) // removes the job from the states
	}
	for _, r := range js.results {
		if r == nil {
			continue
		}
		records, err := EncodeResult(r)
		if err != nil {
			return JobTombstones{}, err
		}
		tombstones.Results = append(tombstones.Results, Tombstones(records)...)
		tombstones.Texts = append(tombstones.Texts, r.textTombstones()...)
	}
	if js.isCancelled {
		tombstones.Jobs = append(tombstones.Jobs, platform.KeyedRecord{Key: joinKey(kindCancel, id)})
	}
	return tombstones, nil
}
