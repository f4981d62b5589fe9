// Package backlog runs batch jobs: it accepts them, distributes them among the gateways, runs their items and
// serves their results. An answer is given only once the record behind it is in the platform's store; every
// process builds the same state from the store's records.
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

// Partitions in the store. Jobs and cancellations are written by any process, jobs on the condition that
// nothing was written in between. Results are written by the owners of shards, fenced by their epochs.
// Progress is written by any process that has run an item.
var (
	jobPartition    = platform.Partition{Topic: "keyed.jobs"}
	resultPartition = platform.Partition{Topic: "keyed.results"}
	// textPartition holds texts that are stored separately from their results. It is read only when a caller
	// asks for a text.
	textPartition = platform.Partition{Topic: "keyed.texts"}
	// progressPartition is read only by processes that take over a shard.
	progressPartition = platform.Partition{Topic: "keyed.progress"}
)

const (
	// longPollWait is how long one read waits for records. Each answer shows the end of the partition, so
	// this also bounds the age of the state of a partition without new records.
	longPollWait = 600 * time.Millisecond
	// jobReadPause and resultReadPause let records accumulate between two reads, since each read has a cost.
	// Jobs are written on the condition that their writer has read all earlier ones, so a stale state costs a
	// second attempt; results are only read by callers, twice a second.
	jobReadPause    = 25 * time.Millisecond
	resultReadPause = 100 * time.Millisecond
	// readPausePerPeer is added to these pauses for each other process, up to maxExtraReadPause: n processes
	// that read independently cause n times as many answers of the store. Callers read results twice a second
	// and expect to see what another process has shown them a second ago.
	readPausePerPeer  = 2 * time.Millisecond
	maxExtraReadPause = 300 * time.Millisecond
	// readBytes bounds one read.
	readBytes = 1 << 20
	// readRetryPause is the pause after a failed read.
	readRetryPause = 100 * time.Millisecond
)

// Replica is this process's copy of the backlog state.
type Replica struct {
	memberID string // of this start of this process
	store    platform.Store
	log      hclog.Logger
	// onContact is called when the store has answered a read of the jobs.
	onContact func()
	// peerCount returns the number of other live processes.
	peerCount func() int
	// isFollowing reports whether this process needs all new records at once.
	isFollowing func() bool
	// readRequested receives a token for each partition whose new records are needed at once.
	readRequested map[platform.Partition]chan struct{}

	mu         sync.Mutex
	state      *backlog.State
	partitions map[platform.Partition]*partitionState
	changed    chan struct{} // closed and replaced with each change
}

// partitionState is how far a partition has been read.
type partitionState struct {
	isLoaded  bool      // the newest records of all keys have been read
	next      uint64    // offset of the next read
	currentAt time.Time // a time at which the store held nothing after next
	// loading is the unfinished load; nil without one.
	loading *partitionLoad
	// waiters is the number of callers that wait for new records.
	waiters int
}

// NewReplica returns an empty replica for the process of that name.
func NewReplica(memberID string, store platform.Store, onContact func(), peerCount func() int, log hclog.Logger) *Replica {
	return &Replica{
		memberID: memberID, store: store, log: log, onContact: onContact, peerCount: peerCount, state: backlog.NewState(), changed: make(chan struct{}),
		partitions:    map[platform.Partition]*partitionState{jobPartition: {}, resultPartition: {}},
		isFollowing:   func() bool { return true },
		readRequested: map[platform.Partition]chan struct{}{jobPartition: make(chan struct{}, 1), resultPartition: make(chan struct{}, 1)},
	}
}

// follow reads the new records of a partition until ctx ends.
func (r *Replica) follow(ctx context.Context, p platform.Partition) error {
	pauses := dependency.Pauses{Answered: jobReadPause, Failed: readRetryPause, More: r.extraReadPause}
	if p == resultPartition {
		pauses.Answered = resultReadPause
	}
	read := func() error {
		r.awaitReadDue(ctx, p)
		return r.readOnce(ctx, p)
	}
	dependency.NewLink(r.log, p.Topic).Follow(ctx, pauses, read, func(bool) {})
	return nil
}

