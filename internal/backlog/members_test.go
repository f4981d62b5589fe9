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

// countingStore counts the calls of one process.
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

// takeCounts returns the counts since the last call.
func (s *countingStore) takeCounts() (joins, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	joins, reads = s.joins, s.reads
	s.joins, s.reads = 0, 0
	return joins, reads
}

// largeCluster has more processes than are needed as members. Each process ranks after the live ones before
// it.
type largeCluster struct {
	*cluster
	mu       sync.Mutex
	isKilled map[int]bool
	stores   []*countingStore
}

const (
	largeClusterSize = 24
	memberCount      = joinRanksPerShard * testShards
)

func withLargeCluster(t *testing.T, f func(m *largeCluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 0)
		m := &largeCluster{cluster: w, isKilled: make(map[int]bool)}
		w.wrapStore = func(s platform.Store) platform.Store {
			c := &countingStore{Store: s}
			m.stores = append(m.stores, c)
			return c
		}
		w.rank = m.rank
		w.startNodes(largeClusterSize)
		defer w.stopAll()
		time.Sleep(3 * time.Second)
		f(m)
	})
}

func (m *largeCluster) rank(n *node) (rank int, isKnown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodesMu.Lock()
	defer m.nodesMu.Unlock()
	for i, other := range m.nodes {
		if other == n {
			break
		}
		if !m.isKilled[i] {
			rank++
		}
	}
	return rank, true
}

func (m *largeCluster) kill(index int) {
	m.mu.Lock()
	m.isKilled[index] = true
	m.mu.Unlock()
	m.nodes[index].kill()
}

// Processes without shards must not make calls to the store that grow with the fleet.
func TestNonMembersCallStoreRarely(t *testing.T) {
	withLargeCluster(t, func(m *largeCluster) {
		const seconds = 20
		for _, c := range m.stores {
			c.takeCounts()
		}
		for i := range seconds {
			m.nodes[i%largeClusterSize].submit(m.job(fmt.Sprint("job-", i), "ok"))
			time.Sleep(time.Second)
		}
		for i, c := range m.stores {
			joins, reads := c.takeCounts()
			if isMember := i < memberCount; isMember != (joins > 0) {
				t.Errorf("process %d joined %d times", i, joins)
			}
			if most := 2*seconds/int(idleReadInterval.Seconds()) + 4; i >= memberCount && reads > most {
				t.Errorf("process %d made %d reads in %d s, want %d at most", i, reads, seconds, most)
			}
		}
	})
}

// Processes that do not follow the store must still find a job, its results and its cancellation.
func TestAnyProcessAnswersForAnyJob(t *testing.T) {
	withLargeCluster(t, func(m *largeCluster) {
		last := m.nodes[largeClusterSize-1]
		j := m.job("job", repeat("ok", 6)...)
		last.submit(j)
		for _, n := range []*node{m.nodes[largeClusterSize-2], m.nodes[0], last} {
			list := n.results(j, 20*time.Second)
			if len(list) != len(j.Items) {
				t.Fatalf("%s: %d results", n.name, len(list))
			}
			m.checkResults(j, list)
		}
		again := m.nodes[largeClusterSize-3]
		again.submit(j)
		if list := again.results(j, time.Second); len(list) != len(j.Items) {
			t.Errorf("%d results after the job was resubmitted", len(list))
		}
		if err := m.nodes[largeClusterSize-4].manager.End(context.Background(), serving.Caller{}, "none"); !errs.Is(err, errs.NotFound) {
			t.Errorf("a job that does not exist: %v", err)
		}
	})
}

// Shards must not stay without an owner after the loss of all members at once.
func TestNonMembersTakeOverAfterLossOfAllMembers(t *testing.T) {
	withLargeCluster(t, func(m *largeCluster) {
		last := m.nodes[largeClusterSize-1]
		j := m.job("job", repeat("ok", 6)...)
		last.submit(j)
		for i := range memberCount {
			m.kill(i)
		}
		if list := last.results(j, 20*time.Second); len(list) != len(j.Items) {
			t.Errorf("%d of %d results", len(list), len(j.Items))
		}
	})
}

// A state must not count as current if its answer was delayed on the network or the process waited for the
// CPU.
func TestStateAgeCountsFromRequest(t *testing.T) {
	const late = time.Second
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			wait, took time.Duration
			records    int
			want       time.Duration // after the request
		}{
			"an immediate answer":            {0, 0, 0, 0},
			"late":                           {0, late, 0, 0},
			"no new records within the wait": {600 * time.Millisecond, 600 * time.Millisecond, 0, 600 * time.Millisecond},
			"no new records, late":           {600 * time.Millisecond, late, 0, 600 * time.Millisecond},
			"no new records, early":          {600 * time.Millisecond, 100 * time.Millisecond, 0, 0},
			"new records, late":              {600 * time.Millisecond, late, 1, 0},
		} {
			requestedAt := time.Now()
			time.Sleep(c.took)
			got := provenCurrentAt(requestedAt, c.wait, platform.Records{Records: make([]platform.StoredRecord, c.records)})
			if got.Sub(requestedAt) != c.want {
				t.Errorf("%s: proven %v after the request, want %v", name, got.Sub(requestedAt), c.want)
			}
		}
	})
}
