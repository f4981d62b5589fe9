package fleet

import (
	"testing"
	"time"

	"arbutusramp/core/structs"
)

func TestProspectWait(t *testing.T) {
	const hold = 800 * time.Millisecond
	cases := []struct {
		name   string
		online int
		batch  int
		want   time.Duration
	}{
		{"all free", 0, 0, 0},
		{"a slot is free", 3, 0, 0},
		{"batch items can be preempted", 3, 1, 0},
		{"first in the queue", 4, 0, hold / 4},
		{"three requests ahead in the queue", 7, 0, hold},
	}
	for _, c := range cases {
		f := testFleet("self", 1)
		f.Held("llm", hold)
		begin(f, "t0", structs.ClassOnline, c.online)
		begin(f, "t0", structs.ClassBatch, c.batch)
		if got := f.Prospect(start, "llm").Wait; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestProspectWaitIsZeroWhenUnknown(t *testing.T) {
	f := testFleet("self", 0)
	if got := f.Prospect(start, "llm").Wait; got != 0 {
		t.Errorf("without a target: %v", got)
	}
	f.Put(target(0))
	begin(f, "t0", structs.ClassOnline, testSlots)
	if got := f.Prospect(start, "llm").Wait; got != 0 {
		t.Errorf("with an unknown hold time: %v", got)
	}
}

func TestHoldTimeFollowsAChange(t *testing.T) {
	f := New(Options{})
	f.Held("s", time.Second)
	for range 100 {
		f.Held("s", 2*time.Second)
	}
	if got := f.holdTimes["s"]; got < 1900*time.Millisecond || got > 2*time.Second {
		t.Errorf("%v", got)
	}
}

// Each gateway starts its share of the capacity of all targets, so that the starts of all gateways together
// fit.
func TestPaceIsThisGatewaysShare(t *testing.T) {
	const hold = 500 * time.Millisecond
	f := testFleet("self", 3)
	f.Held("llm", hold)
	pace := func() float64 { return f.Prospect(start, "llm").Pace }
	if got, want := pace(), 3*testSlots/hold.Seconds(); got != want {
		t.Errorf("without peers: %v per second, want %v", got, want)
	}
	f.ApplyReport(start, "peer", Report{})
	f.Failed(start, "t0")
	d := target(1)
	d.Draining = true
	f.Put(d)
	if got, want := pace(), testSlots/hold.Seconds()/2; got != want {
		t.Errorf("with a peer and one remaining target: %v per second, want %v", got, want)
	}
}
