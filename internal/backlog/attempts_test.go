package backlog

import (
	"context"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/standin/keyedlog"
)

// An item that always fails must not be run without bound while its owners are replaced. If only the owner
// knew the number of failures, each new owner would count from zero.
func TestAttemptsBoundedAcrossTakeovers(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		j := w.job("a", "fail")
		w.nodes[0].submit(j)
		for i := range 8 {
			before := w.targets.runCount(j.Items[0].ID)
			for n := 0; n < 400 && w.targets.runCount(j.Items[0].ID) == before; n++ {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // the failure has been written, the next attempt has not begun
			w.nodes[len(w.nodes)-1].kill()
			w.start("next-" + string(rune('a'+i)))
			time.Sleep(testMinTTL + time.Second)
		}
		w.checkResults(j, w.nodes[len(w.nodes)-1].results(j, 20*time.Second))
		// If an owner is killed between a failure and the write of its count, one more attempt happens.
		if n := w.targets.runCount(j.Items[0].ID); n > j.Attempts+1 {
			t.Errorf("an item that fails in each run was run %d times across takeovers, want %d", n, j.Attempts)
		}
	})
}

// A check that finds no route must not count as a failed attempt. Otherwise an item is given up after one
// answer of 500, with two attempts left, if a configuration without its route was in force for some seconds.
func TestMissingRouteIsNotAFailedAttempt(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		j := w.job("a", "fail")
		w.isRouteRemoved.Store(true)
		w.nodes[0].submit(j)
		time.Sleep(2*unroutedRecheckDelay + time.Second)
		w.isRouteRemoved.Store(false)
		w.checkResults(j, w.nodes[0].results(j, 20*time.Second))
		if n := w.targets.runCount(j.Items[0].ID); n != j.Attempts {
			t.Errorf("the item was given up after %d failed attempts, want %d", n, j.Attempts)
		}
	})
}

// An item whose output is complete must not be sent to a target again after an outage of the store. Items end
// while no process reaches the store, leases expire, and the shards are reassigned before the results are
// written. If the stored progress did not contain the outcome, the next owner would have a target resume a
// complete output, and the result would be listed that much later.
func TestFinishedItemIsNotRunAgain(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		w.isRouteRemoved.Store(true) // nothing runs here; all progress comes from former owners
		j := w.job("a", "ok", "never", "ok")
		w.nodes[0].submit(j)
		shard := w.nodes[0].manager.shardOf(j.ID)
		for i, p := range []backlog.Progress{{Outcome: backlog.Complete, LastID: "40", Text: expectedOutput(j.Items[0].ID)}, {Outcome: backlog.Errored}} {
			p.Job, p.Item = j.ID, j.Items[i].ID
			records, err := backlog.EncodeProgress(&p, shard, i)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := w.store.View().Append(context.Background(), platform.Append{Partition: progressPartition, Records: records}); err != nil {
				t.Fatal(err)
			}
		}
		w.store.Rebalance()
		time.Sleep(2 * time.Second)
		w.isRouteRemoved.Store(false)
		w.checkResults(j, w.nodes[1].results(j, 20*time.Second))
		for i, want := range []int{0, 0, 1} {
			if n := w.targets.runCount(j.Items[i].ID); n != want {
				t.Errorf("item %s was run %d times, want %d", j.Items[i].ID, n, want)
			}
		}
	})
}

// After an outage of the store, items must not be run again from the middle. All leases expire in the outage,
// and the first process that is back is assigned every shard. If it starts the items at once, it does so
// before the other owners, back a few hundred milliseconds later, have written their progress.
func TestShardWaitsForFormerOwnerAfterOutage(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		var jobs []*backlog.Job
		for i := range 10 {
			j := w.job(string(rune('a'+i)), "ok", "ok")
			w.nodes[0].submit(j)
			jobs = append(jobs, j)
		}
		time.Sleep(200 * time.Millisecond)
		for _, n := range w.nodes {
			n.view.Set(keyedlog.Faults{Silent: true})
		}
		down := time.Now()
		w.exchangeReports(func() bool { return time.Since(down) < 5*time.Second })
		w.nodes[0].view.Set(keyedlog.Faults{})
		time.Sleep(300 * time.Millisecond)
		w.nodes[1].view.Set(keyedlog.Faults{})
		for _, j := range jobs {
			w.checkResults(j, w.nodes[1].results(j, 20*time.Second))
			for _, item := range j.Items {
				if n := w.targets.runCount(item.ID); n != 1 {
					t.Errorf("item %s was run %d times, want once", item.ID, n)
				}
			}
		}
	})
}

// An item whose route is not restored is given up, so that its job ends.
func TestItemWithoutRouteIsGivenUp(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		j := w.job("a", "fail")
		w.isRouteRemoved.Store(true)
		w.nodes[0].submit(j)
		w.checkResults(j, w.nodes[0].results(j, time.Minute))
		if n := w.targets.runCount(j.Items[0].ID); n != 0 {
			t.Errorf("the item was run %d times, want none", n)
		}
	})
}
