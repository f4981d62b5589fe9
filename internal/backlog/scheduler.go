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
	// startGap is the pause between two starts of items by one process: within it the peers
	// hear of the first one.
	startGap = 6 * time.Millisecond
	// demandPollInterval is how often the scheduler looks for room while items wait: slots that were left
	// to other gateways may still be free.
	demandPollInterval = 15 * time.Millisecond
	// idlePollInterval is how often the scheduler looks for work without a cause.
	idlePollInterval = 250 * time.Millisecond
	// endsAge is how old the state of jobs may be for an item to start: within it a job's end
	// may have been accepted elsewhere, and nothing of an ended job may start seconds later.
	endsAge = 1500 * time.Millisecond
	// retryDelay is how long an item waits after a target has refused it.
	retryDelay = 80 * time.Millisecond
)

// scheduler knows all items that this process has to run and starts them where there is room, in the order
// of rank.
type scheduler struct {
	m *Manager

	mu     sync.Mutex
	shards map[*shard]bool
	tasks  map[string]*task       // by job and item
	drops  []platform.KeyedRecord // drop checkpoints of items that have ended
	lease  time.Time              // shards are this process's until then
	closed bool
	runs   sync.WaitGroup
	// settled gets a token when a run is over and what it means for its item is known.
	settled chan struct{}
	// adopted gets a token when a shard's items may run.
	adopted chan struct{}
	scans   metrics.Counter // of the backlog for items to run
}

// scansMetric counts how often the scheduler has looked through all jobs.
const scansMetric = "backlog.scans"

func newScheduler(m *Manager) *scheduler {
	return &scheduler{
		m: m, shards: make(map[*shard]bool), tasks: make(map[string]*task), settled: make(chan struct{}, 1), adopted: make(chan struct{}, 1),
		scans: metrics.GetOrRegisterCounter(scansMetric, m.reg),
	}
}

// leaseUntil notes until when the store deals nobody else this process's shards.
func (d *scheduler) leaseUntil(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease = t
}

// adopt begins to run a shard's items, unless the shard was given back meanwhile, which ends ctx.
func (d *scheduler) adopt(ctx context.Context, s *shard) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() == nil {
		d.shards[s] = true
		signal(d.adopted)
	}
}

// drop takes records that drop progress for the next checkpoint.
func (d *scheduler) drop(records []platform.KeyedRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drops = append(d.drops, records...)
}

// checkpoint returns the records of items that have come far since their last checkpoint.
func (d *scheduler) checkpoint() []platform.KeyedRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := d.drops
	d.drops = nil
	for _, t := range d.tasks {
		if !d.m.opts.Off.Allows(policy.Checkpoints) || !t.dueForCheckpoint() {
			continue
		}
		saved := d.m.progressOf(t)
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

// stopRuns ends all runs and waits until they are over.
func (d *scheduler) stopRuns(ctx context.Context) {
	d.mu.Lock()
	d.closed = true
	for _, t := range d.tasks {
		t.stop()
	}
	d.mu.Unlock()
	if !waitFor(ctx, &d.runs) {
		d.m.log.Warn("runs of items have not ended in time")
	}
}

// run starts items until ctx ends. Peers' reports wake it many times a second in a large fleet: it looks through the backlog only when
// that has changed, and leaves the reports alone while it has nothing to run.
func (d *scheduler) run(ctx context.Context) error {
	look := sleep.NewTimer(idlePollInterval)
	defer look.Stop()
	var news <-chan struct{}
	var synced time.Time // zero: the tasks may lack something
	for {
		if time.Since(synced) >= idlePollInterval {
			synced = time.Now()
			d.scans.Inc(1)
			news = d.sync()
		}
		for d.startOne(ctx) {
			sleep.For(ctx, startGap)
		}
		if d.want() > 0 || d.pausing() {
			look.Reset(demandPollInterval)
		} else {
			look.Reset(idlePollInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-news:
			synced = time.Time{}
		case <-d.adopted:
			synced = time.Time{}
		case <-d.freed():
		case <-d.settled:
		case <-look.C:
		}
	}
}

// freed gets a token when there may be room for an item that there was not before; nil without items.
func (d *scheduler) freed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.tasks) == 0 {
		return nil
	}
	return d.m.view.Freed()
}

// want tells the peers how many items wait here and when the first is due.
func (d *scheduler) want() int {
	var w fleet.Demand
	now := time.Now()
	for _, t := range d.waiting(now) {
		if key := d.key(t, now); w.Items == 0 || key < w.Due {
			w.Due = key
		}
		w.Items++
	}
	d.m.view.SetDemand(w)
	return w.Items
}

