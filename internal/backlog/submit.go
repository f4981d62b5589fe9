package backlog

import (
	"context"
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
	// submitTimeout bounds a job's submission before its caller is asked to retry: callers wait for 4 s and
	// allow a second attempt the same time.
	submitTimeout = 2500 * time.Millisecond
	// appendTimeout bounds one append of a job. The store answers within 300 ms even while it is slow; a call
	// without an answer by then may be lost, and repeating the same append under the same condition is
	// harmless.
	appendTimeout = 600 * time.Millisecond
	// cancelTimeout bounds a job's cancellation, as submitTimeout bounds its submission.
	cancelTimeout = 3 * time.Second
	// limitRetryDelay is the retry delay for a job that exceeds its route's limit.
	limitRetryDelay = time.Second
	// writeRetryPause is the pause after a failed write.
	writeRetryPause = 60 * time.Millisecond
	// maxAppendBytes bounds the records of one append, leaving room for framing.
	maxAppendBytes = 2<<20 - 64<<10
)

// Submit accepts a job. It returns nil once the job is in the store; submitting a job again is accepted as
// well. Errors: errs.RateLimited (the job exceeds its workspace's limit on the route), errs.LogDown and
// errs.LogBusy (the job is not in the store), errs.AppendUnknown (the job may be in the store or may still be
// written).
//
// All jobs go through one partition, each on the condition that its process has read all earlier ones. So the
// limit holds across processes, and an append with a lost answer is either found by reading on or can no
// longer succeed.
func (m *Manager) Submit(ctx context.Context, route *serving.Route, job *backlog.Job) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if len(job.ID) > backlog.MaxIDBytes {
		return errs.Newf(errs.BadRequest, "the job's id is longer than %d bytes", backlog.MaxIDBytes)
	}
	scoped := *job
	scoped.ID = backlog.ScopedID(job.Workspace, job.ID)
	job = &scoped
	records, err := backlog.EncodeJob(job)
	if err != nil {
		return err
	}
	s := &submission{m: m, route: route, job: job, records: records}
	err = s.run(ctx)
	m.log.Log(logLevel(err), "job", "request", job.ID, "workspace", job.Workspace, "route", route.Name, "items", len(job.Items), "tokens", job.Tokens(),
		"queued", s.queuedTokens, "limit", route.MaxQueued, "end", s.expectedEnd, "tries", s.tries, "outcome", logOutcome(err))
	m.countOutcome("job.submit", err)
	m.logItems(job)
	return err
}

// logItems logs the received items of a job.
func (m *Manager) logItems(job *backlog.Job) {
	now := time.Now()
	for i := range job.Items {
		item := &job.Items[i]
		m.bodyLog.Info(now, "item received", "job", job.ID, "item", item.ID, "uri", item.URI, "body_bytes", len(item.Body), "body_sum", bodyChecksum(item.Body))
	}
}

// submission is one attempt to write a job into the store.
type submission struct {
	m            *Manager
	route        *serving.Route
	job          *backlog.Job
	records      []platform.KeyedRecord
	expectedEnd  uint64 // end of the partition that the append requires
	queuedTokens int64  // tokens of the workspace that are queued on the route
	tries        int
	mayBeStored  bool // an append without an answer may have succeeded
}

