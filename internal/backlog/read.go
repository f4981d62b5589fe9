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
	// freshEnough is how old the state may be for an answer that something is not there. Callers
	// count on seeing what another process has shown them a second ago.
	freshEnough = 800 * time.Millisecond
	// checkTimeout bounds the reading that makes the state fresh.
	checkTimeout = 700 * time.Millisecond
	// pageBytes is how much text a page of results may hold beyond its first result.
	pageBytes = 900 << 10
	// unsureRetry is when to come back after an answer that could not be given.
	unsureRetry = 300 * time.Millisecond
)

// refresh reads on in both partitions, so that all that was there when it was called is known.
func (m *Manager) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := m.replica.catchUp(ctx, jobPartition); err != nil {
		return unsure(err)
	}
	if err := m.replica.catchUp(ctx, resultPartition); err != nil {
		return unsure(err)
	}
	return nil
}

// unsure is the answer of a process that can't know.
func unsure(err error) error {
	return errs.Newf(errs.LogDown, "this process can't be sure: %v", err).WithRan(errs.RanNo).WithRetry(unsureRetry)
}

// mustExist makes sure that a job is known, with a fresh look into the store before it says that
// it is not. Errors: errs.NotFound, errs.Unauthenticated (a caller without a key may not know which jobs there are), errs.LogDown.
func (m *Manager) mustExist(ctx context.Context, caller serving.Caller, id string) error {
	known := func() (ok bool) {
		m.replica.with(func(st *backlog.State) { _, ok = st.Job(id) })
		return ok
	}
	if known() {
		return nil
	}
	if err := m.refresh(ctx); err != nil {
		return err
	}
	if known() {
		return nil
	}
	if caller.IsUnidentified {
		return workspace.MissingKey()
	}
	return errs.Newf(errs.NotFound, "no batch job %q", id)
}

// Results returns the results of the caller's job from a position on. With none there yet it waits for one.
// Errors: errs.NotFound, errs.Unauthenticated, errs.LogDown (this process can't be sure that there is none).
func (m *Manager) Results(ctx context.Context, caller serving.Caller, id string, after int, wait time.Duration) (backlog.Page, error) {
	id = backlog.ScopedID(caller.Workspace, id)
	if err := m.mustExist(ctx, caller, id); err != nil {
		return backlog.Page{}, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.catchUpLazy(ctx, resultPartition)
	defer m.replica.want(resultPartition)()
	for {
		var page backlog.Page
		news := m.replica.with(func(st *backlog.State) { page = st.Page(id, after, pageBytes) })
		if len(page.Results) > 0 || after >= page.Total {
			return m.withTexts(ctx, page)
		}
		select {
		case <-news:
			continue
		case <-waitCtx.Done():
		}
		return m.noneYet(ctx, id, after)
	}
}

// catchUpLazy reads the news of a partition that this process does not follow. What is known already holds without them, so that a failure
// is only logged.
func (m *Manager) catchUpLazy(ctx context.Context, p platform.Partition) {
	if m.isMember.Load() || m.replica.age(p) <= freshEnough {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := m.replica.catchUp(ctx, p); err != nil {
		m.log.Info("news not read before an answer", "topic", p.Topic, "age_ms", m.replica.age(p).Milliseconds(), "error", err)
	}
}

// noneYet answers that no result stands at a position, if that is sure.
func (m *Manager) noneYet(ctx context.Context, id string, after int) (backlog.Page, error) {
	if m.replica.age(resultPartition) > freshEnough {
		if err := m.refresh(ctx); err != nil {
			return backlog.Page{}, err
		}
	}
	var page backlog.Page
	m.replica.with(func(st *backlog.State) { page = st.Page(id, after, pageBytes) })
	return m.withTexts(ctx, page)
}

// withTexts puts the texts that lie apart into a page. Error: errs.LogDown.
func (m *Manager) withTexts(ctx context.Context, page backlog.Page) (backlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := m.texts.fill(ctx, &page); err != nil {
		return backlog.Page{}, unsure(err)
	}
	return page, nil
}

// ItemBody returns the body of an item of the caller's job that has no result yet. Errors: errs.NotFound, errs.Unauthenticated,
// errs.LogDown.
func (m *Manager) ItemBody(ctx context.Context, caller serving.Caller, id, item string) ([]byte, error) {
	id = backlog.ScopedID(caller.Workspace, id)
	if err := m.mustExist(ctx, caller, id); err != nil {
		return nil, err
	}
	var body []byte
	found := false
	m.replica.with(func(st *backlog.State) {
		job, ok := st.Job(id)
		if !ok {
			return
		}
		for i := range job.Items {
			if job.Items[i].ID == item {
				body, found = job.Items[i].Body, true
			}
		}
	})
	if !found {
		return nil, errs.Newf(errs.NotFound, "job %q has no item %q", id, item)
	}
	m.bodies.Info(time.Now(), "item body read", "job", id, "item", item, "body_bytes", len(body), "body_sum", bodySum(body))
	return body, nil
}
