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

// flushPause is how long a shard waits for more ends before it writes the first one.
const flushPause = 5 * time.Millisecond

// progressAgain is how long after a takeover the progress is read once more: a former owner that did
// not know that it was replaced writes what it has when it learns of it, within a third of its lease.
const progressAgain = 800 * time.Millisecond

// shard is a part of the jobs that this process owns: it alone gives their results positions. Each
// write carries the epoch in which the shard was dealt to it; the store refuses those of an owner
// that has been replaced, however late they come.
type shard struct {
	m     *Manager
	index int
	epoch uint64
	stop  context.CancelFunc
	// settled is when former owners that live have written what they had.
	settled time.Time

	// mu is taken before the replica's lock where both are needed.
	mu    sync.Mutex
	ready bool // fenced and caught up: its items may run
	lost  bool // the store has refused a write: a newer owner exists
	// closed shards take no more ends: nobody here would write them.
	closed bool
	queue  []*outcome
	next   map[string]int  // position of the next result, by job
	given  map[string]bool // items that have got a position here, by job and item
	open   *listing        // the write that is not known to be done; it is repeated as it is
	wake   chan struct{}
	over   chan struct{} // closed once run has returned
	seq    uint64
}

// outcome is an item's end that is not in the store yet.
type outcome struct {
	job     *backlog.Job
	index   int // of the item in its job
	outcome backlog.Outcome
	text    string
	known   time.Time // when it came to the shard
}

func (o *outcome) item() string { return o.job.Items[o.index].ID }

func (o *outcome) key() string { return o.job.ID + "/" + o.item() }

// startShard begins to own a shard.
func (m *Manager) startShard(ctx context.Context, index int, epoch uint64, settled time.Time) *shard {
	ctx, cancel := context.WithCancel(ctx)
	s := &shard{
		m: m, index: index, epoch: epoch, settled: settled, wake: make(chan struct{}, 1), over: make(chan struct{}),
		next: make(map[string]int), given: make(map[string]bool),
	}
	s.stop = func() {
		cancel()
		s.close()
		m.scheduler.giveUpShard(s)
	}
	go s.run(ctx)
	return s
}

func (s *shard) producer() *platform.Producer {
	return &platform.Producer{Name: "shard-" + strconv.Itoa(s.index), Epoch: s.epoch, Seq: s.seq}
}

// fenced says whether a newer owner has shut this one out.
func (s *shard) fenced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// run shuts the old owner out, reads what it has left and then writes results as they come.
func (s *shard) run(ctx context.Context) {
	defer close(s.over)
	if !s.takeOver(ctx) || !s.awaitFormerOwner(ctx) {
		return
	}
	s.m.scheduler.adopt(ctx, s)
	again := sleep.NewTimer(progressAgain)
	defer again.Stop()
	for {
		select {
		case <-s.wake:
		case <-again.C:
			s.readProgress(ctx)
		case <-ctx.Done():
			return
		}
		sleep.For(ctx, flushPause)
		for s.flush(ctx) {
		}
	}
}

// takeOver sets the epoch. From then on no write of an older owner is done, so what has been read
// up to here is all that it has left.
func (s *shard) takeOver(ctx context.Context) bool {
	for {
		done, err := s.m.store.Append(ctx, platform.Append{Partition: resultPartition, Producer: s.producer()})
		if err == nil {
			err = s.m.replica.reach(ctx, resultPartition, done.End)
		}
		if err == nil {
			s.readProgress(ctx)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ready = true
			s.seq++
			s.m.log.Info("shard owned", "shard", s.index, "epoch", s.epoch, "end", done.End)
			return true
		}
		if s.refused(err) || !sleep.For(ctx, writePause) {
			return false
		}
	}
}

// awaitFormerOwner waits, right after an outage, until the former owner has had time to write how far the
// items have come. In an outage all leases lapse, and the first process that is back is dealt shards
// whose owners live: it would run their items anew from their last checkpoints, which shows as items with
// two whole runs.
func (s *shard) awaitFormerOwner(ctx context.Context) bool {
	left := time.Until(s.settled)
	if left <= 0 {
		return true
	}
	if !sleep.For(ctx, left) {
		return false
	}
	s.readProgress(ctx)
	return true
}

// readProgress takes over how far the shard's items have come. Without it they start anew, so a
// failure is only logged.
func (s *shard) readProgress(ctx context.Context) {
	drops, err := s.m.replica.loadProgress(ctx, s.index)
	s.m.scheduler.drop(drops)
	if err != nil {
		s.m.log.Warn("progress not read", "shard", s.index, "epoch", s.epoch, "error", err)
	}
}

// refused notes that a newer owner exists.
func (s *shard) refused(err error) bool {
	var fenced *platform.Fenced
	if !errors.As(err, &fenced) {
		return false
	}
	s.m.log.Warn("shard lost", "shard", s.index, "epoch", s.epoch)
	s.mu.Lock()
	s.lost, s.closed = true, true
	s.queue = nil
	s.mu.Unlock()
	s.m.scheduler.giveUpShard(s)
	return true
}

// close has the shard take no more ends.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// finish takes an item's end for the next write. It reports whether it has: the end of an item whose shard is given up must go to
// the next owner.
func (s *shard) finish(o *outcome) bool {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return false
	}
	o.known = time.Now()
	s.queue = append(s.queue, o)
	s.mu.Unlock()
	signal(s.wake)
	return true
}

// handOver writes the ends that wait and gives the shard up.
func (s *shard) handOver(ctx context.Context) {
	s.stop()
	<-s.over
	s.mu.Lock()
	mayWrite := s.ready && !s.lost
	s.mu.Unlock()
	for mayWrite && s.flush(ctx) {
	}
}
