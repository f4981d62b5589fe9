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

func TestJobCompletesAndIsReadableAnywhere(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, w *cluster) {
		j := w.job("a", "ok", "ok", "never", "fail", "ok")
		w.nodes[0].submit(j)
		for _, n := range w.nodes {
			w.checkResults(j, n.results(j, 20*time.Second))
		}
		if n := w.targets.runCount(j.Items[3].ID); n != j.Attempts {
			t.Errorf("an item that fails in each run was run %d times, want %d", n, j.Attempts)
		}
		if n := w.targets.runCount(j.Items[2].ID); n != 1 {
			t.Errorf("an item that no target can process was run %d times, want once", n)
		}
	})
}

func TestResubmittedJobIsWrittenOnce(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, w *cluster) {
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
		w.checkResults(j, w.nodes[1].results(j, 20*time.Second))
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

func TestRouteLimitHoldsAcrossProcesses(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, w *cluster) {
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

// An item that ends twice must get only one position. The owner writes an item's result while the store is
// slow. Before its scheduler applies the new state, it sees a startable item without a result and starts it
// again; that run ends at once, since nothing is left to do.
func TestItemFinishedTwiceHasOnePosition(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		j := w.job("a", "ok")
		n := w.nodes[0]
		n.submit(j)
		n.results(j, 20*time.Second)
		s := n.manager.scheduler.shardFor(t, n.manager.shardOf(j.ID))
		s.enqueueResult(&pendingResult{job: j, index: 0, outcome: backlog.Complete, text: expectedOutput(j.Items[0].ID)})
		time.Sleep(time.Second)
		for _, r := range w.store.Records(resultPartition) {
			if r.Key == "r/a/1" {
				t.Error("the item has a second position")
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

func TestStoppingProcessHandsItemsOver(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", repeat("ok", 6)...)
		w.nodes[0].submit(j)
		time.Sleep(300 * time.Millisecond) // half of each item is done
		w.nodes[0].stop()
		time.Sleep(100 * time.Millisecond)
		w.nodes[1].stop()
		w.start("node-2")
		w.checkResults(j, w.nodes[2].results(j, 20*time.Second))
		for _, item := range j.Items {
			if n := w.targets.runCount(item.ID); n < 2 {
				t.Errorf("item %s was run %d times: the processes were stopped too late", item.ID, n)
			}
		}
	})
}

func TestKilledProcessesAreTakenOver(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, w *cluster) {
		j := w.job("a", repeat("ok", 8)...)
		w.nodes[0].submit(j)
		time.Sleep(300 * time.Millisecond)
		w.nodes[0].kill()
		w.nodes[1].kill()
		w.checkResults(j, w.nodes[2].results(j, 20*time.Second))
	})
}

func TestAcceptedJobsSurviveLossOfAllProcesses(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, w *cluster) {
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
			w.checkResults(j, list)
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

// A process that can't reach the store can't determine whether a job exists or has more results.
func TestUnreachableStoreIsReported(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
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
			t.Errorf("a job that no process accepted: %v", err)
		}
	})
}

// A job must not be refused and run all the same. A process writes a job and loses the answer, and the store
// does the write seconds later: a write without an answer is not a failed write.
func TestLostAnswerIsNotARefusal(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		n.view.Set(keyedlog.Faults{Late: 3 * time.Second})
		j := w.job("a", "ok")
		err := n.manager.Submit(context.Background(), w.route, j)
		if e := errs.As(err); e == nil || e.Ran == errs.RanNo {
			t.Errorf("a submission whose write may still succeed returned %v", err)
		}
		n.view.Set(keyedlog.Faults{})
		w.nodes[1].submit(j)
		time.Sleep(5 * time.Second)
		w.checkResults(j, n.results(j, 20*time.Second))
	})
}

func TestCancelledJobIsNotRun(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", repeat("ok", 60)...)
		w.nodes[0].submit(j)
		time.Sleep(200 * time.Millisecond)
		if err := w.nodes[1].manager.End(context.Background(), serving.Caller{}, "a"); err != nil {
			t.Fatal(err)
		}
		cancelledAt := time.Now()
		time.Sleep(10 * time.Second)
		for _, item := range j.Items {
			if last := w.targets.lastStart(item.ID); last.After(cancelledAt.Add(time.Second)) {
				t.Errorf("item %s was started %v after the cancellation", item.ID, last.Sub(cancelledAt))
			}
		}
		if err := w.nodes[0].manager.End(context.Background(), serving.Caller{}, "a"); err != nil {
			t.Errorf("a second cancellation: %v", err)
		}
	})
}

