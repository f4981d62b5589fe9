package backlog

import (
	"context"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

const (
	// compactionInterval is how often old jobs are looked for.
	compactionInterval = 10 * time.Second
	// clockSlack is how much longer a job is kept than promised, and an item before it is given up: the time that counts is that of
	// the process that accepted the job, and the time of day differs between hosts.
	clockSlack = time.Minute
)

// compact drops jobs of this process's shards that have lived their time. The newest record of each
// key is kept for ever, so that without it the store would fill up and refuse new jobs.
func (m *Manager) compact(ctx context.Context) error {
	for sleep.For(ctx, compactionInterval) {
		for _, id := range m.expired(time.Now()) {
			if err := m.forget(ctx, id); err != nil {
				m.log.Warn("old job not dropped", "job", id, "error", err)
				break
			}
			m.log.Info("old job dropped", "job", id)
		}
	}
	return nil
}

// expired returns the jobs of this process's shards that nobody needs any more.
func (m *Manager) expired(now time.Time) []string {
	before := now.Add(-m.opts.Keep - clockSlack).UnixMilli()
	var ids []string
	m.replica.with(func(st *backlog.State) {
		st.Expired(before, func(j *backlog.Job) {
			ids = append(ids, j.ID)
		})
	})
	own := ids[:0]
	for _, id := range ids {
		if m.scheduler.owns(m.shardOf(id)) {
			own = append(own, id)
		}
	}
	return own
}

// forget drops a job's texts and results first: a job whose record is gone is not looked at again.
func (m *Manager) forget(ctx context.Context, id string) error {
	var f backlog.Forgotten
	var err error
	m.replica.with(func(st *backlog.State) { f, err = st.Forget(id) })
	if err != nil {
		return err
	}
	for _, a := range []platform.Append{
		{Partition: textPartition, Records: f.Texts},
		{Partition: resultPartition, Records: f.Results},
		{Partition: jobPartition, Records: f.Jobs},
	} {
		if len(a.Records) == 0 {
			continue
		}
		if _, err := m.store.Append(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// owns says whether this process runs a shard.
func (d *scheduler) owns(index int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.shards {
		if s.index == index {
			return true
		}
	}
	return false
}
