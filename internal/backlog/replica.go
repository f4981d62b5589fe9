// Package backlog runs batch jobs on the gateways: it accepts jobs from callers, divides them among the
// processes, runs their items at targets and returns their results. Each gateway runs one Manager. Jobs,
// results and progress are records in the platform's store, from which every process builds the same state. A
// submission or cancellation is acknowledged only once its record has been stored.
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

// Partitions in the store.
var (
	// jobPartition holds jobs and their cancellations, which any process writes. A job is written on the
	// condition that its writer has read all earlier records of the partition.
	jobPartition = platform.Partition{Topic: "keyed.jobs"}
	// resultPartition holds results. Only the owner of a job's shard writes them, under its epoch: the store
	// rejects a result with an older epoch than that of the newest owner. The tombstones of expired jobs are
	// written without an epoch.
	resultPartition = platform.Partition{Topic: "keyed.results"}
	// textPartition holds texts that are stored separately from their results. It is read only when a caller
	// asks for a text.
	textPartition = platform.Partition{Topic: "keyed.texts"}
	// progressPartition holds the progress of items, which any process that has run an item writes. It is read
	// only by processes that take over a shard.
	progressPartition = platform.Partition{Topic: "keyed.progress"}
)

const (
	// longPollWait is how long the store holds a read for new records before it answers without any. Each
	// answer contains the end of the partition, so this also bounds the age of the state of a partition to
	// which nothing is written.
	longPollWait = 600 * time.Millisecond
	// jobReadPause and resultReadPause are the pauses between two reads of a partition. Each read has a cost, so
	// records that arrive in a pause are read together. The pause is shorter for jobs: a job is written on the
	// condition that its writer has read all earlier ones, so a stale state costs a second attempt. Results are
	// only needed by callers, which ask for them twice a second.
	jobReadPause    = 25 * time.Millisecond
	resultReadPause = 100 * time.Millisecond
	// readPausePerPeer is added to these pauses for each other process, up to maxExtraReadPause: n processes
	// that read independently cause n times as many answers of the store. maxExtraReadPause is limited because
	// callers read results twice a second and expect to see at one process what another has returned a second
	// ago.
	readPausePerPeer  = 2 * time.Millisecond
	maxExtraReadPause = 300 * time.Millisecond
	// readBytes is the maximum size of the records that one read returns.
	readBytes = 1 << 20
	// readRetryPause is the pause after a failed read.
	readRetryPause = 100 * time.Millisecond
)

// Replica is this process's copy of the state of all jobs, built from the records of the job and result
// partitions. It is safe for concurrent use.
type Replica struct {
	memberID string // identifies this process instance; see Options.MemberID
	store    platform.Store
	log      hclog.Logger
	// onContact is called after each answered read of jobPartition. It records that this process reaches the
	// store.
	onContact func()
	// peerCount returns the number of other live processes.
	peerCount func() int
	// isFollowing reports whether this process needs all new records at once, as members of shardGroup do.
	isFollowing func() bool
	// readRequested holds a channel for each partition that is followed. A token in it makes awaitReadDue check
	// again whether new records are needed.
	readRequested map[platform.Partition]chan struct{}

	mu         sync.Mutex
	state      *backlog.State
	partitions map[platform.Partition]*partitionState
	changed    chan struct{} // closed and replaced with each change of the state
}

// partitionState records how far a partition has been read.
type partitionState struct {
	isLoaded  bool      // the newest record of each key has been read
	next      uint64    // offset of the next read
	currentAt time.Time // the latest known time at which the store held no record from offset next on
	// loading is the unfinished load; nil without one.
	loading *partitionLoad
	// waiters is the number of calls that wait for new records.
	waiters int
}

// NewReplica returns a replica without records. memberID identifies this process instance. onContact is called
// after each answered read of jobPartition; peerCount returns the number of other live processes.
func NewReplica(memberID string, store platform.Store, onContact func(), peerCount func() int, log hclog.Logger) *Replica {
	return &Replica{
		memberID: memberID, store: store, log: log, onContact: onContact, peerCount: peerCount, state: backlog.NewState(), changed: make(chan struct{}),
		partitions:    map[platform.Partition]*partitionState{jobPartition: {}, resultPartition: {}},
		isFollowing:   func() bool { return true },
		readRequested: map[platform.Partition]chan struct{}{jobPartition: make(chan struct{}, 1), resultPartition: make(chan struct{}, 1)},
	}
}

// follow loads a partition and then reads its new records until ctx ends.
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

// idleReadInterval is the interval between the reads of a partition whose new records this process does not
// need at once. The store keeps its history for some 20 s; a reader that falls further behind has to load the
// whole partition.
const idleReadInterval = 4 * time.Second

