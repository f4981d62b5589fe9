package backlog

import (
	"context"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/dependency"
)

// The store's group among whose members the shards are distributed. Its topic holds no records.
const (
	shardGroup = "backlog"
	shardTopic = "shards"
)

const (
	// joinsPerTTL is the number of join calls of a member within the time after which the store removes a
	// silent member.
	joinsPerTTL = 3
	// memberTTLFactor makes a member's TTL longer than the shortest that the store allows, so that one late
	// call does not move all its shards.
	memberTTLFactor = 1.5
	// rejoinDelay is the pause after a failed call of the store. The sooner all members are back after an
	// outage, the fewer shards move.
	rejoinDelay = 150 * time.Millisecond
	// rejoinGracePeriod is the time after the end of an outage within which the last members rejoin: a call
	// that the store does not answer is abandoned after 1.2 s and repeated rejoinDelay later.
	rejoinGracePeriod = 1500 * time.Millisecond
	// leaveTimeout bounds how long a process takes to leave the group.
	leaveTimeout = 700 * time.Millisecond
)

// Members of the group call the store several times a second. Of many processes only those of the lowest
// ranks are members: one owner per shard, and as many more that can take over at once.
const (
	joinRanksPerShard = 2
	// leaveRanksPerShard is larger than joinRanksPerShard, so that members without shards do not leave and
	// rejoin whenever other processes start or stop.
	leaveRanksPerShard = 3
	// rankPollInterval is how often a process outside the group checks whether it should join.
	rankPollInterval = 250 * time.Millisecond
)

// shouldJoin reports whether this process should be a member.
func (m *Manager) shouldJoin() bool {
	if m.opts.Rank == nil {
		return true
	}
	rank, isKnown := m.opts.Rank()
	return isKnown && rank < joinRanksPerShard*m.opts.Shards
}

// canLeave reports whether this member is no longer needed.
func (m *Manager) canLeave(shards int) bool {
	if m.opts.Rank == nil || shards > 0 {
		return false
	}
	rank, _ := m.opts.Rank()
	return rank >= leaveRanksPerShard*m.opts.Shards
}

// maintainMembership keeps this process a member of the group while it should be one, until ctx ends.
func (m *Manager) maintainMembership(ctx context.Context) error {
	defer m.stopSaving() // nothing is written after the process has left
	for ctx.Err() == nil {
		if m.shouldJoin() {
			m.runAsMember(ctx)
			continue
		}
		sleep.For(ctx, rankPollInterval)
	}
	return nil
}

// runAsMember acquires and releases shards as the store assigns them, until processCtx ends or the process is
// no longer needed as a member.
func (m *Manager) runAsMember(processCtx context.Context) {
	ctx, endMembership := context.WithCancel(processCtx)
	defer endMembership()
	m.isMember.Store(true)
	m.replica.requestReads()
	ttl := time.Duration(float64(m.opts.MinTTL) * memberTTLFactor)
	membership := platform.Membership{Group: shardGroup, Member: m.opts.Member, Topics: []string{shardTopic}, TTL: ttl}
	shards := make(map[int]*shard)
	var formerOwnersDoneAt time.Time // after an outage: when former owners have written their progress
	var requestedAt time.Time
	var assignment platform.Assignment
	join := func() (err error) {
		requestedAt = time.Now()
		assignment, err = m.store.Join(ctx, membership)
		return err
	}
	pauses := dependency.Pauses{Answered: ttl / joinsPerTTL, Failed: rejoinDelay}
	dependency.NewLink(m.log, shardGroup).Follow(ctx, pauses, join, func(isBack bool) {
		if isBack {
			formerOwnersDoneAt = time.Now().Add(rejoinGracePeriod)
		}
		membership.Generation = assignment.Generation
		m.applyAssignment(ctx, shards, assignment, formerOwnersDoneAt)
		m.scheduler.setLeaseEnd(requestedAt.Add(ttl))
		if m.canLeave(len(shards)) {
			m.log.Info("not needed as an owner of shards", "generation", assignment.Generation)
			endMembership()
		}
	})
	m.isMember.Store(false)
	m.leaveGroup(shards, processCtx.Err() != nil)
}

// applyAssignment starts newly assigned shards and stops those that are no longer assigned. They are stopped
// before the next join call, which reports them to the store as free. The items of new shards start once
// formerOwnersDoneAt has passed.
func (m *Manager) applyAssignment(ctx context.Context, shards map[int]*shard, assignment platform.Assignment, formerOwnersDoneAt time.Time) {
	isAssigned := make(map[int]bool, len(assignment.Held))
	for _, p := range assignment.Held {
		isAssigned[p.Index] = true
	}
	for i, s := range shards {
		if !isAssigned[i] {
			m.log.Info("shard given back", "shard", i, "epoch", s.epoch, "generation", assignment.Generation)
			s.stop()
			delete(shards, i)
		}
	}
	for i := range isAssigned {
		if s, ok := shards[i]; ok {
			// Restarted in the same epoch, the shard would reuse sequence numbers, and the store would answer
			// its writes as repeats without doing them.
			if !s.isFenced() || assignment.Generation <= s.epoch {
				continue
			}
			s.stop()
		}
		m.log.Info("shard taken", "shard", i, "epoch", assignment.Generation)
		shards[i] = m.startShard(ctx, i, assignment.Generation, formerOwnersDoneAt)
	}
}

// leaveGroup writes the progress and results of all shards, then leaves the group so that the store may
// reassign the shards. If isStopping is set, it cancels running items first.
func (m *Manager) leaveGroup(shards map[int]*shard, isStopping bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if isStopping {
		m.scheduler.stopRuns(ctx)
	}
	for _, s := range shards {
		s.handOver(ctx)
	}
	m.awaitSaves(ctx)
	if err := m.store.Leave(ctx, shardGroup, m.opts.Member); err != nil {
		m.log.Warn("leave request failed: shards move once the lease has expired", "error", err)
	}
}
