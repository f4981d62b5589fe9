package backlog

import (
	"context"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/standin/keyedlog"
)

// An item that always fails must not be run without bound while its owners are replaced. If the number of
// failures were not stored, each new owner would count from zero.
func TestAttemptsBoundedAcrossTakeovers(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "fail")
		cl.nodes[0].submit(j)
		for i := range 8 {
			runsBefore := cl.targets.runCount(j.Items[0].ID)
			for n := 0; n < 400 && cl.targets.runCount(j.Items[0].ID) == runsBefore; n++ {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // the failure has been written, the next attempt has not begun
			cl.nodes[len(cl.nodes)-1].kill()
			cl.start("next-" + string(rune('a'+i)))
			time.Sleep(testMinTTL + time.Second)
		}
		cl.checkResults(j, cl.nodes[len(cl.nodes)-1].results(j, 20*time.Second))
		// If an owner is killed between a failure and the write of the count, the item gets one more attempt.
		if n := cl.targets.runCount(j.Items[0].ID); n > j.MaxAttempts+1 {
			t.Errorf("an item that fails in each run was run %d times across takeovers, want %d or one more", n, j.MaxAttempts)
		}
	})
}

// A check that finds no route must not count as a failed attempt. Otherwise an item is given up after one
// answer of 500, with two attempts left, if a configuration without the item's route was in force for some
// seconds.
func TestMissingRouteIsNotAFailedAttempt(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "fail")
		cl.isRouteRemoved.Store(true)
		cl.nodes[0].submit(j)
		time.Sleep(2*unroutedRecheckDelay + time.Second)
		cl.isRouteRemoved.Store(false)
		cl.checkResults(j, cl.nodes[0].results(j, 20*time.Second))
		if n := cl.targets.runCount(j.Items[0].ID); n != j.MaxAttempts {
			t.Errorf("the item was given up after %d runs, want %d; checks without a route must not count", n, j.MaxAttempts)
		}
	})
}

// An item whose output is complete must not be sent to a target again after an outage of the store. Items end
// while no process reaches the store, leases expire, and the shards are reassigned before the results are
// written. If the stored progress did not contain the outcome, the next owner would have a target resume a
// complete output, and the result would be listed that much later.
func TestFinishedItemIsNotRunAgain(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		cl.isRouteRemoved.Store(true) // no item runs until the progress of former owners has been read
		j := cl.job("a", "ok", "never", "ok")
		cl.nodes[0].submit(j)
		shard := cl.nodes[0].manager.shardOf(j.ID)
		for i, p := range []backlog.Progress{{Outcome: backlog.Complete, LastEventID: "40", Text: expectedOutput(j.Items[0].ID)}, {Outcome: backlog.Errored}} {
			p.Job, p.Item = j.ID, j.Items[i].ID
			records, err := backlog.EncodeProgress(&p, shard, i)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := cl.store.View().Append(context.Background(), platform.Append{Partition: progressPartition, Records: records}); err != nil {
				t.Fatal(err)
			}
		}
		cl.store.Rebalance()
		time.Sleep(2 * time.Second)
		cl.isRouteRemoved.Store(false)
		cl.checkResults(j, cl.nodes[1].results(j, 20*time.Second))
		for i, want := range []int{0, 0, 1} {
			if n := cl.targets.runCount(j.Items[i].ID); n != want {
				t.Errorf("item %s was run %d times after its progress was stored, want %d", j.Items[i].ID, n, want)
			}
		}
	})
}

// After an outage of the store, items must not be run again from their last checkpoints. All leases expire in
// the outage, and the first process that is back is assigned every shard. If it starts the items at once, it
// does so before the other owners, back a few hundred milliseconds later, have written their progress.
func TestShardWaitsForFormerOwnerAfterOutage(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		var jobs []*backlog.Job
		for i := range 10 {
			j := cl.job(string(rune('a'+i)), "ok", "ok")
			cl.nodes[0].submit(j)
			jobs = append(jobs, j)
		}
		time.Sleep(200 * time.Millisecond)
		for _, n := range cl.nodes {
			n.view.Set(keyedlog.Faults{Silent: true})
		}
		outageStart := time.Now()
		cl.exchangeReports(func() bool { return time.Since(outageStart) < 5*time.Second })
		cl.nodes[0].view.Set(keyedlog.Faults{})
		time.Sleep(300 * time.Millisecond)
		cl.nodes[1].view.Set(keyedlog.Faults{})
		for _, j := range jobs {
			cl.checkResults(j, cl.nodes[1].results(j, 20*time.Second))
			for _, item := range j.Items {
				if n := cl.targets.runCount(item.ID); n != 1 {
					t.Errorf("item %s was run %d times during and after the outage, want once", item.ID, n)
				}
			}
		}
	})
}

// An item whose route is not restored must be given up, so that its job ends.
func TestItemWithoutRouteIsGivenUp(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "fail")
		cl.isRouteRemoved.Store(true)
		cl.nodes[0].submit(j)
		cl.checkResults(j, cl.nodes[0].results(j, time.Minute))
		if n := cl.targets.runCount(j.Items[0].ID); n != 0 {
			t.Errorf("an item without a route was run %d times, want 0", n)
		}
	})
}
