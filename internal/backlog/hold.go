package backlog

import (
	"context"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/dependency"
)

// The group among whose members the shards are dealt. Its topic holds no records.
const (
	shardGroup = "backlog"
	shardTopic = "shards"
)

const (
	// joinsPerTTL is how often a member is heard of within the time after which it is gone.
	joinsPerTTL = 3
	// ttlFactor makes a member's time longer than the shortest that the store allows, so that
	// one late call does not move all its shards.
	ttlFactor = 1.5
	// rejoinDelay is the pause after a call of the store that failed: the sooner all members are back
	// after an outage, the sooner the shards stay where they are.
	rejoinDelay = 150 * time.Millisecond
	// returnSpan is how long after the end of an outage the last members are back: a call that the
	// store did not answer is given up after 1.2 s, and made again rejoinDelay later.
	returnSpan = 1500 * time.Millisecond
	// leaveTimeout bounds the farewell of a process that stops.
	leaveTimeout = 700 * time.Millisecond
)

// Members of the group call the store several times a second. Of many processes only those of the lowest ranks are members: as many as there
// are shards own one, and as many more take over at once.
const (
	joinRanksPerShard = 2
	// leaveRanksPerShard keeps members that own nothing from leaving and joining as others come and go.
	leaveRanksPerShard = 3
	// rankInterval is how often a process that is no member looks whether it should be.
	rankInterval = 250 * time.Millisecond
)

// shouldJoin says whether this process should be a member.
func (m *Manager) shouldJoin() bool {
	if m.opts.Rank == nil {
		return true
	}
	rank, isKnown := m.opts.Rank()
	return isKnown && rank < joinRanksPerShard*m.opts.Shards
}

// canLeave says whether a member is not needed any more.
func (m *Manager) canLeave(shards int) bool {
	if m.opts.Rank == nil || shards > 0 {
		return false
	}
	rank, _ := m.opts.Rank()
	return rank >= leaveRanksPerShard*m.opts.Shards
}

// hold keeps this process a member of the group while it should be one.
func (m *Manager) hold(ctx context.Context) error {
	defer m.stopSaving() // nothing is written after the process has left
	for ctx.Err() == nil {
		if m.shouldJoin() {
			m.holdAsMember(ctx)
			continue
		}
		sleep.For(ctx, rankInterval)
	}
	return nil
}

// holdAsMember takes and gives back shards as the store deals them, until ctx ends or the process is no longer needed as a member.
func (m *Manager) holdAsMember(process context.Context) {
	ctx, leave := context.WithCancel(process)
	defer leave()
	m.isMember.Store(true)
	m.replica.wake()
	ttl := time.Duration(float64(m.opts.MinTTL) * ttlFactor)
	membership := platform.Membership{Group: shardGroup, Member: m.opts.Member, Topics: []string{shardTopic}, TTL: ttl}
	shards := make(map[int]*shard)
	var settled time.Time // when former owners have written what they had, after an outage
	var asked time.Time
	var a platform.Assignment
	join := func() (err error) {
		asked = time.Now()
		a, err = m.store.Join(ctx, membership)
		return err
	}
	pauses := dependency.Pauses{Answered: ttl / joinsPerTTL, Failed: rejoinDelay}
	dependency.NewLink(m.log, shardGroup).Follow(ctx, pauses, join, func(back bool) {
		if back {
			settled = time.Now().Add(returnSpan)
		}
		membership.Generation = a.Generation
		m.deal(ctx, shards, a, settled)
		m.scheduler.leaseUntil(asked.Add(ttl))
		if m.canLeave(len(shards)) {
			m.log.Info("not needed as an owner of shards", "generation", a.Generation)
			leave()
		}
	})
	m.isMember.Store(false)
	m.leave(shards, process.Err() != nil)
}

// deal starts shards that are new and stops those that were taken away. Stopping comes before
// the next join, which tells the store that they are free. The items of new shards begin once settled
// has passed.
func (m *Manager) deal(ctx context.Context, shards map[int]*shard, a platform.Assignment, settled time.Time) {
	held := make(map[int]bool, len(a.Held))
	for _, p := range a.Held {
		held[p.Index] = true
	}
	for i, s := range shards {
		if !held[i] {
			m.log.Info("shard given back", "shard", i, "epoch", s.epoch, "generation", a.Generation)
			s.stop()
			delete(shards, i)
		}
	}
	for i := range held {
		if s, ok := shards[i]; ok {
			// Begun anew in the same epoch, the shard would use sequence numbers again, and the
			// store would answer its writes as repeats without doing them.
			if !s.fenced() || a.Generation <= s.epoch {
				continue
			}
			s.stop()
		}
		m.log.Info("shard taken", "shard", i, "epoch", a.Generation)
		shards[i] = m.startShard(ctx, i, a.Generation, settled)
	}
}

// leave hands over all shards: their items' progress is written, then the store may deal them out.
func (m *Manager) leave(shards map[int]*shard, isStopping bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if isStopping {
		m.scheduler.stopRuns(ctx)
	}
	for _, s := range shards {
		s.handOver(ctx)
	}
	m.awaitSaved(ctx)
	if err := m.store.Leave(ctx, shardGroup, m.opts.Member); err != nil {
		m.log.Warn("the store was not told of the leave: shards move once the lease has run out", "error", err)
	}
}
