package backlog

import (
	"context"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/standin/keyedlog"
)

// Symptom: an item that fails at each run reached targets without an end.
// Sequence: an item's run is answered with 500; its owner is killed before the item has used up its
// attempts; the next owner begins to count anew; and so on, as processes are replaced one after the other.
// Cause: how often an item had failed was known to its owner alone.
func TestAttemptsAreBoundedOverTakeovers(t *testing.T) {
	bubble(t, 1, func(t *testing.T, w *world) {
		j := w.job("a", "fail")
		w.nodes[0].submit(j)
		for i := range 8 {
			before := w.targets.count(j.Items[0].ID)
			for n := 0; n < 400 && w.targets.count(j.Items[0].ID) == before; n++ {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // the failure is written, the next attempt not begun
			w.nodes[len(w.nodes)-1].kill()
			w.start("next-" + string(rune('a'+i)))
			time.Sleep(testTTL + time.Second)
		}
		w.check(j, w.nodes[len(w.nodes)-1].results(j, 20*time.Second))
		// An owner that dies between a failure and the write of its count lets one more through.
		if n := w.targets.count(j.Items[0].ID); n > j.Attempts+1 {
			t.Errorf("an item that fails at each run was run %d times over takeovers, want %d", n, j.Attempts)
		}
	})
}

// Symptom: an item was given up after one answer of 500, with two attempts left.
// Sequence: a configuration without the item's route is in force for some seconds; the next one has it
// again; the item fails once, as many do.
// Cause: a look that found no route was counted as an attempt that had failed.
func TestAMissingRouteIsNoFailedAttempt(t *testing.T) {
	bubble(t, 1, func(t *testing.T, w *world) {
		j := w.job("a", "fail")
		w.noRoute.Store(true)
		w.nodes[0].submit(j)
		time.Sleep(2*unroutedPause + time.Second)
		w.noRoute.Store(false)
		w.check(j, w.nodes[0].results(j, 20*time.Second))
		if n := w.targets.count(j.Items[0].ID); n != j.Attempts {
			t.Errorf("the item was given up after %d failed attempts, want %d", n, j.Attempts)
		}
	})
}

// Symptom: after outages of the store items whose output was whole were sent to targets once more, and
// their results were listed that much later.
// Sequence: items end while no process reaches the store; leases lapse and the shards are dealt anew
// before the ends are written; the next owner finds the items' whole output as their progress and has a
// target resume it after its last event.
// Cause: progress did not say that nothing is left to do.
func TestAnItemThatEndedIsNotRunAgain(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		w.noRoute.Store(true) // nothing runs here; what there is comes from former owners
		j := w.job("a", "ok", "never", "ok")
		w.nodes[0].submit(j)
		shard := w.nodes[0].manager.shardOf(j.ID)
		for i, p := range []backlog.Progress{{Outcome: backlog.Complete, LastID: "40", Text: output(j.Items[0].ID)}, {Outcome: backlog.Errored}} {
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
		w.noRoute.Store(false)
		w.check(j, w.nodes[1].results(j, 20*time.Second))
		for i, want := range []int{0, 0, 1} {
			if n := w.targets.count(j.Items[i].ID); n != want {
				t.Errorf("item %s was run %d times, want %d", j.Items[i].ID, n, want)
			}
		}
	})
}

// Symptom: after each outage of the store a part of the items was run again from the middle.
// Sequence: all leases lapse in the outage; the first process that is back is dealt every shard and begins
// with the items; the others, back a few hundred milliseconds later, write what they had.
// Cause: the first one took the others for gone.
func TestAfterAnOutageFormerOwnersAreWaitedFor(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
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
		w.gossip(func() bool { return time.Since(down) < 5*time.Second })
		w.nodes[0].view.Set(keyedlog.Faults{})
		time.Sleep(300 * time.Millisecond)
		w.nodes[1].view.Set(keyedlog.Faults{})
		for _, j := range jobs {
			w.check(j, w.nodes[1].results(j, 20*time.Second))
			for _, item := range j.Items {
				if n := w.targets.count(item.ID); n != 1 {
					t.Errorf("item %s was run %d times", item.ID, n)
				}
			}
		}
	})
}

// An item whose route does not come back is given up, so that its job ends.
func TestAnItemWhoseRouteIsGoneIsGivenUp(t *testing.T) {
	bubble(t, 1, func(t *testing.T, w *world) {
		j := w.job("a", "fail")
		w.noRoute.Store(true)
		w.nodes[0].submit(j)
		w.check(j, w.nodes[0].results(j, time.Minute))
		if n := w.targets.count(j.Items[0].ID); n != 0 {
			t.Errorf("the item was run %d times", n)
		}
	})
}
