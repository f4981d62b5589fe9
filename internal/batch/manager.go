package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/invariant"
	"arbutusramp/core/jobs"
	"arbutusramp/core/platform"
	"arbutusramp/core/shardmap"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

// Manager owns the shards of batch jobs that fall to this entry, and is the
// way to all others for callers at this entry. It is safe for concurrent use.
type Manager struct {
	o       Options
	set     settings.Entry
	tune    Tuning
	log     hclog.Logger
	now     func() time.Time
	self    structs.Writer
	addr    string
	check   *invariant.Checker
	metrics meters
	cache   *segmentCache
	forward *forwarder
	health  logHealth
	peers   PeerCaller

	held atomic.Int64 // bytes of outcomes that are not in the log yet
	// seenResults and seenBytes give the mean size of a result.
	seenResults, seenBytes atomic.Int64
	leaving                atomic.Bool
	dispatchCh             chan struct{}
	placeCh                chan struct{}
	nextShard              int // among the owned ones, whose turn it is; only dispatchLoop's goroutine uses it

	// outage says that other entries do not reach the log service either.
	outage atomic.Bool

	// life ends when Run returns; what works beside the loops of Run stops with it.
	life context.Context
	end  context.CancelFunc

	mu      sync.Mutex // guards what follows
	shards  map[structs.Shard]*shard
	offered map[structs.Shard]time.Time // shards that their owner is about to release to us
	hints   map[structs.Shard]platform.Host
	probed  *shardmap.Peers

	sides sideTable
}

// New returns a Manager; Run makes it work.
func New(o Options) *Manager {
	set := withDefaults(o.Settings)
	m := &Manager{
		o: o, set: set, tune: o.Tuning.withDefaults(set),
		log: o.Logger, now: o.Clock, addr: o.PeerAddr, check: o.Check, peers: o.Peers,
		dispatchCh: make(chan struct{}, 1),
		placeCh:    make(chan struct{}, 1),
		shards:     make(map[structs.Shard]*shard),
		offered:    make(map[structs.Shard]time.Time),
		hints:      make(map[structs.Shard]platform.Host),
	}
	m.life, m.end = context.WithCancel(context.Background())
	if m.log == nil {
		m.log = hclog.NewNullLogger()
	}
	m.log = m.log.Named("batch")
	if m.now == nil {
		m.now = time.Now
	}
	if m.o.PeerKeys == nil {
		m.o.PeerKeys = func() []settings.PeerKey { return set.PeerKeys }
	}
	if m.addr == "" {
		m.addr = set.PeerAddr
	}
	m.self = structs.Writer{Host: set.Host.ID, Incarnation: m.now().UnixNano()}
	m.metrics = newMeters(o.Metrics)
	if m.check == nil {
		m.check = invariant.NewChecker(m.violated)
	}
	m.probed = shardmap.NewPeers(m.tune.Lease)
	m.cache = newSegmentCache(m.tune.CacheBytes)
	m.forward = newForwarder(m)
	m.sides.init()
	if m.peers == nil {
		m.peers = newHTTPPeers(m.o.PeerKeys, m.log)
	}
	return m
}

// Check returns the counter of violated invariants.
func (m *Manager) Check() *invariant.Checker { return m.check }

func (m *Manager) violated(v invariant.Violation) {
	m.metrics.violations.Inc(1)
	m.log.Error("INVARIANT VIOLATED", "invariant", string(v.Name), "detail", v.Detail)
}

// Run works until ctx is cancelled, then hands its shards over and returns. It runs once.
func (m *Manager) Run(ctx context.Context) error {
	stop := m.end
	defer stop()
	g, work := errgroup.WithContext(m.life)
	g.Go(func() error { return m.probeLoop(work) })
	g.Go(func() error { return m.dispatchLoop(work) })
	g.Go(func() error { return m.placeLoop(ctx, work, g) })
	g.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			m.handOverAll()
		case <-work.Done():
		}
		return nil
	})
	return g.Wait()
}

// placeLoop starts to work on shards that this entry should own. ctx ends when
// the entry begins to leave, work when it has left.
func (m *Manager) placeLoop(ctx, work context.Context, g *errgroup.Group) error {
	for {
		for _, id := range m.toStart() {
			s := newShard(m, id)
			if !m.register(s) {
				continue
			}
			g.Go(func() error {
				defer m.unregister(s)
				s.run(work)
				return nil
			})
		}
		if !sleep.ForOrSignal(ctx, m.tune.HousekeepEvery, m.placeCh) {
			return nil
		}
	}
}

func (m *Manager) wakePlace() {
	select {
	case m.placeCh <- struct{}{}:
	default:
	}
}

func (m *Manager) register(s *shard) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving.Load() || m.shards[s.id] != nil {
		return false
	}
	m.shards[s.id] = s
	return true
}

func (m *Manager) unregister(s *shard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.shards, s.id)
}

// toStart returns the shards that this entry wants and does not work on yet.
func (m *Manager) toStart() []structs.Shard {
	hosts := m.o.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []structs.Shard
	for i := range m.set.Shards {
		id := structs.Shard(i)
		if m.shards[id] == nil && m.wants(id, hosts) {
			out = append(out, id)
		}
	}
	return out
}

// wants says whether this entry should work on shard id; m.mu is held.
func (m *Manager) wants(id structs.Shard, hosts []platform.Host) bool {
	now := m.now()
	if at, ok := m.offered[id]; ok {
		if now.Sub(at) < offerFor {
			return true
		}
		delete(m.offered, id)
	}
	return shardmap.Wanted(now, m.self.Host, shardmap.Rank(id, hosts), m.probed)
}

// offerFor is how long an offered shard is waited for.
const offerFor = 5 * time.Second

// owned returns the shards that this entry owns now, in order.
func (m *Manager) owned() []*shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*shard
	for i := range m.set.Shards {
		if s := m.shards[structs.Shard(i)]; s != nil && s.ownerEpoch() != 0 {
			out = append(out, s)
		}
	}
	return out
}

// shard returns the shard if this entry works on it, else nil.
func (m *Manager) shard(id structs.Shard) *shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[id]
}

func (m *Manager) shardOf(job structs.JobID) structs.Shard {
	return jobs.ShardFor(job, m.set.Shards)
}

// handOverAll releases every owned shard to its next owner.
func (m *Manager) handOverAll() {
	m.leaving.Store(true)
	limit := min(m.set.DrainTimeout, handOverTimeout)
	ctx, cancel := context.WithTimeout(m.life, limit)
	defer cancel()
	var g errgroup.Group
	for _, s := range m.owned() {
		g.Go(func() error {
			s.handOver(ctx, m.nextOwner(s.id))
			return nil
		})
	}
	_ = g.Wait()
}

// handOverTimeout bounds a handover: with the log service down it can't be
// written, and the next owner takes over by its own probes instead.
const handOverTimeout = 10 * time.Second

// nextOwner returns the candidate that should own shard once this entry has left, nil if there is none.
func (m *Manager) nextOwner(id structs.Shard) *platform.Host {
	var others []platform.Host
	for _, h := range m.o.Members() {
		if h.ID != m.self.Host {
			others = append(others, h)
		}
	}
	rank := shardmap.Rank(id, others)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range rank {
		if !m.probed.Gone(m.now(), h.ID) {
			return &h
		}
	}
	return nil
}
