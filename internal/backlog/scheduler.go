package backlog

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/core/policy"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

const (
	// startPause is the pause between two starts of items by one process. Within it the peers receive the
	// report of the first start.
	startPause = 6 * time.Millisecond
	// demandPollInterval is how often the scheduler looks for free slots while items wait: slots that were
	// left to other gateways may still be free.
	demandPollInterval = 15 * time.Millisecond
	// idlePollInterval is how often the scheduler looks for work without a trigger.
	idlePollInterval = 250 * time.Millisecond
	// maxCancelAge is the maximum age of the state of jobs at which an item may start: within it another
	// process may have accepted a job's cancellation, and nothing of a cancelled job may start seconds later.
	maxCancelAge = 1500 * time.Millisecond
	// retryDelay is how long an item waits after a run that a target has broken off or failed.
	retryDelay = 80 * time.Millisecond
)

// scheduler holds all items that this process has to run and starts them as slots become free, in start
// order.
type scheduler struct {
	m *Manager

	mu         sync.Mutex
	shards     map[*shard]bool
	tasks      map[string]*task       // by job and item
	tombstones []platform.KeyedRecord // for checkpoints of items that have a result
	leaseEnd   time.Time              // this process owns its shards until then
	isClosed   bool
	activeRuns sync.WaitGroup
	// runFinished receives a token when a run is over and its verdict has been applied.
	runFinished chan struct{}
	// shardAdopted receives a token when a shard's items may run.
	shardAdopted chan struct{}
	scanCount    metrics.Counter // scans of the backlog for items to run
}

// scansMetric counts the scans of all jobs.
const scansMetric = "backlog.scans"

func newScheduler(m *Manager) *scheduler {
	return &scheduler{
		m: m, shards: make(map[*shard]bool), tasks: make(map[string]*task), runFinished: make(chan struct{}, 1), shardAdopted: make(chan struct{}, 1),
		scanCount: metrics.GetOrRegisterCounter(scansMetric, m.registry),
	}
}

// setLeaseEnd sets the time until which the store assigns this process's shards to no other.
func (d *scheduler) setLeaseEnd(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaseEnd = t
}

// adoptShard starts running a shard's items, unless ctx has ended because the shard was released meanwhile.
func (d *scheduler) adoptShard(ctx context.Context, s *shard) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() == nil {
		d.shards[s] = true
		signal(d.shardAdopted)
	}
}

// addTombstones adds tombstones of progress to the next write of checkpoints.
func (d *scheduler) addTombstones(records []platform.KeyedRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tombstones = append(d.tombstones, records...)
}

// dueCheckpoints returns the queued tombstones and the progress records of items with checkpointEvents or
// more events since their last checkpoint.
func (d *scheduler) dueCheckpoints() []platform.KeyedRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := d.tombstones
	d.tombstones = nil
	for _, t := range d.tasks {
		if !d.m.opts.Off.Allows(policy.Checkpoints) || !t.isCheckpointDue() {
			continue
		}
		saved := d.m.progressRecords(t)
		t.noteCheckpoint(saved)
		records = append(records, saved...)
	}
	return records
}

func (d *scheduler) counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := Counts{Items: len(d.tasks), Shards: len(d.shards)}
	for _, t := range d.tasks {
		if t.isRunning() {
			c.Running++
		}
	}
	return c
}

// stopRuns cancels all runs and waits until they are over.
func (d *scheduler) stopRuns(ctx context.Context) {
	d.mu.Lock()
	d.isClosed = true
	for _, t := range d.tasks {
		t.cancelRun()
	}
	d.mu.Unlock()
	if !waitFor(ctx, &d.activeRuns) {
		d.m.log.Warn("runs of items did not end in time")
	}
}

// run starts items until ctx ends. In a large fleet, reports of peers trigger it many times a second, so it
// scans the backlog only when the state has changed, and ignores the reports while it has no items.
func (d *scheduler) run(ctx context.Context) error {
	poll := sleep.NewTimer(idlePollInterval)
	defer poll.Stop()
	var changed <-chan struct{}
	var lastScan time.Time // zero: the tasks may be incomplete
	for {
		if time.Since(lastScan) >= idlePollInterval {
			lastScan = time.Now()
			d.scanCount.Inc(1)
			changed = d.sync()
		}
		for d.startNext(ctx) {
			sleep.For(ctx, startPause)
		}
		if d.publishDemand() > 0 || d.hasPausedTask() {
			poll.Reset(demandPollInterval)
		} else {
			poll.Reset(idlePollInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			lastScan = time.Time{}
		case <-d.shardAdopted:
			lastScan = time.Time{}
		case <-d.capacityFreed():
		case <-d.runFinished:
		case <-poll.C:
		}
	}
}

// capacityFreed returns a channel that receives a token when a slot may have become free; nil without items,
// so that it never triggers.
func (d *scheduler) capacityFreed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.tasks) == 0 {
		return nil
	}
	return d.m.view.Freed()
}

// publishDemand reports to the peers how many items wait here and the start key of the first, and returns
// that number.
func (d *scheduler) publishDemand() int {
	var demand fleet.Demand
	now := time.Now()
	for _, t := range d.startableTasks(now) {
		if key := d.startKey(t, now); demand.Items == 0 || key < demand.Due {
			demand.Due = key
		}
		demand.Items++
	}
	d.m.view.SetDemand(demand)
	return demand.Items
}

