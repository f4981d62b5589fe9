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

// Each item of a job must get its result, after the right number of runs, and each process must return the
// results.
func TestJobCompletesAndIsReadableAnywhere(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "ok", "ok", "never", "fail", "ok")
		cl.nodes[0].submit(j)
		for _, n := range cl.nodes {
			cl.checkResults(j, n.results(j, 20*time.Second))
		}
		if n := cl.targets.runCount(j.Items[3].ID); n != j.MaxAttempts {
			t.Errorf("an item that fails in each run was run %d times, want %d, the maximum number of attempts", n, j.MaxAttempts)
		}
		if n := cl.targets.runCount(j.Items[2].ID); n != 1 {
			t.Errorf("an item that no target can process was run %d times, want once", n)
		}
	})
}

// Guards against an item that is never run, or whose result is dropped, because ids with slashes make it look like an item
// of another job.
func TestIDsWithSlashesNameDifferentItems(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n, part := cl.nodes[0], "ok"
		for i := 0; n.manager.shardOf("a") != n.manager.shardOf("a/"+part); i++ {
			part = fmt.Sprint("ok", i) // the result is dropped only if one shard has both jobs
		}
		outer, inner := cl.job("a", "ok"), cl.job("a/"+part, "ok")
		outer.Items[0].ID, inner.Items[0].ID = part+"/ok", "ok"
		for _, j := range []*backlog.Job{outer, inner} {
			n.submit(j)
		}
		for _, j := range []*backlog.Job{outer, inner} {
			cl.checkResults(j, n.results(j, 20*time.Second))
		}
	})
}

// A job that is submitted to several processes at the same time must be written once.
func TestResubmittedJobIsWrittenOnce(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, cl *cluster) {
		j := cl.job("a", repeat("ok", 5)...)
		done := make(chan struct{})
		for _, n := range cl.nodes {
			go func() {
				n.submit(j)
				done <- struct{}{}
			}()
		}
		for range cl.nodes {
			<-done
		}
		cl.checkResults(j, cl.nodes[1].results(j, 20*time.Second))
		written := 0
		for _, r := range cl.store.Records(jobPartition) {
			if r.Key == "j/a" {
				written++
			}
		}
		if written != 1 {
			t.Errorf("the job was written %d times, want once", written)
		}
	})
}

// Jobs that are submitted to several processes at the same time must not exceed the route's limit together.
func TestRouteLimitHoldsAcrossProcesses(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, cl *cluster) {
		route := *cl.route
		route.MaxQueuedTokens = 1000
		accepted := make(chan int64, 30)
		for i := range 30 {
			go func() {
				j := cl.job(fmt.Sprintf("j%d", i), "ok", "ok")
				err := cl.nodes[i%3].manager.Submit(context.Background(), &route, j)
				switch {
				case err == nil:
					accepted <- j.Tokens()
				case !errs.Is(err, errs.RateLimited) || errs.As(err).Ran != errs.RanNo:
					t.Errorf("submission of job %d: %v, want acceptance or a rate limit error of a job that has not run", i, err)
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
			t.Errorf("jobs of %d tokens in total were accepted, want 1000, the limit", sum)
		}
	})
}

// An item that ends twice must get only one position. While the owner writes an item's result to a slow
// store, its scheduler may still find the item without a result and start it again; that run ends at once,
// since the output is complete.
func TestItemFinishedTwiceHasOnePosition(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "ok")
		n := cl.nodes[0]
		n.submit(j)
		n.results(j, 20*time.Second)
		s := n.manager.scheduler.shardFor(t, n.manager.shardOf(j.ID))
		s.enqueueResult(&pendingResult{job: j, index: 0, outcome: backlog.Complete, text: expectedOutput(j.Items[0].ID)})
		time.Sleep(time.Second)
		for _, r := range cl.store.Records(resultPartition) {
			if r.Key == "r/a/1" {
				t.Error("the item has a result at position 1 as well, want only that at position 0")
			}
		}
	})
}

