package side

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/completion"
)

func generateWhole(text string) func(context.Context, platform.GenerateCall, func(platform.Token) error) error {
	return func(_ context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
		return tokens(sink, call.ResumeFrom, text)
	}
}

func TestItemGivesAWholeCompletion(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = generateWhole("hello")
		it := batchItem("j", 0)
		it.Generate.Chat = true
		b.sendItems(it)
		done := b.entry.done()
		if len(done) != 1 || done[0].Err != nil || done[0].Status != 200 || done[0].Ref != it.Ref {
			t.Fatalf("done %+v", done)
		}
		var c completion.Answer
		if err := json.Unmarshal(done[0].Body, &c); err != nil {
			t.Fatal(err)
		}
		var used completion.Usage
		if err := json.Unmarshal(c.Usage, &used); err != nil {
			t.Fatal(err)
		}
		if c.Choices[0].Message.Content != "hello" || used.CompletionTokens != 5 || used.TotalTokens != 8 || c.Object != "chat.completion" {
			t.Fatalf("completion %s", done[0].Body)
		}
	})
}

// Symptom: an item of a cancelled job starts. The side was paused or cut off
// from its owner while the job was cancelled, and has the item in its queue still. It
// may start the item only once the owner is heard of again, and then the ItemStop has come.
func TestItemOfSilentOwnerDoesNotStart(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = generateWhole("x")
		b.entry.setPaused(true)
		time.Sleep(freshFor + time.Millisecond)
		b.sendItems(batchItem("cancelled", 0), batchItem("other", 0))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if n := len(b.target.generations()); n != 0 {
			t.Fatalf("%d items started", n)
		}
		b.send(structs.Frame{ItemStop: &structs.ItemStop{Job: "cancelled", All: true}})
		b.entry.setPaused(false)
		time.Sleep(time.Second)
		synctest.Wait()
		if g := b.target.generations(); len(g) != 1 || g[0].Request != "other/0/0" {
			t.Fatalf("generations %+v", g)
		}
		done := b.entry.done()
		if len(done) != 2 || !errs.Is(done[0].Err, errs.Cancelled) || done[0].Err.Ran != errs.RanNo || done[1].Err != nil {
			t.Fatalf("done %+v", done)
		}
	})
}

func TestItemOfLostOwnerIsGivenBack(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = generateWhole("x")
		b.entry.setPaused(true)
		time.Sleep(freshFor + time.Millisecond)
		b.sendItems(batchItem("j", 0))
		b.closed(b.entry, errs.New(errs.SessionLost, "cut"))
		time.Sleep(2 * parkedFor)
		other := &fakeLink{host: "e2"}
		b.opened(other)
		synctest.Wait()
		done := other.done()
		if len(done) != 1 || !done[0].GaveBack || done[0].Err.Ran != errs.RanNo {
			t.Fatalf("done %+v", done)
		}
	})
}

// Symptom: online callers wait behind batch, or a preempted item starts from nothing. At
// a burst the batch streams are cancelled, and resume later at their position.
func TestPreemptedItemResumesWithItsProgress(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		release := make(chan struct{})
		b.target.generate = func(ctx context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
			if call.Request == "r" {
				time.Sleep(time.Second)
				return tokens(sink, 0, "online")
			}
			if call.ResumeFrom == 0 {
				if err := tokens(sink, 0, "abc"); err != nil {
					return err
				}
				select {
				case <-release:
				case <-ctx.Done():
					return errs.New(errs.Cancelled, "cancelled")
				}
			}
			return tokens(sink, max(3, call.ResumeFrom), "abcdef")
		}
		for i := range 16 {
			b.sendItems(batchItem("j", i))
		}
		for i := uint64(1); i <= 16; i++ {
			b.open(i, generateOpen())
		}
		time.Sleep(4 * time.Second) // less than the target's budget
		close(release)
		time.Sleep(time.Minute)
		synctest.Wait()
		resumed := 0
		for _, g := range b.target.generations() {
			if g.ResumeFrom > 0 {
				resumed++
				if g.ResumeFrom != 3 || g.PriorText != "abc" {
					t.Fatalf("resumed with %+v", g)
				}
			}
		}
		if resumed == 0 {
			t.Fatal("nothing was preempted: the test shows nothing")
		}
		done := b.entry.done()
		if len(done) != 16 {
			t.Fatalf("%d outcomes", len(done))
		}
		for _, d := range done {
			var c completion.Answer
			if err := json.Unmarshal(d.Body, &c); err != nil || *c.Choices[0].Text != "abcdef" {
				t.Fatalf("outcome %+v: %s", d, d.Body)
			}
		}
		for i := uint64(1); i <= 16; i++ {
			if a := b.entry.answer(i); a.end == nil || a.end.Err != nil {
				t.Fatalf("online stream %d: %+v", i, a.end)
			}
		}
	})
}

