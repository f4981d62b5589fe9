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
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/logging"
)

// Router looks up routes in the current configuration.
type Router interface {
	// Route returns the route of requests to a host and URI, with its limits. Errors: errs.NotFound if there is
	// none.
	Route(host, uri string) (*serving.Route, serving.Limits, error)
}

// Options are the settings of a Manager.
type Options struct {
	// MemberID identifies this process instance among the members of the group that owns the shards. A restarted
	// process needs a new one; an id must never be reused.
	MemberID string
	// Shards is the number of shards into which jobs are divided: the number of partitions of each of the store's
	// topics. The store assigns partitions to the members, and a member runs the shards with their indexes.
	Shards int
	// MinTTL is the shortest time without a call after which the store may remove a member from the group.
	MinTTL time.Duration
	// MaxInlineReadBytes bounds the texts that are stored in the records of their results, which every process reads:
	// the length of such a text times the number of live processes is at most MaxInlineReadBytes. Longer texts are
	// stored separately.
	MaxInlineReadBytes int
	// KeepFor is the minimum time for which a job stays readable after its submission.
	KeepFor time.Duration
	// Disabled holds the mechanisms that are switched off.
	Disabled policy.Disabled
	// Rank returns the number of live processes that take precedence over this one for membership of the group
	// that owns the shards. Only processes of low rank join; isKnown is false while the rank can't be determined.
	// If Rank is nil, every process joins.
	Rank func() (rank int, isKnown bool)
	// MaxJobBytes returns how much memory all jobs may take in each process, in bytes; nil if that is not bounded.
	MaxJobBytes func() int64
	// MaxExcessText bounds what the texts of all running items may have beyond their expected length, in bytes; 0 for the
	// largest bound.
	MaxExcessText int
	// Ending is closed when the process must answer all that waits, because it stops; nil for one that never does.
	Ending <-chan struct{}
}

// Manager accepts, runs and returns batch jobs in one process. Use New to create one. Lock order: scheduler or
// shard, replica, task, fleet view; no lock is taken while one that follows it in this list is held.
type Manager struct {
	opts      Options
	store     platform.Store
	targets   platform.TargetCaller
	view      *fleetview.View
	router    Router
	log       hclog.Logger
	sendLogs  sendLogs         // runs that start and that have ended
	runLog    *logging.Routine // texts that are thrown away
	bodyLog   *logging.Routine // one line per item body that is received or read
	registry  metrics.Registry
	costs     *fleetview.CostRecorder
	replica   *Replica
	textStore *textStore
	scheduler *scheduler
	runTimes  *backlog.RunTimeEstimator
	// isMember is set while this process is a member of the group among which the store divides the shards.
	isMember atomic.Bool
	// pendingSaves counts the unfinished background writes of progress. They use saveCtx, which stopSaving
	// cancels.
	pendingSaves sync.WaitGroup
	saveCtx      context.Context
	stopSaving   context.CancelFunc
}

// New returns a manager that has not read anything from the store. Call Run to start it.
func New(o Options, store platform.Store, targets platform.TargetCaller, view *fleetview.View, router Router, log hclog.Logger, reg metrics.Registry) *Manager {
	m := &Manager{
		opts: o, store: store, targets: targets, view: view, router: router, log: log, registry: reg, costs: fleetview.NewCostRecorder(log, reg), runTimes: backlog.NewRunTimeEstimator(),
		sendLogs: newSendLogs(log, reg), runLog: logging.NewRoutine(log), bodyLog: logging.NewRoutine(log),
		replica: NewReplica(o.MemberID, store, view.RecordStoreContact, view.LivePeerCount, log),
	}
	m.replica.isFollowing = m.isMember.Load
	m.textStore = &textStore{store: store, log: log}
	m.scheduler = newScheduler(m)
	m.saveCtx, m.stopSaving = context.WithCancel(context.Background())
	return m
}

// IsLoaded reports whether all jobs have been read from the store, so that new ones can be accepted. It
// does not cover the results, which are many times as large: until these have been read, calls of Results return
// an error that asks for a retry.
func (m *Manager) IsLoaded() bool {
	_, isLoaded := m.replica.nextOffset(jobPartition)
	return isLoaded
}

// Counts is a snapshot of a manager's load.
type Counts struct {
	Items        int           // unfinished items of the shards that the process owns
	RunningItems int           // those of the items that have an active run
	Shards       int           // shards that the process owns
	JobBytes     int64         // memory that all jobs take in each process
	JobStateAge  time.Duration // maximum age of the process's state of jobs and cancellations
}

// Counts returns the manager's current load.
func (m *Manager) Counts() Counts {
	c := m.scheduler.counts()
	c.JobStateAge = m.replica.stateAge(jobPartition)
	m.replica.withState(func(st *backlog.State) { c.JobBytes = st.JobBytes() })
	return c
}

// Run reads new records from the store, maintains the group membership and runs items until ctx ends. Then it
// writes the progress of its items and releases its shards. It must be called once.
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

// shardOf returns the index of the shard to which a job belongs.
func (m *Manager) shardOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // Write of a hash never fails
	return int(h.Sum32() % uint32(m.opts.Shards))
}

// countOutcome counts a call that returned err. The counter has the given name, followed by a dot and "done"
// or the type of err.
func (m *Manager) countOutcome(name string, err error) {
	outcome := "done"
	if err != nil {
		outcome = string(errs.As(err).Type)
	}
	metrics.GetOrRegisterCounter(name+"."+outcome, m.registry).Inc(1)
}
