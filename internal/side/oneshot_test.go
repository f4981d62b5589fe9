package side

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// Symptom: an item whose call may not be repeated is called twice. Events: its call is at the
// plain service when the side's drain timeout passes; the side cuts the call off and gives the
// item back; its owner starts it anew. Cause: the side said "not run" of every item of a plain
// service that it gave back, also of one that the service had.
func TestItemCutOffByADrainIsNotCalledNotRun(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		b.target.call = func(ctx context.Context, _ platform.ServiceCall) (platform.ServiceAnswer, error) {
			err := hang(ctx)
			return platform.ServiceAnswer{}, errs.As(err).WithRan(errs.RanUnknown)
		}
		b.o.Settings.DrainTimeout = time.Second
		it := batchItem("j", 0)
		it.Generate, it.NonIdempotent = nil, true
		b.items1(it)
		if b.target.runs() != 1 {
			t.Fatalf("%d calls before the drain", b.target.runs())
		}
		go b.drain()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		done := b.entry.done()
		if len(done) != 1 || done[0].Err == nil || done[0].Err.Type != errs.Draining || done[0].Err.Ran != errs.RanUnknown {
			t.Fatalf("outcomes %+v", done)
		}
	})
}
