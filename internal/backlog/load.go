package backlog

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

const (
	// firstPatience is how long a page may take at first. An idle store answers within some ms, and a page of 1 MB takes 0.4 s
	// on a link of 30 Mbit/s; a connection that has fallen silent is noticed by it.
	firstPatience = 1200 * time.Millisecond
	// maxPatience bounds how long one page may take. A hundred processes that each wait for 1 MB of 80 MB/s need 1.3 s.
	maxPatience = 10 * time.Second
	// breathShare is the pause between two pages, as a share of what the last one took, up to maxBreath. It leaves room
	// for others' short reads while the store is busy, and costs a tenth of a second where it is not.
	breathShare = 0.3
	maxBreath   = time.Second
	// firstBackoff and maxBackoff bound the pause after a page that failed; it doubles with each failure in a row.
	firstBackoff = retryPause
	maxBackoff   = 3 * time.Second
	// tailEvery is how often a load reads the news behind it. The store forgets its history after some 20 s: a load that takes
	// longer would have to begin again.
	tailEvery = 3 * time.Second
)

// loading is the reading of the newest record of every key of a partition, page by page.
//
// What goes wrong without it: after all processes have been lost, each reads the whole state at the same time. They share
// the store's bandwidth, so a page takes longer than a call may take as a rule; given up, it is asked for again from
// the first page on, while the store still sends the one before. With 88 processes and 8 MB none ever had it all. It is noticed
// as processes that serve requests and answer every question for a job's results with 503.
//
// Why this prevents it: a load goes on after the last page that it has, waits longer for each page that did not come, and
// pauses at random after a failure, so that together the processes ask for no more than the store can send.
type loading struct {
	rng      *rand.Rand
	begun    bool
	asked    time.Time // what was written later is not known to be in the pages
	tail     uint64    // offset from which the news are read
	tailRead time.Time
	after    string // key after which the next page begins
	patience time.Duration
	backoff  time.Duration
}

// newLoading returns one that has read nothing. The seed makes processes that fail together come back apart.
func newLoading(seed string) *loading {
	h := fnv.New64a()
	_, _ = h.Write([]byte(seed)) // a hash never fails to write
	return &loading{rng: rand.New(rand.NewPCG(h.Sum64(), 0)), patience: firstPatience, backoff: firstBackoff}
}

// failed takes in that a page has not come, and returns how long to wait before it is asked for again.
func (l *loading) failed(tookAll bool) time.Duration {
	if tookAll {
		l.patience = min(2*l.patience, maxPatience)
	}
	pause := time.Duration((0.5 + l.rng.Float64()) * float64(l.backoff))
	l.backoff = min(2*l.backoff, maxBackoff)
	return pause
}

// got takes in a page, and returns the pause before the next one.
func (l *loading) got(page platform.NewestPage, asked time.Time, took time.Duration) time.Duration {
	if !l.begun {
		l.begun, l.asked, l.tail, l.tailRead = true, asked, page.End, asked
	}
	l.backoff = firstBackoff
	if n := len(page.Records); n > 0 {
		l.after = page.Records[n-1].Key
	}
	return min(maxBreath, time.Duration(breathShare*float64(took)))
}

// load reads the newest record of each key. Records that are written meanwhile are read again from the first page's end
// on; the fold takes each once. After an error it goes on where it was.
func (r *Replica) load(ctx context.Context, p platform.Partition) error {
	l := r.loadingOf(p)
	for {
		more, err := r.loadPage(ctx, p, l)
		if err != nil {
			return err
		}
		if !more {
			r.loaded(p, l.tail, l.asked)
			return nil
		}
		if err := r.readTail(ctx, p, l); err != nil {
			return err
		}
	}
}

// loadPage reads the next page. It pauses before it returns, as long as the store's state asks for.
func (r *Replica) loadPage(ctx context.Context, p platform.Partition, l *loading) (more bool, err error) {
	asked := time.Now()
	pageCtx, cancel := context.WithTimeout(ctx, l.patience)
	defer cancel()
	page, err := r.store.Newest(pageCtx, p, l.after)
	took := time.Since(asked)
	if err != nil {
		pause := l.failed(pageCtx.Err() != nil)
		r.log.Info("page of the backlog not read", "topic", p.Topic, "after", l.after, "took_ms", took.Milliseconds(),
			"patience_ms", l.patience.Milliseconds(), "pause_ms", pause.Milliseconds(), "error", err)
		sleep.For(ctx, pause)
		return true, err
	}
	r.apply(page.Records)
	pause := l.got(page, asked, took)
	more = page.More && len(page.Records) > 0
	if more {
		sleep.For(ctx, pause)
	}
	return more, nil
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
		t.loading = newLoading(r.name)
	}
	return t.loading
}

// dropLoading makes the next load begin with the first page: the news since the first one are gone.
func (r *Replica) dropLoading(p platform.Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tails[p].loading = nil
}
