package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/stopping"
)

// stopRunTime is how long the targets of a stopHarness take for a request.
const stopRunTime = time.Second

// newStopHarness returns a harness whose gateway knows how long requests take, and its stop.
func newStopHarness(t *testing.T, scripts ...script) (*harness, *stopping.Stop) {
	t.Helper()
	h, stop := newHarness(2, delayed(stopRunTime, wholeAnswer(200, "ok", nil))), stopping.New()
	h.gw.stop = stop
	h.callerTimeout = time.Minute
	for range 4 {
		if caller := h.serveOn(stopRoute(serving.KindSafe)); caller.err != nil {
			t.Fatal(caller.err)
		}
	}
	h.scripts, h.sentTo = scripts, nil
	return h, stop
}

// stopRoute returns a route with a time limit that no stop reaches.
func stopRoute(kind serving.Kind) *serving.Route {
	r := newRoute(kind, 2, kind == serving.KindStream)
	r.Timeout, r.LatencyGoal = time.Minute, 4*stopRunTime // no answer is late
	return r
}

// serveOn lets the gateway serve one request and returns its answer.
func (h *harness) serveOn(r *serving.Route) *fakeCaller {
	caller := &fakeCaller{}
	h.serve(context.Background(), r, caller)
	return caller
}

// beginStop begins a stop in which answers are possible for a time.
func beginStop(t *testing.T, s *stopping.Stop, left time.Duration) {
	now := time.Now()
	s.Begin(stopping.Times{AcceptUntil: now.Add(left / 2), AnswerBy: now.Add(left)})
	go func() {
		if sleep.For(t.Context(), left) {
			s.End()
		}
	}()
}

// expectStopped checks that a request has failed because the process stops, with the run state ran, after a number of sends.
func (h *harness) expectStopped(t *testing.T, caller *fakeCaller, ran errs.Ran, sends int) {
	t.Helper()
	if e := caller.err; e == nil || e.Type != errs.Draining || e.Ran != ran || (e.RetryAfterMs == 0) != (ran != errs.RanNo) || len(h.sentTo) != sends {
		t.Errorf("error %+v after %d sends, body %q; want draining, %s, after %d sends", e, len(h.sentTo), caller.body.String(), ran, sends)
	}
}

// Guards against a request that is sent to a target so late in a stop that its answer would be cut off, and against one that is
// rejected although it can be answered.
func TestRequestIsSentInAStopOnlyIfItCanBeAnswered(t *testing.T) {
	for _, kind := range []serving.Kind{serving.KindSafe, serving.KindUnsafe, serving.KindStream} {
		synctest.Test(t, func(t *testing.T) {
			h, stop := newStopHarness(t, delayed(stopRunTime, wholeAnswer(200, "ok", nil)))
			beginStop(t, stop, 10*time.Second)
			if caller := h.serveOn(stopRoute(kind)); caller.body.String() != "ok" {
				t.Errorf("%s, 10s before the end: error %v, body %q; want ok", kind, caller.err, caller.body.String())
			}
			time.Sleep(9*time.Second - stopRunTime/2) // less is left than a request takes
			h.sentTo = nil
			caller := h.serveOn(stopRoute(kind))
			h.expectStopped(t, caller, errs.RanNo, 0)
			if caller.answeredAfter > 0 {
				t.Errorf("%s: rejected after %v, want at once", kind, caller.answeredAfter)
			}
		})
	}
}

// Guards against the same for a service of which no request has been answered: half of the time must be left.
func TestRequestOfUnknownDurationIsSentEarlyInAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, stop := newHarness(1, wholeAnswer(200, "ok", nil)), stopping.New()
		h.gw.stop, h.callerTimeout = stop, time.Minute
		beginStop(t, stop, 4*time.Second)
		time.Sleep(3 * time.Second)
		h.expectStopped(t, h.serveOn(stopRoute(serving.KindUnsafe)), errs.RanNo, 0)
		h.callerTimeout = 500 * time.Millisecond // ends before the stop does
		if caller := h.serveOn(stopRoute(serving.KindUnsafe)); caller.body.String() != "ok" {
			t.Errorf("a request whose own limit comes before the end: error %v, want it to be served", caller.err)
		}
	})
}

