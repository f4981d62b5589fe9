package backlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/paging"
	"arbutusramp/core/platform"
)

// pageLimits bound how long a load gives way. A hundred processes that each wait for 1 MB of 80 MB/s need 1.3 s for a page.
var pageLimits = paging.Limits{Patience: 10 * time.Second, Backoff: 3 * time.Second}

// tailEvery is how often a load reads the news behind it. The store forgets its history after some 20 s: a load that takes
// longer would have to begin again.
const tailEvery = 3 * time.Second

// loading is the first read of a partition while it is under way.
type loading struct {
	pages    *paging.Reader
	tail     uint64 // offset from which the news are read
	tailRead time.Time
}

// load reads the newest record of each key. Records that are written meanwhile are read again from the first page's end
// on; the fold takes each once. After an error it goes on where it was.
func (r *Replica) load(ctx context.Context, p platform.Partition) error {
	l := r.loadingOf(p)
	for {
		records, more, err := l.pages.Next(ctx)
		if err != nil {
			r.noteMissed(p, err)
			return err
		}
		l.begin()
		r.apply(records)
		if !more {
			r.loaded(p, l.tail, l.pages.Began())
			return nil
		}
		if err := r.readTail(ctx, p, l); err != nil {
			return err
		}
	}
}

// begin notes, with the first page, from where the news are read.
func (l *loading) begin() {
	if l.tailRead.IsZero() {
		l.tail, l.tailRead = l.pages.End(), l.pages.Began()
	}
}

func (r *Replica) noteMissed(p platform.Partition, err error) {
	var m *paging.Missed
	if errors.As(err, &m) {
		r.log.Info("page of the backlog not read", "topic", p.Topic, "after", m.After, "took_ms", m.Took.Milliseconds(),
			"patience_ms", m.Patience.Milliseconds(), "pause_ms", m.Pause.Milliseconds(), "error", m.Err)
	}
}

// readTail reads what was written since the load began, every now and then.
func (r *Replica) readTail(ctx context.Context, p platform.Partition, l *loading) error {
	if time.Since(l.tailRead) < tailEvery {
		return nil
	}
	l.tailRead = time.Now()
	page, err := r.store.Read(ctx, platform.Read{Partition: p, From: l.tail, MaxBytes: readBytes})
	var expired *platform.Expired
	if errors.As(err, &expired) {
		r.dropLoading(p)
		return err
	}
	if err != nil {
		return nil // the news are read again after the next page
	}
	r.apply(page.Records)
	l.tail += uint64(len(page.Records))
	return nil
}

// loadingOf returns the partition's load that is under way, or a new one.
func (r *Replica) loadingOf(p platform.Partition) *loading {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tails[p]
	if t.loading == nil {
		t.loading = &loading{pages: paging.New(r.store, p, pageLimits, r.name)}
	}
	return t.loading
}

// dropLoading makes the next load begin with the first page: the news since the first one are gone.
func (r *Replica) dropLoading(p platform.Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tails[p].loading = nil
}
