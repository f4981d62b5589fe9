package fleet

import (
	"testing"
	"time"

	"arbutusramp/core/structs"
)

// Guards against a preference of a batch item that becomes an exclusion: of the only target that can take it, or without end.
func TestAvoidanceIsAPreference(t *testing.T) {
	full := func(id string) func(*Fleet) {
		return func(f *Fleet) { begin(f, id, structs.ClassOnline, testSlots) }
	}
	strict, loose := Avoidance{Targets: []string{"t0"}, IsStrict: true}, Avoidance{Targets: []string{"t0"}}
	cases := []struct {
		name       string
		targets    int
		setup      func(*Fleet)
		avoid      Avoidance
		want       string // empty for no target
		isAvoiding bool
	}{
		{"another target has a slot", 2, func(f *Fleet) { begin(f, "t1", structs.ClassBatch, testSlots-1) }, strict, "t1", false},
		{"another target has a slot, later", 2, func(f *Fleet) { begin(f, "t1", structs.ClassBatch, testSlots-1) }, loose, "t1", false},
		{"the other target is full", 2, full("t1"), strict, "", true},
		{"the other target is full, later", 2, full("t1"), loose, "t0", false},
		{"the other target is suspect", 2, func(f *Fleet) { f.RecordFailure(start, "t1") }, strict, "t0", false},
		{"the only target", 1, func(*Fleet) {}, strict, "t0", false},
		{"the only target is full", 1, full("t0"), strict, "", false},
		{"all targets are avoided", 2, full("t1"), Avoidance{Targets: []string{"t0", "t1"}, IsStrict: true}, "t0", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := testFleet("self", c.targets)
			c.setup(f)
			p := f.PickBatchSlot(start.Add(time.Millisecond), Work{Service: "llm", Avoid: c.avoid})
			if p.IsPicked != (c.want != "") || p.Target.ID != c.want || p.IsAvoiding != c.isAvoiding {
				t.Errorf("picked target %q, avoiding %t; want %q (empty for none), avoiding %t", p.Target.ID, p.IsAvoiding, c.want, c.isAvoiding)
			}
		})
	}
}
