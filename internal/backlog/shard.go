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

// flushDelay is how long a shard waits for further results before it writes the first one.
const flushDelay = 5 * time.Millisecond

// progressRereadDelay is how long after a takeover the progress is read once more. A former owner that was
// not aware of its replacement writes its progress when it learns of it, within a third of its lease.
const progressRereadDelay = 800 * time.Millisecond

// shard is a part of the jobs that this process owns: only this process assigns positions to their results.
// Each write carries the epoch in which the shard was assigned; the store rejects the writes of a replaced
// owner, however late they arrive.
type shard struct {
	m     *Manager
	index int
	epoch uint64
	stop  context.CancelFunc
	// formerOwnersDoneAt is when live former owners have written their progress.
	formerOwnersDoneAt time.Time

	// mu is taken before the replica's lock where both are needed.
	mu      sync.Mutex
	isReady bool // fenced and caught up: its items may run
	isLost  bool // the store has rejected a write: a newer owner exists
	// isClosed shards accept no more results: no process here would write them.
	isClosed       bool
	pending        []*pendingResult
	nextPositions  map[string]int  // position of the next result, by job
	positioned     map[string]bool // items with a position assigned here, by job and item
	unconfirmed    *resultBatch    // the write whose success is unknown; it is repeated unchanged
	flushRequested chan struct{}
	stopped        chan struct{} // closed once run has returned
	seq            uint64
}

// pendingResult is the final result of an item that is not in the store yet.
type pendingResult struct {
	job        *backlog.Job
	index      int // of the item in its job
	outcome    backlog.Outcome
	text       string
	receivedAt time.Time // when it was passed to the shard
}

func (p *pendingResult) item() string { return p.job.Items[p.index].ID }

func (p *pendingResult) key() string { return p.job.ID + "/" + p.item() }

// startShard starts the ownership of a shard.
func (m *Manager) startShard(ctx context.Context, index int, epoch uint64, formerOwnersDoneAt time.Time) *shard {
	ctx, cancel := context.WithCancel(ctx)
	s := &shard{
		m: m, index: index, epoch: epoch, formerOwnersDoneAt: formerOwnersDoneAt, flushRequested: make(chan struct{}, 1), stopped: make(chan struct{}),
		nextPositions: make(map[string]int), positioned: make(map[string]bool),
	}
	s.stop = func() {
		cancel()
		s.close()
		m.scheduler.releaseShard(s)
	}
	go s.run(ctx)
	return s
}

func (s *shard) producer() *platform.Producer {
	return &platform.Producer{Name: "shard-" + strconv.Itoa(s.index), Epoch: s.epoch, Seq: s.seq}
}

// isFenced reports whether the store has rejected this owner in favour of a newer one.
func (s *shard) isFenced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLost
}

// run fences the former owner, reads what it has left and then writes results as they arrive, until ctx ends.
func (s *shard) run(ctx context.Context) {
	defer close(s.stopped)
	if !s.takeOver(ctx) || !s.awaitFormerOwner(ctx) {
		return
	}
	s.m.scheduler.adoptShard(ctx, s)
	reread := sleep.NewTimer(progressRereadDelay)
	defer reread.Stop()
	for {
		select {
		case <-s.flushRequested:
		case <-reread.C:
			s.readProgress(ctx)
		case <-ctx.Done():
			return
		}
		sleep.For(ctx, flushDelay)
		for s.flush(ctx) {
		}
	}
}

// takeOver sets the epoch in the store. After that no write of an older owner succeeds, so the records up to
// here are all that it has left.
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

// awaitFormerOwner waits, right after an outage, until the former owner has had time to write the progress of
// its items. During an outage all leases expire, and the first process that is back is assigned shards whose
// owners are alive. Without the wait it would run their items again from their last checkpoints, and items
// would be run completely twice.
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

// readProgress reads the progress of the shard's items. Without it they start from the beginning, so a
// failure is only logged.
func (s *shard) readProgress(ctx context.Context) {
	tombstones, err := s.m.replica.loadProgress(ctx, s.index)
	s.m.scheduler.addTombstones(tombstones)
	if err != nil {
		s.m.log.Warn("progress not read", "shard", s.index, "epoch", s.epoch, "error", err)
	}
}

// handleFenced reports whether err says that a newer owner exists. If so, the shard is marked as lost and its
// items are released.
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

// enqueueResult queues a result for the next write. It returns false if the shard is closed: the result of an
// item whose shard is released must go to the next owner.
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

// handOver writes the pending results and releases the shard.
func (s *shard) handOver(ctx context.Context) {
	s.stop()
	<-s.stopped
	s.mu.Lock()
	canWrite := s.isReady && !s.isLost
	s.mu.Unlock()
	for canWrite && s.flush(ctx) {
	}
}
