package backlog

import (
	"context"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

const (
	// compactionInterval is the interval between two searches for expired jobs.
	compactionInterval = 10 * time.Second
	// maxClockSkew is added to the time for which a job is kept, which begins at the submission time by the clock of the
	// accepting process: clocks differ between hosts.
	maxClockSkew = time.Minute
)

// compact deletes the expired jobs of this process's shards, and what failed submissions have left of jobs, until ctx ends.
// The store keeps the newest record of each key forever: without deletion it would fill up and reject new jobs.
func (m *Manager) compact(ctx context.Context) error {
	sweeper := newChunkSweeper(m)
	for sleep.For(ctx, compactionInterval) {
		sweeper.sweep(ctx, time.Now())
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

// expiredJobs returns the ids of the jobs of this process's shards that have expired: they are cancelled or
// complete, and were submitted longer ago than Options.KeepFor.
func (m *Manager) expiredJobs(now time.Time) []string {
	submittedBefore := now.Add(-m.opts.KeepFor - maxClockSkew).UnixMilli()
	var ids []string
	m.replica.withState(func(st *backlog.State) {
		st.EachExpiredJob(submittedBefore, func(j *backlog.Job) {
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

// deleteJob deletes a job from the store, its texts and results first: compaction finds a job by its own
// record, so that record must remain until the others are deleted.
func (m *Manager) deleteJob(ctx context.Context, id string) error {
	var tombstones backlog.JobTombstones
	var err error
	m.replica.withState(func(st *backlog.State) { tombstones, err = st.TombstonesOf(id) })
	if err != nil {
		return err
	}
	for _, a := range []platform.Append{
		{Partition: textPartition, Records: tombstones.Texts},
		{Partition: resultPartition, Records: tombstones.Results},
		{Partition: jobPartition, Records: tombstones.Jobs},
	} {
		for left := a.Records; len(left) > 0; {
			n := recordsPerAppend(left)
			if _, err := m.store.Append(ctx, platform.Append{Partition: a.Partition, Records: left[:n]}); err != nil {
				return err
			}
			left = left[n:]
		}
	}
	return nil
}

// owns reports whether this process owns the shard of that index and runs its items.
func (sc *scheduler) owns(index int) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for s := range sc.shards {
		if s.index == index {
			return true
		}
	}
	return false
}
