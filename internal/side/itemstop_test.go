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

func TestItemStopCancelsWhatRuns(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(ctx context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			_ = sink(token(0, "a"))
			return hang(ctx)
		}
		for i := range 20 {
			b.sendItems(batchItem("j", i))
		}
		b.send(structs.Frame{ItemStop: &structs.ItemStop{Job: "j", Index: 0}})
		started := len(b.target.generations())
		if d := b.entry.done(); len(d) != 1 || d[0].Ref.Index != 0 {
			t.Fatalf("after the stop of one item: %+v", d)
		}
		b.send(structs.Frame{ItemStop: &structs.ItemStop{Job: "j", All: true}})
		done := b.entry.done()
		if len(done) != 20 || len(b.target.generations()) != started {
			t.Fatalf("%d outcomes, %d starts, %d before", len(done), len(b.target.generations()), started)
		}
		for _, d := range done {
			if !errs.Is(d.Err, errs.Cancelled) {
				t.Fatalf("outcome %+v", d.Err)
			}
		}
		if load := b.queue.load(); load.BatchInFlight != 0 {
			t.Fatalf("load %+v", load)
		}
	})
}

// Symptom: an owner that has lost its shard goes on having items run.
func TestOldEpochDoesNotStart(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = generateWhole("x")
		b.sendItems(batchItem("new", 0))
		old := batchItem("old", 0)
		old.Ref.Epoch = 4
		b.sendItems(old)
		done := b.entry.done()
		if len(b.target.generations()) != 1 || len(done) != 2 || !errs.Is(done[1].Err, errs.StaleEpoch) {
			t.Fatalf("done %+v", done)
		}
	})
}

// Symptom: as above; the items of the old owner were in the queue already when the new
// owner was heard of.
func TestQueuedItemsOfOldEpochDoNotStart(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		release := make(chan struct{})
		b.target.generate = func(_ context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			<-release
			return tokens(sink, 0, "x")
		}
		for i := range 20 {
			b.sendItems(batchItem("old", i))
		}
		started := len(b.target.generations())
		newer := batchItem("new", 0)
		newer.Ref.Epoch++
		b.sendItems(newer)
		close(release)
		time.Sleep(time.Second)
		synctest.Wait()
		if n := len(b.target.generations()); started == 20 || n != started+1 {
			t.Fatalf("%d starts, %d before the newer epoch", n, started)
		}
		if d := b.entry.done(); len(d) != 21 {
			t.Fatalf("%d outcomes", len(d))
		}
	})
}

func TestDrainGivesItemsBack(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(ctx context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			_ = sink(token(0, "a"))
			return hang(ctx)
		}
		for i := range 20 {
			b.sendItems(batchItem("j", i))
		}
		drained := make(chan struct{})
		go func() {
			b.drain()
			close(drained)
		}()
		synctest.Wait()
		done := b.entry.done()
		var ack structs.ItemAck
		for _, d := range done {
			if !d.GaveBack {
				t.Fatalf("outcome %+v", d)
			}
			ack.Refs = append(ack.Refs, d.Ref)
		}
		if len(done) != 20 {
			t.Fatalf("%d outcomes", len(done))
		}
		b.send(structs.Frame{ItemAck: &ack})
		before := time.Now()
		<-drained
		if d := time.Since(before); d != 0 {
			t.Fatalf("the drain went on for %v after the last acknowledgement", d)
		}
	})
}

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
		b.sendItems(it)
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
