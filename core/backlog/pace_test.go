package backlog

import (
	"testing"
	"time"
)

func TestPaceLearns(t *testing.T) {
	p := NewPace()
	if got := p.Left("r", 1000, 0); got != 0 {
		t.Errorf("before anything ran: %v", got)
	}
	p.Ran("r", minEvents-1, time.Hour) // too short to tell anything
	for range 100 {
		p.Ran("r", 300, 4500*time.Millisecond)
		p.Done("r", 300, 1000)
	}
	cases := []struct {
		tokens int64
		made   int
		want   time.Duration
	}{
		{1000, 0, 4500 * time.Millisecond},
		{2000, 0, 9 * time.Second},
		{1000, 200, 1500 * time.Millisecond},
		{1000, 400, 15 * time.Millisecond}, // longer than expected: one more event at least
	}
	for _, c := range cases {
		if got := p.Left("r", c.tokens, c.made); got.Round(time.Millisecond) != c.want {
			t.Errorf("%d tokens, %d made: %v, want %v", c.tokens, c.made, got, c.want)
		}
	}
	if got := p.Left("other", 1000, 0); got != 0 {
		t.Errorf("another route: %v", got)
	}
}
