package entry

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Symptom: an answer says "not run", yet the service has counted the call; or
// a call that may run once has run twice.
// Sequence: the side is killed at each step of a non-idempotent call.
// Cause: after the frame was passed on nobody can know, so neither "not run" nor a retry is right.
func TestSideKilledAtEachStepOfNonIdempotentCall(t *testing.T) {
	steps := []struct {
		name     string
		onOpen   func(e *Entry) func(*fakeSide, uint64, *structs.Open)
		before   bool // killed before the call
		ran      errs.Ran
		otherRan int
	}{
		{name: "before the open", before: true, otherRan: 1},
		{name: "after the open", ran: errs.RanUnknown, onOpen: func(e *Entry) func(*fakeSide, uint64, *structs.Open) {
			return func(f *fakeSide, _ uint64, _ *structs.Open) { f.kill(e.pool) }
		}},
		{name: "after the head", ran: errs.RanUnknown, onOpen: func(e *Entry) func(*fakeSide, uint64, *structs.Open) {
			return func(f *fakeSide, s uint64, _ *structs.Open) { f.head(s, 200); f.kill(e.pool) }
		}},
		{name: "after a part", ran: errs.RanUnknown, onOpen: func(e *Entry) func(*fakeSide, uint64, *structs.Open) {
			return func(f *fakeSide, s uint64, _ *structs.Open) { f.head(s, 200); f.data(s, 0, "x"); f.kill(e.pool) }
		}},
		{name: "refused after the head", ran: errs.RanUnknown, onOpen: func(*Entry) func(*fakeSide, uint64, *structs.Open) {
			return func(f *fakeSide, s uint64, _ *structs.Open) {
				f.head(s, 200)
				f.end(s, 0, errs.New(errs.Draining, "leaving"))
			}
		}},
		{name: "refused by the side", otherRan: 1, onOpen: func(*Entry) func(*fakeSide, uint64, *structs.Open) {
			return func(f *fakeSide, s uint64, _ *structs.Open) { f.end(s, 0, errs.New(errs.Draining, "leaving")) }
		}},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			e := newTestEntry(t, testState())
			open := func(*fakeSide, uint64, *structs.Open) { t.Error("a dead side got the call") }
			if step.onOpen != nil {
				open = step.onOpen(e)
			}
			a := connect(e, "a", 0, open)
			b := connect(e, "b", time.Second, func(f *fakeSide, s uint64, _ *structs.Open) { f.answer(s, "ok") })
			if step.before {
				a.dead = true // the entry has not seen it yet
			}
			resp, body := do(e, request{method: "POST", uri: "/svc/lookup/x", key: testKey})
			if b.opened() != step.otherRan {
				t.Errorf("the other target got %d calls, want %d", b.opened(), step.otherRan)
			}
			if step.otherRan == 1 {
				if resp.StatusCode() != 200 || body != "ok" {
					t.Errorf("status %d, %s", resp.StatusCode(), body)
				}
				return
			}
			if err := problemOf(t, body); err.Ran != step.ran {
				t.Errorf("got %+v, want ran %q", err, step.ran)
			}
		})
	}
}

// Symptom: "not run" for a call that an earlier attempt has run.
// Sequence: an idempotent call's first target dies with it, the second refuses it.
// Cause: the last attempt's word was passed on for the whole request.
func TestNotRunIsNotSaidAfterAnAttemptThatMayHaveRun(t *testing.T) {
	e := newTestEntry(t, testState())
	connect(e, "a", 0, func(f *fakeSide, _ uint64, _ *structs.Open) { f.kill(e.pool) })
	connect(e, "b", time.Second, func(f *fakeSide, s uint64, _ *structs.Open) {
		f.end(s, 0, errs.New(errs.Overloaded, "full").WithRetry(3*time.Second))
	})
	_, body := do(e, request{method: "GET", uri: "/svc/lookup/x", key: testKey})
	if err := problemOf(t, body); err.Ran != errs.RanUnknown || err.RetryAfterMs == 0 {
		t.Errorf("got %+v, want ran unknown with a time to come back", err)
	}
}

