package watch

import (
	"testing"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
)

// Guards against a target that stays out of use for good, although it goes on renewing its entry, after an answer that
// looked like that of another target at its address.
func TestRemovedTargetReturnsWithItsEntry(t *testing.T) {
	runWatch(t, func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		renew := func(known uint64, isWhole bool, targets ...serving.Target) {
			d.update(func(d *fakeDirectory) {
				d.targets = append(d.targets, platform.TargetNews{Known: known, Whole: isWhole, Present: targets})
			})
			time.Sleep(time.Second)
		}
		a, b := newTarget("a"), newTarget("b")
		renew(1, true, a, b)
		v.RemoveTarget("a")
		renew(2, false, b)
		if list := v.Targets(); len(list) != 1 || list[0].ID != "b" {
			t.Errorf("targets after another one has answered in place of a: %v, want only b", list)
		}
		renew(3, false, a)
		if list := v.Targets(); len(list) != 2 {
			t.Errorf("targets after a has renewed its entry: %v, want a and b", list)
		}
		v.RemoveTarget("a")
		d.update(func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 4, Gone: []string{"a"}})
		})
		time.Sleep(time.Second)
		if list := v.Targets(); len(list) != 1 || list[0].ID != "b" {
			t.Errorf("targets after the entry of a has gone: %v, want only b", list)
		}
	})
}
