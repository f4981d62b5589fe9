package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
	"arbutusramp/core/shed"
)

// Guards against congestion collapse: an overload of a few seconds admits every request and all answers are
// late.
func TestOverloadRejectsFirstAttemptsAndServesRetries(t *testing.T) {
	const (
		holdTime      = 800 * time.Millisecond
		callerTimeout = 5 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(1, delayed(holdTime, streamAnswer(firstEvents, nil)))
		send := func(timeLeft time.Duration) *fakeCaller {
			out := &fakeCaller{}
			b.gw.Serve(context.Background(), newRoute(serving.KindStream, 1, false), &serving.Request{ID: "id", Arrived: time.Now(), Deadline: time.Now().Add(timeLeft)}, out)
			return out
		}
		for range 10 { // sequential requests without queueing, from which the gateway derives timeouts and hold times
			if out := send(callerTimeout); out.err != nil {
				t.Fatal(out.err)
			}
		}
		answers := make(chan *fakeCaller)
		const burst = 12 // 4 fill the slots, and 1 queued request can still be served in time
		for range burst {
			go func() { answers <- send(callerTimeout) }()
			synctest.Wait()
		}
		rejected := 0
		for range burst {
			out := <-answers
			if out.err == nil {
				continue
			}
			rejected++
			if out.err.Type != errs.Overloaded || out.err.Ran != errs.RanNo || out.err.RetryAfterMs < 1000 || out.err.RetryAfterMs > callerTimeout.Milliseconds()/shed.LeftShare {
				t.Errorf("%+v", out.err)
			}
		}
		if rejected != burst-5 {
			t.Errorf("%d of %d were rejected", rejected, burst)
		}
		for range burst { // callers on their second attempt stay in the queue, whatever its length
			go func() { answers <- send(callerTimeout - time.Second) }()
			synctest.Wait()
		}
		for range burst {
			if out := <-answers; out.err != nil {
				t.Errorf("rejected again: %+v", out.err)
			}
		}
	})
}
