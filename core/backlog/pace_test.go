package backlog

import (
	"testing"
	"time"
)

func TestRemainingRunTimeEstimate(t *testing.T) {
	e := NewRunTimeEstimator()
	if got := e.Remaining("r", 1000, 0); got != 0 {
		t.Errorf("remaining run time before any observation is %v, want 0", got)
	}
	e.ObserveRun("r", minRunEvents-1, time.Hour) // ignored: too few events
	for range 100 {
		e.ObserveRun("r", 300, 4500*time.Millisecond)
		e.ObserveItem("r", 300, 1000)
	}
	cases := []struct {
		tokens     int64
		eventsDone int
		want       time.Duration
	}{
		{1000, 0, 4500 * time.Millisecond},
		{2000, 0, 9 * time.Second},
		{1000, 200, 1500 * time.Millisecond},
		{1000, 400, 15 * time.Millisecond}, // more events than expected: one more is assumed
	}
	for _, c := range cases {
		if got := e.Remaining("r", c.tokens, c.eventsDone); got.Round(time.Millisecond) != c.want {
			t.Errorf("remaining run time of an item of %d tokens after %d events is %v, want %v", c.tokens, c.eventsDone, got, c.want)
		}
	}
	if got := e.Remaining("other", 1000, 0); got != 0 {
		t.Errorf("remaining run time on a route without observations is %v, want 0", got)
	}
}