// shardFor returns the owned shard of an index. It fails the test if the shard is not owned.
func (sc *scheduler) shardFor(t *testing.T, index int) *shard {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for s := range sc.shards {
		if s.index == index {
			return s
		}
	}
	t.Fatalf("shard %d is not owned by the process, want it owned", index)
	return nil
}

// If processes stop as planned while items run, others must complete the items.
func TestStoppingProcessHandsItemsOver(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", repeat("ok", 6)...)
		cl.nodes[0].submit(j)
		time.Sleep(300 * time.Millisecond) // half of each item is done
		cl.nodes[0].stop()
		time.Sleep(100 * time.Millisecond)
		cl.nodes[1].stop()
		cl.start("node-2")
		cl.checkResults(j, cl.nodes[2].results(j, 20*time.Second))
		for _, item := range j.Items {
			if n := cl.targets.runCount(item.ID); n < 2 {
				t.Errorf("item %s was run %d times, want at least 2: the processes were stopped too late", item.ID, n)
			}
		}
	})
}

// If processes are killed while items run, another must complete the items.
func TestKilledProcessesAreTakenOver(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, cl *cluster) {
		j := cl.job("a", repeat("ok", 8)...)
		cl.nodes[0].submit(j)
		time.Sleep(300 * time.Millisecond)
		cl.nodes[0].kill()
		cl.nodes[1].kill()
		cl.checkResults(j, cl.nodes[2].results(j, 20*time.Second))
	})
}

// After the loss of all processes a new one must complete all accepted jobs, and positions that were read
// must not change.
func TestAcceptedJobsSurviveLossOfAllProcesses(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, cl *cluster) {
		var jobs []*backlog.Job
		for i := range 12 {
			j := cl.job(fmt.Sprintf("j%d", i), repeat("ok", 4)...)
			jobs = append(jobs, j)
			cl.nodes[i%3].submit(j)
		}
		firstRead := cl.nodes[0].results(jobs[0], 5*time.Second)
		for _, n := range cl.nodes {
			n.kill()
		}
		cl.store.Forget()
		n := cl.start("node-new")
		for i, j := range jobs {
			list := n.results(j, 20*time.Second)
			cl.checkResults(j, list)
			if i == 0 {
				for p := range firstRead {
					if list[p].Item != firstRead[p].Item {
						t.Errorf("position %d was read with item %s and now has item %s, want the same item", p, firstRead[p].Item, list[p].Item)
					}
				}
			}
		}
	})
}

// A process that can't reach the store must return a retryable error, because it can't determine whether a
// job exists or has more results.
func TestUnreachableStoreIsReported(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		n := cl.nodes[1]
		n.view.Set(keyedlog.Faults{Refuse: true})
		time.Sleep(2 * time.Second)
		j := cl.job("a", "ok")
		cl.nodes[0].submit(j)
		_, err := n.manager.Results(context.Background(), serving.Caller{}, "a", 0, 0)
		if !errs.Is(err, errs.LogDown) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("results of a job that the process has not read: error is %v, want errs.LogDown with a retry delay", err)
		}
		_, err = n.manager.ItemBody(context.Background(), serving.Caller{}, "a", j.Items[0].ID)
		if !errs.Is(err, errs.LogDown) {
			t.Errorf("item body of a job that the process has not read: error is %v, want errs.LogDown", err)
		}
		err = n.manager.Submit(context.Background(), cl.route, cl.job("b", "ok"))
		if e := errs.As(err); e == nil || e.Ran != errs.RanNo || e.RetryAfterMs == 0 {
			t.Errorf("submission without a reachable store: error is %v, want one of a job that has not run, with a retry delay", err)
		}
		if _, err := cl.nodes[0].manager.Results(context.Background(), serving.Caller{}, "b", 0, 0); !errs.Is(err, errs.NotFound) {
			t.Errorf("results of a job that no process accepted: error is %v, want errs.NotFound", err)
		}
	})
}

