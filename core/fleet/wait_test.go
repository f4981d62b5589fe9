package fleet

import (
	"testing"
	"time"

	"arbutusramp/core/structs"
)

func TestExpectedWait(t *testing.T) {
	const hold = 800 * time.Millisecond
	cases := []struct {
		name   string
		online int
		batch  int
		want   time.Duration
	}{
		{"all free", 0, 0, 0},
		{"a slot is free", 3, 0, 0},
		{"batch makes way", 3, 1, 0},
		{"the first that waits", 4, 0, hold / 4},
		{"three wait before it", 7, 0, hold},
	}
	for _, c := range cases {
		f := testFleet("self", 1)
		f.Held("llm", hold)
		begin(f, "t0", structs.ClassOnline, c.online)
		begin(f, "t0", structs.ClassBatch, c.batch)
		if got := f.ExpectedWait(start, "llm"); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestExpectedWaitIsNotGuessed(t *testing.T) {
	f := testFleet("self", 0)
	if got := f.ExpectedWait(start, "llm"); got != 0 {
		t.Errorf("without a target: %v", got)
	}
	f.Put(target(0))
	begin(f, "t0", structs.ClassOnline, testSlots)
	if got := f.ExpectedWait(start, "llm"); got != 0 {
		t.Errorf("before it is known how long requests hold a slot: %v", got)
	}
}

func TestHeldFollowsAChange(t *testing.T) {
	f := New(Options{})
	f.Held("s", time.Second)
	for range 100 {
		f.Held("s", 2*time.Second)
	}
	if got := f.holds["s"]; got < 1900*time.Millisecond || got > 2*time.Second {
		t.Errorf("%v", got)
	}
}