// Guards against a further attempt that begins so late in a stop that its answer would be cut off.
func TestNextAttemptIsNotSentLateInAStop(t *testing.T) {
	for _, test := range []struct {
		name  string
		first script
		ran   errs.Ran
	}{{"not run", refuseRequest, errs.RanNo}, {"not connected", refuseConnection, errs.RanNo}, {"answer lost", loseAnswer, errs.RanUnknown}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, stop := newStopHarness(t, delayed(2*stopRunTime, test.first), delayed(stopRunTime, wholeAnswer(200, "late", nil)))
				h.scripts[0] = func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
					beginStop(t, stop, stopRunTime/2)
					return test.first(ctx, c)
				}
				h.expectStopped(t, h.serveOn(stopRoute(serving.KindSafe)), test.ran, 1)
			})
		})
	}
}

// Guards against a request that waits for a slot until the process ends, or is sent then.
func TestQueuedRequestIsNotSentLateInAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, waiting, callerTimeout = 4, 8, 5 * time.Second
		h, stop := newHarness(1, delayed(stopRunTime, streamAnswer(firstEvents, nil))), stopping.New()
		h.gw.stop = stop
		route := newRoute(serving.KindStream, 1, false)
		for range 10 { // the gateway learns how long callers wait and how long requests hold a slot
			h.serveOn(route)
		}
		answers := make(chan *fakeCaller)
		send := func() { answers <- h.serveOn(route) }
		for range slots {
			go send()
			synctest.Wait()
		}
		h.callerTimeout = callerTimeout - time.Second // as on a second attempt, which stays in the queue
		for range waiting {
			go send()
			synctest.Wait()
		}
		sends := len(h.sentTo)
		beginStop(t, stop, stopRunTime*3/2) // those at the target are answered, those behind them can't be
		stopped := 0
		for range slots + waiting {
			if caller := <-answers; caller.err != nil {
				stopped++
				if caller.err.Type != errs.Draining || caller.err.Ran != errs.RanNo || caller.answeredAfter > stopRunTime/10 {
					t.Errorf("rejected with %+v after %v, want draining, not run, at once", caller.err, caller.answeredAfter)
				}
			}
		}
		if stopped != waiting || len(h.sentTo) != sends {
			t.Errorf("%d requests rejected, %d sends after the begin of the stop; want %d and none", stopped, len(h.sentTo)-sends, waiting)
		}
	})
}

// Guards against requests that are cut without an answer at the end of a stop because their targets take longer than usual, and
// against answers that have begun and are ended before the connections are.
func TestUnansweredRequestIsAnsweredAtTheEndOfAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left = 4 * stopRunTime
		h, stop := newStopHarness(t, neverAnswer)
		beginStop(t, stop, left)
		caller := h.serveOn(stopRoute(serving.KindUnsafe))
		h.expectStopped(t, caller, errs.RanUnknown, 1)
		if caller.answeredAfter != left {
			t.Errorf("answered after %v, want %v", caller.answeredAfter, left)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		h, stop := newStopHarness(t, streamAnswer(firstEvents+lastEvents, nil))
		beginStop(t, stop, 4*stopRunTime)
		isFirst := true
		caller := &fakeCaller{onWrite: func() {
			if isFirst { // the rest comes after the end
				isFirst = false
				time.Sleep(5 * stopRunTime)
			}
		}}
		if h.serve(context.Background(), stopRoute(serving.KindStream), caller); caller.isAborted || caller.body.String() != firstEvents+lastEvents {
			t.Errorf("aborted %t, body %q; want the whole stream", caller.isAborted, caller.body.String())
		}
	})
}