// A job must not be rejected and run all the same. A process writes a job and loses the answer, and the store
// does the write seconds later. If the process treats a write without an answer as failed, it rejects the
// job.
func TestLostAnswerIsNotARejection(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		n.view.Set(keyedlog.Faults{Late: 3 * time.Second})
		j := cl.job("a", "ok")
		err := n.manager.Submit(context.Background(), cl.route, j)
		if e := errs.As(err); e == nil || e.Ran == errs.RanNo {
			t.Errorf("submission whose write may still succeed: error is %v, want one of a job that may have run", err)
		}
		n.view.Set(keyedlog.Faults{})
		cl.nodes[1].submit(j)
		time.Sleep(5 * time.Second)
		cl.checkResults(j, n.results(j, 20*time.Second))
	})
}

// No process may start an item of a cancelled job more than a second after the cancellation.
func TestCancelledJobIsNotRun(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", repeat("ok", 60)...)
		cl.nodes[0].submit(j)
		time.Sleep(200 * time.Millisecond)
		if err := cl.nodes[1].manager.Cancel(context.Background(), serving.Caller{}, "a"); err != nil {
			t.Fatal(err)
		}
		cancelledAt := time.Now()
		time.Sleep(10 * time.Second)
		for _, item := range j.Items {
			if last := cl.targets.lastStart(item.ID); last.After(cancelledAt.Add(time.Second)) {
				t.Errorf("item %s was started %v after the cancellation, want within 1 s or not at all", item.ID, last.Sub(cancelledAt))
			}
		}
		if err := cl.nodes[0].manager.Cancel(context.Background(), serving.Caller{}, "a"); err != nil {
			t.Errorf("second cancellation: error is %v, want none", err)
		}
	})
}

// An item must not get two results in one append. If a run is marked as inactive before its verdict is
// applied, the scheduler starts the item again after its last event, and both runs deliver its whole output.
func TestRunEndsTogetherWithItsVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stopAll()
		j := cl.job("a", "ok")
		s := &shard{m: cl.nodes[0].manager, flushRequested: make(chan struct{}, 1)}
		tk := &task{shard: s, job: j, hasActiveRun: true}
		tk.finishRun(runEnd{target: "target-0", verdict: runComplete})
		if tk.canStart(time.Now()) {
			t.Error("an item whose run has completed it can start again, want not")
		}
		if len(s.pending) != 1 {
			t.Errorf("%d results of one item are pending, want 1", len(s.pending))
		}
	})
}

// An outage of the store of some seconds must not stop all batch jobs. While no process reaches the store,
// their states of cancellations become old and their leases expire, as if each were isolated from the others.
func TestItemsStartWhileStoreIsDownForAll(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", repeat("ok", 200)...)
		cl.nodes[0].submit(j)
		for _, n := range cl.nodes {
			n.view.Set(keyedlog.Faults{Refuse: true})
		}
		outageStart := time.Now()
		cl.exchangeReports(func() bool { return time.Since(outageStart) < 6*time.Second })
		if last := cl.targets.lastStartOf(j); last.Before(outageStart.Add(4 * time.Second)) {
			t.Errorf("the last item started %v after the outage began, want at least 4 s", last.Sub(outageStart))
		}
	})
}

// A process that alone can't reach the store must not start items after its lease has expired: another process
// may have taken them over.
func TestNoItemsStartOnIsolatedProcess(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", repeat("ok", 200)...)
		cl.nodes[0].submit(j)
		cl.nodes[0].view.Set(keyedlog.Faults{Refuse: true})
		cl.nodes[1].kill() // only the isolated process runs items
		outageStart := time.Now()
		cl.exchangeReports(func() bool {
			cl.nodes[1].fleet.RecordStoreContact()
			return time.Since(outageStart) < 6*time.Second
		})
		if last := cl.targets.lastStartOf(j); last.After(outageStart.Add(maxCancelAge + testMinTTL*3/2)) {
			t.Errorf("the last item started %v after the process was isolated, want at most maxCancelAge plus its lease of 1.5 times testMinTTL", last.Sub(outageStart))
		}
	})
}

