// Package backlog keeps batch jobs: it accepts them, deals them out among the gateways, runs their
// items and serves their results. What is promised lies in the platform's store before the
// promise; every process folds the store's records into the same state.
package backlog

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/dependency"
)

// Topics in the store. Jobs and ends are written by any process, jobs under the condition that nobody
// wrote in between; results by the owners of shards, fenced by their epochs; progress by whoever
// has run an item.
var (
	jobPartition    = platform.Partition{Topic: "keyed.jobs"}
	resultPartition = platform.Partition{Topic: "keyed.results"}
	// textPartition holds the texts that lie apart from their results; it is read where a caller wants one.
	textPartition = platform.Partition{Topic: "keyed.texts"}
	// progressPartition is read only by processes that take a shard over.
	progressPartition = platform.Partition{Topic: "keyed.progress"}
)

const (
	// readWait is how long one read waits for records. Each answer proves how far the
	// partition went, so it also bounds how old a calm partition's state is.
	readWait = 600 * time.Millisecond
	// jobPause and resultPause let records gather between two reads: each read costs. Jobs are written under the condition that
	// their writer has read all before them, so that old news cost it a second try; results are only read by callers, twice a second.
	jobPause    = 25 * time.Millisecond
	resultPause = 100 * time.Millisecond
	// pausePerPeer comes to these for each other process, up to maxSpread: with n of them that read on their own the store answers n
	// times as often. Callers read results twice a second, and count on seeing
	// what another process has shown them a second ago.
	pausePerPeer = 2 * time.Millisecond
	maxSpread    = 300 * time.Millisecond
	// readBytes bounds one read.
	readBytes = 1 << 20
	// retryPause is the time between reads that fail.
	retryPause = 100 * time.Millisecond
)

// Replica is this process's copy of the backlog.
type Replica struct {
	name  string // of this start of this process
	store platform.Store
	log   hclog.Logger
	// contact is called when the store has answered a read of the jobs.
	contact func()
	// peers is how many other processes live.
	peers func() int
	// isFollowing says whether this process has to know all news at once.
	isFollowing func() bool
	// wanted gets a token for each partition whose news are wanted at once.
	wanted map[platform.Partition]chan struct{}

	mu    sync.Mutex
	state *backlog.State
	tails map[platform.Partition]*tail
	news  chan struct{} // closed and replaced with each change
}

// tail is how far a partition has been read.
type tail struct {
	loaded bool      // the newest records of all keys have been read
	next   uint64    // offset to read on from
	fresh  time.Time // a time at which the store had nothing after next
	// loading is the load that is under way; nil while none is.
	loading *loading
	// waiting is how many callers wait for news.
	waiting int
}

// NewReplica returns an empty copy for the process of that name.
func NewReplica(name string, store platform.Store, contact func(), peers func() int, log hclog.Logger) *Replica {
	return &Replica{
		name: name, store: store, log: log, contact: contact, peers: peers, state: backlog.NewState(), news: make(chan struct{}),
		tails:       map[platform.Partition]*tail{jobPartition: {}, resultPartition: {}},
		isFollowing: func() bool { return true },
		wanted:      map[platform.Partition]chan struct{}{jobPartition: make(chan struct{}, 1), resultPartition: make(chan struct{}, 1)},
	}
}

// follow reads the news of a partition until ctx ends.
func (r *Replica) follow(ctx context.Context, p platform.Partition) error {
	pauses := dependency.Pauses{Answered: jobPause, Failed: retryPause, More: r.spread}
	if p == resultPartition {
		pauses.Answered = resultPause
	}
	read := func() error {
		r.awaitNeed(ctx, p)
		return r.step(ctx, p)
	}
	dependency.NewLink(r.log, p.Topic).Follow(ctx, pauses, read, func(bool) {})
	return nil
}

// lazyInterval is the time between two reads of news that nobody here wants now. The store keeps its history for some 20 s; what is older
// has to be read whole.
const lazyInterval = 4 * time.Second