// awaitReadDue waits until this process needs the new records of a partition, idleReadInterval has passed or
// ctx has ended.
func (r *Replica) awaitReadDue(ctx context.Context, p platform.Partition) {
	idleTimer := sleep.NewTimer(idleReadInterval)
	defer idleTimer.Stop()
	for !r.needsNewRecords(p) {
		select {
		case <-r.readRequested[p]:
		case <-idleTimer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// needsNewRecords reports whether this process needs the new records of a partition at once: it has not loaded
// the partition, a call waits for its records, or the process follows all records.
func (r *Replica) needsNewRecords(p platform.Partition) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ps := r.partitions[p]
	return !ps.isLoaded || ps.waiters > 0 || r.isFollowing()
}

// requestReads makes awaitReadDue check each partition at once. It is called when this process begins to follow
// all records.
func (r *Replica) requestReads() {
	for _, c := range r.readRequested {
		signal(c)
	}
}

// addWaiter makes the replica read new records of a partition without idle intervals until done is called.
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

// extraReadPause returns by how much the pause between two reads is extended because other processes read too.
func (r *Replica) extraReadPause() time.Duration {
	return min(maxExtraReadPause, time.Duration(r.peerCount())*readPausePerPeer)
}

// readOnce makes one read of a partition's new records and applies them. If the partition has not been
// loaded, or the records at the read offset have expired, it loads the partition.
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

// provenCurrentAt returns the latest time at which the store certainly held no more records than its answer
// contains. An answer may be delayed on its way, so that is the time of the request. If an answer without
// records took at least maxWait, the store has waited that long for records, and the time is maxWait later.
func provenCurrentAt(requestedAt time.Time, maxWait time.Duration, page platform.Records) time.Time {
	if len(page.Records) > 0 || time.Since(requestedAt) < maxWait {
		return requestedAt
	}
	return requestedAt.Add(maxWait)
}

// pollWait returns how long the store may hold a read of a partition for new records: longPollWait if they are
// needed at once, else 0.
func (r *Replica) pollWait(p platform.Partition) time.Duration {
	if !r.needsNewRecords(p) {
		return 0
	}
	return longPollWait
}

// loadProgress reads and applies the progress of a shard's items. It returns tombstones for obsolete progress,
// which a former owner may have written after another process had finished the item.
func (r *Replica) loadProgress(ctx context.Context, shard int) (tombstones []platform.KeyedRecord, err error) {
	prefix := backlog.ProgressPrefix(shard)
	_, err = platform.EachNewest(ctx, r.store, progressPartition, prefix, func(records []platform.StoredRecord) bool {
		shardRecords := records
		firstOther := slices.IndexFunc(records, func(rec platform.StoredRecord) bool { return !strings.HasPrefix(rec.Key, prefix) })
		if firstOther >= 0 {
			shardRecords = records[:firstOther]
		}
		r.apply(shardRecords)
		tombstones = append(tombstones, r.obsoleteProgress(shardRecords)...)
		return firstOther < 0
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyChange()
	return tombstones, err
}

// obsoleteProgress returns tombstones for those of the given progress records whose items no owner will resume.
func (r *Replica) obsoleteProgress(progress []platform.StoredRecord) []platform.KeyedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tombstones []platform.KeyedRecord
	for _, rec := range progress {
		if r.state.IsProgressObsolete(rec.Key) {
			tombstones = append(tombstones, platform.KeyedRecord{Key: rec.Key})
		}
	}
	return tombstones
}

// finishLoad marks a partition as loaded. end is the offset of the next read, requestedAt the time of the
// load's first request.
func (r *Replica) finishLoad(p platform.Partition, end uint64, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ps := r.partitions[p]
	ps.isLoaded, ps.loading = true, nil
	ps.next = max(ps.next, end)
	ps.currentAt = requestedAt
	r.log.Info("backlog loaded", "topic", p.Topic, "end", end)
	r.notifyChange()
}

// applyPage applies a page of new records. from is the offset at which the page was read, provenAt a time at
// which the store held no more records than the page shows. Two concurrent reads may apply the same page; the
// read offset and the time of the state never decrease.
func (r *Replica) applyPage(p platform.Partition, page platform.Records, from uint64, provenAt time.Time) {
	r.apply(page.Records)
	if p == jobPartition {
		r.onContact()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ps := r.partitions[p]
	ps.next = max(ps.next, from+uint64(len(page.Records)))
	if ps.next >= page.End && provenAt.After(ps.currentAt) {
		ps.currentAt = provenAt
	}
	if len(page.Records) > 0 {
		r.notifyChange()
	}
}

// applyOwnAt applies records that this process has just written at an offset, without reading them from the
// store. The read offset advances only if the records directly follow those that have been read.
func (r *Replica) applyOwnAt(p platform.Partition, offset uint64, records []platform.KeyedRecord) {
	r.applyOwn(records)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ps := r.partitions[p]; ps.next == offset {
		ps.next = offset + uint64(len(records))
	}
}

// applyOwn applies records that this process has just written, without reading them from the store.
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

// apply applies stored records. It logs and skips malformed ones.
func (r *Replica) apply(records []platform.StoredRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		if err := r.state.Apply(rec.KeyedRecord); err != nil {
			r.log.Error("backlog record skipped", "key", rec.Key, "offset", rec.Offset, "error", err)
		}
	}
}

// notifyChange closes the channel that withState has returned, and replaces it. The caller holds the lock.
func (r *Replica) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// nextOffset returns the offset of the next read of a partition. isLoaded reports whether the partition has
// been loaded.
func (r *Replica) nextOffset(p platform.Partition) (next uint64, isLoaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitions[p].next, r.partitions[p].isLoaded
}

// stateAge returns an upper bound on the age of the state of a partition. For a partition that has not been
// loaded it is longer than any limit.
func (r *Replica) stateAge(p platform.Partition) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.partitions[p].isLoaded {
		return time.Since(time.Time{})
	}
	return time.Since(r.partitions[p].currentAt)
}

// withState calls f with the state, under the replica's lock, and returns a channel that is closed at the next
// change of the state.
func (r *Replica) withState(f func(*backlog.State)) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
	return r.changed
}

// catchUp reads a partition until all records that it held when the call began have been applied. Errors:
// errs.LogDown (the partition has not been loaded), those of the store.
func (r *Replica) catchUp(ctx context.Context, p platform.Partition) error {
	if _, isLoaded := r.nextOffset(p); !isLoaded {
		return errs.New(errs.LogDown, "this process has not finished its first load of batch jobs and results").WithRetry(readRetryPause)
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

// awaitOffset waits until all records of a partition before an offset have been applied. It returns the error
// of ctx if that ends first.
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