// exchangeReports passes load reports between all processes while isActive returns true.
func (cl *cluster) exchangeReports(isActive func() bool) {
	for isActive() {
		for _, receiver := range cl.nodes {
			for _, sender := range cl.nodes {
				if receiver != sender {
					receiver.fleet.ApplyReport(fleet.Peer(sender.name), sender.fleet.Report())
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A reassignment of all shards, as after an outage of the store, must not make items start over: the new owners
// resume them from the progress that the former owners have stored.
func TestItemResumesFromFormerOwnersProgress(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", repeat("okay", 4)...)
		cl.nodes[0].submit(j)
		// After this time the first checkpoints have been written, and the owner receives the new assignment
		// before its items end: it makes a join call every half second, and the items take three seconds.
		time.Sleep(checkpointEvents*eventInterval + 3*checkpointInterval/2)
		cl.store.Rebalance()
		cl.checkResults(j, cl.nodes[0].results(j, 20*time.Second))
		for _, item := range j.Items {
			if from := cl.targets.lastResumedAfter(item.ID); cl.targets.runCount(item.ID) < 2 || from == "" {
				t.Errorf("item %s was run %d times, the last time after event %q; want at least 2 runs, the last not from the start", item.ID, cl.targets.runCount(item.ID), from)
			}
		}
	})
}

// slowFirstPage is a store that delays the first page of a load: after reading the page, it waits a second and
// calls afterFirstPage before it returns the page.
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

// The age of a state must count from the first page of its load. A process that has just started reads the
// newest records for seconds, and a result is written meanwhile under a key whose page has been read already.
// If the age counted from the last page, the process would answer that the job has no results, though other
// processes returned them seconds before.
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
		r.withState(func(s *backlog.State) { listed = s.ListedCount("j") })
		if listed == 0 && r.stateAge(resultPartition) < maxAnswerAge {
			t.Errorf("a state without the result has an age of %v, want at least maxAnswerAge", r.stateAge(resultPartition))
		}
	})
}

// Items whose owner is killed, so that it hands nothing over, must resume from their checkpoints, which must
// be deleted once the items are finished.
func TestItemsOfKilledOwnerResumeFromCheckpoints(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", repeat("okay", 4)...)
		cl.nodes[0].submit(j)
		time.Sleep(checkpointEvents*eventInterval + 2*checkpointInterval)
		for _, n := range cl.nodes {
			n.kill()
		}
		newNode := cl.start("last")
		cl.checkResults(j, newNode.results(j, 20*time.Second))
		for _, item := range j.Items {
			if from := cl.targets.lastResumedAfter(item.ID); cl.targets.runCount(item.ID) < 2 || from == "" {
				t.Errorf("item %s was run %d times, the last time after event %q; want at least 2 runs, the last not from the start", item.ID, cl.targets.runCount(item.ID), from)
			}
		}
		time.Sleep(2 * time.Second)
		if page, err := newNode.view.Newest(context.Background(), progressPartition, ""); err != nil || len(page.Records) != 0 {
			t.Errorf("%d checkpoints of finished items are left, error %v; want 0 and no error", len(page.Records), err)
		}
	})
}

// Finished and cancelled jobs must be deleted once they have expired, and not before. The store keeps the
// newest record of each key forever, so records that no process deletes fill it up.
func TestOnlyExpiredJobsAreDeleted(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		finished, cancelled := cl.job("done", "ok", "never"), cl.job("crashed", repeat("okay", 90)...)
		cl.nodes[0].submit(finished)
		cl.nodes[1].submit(cancelled)
		cl.checkResults(finished, cl.nodes[0].results(finished, 10*time.Second))
		if err := cl.nodes[0].manager.Cancel(context.Background(), serving.Caller{}, "crashed"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testKeepFor - 15*time.Second)
		cl.checkResults(finished, cl.nodes[1].results(finished, time.Second))
		time.Sleep(maxClockSkew + 2*compactionInterval + 15*time.Second)
		for _, id := range []string{"done", "crashed"} {
			if _, err := cl.nodes[0].manager.Results(context.Background(), serving.Caller{}, id, 0, 0); !errs.Is(err, errs.NotFound) {
				t.Errorf("results of the expired job %s: error is %v, want errs.NotFound", id, err)
			}
		}
		for _, p := range []platform.Partition{jobPartition, resultPartition, progressPartition} {
			page, err := cl.nodes[0].view.Newest(context.Background(), p, "")
			if err != nil || len(page.Records) != 0 {
				t.Errorf("topic %s still holds %d records, error %v; want 0 and no error", p.Topic, len(page.Records), err)
			}
		}
	})
}

