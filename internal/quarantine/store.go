package quarantine

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/dependency"
)

// partition is the partition of the store that holds the newest record of each content and scope, with its
// fingerprint as the key. Any gateway may write to it. A gateway that has information which a stored record
// lacks writes the record again, so that all gateways converge to the same records.
var partition = platform.Partition{Topic: "keyed.quarantine"}

const (
	// maxReadWait is how long one read of the store waits for new records.
	maxReadWait = 20 * time.Second
	// maxReadBytes bounds the size of the records that one read returns.
	maxReadBytes = 256 << 10
	// readBatchDelay is the delay between two reads. It lets records accumulate, so that one read returns
	// several.
	readBatchDelay = 50 * time.Millisecond
	// readRetryDelay and writeRetryDelay are the delays after a failed read or write until the next one.
	readRetryDelay  = 300 * time.Millisecond
	writeRetryDelay = 300 * time.Millisecond
	// writeBatchDelay is the delay before a write. It lets all runs that one target breaks off be noted, so
	// that one write contains their records.
	writeBatchDelay = 20 * time.Millisecond
	// writeTimeout bounds the duration of one write.
	writeTimeout = 2 * time.Second
	// maxRecordsPerWrite bounds the number of records in one write.
	maxRecordsPerWrite = 128
	// maxMergeWriteDelay is the maximum delay after which a gateway writes a record again because the record
	// that it has read from the store lacks information. The delay is random: several gateways may have that
	// information, and the first one to write it makes the writes of the others unnecessary.
	maxMergeWriteDelay = time.Second
	// expireInterval is the interval at which expired records are discarded. The writer looks for due records
	// at least as often.
	expireInterval = 30 * time.Second
)

// Store keeps the records of all gateways. Its methods are those of platform.Store that a Quarantine needs.
type Store interface {
	platform.NewestReader
	Append(ctx context.Context, a platform.Append) (platform.Appended, error)
	Read(ctx context.Context, r platform.Read) (platform.Records, error)
}

// storeSync exchanges the records of a Quarantine with the store.
type storeSync struct {
	q     *Quarantine
	store Store
	link  *dependency.Link
	// nextOffset is the offset in the partition of the next record to read, valid once load has succeeded.
	nextOffset uint64
}

// read reads new records from the store and merges them until ctx ends. It always returns nil.
func (s *storeSync) read(ctx context.Context) error {
	pauses := dependency.Pauses{Answered: readBatchDelay, Failed: readRetryDelay}
	s.link.Follow(ctx, pauses, func() error { return s.readPage(ctx) }, func(bool) {})
	return nil
}

// readPage reads the records from nextOffset on once and merges them. If the newest records have not been
// loaded yet, or if the store no longer holds the record at nextOffset, it loads the newest records instead.
func (s *storeSync) readPage(ctx context.Context) error {
	if !s.q.isLoaded.Load() {
		return s.load(ctx)
	}
	page, err := s.store.Read(ctx, platform.Read{Partition: partition, From: s.nextOffset, MaxBytes: maxReadBytes, Wait: s.link.Patience(maxReadWait)})
	var expired *platform.Expired
	if errors.As(err, &expired) {
		return s.load(ctx)
	}
	if err != nil {
		return err
	}
	s.applyStored(page.Records)
	s.nextOffset += uint64(len(page.Records))
	return nil
}

// load reads the newest record of each content and scope from the store and merges them.
func (s *storeSync) load(ctx context.Context) error {
	end, err := platform.EachNewest(ctx, s.store, partition, "", func(records []platform.StoredRecord) bool {
		s.applyStored(records)
		return true
	})
	if err != nil {
		return err
	}
	s.nextOffset = end
	s.q.isLoaded.Store(true)
	return nil
}