// Symptom: a result that was computed is lost with the session it was sent on. It is
// held until it is acknowledged, and sent again to whoever connects.
func TestOutcomeIsHeldUntilAcknowledged(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = generateWhole("x")
		it := batchItem("j", 0)
		b.sendItems(it)
		b.closed(b.entry, errs.New(errs.SessionLost, "cut"))
		other := &fakeLink{host: "e2"}
		b.opened(other)
		if d := other.done(); len(d) != 1 || d[0].Ref != it.Ref {
			t.Fatalf("the other entry got %+v", d)
		}
		it.Ref.Epoch++
		b.frame(other, &structs.Frame{Items: &structs.Items{Items: []structs.Item{it}}})
		synctest.Wait()
		if d := other.done(); len(d) != 2 || d[1].Ref != it.Ref || len(b.target.generations()) != 1 {
			t.Fatalf("the new owner got %+v after %d runs", d, len(b.target.generations()))
		}
		b.frame(other, &structs.Frame{ItemAck: &structs.ItemAck{Refs: []structs.ItemRef{it.Ref}}})
		time.Sleep(time.Minute)
		if _, held := b.items.counts(); held != 0 || len(other.done()) != 2 {
			t.Fatalf("%d held, %d sent", held, len(other.done()))
		}
	})
}

// Symptom: a harmless item is blamed for a crash that its neighbour caused. All that ran
// beside it is named, also what broke a moment earlier.
func TestDeathOfTargetNamesNeighbours(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		die := make(chan struct{})
		b.target.generate = func(_ context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			_ = sink(token(0, "a"))
			<-die
			return errs.New(errs.StreamBroken, "worker died")
		}
		for i := range 3 {
			b.sendItems(batchItem("j", i))
		}
		if n := len(b.target.generations()); n != 3 {
			t.Fatalf("%d items run", n)
		}
		b.target.failLoad(errs.New(errs.TargetFailed, "connection refused").WithRan(errs.RanNo))
		close(die)
		synctest.Wait()
		done := b.entry.done()
		if len(done) != 3 {
			t.Fatalf("%d outcomes", len(done))
		}
		for _, d := range done {
			var beside []int
			for _, n := range d.Neighbours {
				beside = append(beside, n.Index)
			}
			slices.Sort(beside)
			want := slices.DeleteFunc([]int{0, 1, 2}, func(i int) bool { return i == d.Ref.Index })
			if !errs.Is(d.Err, errs.StreamBroken) || d.GaveBack || !slices.Equal(beside, want) {
				t.Fatalf("item %d: %+v, neighbours %v", d.Ref.Index, d.Err, beside)
			}
		}
	})
}

// Symptom: a suspect kills its worker again and takes others with it.
func TestSuspectRunsAlone(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		var mu sync.Mutex
		running := map[structs.RequestID]bool{}
		beside := 0
		b.target.generate = func(_ context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
			mu.Lock()
			running[call.Request] = true
			if running["suspect/0/0"] {
				beside = max(beside, len(running)-1)
			}
			mu.Unlock()
			time.Sleep(time.Second)
			mu.Lock()
			delete(running, call.Request)
			mu.Unlock()
			return tokens(sink, 0, "x")
		}
		suspect := batchItem("suspect", 0)
		suspect.Alone = true
		for i := range 12 {
			b.sendItems(batchItem("j", i))
			if i == 2 {
				b.sendItems(suspect)
			}
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := len(b.entry.done()); n != 13 || beside != 0 {
			t.Fatalf("%d outcomes, %d ran beside the suspect", n, beside)
		}
	})
}

// Symptom: a side takes up items of a job that is long done, twice at a time. The owner
// sends an item again because it thought the session lost.
func TestResentItemRunsOnce(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(_ context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			time.Sleep(time.Second)
			return tokens(sink, 0, "x")
		}
		it := batchItem("j", 0)
		b.sendItems(it)
		it.Ref.Attempt++
		b.sendItems(it, it)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if d := b.entry.done(); len(b.target.generations()) != 1 || len(d) != 1 || d[0].Ref != it.Ref {
			t.Fatalf("%d runs, done %+v", len(b.target.generations()), d)
		}
	})
}

// Symptom: an item is at a side and in no queue; it runs again elsewhere once its lease is out.
// Sequence: an item starts while its owner is not heard of and is parked; the owner is heard
// again, and the item gets its next turn before the end of the last one is noted.
// Cause: the end noted under the id of the next turn.
func TestParkedItemKeepsItsNextTurn(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		i := newItem(b.Side, "not-heard-of", batchItem("j", 0))
		first := i.id
		g, id, why := i.begin()
		if g != nil || why != nil || !i.is(itemParked) {
			t.Fatalf("guard %v, error %v", g, why)
		}
		i.requeue()
		if id != first || i.id == first {
			t.Errorf("turn %v began, %v is to be ended, %v comes next", first, id, i.id)
		}
		synctest.Wait()
	})
}
