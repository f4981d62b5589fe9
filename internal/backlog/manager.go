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

// Router looks up the route of an item in the current configuration.
type Router interface {
	Route(host, uri string) (*serving.Route, serving.Limits, error)
}

// Quarantine blocks items that have crashed targets.
type Quarantine interface {
	// Check returns an error of type errs.Quarantined if an item must not be sent to a target.
	Check(c *quarantine.Content) error
	// IsSuspect reports that an item may crash targets like others of its resource or job.
	IsSuspect(c *quarantine.Content) bool
	// AdmitRequest is Check for an item that is about to be sent.
	AdmitRequest(c *quarantine.Content) error
	// BrokenOff records a run that a target has broken off.
	BrokenOff(b quarantine.Broken)
	// Interrupted records a run that this process has ended. Its target may still have crashed because of it.
	Interrupted(b quarantine.Broken)
	// FellSilent records a run that this process has ended because its target sent nothing for too long.
	FellSilent(b quarantine.Broken)
	// Passed records that a run has passed; see quarantine.PassTime.
	Passed(c *quarantine.Content)
	// Served records that a target has served a request completely.
	Served(c *quarantine.Content)
}

// Options are the settings of a Manager.
type Options struct {
	// Member identifies this start of this process among the members of the group; it must never be reused.
	Member string
	// Shards is the number of partitions that the store assigns for each topic.
	Shards int
	// MinTTL is the shortest time after which the store removes a silent member.
	MinTTL time.Duration
	// SpreadBytes is how many bytes all processes together may read of a text that is stored in the record of
	// its result. Longer texts are stored separately.
	SpreadBytes int
	// Keep is the minimum time for which a job stays readable after its submission.
	Keep time.Duration
	// Off holds the mechanisms that are switched off.
	Off policy.Off
	// Quarantine is asked before each run of an item.
	Quarantine Quarantine
	// Rank returns how many other processes precede this one as owners of shards, if that is known; nil means
	// none.
	Rank func() (rank int, isKnown bool)
}

// Manager runs batch jobs. Lock order: scheduler or shard, replica, task, fleet view. None of the earlier
// locks is taken while a later one is held.
type Manager struct {
	opts      Options
	store     platform.Store
	targets   platform.TargetCaller
	view      *fleetview.View
	router    Router
	log       hclog.Logger
	sentLog   *logging.Routine // one line per run that starts
	runLog    *logging.Routine // one line per finished run
	bodyLog   *logging.Routine // one line per item body that is received or read
	registry  metrics.Registry
	replica   *Replica
	textStore *textStore
	scheduler *scheduler
	runTimes  *backlog.Pace
	// isMember reports that the store may assign shards to this process.
	isMember atomic.Bool
	// pendingSaves counts the unfinished writes of progress; saveCtx cancels them when the process stops.
	pendingSaves sync.WaitGroup
	saveCtx      context.Context
	stopSaving   context.CancelFunc
}

// New returns a manager with an empty state.
func New(o Options, store platform.Store, targets platform.TargetCaller, view *fleetview.View, router Router, log hclog.Logger, reg metrics.Registry) *Manager {
	m := &Manager{
		opts: o, store: store, targets: targets, view: view, router: router, log: log, registry: reg, runTimes: backlog.NewPace(),
		sentLog: logging.NewRoutine(log), runLog: logging.NewRoutine(log), bodyLog: logging.NewRoutine(log),
		replica: NewReplica(o.Member, store, view.SetContact, view.Peers, log),
	}
	m.replica.isFollowing = m.isMember.Load
	m.textStore = &textStore{store: store, log: log}
	m.scheduler = newScheduler(m)
	m.saveCtx, m.stopSaving = context.WithCancel(context.Background())
	return m
}

// Loaded reports whether the jobs have been read, so that new ones can be accepted. The results are many
// times as large; until they are loaded, their readers get an error that asks them to retry.
func (m *Manager) Loaded() bool {
	_, isLoaded := m.replica.nextOffset(jobPartition)
	return isLoaded
}

// Counts is a snapshot of a manager's load.
type Counts struct {
	Items   int // unfinished items of its shards
	Running int
	Shards  int
	JobsAge time.Duration // age of its state of jobs and cancellations
}

// Counts returns the current counts.
func (m *Manager) Counts() Counts {
	c := m.scheduler.counts()
	c.JobsAge = m.replica.stateAge(jobPartition)
	return c
}

// Run follows the store, maintains the group membership and runs items until ctx ends. Then it hands its
// items over.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.replica.follow(ctx, jobPartition) })
	g.Go(func() error { return m.replica.follow(ctx, resultPartition) })
	g.Go(func() error { return m.maintainMembership(ctx) })
	g.Go(func() error { return m.scheduler.run(ctx) })
	g.Go(func() error { return m.writeCheckpoints(ctx) })
	g.Go(func() error { return m.compact(ctx) })
	return g.Wait()
}

// shardOf returns the shard of a job.
func (m *Manager) shardOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // Write of a hash never fails
	return int(h.Sum32() % uint32(m.opts.Shards))
}

// countOutcome counts the outcome of a call.
func (m *Manager) countOutcome(name string, err error) {
	outcome := "done"
	if err != nil {
		outcome = string(errs.As(err).Type)
	}
	metrics.GetOrRegisterCounter(name+"."+outcome, m.registry).Inc(1)
}
