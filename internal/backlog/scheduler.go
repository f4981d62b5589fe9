package backlog

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/core/policy"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/logging"
)

const (
	// startPause is the pause between two starts of items by one process. Within it the other gateways receive
	// the report of the first start.
	startPause = 6 * time.Millisecond
	// demandPollInterval is the interval at which the scheduler looks for free slots while items wait. A slot that
	// this process has left to another gateway may still be free.
	demandPollInterval = 15 * time.Millisecond
	// idlePollInterval is the interval at which the scheduler looks for items to start if nothing triggers it.
	idlePollInterval = 250 * time.Millisecond
	// maxCancelAge is the maximum age of the state of jobs at which an item may start. In an older state a
	// cancellation that another process has accepted may be missing, and no item of a cancelled job may start
	// seconds after the cancellation.
	maxCancelAge = 1500 * time.Millisecond
	// retryDelay is how long an item waits after a run that its target has broken off or failed.
	retryDelay = 80 * time.Millisecond
)

// scheduler holds a task for each unfinished item of the shards that this process owns. It starts the tasks in
// start order as slots at targets become free.
type scheduler struct {
	m *Manager

	mu         sync.Mutex
	shards     map[*shard]bool // adopted and not released
	tasks      map[itemKey]*task
	tombstones []platform.KeyedRecord // of obsolete progress; written with the next checkpoints
	leaseEnd   time.Time              // until then the store assigns this process's shards to no other
	isClosed   bool                   // the process stops: no run begins any more
	activeRuns sync.WaitGroup
	// runFinished receives a token when a run is over and its verdict has been applied.
	runFinished chan struct{}
	// shardAdopted receives a token when the items of another shard may run.
	shardAdopted chan struct{}
	scanCount    metrics.Counter  // see scansMetric
	deferLog     *logging.Routine // long deferrals of starts
	overloadLog  *logging.Routine // begins and ends of overloads
}

// scansMetric is the name of the counter of scans of all jobs for new and finished items.
const scansMetric = "backlog.scans"

// newScheduler returns a scheduler without shards.
func newScheduler(m *Manager) *scheduler {
	return &scheduler{
		m: m, shards: make(map[*shard]bool), tasks: make(map[itemKey]*task), runFinished: make(chan struct{}, 1), shardAdopted: make(chan struct{}, 1),
		scanCount: metrics.GetOrRegisterCounter(scansMetric, m.registry), deferLog: logging.NewRoutine(m.log), overloadLog: logging.NewRoutine(m.log),
	}
}

// setLeaseEnd sets the time until which the store assigns this process's shards to no other.
func (sc *scheduler) setLeaseEnd(t time.Time) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.leaseEnd = t
}

// adoptShard makes the scheduler run a shard's items, unless ctx has ended because the shard was released
// meanwhile.
func (sc *scheduler) adoptShard(ctx context.Context, s *shard) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if ctx.Err() == nil {
		sc.shards[s] = true
		signal(sc.shardAdopted)
	}
}

// addTombstones queues tombstones of obsolete progress for the next write of checkpoints.
func (sc *scheduler) addTombstones(records []platform.KeyedRecord) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.tombstones = append(sc.tombstones, records...)
}

// dueCheckpoints returns the records of the next write of checkpoints: the queued tombstones, and the
// progress of items with checkpointEvents or more events since their last checkpoint.
func (sc *scheduler) dueCheckpoints() []platform.KeyedRecord {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	records := sc.tombstones
	sc.tombstones = nil
	for _, t := range sc.tasks {
		if !sc.m.opts.Disabled.IsEnabled(policy.Checkpoints) || !t.isCheckpointDue() {
			continue
		}
		saved := sc.m.progressRecords(t)
		t.noteCheckpoint(saved)
		records = append(records, saved...)
	}
	return records
}

// counts returns the numbers of items, running items and shards.
func (sc *scheduler) counts() Counts {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	c := Counts{Items: len(sc.tasks), Shards: len(sc.shards)}
	for _, t := range sc.tasks {
		if t.isRunning() {
			c.RunningItems++
		}
	}
	return c
}

