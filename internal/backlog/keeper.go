package backlog

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/logging"
)

// Router finds the route of an item in the configuration in force.
type Router interface {
	Route(host, uri string) (*serving.Route, serving.Limits, error)
}

// Options are the settings of a keeper.
type Options struct {
	// Member names this start of this process; it must never be used again.
	Member string
	// Shards is the number of partitions that the store deals out for each topic.
	Shards int
	// MinTTL is the shortest time after which the store takes a silent member for gone.
	MinTTL time.Duration
	// Keep is how long a job stays readable after it was handed in, at the least.
	Keep time.Duration
}

// Keeper keeps batch jobs. Locks are taken in this order, and none of those before one of them is
// taken while it is held: desk or shard, replica, task, fleet view.
type Keeper struct {
	opts    Options
	store   platform.Store
	targets platform.TargetCaller
	view    *fleetview.View
	router  Router
	log     hclog.Logger
	runs    *logging.Routine // a line for each run of an item
	reg     metrics.Registry
	replica *Replica
	desk    *desk
	// parking are the writes of progress that are under way; parkCtx ends them at the stop.
	parking     sync.WaitGroup
	parkCtx     context.Context
	stopParking context.CancelFunc
}

// New returns a keeper that knows nothing yet.
func New(o Options, store platform.Store, targets platform.TargetCaller, view *fleetview.View, router Router, log hclog.Logger, reg metrics.Registry) *Keeper {
	k := &Keeper{
		opts: o, store: store, targets: targets, view: view, router: router, log: log, runs: logging.NewRoutine(log), reg: reg,
		replica: NewReplica(store, view.SetContact, log),
	}
	k.desk = newDesk(k)
	k.parkCtx, k.stopParking = context.WithCancel(context.Background())
	return k
}

// Loaded says whether the jobs have been read, so that new ones can be taken. The results are many
// times as large; until they are there, their readers are told to come back.
func (k *Keeper) Loaded() bool {
	_, loaded := k.replica.position(jobPartition)
	return loaded
}

// Counts is what a keeper has at a moment.
type Counts struct {
	Items   int // unfinished items of its shards
	Running int
	Shards  int
	JobsAge time.Duration // of its state of jobs and ends
}

// Counts returns what the keeper has now.
func (k *Keeper) Counts() Counts {
	c := k.desk.counts()
	c.JobsAge = k.replica.age(jobPartition)
	return c
}

// Run follows the store, holds shards and runs items until ctx ends. Then it hands its items over.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.replica.follow(ctx, jobPartition) })
	g.Go(func() error { return k.replica.follow(ctx, resultPartition) })
	g.Go(func() error { return k.hold(ctx) })
	g.Go(func() error { return k.desk.run(ctx) })
	g.Go(func() error { return k.checkpoints(ctx) })
	g.Go(func() error { return k.housekeep(ctx) })
	return g.Wait()
}

// shardOf is the shard that a job belongs to.
func (k *Keeper) shardOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // a hash never fails to write
	return int(h.Sum32() % uint32(k.opts.Shards))
}

// count counts the outcome of a call.
func (k *Keeper) count(name string, err error) {
	outcome := "done"
	if err != nil {
		outcome = string(errs.As(err).Type)
	}
	metrics.GetOrRegisterCounter(name+"."+outcome, k.reg).Inc(1)
}
