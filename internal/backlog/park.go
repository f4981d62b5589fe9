package backlog

import (
	"context"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/internal/sleep"
)

// parkTimeout is how long progress is tried to be written: an outage of the store lasts some seconds,
// and later the next owner has done the work again.
const parkTimeout = 8 * time.Second

// park writes how far tasks have come, so that another process can go on with them. It returns at
// once.
func (k *Keeper) park(tasks []*task) {
	var records []platform.KeyedRecord
	for _, t := range tasks {
		records = append(records, k.progressOf(t)...)
	}
	if len(records) == 0 {
		return
	}
	k.parking.Add(1)
	go func() {
		defer k.parking.Done()
		ctx, cancel := context.WithTimeout(k.parkCtx, parkTimeout)
		defer cancel()
		k.writeProgress(ctx, records)
	}()
}

// parked waits until all progress is written or ctx ends. Nothing is written after it.
func (k *Keeper) parked(ctx context.Context) {
	defer k.stopParking()
	over := make(chan struct{})
	go func() {
		k.parking.Wait()
		close(over)
	}()
	select {
	case <-over:
	case <-ctx.Done():
		k.log.Warn("progress of items was not handed over in time")
	}
}

// progressOf encodes a task's progress; there is none before its first event.
func (k *Keeper) progressOf(t *task) []platform.KeyedRecord {
	p := t.progress()
	if p.LastID == "" {
		return nil
	}
	records, err := backlog.EncodeProgress(p, t.index)
	if err != nil {
		k.log.Error("progress can't be encoded", "job", p.Job, "item", p.Item, "error", err)
		return nil
	}
	return records
}

// writeProgress appends records in as few calls as they fit in. A write that is done twice means
// the same, so a lost answer needs no care.
func (k *Keeper) writeProgress(ctx context.Context, records []platform.KeyedRecord) {
	for len(records) > 0 {
		n := callSize(records)
		_, err := k.store.Append(ctx, platform.Append{Partition: resultPartition, Records: records[:n]})
		if err == nil {
			records = records[n:]
			continue
		}
		if !sleep.For(ctx, writePause) {
			k.log.Warn("progress of items was not written", "records", len(records), "error", err)
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
