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
	// The results have 1.4 MB, and the store sends 8 MB a second. All processes together need 15 s to read the
	// results, and a page takes 1.5 s while each process requests one.
	startupResults   = 70
	startupTextBytes = 20_000
	startupReadRate  = 8e6
	startupMinTime   = time.Duration(startupProcesses * startupResults * startupTextBytes / startupReadRate * float64(time.Second))
	// historyRetention is how long the store keeps its history.
	historyRetention = 20 * time.Second
)

// writeTestResults writes n results of job j, of startupTextBytes each, the first at position from.
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

// All processes of a large fleet must load the backlog after a simultaneous start. If 88 processes each read
// 8 MB of results from a store that sends 80 MB a second to all of them together, a page of 1 MB takes 1.5 s.
// A load that abandons each page after a fixed 1.2 s and begins with the first page again then never ends: half
// a minute after the start, each request for results is still answered with 503. The test simulates a tenth of
// this rate.
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
		var lastLoad time.Duration
		timeout := sleep.NewTimer(2 * startupMinTime)
		defer timeout.Stop()
		for i := range startupProcesses {
			select {
			case lastLoad = <-loaded:
			case <-timeout.C:
				t.Fatalf("%d processes have loaded the backlog, want all %d within %v; the store can send it to all within %v", i, startupProcesses, 2*startupMinTime, startupMinTime)
			}
		}
		t.Logf("all processes loaded after %v; the store needs %v", lastLoad, startupMinTime)
	})
}

// After a failed page a load must resume after the last page that it has read, not with the first one.
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
			t.Errorf("the load had %d failures and requested the pages after keys %q, want 2 failures and 5 requests, the 3rd after some key and the 4th after a later one", failures, pages.After)
		}
		r.withState(func(s *backlog.State) {
			if n := s.ListedCount("j"); n != 20 {
				t.Errorf("%d results are listed after the load, want 20", n)
			}
		})
	})
}

// A load that takes longer than the store keeps its history must not miss records that are written meanwhile.
func TestLoadReadsRecordsWrittenMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keyedlog.New(1)
		const oldCount, addedCount = 70, 30
		writeTestResults(t, store.View(), 0, oldCount)
		store.LimitReads(oldCount * startupTextBytes / (2 * historyRetention.Seconds()))
		go func() {
			// The keys of this job's results precede those that are being read.
			for i := range addedCount {
				time.Sleep(historyRetention / addedCount)
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
				_ = r.readOnce(ctx, resultPartition) // the error is ignored: the next call continues the load
			}
		}()
		began := time.Now()
		for {
			if _, isLoaded := r.nextOffset(resultPartition); isLoaded {
				break
			}
			if time.Since(began) > 4*historyRetention {
				t.Fatal("the partition is not loaded after four times the retention of the history, want it loaded")
			}
			time.Sleep(time.Second)
		}
		r.withState(func(s *backlog.State) {
			if oldRead, addedRead := s.ListedCount("j"), s.ListedCount("a"); oldRead != oldCount || addedRead != addedCount {
				t.Errorf("%d results from before the load are listed, want %d; %d results written meanwhile, want %d", oldRead, oldCount, addedRead, addedCount)
			}
		})
		cancel()
		time.Sleep(time.Minute)
	})
}

// noPeers is the function peerCount of a Replica without other processes.
func noPeers() int { return 0 }

// countingReader counts the calls of Read of a store.
type countingReader struct {
	platform.Store
	calls atomic.Int64
}

func (c *countingReader) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	c.calls.Add(1)
	return c.Store.Read(ctx, r)
}

// The number of reads from the store, each of which has a cost, must grow more slowly than the number of idle
// processes. 26 results are written per second, and each process reads as soon as there is one and its pause
// is over; with a constant pause the reads would grow with the number of processes. Eleven times as many
// processes may make at most six times as many reads.
func TestReadRatePerProcessFallsWithFleetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		readsAmong8, readsAmong88 := readsOfFollower(t, 8), readsOfFollower(t, 88)
		if 88*readsAmong88 > 6*8*readsAmong8 {
			t.Errorf("8 processes make %d reads each and 88 make %d each, want at most 6 times as many in total", readsAmong8, readsAmong88)
		}
	})
}

// readsOfFollower returns the number of reads that one of that many processes makes while 260 results are
// written in ten seconds.
func readsOfFollower(t *testing.T, processes int) int64 {
	t.Helper()
	const (
		writeInterval = time.Second / 26
		written       = 260
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
	for i := range written {
		writeTestResults(t, store.View(), i, 1)
		time.Sleep(writeInterval)
	}
	time.Sleep(maxExtraReadPause + resultReadPause)
	synctest.Wait()
	listed := 0
	r.withState(func(st *backlog.State) { listed = st.ListedCount("j") })
	if listed != written {
		t.Errorf("%d results are listed, want all %d within %v of the last write", listed, written, maxExtraReadPause+resultReadPause)
	}
	return reads.calls.Load()
}