// awaitNeed waits until the news of a partition are wanted here, or due to be read in any case.
func (r *Replica) awaitNeed(ctx context.Context, p platform.Partition) {
	due := sleep.NewTimer(lazyInterval)
	defer due.Stop()
	for !r.isNeeded(p) {
		select {
		case <-r.wanted[p]:
		case <-due.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// isNeeded says whether the news of a partition are wanted here as they come.
func (r *Replica) isNeeded(p platform.Partition) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tails[p]
	return !t.loaded || t.waiting > 0 || r.isFollowing()
}

// wake has the news of all partitions read at once if they are needed.
func (r *Replica) wake() {
	for _, c := range r.wanted {
		signal(c)
	}
}

// want has the news of a partition read as they come until the returned function is called.
func (r *Replica) want(p platform.Partition) (done func()) {
	add := func(n int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.tails[p].waiting += n
	}
	add(1)
	signal(r.wanted[p])
	return func() { add(-1) }
}

// spread is how much longer this process pauses between two reads because others read, too.
func (r *Replica) spread() time.Duration {
	return min(maxSpread, time.Duration(r.peers())*pausePerPeer)
}

// step reads once.
func (r *Replica) step(ctx context.Context, p platform.Partition) error {
	next, loaded := r.position(p)
	if !loaded {
		return r.load(ctx, p)
	}
	asked, wait := time.Now(), r.readWait(p)
	page, err := r.store.Read(ctx, platform.Read{Partition: p, From: next, MaxBytes: readBytes, Wait: wait})
	var expired *platform.Expired
	if errors.As(err, &expired) {
		r.log.Warn("records have expired before they were read", "topic", p.Topic, "next", next, "first", expired.First)
		return r.load(ctx, p)
	}
	if err != nil {
		return err
	}
	r.take(p, page, next, provenAt(asked, wait, page))
	return nil
}

// provenAt is a time at which the store held no more than an answer shows. An answer may be long on its way: only the question's time is
// sure, and that a store that has taken as long as it may has waited for news in vain.
func provenAt(asked time.Time, wait time.Duration, page platform.Records) time.Time {
	if len(page.Records) > 0 || time.Since(asked) < wait {
		return asked
	}
	return asked.Add(wait)
}

// readWait is how long a read waits for news.
func (r *Replica) readWait(p platform.Partition) time.Duration {
	if !r.isNeeded(p) {
		return 0
	}
	return readWait
}

// loadProgress reads how far the items of a shard have come. It returns records that drop what nobody
// needs any more: a former owner may have written it after the item had ended elsewhere.
func (r *Replica) loadProgress(ctx context.Context, shard int) (drops []platform.KeyedRecord, err error) {
	prefix := backlog.ProgressPrefix(shard)
	_, err = platform.EachNewest(ctx, r.store, progressPartition, prefix, func(records []platform.StoredRecord) bool {
		own := records
		other := slices.IndexFunc(records, func(rec platform.StoredRecord) bool { return !strings.HasPrefix(rec.Key, prefix) })
		if other >= 0 {
			own = records[:other]
		}
		r.apply(own)
		drops = append(drops, r.unneeded(own)...)
		return other < 0
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announce()
	return drops, err
}

// unneeded returns records that drop those of progress that nobody will go on from.
func (r *Replica) unneeded(progress []platform.StoredRecord) []platform.KeyedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var drops []platform.KeyedRecord
	for _, rec := range progress {
		if r.state.Unneeded(rec.Key) {
			drops = append(drops, platform.KeyedRecord{Key: rec.Key})
		}
	}
	return drops
}

func (r *Replica) loaded(p platform.Partition, end uint64, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tails[p]
	t.loaded, t.loading = true, nil
	t.next = max(t.next, end)
	t.fresh = asked
	r.log.Info("backlog loaded", "topic", p.Topic, "end", end)
	r.announce()
}

// take folds a page that was read from an offset on, and that shows what the store held at a time. Two readers may bring the same page:
// the state does not go back.
func (r *Replica) take(p platform.Partition, page platform.Records, from uint64, proven time.Time) {
	r.apply(page.Records)
	if p == jobPartition {
		r.contact()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tails[p]
	t.next = max(t.next, from+uint64(len(page.Records)))
	if t.next >= page.End && proven.After(t.fresh) {
		t.fresh = proven
	}
	if len(page.Records) > 0 {
		r.announce()
	}
}

// takeOwn folds what this process has just written at an offset, so that it knows it before it
// reads it. Only records that follow what was read move the position.
func (r *Replica) takeOwn(p platform.Partition, at uint64, records []platform.KeyedRecord) {
	r.applyOwn(records)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tails[p]; t.next == at {
		t.next = at + uint64(len(records))
	}
}

// applyOwn folds records that are known to be in the store.
func (r *Replica) applyOwn(records []platform.KeyedRecord) {
	var stored []platform.StoredRecord
	for _, rec := range records {
		stored = append(stored, platform.StoredRecord{KeyedRecord: rec})
	}
	r.apply(stored)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announce()
}

func (r *Replica) apply(records []platform.StoredRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		if err := r.state.Apply(rec.KeyedRecord); err != nil {
			r.log.Error("record of the backlog left out", "key", rec.Key, "offset", rec.Offset, "error", err)
		}
	}
}

// announce wakes all that wait for news. The caller holds the lock.
func (r *Replica) announce() {
	close(r.news)
	r.news = make(chan struct{})
}

func (r *Replica) position(p platform.Partition) (next uint64, loaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tails[p].next, r.tails[p].loaded
}

// age is how old the state of a partition may be.
func (r *Replica) age(p platform.Partition) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tails[p].loaded {
		return time.Since(time.Time{})
	}
	return time.Since(r.tails[p].fresh)
}

// with calls f with the state under the lock and returns the channel that the next news closes.
func (r *Replica) with(f func(*backlog.State)) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
	return r.news
}

// catchUp reads until all that the partition held when the call began has been taken in.
func (r *Replica) catchUp(ctx context.Context, p platform.Partition) error {
	if _, loaded := r.position(p); !loaded {
		return errs.New(errs.LogDown, "the backlog has not been read yet").WithRetry(retryPause)
	}
	var target uint64
	for first := true; ; first = false {
		next, _ := r.position(p)
		if !first && next >= target {
			return nil
		}
		asked := time.Now()
		page, err := r.store.Read(ctx, platform.Read{Partition: p, From: next, MaxBytes: readBytes})
		if err != nil {
			return err
		}
		r.take(p, page, next, asked)
		if first {
			target = page.End
		}
	}
}

// reach waits until the partition has been read up to an offset.
func (r *Replica) reach(ctx context.Context, p platform.Partition, offset uint64) error {
	for {
		news := r.with(func(*backlog.State) {})
		if next, loaded := r.position(p); loaded && next >= offset {
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
