package fleet

import (
	"testing"
	"time"
)

// Guards against false suspicion: targets of a service with slow events count as silent between two events.
func TestSilenceLimitFollowsEventTimes(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name       string
		first, gap time.Duration
		want       time.Duration
	}{
		{"unknown", 0, 0, defaultSilenceLimit},
		{"fast engines", 25 * ms, 20 * ms, minSilenceLimit},
		{"events every 50 ms", 60 * ms, 50 * ms, 600 * ms},
		{"long prompts", 400 * ms, 20 * ms, 1600 * ms},
		{"steps of 80 ms and seven tokens per event", 600 * ms, 560 * ms, maxSilenceLimit},
	}
	for _, c := range cases {
		f := testFleet("self", 1)
		if c.gap > 0 {
			for range 100 {
				f.FirstEvent("llm", c.first)
				f.NextEvent("llm", c.gap)
			}
		}
		if got := f.IdleLimit("llm"); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if f.IsIdleSince(start.Add(c.want), start, "t0") || !f.IsIdleSince(start.Add(c.want+ms), start, "t0") {
			t.Errorf("%s: not silent exactly after %v", c.name, c.want)
		}
	}
}

// A single outlier does not change what counts as silence for all.
func TestOnePauseBarelyRaisesTheSilenceLimit(t *testing.T) {
	f := testFleet("self", 1)
	for range 100 {
		f.FirstEvent("llm", 25*time.Millisecond)
		f.NextEvent("llm", 20*time.Millisecond)
	}
	f.NextEvent("llm", 200*time.Millisecond)
	if got := f.IdleLimit("llm"); got > 400*time.Millisecond {
		t.Errorf("after one pause of 200 ms: %v", got)
	}
}
