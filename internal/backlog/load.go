package backlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/paging"
	"arbutusramp/core/platform"
)

// pageLimits bounds the time for one page and the pause after a page that failed. If a hundred processes each
// read 1 MB from a store that sends 80 MB/s, a page takes 1.3 s.
var pageLimits = paging.Limits{Patience: 10 * time.Second, Backoff: 3 * time.Second}

// tailReadInterval is how often a load also reads the records written since it began. The store discards its
// history after some 20 s: a load that takes longer would have to start over.
const tailReadInterval = 3 * time.Second

// partitionLoad is the state of an unfinished first read of a partition.
type partitionLoad struct {
	pages      *paging.Reader
	tailOffset uint64 // offset of the next record of the tail: of those written since the load began
	tailReadAt time.Time
}

// load reads the newest record of each key. Records that are written meanwhile are read again, from the end
// of the partition at the first page on; applying a record twice has no effect. After an error the next call
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

// startTail sets, with the first page, the offset at which the tail begins.
func (l *partitionLoad) startTail() {
	if l.tailReadAt.IsZero() {
		l.tailOffset, l.tailReadAt = l.pages.End(), l.pages.Began()
	}
}

func (r *Replica) logMissedPage(p platform.Partition, err error) {
	var m *paging.Missed
	if errors.As(err, &m) {
		r.log.Info("page of the backlog not read", "topic", p.Topic, "after", m.After, "took_ms", m.Took.Milliseconds(),
			"patience_ms", m.Patience.Milliseconds(), "pause_ms", m.Pause.Milliseconds(), "error", m.Err)
	}
}

// readTail reads the records written since the load began, at most once per tailReadInterval.
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

// currentLoad returns the partition's unfinished load, or a new one.
func (r *Replica) currentLoad(p platform.Partition) *partitionLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.partitions[p]
	if t.loading == nil {
		t.loading = &partitionLoad{pages: paging.New(r.store, p, pageLimits, r.memberID)}
	}
	return t.loading
}

// restartLoad makes the next load begin with the first page: the store no longer has all records written
// since the first one.
func (r *Replica) restartLoad(p platform.Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions[p].loading = nil
}
