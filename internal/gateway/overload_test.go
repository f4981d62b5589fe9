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

// Guards against congestion collapse: if every request is admitted during an overload of a few seconds, all
// answers are late. First attempts that can't be answered in time must be rejected, and their retries served.
func TestOverloadRejectsFirstAttemptsAndServesRetries(t *testing.T) {
	const (
		holdTime      = 800 * time.Millisecond
		callerTimeout = 5 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1, delayed(holdTime, streamAnswer(firstEvents, nil)))
		send := func(timeLeft time.Duration) *fakeCaller {
			caller := &fakeCaller{}
			h.gw.Serve(context.Background(), newRoute(serving.KindStream, 1, false), &serving.Request{ID: "id", Arrived: time.Now(), Deadline: time.Now().Add(timeLeft)}, caller)
			return caller
		}
		for range 10 { // none of them is queued; the gateway derives from them how long callers wait and how long requests hold a slot
			if caller := send(callerTimeout); caller.err != nil {
				t.Fatal(caller.err)
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
			caller := <-answers
			if caller.err == nil {
				continue
			}
			rejected++
			if caller.err.Type != errs.Overloaded || caller.err.Ran != errs.RanNo || caller.err.RetryAfterMs < 1000 || caller.err.RetryAfterMs > callerTimeout.Milliseconds()/shed.MaxRetryDivisor {
				t.Errorf("rejected with %+v, want type overloaded, not run, and RetryAfterMs from 1000 to the caller timeout / shed.LeftShare", caller.err)
			}
		}
		if rejected != burst-5 {
			t.Errorf("%d of %d first attempts rejected, want 7", rejected, burst)
		}
		for range burst { // callers on their second attempt stay in the queue, whatever its length
			go func() { answers <- send(callerTimeout - time.Second) }()
			synctest.Wait()
		}
		for range burst {
			if caller := <-answers; caller.err != nil {
				t.Errorf("second attempt rejected with %+v, want no error", caller.err)
			}
		}
	})
}