// idleReadInterval is the interval between reads of new records that no caller of this process needs now. The
// store keeps its history for some 20 s; a reader that falls further behind has to load the whole partition.
const idleReadInterval = 4 * time.Second

// awaitReadDue waits until the new records of a partition are needed here, or idleReadInterval has passed.
func (r *Replica) awaitReadDue(ctx context.Context, p platform.Partition) {
	due := sleep.NewTimer(idleReadInterval)
	defer due.Stop()
	for !r.needsNewRecords(p) {
		select {
		case <-r.readRequested[p]:
		case <-due.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// needsNewRecords reports whether the new records of a partition are needed here at once.
func (r *Replica) needsNewRecords(p platform.Partition) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.partitions[p]
	return !t.isLoaded || t.waiters > 0 || r.isFollowing()
}

// requestReads triggers a read of every partition whose new records are needed.
func (r *Replica) requestReads() {
	for _, c := range r.readRequested {
		signal(c)
	}
}

// addWaiter has the new records of a partition read at once until done is called.
func (r *Replica) addWaiter(p platform.Partition) (done func()) {
	add := func(n int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.partitions[p].waiters += n
	}
	add(1)
	signal(r.readRequested[p])
	return func() { add(-1) }
}

// extraReadPause is how much longer this process pauses between two reads because of the reads of its peers.
func (r *Replica) extraReadPause() time.Duration {
	return min(maxExtraReadPause, time.Duration(r.peerCount())*readPausePerPeer)
}

// readOnce reads once.
func (r *Replica) readOnce(ctx context.Context, p platform.Partition) error {
	next, isLoaded := r.nextOffset(p)
	if !isLoaded {
		return r.load(ctx, p)
	}
	requestedAt, maxWait := time.Now(), r.pollWait(p)
	page, err := r.store.Read(ctx, platform.Read{Partition: p, From: next, MaxBytes: readBytes, Wait: maxWait})
	var expired *platform.Expired
	if errors.As(err, &expired) {
		r.log.Warn("records have expired before they were read", "topic", p.Topic, "next", next, "first", expired.First)
		return r.load(ctx, p)
	}
	if err != nil {
		return err
	}
	r.applyPage(p, page, next, provenCurrentAt(requestedAt, maxWait, page))
	return nil
}

// provenCurrentAt returns a time at which the store held no more than an answer shows. Answers may be
// delayed, so only the time of the request is certain, except that a store that has taken at least the
// requested wait has waited that long for new records in vain.
func provenCurrentAt(requestedAt time.Time, maxWait time.Duration, page platform.Records) time.Time {
	if len(page.Records) > 0 || time.Since(requestedAt) < maxWait {
		return requestedAt
	}
	return requestedAt.Add(maxWait)
}

// pollWait returns how long a read waits for new records.
func (r *Replica) pollWait(p platform.Partition) time.Duration {
	if !r.needsNewRecords(p) {
		return 0
	}
	return longPollWait
}

// loadProgress reads the progress of the items of a shard. It returns tombstones for obsolete progress, which
// a former owner may have written after another process had finished the item.
func (r *Replica) loadProgress(ctx context.Context, shard int) (tombstones []platform.KeyedRecord, err error) {
	prefix := backlog.ProgressPrefix(shard)
	_, err = platform.EachNewest(ctx, r.store, progressPartition, prefix, func(records []platform.StoredRecord) bool {
		ownRecords := records
		firstOther := slices.IndexFunc(records, func(rec platform.StoredRecord) bool { return !strings.HasPrefix(rec.Key, prefix) })
		if firstOther >= 0 {
			ownRecords = records[:firstOther]
		}
		r.apply(ownRecords)
		tombstones = append(tombstones, r.obsoleteProgress(ownRecords)...)
		return firstOther < 0
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyChange()
	return tombstones, err
}

// obsoleteProgress returns tombstones for those of the progress records from which no owner will resume.
func (r *Replica) obsoleteProgress(progress []platform.StoredRecord) []platform.KeyedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tombstones []platform.KeyedRecord
	for _, rec := range progress {
		if r.state.Unneeded(rec.Key) {
			tombstones = append(tombstones, platform.KeyedRecord{Key: rec.Key})
		}
	}
	return tombstones
}

func (r *Replica) finishLoad(p platform.Partition, end uint64, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.partitions[p]
	t.isLoaded, t.loading = true, nil
	t.next = max(t.next, end)
	t.currentAt = requestedAt
	r.log.Info("backlog loaded", "topic", p.Topic, "end", end)
	r.notifyChange()
}

// applyPage applies a page that was read at an offset and shows what the store held at the time provenAt. Two
// readers may apply the same page: the state never goes back.
func (r *Replica) applyPage(p platform.Partition, page platform.Records, from uint64, provenAt time.Time) {
	r.apply(page.Records)
	if p == jobPartition {
		r.onContact()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.partitions[p]
	t.next = max(t.next, from+uint64(len(page.Records)))
	if t.next >= page.End && provenAt.After(t.currentAt) {
		t.currentAt = provenAt
	}
	if len(page.Records) > 0 {
		r.notifyChange()
	}
}

// applyOwnAt applies records that this process has just written at an offset, before it reads them. The read
// offset advances only if the records directly follow what was read.
func (r *Replica) applyOwnAt(p platform.Partition, offset uint64, records []platform.KeyedRecord) {
	r.applyOwn(records)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.partitions[p]; t.next == offset {
		t.next = offset + uint64(len(records))
	}
}

// applyOwn applies records that are known to be in the store.
func (r *Replica) applyOwn(records []platform.KeyedRecord) {
	var stored []platform.StoredRecord
	for _, rec := range records {
		stored = append(stored, platform.StoredRecord{KeyedRecord: rec})
	}
	r.apply(stored)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyChange()
}

func (r *Replica) apply(records []platform.StoredRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		if err := r.state.Apply(rec.KeyedRecord); err != nil {
			r.log.Error("backlog record skipped", "key", rec.Key, "offset", rec.Offset, "error", err)
		}
	}
}

// notifyChange unblocks all callers that wait for a change. The caller holds the lock.
func (r *Replica) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) nextOffset(p platform.Partition) (next uint64, isLoaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitions[p].next, r.partitions[p].isLoaded
}

// stateAge returns the maximum age of the state of a partition.
func (r *Replica) stateAge(p platform.Partition) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.partitions[p].isLoaded {
		return time.Since(time.Time{})
	}
	return time.Since(r.partitions[p].currentAt)
}

// withState calls f with the state under the lock and returns a channel that the next change closes.
func (r *Replica) withState(f func(*backlog.State)) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
	return r.changed
}

// catchUp reads until everything that the partition held when the call began has been applied.
func (r *Replica) catchUp(ctx context.Context, p platform.Partition) error {
	if _, isLoaded := r.nextOffset(p); !isLoaded {
		return errs.New(errs.LogDown, "the backlog has not been loaded yet").WithRetry(readRetryPause)
	}
	var end uint64
	for first := true; ; first = false {
		next, _ := r.nextOffset(p)
		if !first && next >= end {
			return nil
		}
		requestedAt := time.Now()
		page, err := r.store.Read(ctx, platform.Read{Partition: p, From: next, MaxBytes: readBytes})
		if err != nil {
			return err
		}
		r.applyPage(p, page, next, requestedAt)
		if first {
			end = page.End
		}
	}
}

// awaitOffset waits until the partition has been read up to an offset.
func (r *Replica) awaitOffset(ctx context.Context, p platform.Partition, offset uint64) error {
	for {
		changed := r.withState(func(*backlog.State) {})
		if next, isLoaded := r.nextOffset(p); isLoaded && next >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
