package backlog

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

const (
	// submitTimeout bounds the submission of a job. After it the caller is asked to retry: callers wait for 4 s,
	// and as long for a second attempt.
	submitTimeout = 2500 * time.Millisecond
	// appendTimeout bounds one append of a job. The store answers within 300 ms even while it is slow. A call that
	// has no answer by then may be lost; it is safe to repeat the same append under the same condition.
	appendTimeout = 600 * time.Millisecond
	// cancelTimeout bounds the cancellation of a job. After it the caller is asked to retry.
	cancelTimeout = 3 * time.Second
	// limitRetryDelay is the retry delay that the caller of a job receives if the job exceeds its route's limit.
	limitRetryDelay = time.Second
	// memoryRetryDelay is the retry delay that the caller of a job receives while the jobs that are kept leave no memory for it.
	memoryRetryDelay = 2 * time.Second
	// writeRetryPause is the pause after a failed write to the store.
	writeRetryPause = 60 * time.Millisecond
	// maxAppendBytes is the maximum size of the records of one append: 2 MiB less 64 KiB for framing.
	maxAppendBytes = 2<<20 - 64<<10
)

// Submit writes a job to the store and returns nil once it is there. A job with the id of an accepted one is
// not written again; that is a success as well. Errors: errs.BadRequest (the id is too long),
// errs.BodyTooLarge, errs.RateLimited (the job exceeds its workspace's limit on the route), errs.ProcessFull (the jobs
// that are kept leave no memory for it), errs.LogDown and
// errs.LogBusy (the job is not in the store), errs.AppendUnknown (the job may be in the store or may still be
// written).
//
// All jobs are written to one partition, each on the condition that its writer has read all earlier records.
// So the limit holds across processes. A job whose append was not answered is either found in the later
// records, or its append can no longer succeed. A job that is too large for one append is stored by its last one; the
// records before it carry an id of this attempt, so that they are never combined with those of another one.
func (m *Manager) Submit(ctx context.Context, route *serving.Route, job *backlog.Job) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if len(job.ID) > backlog.MaxIDBytes {
		return errs.Newf(errs.BadRequest, "the job's id is longer than %d bytes", backlog.MaxIDBytes)
	}
	scopedJob := *job
	scopedJob.ID = backlog.ScopedID(job.Workspace, job.ID)
	job = &scopedJob
	records, err := backlog.EncodeJob(job)
	if err != nil {
		return err
	}
	if recordsPerAppend(records) < len(records) {
		records = backlog.WithAttempt(records, rand.Text())
	}
	s := &submission{m: m, route: route, job: job}
	s.leading, s.records = splitAppends(records)
	err = s.run(ctx)
	if err != nil && s.hasWrittenChunks && !s.mayBeStored {
		m.discardChunks(s.leading)
	}
	m.log.Log(logLevel(err), "job", "request", job.ID, "workspace", job.Workspace, "route", route.Name, "items", len(job.Items), "tokens", job.Tokens(),
		"queued", s.queuedTokens, "limit", route.MaxQueuedTokens, "kept_bytes", s.keptBytes, "end", s.expectedEnd, "tries", s.tries, "outcome", logOutcome(err))
	m.countOutcome("job.submit", err)
	m.logItems(job)
	return err
}

// logItems logs a line for each item of a submitted job.
func (m *Manager) logItems(job *backlog.Job) {
	now := time.Now()
	for i := range job.Items {
		item := &job.Items[i]
		m.bodyLog.Info(now, "item received", "job", job.ID, "item", item.ID, "uri", item.URI, "body_bytes", len(item.Body), "body_sum", bodyChecksum(item.Body))
	}
}

// submission is one call of Submit.
type submission struct {
	m     *Manager
	route *serving.Route
	job   *backlog.Job
	// leading are the records of a job that is too large for one append, but for the last ones, by append; empty for any other
	// job.
	leading      [][]platform.KeyedRecord
	records      []platform.KeyedRecord // those of the last append, which stores the job
	expectedEnd  uint64                 // the last append succeeds only if this is the end of the partition
	queuedTokens int64                  // tokens of unfinished items of the workspace on the route, without this job
	keptBytes    int64                  // memory that all jobs take, without this one; see backlog.State.JobBytes
	tries        int                    // number of calls of tryAppend
	mayBeStored  bool                   // an append that was not answered may have succeeded or may still succeed
	// hasWrittenChunks is set once an append of leading records has been sent.
	hasWrittenChunks bool
}

// run writes the job unless it has been accepted already, and retries until ctx ends.
func (s *submission) run(ctx context.Context) error {
	s.m.catchUpIfStale(ctx, jobPartition)
	if s.isAccepted() {
		return nil
	}
	for {
		done, err := s.tryAppend(ctx)
		if done {
			return err
		}
		if !sleep.For(ctx, retryPauseAfter(err)) {
			return s.finalError(err)
		}
	}
}