// noteSettled wakes the scheduler after a run. The slot that has come free wakes it, too, but maybe before the item can go on.
func (d *scheduler) noteSettled() { signal(d.settled) }

// signal leaves a token in a channel that has room for one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pausing says whether an item waits for the end of a short pause: nothing else wakes the scheduler then.
func (d *scheduler) pausing() bool {
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

// startOne starts the item that is first in order among those for which there is room. It reports
// whether it has started one.
func (d *scheduler) startOne(ctx context.Context) bool {
	now := time.Now()
	full := make(map[string]bool) // services without room
	for _, ranked := range d.rank(d.waiting(now), now) {
		t := ranked.task
		route, _, err := d.m.router.Route(t.job.Host, t.item().URI)
		if errs.Is(err, errs.NotFound) {
			d.unrouted(t, now)
			continue
		}
		if err != nil {
			return false
		}
		service := route.Service(t.item().ID)
		if full[service] || d.isQuarantined(t, now) || d.mustWait(t) {
			continue
		}
		if d.start(ctx, t, route, service) {
			return true
		}
		full[service] = true
	}
	return false
}

// waiting returns the tasks that may start now, in no order.
func (d *scheduler) waiting(now time.Time) []*task {
	if !d.canRun(now) {
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

// canRun says whether items may start. They may while this process knows of the jobs' ends and holds
// its shards; and also when the store can't be reached by anybody, since then no end is accepted and
// no shard dealt to another: without that, each outage of the store would stop all batch work.
func (d *scheduler) canRun(now time.Time) bool {
	d.mu.Lock()
	closed, lease := d.closed, d.lease
	d.mu.Unlock()
	if closed {
		return false
	}
	sure := d.m.replica.age(jobPartition) <= endsAge && now.Before(lease)
	return sure || d.m.view.StoreDownForAll()
}

// An item is given up once unroutedLooks looks in a row, each unroutedPause after the one before,
// found no route for it: a configuration may take a route away and bring it back.
const (
	unroutedLooks = 4
	unroutedPause = 5 * time.Second
)

// unrouted puts off an item without a route, and gives it up in the end.
func (d *scheduler) unrouted(t *task, now time.Time) {
	if end := t.noRoute(now); end != nil {
		t.shard.finish(end)
	}
}

// quarantineRecheck is how long a quarantined item waits until it is looked at again: another request with its content may be served.
const quarantineRecheck = time.Second

// isQuarantined puts off an item under which targets have crashed, and gives it up once its job allows that.
func (d *scheduler) isQuarantined(t *task, now time.Time) bool {
	if d.m.opts.Quarantine.Check(t.content) == nil {
		return false
	}
	d.putOff(t, now)
	return true
}

// mustWait says whether a task that may crash targets like others of its resource or job has to wait until one of these that runs has
// passed: side by side they would crash a target each.
func (d *scheduler) mustWait(t *task) bool {
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

// putOff has a quarantined task wait, or gives it up.
func (d *scheduler) putOff(t *task, now time.Time) {
	end, isNew := t.putOff(now)
	if isNew {
		d.m.log.Info("item held", "job", t.job.ID, "item", t.item().ID, "content", t.content.Fingerprint().String(), "until", t.givenUpAt().UTC().Format(time.RFC3339))
	}
	if end != nil {
		t.shard.finish(end)
	}
}

// start runs a task if a target has room for it.
func (d *scheduler) start(ctx context.Context, t *task, route *serving.Route, service string) bool {
	runCtx, cancel := context.WithCancel(ctx)
	r, ok := d.m.view.StartBatch(service, t.job.Rank, t.avoided(), func() { t.preempt(cancel) })
	if !ok {
		cancel()
		return false
	}
	if !d.enter() {
		r.Done()
		cancel()
		return false
	}
	if d.m.opts.Quarantine.AdmitRequest(t.content) != nil {
		d.putOff(t, time.Now())
		d.runs.Done()
		r.Done()
		cancel()
		return false
	}
	t.begin(cancel)
	go func() {
		defer d.runs.Done()
		defer cancel()
		d.m.runItem(runCtx, t, r, route)
	}()
	return true
}

// enter counts a run that begins, unless the process stops: who waits for the runs to end must not
// miss one.
func (d *scheduler) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.runs.Add(1)
	return true
}
