package backlog

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/standin/keyedlog"
)

func TestAJobRunsToItsEndAndIsReadAnywhere(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		j := w.job("a", "ok", "ok", "never", "fail", "ok")
		w.nodes[0].submit(j)
		for _, n := range w.nodes {
			w.check(j, n.results(j, 20*time.Second))
		}
		if n := w.targets.count(j.Items[3].ID); n != j.Attempts {
			t.Errorf("an item that fails at each run was run %d times, want %d", n, j.Attempts)
		}
		if n := w.targets.count(j.Items[2].ID); n != 1 {
			t.Errorf("an item that can never be done was run %d times", n)
		}
	})
}

func TestAJobThatComesAgainIsAcceptedOnce(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		j := w.job("a", repeat("ok", 5)...)
		done := make(chan struct{})
		for _, n := range w.nodes {
			go func() {
				n.submit(j)
				done <- struct{}{}
			}()
		}
		for range w.nodes {
			<-done
		}
		w.check(j, w.nodes[1].results(j, 20*time.Second))
		written := 0
		for _, r := range w.store.Records(jobPartition) {
			if r.Key == "j/a" {
				written++
			}
		}
		if written != 1 {
			t.Errorf("the job was written %d times", written)
		}
	})
}

func TestTheLimitOfARouteHoldsAcrossProcesses(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		route := *w.route
		route.MaxQueued = 1000
		accepted := make(chan int64, 30)
		for i := range 30 {
			go func() {
				j := w.job(fmt.Sprintf("j%d", i), "ok", "ok")
				err := w.nodes[i%3].manager.Submit(context.Background(), &route, j)
				switch {
				case err == nil:
					accepted <- j.Tokens()
				case !errs.Is(err, errs.RateLimited) || errs.As(err).Ran != errs.RanNo:
					t.Errorf("job %d: %v", i, err)
					fallthrough
				default:
					accepted <- 0
				}
			}()
		}
		var sum int64
		for range 30 {
			sum += <-accepted
		}
		if sum != 1000 {
			t.Errorf("jobs of %d tokens were accepted at once, the limit is 1000", sum)
		}
	})
}

// Symptom: an item stood at two positions of its job's results.
// Sequence: a shard's owner wrote an item's end while the store was slow; the write was
// acknowledged; before the owner's scheduler took note of the new state it saw an item without an end
// that waits and started it again; the run ended at once, since nothing was left of it to do.
// Cause: the owner gave a position to every end that reached it.
func TestAnItemThatEndsTwiceIsListedOnce(t *testing.T) {
	bubble(t, 1, func(t *testing.T, w *world) {
		j := w.job("a", "ok")
		n := w.nodes[0]
		n.submit(j)
		n.results(j, 20*time.Second)
		s := n.manager.scheduler.shardFor(t, n.manager.shardOf(j.ID))
		s.finish(&outcome{job: j, index: 0, outcome: backlog.Complete, text: output(j.Items[0].ID)})
		time.Sleep(time.Second)
		for _, r := range w.store.Records(resultPartition) {
			if r.Key == "r/a/1" {
				t.Error("the item stands at a second position")
			}
		}
	})
}

func (d *scheduler) shardFor(t *testing.T, index int) *shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.shards {
		if s.index == index {
			return s
		}
	}
	t.Fatalf("shard %d is not owned", index)
	return nil
}

func TestAProcessThatStopsHandsItsItemsOver(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", repeat("ok", 6)...)
		w.nodes[0].submit(j)
		time.Sleep(300 * time.Millisecond) // half of each item is done
		w.nodes[0].stop()
		time.Sleep(100 * time.Millisecond)
		w.nodes[1].stop()
		w.start("node-2")
		w.check(j, w.nodes[2].results(j, 20*time.Second))
		for _, item := range j.Items {
			if n := w.targets.count(item.ID); n < 2 {
				t.Errorf("item %s was run %d times: the processes were stopped too late", item.ID, n)
			}
		}
	})
}

func TestAKilledProcessIsTakenOver(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		j := w.job("a", repeat("ok", 8)...)
		w.nodes[0].submit(j)
		time.Sleep(300 * time.Millisecond)
		w.nodes[0].kill()
		w.nodes[1].kill()
		w.check(j, w.nodes[2].results(j, 20*time.Second))
	})
}

