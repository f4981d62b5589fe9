package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

// trickleBlankLines is a script of a target that sends a blank line every 50 ms, without end.
func trickleBlankLines(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
	r, w := io.Pipe()
	go func() {
		for sleep.For(ctx, 50*time.Millisecond) {
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
		_ = w.CloseWithError(ctx.Err())
	}()
	return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Length: -1, Body: r}, nil
}

// Guards against a stream that waits until its time limit for a target that sends only blank lines: they are no progress.
func TestBlankLinesAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(3, trickleBlankLines, streamAnswer(firstEvents, nil))
		caller := &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindStream, 2, true), caller)
		if got := caller.body.String(); len(h.sentTo) != 2 || len(got) < len(firstEvents) || got[len(got)-len(firstEvents):] != firstEvents || caller.isAborted {
			t.Errorf("sent to %v, body %q, aborted %t; want the events of the second target after the blank lines of the first", h.sentTo, got, caller.isAborted)
		}
	})
}

// floodBody is a body that returns the same byte without end, or blocks until its attempt ends after stopAt bytes, if that
// is not 0. It counts what is read of all bodies that are not closed.
type floodBody struct {
	ctx    context.Context
	stopAt int
	read   int
	total  *atomic.Int64
}

func (b *floodBody) Read(p []byte) (int, error) {
	if b.stopAt > 0 && b.read >= b.stopAt {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	for i := range p {
		p[i] = 'x'
	}
	b.read += len(p)
	b.total.Add(int64(len(p)))
	return len(p), nil
}

func (b *floodBody) Close() error {
	b.total.Add(-int64(b.read))
	return nil
}

// Guards against a gateway that runs out of memory because many answers without end arrive at once: whole ones whose
// callers don't read, and streams in the middle of an event.
func TestManyEndlessAnswersAreBoundedTogether(t *testing.T) {
	const requests = 200
	for _, test := range []struct {
		name, mediaType string
		kind            serving.Kind
		stopAt          int
	}{
		{"whole answers to callers that don't read", "text/plain", serving.KindUnsafe, 0},
		{"events that go on", eventStreamType, serving.KindStream, 900 << 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var total atomic.Int64
				h := newHarness(requests, func(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
					return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {test.mediaType}}, Length: -1, Body: &floodBody{ctx, test.stopAt, 0, &total}}, nil
				})
				canRead, begun := make(chan struct{}), atomic.Int64{}
				var wg sync.WaitGroup
				for range requests {
					wg.Go(func() {
						ctx, cancel := context.WithCancel(context.Background())
						defer cancel()
						h.serve(ctx, newRoute(test.kind, 1, false), &fakeCaller{onWrite: func() {
							begun.Add(1)
							<-canRead
							cancel() // the caller leaves
						}})
					})
				}
				synctest.Wait()
				t.Logf("%d bytes held of %d answers, %d of them begun", total.Load(), requests, begun.Load())
				if limit := int64(requests*(freeBuffer+16<<10) + maxAnswerMemory); total.Load() > limit {
					t.Errorf("the gateway holds %d bytes of %d answers, want at most %d", total.Load(), requests, limit)
				}
				close(canRead)
				wg.Wait()
				if held := h.gw.answerMemory.Held(); held != 0 {
					t.Errorf("%d bytes of the memory for answers are taken after all requests have ended, want 0", held)
				}
			})
		})
	}
}

