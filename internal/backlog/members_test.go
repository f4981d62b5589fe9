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

// countedStore counts the calls of one process.
type countedStore struct {
	platform.Store
	mu           sync.Mutex
	joins, reads int
}

func (s *countedStore) Join(ctx context.Context, m platform.Membership) (platform.Assignment, error) {
	s.mu.Lock()
	s.joins++
	s.mu.Unlock()
	return s.Store.Join(ctx, m)
}

func (s *countedStore) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	return s.Store.Read(ctx, r)
}

// take returns the counts since the last call.
func (s *countedStore) take() (joins, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	joins, reads = s.joins, s.reads
	s.joins, s.reads = 0, 0
	return joins, reads
}

// manyNodes are more processes than are needed as members: each ranks after those before it that live.
type manyNodes struct {
	*world
	mu     sync.Mutex
	dead   map[int]bool
	counts []*countedStore
}

const (
	manyCount   = 24
	memberCount = joinRanksPerShard * testShards
)

func withManyNodes(t *testing.T, f func(m *manyNodes)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		m := &manyNodes{world: w, dead: make(map[int]bool)}
		w.build = func(s platform.Store) platform.Store {
			c := &countedStore{Store: s}
			m.counts = append(m.counts, c)
			return c
		}
		w.rank = m.rank
		w.startNodes(manyCount)
		defer w.stopAll()
		time.Sleep(3 * time.Second)
		f(m)
	})
}

func (m *manyNodes) rank(n *node) (rank int, isKnown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodesMu.Lock()
	defer m.nodesMu.Unlock()
	for i, other := range m.nodes {
		if other == n {
			break
		}
		if !m.dead[i] {
			rank++
		}
	}
	return rank, true
}

func (m *manyNodes) kill(index int) {
	m.mu.Lock()
	m.dead[index] = true
	m.mu.Unlock()
	m.nodes[index].kill()
}

// Guards against calls of the store that grow with the fleet for each process that owns nothing.
func TestProcessesThatOwnNothingCallTheStoreRarely(t *testing.T) {
	withManyNodes(t, func(m *manyNodes) {
		const seconds = 20
		for _, c := range m.counts {
			c.take()
		}
		for i := range seconds {
			m.nodes[i%manyCount].submit(m.job(fmt.Sprint("job-", i), "ok"))
			time.Sleep(time.Second)
		}
		for i, c := range m.counts {
			joins, reads := c.take()
			if isMember := i < memberCount; isMember != (joins > 0) {
				t.Errorf("process %d has joined %d times", i, joins)
			}
			if most := 2*seconds/int(lazyInterval.Seconds()) + 4; i >= memberCount && reads > most {
				t.Errorf("process %d has made %d reads in %d s, want %d at most", i, reads, seconds, most)
			}
		}
	})
}

// Guards against processes that follow nothing and then lack a job, its results, or that it was ended.
func TestAnyProcessAnswersForAnyJob(t *testing.T) {
	withManyNodes(t, func(m *manyNodes) {
		last := m.nodes[manyCount-1]
		j := m.job("job", repeat("ok", 6)...)
		last.submit(j)
		for _, n := range []*node{m.nodes[manyCount-2], m.nodes[0], last} {
			list := n.results(j, 20*time.Second)
			if len(list) != len(j.Items) {
				t.Fatalf("%s: %d results", n.name, len(list))
			}
			m.check(j, list)
		}
		again := m.nodes[manyCount-3]
		again.submit(j)
		if list := again.results(j, time.Second); len(list) != len(j.Items) {
			t.Errorf("%d results after the job came again", len(list))
		}
		if err := m.nodes[manyCount-4].manager.End(context.Background(), serving.Caller{}, "none"); !errs.Is(err, errs.NotFound) {
			t.Errorf("a job that does not exist: %v", err)
		}
	})
}

// Guards against shards without an owner after all members are lost at once.
func TestOthersTakeOverWhenAllMembersAreLost(t *testing.T) {
	withManyNodes(t, func(m *manyNodes) {
		last := m.nodes[manyCount-1]
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

// Guards against taking a state for fresh whose answer was long on its way, or waited for this process to get the processor.
func TestAStateIsAsOldAsItsQuestion(t *testing.T) {
	const late = time.Second
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			wait, took time.Duration
			records    int
			want       time.Duration // after the question
		}{
			"an answer at once":             {0, 0, 0, 0},
			"late":                          {0, late, 0, 0},
			"no news for as long as waited": {600 * time.Millisecond, 600 * time.Millisecond, 0, 600 * time.Millisecond},
			"no news, late":                 {600 * time.Millisecond, late, 0, 600 * time.Millisecond},
			"no news, sooner":               {600 * time.Millisecond, 100 * time.Millisecond, 0, 0},
			"news, late":                    {600 * time.Millisecond, late, 1, 0},
		} {
			asked := time.Now()
			time.Sleep(c.took)
			got := provenAt(asked, c.wait, platform.Records{Records: make([]platform.StoredRecord, c.records)})
			if got.Sub(asked) != c.want {
				t.Errorf("%s: proven %v after the question, want %v", name, got.Sub(asked), c.want)
			}
		}
	})
}
