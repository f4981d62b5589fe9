package online_test

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
	"arbutusramp/standin/engine"
	"arbutusramp/test/cluster"
)

// checkGivenUp fails unless r is a typed error of one of types with a time to come back.
func checkGivenUp(t *testing.T, r reply, ran errs.Ran, types ...errs.Type) {
	t.Helper()
	if r.err == nil {
		t.Errorf("no typed error: %v", r)
		return
	}
	known := false
	for _, typ := range types {
		known = known || r.err.Type == typ
	}
	if !known || r.err.Ran != ran {
		t.Errorf("%v, ran %q; want %v, %q", r.err, r.err.Ran, types, ran)
	}
	if r.err.RetryAfterMs <= 0 || r.retryAfter == "" {
		t.Errorf("%v does not say when to come back (Retry-After %q)", r.err, r.retryAfter)
	}
}

// Symptom: callers wait in a queue for an answer that can't come in time, or for ever.
// Events: the engine hangs, its side's places are taken and its queue is full. One more request comes.
// Cause: a queue without a bound. The refusal is there while all the others still wait.
func TestOverloadIsRefusedWhileOthersWait(t *testing.T) {
	t.Parallel()
	w := startWorld(t, cluster.Options{
		Entries: 1, Engines: 1,
		SideSettings: func(s *settings.Side) { s.MaxLimit, s.MaxQueue = 2, 4 },
	})
	w.Engines[0].Turn(func(k *engine.Knobs) { k.Hang = true })
	asks := w.asks("wait", 6, 50)
	wait := w.background(asks)
	w.await(t, "places and queue are full", func() bool {
		return gauge(w.EngineSides[0], "side.online_in_flight") == 2 && gauge(w.EngineSides[0], "side.online_queued") == 4
	})
	more := w.asks("more", 8, 50)
	for i, r := range w.sendAll(more) {
		checkGivenUp(t, r, errs.RanNo, errs.Overloaded, errs.DeadlineUnmet)
		w.checkNotRun(t, more[i], r)
	}
	if n := gauge(w.EngineSides[0], "side.online_queued"); n != 4 {
		t.Errorf("%d requests wait after the refusals, not 4", n)
	}
	w.Engines[0].Turn(func(k *engine.Knobs) { k.Hang = false })
	for i, r := range wait() {
		r.check(t, asks[i])
		w.checkNotRun(t, asks[i], r)
	}
}

// Symptom: a request with a deadline is answered long after it, or never.
// Events: the engine hangs; a request with a deadline of 200 ms comes, is handed over, and another waits in
// the queue. Nothing else would ever end them.
// Cause: a deadline that nobody watches at the target or in the queue.
func TestDeadlinesEndRequestsOfAHangingTarget(t *testing.T) {
	t.Parallel()
	w := startWorld(t, cluster.Options{
		Entries: 1, Engines: 1,
		SideSettings: func(s *settings.Side) { s.MaxLimit, s.TargetBudget = 1, time.Hour },
	})
	w.Engines[0].Turn(func(k *engine.Knobs) { k.Hang = true })
	asks := w.asks("deadline", 4, 50)
	for _, a := range asks {
		a.timeout = 200 * time.Millisecond
	}
	for i, r := range w.sendAll(asks) {
		ran := errs.RanUnknown
		if w.ran(asks[i].id) == 0 && r.err != nil && r.err.Ran == errs.RanNo {
			ran = errs.RanNo
		}
		checkGivenUp(t, r, ran, errs.DeadlineExceeded, errs.DeadlineUnmet, errs.Overloaded)
		w.checkNotRun(t, asks[i], r)
	}
}

// Symptom: a caller waits for a system that has no target, or gets a bare connection error.
// Events: the only side of the model dies; requests come.
// Cause: a request that waits for a target to appear.
func TestNoTargetIsSaidAtOnce(t *testing.T) {
	t.Parallel()
	w := startWorld(t, cluster.Options{Entries: 1, Engines: 1, Services: 1})
	w.EngineSides[0].Kill()
	last := reply{}
	w.await(t, "the entry sees the loss", func() bool {
		last = w.send(w.ctx, w.asks("gone", 1, 10)[0])
		return last.err != nil && last.err.Type != errs.SessionLost
	})
	checkGivenUp(t, last, errs.RanNo, errs.NoTarget, errs.UnknownModel)
}

// Symptom: a caller whose call may not be repeated hangs because the one side that could know of it is gone.
// Events: the home of some keys dies; calls with those keys come.
// Cause: an entry that waits for the home, or that falls back to another.
func TestAnUnreachableHomeIsSaidAtOnce(t *testing.T) {
	t.Parallel()
	w := startKeyed(t)
	w.ServiceSides[0].Kill()
	w.await(t, "the entries see the loss", func() bool { return gauge(w.ServiceSides[0], "side.sessions") == 0 })
	refused := 0
	for i, k := range newKeyed("homeless", 30) {
		r := w.sendKeyed(w.Entries[i%2], k, 0)
		w.checkOnce(t, k, r)
		if r.whole {
			continue
		}
		refused++
		if r.err != nil && r.err.Type == errs.SessionLost {
			continue
		}
		checkGivenUp(t, r, errs.RanUnknown, errs.KeyUnverifiable)
	}
	if refused == 0 {
		t.Error("no key had the lost side for its home, so nothing was shown")
	}
}
