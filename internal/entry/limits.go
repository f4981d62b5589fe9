package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/limit"
	"arbutusramp/core/structs"
)

const (
	limitShards = 32
	// forgetAfter is how long an idle workspace's state is kept: a token
	// bucket is full again long before.
	forgetAfter = 10 * time.Minute
	sweepEvery  = 1024 // begins of a shard between two sweeps
)

// limits holds each workspace's state, in shards under their own locks.
type limits struct {
	inFlight atomic.Int64
	weights  atomic.Int64 // of workspaces with requests in flight
	shards   [limitShards]limitShard
}

type limitShard struct {
	mu         sync.Mutex
	begins     int
	workspaces map[structs.WorkspaceID]*limitEntry
}

type limitEntry struct {
	state *limit.Workspace
	used  time.Time
	share int // what was added to limits.weights
}

func newLimits() *limits {
	l := &limits{}
	for i := range l.shards {
		l.shards[i].workspaces = make(map[structs.WorkspaceID]*limitEntry)
	}
	return l
}

func (l *limits) shard(id structs.WorkspaceID) *limitShard {
	return &l.shards[xxhash.Sum64String(string(id))%limitShards]
}

// begin admits a request of w when the targets that could take it have outstanding
// requests against capacity.
func (l *limits) begin(now time.Time, w *confstate.Workspace, outstanding, capacity int) *errs.Error {
	rules := limit.Rules{
		RequestsPerS: w.RequestsPerS, Burst: w.Burst,
		MaxInFlight: w.MaxInFlight, Weight: w.Weight,
	}
	fleet := limit.Fleet{
		Outstanding: outstanding, Capacity: capacity,
		InFlight: int(l.inFlight.Load()), Weights: int(l.weights.Load()),
	}
	sh := l.shard(w.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sweep(now)
	en := sh.workspaces[w.ID]
	if en == nil {
		en = &limitEntry{state: limit.NewWorkspace(rules)}
		sh.workspaces[w.ID] = en
	}
	en.used = now
	en.state.Update(now, rules)
	if err := en.state.Begin(now, fleet); err != nil {
		return err
	}
	l.inFlight.Add(1)
	if en.state.InFlight() == 1 {
		en.share = rules.Share()
		l.weights.Add(int64(en.share))
	}
	return nil
}

// end gives back what begin took.
func (l *limits) end(id structs.WorkspaceID) {
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	en := sh.workspaces[id]
	en.state.End()
	l.inFlight.Add(-1)
	if en.state.InFlight() == 0 {
		l.weights.Add(-int64(en.share))
	}
}

func (sh *limitShard) sweep(now time.Time) {
	sh.begins++
	if sh.begins%sweepEvery != 0 {
		return
	}
	for id, en := range sh.workspaces {
		if en.state.InFlight() == 0 && now.Sub(en.used) > forgetAfter {
			delete(sh.workspaces, id)
		}
	}
}

// retryBudget is the entry's budget for retries under a lock.
type retryBudget struct {
	mu     sync.Mutex
	budget limit.Budget
}

func (b *retryBudget) try(now time.Time) {
	b.mu.Lock()
	b.budget.Try(now)
	b.mu.Unlock()
}

func (b *retryBudget) retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Retry(now)
}