// A task must not be locked while its result is passed to the shard. Otherwise three locks can deadlock: a
// finished run holds its task's lock and waits for the shard, the shard waits for the replica to assign
// positions, and the scheduler holds the replica's lock and waits for the task. The process would then answer
// nothing about jobs and never stop, though it would still serve streams.
func TestTaskNotLockedWhileShardIsBusy(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		s := &shard{m: cl.nodes[0].manager, flushRequested: make(chan struct{}, 1)}
		for name, finish := range map[string]func(*task){
			"a run that ends": func(tk *task) { tk.finishRun(runEnd{target: "target-0", verdict: runComplete}) },
			"a missing route": func(tk *task) { cl.nodes[0].manager.scheduler.deferUnrouted(tk, time.Now()) },
		} {
			tk := &task{shard: s, job: cl.job("a", "ok"), hasActiveRun: true, unroutedChecks: maxUnroutedChecks - 1}
			s.mu.Lock()
			done := make(chan struct{})
			go func() {
				defer close(done)
				finish(tk)
			}()
			if !reachesOutcome(tk) {
				t.Errorf("after %s the task has no outcome or stays locked while its shard is locked, want an outcome and no lock", name)
			}
			s.mu.Unlock()
			<-done
		}
	})
}

// reachesOutcome reports whether one of 100,000 attempts finds the task unlocked and with an outcome.
func reachesOutcome(tk *task) bool {
	for range 100_000 {
		if tk.mu.TryLock() {
			hasOutcome := tk.outcome != ""
			tk.mu.Unlock()
			if hasOutcome {
				return true
			}
		}
		runtime.Gosched()
	}
	return false
}

// A lost shard must restart only in a later epoch. In the same one the store treats its first writes as
// repeats of earlier ones: it acknowledges and discards them.
func TestLostShardRestartsOnlyInLaterEpoch(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		m := cl.nodes[0].manager
		lost := &shard{m: m, epoch: 5, isLost: true, stop: func() {}}
		shards := map[int]*shard{0: lost}
		held := []platform.Partition{{Topic: shardTopic, Index: 0}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m.applyAssignment(ctx, shards, platform.Assignment{Generation: 5, Held: held}, time.Time{})
		if shards[0] != lost {
			t.Error("the lost shard restarted in epoch 5, in which it was lost; want it to stay stopped")
		}
		m.applyAssignment(ctx, shards, platform.Assignment{Generation: 6, Held: held}, time.Time{})
		if shards[0] == lost || shards[0].epoch != 6 {
			t.Error("the lost shard did not restart in epoch 6 after its loss in epoch 5, want a new shard of epoch 6")
		}
		shards[0].stop()
		<-shards[0].stopped
	})
}

// The store must not fill up with the progress of finished items. A former owner that is not yet aware of its
// replacement may write progress after the next owner has finished the item. It does not suffice then that
// processes delete the progress that they wrote or resumed from.
func TestLateProgressIsDeleted(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "ok", "ok")
		cl.nodes[0].submit(j)
		cl.checkResults(j, cl.nodes[0].results(j, 10*time.Second))
		shard := cl.nodes[0].manager.shardOf(j.ID)
		records, err := backlog.EncodeProgress(&backlog.Progress{Job: j.ID, Item: j.Items[0].ID, LastEventID: "3", Text: "x"}, shard, 0)
		if err != nil {
			t.Fatal(err)
		}
		v := cl.store.View()
		if _, err := v.Append(context.Background(), platform.Append{Partition: progressPartition, Records: records}); err != nil {
			t.Fatal(err)
		}
		cl.store.Rebalance()
		time.Sleep(10 * time.Second)
		if page, err := v.Newest(context.Background(), progressPartition, ""); err != nil || len(page.Records) != 0 {
			t.Errorf("%d progress records of a finished item are left, error %v; want 0 and no error", len(page.Records), err)
		}
	})
}
