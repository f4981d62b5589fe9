package entry

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/choose"
	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Symptom: a caller waits long past its deadline.
// Sequence: the target accepts the request and never answers.
// Cause: nothing but the answer ended the wait.
func TestHangingTargetIsAnsweredAtTheDeadlineAndEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testState())
		a := connect(e, "a", 0, func(*fakeSide, uint64, *structs.Open) {})
		b := connect(e, "b", time.Second, func(f *fakeSide, s uint64, _ *structs.Open) { f.answer(s, "ok") })
		call := request{method: "GET", uri: "/svc/lookup/x", key: testKey, headers: map[string]string{"X-Request-Timeout": "3000"}}
		hung := 0
		for range 20 {
			begin := time.Now()
			resp, body := do(e, call)
			if resp.StatusCode() == 200 {
				continue
			}
			hung++
			err := problemOf(t, body)
			if took := time.Since(begin); took != 3*time.Second || err.Type != errs.DeadlineExceeded || err.Ran != errs.RanUnknown {
				t.Fatalf("after %v: %+v", took, err)
			}
		}
		if hung != 5 || a.opened() != hung || len(a.cancels) != hung || b.opened() != 15 {
			t.Errorf("%d hung, hanging target got %d (%d cancelled), the other %d", hung, a.opened(), len(a.cancels), b.opened())
		}
	})
}

// Symptom: a paused host gets a burst as soon as it is back, or never gets requests again.
// Sequence: a target is ejected, then its time runs out.
// Cause: the return was not left to one request.
func TestEjectedTargetReturnsByOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testState())
		var waiting []uint64
		a := connect(e, "a", 0, func(_ *fakeSide, s uint64, _ *structs.Open) { waiting = append(waiting, s) })
		connect(e, "b", time.Second, func(f *fakeSide, s uint64, _ *structs.Open) { f.answer(s, "ok") })
		for range 5 {
			e.report(e.pool.index.Load().services[testService], targetOf(e, "a"), choose.Outcome{Failed: true})
		}
		get := request{method: "GET", uri: "/svc/lookup/x", key: testKey}
		time.Sleep(2 * time.Second) // of the bubble's clock
		probe := make(chan string)
		go func() { _, body := do(e, get); probe <- body }()
		synctest.Wait()
		for range 5 {
			do(e, get)
		}
		if a.opened() != 1 {
			t.Fatalf("%d requests went to the target on probation, want 1", a.opened())
		}
		a.answer(waiting[0], "well")
		if body := <-probe; body != "well" {
			t.Errorf("probe got %q", body)
		}
		go do(e, get)
		synctest.Wait()
		if a.opened() != 2 {
			t.Error("the target got nothing after its good probe")
		}
		a.answer(waiting[1], "well")
		synctest.Wait()
	})
}

func TestEarlyRefusals(t *testing.T) {
	e := newTestEntry(t, testState())
	a := connect(e, "a", 5*time.Second, nil)
	call := request{method: "GET", uri: "/svc/lookup/x", key: testKey, headers: map[string]string{"X-Request-Timeout": "1000"}}
	resp, body := do(e, call)
	err := problemOf(t, body)
	if err.Type != errs.DeadlineUnmet || err.Ran != errs.RanNo || err.RetryAfterMs < 3900 {
		t.Errorf("got %+v, want deadline_unmet with about 4 s", err)
	}
	if after := string(resp.Header.Peek("Retry-After")); after != "4" && after != "5" {
		t.Errorf("Retry-After: %s", after)
	}
	a.load(structs.Load{Target: "a", Limit: 2, OnlineInFlight: 2, OnlineQueued: 8})
	if _, body := do(e, call); problemOf(t, body).Type != errs.Overloaded {
		t.Error(body)
	}
	a.kill(e.pool)
	if _, body := do(e, call); problemOf(t, body).Type != errs.NoTarget {
		t.Error(body)
	}
	if a.opened() != 0 || e.inFlight.Load() != 0 || e.limits.inFlight.Load() != 0 {
		t.Errorf("%d passed on, %d and %d left in flight", a.opened(), e.inFlight.Load(), e.limits.inFlight.Load())
	}
}

// switchable is a Source whose state a test replaces.
type switchable struct{ state *confstate.State }

func (s *switchable) Current() *confstate.State { return s.state }

func TestRevokedKeyEndsWithTheConfiguration(t *testing.T) {
	state := testState()
	e := newTestEntry(t, state)
	source := &switchable{state}
	e.keys.source = source
	list := request{method: "GET", uri: "/v1/models", key: testKey}
	if resp, body := do(e, list); resp.StatusCode() != 200 {
		t.Fatal(body)
	}
	next := testState()
	next.Workspaces["ws"] = confstate.Workspace{ID: "ws", RevokedHashes: []string{hashHex(testKey)}}
	source.state = next
	if _, body := do(e, list); !strings.Contains(body, "revoked") {
		t.Error(body)
	}
}

// Symptom: an answer larger than the window never ends, or fills the entry's memory.
// Sequence: a service answers with many windows' worth; the caller reads it all.
// Cause: credit was not given back as the caller took the parts.
func TestLargeAnswerFlowsOnCredit(t *testing.T) {
	const part, parts = 1000, 50
	e := newTestEntry(t, testState())
	a := connect(e, "a", 0, func(f *fakeSide, s uint64, _ *structs.Open) { f.head(s, 200) })
	a.onCredit = func(f *fakeSide, s uint64, room int) int {
		n := f.sent[s]
		for ; n < parts && room >= part; n++ {
			f.data(s, n, strings.Repeat(string(rune('a'+n%26)), part))
			room -= part
		}
		if n == parts && f.sent[s] < parts {
			f.end(s, parts, nil)
		}
		f.sent[s] = n
		return room
	}
	ctx := prepare(request{method: "GET", uri: "/svc/lookup/x", key: testKey})
	e.serve(ctx)
	if !ctx.Response.IsBodyStream() {
		t.Fatal("gathered a large answer whole")
	}
	got, err := io.ReadAll(ctx.Response.BodyStream())
	if err != nil || len(got) != part*parts {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	for i, c := range got {
		if want := byte('a' + i/part%26); c != want {
			t.Fatalf("byte %d is %q, want %q", i, c, want)
		}
	}
	ctx.Response.CloseBodyStream()
	if e.inFlight.Load() != 0 {
		t.Error("request left in flight")
	}
}
