package backlog

import (
	"context"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/workspace"
)

const (
	// maxAnswerAge is the maximum age of the state from which this process answers that a job has no further
	// results, or rejects a job that exceeds a limit. Callers expect to see what another process has returned to
	// them a second ago.
	maxAnswerAge = 800 * time.Millisecond
	// refreshTimeout bounds the reads from the store that an answer to a caller waits for.
	refreshTimeout = 700 * time.Millisecond
	// maxPageBytes is the maximum size of the texts of a page of results; the first result may be larger.
	maxPageBytes = 900 << 10
	// uncertainRetryDelay is the retry delay that a caller receives if the answer to its call can't be
	// determined, because reading the store failed.
	uncertainRetryDelay = 300 * time.Millisecond
)

// refresh reads the partitions of jobs and results up to the ends that they had when it was called. Errors:
// errs.LogDown.
func (m *Manager) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := m.replica.catchUp(ctx, jobPartition); err != nil {
		return uncertainError(err)
	}
	if err := m.replica.catchUp(ctx, resultPartition); err != nil {
		return uncertainError(err)
	}
	return nil
}

// uncertainError returns the error for a call whose answer can't be determined because reading the store
// failed with err. Its type is errs.LogDown.
func uncertainError(err error) error {
	return errs.Newf(errs.LogDown, "can't read the batch jobs and their results from the store: %v", err).WithRan(errs.RanNo).WithRetry(uncertainRetryDelay)
}

// ensureJobExists returns nil if the job with the scoped id exists. It refreshes the state before it returns
// that the job does not. Errors: errs.NotFound, errs.Unauthenticated (instead of errs.NotFound, for a caller
// without a key), errs.LogDown.
func (m *Manager) ensureJobExists(ctx context.Context, caller serving.Caller, id string) error {
	isKnown := func() (ok bool) {
		m.replica.withState(func(st *backlog.State) { _, ok = st.Job(id) })
		return ok
	}
	if isKnown() {
		return nil
	}
	if err := m.refresh(ctx); err != nil {
		return err
	}
	if isKnown() {
		return nil
	}
	if caller.IsUnidentified {
		return workspace.MissingKey()
	}
	return errs.Newf(errs.NotFound, "batch job %q does not exist", id)
}

// Results returns a page of the results of the caller's job that begins at position from. If there is no
// result there yet, it waits for one, at most for the given time and until the process must answer. Errors: errs.NotFound,
// errs.Unauthenticated, errs.LogDown (this process can't read the results now).
func (m *Manager) Results(ctx context.Context, caller serving.Caller, id string, from int, wait time.Duration) (backlog.ResultPage, error) {
	id = backlog.ScopedID(caller.Workspace, id)
	if err := m.ensureJobExists(ctx, caller, id); err != nil {
		return backlog.ResultPage{}, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.catchUpIfStale(ctx, resultPartition)
	defer m.replica.addWaiter(resultPartition)()
	for {
		var page backlog.ResultPage
		changed := m.replica.withState(func(st *backlog.State) { page = st.Page(id, from, maxPageBytes) })
		if len(page.Results) > 0 || from >= page.Total {
			return m.fillTexts(ctx, page)
		}
		select {
		case <-changed:
			continue
		case <-waitCtx.Done():
		case <-m.opts.Ending:
		}
		return m.currentPage(ctx, id, from)
	}
}

// catchUpIfStale reads the new records of a partition if this process does not follow it and its state is
// older than maxAnswerAge. Records that were read before stay valid, so a failure is only logged.
func (m *Manager) catchUpIfStale(ctx context.Context, p platform.Partition) {
	if m.isMember.Load() || m.replica.stateAge(p) <= maxAnswerAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := m.replica.catchUp(ctx, p); err != nil {
		m.log.Info("news not read before an answer", "topic", p.Topic, "age_ms", m.replica.stateAge(p).Milliseconds(), "error", err)
	}
}

// currentPage returns the page of a job's results that begins at position from, from a state no older than
// maxAnswerAge. The page may be empty.
func (m *Manager) currentPage(ctx context.Context, id string, from int) (backlog.ResultPage, error) {
	if m.replica.stateAge(resultPartition) > maxAnswerAge {
		if err := m.refresh(ctx); err != nil {
			return backlog.ResultPage{}, err
		}
	}
	var page backlog.ResultPage
	m.replica.withState(func(st *backlog.State) { page = st.Page(id, from, maxPageBytes) })
	return m.fillTexts(ctx, page)
}

// fillTexts reads the separately stored texts of a page's results and adds them. Errors: errs.LogDown.
func (m *Manager) fillTexts(ctx context.Context, page backlog.ResultPage) (backlog.ResultPage, error) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := m.textStore.fillPage(ctx, &page); err != nil {
		return backlog.ResultPage{}, uncertainError(err)
	}
	return page, nil
}

// ItemBody returns the request body of an item of the caller's job. Errors: errs.NotFound,
// errs.Unauthenticated, errs.LogDown.
func (m *Manager) ItemBody(ctx context.Context, caller serving.Caller, id, item string) ([]byte, error) {
	id = backlog.ScopedID(caller.Workspace, id)
	if err := m.ensureJobExists(ctx, caller, id); err != nil {
		return nil, err
	}
	var body []byte
	isFound := false
	m.replica.withState(func(st *backlog.State) {
		job, ok := st.Job(id)
		if !ok {
			return
		}
		for i := range job.Items {
			if job.Items[i].ID == item {
				body, isFound = job.Items[i].Body, true
			}
		}
	})
	if !isFound {
		return nil, errs.Newf(errs.NotFound, "batch job %q has no item %q", id, item)
	}
	m.bodyLog.Info(time.Now(), "item body read", "job", id, "item", item, "body_bytes", len(body), "body_sum", bodyChecksum(body))
	return body, nil
}
