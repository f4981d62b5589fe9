package backlog

import (
	"testing"
	"time"
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
