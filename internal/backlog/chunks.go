package backlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
)

// minChunkAge is how long the chunks of an incomplete attempt to store a job must have been there before they are deleted.
// A submission lasts submitTimeout; an append that was not answered may be done some seconds later.
const minChunkAge = 30 * time.Second

// discardChunks deletes the chunks of a submission that has failed, in the background. No append that stores the job may
// still be done.
func (m *Manager) discardChunks(leading [][]platform.KeyedRecord) {
	var tombstones []platform.KeyedRecord
	for _, records := range leading {
		tombstones = append(tombstones, backlog.Tombstones(records)...)
	}
	m.saveRecords(jobPartition, tombstones)
}

// attemptID identifies an attempt to store a job.
type attemptID struct{ job, attempt string }

// chunkSweeper finds the chunks that failed submissions have left in the store: their process has ended, or an append was
// done after they had been discarded. The zero value is not usable; use newChunkSweeper.
type chunkSweeper struct {
	m         *Manager
	firstSeen map[attemptID]time.Time // of the incomplete attempts of the last search
}

func newChunkSweeper(m *Manager) *chunkSweeper {
	return &chunkSweeper{m: m, firstSeen: make(map[attemptID]time.Time)}
}

// sweep deletes the chunks of incomplete attempts that were there minChunkAge ago, for the jobs of this process's shards.
// They are deleted only if the partition ends where it did when the attempts were found incomplete: otherwise an append that
// completes one of the jobs may have been done meanwhile, and the next search decides again.
func (c *chunkSweeper) sweep(ctx context.Context, now time.Time) {
	next, isLoaded := c.m.replica.nextOffset(jobPartition)
	var tombstones []platform.KeyedRecord
	for _, incomplete := range c.old(now) {
		tombstones = append(tombstones, incomplete.Tombstones...)
	}
	if !isLoaded || len(tombstones) == 0 {
		return
	}
	tombstones = tombstones[:recordsPerAppend(tombstones)] // the rest with the next search
	_, err := c.m.store.Append(ctx, platform.Append{Partition: jobPartition, Records: tombstones, At: &next})
	var moved *platform.EndMoved
	switch {
	case errors.As(err, &moved):
	case err != nil:
		c.m.log.Warn("chunks of failed submissions not dropped", "chunks", len(tombstones), "error", err)
	default:
		c.m.log.Info("chunks of failed submissions dropped", "chunks", len(tombstones), "first", tombstones[0].Key)
	}
}

// old returns the attempts of this process's shards that are incomplete and were so minChunkAge ago.
func (c *chunkSweeper) old(now time.Time) (list []backlog.IncompleteJob) {
	var all []backlog.IncompleteJob
	c.m.replica.withState(func(st *backlog.State) { all = st.IncompleteJobs() })
	firstSeen := make(map[attemptID]time.Time, len(all))
	for _, incomplete := range all {
		id := attemptID{incomplete.Job, incomplete.Attempt}
		at, isKnown := c.firstSeen[id]
		if !isKnown {
			at = now
		}
		firstSeen[id] = at
		if now.Sub(at) >= minChunkAge && c.m.scheduler.owns(c.m.shardOf(incomplete.Job)) {
			list = append(list, incomplete)
		}
	}
	c.firstSeen = firstSeen
	return list
}
