package dedup

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

var (
	epoch = time.UnixMilli(1_700_000_000_000)
	cfg   = Config{Window: time.Minute, Skew: 2 * time.Second, Propagation: 4 * time.Second, MaxBytes: 1000, MaxKeys: 100}
	k1    = Key{Workspace: "w", Key: "1"}
)

func at(d time.Duration) time.Time   { return epoch.Add(d) }
func issued(d time.Duration) int64   { return at(d).UnixMilli() }
func body(n int) Answer              { return Answer{Status: 200, Body: make([]byte, n)} }
func settled() (*Machine, time.Time) { return New(cfg, epoch), at(time.Hour) }

func want(t *testing.T, d Decision, v Verdict, typ errs.Type) {
	t.Helper()
	if d.Verdict != v {
		t.Fatalf("verdict %d, want %d (%v)", d.Verdict, v, d.Err)
	}
	if typ != "" && (d.Err == nil || d.Err.Type != typ) {
		t.Fatalf("error %v, want %s", d.Err, typ)
	}
}

func TestResendGetsTheFirstAnswer(t *testing.T) {
	m, now := settled()
	want(t, m.Begin(now, k1, 7, 0), Run, "")
	want(t, m.Begin(now, k1, 7, 0), InProgress, errs.KeyInProgress)
	want(t, m.Begin(now, k1, 8, 0), Refuse, errs.KeyReused)
	want(t, m.Begin(now, Key{Workspace: "other", Key: "1"}, 8, 0), Run, "")
	m.Finish(now, k1, Answer{Status: 201, Body: []byte("x")})
	d := m.Begin(now, k1, 7, 0)
	want(t, d, Replay, "")
	if d.Answer.Status != 201 || string(d.Answer.Body) != "x" {
		t.Fatalf("replayed %+v", d.Answer)
	}
	want(t, m.Begin(now, k1, 8, 0), Refuse, errs.KeyReused)
	want(t, m.Begin(now.Add(cfg.Window+time.Second), k1, 7, 0), Replay, "")
	want(t, m.Begin(now.Add(2*cfg.Window), k1, 7, 0), Run, "")
}

func TestAbandonedKeyMayRun(t *testing.T) {
	m, now := settled()
	want(t, m.Begin(now, k1, 7, 0), Run, "")
	m.Abandon(k1)
	want(t, m.Begin(now, k1, 7, 0), Run, "")
	m.Finish(now, k1, body(1))
	m.Abandon(k1)
	want(t, m.Begin(now, k1, 7, 0), Replay, "")
}

// Symptom: a callback is booked twice after a busy hour: the first answer was
// dropped for space, and with it the knowledge that the request had run.
func TestDroppedAnswerIsNeverRunAgain(t *testing.T) {
	m, now := settled()
	for i := range 10 {
		k := Key{Key: fmt.Sprint(i)}
		want(t, m.Begin(now, k, 0, 0), Run, "")
		m.Finish(now, k, body(200))
	}
	want(t, m.Begin(now, Key{Key: "0"}, 0, 0), Refuse, errs.KeyUnverifiable)
	want(t, m.Begin(now, Key{Key: "9"}, 0, 0), Replay, "")
	big := Key{Key: "big"}
	m.Begin(now, big, 0, 0)
	m.Finish(now, big, body(5000))
	want(t, m.Begin(now, big, 0, 0), Refuse, errs.KeyUnverifiable)
	if m.bytes > cfg.MaxBytes {
		t.Fatalf("%d bytes held", m.bytes)
	}
}

// Symptom: a doubled letter after a side was replaced: the new process does not
// know that its predecessor ran the key.
func TestNewIncarnationRefusesWhatItCannotKnow(t *testing.T) {
	m := New(cfg, at(0))
	now := at(10 * time.Second)
	want(t, m.Begin(now, k1, 7, issued(-time.Second)), Refuse, errs.KeyUnverifiable)
	want(t, m.Begin(now, k1, 7, issued(cfg.Skew-time.Millisecond)), Refuse, errs.KeyUnverifiable)
	want(t, m.Begin(now, k1, 7, 0), Refuse, errs.KeyUnverifiable)
	want(t, m.Begin(now, k1, 7, issued(cfg.Skew)), Run, "")
	want(t, m.Begin(at(cfg.Window+cfg.Skew), Key{Key: "2"}, 7, 0), Run, "")
}

