package backlog

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// countingStore counts the join and read calls of one process.
type countingStore struct {
	platform.Store
	mu           sync.Mutex
	joins, reads int
}

func (s *countingStore) Join(ctx context.Context, m platform.Membership) (platform.Assignment, error) {
	s.mu.Lock()
	s.joins++
	s.mu.Unlock()
	return s.Store.Join(ctx, m)
}

func (s *countingStore) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	return s.Store.Read(ctx, r)
}

// takeCounts returns the numbers of calls since it was last called.
func (s *countingStore) takeCounts() (joins, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	joins, reads = s.joins, s.reads
	s.joins, s.reads = 0, 0
	return joins, reads
}

// largeCluster is a cluster with more processes than are needed as members of the group that owns the shards.
// The rank of a process is the number of live processes that were started before it.
type largeCluster struct {
	*cluster
	mu       sync.Mutex
	isKilled map[int]bool
	stores   []*countingStore
}

const (
	largeClusterSize = 24                             // number of processes
	memberCount      = joinRanksPerShard * testShards // number of processes that join
)

// withLargeCluster runs f in virtual time with a large cluster, after the shards have been divided among the
// members.
func withLargeCluster(t *testing.T, f func(lc *largeCluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 0)
		lc := &largeCluster{cluster: cl, isKilled: make(map[int]bool)}
		cl.wrapStore = func(s platform.Store) platform.Store {
			c := &countingStore{Store: s}
			lc.stores = append(lc.stores, c)
			return c
		}
		cl.rank = lc.rank
		cl.startNodes(largeClusterSize)
		defer cl.stopAll()
		time.Sleep(3 * time.Second)
		f(lc)
	})
}

// rank returns the rank of a process; see largeCluster.
func (lc *largeCluster) rank(n *node) (rank int, isKnown bool) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.nodesMu.Lock()
	defer lc.nodesMu.Unlock()
	for i, other := range lc.nodes {
		if other == n {
			break
		}
		if !lc.isKilled[i] {
			rank++
		}
	}
	return rank, true
}

// kill kills the process of that index and no longer counts it in ranks.
func (lc *largeCluster) kill(index int) {
	lc.mu.Lock()
	lc.isKilled[index] = true
	lc.mu.Unlock()
	lc.nodes[index].kill()
}

// Processes that are not members must not join, and must read rarely. Otherwise the calls to the store grow
// with the fleet.
func TestNonMembersCallStoreRarely(t *testing.T) {
	withLargeCluster(t, func(lc *largeCluster) {
		const seconds = 20
		for _, c := range lc.stores {
			c.takeCounts()
		}
		for i := range seconds {
			lc.nodes[i%largeClusterSize].submit(lc.job(fmt.Sprint("job-", i), "ok"))
			time.Sleep(time.Second)
		}
		for i, c := range lc.stores {
			joins, reads := c.takeCounts()
			if isMember := i < memberCount; isMember != (joins > 0) {
				t.Errorf("process %d made %d join calls, want at least 1 of processes 0 to 7 and 0 of the others", i, joins)
			}
			if maxReads := 2*seconds/int(idleReadInterval.Seconds()) + 4; i >= memberCount && reads > maxReads {
				t.Errorf("process %d made %d reads in %d s, want %d at most", i, reads, seconds, maxReads)
			}
		}
	})
}

// Processes that are not members, and so read rarely, must still return the results of a job that was accepted
// elsewhere, accept it again and determine that a job does not exist.
func TestAnyProcessAnswersForAnyJob(t *testing.T) {
	withLargeCluster(t, func(lc *largeCluster) {
		lastNode := lc.nodes[largeClusterSize-1]
		j := lc.job("job", repeat("ok", 6)...)
		lastNode.submit(j)
		for _, n := range []*node{lc.nodes[largeClusterSize-2], lc.nodes[0], lastNode} {
			list := n.results(j, 20*time.Second)
			if len(list) != len(j.Items) {
				t.Fatalf("process %s returned %d results, want one for each of the 6 items", n.name, len(list))
			}
			lc.checkResults(j, list)
		}
		otherNode := lc.nodes[largeClusterSize-3]
		otherNode.submit(j)
		if list := otherNode.results(j, time.Second); len(list) != len(j.Items) {
			t.Errorf("%d results were returned after the job was resubmitted, want one for each of the 6 items", len(list))
		}
		if err := lc.nodes[largeClusterSize-4].manager.Cancel(context.Background(), serving.Caller{}, "none"); !errs.Is(err, errs.NotFound) {
			t.Errorf("cancellation of a job that does not exist: error is %v, want errs.NotFound", err)
		}
	})
}

// After the loss of all members at once, other processes must join and own the shards.
func TestNonMembersTakeOverAfterLossOfAllMembers(t *testing.T) {
	withLargeCluster(t, func(lc *largeCluster) {
		lastNode := lc.nodes[largeClusterSize-1]
		j := lc.job("job", repeat("ok", 6)...)
		lastNode.submit(j)
		for i := range memberCount {
			lc.kill(i)
		}
		if list := lastNode.results(j, 20*time.Second); len(list) != len(j.Items) {
			t.Errorf("%d results were returned after the loss of all members, want %d", len(list), len(j.Items))
		}
	})
}

// The time of a state is the latest moment at which the state is known to be current. That must not be when
// the store's answer arrived: the answer may have been delayed on the network, or the process may have waited
// for the CPU.
func TestStateAgeCountsFromRequest(t *testing.T) {
	const lateAnswer = time.Second
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			wait, took time.Duration
			records    int
			want       time.Duration // time from the request to the latest moment at which the state is known to be current
		}{
			"an immediate answer to a read without a wait":         {0, 0, 0, 0},
			"a late answer to a read without a wait":               {0, lateAnswer, 0, 0},
			"an answer without records after the wait":             {600 * time.Millisecond, 600 * time.Millisecond, 0, 600 * time.Millisecond},
			"a late answer without records":                        {600 * time.Millisecond, lateAnswer, 0, 600 * time.Millisecond},
			"an answer without records before the end of the wait": {600 * time.Millisecond, 100 * time.Millisecond, 0, 0},
			"a late answer with records":                           {600 * time.Millisecond, lateAnswer, 1, 0},
		} {
			requestedAt := time.Now()
			time.Sleep(c.took)
			got := provenCurrentAt(requestedAt, c.wait, platform.Records{Records: make([]platform.StoredRecord, c.records)})
			if got.Sub(requestedAt) != c.want {
				t.Errorf("%s: the state is known to be current up to %v after the request, want %v", name, got.Sub(requestedAt), c.want)
			}
		}
	})
}
