package fleet

import (
	"testing"
	"time"

	"arbutusramp/core/structs"
)

func TestEstimateWait(t *testing.T) {
	const holdTime = 800 * time.Millisecond
	cases := []struct {
		name   string
		online int
		batch  int
		want   time.Duration
	}{
		{"all slots are free", 0, 0, 0},
		{"a slot is free", 3, 0, 0},
		{"batch items can be preempted", 3, 1, 0},
		{"first in the queue", 4, 0, holdTime / 4},
		{"three requests ahead in the queue", 7, 0, holdTime},
	}
	for _, c := range cases {
		f := testFleet("self", 1)
		f.RecordHoldTime("llm", holdTime)
		begin(f, "t0", structs.ClassOnline, c.online)
		begin(f, "t0", structs.ClassBatch, c.batch)
		if got := f.Estimate(start, Work{Service: "llm"}).Wait; got != c.want {
			t.Errorf("%s: expected wait %v, want %v", c.name, got, c.want)
		}
	}
}

func TestEstimatedWaitIsZeroWithoutData(t *testing.T) {
	f := testFleet("self", 0)
	if got := f.Estimate(start, Work{Service: "llm"}).Wait; got != 0 {
		t.Errorf("without a target the expected wait is %v, want 0", got)
	}
	f.Put(target(0))
	begin(f, "t0", structs.ClassOnline, testSlots)
	if got := f.Estimate(start, Work{Service: "llm"}).Wait; got != 0 {
		t.Errorf("with an unknown hold time the expected wait is %v, want 0", got)
	}
}

func TestHoldTimeFollowsAChange(t *testing.T) {
	f := New(Options{})
	f.RecordHoldTime("s", time.Second)
	for range 100 {
		f.RecordHoldTime("s", 2*time.Second)
	}
	if got := f.holdTimes["s"]; got < 1900*time.Millisecond || got > 2*time.Second {
		t.Errorf("after 100 requests of 2s the mean hold time is %v, want 1.9s to 2s", got)
	}
}

// Each gateway may start its share of what all targets that are neither draining nor suspect can serve, so
// that all gateways together start no more than that.
func TestStartRateIsShareOfTotalCapacity(t *testing.T) {
	const holdTime = 500 * time.Millisecond
	f := testFleet("self", 3)
	f.RecordHoldTime("llm", holdTime)
	startRate := func() float64 { return f.Estimate(start, Work{Service: "llm"}).StartRate }
	if got, want := startRate(), 3*testSlots/holdTime.Seconds(); got != want {
		t.Errorf("without peers the start rate is %v per second, want %v", got, want)
	}
	f.ApplyReport(start, "peer", Report{})
	f.RecordFailure(start, "t0")
	draining := target(1)
	draining.IsDraining = true
	f.Put(draining)
	if got, want := startRate(), testSlots/holdTime.Seconds()/2; got != want {
		t.Errorf("with a peer and one remaining target the start rate is %v per second, want %v", got, want)
	}
}

// Guards against an estimate that most answers keep and some exceed by far, and against one that is far beyond all of them.
func TestLongestAnswerFollowsFromSpread(t *testing.T) {
	for _, test := range []struct {
		name      string
		hold      func(n int) time.Duration // of the n-th request
		low, high time.Duration
	}{
		{"always the same", func(int) time.Duration { return time.Second }, time.Second, 1200 * time.Millisecond},
		{"one of four takes thrice as long", func(n int) time.Duration {
			if n%4 == 0 {
				return 3 * time.Second
			}
			return time.Second
		}, 3 * time.Second, 6 * time.Second},
		{"a single one", nil, 3 * time.Second, 3 * time.Second},
	} {
		f := New(Options{})
		if test.hold == nil {
			f.RecordHoldTime("s", time.Second)
		} else {
			for n := range 100 {
				f.RecordHoldTime("s", test.hold(n))
			}
		}
		if got := f.LongestAnswer(start, Work{Service: "s"}); got < test.low || got > test.high {
			t.Errorf("%s: %v, want %v to %v", test.name, got, test.low, test.high)
		}
	}
}
