package side

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

func loadOrder(id uint64, fence structs.Epoch) structs.Frame {
	return structs.Frame{Order: &structs.Order{ID: id, Fence: fence, Op: "load", Model: "m"}}
}

func (b *bench) orderErr(t *testing.T, id uint64) *errs.Error {
	t.Helper()
	for _, f := range b.entry.frames(func(f *structs.Frame) bool { return f.OrderDone != nil }) {
		if f.OrderDone.ID == id {
			return f.OrderDone.Err
		}
	}
	t.Fatalf("order %d is not answered", id)
	return nil
}

// Symptom: a model that was just loaded is unloaded again. A holder that was paused past its
// lease wakes and acts; its target checks no fencing number, so the side has to.
func TestOldOrderIsRefusedForTargetsThatDoNotCheck(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		var passed []structs.Epoch
		b.target.order = func(o platform.Order) error {
			passed = append(passed, o.Fence)
			return nil
		}
		b.send(loadOrder(1, 7))
		b.send(loadOrder(2, 6))
		b.send(loadOrder(3, 7))
		if err := b.orderErr(t, 1); err != nil {
			t.Fatal(err)
		}
		if err := b.orderErr(t, 2); !errs.Is(err, errs.StaleFence) {
			t.Fatal(err)
		}
		if len(passed) != 2 || passed[1] != 7 {
			t.Fatalf("passed on %v", passed)
		}
	})
}

// Symptom: a model that was just loaded is unloaded again, at a target that checks nothing.
// Sequence: the side passes on an order of the newest owner and is replaced; the owner before, which was
// paused, wakes, reaches the new side first and gives its late order.
// Cause: a side that has just started knows of no fencing number and takes any.
func TestRestartedSideTakesNoOrderOfAnEarlierOwner(t *testing.T) {
	unlearnt(t, func(t *testing.T, b *bench) {
		var passed []structs.Epoch
		b.target.order = func(o platform.Order) error {
			passed = append(passed, o.Fence)
			return nil
		}
		b.send(loadOrder(1, 6))
		if err := b.orderErr(t, 1); !errs.Is(err, errs.Overloaded) || err.Ran != errs.RanNo || err.RetryAfterMs == 0 {
			t.Errorf("before the newest number is known: %+v", err)
		}
		asks := b.entry.frames(func(f *structs.Frame) bool { return f.Fence != nil && f.Fence.Ask })
		if len(asks) != 2 {
			t.Errorf("asked %d times, want at the start and at the order", len(asks))
		}
		b.send(structs.Frame{Fence: &structs.Fence{Highest: 9}})
		b.send(structs.Frame{Fence: &structs.Fence{Highest: 8}}) // of an entry that has read earlier
		b.send(loadOrder(2, 6))
		b.send(loadOrder(3, 8))
		b.send(loadOrder(4, 9))
		for id, want := range map[uint64]errs.Type{2: errs.StaleFence, 3: errs.StaleFence} {
			if err := b.orderErr(t, id); !errs.Is(err, want) {
				t.Errorf("order %d: %v, want %s", id, err, want)
			}
		}
		if err := b.orderErr(t, 4); err != nil || len(passed) != 1 || passed[0] != 9 {
			t.Errorf("the owner's order: %v; passed on %v", err, passed)
		}
	})
}

func TestOneOrderAtATime(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.order = func(platform.Order) error {
			time.Sleep(time.Second)
			return nil
		}
		b.send(loadOrder(1, 7))
		b.send(loadOrder(2, 8))
		if err := b.orderErr(t, 2); !errs.Is(err, errs.Overloaded) || err.Ran != errs.RanNo || err.RetryAfterMs == 0 {
			t.Fatalf("%+v", err)
		}
		time.Sleep(2 * time.Second)
		b.send(loadOrder(3, 7))
		if err := b.orderErr(t, 3); !errs.Is(err, errs.StaleFence) {
			t.Fatalf("a refused newer order does not fence: %v", err)
		}
		b.send(loadOrder(4, 8))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if err := b.orderErr(t, 4); err != nil {
			t.Fatal(err)
		}
	})
}

// Symptom: as above, after a pause of the side itself: an order that it had read
// before the pause is acted on long after its sender was replaced.
func TestOrderOfSilentSenderIsNotPassedOn(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.order = func(platform.Order) error {
			t.Error("passed on")
			return nil
		}
		b.entry.setPaused(true)
		time.Sleep(freshFor + time.Millisecond)
		b.send(loadOrder(1, 7))
		if err := b.orderErr(t, 1); !errs.Is(err, errs.SessionLost) || err.Ran != errs.RanNo {
			t.Fatalf("%+v", err)
		}
	})
}