// An item must not get two results in one append. The end of a run and its verdict must be applied together:
// if the run is marked as inactive first, the scheduler starts the item again after its last event, and both
// runs deliver its whole output.
func TestRunEndsTogetherWithItsVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 1)
		defer w.stopAll()
		j := w.job("a", "ok")
		s := &shard{m: w.nodes[0].manager, flushRequested: make(chan struct{}, 1)}
		tk := &task{shard: s, job: j, hasActiveRun: true}
		tk.finishRun("target-0", runComplete)
		if tk.canStart(time.Now()) {
			t.Error("an item that has a result may start again")
		}
		if len(s.pending) != 1 {
			t.Errorf("%d results for one item", len(s.pending))
		}
	})
}

// An outage of the store of some seconds must not stop all batch work. No process reaches the store, their
// states of cancellations become old and their leases expire. This must be distinguished from the isolation
// of a single process.
func TestItemsStartWhileStoreIsDownForAll(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", repeat("ok", 200)...)
		w.nodes[0].submit(j)
		for _, n := range w.nodes {
			n.view.Set(keyedlog.Faults{Refuse: true})
		}
		down := time.Now()
		w.exchangeReports(func() bool { return time.Since(down) < 6*time.Second })
		if last := w.targets.lastStartOf(j); last.Before(down.Add(4 * time.Second)) {
			t.Errorf("the last item started %v after the outage began", last.Sub(down))
		}
	})
}

// If the store is unreachable only for this process, it must not start items: another process may have taken
// them over.
func TestNoItemsStartOnIsolatedProcess(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", repeat("ok", 200)...)
		w.nodes[0].submit(j)
		w.nodes[0].view.Set(keyedlog.Faults{Refuse: true})
		w.nodes[1].kill() // only the isolated process runs items
		down := time.Now()
		w.exchangeReports(func() bool {
			w.nodes[1].fleet.SetContact()
			return time.Since(down) < 6*time.Second
		})
		if last := w.targets.lastStartOf(j); last.After(down.Add(maxCancelAge + testMinTTL*3/2)) {
			t.Errorf("the last item started %v after the store refused its process", last.Sub(down))
		}
	})
}

// exchangeReports passes reports between the nodes while isActive returns true.
func (w *cluster) exchangeReports(isActive func() bool) {
	for isActive() {
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

// After an outage of the store, items must not be run again from their start. Leases expire and all shards
// are reassigned while their former owners have unfinished items, whose progress they can no longer write
// under their epochs.
func TestItemResumesFromFormerOwnersProgress(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", repeat("okay", 4)...)
		w.nodes[0].submit(j)
		// By now the first checkpoints have been written, and the owner receives the new assignment before
		// its items end: it asks every half second, and they take three seconds.
		time.Sleep(checkpointEvents*eventInterval + 3*checkpointInterval/2)
		w.store.Rebalance()
		w.checkResults(j, w.nodes[0].results(j, 20*time.Second))
		for _, item := range j.Items {
			if from := w.targets.lastResumedAfter(item.ID); w.targets.runCount(item.ID) < 2 || from == "" {
				t.Errorf("item %s was run again from its start (%d runs, last resumed after %q)", item.ID, w.targets.runCount(item.ID), from)
			}
		}
	})
}

// slowFirstPage delays the first page of the newest records and writes something meanwhile.
type slowFirstPage struct {
	platform.Store
	afterFirstPage func()
}

func (s *slowFirstPage) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	page, err := s.Store.Newest(ctx, p, after)
	if after == "" {
		time.Sleep(time.Second)
		s.afterFirstPage()
	}
	return page, err
}

// The age of a state counts from the first page of its load. A process that has just started reads the newest
// records for seconds. A result is written meanwhile, under a key whose page has been read already. If the
// state counted as current as of the last page, the process would answer that the job has no results, though
// other processes had returned them seconds before.
func TestStateAgeCountsFromFirstPageOfLoad(t *testing.T) {
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
		r := NewReplica("replica", &slowFirstPage{v, func() { write(0) }}, func() {}, noPeers, testLogger("replica"))
		if err := r.load(context.Background(), resultPartition); err != nil {
			t.Fatal(err)
		}
		listed := 0
		r.withState(func(s *backlog.State) { listed = s.Listed("j") })
		if listed == 0 && r.stateAge(resultPartition) < maxAnswerAge {
			t.Errorf("a state without the result counts as %v old", r.stateAge(resultPartition))
		}
	})
}