func TestAllThatWasAcceptedSurvivesTheLossOfEveryProcess(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		var jobs []*backlog.Job
		for i := range 12 {
			j := w.job(fmt.Sprintf("j%d", i), repeat("ok", 4)...)
			jobs = append(jobs, j)
			w.nodes[i%3].submit(j)
		}
		before := w.nodes[0].results(jobs[0], 5*time.Second)
		for _, n := range w.nodes {
			n.kill()
		}
		w.store.Forget()
		n := w.start("node-new")
		for i, j := range jobs {
			list := n.results(j, 20*time.Second)
			w.check(j, list)
			if i == 0 {
				for p := range before {
					if list[p].Item != before[p].Item {
						t.Errorf("position %d has moved from %s to %s", p, before[p].Item, list[p].Item)
					}
				}
			}
		}
	})
}

// A process that the store refuses can't know whether a job exists or has more results.
func TestAProcessThatCannotReachTheStoreSaysSo(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		n := w.nodes[1]
		n.view.Set(keyedlog.Faults{Refuse: true})
		time.Sleep(2 * time.Second)
		j := w.job("a", "ok")
		w.nodes[0].submit(j)
		_, err := n.manager.Results(context.Background(), serving.Caller{}, "a", 0, 0)
		if !errs.Is(err, errs.LogDown) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("unknown job: %v", err)
		}
		_, err = n.manager.ItemBody(context.Background(), serving.Caller{}, "a", j.Items[0].ID)
		if !errs.Is(err, errs.LogDown) {
			t.Errorf("unknown body: %v", err)
		}
		err = n.manager.Submit(context.Background(), w.route, w.job("b", "ok"))
		if e := errs.As(err); e == nil || e.Ran != errs.RanNo || e.RetryAfterMs == 0 {
			t.Errorf("submission: %v", err)
		}
		if _, err := w.nodes[0].manager.Results(context.Background(), serving.Caller{}, "b", 0, 0); !errs.Is(err, errs.NotFound) {
			t.Errorf("a job that nobody accepted: %v", err)
		}
	})
}

// Symptom: a job was refused and ran all the same.
// Sequence: a process writes a job and loses the answer; the store does the write seconds later.
// Cause: a write without an answer was taken for one that was not done.
func TestALostAnswerIsNeverARefusal(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		n := w.nodes[0]
		n.view.Set(keyedlog.Faults{Late: 3 * time.Second})
		j := w.job("a", "ok")
		err := n.manager.Submit(context.Background(), w.route, j)
		if e := errs.As(err); e == nil || e.Ran == errs.RanNo {
			t.Errorf("a submission whose write may still be done says %v", err)
		}
		n.view.Set(keyedlog.Faults{})
		w.nodes[1].submit(j)
		time.Sleep(5 * time.Second)
		w.check(j, n.results(j, 20*time.Second))
	})
}

func TestAnEndedJobIsNotRun(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", repeat("ok", 60)...)
		w.nodes[0].submit(j)
		time.Sleep(200 * time.Millisecond)
		if err := w.nodes[1].manager.End(context.Background(), serving.Caller{}, "a"); err != nil {
			t.Fatal(err)
		}
		ended := time.Now()
		time.Sleep(10 * time.Second)
		for _, item := range j.Items {
			if last := w.targets.lastStart(item.ID); last.After(ended.Add(time.Second)) {
				t.Errorf("item %s was started %v after the end", item.ID, last.Sub(ended))
			}
		}
		if err := w.nodes[0].manager.End(context.Background(), serving.Caller{}, "a"); err != nil {
			t.Errorf("a second end: %v", err)
		}
	})
}

// Symptom: an item had two results in one append.
// Sequence: a run came to its end; it was noted as not running; the scheduler started the item again,
// from its last event; both runs delivered the item's whole output.
// Cause: that the run was over and what it meant were noted one after the other.
func TestARunIsOverOnlyWithItsVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stopAll()
		j := w.job("a", "ok")
		s := &shard{m: w.nodes[0].manager, wake: make(chan struct{}, 1)}
		tk := &task{shard: s, job: j, running: true}
		tk.settle("target-0", complete)
		if tk.canStart(time.Now()) {
			t.Error("an item that has ended may start again")
		}
		if len(s.queue) != 1 {
			t.Errorf("%d ends for one item", len(s.queue))
		}
	})
}

// Symptom: an outage of the store of some seconds stops all batch work.
// Sequence: no process reaches the store; their state of the jobs' ends grows old and their leases run out.
// Cause: a process that is cut off alone and an outage for all were not told apart.
func TestItemsStartWhileTheStoreIsDownForAll(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", repeat("ok", 200)...)
		w.nodes[0].submit(j)
		for _, n := range w.nodes {
			n.view.Set(keyedlog.Faults{Refuse: true})
		}
		down := time.Now()
		w.gossip(func() bool { return time.Since(down) < 6*time.Second })
		if last := w.targets.lastStartOf(j); last.Before(down.Add(4 * time.Second)) {
			t.Errorf("the last item started %v after the outage began", last.Sub(down))
		}
	})
}