// retryPauseAfter returns the pause before the next attempt after err; 0 without an error, and if the append failed only
// because another record was written first.
func retryPauseAfter(err error) time.Duration {
	var moved *platform.EndMoved
	if err == nil || errors.As(err, &moved) {
		return 0
	}
	return writeRetryPause
}

// finalError returns the error that the caller gets after the last attempt, which failed with err; nil if it has only
// prepared the next one.
func (s *submission) finalError(err error) error {
	if err == nil {
		err = errs.New(errs.LogBusy, "the time for the submission was over")
	}
	e := errs.As(err)
	if s.mayBeStored {
		return errs.Newf(errs.AppendUnknown, "the job may have been accepted: %v", err).WithRan(errs.RanUnknown)
	}
	if e.Type != errs.LogBusy {
		e = errs.Newf(errs.LogDown, "the job was not written: %v", err)
	}
	return e.WithRan(errs.RanNo).WithRetry(writeRetryPause)
}

// isAccepted reports whether the state contains the job.
func (s *submission) isAccepted() bool {
	isKnown := false
	s.m.replica.withState(func(st *backlog.State) { _, isKnown = st.Job(s.job.ID) })
	return isKnown
}

// tryAppend makes one attempt to write the job, if it fits the limit. If done is true, err is the result of the
// submission; otherwise another attempt may follow.
func (s *submission) tryAppend(ctx context.Context) (done bool, err error) {
	s.tries++
	next, isLoaded := s.m.replica.nextOffset(jobPartition)
	if !isLoaded {
		return false, errs.New(errs.LogDown, "this process has not finished its first load of batch jobs and results")
	}
	if next > s.expectedEnd {
		// All records before next have been read: the job is among them, or its append at s.expectedEnd can no
		// longer succeed.
		s.mayBeStored = false
	}
	isWithinLimit := true
	s.m.replica.withState(func(st *backlog.State) {
		if _, isKnown := st.Job(s.job.ID); isKnown {
			done = true
			return
		}
		isWithinLimit = s.fitsLimit(st)
	})
	if done {
		return true, nil
	}
	if !isWithinLimit && !s.mayBeStored {
		return s.rejectIfOverLimit(ctx)
	}
	if missing := s.missingLeadingChunks(); missing != nil {
		return false, s.writeLeadingChunks(ctx, missing)
	}
	s.expectedEnd = next
	return s.handleAppendResult(ctx, s.append(ctx))
}

// append sends the append of the job once, on the condition that the partition still ends at s.expectedEnd.
// The condition is passed as a copy: a call that was abandoned may still be in progress when the next one is
// made, and must not use the condition of the next one.
func (s *submission) append(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	expectedEnd := s.expectedEnd
	_, err := s.m.store.Append(ctx, platform.Append{Partition: jobPartition, Records: s.records, At: &expectedEnd})
	return err
}

// rejectIfOverLimit returns the rejection of a job that exceeds the limit. If the state is older than
// maxAnswerAge, it is refreshed first. The results are those of tryAppend: another attempt follows if the
// refresh fails or the job then fits the limit.
func (s *submission) rejectIfOverLimit(ctx context.Context) (bool, error) {
	if s.m.replica.stateAge(jobPartition) > maxAnswerAge || s.m.replica.stateAge(resultPartition) > maxAnswerAge {
		if err := s.m.refresh(ctx); err != nil {
			return false, err
		}
		isWithinLimit := false
		s.m.replica.withState(func(st *backlog.State) { isWithinLimit = s.fitsLimit(st) })
		if isWithinLimit {
			return false, nil
		}
	}
	if !s.fitsMemory() {
		return true, errs.Newf(errs.ProcessFull, "the jobs that are kept take %d bytes of memory, which leaves too little for a job of %d bytes", s.keptBytes, s.job.Bytes()).WithRetry(memoryRetryDelay)
	}
	return true, errs.Newf(errs.RateLimited, "the workspace has %d queued tokens on the route, where its limit is %d; the job would exceed the limit", s.queuedTokens, s.route.MaxQueuedTokens).WithRetry(limitRetryDelay)
}

// fitsLimit updates queuedTokens and keptBytes from the state and reports whether these and the job are within the route's limit
// and the memory for jobs.
func (s *submission) fitsLimit(st *backlog.State) bool {
	s.queuedTokens = st.QueuedTokens(s.job.Workspace, s.route.Name)
	s.keptBytes = st.JobBytes()
	for _, records := range s.leading {
		if st.HasChunks(records) {
			s.keptBytes -= recordBytes(records)
		}
	}
	isWithinLimit := s.route.MaxQueuedTokens == 0 || s.queuedTokens+s.job.Tokens() <= s.route.MaxQueuedTokens
	return isWithinLimit && s.fitsMemory()
}

