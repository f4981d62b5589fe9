package backlog

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

// flushDelay is how long a shard waits after a result for further ones, which it writes in the same append.
const flushDelay = 5 * time.Millisecond

// progressRereadDelay is the time after a takeover at which the progress is read once more. A former owner
// that was not aware of its replacement writes its progress once its next join call shows it, within a third
// of its lease.
const progressRereadDelay = 800 * time.Millisecond

// shard is a subset of all jobs that this process owns in one epoch: only the owner assigns positions to the
// results of the jobs. Each write of results carries the epoch in which the shard was assigned; the store
// rejects the writes of a replaced owner, however late they arrive.
type shard struct {
	m     *Manager
	index int
	epoch uint64
	// stop ends run, rejects further results and releases the shard's items.
	stop context.CancelFunc
	// formerOwnersDoneAt is the time by which former owners that are still running have written their progress.
	formerOwnersDoneAt time.Time

	// mu is taken before the replica's lock where both are needed.
	mu      sync.Mutex
	isReady bool // the epoch is set in the store, and all older results have been read
	isLost  bool // the store has rejected a write, because a newer owner exists
	// isClosed is set once the shard accepts no more results, because run has ended and would not write them.
	isClosed       bool
	pending        []*pendingResult
	nextPositions  map[string]int   // position of the next result, by job id
	positioned     map[itemKey]bool // items to which this owner has assigned a position, by job and item id
	unconfirmed    *resultBatch     // the batch whose write the store has not acknowledged yet; it is repeated unchanged
	flushRequested chan struct{}    // receives a token when results are pending
	stopped        chan struct{}    // closed once run has returned
	seq            uint64           // sequence number of the next write of results
}

// pendingResult is the result of an item that has not been stored yet.
type pendingResult struct {
	job        *backlog.Job
	index      int // of the item in its job
	outcome    backlog.Outcome
	text       string
	receivedAt time.Time // when the result was passed to the shard
}

// item returns the id of the item.
func (p *pendingResult) item() string { return p.job.Items[p.index].ID }

// itemKey names an item of a job. Both ids may hold any characters, so that no separator could join them.
type itemKey struct{ job, item string }

// key returns the key of the item in shard.positioned.
func (p *pendingResult) key() itemKey { return itemKey{p.job.ID, p.item()} }

// startShard starts the ownership of a shard that the store has assigned to this process in an epoch. The
// ownership ends with ctx or when the shard's stop is called.
func (m *Manager) startShard(ctx context.Context, index int, epoch uint64, formerOwnersDoneAt time.Time) *shard {
	ctx, cancel := context.WithCancel(ctx)
	s := &shard{
		m: m, index: index, epoch: epoch, formerOwnersDoneAt: formerOwnersDoneAt, flushRequested: make(chan struct{}, 1), stopped: make(chan struct{}),
		nextPositions: make(map[string]int), positioned: make(map[itemKey]bool),
	}
	s.stop = func() {
		cancel()
		s.close()
		m.scheduler.releaseShard(s)
	}
	go s.run(ctx)
	return s
}

// producer returns the identification of the next write of results. The store uses it to reject replaced
// owners and to do repeated writes only once.
func (s *shard) producer() *platform.Producer {
	return &platform.Producer{Name: "shard-" + strconv.Itoa(s.index), Epoch: s.epoch, Seq: s.seq}
}

// hasNewerOwner reports whether the shard is lost: the store has rejected a write because a newer owner exists.
func (s *shard) hasNewerOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLost
}

// run takes the shard over from its former owner, makes the scheduler run its items and writes their results
// until ctx ends.
func (s *shard) run(ctx context.Context) {
	defer close(s.stopped)
	if !s.takeOver(ctx) || !s.awaitFormerOwner(ctx) {
		return
	}
	s.m.scheduler.adoptShard(ctx, s)
	rereadTimer := sleep.NewTimer(progressRereadDelay)
	defer rereadTimer.Stop()
	for {
		select {
		case <-s.flushRequested:
		case <-rereadTimer.C:
			s.readProgress(ctx)
		case <-ctx.Done():
			return
		}
		sleep.For(ctx, flushDelay)
		for s.flush(ctx) {
		}
	}
}

// takeOver sets the shard's epoch in the store and reads all records that older owners have written; the
// store rejects their later writes of results. It retries failed calls and returns false if a newer owner
// exists or ctx ends.
func (s *shard) takeOver(ctx context.Context) bool {
	for {
		appended, err := s.m.store.Append(ctx, platform.Append{Partition: resultPartition, Producer: s.producer()})
		if err == nil {
			err = s.m.replica.awaitOffset(ctx, resultPartition, appended.End)
		}
		if err == nil {
			s.readProgress(ctx)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.isReady = true
			s.seq++
			s.m.log.Info("shard owned", "shard", s.index, "epoch", s.epoch, "end", appended.End)
			return true
		}
		if s.handleFenced(err) || !sleep.For(ctx, writeRetryPause) {
			return false
		}
	}
}

// awaitFormerOwner waits until formerOwnersDoneAt and then reads the progress that former owners have
// written. It returns false if ctx ends first. During an outage of the store all leases expire, and the first
// process that is back is assigned shards whose owners are still running. Without the wait it would run their
// items again from the last checkpoints, and some items would be run completely twice.
func (s *shard) awaitFormerOwner(ctx context.Context) bool {
	remaining := time.Until(s.formerOwnersDoneAt)
	if remaining <= 0 {
		return true
	}
	if !sleep.For(ctx, remaining) {
		return false
	}
	s.readProgress(ctx)
	return true
}

// readProgress reads the stored progress of the shard's items and queues tombstones for obsolete records. Items
// without progress start from the beginning, so a failure is only logged.
func (s *shard) readProgress(ctx context.Context) {
	tombstones, err := s.m.replica.loadProgress(ctx, s.index)
	s.m.scheduler.addTombstones(tombstones)
	if err != nil {
		s.m.log.Warn("progress not read", "shard", s.index, "epoch", s.epoch, "error", err)
	}
}

// handleFenced reports whether err is the rejection of a write because a newer owner exists. If so, it marks
// the shard as lost and releases its items.
func (s *shard) handleFenced(err error) bool {
	var fenced *platform.Fenced
	if !errors.As(err, &fenced) {
		return false
	}
	s.m.log.Warn("shard lost", "shard", s.index, "epoch", s.epoch)
	s.mu.Lock()
	s.isLost, s.isClosed = true, true
	s.pending = nil
	s.mu.Unlock()
	s.m.scheduler.releaseShard(s)
	return true
}

// close makes the shard reject further results.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
}

// enqueueResult queues a result for the next write. It returns false if the shard is closed. The caller then
// has to store the result as progress, for the next owner.
func (s *shard) enqueueResult(p *pendingResult) bool {
	s.mu.Lock()
	if s.isClosed {
		s.mu.Unlock()
		return false
	}
	p.receivedAt = time.Now()
	s.pending = append(s.pending, p)
	s.mu.Unlock()
	signal(s.flushRequested)
	return true
}

// handOver stops the shard and writes its pending results, until ctx ends.
func (s *shard) handOver(ctx context.Context) {
	s.stop()
	<-s.stopped
	s.mu.Lock()
	canWrite := s.isReady && !s.isLost
	s.mu.Unlock()
	for canWrite && s.flush(ctx) {
	}
}