// Symptom: two runs of one keyed call.
// Sequence: the key's home is lost; the client resends with the same key through any entry.
// Cause: the call was sent to another target, which can't know that it has run.
func TestKeyedCallNeverLeavesItsHome(t *testing.T) {
	e := newTestEntry(t, testState())
	sides := map[structs.TargetID]*fakeSide{}
	for _, id := range []structs.TargetID{"a", "b"} {
		sides[id] = connect(e, id, 0, func(f *fakeSide, s uint64, _ *structs.Open) { f.answer(s, "ok") })
	}
	call := request{method: "POST", uri: "/svc/lookup/x", key: testKey, headers: map[string]string{"Idempotency-Key": "k1", "Idempotency-Issued": "1700000000000"}}
	resp, body := do(e, call)
	home := structs.TargetID(resp.Header.Peek("X-Target"))
	if resp.StatusCode() != 200 || sides[home] == nil {
		t.Fatalf("status %d, %s", resp.StatusCode(), body)
	}
	if o := sides[home].opens[0]; o.Key != "k1" || o.KeyIssuedMs != 1700000000000 || !o.NonIdempotent {
		t.Errorf("opened with %+v", o)
	}
	sides[home].kill(e.pool)
	resp, body = do(e, call)
	if err := problemOf(t, body); resp.StatusCode() != 503 || err.Type != errs.KeyUnverifiable || err.RetryAfterMs == 0 {
		t.Errorf("status %d, %+v; want key_unverifiable with a time to come back", resp.StatusCode(), err)
	}
	if n := sides["a"].opened() + sides["b"].opened(); n != 1 {
		t.Errorf("%d targets got the call, want 1", n)
	}
}

// Symptom: keyed calls run twice while entries disagree on the targets.
// Sequence: an entry is cut off from the configuration, a target is added, the
// client resends through the entry that does not know of it.
// Cause: the cut-off entry went on by its old list of targets.
func TestKeyedCallIsRefusedOnOldConfiguration(t *testing.T) {
	e := newTestEntry(t, testState())
	e.parts.ConfigFresh = func() bool { return false }
	a := connect(e, "a", 0, func(f *fakeSide, s uint64, _ *structs.Open) { f.answer(s, "ok") })
	b := connect(e, "b", 0, func(f *fakeSide, s uint64, _ *structs.Open) { f.answer(s, "ok") })
	call := request{method: "POST", uri: "/svc/lookup/x", key: testKey, headers: map[string]string{"Idempotency-Key": "k1"}}
	if _, body := do(e, call); problemOf(t, body).Type != errs.KeyUnverifiable {
		t.Error(body)
	}
	if a.opened()+b.opened() != 0 {
		t.Error("the call was sent on")
	}
}

// Symptom: a leaving target still gets requests, which its end then cuts off.
// Sequence: the side says that it drains; the host list still calls it live.
// Cause: the lagging list was believed over the fresh report.
func TestDrainingTargetGetsNothingThoughTheListLags(t *testing.T) {
	e := newTestEntry(t, testState())
	a := connect(e, "a", 0, func(f *fakeSide, s uint64, _ *structs.Open) { f.answer(s, "ok") })
	b := connect(e, "b", time.Second, func(f *fakeSide, s uint64, _ *structs.Open) { f.answer(s, "ok") })
	a.load(structs.Load{Target: "a", Limit: 8, Draining: true})
	for range 10 {
		do(e, request{method: "GET", uri: "/svc/lookup/x", key: testKey})
	}
	if a.opened() != 0 || b.opened() != 10 {
		t.Errorf("draining target got %d, the other %d; want 0 and 10", a.opened(), b.opened())
	}
}

// Symptom: a retry storm while the fleet is overloaded.
// Sequence: every target refuses each request.
// Cause: each request was tried on every target, without regard to the share of retries.
func TestRetriesKeepToTheBudget(t *testing.T) {
	const requests = 500
	e := newTestEntry(t, testState())
	var sides []*fakeSide
	for _, id := range []structs.TargetID{"a", "b", "c"} {
		sides = append(sides, connect(e, id, 0, func(f *fakeSide, s uint64, _ *structs.Open) {
			f.end(s, 0, errs.New(errs.Overloaded, "full").WithRetry(time.Second))
		}))
	}
	for range requests {
		resp, body := do(e, chat(false))
		if resp.StatusCode() != 503 || problemOf(t, body).Ran != errs.RanNo {
			t.Fatalf("status %d, %s", resp.StatusCode(), body)
		}
	}
	opens := 0
	for _, s := range sides {
		opens += s.opened()
	}
	// 20 in 100 and the few that a quiet entry may always make.
	if limit := requests*12/10 + 3; opens > limit || opens <= requests {
		t.Errorf("%d attempts for %d requests, want some retries and at most %d attempts", opens, requests, limit)
	}
}
