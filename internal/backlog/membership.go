package backlog

import (
	"context"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/dependency"
)

// The store divides the partitions of shardTopic among the members of shardGroup. Each partition stands for a
// shard and holds no records.
const (
	shardGroup = "backlog"
	shardTopic = "shards"
)

const (
	// joinsPerTTL is the number of join calls that a member makes within its TTL, the time after which the store
	// removes a member that has not called.
	joinsPerTTL = 3
	// memberTTLFactor is the ratio of a member's TTL to the shortest that the store allows. It exceeds 1 so that
	// one late call does not move all shards of a member.
	memberTTLFactor = 1.5
	// rejoinDelay is the pause after a failed join call. The sooner all members are back after an outage of the
	// store, the fewer shards move.
	rejoinDelay = 150 * time.Millisecond
	// rejoinGracePeriod is the time after the end of an outage of the store within which the last members rejoin:
	// a call that the store does not answer is abandoned after 1.2 s and repeated rejoinDelay later.
	rejoinGracePeriod = 1500 * time.Millisecond
	// leaveTimeout bounds the time for which a process that leaves the group writes progress and results.
	leaveTimeout = 700 * time.Millisecond
)

// Members of the group call the store several times a second, so in a large fleet only some processes are
// members: those of the lowest ranks. The rank of a process is the number of processes that precede it; see
// Options.Rank.
const (
	// joinRanksPerShard is the number of ranks per shard that join: one for its owner and one for a process that
	// can take over at once.
	joinRanksPerShard = 2
	// leaveRanksPerShard is the number of ranks per shard at which a member without shards leaves. It is larger
	// than joinRanksPerShard, so that such members do not leave and rejoin whenever other processes start or stop.
	leaveRanksPerShard = 3
	// rankPollInterval is the interval at which a process outside the group checks whether it should join.
	rankPollInterval = 250 * time.Millisecond
)

// shouldJoin reports whether this process, which is no member of the group, should join it.
func (m *Manager) shouldJoin() bool {
	if m.opts.Rank == nil {
		return true
	}
	rank, isKnown := m.opts.Rank()
	return isKnown && rank < joinRanksPerShard*m.opts.Shards
}

// canLeave reports whether this process, a member with that number of shards, is not needed in the group.
func (m *Manager) canLeave(shards int) bool {
	if m.opts.Rank == nil || shards > 0 {
		return false
	}
	rank, _ := m.opts.Rank()
	return rank >= leaveRanksPerShard*m.opts.Shards
}

// maintainMembership joins the group whenever this process should be a member, until ctx ends.
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

// runAsMember joins the group and starts and stops shards as the store assigns them, until processCtx ends or
// the process is no longer needed as a member. Then it leaves the group.
func (m *Manager) runAsMember(processCtx context.Context) {
	ctx, endMembership := context.WithCancel(processCtx)
	defer endMembership()
	m.isMember.Store(true)
	m.replica.requestReads()
	ttl := time.Duration(float64(m.opts.MinTTL) * memberTTLFactor)
	membership := platform.Membership{Group: shardGroup, Member: m.opts.MemberID, Topics: []string{shardTopic}, TTL: ttl}
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

// applyAssignment starts newly assigned shards and stops those that are no longer assigned; shards holds
// those that this process runs, by index. Shards are stopped before the next join call, which reports them to
// the store as free. The items of new shards start once formerOwnersDoneAt has passed.
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
			// A lost shard restarts only in a later epoch. In the same one it would reuse sequence numbers, and
			// the store would acknowledge its writes as repeats without doing them.
			if !s.hasNewerOwner() || assignment.Generation <= s.epoch {
				continue
			}
			s.stop()
		}
		m.log.Info("shard taken", "shard", i, "epoch", assignment.Generation)
		shards[i] = m.startShard(ctx, i, assignment.Generation, formerOwnersDoneAt)
	}
}

// leaveGroup writes the progress and results of all shards, then leaves the group so that the store may
// reassign the shards. isStopping means that the process stops; then it cancels all runs first.
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
	if err := m.store.Leave(ctx, shardGroup, m.opts.MemberID); err != nil {
		m.log.Warn("leave request failed: shards move once the lease has expired", "error", err)
	}
}