func TestAddedTargetRefusesOlderKeys(t *testing.T) {
	m, now := settled()
	m.Added(now.UnixMilli())
	known := now.Add(cfg.Propagation + cfg.Skew)
	want(t, m.Begin(known, k1, 7, known.Add(-time.Millisecond).UnixMilli()), Refuse, errs.KeyUnverifiable)
	want(t, m.Begin(known, k1, 7, 0), Refuse, errs.KeyUnverifiable)
	want(t, m.Begin(known, k1, 7, known.UnixMilli()), Run, "")
}

func TestOldAndFutureKeysAreRefused(t *testing.T) {
	m, now := settled()
	want(t, m.Begin(now, k1, 7, now.Add(-cfg.Window-time.Millisecond).UnixMilli()), Refuse, errs.KeyUnverifiable)
	want(t, m.Begin(now, k1, 7, now.Add(cfg.Skew+time.Millisecond).UnixMilli()), Refuse, errs.KeyUnverifiable)
	want(t, m.Begin(now, k1, 7, now.UnixMilli()), Run, "")
}

func TestKeysAreBounded(t *testing.T) {
	m, now := settled()
	for i := range cfg.MaxKeys {
		want(t, m.Begin(now, Key{Key: fmt.Sprint(i)}, 0, 0), Run, "")
	}
	d := m.Begin(now, k1, 0, 0)
	want(t, d, Refuse, errs.Overloaded)
	if d.Err.Ran != errs.RanNo || d.Err.RetryAfterMs == 0 {
		t.Fatalf("refusal %+v", d.Err)
	}
}

func service(ids ...structs.TargetID) map[structs.TargetID]confstate.Target {
	m := make(map[structs.TargetID]confstate.Target)
	for _, id := range ids {
		m[id] = confstate.Target{ID: id, Kind: structs.KindService, Service: "callback"}
	}
	return m
}

func TestHomeMovesOnlyKeysOfTheAddedTarget(t *testing.T) {
	const n = 4000
	three, four := service("a", "b", "c"), service("a", "b", "c", "d")
	moved, share := 0, map[structs.TargetID]int{}
	for i := range n {
		old, _ := Home("w", fmt.Sprint(i), "callback", three, 0, time.Minute)
		now, _ := Home("w", fmt.Sprint(i), "callback", four, 0, time.Minute)
		share[old]++
		if old != now {
			moved++
			if now != "d" {
				t.Fatalf("key %d moved from %s to %s", i, old, now)
			}
		}
	}
	if moved < n/5 || moved > n*3/10 {
		t.Fatalf("%d of %d keys moved", moved, n)
	}
	for id, got := range share {
		if got < n/4 || got > n*5/12 {
			t.Fatalf("%s has %d of %d keys", id, got, n)
		}
	}
}

// Symptom: a key's request runs again at another target right after its home was removed.
func TestRemovedHomeRefusesItsKeys(t *testing.T) {
	ts := service("a", "b")
	home, err := Home("w", "k", "callback", ts, 0, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	gone := ts[home]
	gone.RemovedAt, gone.RemovedMs = 9, 1000
	ts[home] = gone
	if _, err = Home("w", "k", "callback", ts, 1000+time.Minute.Milliseconds(), time.Minute); !errs.Is(err, errs.KeyUnverifiable) {
		t.Fatal(err)
	}
	other, err := Home("w", "k", "callback", ts, 1000+2*time.Minute.Milliseconds(), time.Minute)
	if err != nil || other == home {
		t.Fatalf("home %q, %v", other, err)
	}
	if _, err = Home("w", "k", "none", ts, 0, time.Minute); !errs.Is(err, errs.NoTarget) {
		t.Fatal(err)
	}
}
