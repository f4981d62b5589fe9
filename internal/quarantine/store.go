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

// partition holds the newest record of each content under its fingerprint. Any gateway writes it: a record that lacks what another
// gateway knows is written again by that one, so that all come to the same.
var partition = platform.Partition{Topic: "keyed.quarantine"}

const (
	// readWait is how long one read waits for records.
	readWait = 20 * time.Second
	// readBytes bounds one read.
	readBytes = 256 << 10
	// readPause lets records gather between two reads.
	readPause = 50 * time.Millisecond
	// readRetry and writeRetry are the pauses after calls that fail.
	readRetry  = 300 * time.Millisecond
	writeRetry = 300 * time.Millisecond
	// writePause lets the crashes of one target gather.
	writePause = 20 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 2 * time.Second
	// maxWritten is how many records one write holds.
	maxWritten = 128
	// mergeSpread is the longest time after which a gateway writes what it reads to be missing. Several may know of it; the first
	// one to write spares the others.
	mergeSpread = time.Second
	// expireInterval is how often records are looked through for those to forget.
	expireInterval = 30 * time.Second
)

// Store is what keeps the records. Its calls are those of platform.Store.
type Store interface {
	platform.NewestReader
	Append(ctx context.Context, a platform.Append) (platform.Appended, error)
	Read(ctx context.Context, r platform.Read) (platform.Records, error)
}

// storeSync keeps a Quarantine and the store's records the same.
type storeSync struct {
	q     *Quarantine
	store Store
	link  *dependency.Link
	// next is the offset to read on from, once the newest records have been read.
	next uint64
}

// read follows the store's records until ctx ends.
func (s *storeSync) read(ctx context.Context) error {
	pauses := dependency.Pauses{Answered: readPause, Failed: readRetry}
	s.link.Follow(ctx, pauses, func() error { return s.step(ctx) }, func(bool) {})
	return nil
}

// step reads once.
func (s *storeSync) step(ctx context.Context) error {
	if !s.q.loaded.Load() {
		return s.load(ctx)
	}
	page, err := s.store.Read(ctx, platform.Read{Partition: partition, From: s.next, MaxBytes: readBytes, Wait: s.link.Patience(readWait)})
	var expired *platform.Expired
	if errors.As(err, &expired) {
		return s.load(ctx)
	}
	if err != nil {
		return err
	}
	s.take(page.Records)
	s.next += uint64(len(page.Records))
	return nil
}

// load reads the newest records of all contents.
func (s *storeSync) load(ctx context.Context) error {
	end, err := platform.EachNewest(ctx, s.store, partition, "", func(records []platform.StoredRecord) bool {
		s.take(records)
		return true
	})
	if err != nil {
		return err
	}
	s.next = end
	s.q.loaded.Store(true)
	return nil
}

func (s *storeSync) take(stored []platform.StoredRecord) {
	var records []quarantine.Record
	for _, rec := range stored {
		if len(rec.Value) == 0 {
			s.drop(rec.Key)
			continue
		}
		r, err := quarantine.Decode(rec.Value)
		if err != nil {
			s.q.log.Error("record of the quarantine left out", "key", rec.Key, "offset", rec.Offset, "error", err)
			continue
		}
		records = append(records, r)
	}
	s.q.take(records, "store", func(now time.Time, r quarantine.Record) bool {
		return s.q.registry.ApplyStored(now, r, now.Add(rand.N(mergeSpread)))
	})
	if len(stored) > 0 {
		s.q.wakeWriter()
	}
}

// drop takes in that another gateway has forgotten a content.
func (s *storeSync) drop(key string) {
	var f quarantine.Fingerprint
	if n, err := hex.Decode(f[:], []byte(key)); err != nil || n != len(f) {
		s.q.log.Error("record of the quarantine left out", "key", key, "error", "the key is no fingerprint")
		return
	}
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.q.registry.DropStored(f, time.Now().Add(rand.N(mergeSpread)))
}

// write writes what the store lacks until ctx ends.
func (s *storeSync) write(ctx context.Context) error {
	wake := sleep.NewTimer(expireInterval)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.q.changed:
		case <-wake.C:
		}
		sleep.For(ctx, writePause)
		wake.Reset(s.writeDue(ctx))
	}
}

// writeDue writes what is due and returns how long nothing else is.
func (s *storeSync) writeDue(ctx context.Context) time.Duration {
	for {
		s.q.mu.Lock()
		due, next := s.q.registry.ToStore(time.Now(), maxWritten)
		s.q.mu.Unlock()
		if len(due) == 0 && next.IsZero() {
			return expireInterval
		}
		if len(due) == 0 {
			return max(0, time.Until(next))
		}
		if !s.q.loaded.Load() {
			return writeRetry // what the store has already is not known yet
		}
		if err := s.append(ctx, due); err != nil {
			s.q.lines.Info(time.Now(), "records not written yet", "records", len(due), "error", err)
			return writeRetry
		}
	}
}

// append writes records. One that is written twice means the same.
func (s *storeSync) append(ctx context.Context, due []quarantine.Record) error {
	var records []platform.KeyedRecord
	for _, r := range due {
		data, err := r.Encode()
		if err != nil {
			return err
		}
		records = append(records, platform.KeyedRecord{Key: r.Content.String(), Value: data})
	}
	if err := s.call(ctx, records); err != nil {
		return err
	}
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	for _, r := range due {
		s.q.registry.NoteStored(r)
	}
	return nil
}

func (s *storeSync) call(ctx context.Context, records []platform.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := s.store.Append(ctx, platform.Append{Partition: partition, Records: records})
	return err
}

// expire forgets records, also in the store, until ctx ends.
func (q *Quarantine) expire(ctx context.Context, s *storeSync) error {
	for sleep.For(ctx, expireInterval) {
		now := time.Now()
		q.mu.Lock()
		stored := q.registry.Expire(now)
		q.suspects.prune(now)
		q.known.Store(int64(q.registry.Len()))
		q.mu.Unlock()
		var drops []platform.KeyedRecord
		for _, f := range stored[:min(len(stored), maxWritten)] {
			drops = append(drops, platform.KeyedRecord{Key: f.String()})
		}
		if len(drops) == 0 {
			continue
		}
		if err := s.call(ctx, drops); err != nil {
			q.log.Info("forgotten records stay in the store", "records", len(drops), "error", errs.As(err))
		}
	}
	return nil
}