// applyStored merges records that were read from the store. Invalid ones are logged and skipped.
func (s *storeSync) applyStored(stored []platform.StoredRecord) {
	var records []quarantine.Record
	for _, rec := range stored {
		if len(rec.Value) == 0 {
			s.dropStored(rec.Key)
			continue
		}
		r, err := quarantine.Decode(rec.Value)
		if err != nil {
			s.q.log.Error("invalid quarantine record skipped", "key", rec.Key, "offset", rec.Offset, "error", err)
			continue
		}
		records = append(records, r)
	}
	s.q.applyRecords(records, "store", func(now time.Time, r quarantine.Record) bool {
		return s.q.registry.ApplyStored(now, r, now.Add(rand.N(maxMergeWriteDelay)))
	})
	if len(stored) > 0 {
		s.q.signalWriter()
	}
}

// dropStored notes that a gateway has removed a record from the store because it had expired at that gateway.
func (s *storeSync) dropStored(key string) {
	var f quarantine.Fingerprint
	if n, err := hex.Decode(f[:], []byte(key)); err != nil || n != len(f) {
		s.q.log.Error("invalid quarantine record skipped", "key", key, "error", "key is not a fingerprint")
		return
	}
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.q.registry.DropStored(f, time.Now().Add(rand.N(maxMergeWriteDelay)))
}

// write writes records that the store lacks, or of which it lacks information, until ctx ends. It always
// returns nil.
func (s *storeSync) write(ctx context.Context) error {
	timer := sleep.NewTimer(expireInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.q.writeSignal:
		case <-timer.C:
		}
		sleep.For(ctx, writeBatchDelay)
		timer.Reset(s.writeDue(ctx))
	}
}

// writeDue writes the records that are due and returns the time until writeDue must be called again.
func (s *storeSync) writeDue(ctx context.Context) time.Duration {
	for {
		s.q.mu.Lock()
		due, next := s.q.registry.DueForStore(time.Now(), maxRecordsPerWrite)
		s.q.mu.Unlock()
		if len(due) == 0 && next.IsZero() {
			return expireInterval
		}
		if len(due) == 0 {
			return max(0, time.Until(next))
		}
		if !s.q.isLoaded.Load() {
			return writeRetryDelay // the records that the store already holds are not known yet
		}
		if err := s.append(ctx, due); err != nil {
			s.q.routineLog.Info(time.Now(), "records not written yet", "records", len(due), "error", err)
			return writeRetryDelay
		}
	}
}

// append writes records to the store and notes that they are stored. A failed call may be repeated even if the
// store has written them: a record that is written twice has no further effect.
func (s *storeSync) append(ctx context.Context, due []quarantine.Record) error {
	var records []platform.KeyedRecord
	for _, r := range due {
		data, err := r.Encode()
		if err != nil {
			return err
		}
		records = append(records, platform.KeyedRecord{Key: r.Content.String(), Value: data})
	}
	if err := s.appendRecords(ctx, records); err != nil {
		return err
	}
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	for _, r := range due {
		s.q.registry.NoteStored(r)
	}
	return nil
}

// appendRecords writes encoded records to the store within writeTimeout.
func (s *storeSync) appendRecords(ctx context.Context, records []platform.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := s.store.Append(ctx, platform.Append{Partition: partition, Records: records})
	return err
}

// expire discards expired records and suspects, and removes the expired records from the store as well, until
// ctx ends. It always returns nil.
func (q *Quarantine) expire(ctx context.Context, s *storeSync) error {
	for sleep.For(ctx, expireInterval) {
		now := time.Now()
		q.mu.Lock()
		stored := q.registry.Expire(now)
		q.suspects.prune(now)
		q.recordCount.Store(int64(q.registry.Len()))
		q.mu.Unlock()
		var removals []platform.KeyedRecord
		for _, f := range stored[:min(len(stored), maxRecordsPerWrite)] {
			removals = append(removals, platform.KeyedRecord{Key: f.String()})
		}
		if len(removals) == 0 {
			continue
		}
		if err := s.appendRecords(ctx, removals); err != nil {
			q.log.Info("expired records not removed from the store", "records", len(removals), "error", errs.As(err))
		}
	}
	return nil
}