// The same when only this process is refused: another may have taken over its items.
func TestNoItemsStartWhereOthersReachTheStore(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", repeat("ok", 200)...)
		w.nodes[0].submit(j)
		w.nodes[0].view.Set(keyedlog.Faults{Refuse: true})
		w.nodes[1].kill() // nobody runs items but the one that is refused
		down := time.Now()
		w.gossip(func() bool {
			w.nodes[1].fleet.SetContact()
			return time.Since(down) < 6*time.Second
		})
		if last := w.targets.lastStartOf(j); last.After(down.Add(endsAge + testTTL*3/2)) {
			t.Errorf("the last item started %v after the store refused its process", last.Sub(down))
		}
	})
}

// gossip passes reports between the nodes for as long as on holds.
func (w *world) gossip(on func() bool) {
	for on() {
		for _, a := range w.nodes {
			for _, b := range w.nodes {
				if a != b {
					a.fleet.ApplyReport(fleet.Peer(b.name), b.fleet.Report())
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Symptom: after each outage of the store items were run again from their start.
// Sequence: leases lapse with the store; all shards are dealt anew; their old owners had half done
// items that they could no longer write under their epochs.
// Cause: what was done went with the shard.
func TestAnItemGoesOnWhereItsLastOwnerLeftIt(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", repeat("okay", 4)...)
		w.nodes[0].submit(j)
		// The first checkpoints are written by now, and the owner learns of the new deal before its items end: it asks every half
		// second, and they take three.
		time.Sleep(checkpointEvents*eventGap + 3*checkpointEvery/2)
		w.store.Rebalance()
		w.check(j, w.nodes[0].results(j, 20*time.Second))
		for _, item := range j.Items {
			if from := w.targets.lastFrom(item.ID); w.targets.count(item.ID) < 2 || from == "" {
				t.Errorf("item %s was run again from its start (%d runs, from %q)", item.ID, w.targets.count(item.ID), from)
			}
		}
	})
}

// slowPages takes its time for the first page of the newest records; meanwhile something is written.
type slowPages struct {
	platform.Store
	between func()
}

func (s *slowPages) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	page, err := s.Store.Newest(ctx, p, after)
	if after == "" {
		time.Sleep(time.Second)
		s.between()
	}
	return page, err
}

// Symptom: a process that had just started said that a job has no results, though others had shown
// them seconds before.
// Sequence: it reads the newest records for seconds; a result is written meanwhile, under a key whose
// page it has read already; right after the last page it is asked for that result.
// Cause: the state was taken to be as fresh as the last page; only the first page bounds it.
func TestAStateIsAsOldAsTheFirstPageOfItsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyedlog.New(1)
		v := store.View()
		write := func(i int) {
			records, err := backlog.EncodeResult(&backlog.Result{Job: "j", Position: i, Item: fmt.Sprint(i), Outcome: backlog.Complete})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := v.Append(context.Background(), platform.Append{Partition: resultPartition, Records: records}); err != nil {
				t.Fatal(err)
			}
		}
		for i := 1; i < 10; i++ {
			write(i)
		}
		r := NewReplica("replica", &slowPages{v, func() { write(0) }}, func() {}, alone, testLogger("replica"))
		if err := r.load(context.Background(), resultPartition); err != nil {
			t.Fatal(err)
		}
		listed := 0
		r.with(func(s *backlog.State) { listed = s.Listed("j") })
		if listed == 0 && r.age(resultPartition) < freshEnough {
			t.Errorf("a state without the result counts as %v old", r.age(resultPartition))
		}
	})
}

// The same where the owner is gone at once and hands nothing over.
func TestAKilledOwnersItemsGoOnFromTheirCheckpoints(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", repeat("okay", 4)...)
		w.nodes[0].submit(j)
		time.Sleep(checkpointEvents*eventGap + 2*checkpointEvery)
		for _, n := range w.nodes {
			n.kill()
		}
		last := w.start("last")
		w.check(j, last.results(j, 20*time.Second))
		for _, item := range j.Items {
			if from := w.targets.lastFrom(item.ID); w.targets.count(item.ID) < 2 || from == "" {
				t.Errorf("item %s was run again from its start (%d runs, from %q)", item.ID, w.targets.count(item.ID), from)
			}
		}
		time.Sleep(2 * time.Second)
		if page, err := last.view.Newest(context.Background(), progressPartition, ""); err != nil || len(page.Records) != 0 {
			t.Errorf("%d checkpoints are left of items that have ended, %v", len(page.Records), err)
		}
	})
}