// Items must also resume if the owner is killed and hands nothing over.
func TestItemsOfKilledOwnerResumeFromCheckpoints(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", repeat("okay", 4)...)
		w.nodes[0].submit(j)
		time.Sleep(checkpointEvents*eventInterval + 2*checkpointInterval)
		for _, n := range w.nodes {
			n.kill()
		}
		last := w.start("last")
		w.checkResults(j, last.results(j, 20*time.Second))
		for _, item := range j.Items {
			if from := w.targets.lastResumedAfter(item.ID); w.targets.runCount(item.ID) < 2 || from == "" {
				t.Errorf("item %s was run again from its start (%d runs, last resumed after %q)", item.ID, w.targets.runCount(item.ID), from)
			}
		}
		time.Sleep(2 * time.Second)
		if page, err := last.view.Newest(context.Background(), progressPartition, ""); err != nil || len(page.Records) != 0 {
			t.Errorf("%d checkpoints of finished items are left, %v", len(page.Records), err)
		}
	})
}

// The store keeps the newest record of each key for ever: records that no process deletes fill it up.
func TestOnlyExpiredJobsAreDeleted(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		finished, cancelled := w.job("done", "ok", "never"), w.job("crashed", repeat("okay", 90)...)
		w.nodes[0].submit(finished)
		w.nodes[1].submit(cancelled)
		w.checkResults(finished, w.nodes[0].results(finished, 10*time.Second))
		if err := w.nodes[0].manager.End(context.Background(), serving.Caller{}, "crashed"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testKeep - 15*time.Second)
		w.checkResults(finished, w.nodes[1].results(finished, time.Second))
		time.Sleep(maxClockSkew + 2*compactionInterval + 15*time.Second)
		for _, id := range []string{"done", "crashed"} {
			if _, err := w.nodes[0].manager.Results(context.Background(), serving.Caller{}, id, 0, 0); !errs.Is(err, errs.NotFound) {
				t.Errorf("expired job %s: %v", id, err)
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

// A task must not be locked while its result is passed to the shard. A deadlock of three locks would stop all
// answers about jobs while the process goes on serving streams, is not ready and never stops: a finished run
// waits for its shard under the task's lock, the shard waits for the replica to assign positions, and the
// scheduler holds the replica's state and waits for the task.
func TestTaskNotLockedWhileShardIsBusy(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		s := &shard{m: w.nodes[0].manager, flushRequested: make(chan struct{}, 1)}
		for name, end := range map[string]func(*task){
			"a run that ends": func(tk *task) { tk.finishRun("target-0", runComplete) },
			"a missing route": func(tk *task) { w.nodes[0].manager.scheduler.deferUnrouted(tk, time.Now()) },
		} {
			tk := &task{shard: s, job: w.job("a", "ok"), hasActiveRun: true, unroutedChecks: maxUnroutedChecks - 1}
			s.mu.Lock()
			done := make(chan struct{})
			go func() {
				defer close(done)
				end(tk)
			}()
			if !reachesOutcome(tk) {
				t.Errorf("%s: the task is locked while it waits for its shard", name)
			}
			s.mu.Unlock()
			<-done
		}
	})
}

// reachesOutcome reports whether a task can be locked and has an outcome, within many attempts.
func reachesOutcome(tk *task) bool {
	for range 100_000 {
		if tk.mu.TryLock() {
			over := tk.outcome != ""
			tk.mu.Unlock()
			if over {
				return true
			}
		}
		runtime.Gosched()
	}
	return false
}

// A lost shard restarts only in a later epoch: within the same one the store takes its first writes for
// repeats of earlier ones, acknowledges them and discards them.
func TestLostShardRestartsOnlyInLaterEpoch(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		m := w.nodes[0].manager
		lost := &shard{m: m, epoch: 5, isLost: true, stop: func() {}}
		shards := map[int]*shard{0: lost}
		held := []platform.Partition{{Topic: shardTopic, Index: 0}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m.applyAssignment(ctx, shards, platform.Assignment{Generation: 5, Held: held}, time.Time{})
		if shards[0] != lost {
			t.Error("the shard restarted in its epoch")
		}
		m.applyAssignment(ctx, shards, platform.Assignment{Generation: 6, Held: held}, time.Time{})
		if shards[0] == lost || shards[0].epoch != 6 {
			t.Error("the shard did not restart in a later epoch")
		}
		shards[0].stop()
		<-shards[0].stopped
	})
}

// The store must not fill up with progress of finished items. A former owner that is not yet aware of its
// replacement writes progress after the next owner has finished the item, so it does not suffice that
// progress is deleted by processes that wrote it or resumed from it.
func TestLateProgressIsDeleted(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", "ok", "ok")
		w.nodes[0].submit(j)
		w.checkResults(j, w.nodes[0].results(j, 10*time.Second))
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