func (s *submission) run(ctx context.Context) error {
	s.m.catchUpIfStale(ctx, jobPartition)
	if s.isAccepted() {
		return nil
	}
	if err := s.writeLeadingChunks(ctx); err != nil {
		return err
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

// retryPauseAfter returns the pause before the next attempt; 0 if another job was merely written first.
func retryPauseAfter(err error) time.Duration {
	var moved *platform.EndMoved
	if errors.As(err, &moved) {
		return 0
	}
	return writeRetryPause
}

// finalError returns the error of the submission after its last attempt.
func (s *submission) finalError(err error) error {
	e := errs.As(err)
	if s.mayBeStored {
		return errs.Newf(errs.AppendUnknown, "the job may have been accepted: %v", err).WithRan(errs.RanUnknown)
	}
	if e.Type != errs.LogBusy {
		e = errs.Newf(errs.LogDown, "the job was not written: %v", err)
	}
	return e.WithRan(errs.RanNo).WithRetry(writeRetryPause)
}

// isAccepted reports whether the job has been accepted already.
func (s *submission) isAccepted() bool {
	isKnown := false
	s.m.replica.withState(func(st *backlog.State) { _, isKnown = st.Job(s.job.ID) })
	return isKnown
}

// tryAppend writes the job if it fits the limit. done reports that err is the final answer.
func (s *submission) tryAppend(ctx context.Context) (done bool, err error) {
	s.tries++
	next, isLoaded := s.m.replica.nextOffset(jobPartition)
	if !isLoaded {
		return false, errs.New(errs.LogDown, "the backlog has not been loaded yet")
	}
	if next > s.expectedEnd {
		// Everything before next has been read: an append at s.expectedEnd has been seen or can't succeed.
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
		return s.refuseIfFull(ctx)
	}
	s.expectedEnd = next
	return s.handleAppendResult(ctx, s.append(ctx))
}

// append sends the job's append once. The condition is a copy: an abandoned call may still be under way
// when the next one is made, and must not be done under the next one's condition.
func (s *submission) append(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	at := s.expectedEnd
	_, err := s.m.store.Append(ctx, platform.Append{Partition: jobPartition, Records: s.records, At: &at})
	return err
}

// refuseIfFull refuses a job that exceeds the limit, once the state is known to be current.
func (s *submission) refuseIfFull(ctx context.Context) (bool, error) {
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
	return true, errs.Newf(errs.RateLimited, "the workspace has %d of %d tokens on the route", s.queuedTokens, s.route.MaxQueued).WithRetry(limitRetryDelay)
}

// fitsLimit updates queuedTokens and reports whether the job fits the limit beside them.
func (s *submission) fitsLimit(st *backlog.State) bool {
	s.queuedTokens = st.Queued(s.job.Workspace, s.route.Name)
	return s.route.MaxQueued == 0 || s.queuedTokens+s.job.Tokens() <= s.route.MaxQueued
}

// handleAppendResult evaluates the result of an append.
func (s *submission) handleAppendResult(ctx context.Context, err error) (bool, error) {
	if err == nil {
		s.m.replica.applyOwnAt(jobPartition, s.expectedEnd, s.records)
		return true, nil
	}
	var moved *platform.EndMoved
	if errors.As(err, &moved) {
		// Another writer came first, or this job's own append whose answer was lost. Reading on shows which;
		// after that, no earlier append of this submission can succeed.
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

// writeLeadingChunks writes all but the last chunks of a job that is too large for one append. They have no
// effect without the last ones, which are written on the condition.
func (s *submission) writeLeadingChunks(ctx context.Context) error {
	for {
		n := recordsPerAppend(s.records)
		if n == len(s.records) {
			return nil
		}
		_, err := s.m.store.Append(ctx, platform.Append{Partition: jobPartition, Records: s.records[:n]})
		if err != nil {
			return errs.Newf(errs.LogDown, "failed to write the first chunks of a large job: %v", err).WithRan(errs.RanNo).WithRetry(writeRetryPause)
		}
		s.records = s.records[n:]
	}
}

// End cancels a job. It returns nil once the cancellation is in the store. Errors: errs.NotFound,
// errs.Unauthenticated, errs.LogDown, errs.AppendUnknown.
func (m *Manager) End(ctx context.Context, caller serving.Caller, id string) error {
	id = backlog.ScopedID(caller.Workspace, id)
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := m.cancelJob(ctx, caller, id)
	m.log.Log(logLevel(err), "job end", "job", id, "outcome", logOutcome(err))
	m.countOutcome("job.end", err)
	return err
}

func (m *Manager) cancelJob(ctx context.Context, caller serving.Caller, id string) error {
	if err := m.ensureJobExists(ctx, caller, id); err != nil {
		return err
	}
	isCancelled := false
	m.replica.withState(func(st *backlog.State) { isCancelled = st.Ended(id) })
	if isCancelled {
		return nil
	}
	records, err := backlog.EncodeEnd(id)
	if err != nil {
		return err
	}
	for {
		// Cancellation is idempotent, so an append with a lost answer is repeated.
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

// logLevel returns the log level for a call that returned err.
func logLevel(err error) hclog.Level {
	if err != nil {
		return hclog.Warn
	}
	return hclog.Info
}

// logOutcome returns the outcome field of a log line for err.
func logOutcome(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}