// stopRuns prevents new runs, cancels the active ones and waits until they are over or ctx ends.
func (sc *scheduler) stopRuns(ctx context.Context) {
	sc.mu.Lock()
	sc.isClosed = true
	for _, t := range sc.tasks {
		t.cancelRun()
	}
	sc.mu.Unlock()
	if !waitFor(ctx, &sc.activeRuns) {
		sc.m.log.Warn("runs of items did not end in time")
	}
}

// run starts items until ctx ends. In a large fleet the reports of other gateways trigger it many times a
// second. It therefore scans all jobs only after a change of the state, the adoption of a shard or
// idlePollInterval, and ignores the reports while it has no items.
func (sc *scheduler) run(ctx context.Context) error {
	pollTimer := sleep.NewTimer(idlePollInterval)
	defer pollTimer.Stop()
	var changed <-chan struct{}
	var lastScan time.Time // zero if a scan is due
	scanIfDue := func() {
		if time.Since(lastScan) >= idlePollInterval {
			lastScan = time.Now()
			sc.scanCount.Inc(1)
			changed = sc.sync()
		}
	}
	for {
		scanIfDue()
		for sc.startNext(ctx) {
			sleep.For(ctx, startPause)
			scanIfDue() // the loop may last for as long as items wait
		}
		sc.logOverloads()
		if sc.publishDemand() > 0 || sc.hasPausedTask() {
			pollTimer.Reset(demandPollInterval)
		} else {
			pollTimer.Reset(idlePollInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			lastScan = time.Time{}
		case <-sc.shardAdopted:
			lastScan = time.Time{}
		case <-sc.capacityFreed():
		case <-sc.runFinished:
		case <-pollTimer.C:
		}
	}
}

// capacityFreed returns a channel that receives a token when a slot at a target may have become free. Without
// items it returns nil, so that the channel never triggers the scheduler.
func (sc *scheduler) capacityFreed() <-chan struct{} {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if len(sc.tasks) == 0 {
		return nil
	}
	return sc.m.view.SlotFreed()
}

// publishDemand reports to the other gateways how many items of this process could start now and the lowest of
// their start keys. It returns the number.
func (sc *scheduler) publishDemand() int {
	var demand fleet.Demand
	now := time.Now()
	tasks := sc.startableTasks(now)
	overShare := sc.overShareTasks(tasks)
	for _, t := range tasks {
		if key := sc.startKey(t, now, overShare[t]); demand.Items == 0 || key < demand.StartKey {
			demand.StartKey = key
		}
		demand.Items++
	}
	sc.m.view.SetDemand(demand)
	return demand.Items
}

// notifyRunFinished triggers the scheduler after a run. The slot that became free triggers it as well, but
// possibly before the verdict on the run has been applied and the item can resume.
func (sc *scheduler) notifyRunFinished() { signal(sc.runFinished) }

// signal puts a token into a channel with a buffer of one, unless it holds one already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// hasPausedTask reports whether the pause of a task ends within idlePollInterval. The end of a pause does not
// trigger the scheduler, so it has to poll.
func (sc *scheduler) hasPausedTask() bool {
	pollEnd := time.Now().Add(idlePollInterval)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, t := range sc.tasks {
		if t.canStart(pollEnd) {
			return true
		}
	}
	return false
}

// startNext starts the first task in start order that may run and for whose service there is a free slot. It
// reports whether it has started one.
func (sc *scheduler) startNext(ctx context.Context) bool {
	now := time.Now()
	scan := newStartScan(sc.m.view)
	for _, ordered := range sc.sortTasks(sc.startableTasks(now), now) {
		t := ordered.task
		route, _, err := sc.m.router.Route(t.job.Host, t.item().URI)
		if errs.Is(err, errs.NotFound) {
			sc.deferUnrouted(t, now)
			continue
		}
		if err != nil {
			return false
		}
		for _, w := range sc.nextWork(t, route, now, scan) {
			w.StartSlack, w.IsUrgent = sc.startSlack(t, now)
			w.Avoid = t.avoidance(now)
			if scan.isBlocked(w) {
				continue
			}
			if sc.mustAwaitCalm(t, w.Service, now) || sc.hasJobEnded(t) {
				break
			}
			isStarted, pick := sc.startRun(ctx, t, route, w)
			if isStarted {
				return true
			}
			scan.noteNotStarted(w, pick)
		}
	}
	return false
}

// hasJobEnded reports whether the job of a task has ended since the last scan.
func (sc *scheduler) hasJobEnded(t *task) (hasEnded bool) {
	sc.m.replica.withState(func(st *backlog.State) { hasEnded = st.IsCancelled(t.job.ID) })
	return hasEnded
}

// startableTasks returns the tasks that can start now, in no particular order.
func (sc *scheduler) startableTasks(now time.Time) []*task {
	if !sc.canStartItems(now) {
		return nil
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var list []*task
	for _, t := range sc.tasks {
		if t.canStart(now) {
			list = append(list, t)
		}
	}
	return list
}

// canStartItems reports whether this process may start items. It may while its state of cancellations is no
// older than maxCancelAge and it holds the lease of its shards. It also may while no process reaches the
// store: then no cancellation is accepted and no shard is reassigned. Without the second case, each outage of
// the store would stop all batch jobs.
func (sc *scheduler) canStartItems(now time.Time) bool {
	sc.mu.Lock()
	isClosed, leaseEnd := sc.isClosed, sc.leaseEnd
	sc.mu.Unlock()
	if isClosed {
		return false
	}
	isCurrent := sc.m.replica.stateAge(jobPartition) <= maxCancelAge && now.Before(leaseEnd)
	return isCurrent || sc.m.view.IsStoreDownForPeers()
}

// An item is given up, with the outcome Errored, after maxUnroutedChecks consecutive checks that found no
// route for it. The checks are unroutedRecheckDelay apart, because a configuration may remove a route and a
// later one restore it.
const (
	maxUnroutedChecks    = 4
	unroutedRecheckDelay = 5 * time.Second
)

// deferUnrouted delays a task for which a check found no route, and gives its item up after maxUnroutedChecks
// of them.
func (sc *scheduler) deferUnrouted(t *task, now time.Time) {
	if result := t.markUnrouted(now); result != nil {
		t.shard.enqueueResult(result)
	}
}

// mustAwaitCalm reports whether a task has to wait because its target failed during its last run, and other targets of
// the service have failed lately.
func (sc *scheduler) mustAwaitCalm(t *task, service string, now time.Time) bool {
	lostRuns, until := t.awaitCalm(func(w backlog.CrashWait) time.Time { return sc.m.view.CalmAt(service, w.Calm, w.Failures) })
	if !now.Before(until) {
		return false
	}
	sc.deferLog.Info(now, "item waits", "job", t.job.ID, "item", t.item().ID, "service", service, "lost_runs", lostRuns, "until_ms", until.Sub(now).Milliseconds())
	return true
}

// startRun starts a run of a task if a target of the service has a free slot for it that is expected to last. It
// reports whether a run was started, and the choice or the reason behind.
func (sc *scheduler) startRun(ctx context.Context, t *task, route *serving.Route, w fleet.Work) (isStarted bool, pick fleet.BatchPick) {
	runCtx, cancel := context.WithCancel(ctx)
	r, pick := sc.m.view.StartBatchOrDefer(w, t.job.Rank, func() { t.preempt(cancel) })
	if !pick.IsPicked {
		cancel()
		sc.recordDeferral(t, w, pick)
		return false, pick
	}
	if !sc.registerRun() {
		r.Done()
		cancel()
		return false, pick
	}
	if w.Version == nil {
		sc.dropText(t)
	}
	sc.recordStart(t, w, pick)
	t.markStarted(cancel)
	go func() {
		defer sc.activeRuns.Done()
		defer cancel()
		sc.m.runItem(runCtx, t, r, route)
	}()
	return true, pick
}

// registerRun adds a run to activeRuns and returns true. It returns false, without adding one, once stopRuns
// has been called, so that stopRuns waits for all runs.
func (sc *scheduler) registerRun() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.isClosed {
		return false
	}
	sc.activeRuns.Add(1)
	return true
}
