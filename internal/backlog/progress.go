package backlog

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

// progressSaveTimeout bounds the retries of a background write of progress. An outage of the store lasts some
// seconds; after a longer one the next owner has run the items again.
const progressSaveTimeout = 8 * time.Second

const (
	// checkpointInterval is the interval at which the items are checked for a due checkpoint, a write of their
	// progress.
	checkpointInterval = 500 * time.Millisecond
	// checkpointEvents is the number of events of an item between two checkpoints: 1.5 s of its run at 15 ms
	// per event. A smaller number would write more, since each checkpoint contains the item's whole text so far.
	// Only the next owner reads checkpoints.
	checkpointEvents = 100
)

// saveProgress writes the progress of released tasks in the background, so that the next owner can resume them.
func (m *Manager) saveProgress(tasks []*task) {
	var records []platform.KeyedRecord
	for _, t := range tasks {
		records = append(records, m.progressRecords(t)...)
	}
	m.saveRecords(progressPartition, records)
}

// saveRecords writes records to a partition in the background. It retries for up to progressSaveTimeout.
func (m *Manager) saveRecords(p platform.Partition, records []platform.KeyedRecord) {
	if len(records) == 0 {
		return
	}
	m.pendingSaves.Add(1)
	go func() {
		defer m.pendingSaves.Done()
		ctx, cancel := context.WithTimeout(m.saveCtx, progressSaveTimeout)
		defer cancel()
		m.writeRecords(ctx, p, records)
	}()
}

// saveFailure writes a task's progress after a failed run, so that the next owner counts the failure. If the
// write is lost, the item gets one attempt more.
func (m *Manager) saveFailure(t *task) {
	if t.hasOutcome() {
		return
	}
	saved := m.progressRecords(t)
	t.noteCheckpoint(saved)
	m.saveRecords(progressPartition, saved)
}

// writeCheckpoints periodically writes the due checkpoints and the tombstones of obsolete progress until ctx
// ends. If this process is lost, the next owner repeats about checkpointEvents events of each item at most.
func (m *Manager) writeCheckpoints(ctx context.Context) error {
	for sleep.For(ctx, checkpointInterval) {
		m.writeRecords(ctx, progressPartition, m.scheduler.dueCheckpoints())
	}
	return nil
}

// awaitSaves waits until the background writes of progress are finished or ctx ends.
func (m *Manager) awaitSaves(ctx context.Context) {
	if !waitFor(ctx, &m.pendingSaves) {
		m.log.Warn("progress of items was not handed over in time")
	}
}

// waitFor waits until the counter of g is zero. It returns false if ctx ends first.
func waitFor(ctx context.Context, g *sync.WaitGroup) bool {
	done := make(chan struct{})
	go func() {
		g.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// progressRecords encodes a task's progress; nil before its first event or failure.
func (m *Manager) progressRecords(t *task) []platform.KeyedRecord {
	p := t.progress()
	if !p.HasStarted() {
		return nil
	}
	return m.encodeProgress(t, p)
}

// encodeProgress returns the records of progress of a task. It logs an encoding error and returns nil.
func (m *Manager) encodeProgress(t *task, p *backlog.Progress) []platform.KeyedRecord {
	records, err := backlog.EncodeProgress(p, t.shard.index, t.index)
	if err != nil {
		m.log.Error("can't encode progress", "job", p.Job, "item", p.Item, "error", err)
		return nil
	}
	return records
}

// writeRecords writes records and tombstones to a partition in as few calls as possible. It repeats failed calls until ctx
// ends; that is safe after a lost answer for records whose repeated write has no effect.
func (m *Manager) writeRecords(ctx context.Context, p platform.Partition, records []platform.KeyedRecord) {
	for len(records) > 0 {
		n := recordsPerAppend(records)
		_, err := m.store.Append(ctx, platform.Append{Partition: p, Records: records[:n]})
		if err == nil {
			records = records[n:]
			continue
		}
		if !sleep.For(ctx, writeRetryPause) {
			m.log.Warn("records not written", "topic", p.Topic, "records", len(records), "error", err)
			return
		}
	}
}

// recordOverheadBytes is what the framing of a record adds to its key and its value, at most.
const recordOverheadBytes = 8

// recordsPerAppend returns how many leading records fit into one append, at least one.
func recordsPerAppend(records []platform.KeyedRecord) int {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value) + recordOverheadBytes
		if i > 0 && size > maxAppendBytes {
			return i
		}
	}
	return len(records)
}
