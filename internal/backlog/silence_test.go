package backlog

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"testing"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

// delayedStream pauses once, before the first bytes that are read of a stream or after that many.
type delayedStream struct {
	io.ReadCloser
	ctx       context.Context
	delay     time.Duration
	readsLeft int // until the pause
}

// Read implements io.Reader. Each read of the stream returns one event.
func (d *delayedStream) Read(p []byte) (int, error) {
	if d.readsLeft == 0 && !sleep.For(d.ctx, d.delay) {
		return 0, d.ctx.Err()
	}
	d.readsLeft--
	return d.ReadCloser.Read(p)
}

// gapEvent is the event before which a run with a gap pauses.
const gapEvent = 20

// lateAnswers are the ways in which a sound target may be late with an event of an item.
var lateAnswers = map[string]func(context.Context, *fakeTargets, platform.TargetCall, time.Duration) (*platform.TargetAnswer, error){
	"late head": func(ctx context.Context, f *fakeTargets, c platform.TargetCall, delay time.Duration) (*platform.TargetAnswer, error) {
		if !sleep.For(ctx, delay) {
			return nil, ctx.Err()
		}
		return &platform.TargetAnswer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: f.stream(ctx, c)}, nil
	},
	"late first event": func(ctx context.Context, f *fakeTargets, c platform.TargetCall, delay time.Duration) (*platform.TargetAnswer, error) {
		return lateStream(ctx, f, c, delay, 0), nil
	},
	"gap in the middle": func(ctx context.Context, f *fakeTargets, c platform.TargetCall, delay time.Duration) (*platform.TargetAnswer, error) {
		done, _ := strconv.Atoi(c.ResumeAfter) // 0 from the start
		return lateStream(ctx, f, c, delay, gapEvent-1-done), nil
	},
}

// lateStream returns a stream that pauses once, after that many events; not if they are fewer than 0.
func lateStream(ctx context.Context, f *fakeTargets, c platform.TargetCall, delay time.Duration, events int) *platform.TargetAnswer {
	body := &delayedStream{ReadCloser: f.stream(ctx, c), ctx: ctx, delay: delay, readsLeft: events}
	return &platform.TargetAnswer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: body}
}

// Guards against items that are ended and sent again for ever because their targets take longer to an event than the process
// has seen so far, and against sound targets that are taken out of use for it.
func TestItemsWithLateEventsComplete(t *testing.T) {
	const within = 18 * time.Second
	for name, answer := range lateAnswers {
		for _, delay := range []time.Duration{700 * time.Millisecond, 980 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second} {
			for _, items := range []int{1, 3, 12} {
				for _, shortItems := range []int{0, 60} {
					t.Run(fmt.Sprintf("%s by %v, %d items, after %d short ones", name, delay, items, shortItems), func(t *testing.T) {
						withCluster(t, 1, func(t *testing.T, cl *cluster) {
							n := cl.nodes[0]
							short := cl.job("short", repeat("ok", shortItems)...)
							n.submit(short)
							cl.checkResults(short, n.results(short, time.Minute))
							cl.targets.intercept = func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error, bool) {
								a, err := answer(ctx, cl.targets, c, delay)
								return a, err, true
							}
							j := cl.job("late", repeat("ok", items)...)
							n.submit(j)
							cl.checkResults(j, n.results(j, within))
							// As if the limit doubled from its minimum until it exceeds the delay.
							mostRuns := int(math.Ceil(math.Log2(float64(delay)/float64(300*time.Millisecond)))) + 1
							for _, item := range j.Items {
								if runs := cl.targets.runCount(item.ID); runs > mostRuns {
									t.Errorf("item %s was run %d times, want at most %d", item.ID, runs, mostRuns)
								}
							}
						})
					})
				}
			}
		}
	}
}

// Guards against runs that were cancelled for online requests and count as silent, so that the silence limits of their service
// grow in each busy hour.
func TestPreemptedRunWasNotSilent(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		cl.targets.intercept = func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error, bool) {
			a, err := lateAnswers["late head"](ctx, cl.targets, c, 350*time.Millisecond)
			return a, err, true
		}
		j := cl.job("j", "ok")
		n.submit(j)
		for n.manager.Counts().RunningItems == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(320 * time.Millisecond)
		release := n.fillTargets("target-0", "target-1", "target-2")
		time.Sleep(50 * time.Millisecond)
		n.manager.scheduler.mu.Lock()
		for _, tk := range n.manager.scheduler.tasks {
			if tk.silentFor != 0 || !tk.isPreempted {
				t.Errorf("silent for %v, preempted %t; want a preempted run that counts as not silent", tk.silentFor, tk.isPreempted)
			}
		}
		n.manager.scheduler.mu.Unlock()
		release()
		cl.checkResults(j, n.results(j, 10*time.Second))
	})
}
