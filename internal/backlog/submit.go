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
	// submitTimeout is how long a job's submission is tried before its caller is told to come
	// again: callers wait for 4 s and give a second attempt the same time.
	submitTimeout = 2500 * time.Millisecond
	// tryTimeout is how long one append of a job may take. The store answers within 300 ms even while it is slow; a call that it
	// has not answered by then may be lost, and the same append, under the same condition, does no harm.
	tryTimeout = 600 * time.Millisecond
	// endTimeout is the same as submitTimeout for a job's end.
	endTimeout = 3 * time.Second
	// fullRetry is when a job should come again that does not fit into its route's limit.
	fullRetry = time.Second
	// writePause is the time between writes that fail.
	writePause = 60 * time.Millisecond
	// maxCallBytes is the most that one append may hold, less room for framing.
	maxCallBytes = 2<<20 - 64<<10
)

// Submit accepts a job. It returns nil once the job lies in the store. A job that comes again is
// accepted again. Errors: errs.RateLimited (it does not fit into its workspace's limit on the route), errs.LogDown and
// errs.LogBusy (it is not in the store), errs.AppendUnknown (it may be or may get there).
//
// All jobs go through one partition, each under the condition that its process has read all
// before it: so the limit holds across processes, and an append whose answer was lost is either
// found by reading on or can no longer be done.
func (m *Manager) Submit(ctx context.Context, route *serving.Route, job *backlog.Job) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if len(job.ID) > backlog.MaxIDBytes {
		return errs.Newf(errs.BadRequest, "the job's id has over %d bytes", backlog.MaxIDBytes)
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
	m.log.Log(levelOf(err), "job", "request", job.ID, "workspace", job.Workspace, "route", route.Name, "items", len(job.Items), "tokens", job.Tokens(),
		"queued", s.queued, "limit", route.MaxQueued, "end", s.at, "tries", s.tries, "outcome", outcomeOf(err))
	m.count("job.submit", err)
	m.logItems(job)
	return err
}

// logItems writes what has come in as a job's items.
func (m *Manager) logItems(job *backlog.Job) {
	now := time.Now()
	for i := range job.Items {
		item := &job.Items[i]
		m.bodies.Info(now, "item received", "job", job.ID, "item", item.ID, "uri", item.URI, "body_bytes", len(item.Body), "body_sum", bodySum(item.Body))
	}
}

// submission is one job on its way into the store.
type submission struct {
	m       *Manager
	route   *serving.Route
	job     *backlog.Job
	records []platform.KeyedRecord
	at      uint64 // where the partition must end
	queued  int64  // tokens that the route held
	tries   int
	unknown bool // an append without an answer may have been done
}

func (s *submission) run(ctx context.Context) error {
	s.m.catchUpLazy(ctx, jobPartition)
	if s.known() {
		return nil
	}
	if err := s.large(ctx); err != nil {
		return err
	}
	for {
		done, err := s.try(ctx)
		if done {
			return err
		}
		if !sleep.For(ctx, pauseAfter(err)) {
			return s.giveUp(err)
		}
	}
}

// pauseAfter is short when only another job came first.
func pauseAfter(err error) time.Duration {
	var moved *platform.EndMoved
	if errors.As(err, &moved) {
		return 0
	}
	return writePause
}

// giveUp is the failure after the last try.
func (s *submission) giveUp(err error) error {
	e := errs.As(err)
	if s.unknown {
		return errs.Newf(errs.AppendUnknown, "the job may have been accepted: %v", err).WithRan(errs.RanUnknown)
	}
	if e.Type != errs.LogBusy {
		e = errs.Newf(errs.LogDown, "the job was not written: %v", err)
	}
	return e.WithRan(errs.RanNo).WithRetry(writePause)
}

// known says whether the job has been accepted already.
func (s *submission) known() bool {
	ok := false
	s.m.replica.with(func(st *backlog.State) { _, ok = st.Job(s.job.ID) })
	return ok
}

// try writes the job if it fits. done says that err is the answer.
func (s *submission) try(ctx context.Context) (done bool, err error) {
	s.tries++
	next, loaded := s.m.replica.position(jobPartition)
	if !loaded {
		return false, errs.New(errs.LogDown, "the backlog has not been read yet")
	}
	if next > s.at {
		s.unknown = false // all up to next has been read, so an append at s.at is in there or void
	}
	fits := true
	s.m.replica.with(func(st *backlog.State) {
		if _, known := st.Job(s.job.ID); known {
			done = true
			return
		}
		fits = s.fits(st)
	})
	if done {
		return true, nil
	}
	if !fits && !s.unknown {
		return s.full(ctx)
	}
	s.at = next
	return s.judge(ctx, s.append(ctx))
}

