package side

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

func TestLoadPace(t *testing.T) {
	for sessions, want := range map[int]time.Duration{
		0: 50 * time.Millisecond, 4: 50 * time.Millisecond, 8: 50 * time.Millisecond,
		9: 150 * time.Millisecond, 22: 1450 * time.Millisecond,
	} {
		if got := LoadPace(50*time.Millisecond, sessions); got != want {
			t.Errorf("%d sessions: a report every %s, want %s", sessions, got, want)
		}
	}
}

func loads(l *fakeLink) []structs.Frame {
	return l.frames(func(f *structs.Frame) bool { return f.Load != nil && f.Stream == 0 })
}

// manyEntries opens sessions until the side has n.
func (b *bench) manyEntries(n int) {
	for i := 1; i < n; i++ {
		b.opened(&fakeLink{host: structs.HostID(fmt.Sprint("more-", i))})
	}
	time.Sleep(time.Minute) // the reports that the sessions themselves have caused are out
}

// Symptom: with 22 entries a side's load reports took 26 KB/s. Events: its load changes all
// the time, and each change went to every session after LoadEvery. Cause: the rate did not
// depend on the number of sessions.
func TestLoadReportsAreRareOverManySessions(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(ctx context.Context, _ platform.GenerateCall, _ func(platform.Token) error) error {
			return hang(ctx)
		}
		b.manyEntries(22)
		before := len(loads(b.entry))
		// Each takes a place at the target or in the queue, so the load is news at every moment.
		for i := range 24 {
			b.open(uint64(i+1), generateOpen())
			time.Sleep(100 * time.Millisecond)
		}
		if n := len(loads(b.entry)) - before; n < 1 || n > 2 {
			t.Fatalf("%d load reports in 2.4 s, want 1 to 2", n)
		}
	})
}

// Symptom: a leaving target goes on getting requests that it must refuse. Events: a report has just
// gone out to many sessions, then the side begins to drain. Cause: the news waited
// for the next report.
func TestDrainingIsToldAtOnce(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(ctx context.Context, _ platform.GenerateCall, _ func(platform.Token) error) error {
			return hang(ctx)
		}
		b.manyEntries(22)
		b.open(1, generateOpen())
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			b.drain()
		}()
		synctest.Wait()
		all := loads(b.entry)
		if last := all[len(all)-1]; !last.Load.Draining {
			t.Fatalf("the last report after the drain's begin is %+v", last.Load)
		}
		<-drained
	})
}
