package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

// callerPatience is how long callers wait for the first event of a stream.
const callerPatience = 2 * time.Second

// lateLoad is a load of streams of which a part has its first event late at each target, by the size or the content of the
// prompt and not because of the target.
type lateLoad struct {
	attempts    int
	delay       time.Duration // of late streams
	shortBefore int           // streams that are not late, before all others
	late, short int
	interval    time.Duration // between two streams
}

// renewEntries renews the entries of all targets every second until ctx ends.
func (h *harness) renewEntries(ctx context.Context) {
	for sleep.For(ctx, time.Second) {
		h.view.ApplyRenewals(h.view.Targets())
	}
}

// lateOutcome is what a lateLoad has led to.
type lateOutcome struct{ lateServed, shortServed, lateRuns int }

// run serves the load at a gateway with three targets.
func (l lateLoad) run() lateOutcome {
	var mu sync.Mutex
	var o lateOutcome
	h := newHarness(3, func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
		delay := 25 * time.Millisecond
		if strings.HasPrefix(c.Request.ID, "late") {
			delay = l.delay
			mu.Lock()
			o.lateRuns++
			mu.Unlock()
		}
		r, w := io.Pipe()
		go func() {
			for i := range 20 {
				if !sleep.For(ctx, delay) {
					_ = w.CloseWithError(ctx.Err())
					return
				}
				delay = 20 * time.Millisecond
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			}
			_ = w.Close()
		}()
		return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Length: -1, Body: r}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.renewEntries(ctx)
	route := newRoute(serving.KindStream, l.attempts, true)
	route.EventTimeout = callerPatience
	var wg sync.WaitGroup
	serve := func(id string, served *int) {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			caller := &fakeCaller{}
			giveUp := sleep.AfterFunc(callerPatience, cancel)
			caller.onWrite = func() { giveUp.Stop() }
			began := time.Now()
			h.gw.Serve(ctx, route, &serving.Request{ID: id, Arrived: began, Deadline: began.Add(h.callerTimeout)}, caller)
			mu.Lock()
			defer mu.Unlock()
			if caller.status == http.StatusOK && !caller.isAborted {
				*served++
			}
		})
		time.Sleep(l.interval)
	}
	var shortBefore int
	for i := range l.shortBefore {
		serve(fmt.Sprint("before-", i), &shortBefore)
	}
	for i := range l.late + l.short {
		if (i+1)*l.late/(l.late+l.short) > i*l.late/(l.late+l.short) {
			serve(fmt.Sprint("late-", i), &o.lateServed)
			continue
		}
		serve(fmt.Sprint("short-", i), &o.shortServed)
	}
	wg.Wait()
	return o
}

// Guards against streams that are ended and begun again at another target because their first event is later than usual, so
// that their callers give up although each target would have served them in time.
func TestStreamsWithLateFirstEventAreServed(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		for _, delay := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 1600 * time.Millisecond} {
			for _, shortBefore := range []int{0, 40} {
				for _, interval := range []time.Duration{80 * time.Millisecond, 150 * time.Millisecond} {
					l := lateLoad{attempts: attempts, delay: delay, shortBefore: shortBefore, late: 40, short: 120, interval: interval}
					t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							o := l.run()
							if unserved := l.late - o.lateServed; unserved > 2 || unserved > 0 && delay <= 1200*time.Millisecond {
								t.Errorf("%d of %d late streams were not served, want none, or 2 if their delay has to be learned first", unserved, l.late)
							}
							if o.shortServed != l.short {
								t.Errorf("%d of %d streams beside them were served, want all", o.shortServed, l.short)
							}
							if extra := o.lateRuns - l.late; extra > 4 {
								t.Errorf("%d late streams were run %d times more than needed, want at most 4", l.late, extra)
							}
						})
					})
				}
			}
		}
	}
}