// append sends the job's append once. The condition is a copy: a call that is given up may still be under way when the next one
// is made, and must not be done under the next one's condition.
func (s *submission) append(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	at := s.at
	_, err := s.m.store.Append(ctx, platform.Append{Partition: jobPartition, Records: s.records, At: &at})
	return err
}

// full refuses a job that does not fit, once the state is known to be fresh.
func (s *submission) full(ctx context.Context) (bool, error) {
	if s.m.replica.age(jobPartition) > freshEnough || s.m.replica.age(resultPartition) > freshEnough {
		if err := s.m.refresh(ctx); err != nil {
			return false, err
		}
		fits := false
		s.m.replica.with(func(st *backlog.State) { fits = s.fits(st) })
		if fits {
			return false, nil
		}
	}
	return true, errs.Newf(errs.RateLimited, "the workspace has %d of %d tokens on the route", s.queued, s.route.MaxQueued).WithRetry(fullRetry)
}

// fits notes what the route holds and says whether the job fits beside it.
func (s *submission) fits(st *backlog.State) bool {
	s.queued = st.Queued(s.job.Workspace, s.route.Name)
	return s.route.MaxQueued == 0 || s.queued+s.job.Tokens() <= s.route.MaxQueued
}

// judge reads what an append has done.
func (s *submission) judge(ctx context.Context, err error) (bool, error) {
	if err == nil {
		s.m.replica.takeOwn(jobPartition, s.at, s.records)
		return true, nil
	}
	var moved *platform.EndMoved
	if errors.As(err, &moved) {
		// Somebody wrote first, or this job's own append whose answer was lost. Reading on
		// tells; after that, nothing that was sent before can still be done.
		if readErr := s.m.replica.catchUp(ctx, jobPartition); readErr != nil {
			return false, readErr
		}
		s.unknown = false
		return false, err
	}
	if errs.Is(err, errs.AppendUnknown) {
		s.unknown = true
	}
	return false, err
}

// large writes the first parts of a job that is too large for one append. They mean nothing
// without the last part, which is written under the condition.
func (s *submission) large(ctx context.Context) error {
	for {
		n := callSize(s.records)
		if n == len(s.records) {
			return nil
		}
		_, err := s.m.store.Append(ctx, platform.Append{Partition: jobPartition, Records: s.records[:n]})
		if err != nil {
			return errs.Newf(errs.LogDown, "a large job was not written: %v", err).WithRan(errs.RanNo).WithRetry(writePause)
		}
		s.records = s.records[n:]
	}
}

// End takes a job's end. It returns nil once the end lies in the store. Errors: errs.NotFound, errs.Unauthenticated,
// errs.LogDown, errs.AppendUnknown.
func (m *Manager) End(ctx context.Context, caller serving.Caller, id string) error {
	id = backlog.ScopedID(caller.Workspace, id)
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	err := m.end(ctx, caller, id)
	m.log.Log(levelOf(err), "job end", "job", id, "outcome", outcomeOf(err))
	m.count("job.end", err)
	return err
}

func (m *Manager) end(ctx context.Context, caller serving.Caller, id string) error {
	if err := m.mustExist(ctx, caller, id); err != nil {
		return err
	}
	ended := false
	m.replica.with(func(st *backlog.State) { ended = st.Ended(id) })
	if ended {
		return nil
	}
	records, err := backlog.EncodeEnd(id)
	if err != nil {
		return err
	}
	for {
		// An end that is written twice means the same, so a lost answer needs no care.
		_, err := m.store.Append(ctx, platform.Append{Partition: jobPartition, Records: records})
		if err == nil {
			m.replica.applyOwn(records)
			return nil
		}
		if !sleep.For(ctx, writePause) {
			return errs.Newf(errs.AppendUnknown, "the end may have been written: %v", err)
		}
	}
}

// levelOf is the level of a log line about a call that ended with err.
func levelOf(err error) hclog.Level {
	if err != nil {
		return hclog.Warn
	}
	return hclog.Info
}

// outcomeOf is the word of a log line for err.
func outcomeOf(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}
