package backlog

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/standin/keyedlog"
)

const (
	herdSize = 88 // processes that start at once
	// The state is 1.4 MB at a store that sends 8 MB a second: together the processes need 15 s of it, and a page takes 1.5 s while
	// all ask for one.
	herdResults   = 70
	herdTextBytes = 20_000
	herdRate      = 8e6
	herdNeeds     = time.Duration(herdSize * herdResults * herdTextBytes / herdRate * float64(time.Second))
	// herdHistory is how long the store keeps what was written.
	herdHistory = 20 * time.Second
)

// fill writes results until the partition holds the state of a day.
func fill(t *testing.T, v *keyedlog.View, from, n int) {
	t.Helper()
	for i := from; i < from+n; i++ {
		records, err := backlog.EncodeResult(&backlog.Result{
			Job: "j", Position: i, Item: fmt.Sprint(i), Outcome: backlog.Complete, Text: strings.Repeat("x", herdTextBytes),
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := v.Append(context.Background(), platform.Append{Partition: resultPartition, Records: records}); err != nil {
			t.Fatal(err)
		}
	}
}

// Symptom: half a minute after all processes of a large deployment had lost power together, every question for the results of
// a job was still answered with 503, and would have been for ever.
// Sequence: 88 processes start; each reads all results, 8 MB; the store sends 80 MB a second to all of them together, so a page
// of 1 MB takes 1.5 s; each gives its page up after 1.2 s, and begins with the first one again.
// Cause: a load had one time limit whatever the store was asked by others, and kept nothing of what it had read.
func TestProcessesThatStartTogetherAllLoadTheBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyedlog.New(1)
		fill(t, store.View(), 0, herdResults)
		store.LimitReads(herdRate)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		began := time.Now()
		loaded := make(chan time.Duration, herdSize)
		for i := range herdSize {
			r := NewReplica(fmt.Sprintf("replica-%d", i), store.View(), func() {}, alone, testLogger("replica"))
			go func() {
				for ctx.Err() == nil {
					if r.load(ctx, resultPartition) == nil {
						loaded <- time.Since(began)
						return
					}
				}
			}()
		}
		var last time.Duration
		timeout := sleep.NewTimer(2 * herdNeeds)
		defer timeout.Stop()
		for i := range herdSize {
			select {
			case last = <-loaded:
			case <-timeout.C:
				t.Fatalf("%d of %d processes have loaded the backlog after %v; it can be sent to all within %v", i, herdSize, 2*herdNeeds, herdNeeds)
			}
		}
		t.Logf("loaded by all after %v; the store needs %v", last, herdNeeds)
	})
}

func TestALoadGoesOnAfterItsLastPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyedlog.New(1)
		fill(t, store.View(), 0, 20) // three pages
		pages := &keyedlog.CutPages{Store: store.View()}
		r := NewReplica("replica", pages, func() {}, alone, testLogger("replica"))
		failures := 0
		for r.load(context.Background(), resultPartition) != nil {
			failures++
		}
		if failures != 2 || len(pages.After) != 5 || pages.After[2] == "" || pages.After[3] <= pages.After[2] {
			t.Errorf("%d failures, pages after %q", failures, pages.After)
		}
		r.with(func(s *backlog.State) {
			if n := s.Listed("j"); n != 20 {
				t.Errorf("%d results", n)
			}
		})
	})
}

// What is written while a load goes on for longer than the store keeps its history must not be missed.
func TestALoadFollowsTheNewsBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyedlog.New(1)
		const old, added = 70, 30
		fill(t, store.View(), 0, old)
		store.LimitReads(old * herdTextBytes / (2 * herdHistory.Seconds()))
		go func() {
			// Of a job whose key comes before those that are being read.
			for i := range added {
				time.Sleep(herdHistory / added)
				records, err := backlog.EncodeResult(&backlog.Result{Job: "a", Position: i, Item: fmt.Sprint(i), Outcome: backlog.Complete})
				if err != nil {
					t.Error(err)
				}
				if _, err := store.View().Append(context.Background(), platform.Append{Partition: resultPartition, Records: records}); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(herdHistory / 2)
			store.Forget()
		}()
		r := NewReplica("replica", store.View(), func() {}, alone, testLogger("replica"))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			for ctx.Err() == nil {
				_ = r.step(ctx, resultPartition) // tried again
			}
		}()
		began := time.Now()
		for {
			if _, loaded := r.position(resultPartition); loaded {
				break
			}
			if time.Since(began) > 4*herdHistory {
				t.Fatal("not loaded")
			}
			time.Sleep(time.Second)
		}
		r.with(func(s *backlog.State) {
			if j, a := s.Listed("j"), s.Listed("a"); j != old || a != added {
				t.Errorf("%d of %d old results, %d of %d that came meanwhile", j, old, a, added)
			}
		})
		cancel()
		time.Sleep(time.Minute)
	})
}

// alone is a process without peers.
func alone() int { return 0 }

// countedReads counts the calls of a process that follows a partition.
type countedReads struct {
	platform.Store
	calls atomic.Int64
}

func (c *countedReads) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	c.calls.Add(1)
	return c.Store.Read(ctx, r)
}

// Symptom: the calls that a deployment made to the store in calm times, each of which costs, grew with the number of its processes.
// Sequence: results are listed 26 times a second; each process reads as soon as there is one and its pause is over. Cause: the pause was the
// same however many others read. The aim: eleven times as many processes make at most six times as many calls.
func TestProcessesThatAreManyReadLessOftenEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		few, many := readsOfAFollower(t, 8), readsOfAFollower(t, 88)
		if 88*many > 6*8*few {
			t.Errorf("8 processes make %d calls each, 88 make %d", few, many)
		}
	})
}

// readsOfAFollower is how many calls one of so many processes makes in ten seconds in which results are listed.
func readsOfAFollower(t *testing.T, processes int) int64 {
	t.Helper()
	const (
		listEvery = time.Second / 26
		listed    = 260
	)
	store := keyedlog.New(1)
	reads := &countedReads{Store: store.View()}
	r := NewReplica("replica", reads, func() {}, func() int { return processes - 1 }, testLogger("replica"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		if err := r.follow(ctx, resultPartition); err != nil {
			t.Error(err)
		}
	}()
	for i := range listed {
		fill(t, store.View(), i, 1)
		time.Sleep(listEvery)
	}
	time.Sleep(maxSpread + resultPause)
	synctest.Wait()
	listedHere := 0
	r.with(func(st *backlog.State) { listedHere = st.Listed("j") })
	if listedHere != listed {
		t.Errorf("%d of %d results are known %v after the last was listed", listedHere, listed, maxSpread+resultPause)
	}
	return reads.calls.Load()
}
