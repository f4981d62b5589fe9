package backlog

import (
	"testing"
	"time"
)

func TestRemainingRunTimeEstimate(t *testing.T) {
	p := NewPace()
	if got := p.Left("r", 1000, 0); got != 0 {
		t.Errorf("before any observation: %v", got)
	}
	p.Ran("r", minRunEvents-1, time.Hour) // too short to be used
	for range 100 {
		p.Ran("r", 300, 4500*time.Millisecond)
		p.Done("r", 300, 1000)
	}
	cases := []struct {
		tokens     int64
		eventsDone int
		want       time.Duration
	}{
		{1000, 0, 4500 * time.Millisecond},
		{2000, 0, 9 * time.Second},
		{1000, 200, 1500 * time.Millisecond},
		{1000, 400, 15 * time.Millisecond}, // longer than expected: at least one more event
	}
	for _, c := range cases {
		if got := p.Left("r", c.tokens, c.eventsDone); got.Round(time.Millisecond) != c.want {
			t.Errorf("%d tokens, %d events done: %v, want %v", c.tokens, c.eventsDone, got, c.want)
		}
	}
	if got := p.Left("other", 1000, 0); got != 0 {
		t.Errorf("another route: %v", got)
	}
}
