package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutusramp/core/errs"
)

var start = time.Unix(1_700_000_000, 0)

// Symptom: a fleet at twice its capacity never recovers.
// Sequence: half of the requests are refused; each refusal is retried up to three times.
// Cause: retries add to the load that causes them.
func TestBudgetBoundsAmplificationAtTwiceTheCapacity(t *testing.T) {
	const (
		share    = 0.1
		perS     = 200
		capacity = 100
		seconds  = 60
	)
	b := Budget{Share: share}
	tries, attempts := 0, 0
	for s := range seconds {
		room := capacity
		for i := range perS {
			now := start.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/perS)
			b.Try(now)
			tries++
			for n := 0; ; n++ {
				attempts++
				if room > 0 {
					room--
					break
				}
				if n == 3 || !b.Retry(now) {
					break
				}
			}
		}
	}
	if amplification := float64(attempts) / float64(tries); amplification > 1+share+0.01 {
		t.Errorf("%d attempts for %d requests: %.3f, want at most %.2f", attempts, tries, amplification, 1+share)
	}
}

func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Share: rapid.Float64Range(0, 1).Draw(t, "share")}
		now := start
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if b.Retry(now) {
					events = append(events, event{now, true})
				}
				continue
			}
			b.Try(now)
			events = append(events, event{now, false})
		}
		// Each retry that was allowed fits the tries that a window before it can hold.
		for i, last := range events {
			if !last.retry {
				continue
			}
			tries, retries := 0, 0
			for _, e := range events[:i+1] {
				if last.at.Sub(e.at) >= (windowSlots+1)*slotLength {
					continue
				}
				if !e.retry {
					tries++
				} else if last.at.Sub(e.at) < (windowSlots-1)*slotLength {
					retries++
				}
			}
			if float64(retries) > freeRetries+b.Share*float64(tries) {
				t.Fatalf("%d retries for %d tries in one window", retries, tries)
			}
		}
	})
}

func TestRateIsLimitedWithATimeToComeBack(t *testing.T) {
	w := NewWorkspace(Rules{RequestsPerS: 10, Burst: 2})
	for range 2 {
		if err := w.Begin(start, Fleet{}); err != nil {
			t.Fatal(err)
		}
	}
	err := w.Begin(start, Fleet{})
	if err == nil || err.Type != errs.RateLimited || err.RetryAfterMs != 100 {
		t.Fatalf("got %+v, want rate_limited with 100 ms", err)
	}
	if err := w.Begin(start.Add(100*time.Millisecond), Fleet{}); err != nil {
		t.Errorf("refused after the time it was told: %v", err)
	}
	if w.InFlight() != 3 {
		t.Errorf("%d in flight, want 3: a refused request is not one", w.InFlight())
	}
}

func TestInFlightIsLimited(t *testing.T) {
	w := NewWorkspace(Rules{MaxInFlight: 1})
	if err := w.Begin(start, Fleet{}); err != nil {
		t.Fatal(err)
	}
	if err := w.Begin(start, Fleet{}); err == nil || err.Type != errs.RateLimited {
		t.Fatalf("got %v, want rate_limited", err)
	}
	w.End()
	if err := w.Begin(start, Fleet{}); err != nil {
		t.Error(err)
	}
}

// Symptom: one workspace's burst makes all others wait.
// Sequence: a workspace fills the fleet; another sends its first requests.
// Cause: the fleet was given out first come first served.
func TestFullFleetRefusesTheGreedyFirst(t *testing.T) {
	const capacity = 40
	greedy, modest := NewWorkspace(Rules{}), NewWorkspace(Rules{Weight: 3})
	fleet := func() Fleet {
		f := Fleet{Capacity: capacity, InFlight: greedy.InFlight() + modest.InFlight()}
		f.Outstanding = f.InFlight
		if greedy.InFlight() > 0 {
			f.Weights++
		}
		if modest.InFlight() > 0 {
			f.Weights += 3
		}
		return f
	}
	for range capacity {
		if err := greedy.Begin(start, fleet()); err != nil {
			t.Fatalf("alone, refused with %d in flight: %v", greedy.InFlight(), err)
		}
	}
	if err := modest.Begin(start, fleet()); err != nil {
		t.Fatalf("the modest one was refused: %v", err)
	}
	if err := greedy.Begin(start, fleet()); err == nil || err.Type != errs.Overloaded || err.RetryAfterMs == 0 {
		t.Fatalf("got %v, want overloaded with a time to come back", err)
	}
	// One of the greedy one's requests ends for each that anyone may send.
	for range 200 {
		_ = greedy.Begin(start, fleet())
		_ = modest.Begin(start, fleet())
		if greedy.InFlight() > 0 {
			greedy.End()
		}
		for modest.InFlight() > capacity*3/4 {
			modest.End()
		}
	}
	if modest.InFlight() < capacity/2 {
		t.Errorf("weight 3 holds %d, weight 1 holds %d", modest.InFlight(), greedy.InFlight())
	}
}
