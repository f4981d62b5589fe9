package side

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// Symptom: a dead target eats a job: items are pulled, fail at once and are charged an
// attempt each. What was never handed over is given back, and no more is pulled.
func TestDeadTargetChargesNothingAndPullsNothing(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.failLoad(errs.New(errs.TargetFailed, "connection refused"))
		b.target.generate = func(context.Context, platform.GenerateCall, func(platform.Token) error) error {
			return errs.New(errs.TargetFailed, "connection refused").WithRan(errs.RanNo)
		}
		b.sendItems(batchItem("j", 0))
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