// notifyRunFinished triggers the scheduler after a run. The slot that became free triggers it as well, but
// possibly before the item can resume.
func (d *scheduler) notifyRunFinished() { signal(d.runFinished) }

// signal leaves a token in a channel with a buffer of one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// hasPausedTask reports whether an item can start within idlePollInterval: the end of such a pause does not
// trigger the scheduler.
func (d *scheduler) hasPausedTask() bool {
	soon := time.Now().Add(idlePollInterval)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.tasks {
		if t.canStart(soon) {
			return true
		}
	}
	return false
}

// startNext starts the first item in start order for whose service there is a free slot. It reports whether
// it has started one.
func (d *scheduler) startNext(ctx context.Context) bool {
	now := time.Now()
	fullServices := make(map[string]bool) // services without a free slot
	for _, ordered := range d.sortTasks(d.startableTasks(now), now) {
		t := ordered.task
		route, _, err := d.m.router.Route(t.job.Host, t.item().URI)
		if errs.Is(err, errs.NotFound) {
			d.deferUnrouted(t, now)
			continue
		}
		if err != nil {
			return false
		}
		service := route.Service(t.item().ID)
		if fullServices[service] || d.deferIfQuarantined(t, now) || d.mustWaitForRelated(t) {
			continue
		}
		if d.startRun(ctx, t, route, service) {
			return true
		}
		fullServices[service] = true
	}
	return false
}

// startableTasks returns the tasks that may start now, unordered.
func (d *scheduler) startableTasks(now time.Time) []*task {
	if !d.canStartItems(now) {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*task
	for _, t := range d.tasks {
		if t.canStart(now) {
			list = append(list, t)
		}
	}
	return list
}

// canStartItems reports whether items may start. They may while this process has a current state of
// cancellations and holds the lease of its shards, and also while no process can reach the store: then no
// cancellation is accepted and no shard is reassigned. Without the second case, each outage of the store
// would stop all batch work.
func (d *scheduler) canStartItems(now time.Time) bool {
	d.mu.Lock()
	isClosed, leaseEnd := d.isClosed, d.leaseEnd
	d.mu.Unlock()
	if isClosed {
		return false
	}
	isCurrent := d.m.replica.stateAge(jobPartition) <= maxCancelAge && now.Before(leaseEnd)
	return isCurrent || d.m.view.StoreDownForAll()
}

// An item gets the outcome Errored after maxUnroutedChecks consecutive checks, unroutedRecheckDelay apart,
// that found no route for it. A configuration may remove a route and restore it later.
const (
	maxUnroutedChecks    = 4
	unroutedRecheckDelay = 5 * time.Second
)

// deferUnrouted delays an item without a route, and finally ends it as Errored.
func (d *scheduler) deferUnrouted(t *task, now time.Time) {
	if result := t.markUnrouted(now); result != nil {
		t.shard.enqueueResult(result)
	}
}

// quarantineRecheckDelay is how long a quarantined item waits for its next check: another request with the
// same content may be served meanwhile.
const quarantineRecheckDelay = time.Second

// deferIfQuarantined reports whether an item is quarantined. If so, it delays the item, or ends it as Errored
// once its job allows that.
func (d *scheduler) deferIfQuarantined(t *task, now time.Time) bool {
	if d.m.opts.Quarantine.Check(t.content) == nil {
		return false
	}
	d.deferQuarantined(t, now)
	return true
}

// mustWaitForRelated reports whether a suspect task has to wait until a running one of the same resource or
// job has passed. Run side by side, each would crash a target.
func (d *scheduler) mustWaitForRelated(t *task) bool {
	if !d.m.opts.Quarantine.IsSuspect(t.content) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, other := range d.tasks {
		if other != t && other.isUnproven() && other.content.IsRelated(t.content) {
			return true
		}
	}
	return false
}

// deferQuarantined delays a quarantined task, or ends it as Errored.
func (d *scheduler) deferQuarantined(t *task, now time.Time) {
	result, isNew := t.markQuarantined(now)
	if isNew {
		d.m.log.Info("item held", "job", t.job.ID, "item", t.item().ID, "content", t.content.Fingerprint().String(), "until", t.giveUpTime().UTC().Format(time.RFC3339))
	}
	if result != nil {
		t.shard.enqueueResult(result)
	}
}

// startRun starts a task if a target has a free slot for it. It reports whether it has.
func (d *scheduler) startRun(ctx context.Context, t *task, route *serving.Route, service string) bool {
	runCtx, cancel := context.WithCancel(ctx)
	r, ok := d.m.view.StartBatch(service, t.job.Rank, t.targetsToAvoid(), func() { t.preempt(cancel) })
	if !ok {
		cancel()
		return false
	}
	if !d.registerRun() {
		r.Done()
		cancel()
		return false
	}
	if d.m.opts.Quarantine.AdmitRequest(t.content) != nil {
		d.deferQuarantined(t, time.Now())
		d.activeRuns.Done()
		r.Done()
		cancel()
		return false
	}
	t.markStarted(cancel)
	go func() {
		defer d.activeRuns.Done()
		defer cancel()
		d.m.runItem(runCtx, t, r, route)
	}()
	return true
}

// registerRun counts a run that begins. It returns false while the process stops, so that the wait for the
// end of all runs misses none.
func (d *scheduler) registerRun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isClosed {
		return false
	}
	d.activeRuns.Add(1)
	return true
}
