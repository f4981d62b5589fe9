package backlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/paging"
	"arbutusramp/core/platform"
)

// pageLimits bounds the time for one page of a load and the pause after a page that failed. All processes share
// the store's bandwidth: while a hundred of them each read a page of 1 MB at 80 MB/s in total, a page takes
// 1.3 s.
var pageLimits = paging.Limits{Patience: 10 * time.Second, Backoff: 3 * time.Second}

// tailReadInterval is the interval at which a load also reads the tail, the records that were written since
// it began. The store discards its history after some 20 s: if the tail were read only at the end, a load
// that takes longer would have to start over.
const tailReadInterval = 3 * time.Second

// partitionLoad is the state of an unfinished load of a partition.
type partitionLoad struct {
	pages      *paging.Reader
	tailOffset uint64    // offset of the next record of the tail; see tailReadInterval
	tailReadAt time.Time // time of the last read of the tail; at first that of the first page
}

// load reads the newest record of each key of a partition, page by page in key order. It also reads the records
// that were written since its first page; applying a record twice has no effect. After an error the next call
// resumes at the same page.
func (r *Replica) load(ctx context.Context, p platform.Partition) error {
	l := r.currentLoad(p)
	for {
		records, more, err := l.pages.Next(ctx)
		if err != nil {
			r.logMissedPage(p, err)
			return err
		}
		l.startTail()
		r.apply(records)
		if !more {
			r.finishLoad(p, l.tailOffset, l.pages.Began())
			return nil
		}
		if err := r.readTail(ctx, p, l); err != nil {
			return err
		}
	}
}

// startTail sets the offset at which the tail begins to the end that the partition had at the first page. It
// has no effect after later pages.
func (l *partitionLoad) startTail() {
	if l.tailReadAt.IsZero() {
		l.tailOffset, l.tailReadAt = l.pages.End(), l.pages.Began()
	}
}

// logMissedPage logs a page of a load that the store did not return in time.
func (r *Replica) logMissedPage(p platform.Partition, err error) {
	var missed *paging.Missed
	if errors.As(err, &missed) {
		r.log.Info("page of the backlog not read", "topic", p.Topic, "after", missed.After, "took_ms", missed.Took.Milliseconds(),
			"patience_ms", missed.Patience.Milliseconds(), "pause_ms", missed.Pause.Milliseconds(), "error", missed.Err)
	}
}

// readTail reads the next records of the tail, at most once per tailReadInterval. It returns an error only if
// they have expired, so that the load has to start over.
func (r *Replica) readTail(ctx context.Context, p platform.Partition, l *partitionLoad) error {
	if time.Since(l.tailReadAt) < tailReadInterval {
		return nil
	}
	l.tailReadAt = time.Now()
	page, err := r.store.Read(ctx, platform.Read{Partition: p, From: l.tailOffset, MaxBytes: readBytes})
	var expired *platform.Expired
	if errors.As(err, &expired) {
		r.restartLoad(p)
		return err
	}
	if err != nil {
		return nil // the tail is read again after the next page
	}
	r.apply(page.Records)
	l.tailOffset += uint64(len(page.Records))
	return nil
}

// currentLoad returns a partition's unfinished load, or starts one.
func (r *Replica) currentLoad(p platform.Partition) *partitionLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	ps := r.partitions[p]
	if ps.loading == nil {
		ps.loading = &partitionLoad{pages: paging.New(r.store, p, pageLimits, r.memberID)}
	}
	return ps.loading
}

// restartLoad discards a partition's unfinished load, so that the next one begins with the first page. It is
// called when the store no longer has all records of the tail.
func (r *Replica) restartLoad(p platform.Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions[p].loading = nil
}