// fitsMemory reports whether the job has room beside the jobs that are kept. Every process keeps all jobs.
func (s *submission) fitsMemory() bool {
	return s.m.opts.MaxJobBytes == nil || s.keptBytes+s.job.Bytes() <= s.m.opts.MaxJobBytes()
}

// recordBytes returns the size of the values of records.
func recordBytes(records []platform.KeyedRecord) (sum int64) {
	for _, r := range records {
		sum += int64(len(r.Value))
	}
	return sum
}

// handleAppendResult evaluates the error of an append. Its results are those of tryAppend.
func (s *submission) handleAppendResult(ctx context.Context, err error) (bool, error) {
	if err == nil {
		s.m.replica.applyOwnAt(jobPartition, s.expectedEnd, s.records)
		return true, nil
	}
	var moved *platform.EndMoved
	if errors.As(err, &moved) {
		// Another record was written first, or an earlier append of this job whose answer was lost. The new records
		// show which; once they are read, no earlier append of this submission can succeed.
		if readErr := s.m.replica.catchUp(ctx, jobPartition); readErr != nil {
			return false, readErr
		}
		s.mayBeStored = false
		return false, err
	}
	if errs.Is(err, errs.AppendUnknown) {
		s.mayBeStored = true
	}
	return false, err
}

// missingLeadingChunks returns the records of the first append of the job, but for the last one, that the state does not
// contain; nil if it contains all. They may have been deleted since they were written. The last append stores the job only
// if the partition still ends where it did in that state.
func (s *submission) missingLeadingChunks() (missing []platform.KeyedRecord) {
	s.m.replica.withState(func(st *backlog.State) {
		for _, records := range s.leading {
			if !st.HasChunks(records) {
				missing = records
				return
			}
		}
	})
	return missing
}

// writeLeadingChunks writes records that have no effect without the last ones. If the append is not answered, it reads what
// the store has: the records are there, or are written again, under the same keys.
func (s *submission) writeLeadingChunks(ctx context.Context, records []platform.KeyedRecord) error {
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s.hasWrittenChunks = true
	done, err := s.m.store.Append(appendCtx, platform.Append{Partition: jobPartition, Records: records})
	if errs.Is(err, errs.AppendUnknown) {
		return s.m.replica.catchUp(ctx, jobPartition)
	}
	if err != nil {
		return err
	}
	s.m.replica.applyOwnAt(jobPartition, done.First, records)
	return nil
}

// splitAppends divides records into those of the last append and those of the appends before.
func splitAppends(records []platform.KeyedRecord) (leading [][]platform.KeyedRecord, last []platform.KeyedRecord) {
	for {
		n := recordsPerAppend(records)
		if n == len(records) {
			return leading, records
		}
		leading, records = append(leading, records[:n]), records[n:]
	}
}

// Cancel cancels the caller's job. It returns nil once the cancellation is in the store; a second cancellation
// is a success as well. Errors: errs.NotFound, errs.Unauthenticated, errs.LogDown, errs.AppendUnknown (the
// cancellation may have been stored).
func (m *Manager) Cancel(ctx context.Context, caller serving.Caller, id string) error {
	id = backlog.ScopedID(caller.Workspace, id)
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := m.cancelJob(ctx, caller, id)
	m.log.Log(logLevel(err), "job end", "job", id, "outcome", logOutcome(err))
	m.countOutcome("job.end", err)
	return err
}

// cancelJob cancels the job with a scoped id. Errors: those of Cancel.
func (m *Manager) cancelJob(ctx context.Context, caller serving.Caller, id string) error {
	if err := m.ensureJobExists(ctx, caller, id); err != nil {
		return err
	}
	isCancelled := false
	m.replica.withState(func(st *backlog.State) { isCancelled = st.IsCancelled(id) })
	if isCancelled {
		return nil
	}
	records, err := backlog.EncodeCancel(id)
	if err != nil {
		return err
	}
	for {
		// A cancellation may be stored twice without effect, so an append whose answer was lost is repeated.
		_, err := m.store.Append(ctx, platform.Append{Partition: jobPartition, Records: records})
		if err == nil {
			m.replica.applyOwn(records)
			return nil
		}
		if !sleep.For(ctx, writeRetryPause) {
			return errs.Newf(errs.AppendUnknown, "the cancellation may have been written: %v", err)
		}
	}
}

// logLevel returns the level of the log line about a call that returned err.
func logLevel(err error) hclog.Level {
	if err != nil {
		return hclog.Warn
	}
	return hclog.Info
}

// logOutcome returns the outcome field of the log line about a call that returned err.
func logOutcome(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}