// The newest record of each key is kept for ever: what nobody drops fills the store.
func TestOldJobsAreDroppedAndOpenOnesKept(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		done, ended := w.job("done", "ok", "never"), w.job("crashed", repeat("okay", 90)...)
		w.nodes[0].submit(done)
		w.nodes[1].submit(ended)
		w.check(done, w.nodes[0].results(done, 10*time.Second))
		if err := w.nodes[0].manager.End(context.Background(), serving.Caller{}, "crashed"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testKeep - 15*time.Second)
		w.check(done, w.nodes[1].results(done, time.Second))
		time.Sleep(clockSlack + 2*compactionInterval + 15*time.Second)
		for _, id := range []string{"done", "crashed"} {
			if _, err := w.nodes[0].manager.Results(context.Background(), serving.Caller{}, id, 0, 0); !errs.Is(err, errs.NotFound) {
				t.Errorf("job %s, long over: %v", id, err)
			}
		}
		for _, p := range []platform.Partition{jobPartition, resultPartition, progressPartition} {
			page, err := w.nodes[0].view.Newest(context.Background(), p, "")
			if err != nil || len(page.Records) != 0 {
				t.Errorf("%s still holds %d records, %v", p.Topic, len(page.Records), err)
			}
		}
	})
}

// Symptom: a process went on serving streams but answered no question about jobs, was not ready, and
// never stopped.
// Sequence: a run ends and tells its shard, holding the task's lock; the shard gives out positions and
// asks the replica; the scheduler holds the replica's state and looks at the task.
// Cause: three locks were taken in a circle.
func TestATaskIsFreeWhileItsShardIsBusy(t *testing.T) {
	bubble(t, 1, func(t *testing.T, w *world) {
		s := &shard{m: w.nodes[0].manager, wake: make(chan struct{}, 1)}
		for name, end := range map[string]func(*task){
			"a run that ends":      func(tk *task) { tk.settle("target-0", complete) },
			"a route that is gone": func(tk *task) { w.nodes[0].manager.scheduler.unrouted(tk, time.Now()) },
		} {
			tk := &task{shard: s, job: w.job("a", "ok"), running: true, unrouted: unroutedLooks - 1}
			s.mu.Lock()
			done := make(chan struct{})
			go func() {
				defer close(done)
				end(tk)
			}()
			if !overSoon(tk) {
				t.Errorf("%s: the task is locked while its shard is waited for", name)
			}
			s.mu.Unlock()
			<-done
		}
	})
}

// overSoon says whether a task can be looked at and is over, within many tries.
func overSoon(tk *task) bool {
	for range 100_000 {
		if tk.mu.TryLock() {
			over := tk.ending != ""
			tk.mu.Unlock()
			if over {
				return true
			}
		}
		runtime.Gosched()
	}
	return false
}

// A shard that was lost begins anew only in a later epoch: within the same one the store takes its first
// writes for repeats of those before, answers them and drops them.
func TestALostShardWaitsForALaterEpoch(t *testing.T) {
	bubble(t, 1, func(t *testing.T, w *world) {
		m := w.nodes[0].manager
		lost := &shard{m: m, epoch: 5, lost: true, stop: func() {}}
		shards := map[int]*shard{0: lost}
		held := []platform.Partition{{Topic: shardTopic, Index: 0}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m.deal(ctx, shards, platform.Assignment{Generation: 5, Held: held}, time.Time{})
		if shards[0] != lost {
			t.Error("the shard began anew in its epoch")
		}
		m.deal(ctx, shards, platform.Assignment{Generation: 6, Held: held}, time.Time{})
		if shards[0] == lost || shards[0].epoch != 6 {
			t.Error("the shard did not begin anew in a later epoch")
		}
		shards[0].stop()
		<-shards[0].over
	})
}

// Symptom: the store fills up with progress of items that ended long ago.
// Sequence: a former owner, which has not been told yet, writes what it has after the item has ended at
// the next one.
// Cause: only who wrote or took over progress dropped it.
func TestProgressThatComesTooLateIsDropped(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", "ok", "ok")
		w.nodes[0].submit(j)
		w.check(j, w.nodes[0].results(j, 10*time.Second))
		shard := w.nodes[0].manager.shardOf(j.ID)
		records, err := backlog.EncodeProgress(&backlog.Progress{Job: j.ID, Item: j.Items[0].ID, LastID: "3", Text: "x"}, shard, 0)
		if err != nil {
			t.Fatal(err)
		}
		v := w.store.View()
		if _, err := v.Append(context.Background(), platform.Append{Partition: progressPartition, Records: records}); err != nil {
			t.Fatal(err)
		}
		w.store.Rebalance()
		time.Sleep(10 * time.Second)
		if page, err := v.Newest(context.Background(), progressPartition, ""); err != nil || len(page.Records) != 0 {
			t.Errorf("%d records of progress are left, %v", len(page.Records), err)
		}
	})
}
