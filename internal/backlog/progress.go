package backlog

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

// saveTimeout is how long progress is tried to be written: an outage of the store lasts some seconds,
// and later the next owner has done the work again.
const saveTimeout = 8 * time.Second

const (
	// checkpointEvery is how often running items are looked at.
	checkpointEvery = 500 * time.Millisecond
	// checkpointEvents is how many events an item makes between two checkpoints: at 15 ms an
	// event 1.5 s of its run. Each writes the item's whole text so far, once and to nobody but
	// the next owner.
	checkpointEvents = 100
)

// saveProgress writes how far tasks have come, so that another process can go on with them. It returns at
// once.
func (m *Manager) saveProgress(tasks []*task) {
	var records []platform.KeyedRecord
	for _, t := range tasks {
		records = append(records, m.progressOf(t)...)
	}
	m.save(records)
}

// save writes records of progress in the background, until it has worked or saveTimeout is over.
func (m *Manager) save(records []platform.KeyedRecord) {
	if len(records) == 0 {
		return
	}
	m.saving.Add(1)
	go func() {
		defer m.saving.Done()
		ctx, cancel := context.WithTimeout(m.saveCtx, saveTimeout)
		defer cancel()
		m.writeProgress(ctx, records)
	}()
}

// saveFailure writes that a run of a task has failed, so that the next owner counts it. A write that is
// lost costs one attempt more.
func (m *Manager) saveFailure(t *task) {
	if t.ended() {
		return
	}
	saved := m.progressOf(t)
	t.noteCheckpoint(saved)
	m.save(saved)
}

// checkpoints writes every now and then how far the running items have come, so that the loss of this
// process costs no more than checkpointEvents of each, and drops what is no longer needed.
func (m *Manager) checkpoints(ctx context.Context) error {
	for sleep.For(ctx, checkpointEvery) {
		m.writeProgress(ctx, m.scheduler.checkpoint())
	}
	return nil
}

// awaitSaved waits until all progress is written or ctx ends.
func (m *Manager) awaitSaved(ctx context.Context) {
	if !waitFor(ctx, &m.saving) {
		m.log.Warn("progress of items was not handed over in time")
	}
}

// waitFor waits for a group, and reports false if ctx ends first.
func waitFor(ctx context.Context, g *sync.WaitGroup) bool {
	over := make(chan struct{})
	go func() {
		g.Wait()
		close(over)
	}()
	select {
	case <-over:
		return true
	case <-ctx.Done():
		return false
	}
}

// progressOf encodes a task's progress; there is none before its first event or failure.
func (m *Manager) progressOf(t *task) []platform.KeyedRecord {
	p := t.progress()
	if !p.Begun() {
		return nil
	}
	return m.encodeProgress(t, p)
}

func (m *Manager) encodeProgress(t *task, p *backlog.Progress) []platform.KeyedRecord {
	records, err := backlog.EncodeProgress(p, t.shard.index, t.index)
	if err != nil {
		m.log.Error("progress can't be encoded", "job", p.Job, "item", p.Item, "error", err)
		return nil
	}
	return records
}

// writeProgress appends records in as few calls as they fit in. A write that is done twice means
// the same, so a lost answer needs no care.
func (m *Manager) writeProgress(ctx context.Context, records []platform.KeyedRecord) {
	for len(records) > 0 {
		n := callSize(records)
		_, err := m.store.Append(ctx, platform.Append{Partition: progressPartition, Records: records[:n]})
		if err == nil {
			records = records[n:]
			continue
		}
		if !sleep.For(ctx, writePause) {
			m.log.Warn("progress of items was not written", "records", len(records), "error", err)
			return
		}
	}
}

// callSize is how many of the records fit into one append; at least one.
func callSize(records []platform.KeyedRecord) int {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value)
		if i > 0 && size > maxCallBytes {
			return i
		}
	}
	return len(records)
}
