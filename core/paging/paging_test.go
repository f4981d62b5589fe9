package paging

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

// narrowStore sends pages to all its readers together one after the other, each in pageTime. A reader that gives up has used its
// turn all the same.
type narrowStore struct {
	platform.Store
	pages    int
	pageTime time.Duration

	mu   sync.Mutex
	free time.Time
}

func (s *narrowStore) Newest(ctx context.Context, _ platform.Partition, after string) (platform.NewestPage, error) {
	n := 0
	if after != "" {
		if _, err := fmt.Sscanf(after, "key-%d", &n); err != nil {
			return platform.NewestPage{}, err
		}
		n++
	}
	if !sleep.For(ctx, s.turn()) {
		return platform.NewestPage{}, errors.New("no answer in time")
	}
	key := fmt.Sprintf("key-%d", n)
	record := platform.StoredRecord{KeyedRecord: platform.KeyedRecord{Key: key}}
	return platform.NewestPage{Records: []platform.StoredRecord{record}, More: n+1 < s.pages, End: uint64(100 + n)}, nil
}

// turn is how long an answer to a question that comes now takes.
func (s *narrowStore) turn() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(s.pageTime)
	return time.Until(s.free)
}

// readAll reads to the end and returns how many records came and how many pages were missed.
func readAll(ctx context.Context, r *Reader) (records, missed int) {
	for ctx.Err() == nil {
		page, more, err := r.Next(ctx)
		if err != nil {
			missed++
			continue
		}
		records += len(page)
		if !more {
			break
		}
	}
	return records, missed
}

// Pattern: all processes start at one moment, after a loss of power, and read the same pages of a store that sends to all of them together
// what it can. Symptom: none ever has all pages. Cause: a page that is not there after a second is given up and the read begins anew.
//
// 300 processes with six pages of 5 ms each need 9 s of the store. A process that gives up makes the store send for nobody: at most three times
// in a row while patience doubles from 1.2 s to the 1.5 s that a page takes for each. Twice the need is allowed for all of that.
func TestProcessesThatStartTogetherAllReadToTheEnd(t *testing.T) {
	const processes, pages, pageTime = 300, 6, 5 * time.Millisecond
	const need = processes * pages * pageTime
	synctest.Test(t, func(t *testing.T) {
		store := &narrowStore{pages: pages, pageTime: pageTime}
		ctx, cancel := context.WithTimeout(context.Background(), 2*need)
		defer cancel()
		var readers sync.WaitGroup
		got := make([]int, processes)
		for i := range processes {
			r := New(store, platform.Partition{}, Limits{Patience: 2400 * time.Millisecond, Backoff: 300 * time.Millisecond}, fmt.Sprint(i))
			readers.Go(func() { got[i], _ = readAll(ctx, r) })
		}
		readers.Wait()
		for i, n := range got {
			if n != pages {
				t.Fatalf("process %d has %d of %d pages after %v; the store can send all to all in %v", i, n, pages, 2*need, need)
			}
		}
	})
}

// silentStore answers nothing before a moment.
type silentStore struct {
	narrowStore
	until time.Time
	asked []time.Time
}

func (s *silentStore) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	s.asked = append(s.asked, time.Now())
	if time.Now().Before(s.until) {
		sleep.For(ctx, time.Hour)
		return platform.NewestPage{}, errors.New("no answer in time")
	}
	return s.narrowStore.Newest(ctx, p, after)
}

// Pattern: the store is away when a process starts. Symptom: the process serves nobody for long after the store's return. Cause: patience
// and pauses grow without a bound. Within the limits it asks again after one page's patience and one and a half mean pauses at the latest.
func TestAReaderIsBackSoonAfterTheStore(t *testing.T) {
	limits := Limits{Patience: 2400 * time.Millisecond, Backoff: 300 * time.Millisecond}
	synctest.Test(t, func(t *testing.T) {
		for away := time.Duration(0); away < 20*time.Second; away += 700 * time.Millisecond {
			store := &silentStore{narrowStore: narrowStore{pages: 2}, until: time.Now().Add(away)}
			r := New(store, platform.Partition{}, limits, "process")
			if n, _ := readAll(t.Context(), r); n != 2 {
				t.Fatalf("%d pages", n)
			}
			if late := time.Since(store.until); late > limits.Patience+limits.Backoff*3/2 {
				t.Errorf("away for %v: the list is there %v after that", away, late)
			}
		}
	})
}

// What a reader says of itself: the first page's end and moment, and of a page that did not come all that a log line needs.
func TestAReaderTellsWhereItBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		store := &silentStore{narrowStore: narrowStore{pages: 3}, until: began.Add(time.Second)}
		r := New(store, platform.Partition{}, Limits{Patience: time.Second, Backoff: time.Second}, "process")
		_, more, err := r.Next(t.Context())
		var m *Missed
		if !errors.As(err, &m) || !more || m.Took != time.Second || m.Patience != time.Second || m.Pause <= 0 || m.After != "" || m.Unwrap() == nil {
			t.Fatalf("%+v, more %v", err, more)
		}
		if !r.Began().IsZero() {
			t.Errorf("begun at %v without a page", r.Began())
		}
		if n, _ := readAll(t.Context(), r); n != 3 || r.End() != 100 {
			t.Errorf("%d pages, end %d", n, r.End())
		}
		if after := r.Began().Sub(began); after != time.Second+m.Pause {
			t.Errorf("the first page was asked for after %v", after)
		}
	})
}
