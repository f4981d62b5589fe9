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