// Guards against a whole answer that is lost or cut because no memory is left for a large one: it is passed on as it
// arrives.
func TestLargeAnswerWithoutMemoryIsPassedOn(t *testing.T) {
	for _, size := range []int{0, 1, minBuffer, freeBuffer, freeBuffer + 1, 300_000, maxBufferedBytes, maxBufferedBytes + 1, 3 << 20} {
		for _, isMemoryLeft := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				text := strings.Repeat("0123456789", size/10+1)[:size]
				h := newHarness(1, wholeAnswer(200, text, nil))
				if !isMemoryLeft {
					h.gw.answerMemory.Take(maxAnswerMemory)
				}
				caller := &fakeCaller{}
				h.serve(context.Background(), newRoute(serving.KindSafe, 2, false), caller)
				if caller.status != 200 || caller.body.String() != text || len(h.sentTo) != 1 {
					t.Errorf("answer of %d bytes, memory left %t: status %d, %d bytes, error %v; want all of it", size, isMemoryLeft, caller.status, caller.body.Len(), caller.err)
				}
			})
		}
	}
}

// trickleWhole is a script of a target that sends a whole answer byte by byte, one every 50 ms, without end.
func trickleWhole(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
	r, w := io.Pipe()
	go func() {
		for sleep.For(ctx, 50*time.Millisecond) {
			if _, err := io.WriteString(w, "x"); err != nil {
				return
			}
		}
		_ = w.CloseWithError(ctx.Err())
	}()
	return &platform.TargetAnswer{Status: 200, Header: http.Header{}, Length: -1, Body: r}, nil
}

// trickleEvent is trickleWhole as a stream whose first event does not end.
func trickleEvent(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
	ans, err := trickleWhole(ctx, c)
	ans.Header.Set("Content-Type", eventStreamType)
	return ans, err
}

// Guards against an answer that arrives a byte at a time and holds its request for ever, or beyond the time limit: one that
// may be repeated goes to another target, the others end at their time limits and may have run.
func TestTrickledAnswerEnds(t *testing.T) {
	for _, test := range []struct {
		name     string
		route    *serving.Route
		trickle  script
		sends    int
		isServed bool
	}{
		{"call", newRoute(serving.KindSafe, 2, false), trickleWhole, 2, true},
		{"call that may run once", newRoute(serving.KindUnsafe, 2, false), trickleWhole, 1, false},
		{"stream", newRoute(serving.KindStream, 2, true), trickleEvent, 2, true},
		{"stream that may run once", newRoute(serving.KindStream, 2, false), trickleEvent, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				second := wholeAnswer(200, "ok", nil)
				if test.route.Kind == serving.KindStream {
					second = streamAnswer(firstEvents, nil)
				}
				h := newHarness(3, test.trickle, second)
				caller := &fakeCaller{}
				h.serve(context.Background(), test.route, caller)
				isServed := caller.status == 200 && !caller.isAborted
				if len(h.sentTo) != test.sends || isServed != test.isServed || caller.answeredAfter > test.route.Timeout {
					t.Errorf("sent to %v, served %t after %v, error %v; want %d sends, served %t, within %v", h.sentTo, isServed, caller.answeredAfter, caller.err, test.sends, test.isServed, test.route.Timeout)
				}
				if !test.isServed && (caller.err == nil || caller.err.Ran != errs.RanUnknown) {
					t.Errorf("error %v, want one that says that the request may have run", caller.err)
				}
			})
		})
	}
}

// Guards against targets that count as failing although they have sent nothing wrong: the memory for large answers is held by
// other requests, whose callers are slow.
func TestTargetIsNotBlamedForMemoryOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		event := "id: 1\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"
		h := newHarness(2, streamAnswer(event, nil))
		h.gw.answerMemory.Take(maxAnswerMemory)
		var logLines bytes.Buffer
		h.gw.log = hclog.New(&hclog.LoggerOptions{Output: &logLines})
		caller := &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindStream, 2, true), caller)
		if caller.err == nil || caller.err.Type != errs.AnswerTooLarge || caller.err.Ran != errs.RanUnknown {
			t.Errorf("error %v, want answer_too_large with unknown run state", caller.err)
		}
		if strings.Contains(logLines.String(), "target suspect") || len(h.brokenRuns) > 0 {
			t.Errorf("%d sends, %d broken runs; want no target marked suspect:\n%s", len(h.sentTo), len(h.brokenRuns), logLines.String())
		}
	})
}
