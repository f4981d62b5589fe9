package backlog

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/policy"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/logging"
)

// Router finds the route of an item in the configuration in force.
type Router interface {
	Route(host, uri string) (*serving.Route, serving.Limits, error)
}

// Quarantine keeps items under which targets have crashed from targets.
type Quarantine interface {
	// Check returns an error of type errs.Quarantined if an item must not be sent to a target.
	Check(c *quarantine.Content) error
	// IsSuspect says that an item may crash targets like others of its resource or job.
	IsSuspect(c *quarantine.Content) bool
	// AdmitRequest is Check for an item that is about to be sent.
	AdmitRequest(c *quarantine.Content) error
	// BrokenOff notes a run that a target has broken off.
	BrokenOff(b quarantine.Broken)
	// Interrupted notes a run that this process has ended: its target may have crashed under it all the same.
	Interrupted(b quarantine.Broken)
	// FellSilent notes a run that this process has ended because its target sent nothing for too long.
	FellSilent(b quarantine.Broken)
	// Passed notes that a run has passed; see quarantine.PassTime.
	Passed(c *quarantine.Content)
	// Served notes that a target has served a request whole.
	Served(c *quarantine.Content)
}

// Options are the settings of a manager.
type Options struct {
	// Member names this start of this process; it must never be used again.
	Member string
	// Shards is the number of partitions that the store deals out for each topic.
	Shards int
	// MinTTL is the shortest time after which the store takes a silent member for gone.
	MinTTL time.Duration
	// SpreadBytes is how many bytes all processes together may read of a text that stands in the record of its result. Longer
	// ones lie apart.
	SpreadBytes int
	// Keep is how long a job stays readable after it was handed in, at the least.
	Keep time.Duration
	// Off are the mechanisms that are switched off.
	Off policy.Off
	// Quarantine is asked before each run of an item.
	Quarantine Quarantine
	// Rank is how many other processes go before this one in owning shards, if that is known; nil is none.
	Rank func() (rank int, isKnown bool)
}

// Manager keeps batch jobs. Locks are taken in this order, and none of those before one of them is
// taken while it is held: scheduler or shard, replica, task, fleet view.
type Manager struct {
	opts      Options
	store     platform.Store
	targets   platform.TargetCaller
	view      *fleetview.View
	router    Router
	log       hclog.Logger
	sent      *logging.Routine // a line for each run of an item that begins
	runs      *logging.Routine // a line for each run of an item
	bodies    *logging.Routine // a line for each item's body that comes in or is read
	reg       metrics.Registry
	replica   *Replica
	texts     *texts
	scheduler *scheduler
	pace      *backlog.Pace
	// isMember says that this process may be dealt shards.
	isMember atomic.Bool
	// saving are the writes of progress that are under way; saveCtx ends them at the stop.
	saving     sync.WaitGroup
	saveCtx    context.Context
	stopSaving context.CancelFunc
}

// New returns a manager that knows nothing yet.
func New(o Options, store platform.Store, targets platform.TargetCaller, view *fleetview.View, router Router, log hclog.Logger, reg metrics.Registry) *Manager {
	m := &Manager{
		opts: o, store: store, targets: targets, view: view, router: router, log: log, reg: reg, pace: backlog.NewPace(),
		sent: logging.NewRoutine(log), runs: logging.NewRoutine(log), bodies: logging.NewRoutine(log),
		replica: NewReplica(o.Member, store, view.SetContact, view.Peers, log),
	}
	m.replica.isFollowing = m.isMember.Load
	m.texts = &texts{store: store, log: log}
	m.scheduler = newScheduler(m)
	m.saveCtx, m.stopSaving = context.WithCancel(context.Background())
	return m
}

// Loaded says whether the jobs have been read, so that new ones can be taken. The results are many
// times as large; until they are there, their readers are told to come back.
func (m *Manager) Loaded() bool {
	_, loaded := m.replica.position(jobPartition)
	return loaded
}

// Counts is what a manager has at a moment.
type Counts struct {
	Items   int // unfinished items of its shards
	Running int
	Shards  int
	JobsAge time.Duration // of its state of jobs and ends
}

// Counts returns what the manager has now.
func (m *Manager) Counts() Counts {
	c := m.scheduler.counts()
	c.JobsAge = m.replica.age(jobPartition)
	return c
}

// Run follows the store, holds shards and runs items until ctx ends. Then it hands its items over.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.replica.follow(ctx, jobPartition) })
	g.Go(func() error { return m.replica.follow(ctx, resultPartition) })
	g.Go(func() error { return m.hold(ctx) })
	g.Go(func() error { return m.scheduler.run(ctx) })
	g.Go(func() error { return m.checkpoints(ctx) })
	g.Go(func() error { return m.compact(ctx) })
	return g.Wait()
}

// shardOf is the shard that a job belongs to.
func (m *Manager) shardOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // a hash never fails to write
	return int(h.Sum32() % uint32(m.opts.Shards))
}

// count counts the outcome of a call.
func (m *Manager) count(name string, err error) {
	outcome := "done"
	if err != nil {
		outcome = string(errs.As(err).Type)
	}
	metrics.GetOrRegisterCounter(name+"."+outcome, m.reg).Inc(1)
}
