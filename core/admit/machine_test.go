package admit

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func online(id ID) Request {
	return Request{ID: id, Class: structs.ClassOnline, PromptTokens: 100, MaxTokens: 50}
}

func batch(id ID) Request {
	return Request{ID: id, Class: structs.ClassBatch, PromptTokens: 100, MaxTokens: 200}
}

func kinds(as []Action, k ActionKind) []ID {
	var ids []ID
	for _, a := range as {
		if a.Kind == k {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// fill starts n batch requests with ids from first on and gives each its first token.
func fill(m *Machine, first ID, n int) int {
	started := 0
	for i := range ID(n) {
		started += len(kinds(m.Arrive(t0, batch(first+i)), Start))
		m.FirstToken(t0, first+i)
	}
	return started
}

// Symptom: an online caller's first token comes only after a batch item has ended.
// Sequence: batch items fill the target up to the limit; an online request arrives.
// Cause: one limit over both classes lets batch use up online's places.
func TestOnlineStartsAtOnceOnAFullTarget(t *testing.T) {
	m := New(Config{Headroom: 0.5, MaxLimit: firstLimit}, t0)
	if fill(m, 100, 20) == 0 {
		t.Fatal("no batch request was started")
	}
	for id := range ID(firstLimit) {
		if got := kinds(m.Arrive(t0, online(id+1)), Start); len(got) != 1 {
			t.Fatalf("online request %d was not started: %v", id+1, got)
		}
	}
	if m.inFlight.activeBatch() != 0 {
		t.Errorf("%d batch streams still run beside a full online load", m.inFlight.activeBatch())
	}
}

// Symptom: a burst makes the engine compute long answers a second time.
// Sequence: two batch streams run, one almost done; a burst preempts one.
// Cause: the victim is picked by age or at random instead of by what is lost.
func TestPreemptionTakesWhatLosesLeast(t *testing.T) {
	m := New(Config{Headroom: 0, MaxLimit: 2}, t0)
	fill(m, 100, 2)
	for range 50 {
		m.Token(t0, 100)
	}
	if got := kinds(m.Arrive(t0, online(1)), Preempt); len(got) != 1 || got[0] != 101 {
		t.Errorf("preempted %v, want [101]", got)
	}
}

// Symptom: a resumed item waits behind fresh ones and its kept progress is lost with the host.
// Sequence: an item is preempted and arrives again while fresh items wait.
// Cause: one queue in the order of arrival.
func TestResumedGoesBeforeFresh(t *testing.T) {
	m := New(Config{Headroom: 0, MaxLimit: 1}, t0)
	fill(m, 100, 3)
	again := batch(200)
	again.Generated = 10
	m.Arrive(t0, again)
	if got := kinds(m.Ended(t0, 100, Finished), Start); len(got) != 1 || got[0] != 200 {
		t.Errorf("started %v, want [200]", got)
	}
}

// Symptom: a caller waits out its whole deadline and only then hears that there is no room.
// Sequence: the limit is in use, the queue is long, a request with little time arrives.
// Cause: the deadline is looked at only when it has passed.
func TestRefusesEarlyWhatCannotBeServedInTime(t *testing.T) {
	m := New(Config{MaxLimit: 1}, t0)
	m.Arrive(t0, online(1))
	m.FirstToken(t0.Add(time.Second), 1)
	m.Ended(t0.Add(2*time.Second), 1, Finished)
	now := t0.Add(3 * time.Second)
	m.Arrive(now, online(2))
	r := online(3)
	r.Deadline = now.Add(time.Second)
	got := m.Arrive(now, r)
	if len(got) != 1 || got[0].Kind != Refuse || got[0].Err.Type != errs.DeadlineUnmet {
		t.Fatalf("got %v, want an early refusal", got)
	}
	if got[0].Err.Ran != errs.RanNo || got[0].Err.RetryAfterMs < 1000 {
		t.Errorf("refusal says %q, come back after %d ms", got[0].Err.Ran, got[0].Err.RetryAfterMs)
	}
}

// Symptom: callers that have given up are served while those who wait time out.
// Sequence: requests queue past their deadlines. Cause: no look at the queue when time passes.
func TestQueuedPastDeadlineIsRefused(t *testing.T) {
	m := New(Config{MaxLimit: 1}, t0)
	m.Arrive(t0, online(1))
	r := online(2)
	r.Deadline = t0.Add(time.Second)
	if got := m.Arrive(t0, r); len(got) != 0 {
		t.Fatalf("got %v, want to wait", got)
	}
	got := m.Tick(t0.Add(time.Second))
	if len(kinds(got, Refuse)) != 1 || got[0].Err.Type != errs.DeadlineUnmet {
		t.Errorf("got %v, want a refusal", got)
	}
	if got := m.Ended(t0.Add(2*time.Second), 1, Finished); len(got) != 0 {
		t.Errorf("the refused request was started: %v", got)
	}
}

// Symptom: memory grows without bound under overload. Sequence: more arrivals than the
// target serves. Cause: an unbounded queue.
func TestQueueIsBounded(t *testing.T) {
	m := New(Config{MaxLimit: 1, MaxQueue: 2}, t0)
	for id := range ID(3) {
		m.Arrive(t0, online(id+1))
	}
	got := m.Arrive(t0, online(9))
	if len(kinds(got, Refuse)) != 1 || got[0].Err.Type != errs.Overloaded || got[0].Err.RetryAfterMs == 0 {
		t.Errorf("got %v, want overloaded with a time to come back", got)
	}
}

// Symptom: a neighbour is blamed for a worker that a suspect item killed.
// Sequence: a suspect arrives while batch runs, others arrive behind it.
// Cause: the suspect is started beside them, or they beside it.
func TestAloneRunsAlone(t *testing.T) {
	m := New(Config{Headroom: 0}, t0)
	fill(m, 100, 2)
	suspect := batch(200)
	suspect.Alone = true
	m.Arrive(t0, suspect)
	m.Arrive(t0, batch(201))
	if room := m.BatchRoom(t0); room != 0 {
		t.Errorf("pulls %d more items ahead of a suspect", room)
	}
	m.Ended(t0, 100, Finished)
	got := m.Ended(t0, 101, Finished)
	if ids := kinds(got, Start); len(ids) != 1 || ids[0] != 200 {
		t.Fatalf("started %v, want the suspect alone", ids)
	}
	if ids := kinds(m.Arrive(t0, online(1)), Start); len(ids) != 1 {
		t.Error("online waits behind the suspect")
	}
	if ids := kinds(m.Ended(t0, 200, Finished), Start); len(ids) != 1 || ids[0] != 201 {
		t.Errorf("started %v after the suspect, want [201]", ids)
	}
}

// Symptom: a planned stop cuts off answers. Sequence: Drain with requests queued and running.
// Cause: what runs is stopped, or what is queued is started after the drain began.
func TestDrainLetsRunningEndAndRefusesTheRest(t *testing.T) {
	m := New(Config{MaxLimit: 1}, t0)
	m.Arrive(t0, online(1))
	m.Arrive(t0, online(2))
	got := m.Drain(t0)
	if ids := kinds(got, Refuse); len(ids) != 1 || ids[0] != 2 || got[0].Err.Ran != errs.RanNo {
		t.Errorf("got %v, want request 2 refused as not run", got)
	}
	if ids := kinds(m.Arrive(t0, online(3)), Refuse); len(ids) != 1 {
		t.Error("a request was taken while draining")
	}
	if m.Drained() {
		t.Error("drained while request 1 runs")
	}
	m.Ended(t0, 1, Finished)
	if !m.Drained() {
		t.Error("not drained after the last request")
	}
}

// Symptom: a cancelled request runs all the same. Sequence: the caller gives up while the
// request is queued, another while it runs. Cause: the cancel is forgotten.
func TestWithdraw(t *testing.T) {
	m := New(Config{MaxLimit: 1}, t0)
	m.Arrive(t0, online(1))
	m.Arrive(t0, online(2))
	if got := m.Withdraw(t0, 2); len(got) != 0 {
		t.Errorf("got %v for a queued request", got)
	}
	if ids := kinds(m.Withdraw(t0, 1), Preempt); len(ids) != 1 {
		t.Error("the running request is not stopped")
	}
	if got := m.Ended(t0, 1, Stopped); len(got) != 0 {
		t.Errorf("got %v after the last request", got)
	}
}
