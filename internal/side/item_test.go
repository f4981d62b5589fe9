package side

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/confstate"
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
		b.items1(it)
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
		b.items1(batchItem("cancelled", 0), batchItem("other", 0))
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
		b.items1(batchItem("j", 0))
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

func TestItemStopCancelsWhatRuns(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(ctx context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			_ = sink(token(0, "a"))
			return hang(ctx)
		}
		for i := range 20 {
			b.items1(batchItem("j", i))
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
			b.items1(batchItem("j", i))
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
		b.items1(it)
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

// Symptom: an owner that has lost its shard goes on having items run.
func TestOldEpochDoesNotStart(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = generateWhole("x")
		b.items1(batchItem("new", 0))
		old := batchItem("old", 0)
		old.Ref.Epoch = 4
		b.items1(old)
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
			b.items1(batchItem("old", i))
		}
		started := len(b.target.generations())
		newer := batchItem("new", 0)
		newer.Ref.Epoch++
		b.items1(newer)
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
			b.items1(batchItem("j", i))
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

// Symptom: a dead target eats a job: items are pulled, fail at once and are charged an
// attempt each. What was never handed over is given back, and no more is pulled.
func TestDeadTargetChargesNothingAndPullsNothing(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.failLoad(errs.New(errs.TargetFailed, "connection refused"))
		b.target.generate = func(context.Context, platform.GenerateCall, func(platform.Token) error) error {
			return errs.New(errs.TargetFailed, "connection refused").WithRan(errs.RanNo)
		}
		b.items1(batchItem("j", 0))
		done := b.entry.done()
		if len(done) != 1 || !done[0].GaveBack || done[0].Err.Ran != errs.RanNo {
			t.Fatalf("done %+v", done)
		}
		time.Sleep(10 * time.Second)
		if n := lastPull(b.entry); n != 0 {
			t.Fatalf("room %d offered", n)
		}
		b.target.failLoad(nil)
		time.Sleep(time.Minute)
		if lastPull(b.entry) == 0 {
			t.Fatal("the target is back and nothing is pulled")
		}
	})
}

func lastPull(l *fakeLink) int {
	pulls := l.frames(func(f *structs.Frame) bool { return f.Pull != nil })
	if len(pulls) == 0 {
		return 0
	}
	return pulls[len(pulls)-1].Pull.Room
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
			b.items1(batchItem("j", i))
			if i == 2 {
				b.items1(suspect)
			}
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := len(b.entry.done()); n != 13 || beside != 0 {
			t.Fatalf("%d outcomes, %d ran beside the suspect", n, beside)
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
			b.items1(batchItem("j", i))
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

// Symptom: a side takes up items of a job that is long done, twice at a time. The owner
// sends an item again because it thought the session lost.
func TestResentItemRunsOnce(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(_ context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			time.Sleep(time.Second)
			return tokens(sink, 0, "x")
		}
		it := batchItem("j", 0)
		b.items1(it)
		it.Ref.Attempt++
		b.items1(it, it)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if d := b.entry.done(); len(b.target.generations()) != 1 || len(d) != 1 || d[0].Ref != it.Ref {
			t.Fatalf("%d runs, done %+v", len(b.target.generations()), d)
		}
	})
}

func TestSharesSumToRoomAndReachEveryEntry(t *testing.T) {
	for _, active := range [][]bool{{false}, {true}, {false, false, false}, {true, false, false}, {true, true, false, false, false}} {
		for room := range 40 {
			t.Run(fmt.Sprint(active, room), func(t *testing.T) {
				got := make([]int, len(active))
				for turn := range 256 {
					sum := 0
					for i, n := range shares(room, active, turn) {
						sum += n
						got[i] += n
					}
					if sum != room {
						t.Fatalf("turn %d gives %d of %d", turn, sum, room)
					}
				}
				if room > 0 && slices.Contains(got, 0) {
					t.Fatalf("an entry got nothing: %v", got)
				}
			})
		}
	}
	if n := shares(3, nil, 1); len(n) != 0 {
		t.Fatalf("shares of nobody: %v", n)
	}
}

func TestIdleRoomIsOffered(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = generateWhole("x")
		if n := lastPull(b.entry); n == 0 || n != b.queue.batchRoom() {
			t.Fatalf("offered %d of %d", n, b.queue.batchRoom())
		}
		pull := b.entry.frames(func(f *structs.Frame) bool { return f.Pull != nil })[0].Pull
		if pull.Target != "t" || len(pull.Models) != 1 {
			t.Fatalf("pull %+v", pull)
		}
	})
}

// Symptom: a job is accepted and none of its items starts, on an idle fleet. Sequence: a side
// offers its room while its engine's first report, which lags, has no models; later reports
// have them. Cause: the offer is sent again only when the room has changed.
func TestOfferFollowsTheModels(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		for _, models := range [][]structs.ModelID{{}, {"m"}, {"m", "n"}} {
			b.target.setModels(models...)
			time.Sleep(2 * time.Second)
			pulls := b.entry.frames(func(f *structs.Frame) bool { return f.Pull != nil })
			if got := pulls[len(pulls)-1].Pull.Models; !slices.Equal(got, models) {
				t.Errorf("offered for %v, loaded are %v", got, models)
			}
		}
	})
}

// Symptom: a host that is being retired never gets free of batch items.
// Sequence: an operator retires it; items wait at the entries.
// Cause: its side goes on offering room.
func TestRetiredHostOffersNoRoom(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		if room := b.puller.room(); room == 0 {
			t.Fatal("no room before the retirement")
		}
		host := b.o.Settings.Host.ID
		b.configure(&fixedConfig{}, &confstate.State{
			Version: 1,
			Hosts:   map[structs.HostID]confstate.HostIntent{host: {ID: host, Retire: true}},
		}, nil)
		if room := b.puller.room(); room != 0 {
			t.Errorf("room for %d items on a retired host", room)
		}
		b.configure(&fixedConfig{}, &confstate.State{Version: 2}, nil)
		if room := b.puller.room(); room == 0 {
			t.Error("no room after its return")
		}
	})
}
