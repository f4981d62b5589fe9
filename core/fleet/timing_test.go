package fleet

import (
	"testing"
	"time"
)

// Guards against false suspicion of targets whose events are slow: with one limit for all services they count
// as silent between two events.
func TestSilenceLimitFollowsEventTimes(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                 string
		firstEvent, eventGap time.Duration
		want                 time.Duration
	}{
		{"unknown event times", 0, 0, defaultSilenceLimit},
		{"fast engines", 25 * ms, 20 * ms, minSilenceLimit},
		{"events every 50 ms", 60 * ms, 50 * ms, 600 * ms},
		{"long prompts", 400 * ms, 20 * ms, 1600 * ms},
		{"steps of 80 ms and seven tokens per event", 600 * ms, 560 * ms, maxSilenceLimit},
	}
	for _, c := range cases {
		f := testFleet("self", 1)
		if c.eventGap > 0 {
			for range 100 {
				f.RecordFirstEvent("llm", c.firstEvent)
				f.RecordEventGap("llm", c.eventGap)
			}
		}
		if got := f.SilenceLimit("llm"); got != c.want {
			t.Errorf("%s: silence limit %v, want %v", c.name, got, c.want)
		}
		if f.IsSilentSince(start.Add(c.want), start, "t0") || !f.IsSilentSince(start.Add(c.want+ms), start, "t0") {
			t.Errorf("%s: whether the target counts as silent is wrong after %v without activity (want false) or 1 ms later (want true)", c.name, c.want)
		}
	}
}

// A single long pause between two events raises the silence limit of the service only slightly.
func TestOnePauseBarelyRaisesTheSilenceLimit(t *testing.T) {
	f := testFleet("self", 1)
	for range 100 {
		f.RecordFirstEvent("llm", 25*time.Millisecond)
		f.RecordEventGap("llm", 20*time.Millisecond)
	}
	f.RecordEventGap("llm", 200*time.Millisecond)
	if got := f.SilenceLimit("llm"); got > 400*time.Millisecond {
		t.Errorf("after one pause of 200 ms the silence limit is %v, want at most 400ms", got)
	}
}
