// Package paging reads the newest record of every key of a partition, page by page, beside many others that do the same.
//
// After the loss of all processes each of them reads the whole state at the same time, and they share the store's bandwidth: a page
// takes longer than a call may take as a rule. A read that began anew after each page that did not come would never end. This one goes
// on after the last page that it has, waits longer for each page that did not come, and pauses at random after a failure, so that together the
// processes ask for no more than the store can send.
package paging

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

const (
	// firstPatience is how long a page may take at first. An idle store answers within some ms, and a page of 1 MB takes 0.4 s
	// on a link of 30 Mbit/s; a connection that has fallen silent is noticed by it.
	firstPatience = 1200 * time.Millisecond
	// breathShare is the pause between two pages, as a share of what the last one took, up to maxBreath. It leaves room
	// for others' short reads while the store is busy, and costs a tenth of a second where it is not.
	breathShare = 0.3
	maxBreath   = time.Second
	// firstBackoff is the pause after a page that failed; it doubles with each failure in a row.
	firstBackoff = 100 * time.Millisecond
)

// Limits bound how far a read gives way to others.
type Limits struct {
	Patience time.Duration // longest that one page may take
	Backoff  time.Duration // longest mean pause after a page that failed
}

// Reader is one read of a partition. It is not safe for concurrent use.
type Reader struct {
	store     platform.Store
	partition platform.Partition
	limits    Limits
	rng       *rand.Rand

	asked    time.Time // for the first page that came; zero before it
	end      uint64
	after    string
	patience time.Duration
	backoff  time.Duration
	pause    time.Duration // before the next page is asked for
}

// New returns a reader that has read nothing. The seed, a process's name, makes those that fail together come back apart.
func New(store platform.Store, p platform.Partition, l Limits, seed string) *Reader {
	return &Reader{
		store: store, partition: p, limits: l, rng: rand.New(rand.NewPCG(xxhash.Sum64String(seed), 0)),
		patience: min(firstPatience, l.Patience), backoff: min(firstBackoff, l.Backoff),
	}
}

// Missed is the failure of a page.
type Missed struct {
	After    string // key after which the page begins
	Took     time.Duration
	Patience time.Duration // how long it may have taken
	Pause    time.Duration // until it is asked for again
	Err      error
}

// Error implements error.
func (m *Missed) Error() string {
	return fmt.Sprintf("page after %q not read in %v of %v, again in %v: %v", m.After, m.Took, m.Patience, m.Pause, m.Err)
}

// Unwrap returns the store's error.
func (m *Missed) Unwrap() error { return m.Err }

// Next returns the next page, and whether another one follows. Before it asks it pauses for as long as the page before it
// calls for. After an error, a *Missed or the end of ctx, it asks for the same page again.
func (r *Reader) Next(ctx context.Context) (records []platform.StoredRecord, more bool, err error) {
	if !sleep.For(ctx, r.pause) {
		return nil, true, ctx.Err()
	}
	asked := time.Now()
	pageCtx, cancel := context.WithTimeout(ctx, r.patience)
	defer cancel()
	page, err := r.store.Newest(pageCtx, r.partition, r.after)
	took := time.Since(asked)
	if err != nil {
		return nil, true, r.missed(err, took, pageCtx.Err() != nil)
	}
	r.got(page, asked, took)
	return page.Records, page.More && len(page.Records) > 0, nil
}

// missed takes in that a page has not come.
func (r *Reader) missed(err error, took time.Duration, tookAll bool) *Missed {
	m := &Missed{After: r.after, Took: took, Patience: r.patience, Err: err}
	if tookAll {
		r.patience = min(2*r.patience, r.limits.Patience)
	}
	r.pause = time.Duration((0.5 + r.rng.Float64()) * float64(r.backoff))
	r.backoff = min(2*r.backoff, r.limits.Backoff)
	m.Pause = r.pause
	return m
}

// got takes in a page.
func (r *Reader) got(page platform.NewestPage, asked time.Time, took time.Duration) {
	if r.asked.IsZero() {
		r.asked, r.end = asked, page.End
	}
	r.backoff = min(firstBackoff, r.limits.Backoff)
	if n := len(page.Records); n > 0 {
		r.after = page.Records[n-1].Key
	}
	r.pause = min(maxBreath, time.Duration(breathShare*float64(took)))
}

// Began is when the first page that came was asked for: what was written later is not known to be in the pages. It is zero before
// that.
func (r *Reader) Began() time.Time { return r.asked }

// End is the end of the partition when its first page was read. What is written while the pages are read is found by
// reading on from there.
func (r *Reader) End() uint64 { return r.end }
