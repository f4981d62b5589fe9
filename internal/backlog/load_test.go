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
	startupProcesses = 88 // processes that start at once
	// The state is 1.4 MB, at a store that sends 8 MB a second. All processes together need 15 s to read it,
	// and a page takes 1.5 s while each process requests one.
	startupResults   = 70
	startupTextBytes = 20_000
	startupReadRate  = 8e6
	startupMinTime   = time.Duration(startupProcesses * startupResults * startupTextBytes / startupReadRate * float64(time.Second))
	// historyRetention is how long the store keeps its history.
	historyRetention = 20 * time.Second
)

// writeTestResults writes n results of one job, the first at position from.
func writeTestResults(t *testing.T, v *keyedlog.View, from, n int) {
	t.Helper()
	for i := from; i < from+n; i++ {
		records, err := backlog.EncodeResult(&backlog.Result{
			Job: "j", Position: i, Item: fmt.Sprint(i), Outcome: backlog.Complete, Text: strings.Repeat("x", startupTextBytes),
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := v.Append(context.Background(), platform.Append{Partition: resultPartition, Records: records}); err != nil {
			t.Fatal(err)
		}
	}
}

// All processes of a large deployment must load the backlog after a simultaneous start. 88 processes each
// read all results, 8 MB, from a store that sends 80 MB a second to all of them together, so a page of 1 MB
// takes 1.5 s. If a load abandons each page after a fixed 1.2 s and begins with the first one again, it never
// ends, and each request for results is answered with 503, as was seen half a minute after the start.
func TestSimultaneousStartsLoadBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyedlog.New(1)
		writeTestResults(t, store.View(), 0, startupResults)
		store.LimitReads(startupReadRate)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		began := time.Now()
		loaded := make(chan time.Duration, startupProcesses)
		for i := range startupProcesses {
			r := NewReplica(fmt.Sprintf("replica-%d", i), store.View(), func() {}, noPeers, testLogger("replica"))
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
		timeout := sleep.NewTimer(2 * startupMinTime)
		defer timeout.Stop()
		for i := range startupProcesses {
			select {
			case last = <-loaded:
			case <-timeout.C:
				t.Fatalf("%d of %d processes have loaded the backlog after %v; the store can send it to all within %v", i, startupProcesses, 2*startupMinTime, startupMinTime)
			}
		}
		t.Logf("all processes loaded after %v; the store needs %v", last, startupMinTime)
	})
}

func TestLoadResumesAfterLastPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyedlog.New(1)
		writeTestResults(t, store.View(), 0, 20) // three pages
		pages := &keyedlog.CutPages{Store: store.View()}
		r := NewReplica("replica", pages, func() {}, noPeers, testLogger("replica"))
		failures := 0
		for r.load(context.Background(), resultPartition) != nil {
			failures++
		}
		if failures != 2 || len(pages.After) != 5 || pages.After[2] == "" || pages.After[3] <= pages.After[2] {
			t.Errorf("%d failures, pages after %q", failures, pages.After)
		}
		r.withState(func(s *backlog.State) {
			if n := s.Listed("j"); n != 20 {
				t.Errorf("%d results", n)
			}
		})
	})
}

// Records written during a load that takes longer than the store keeps its history must not be missed.
func TestLoadReadsRecordsWrittenMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyedlog.New(1)
		const old, added = 70, 30
		writeTestResults(t, store.View(), 0, old)
		store.LimitReads(old * startupTextBytes / (2 * historyRetention.Seconds()))
		go func() {
			// The job's key precedes those that are being read.
			for i := range added {
				time.Sleep(historyRetention / added)
				records, err := backlog.EncodeResult(&backlog.Result{Job: "a", Position: i, Item: fmt.Sprint(i), Outcome: backlog.Complete})
				if err != nil {
					t.Error(err)
				}
				if _, err := store.View().Append(context.Background(), platform.Append{Partition: resultPartition, Records: records}); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(historyRetention / 2)
			store.Forget()
		}()
		r := NewReplica("replica", store.View(), func() {}, noPeers, testLogger("replica"))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			for ctx.Err() == nil {
				_ = r.readOnce(ctx, resultPartition) // retried
			}
		}()
		began := time.Now()
		for {
			if _, isLoaded := r.nextOffset(resultPartition); isLoaded {
				break
			}
			if time.Since(began) > 4*historyRetention {
				t.Fatal("not loaded")
			}
			time.Sleep(time.Second)
		}
		r.withState(func(s *backlog.State) {
			if j, a := s.Listed("j"), s.Listed("a"); j != old || a != added {
				t.Errorf("%d of %d old results, %d of %d results written meanwhile", j, old, a, added)
			}
		})
		cancel()
		time.Sleep(time.Minute)
	})
}

// noPeers is the peer count of a single process.
func noPeers() int { return 0 }

// countingReader counts the reads of a process that follows a partition.
type countingReader struct {
	platform.Store
	calls atomic.Int64
}

func (c *countingReader) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	c.calls.Add(1)
	return c.Store.Read(ctx, r)
}

// The number of calls to the store, each of which has a cost, must grow more slowly than the number of idle
// processes. 26 results are listed per second, and each process reads once there is one and its pause is
// over; with a constant pause the calls grow with the number of processes. Eleven times as many processes may
// make at most six times as many calls.
func TestReadRatePerProcessFallsWithFleetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		few, many := readsOfFollower(t, 8), readsOfFollower(t, 88)
		if 88*many > 6*8*few {
			t.Errorf("8 processes make %d calls each, 88 make %d", few, many)
		}
	})
}

// readsOfFollower returns the number of reads that one of that many processes makes in the ten seconds in
// which results are listed.
func readsOfFollower(t *testing.T, processes int) int64 {
	t.Helper()
	const (
		listEvery = time.Second / 26
		listed    = 260
	)
	store := keyedlog.New(1)
	reads := &countingReader{Store: store.View()}
	r := NewReplica("replica", reads, func() {}, func() int { return processes - 1 }, testLogger("replica"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		if err := r.follow(ctx, resultPartition); err != nil {
			t.Error(err)
		}
	}()
	for i := range listed {
		writeTestResults(t, store.View(), i, 1)
		time.Sleep(listEvery)
	}
	time.Sleep(maxExtraReadPause + resultReadPause)
	synctest.Wait()
	listedHere := 0
	r.withState(func(st *backlog.State) { listedHere = st.Listed("j") })
	if listedHere != listed {
		t.Errorf("%d of %d results are known %v after the last was listed", listedHere, listed, maxExtraReadPause+resultReadPause)
	}
	return reads.calls.Load()
}
