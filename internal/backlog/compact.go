package backlog

import (
	"context"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

const (
	// compactionInterval is the interval between searches for expired jobs.
	compactionInterval = 10 * time.Second
	// maxClockSkew is how much longer than promised a job is kept, and a quarantined item is retried. Both
	// times are counted from the submission time by the clock of the accepting process, and clocks differ
	// between hosts.
	maxClockSkew = time.Minute
)

// compact deletes expired jobs of this process's shards. The store keeps the newest record of each key for
// ever: without deletion it would fill up and refuse new jobs.
func (m *Manager) compact(ctx context.Context) error {
	for sleep.For(ctx, compactionInterval) {
		for _, id := range m.expiredJobs(time.Now()) {
			if err := m.deleteJob(ctx, id); err != nil {
				m.log.Warn("old job not dropped", "job", id, "error", err)
				break
			}
			m.log.Info("old job dropped", "job", id)
		}
	}
	return nil
}

// expiredJobs returns the jobs of this process's shards whose retention time is over.
func (m *Manager) expiredJobs(now time.Time) []string {
	before := now.Add(-m.opts.Keep - maxClockSkew).UnixMilli()
	var ids []string
	m.replica.withState(func(st *backlog.State) {
		st.Expired(before, func(j *backlog.Job) {
			ids = append(ids, j.ID)
		})
	})
	ownIDs := ids[:0]
	for _, id := range ids {
		if m.scheduler.owns(m.shardOf(id)) {
			ownIDs = append(ownIDs, id)
		}
	}
	return ownIDs
}

// deleteJob deletes a job's texts and results before its own records: a job without its record is not found
// by compaction again.
func (m *Manager) deleteJob(ctx context.Context, id string) error {
	var f backlog.Forgotten
	var err error
	m.replica.withState(func(st *backlog.State) { f, err = st.Forget(id) })
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

// owns reports whether this process runs a shard.
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
