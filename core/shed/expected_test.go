package shed

import (
	"slices"
	"testing"
	"time"

	"arbutusramp/core/policy"
)

// callRequest returns a first attempt of a call of 100 ms with a goal of 300 ms.
func callRequest() Request {
	return Request{HoldTime: 100 * ms, ServiceTime: 100 * ms, WaitStep: 10 * ms, StartRate: 50, LatencyGoal: 300 * ms, Remaining: 5000 * ms, InitialTimeout: 5000 * ms, IdleTimeout: 2000 * ms}
}

// secondAttempt returns a second attempt of such a call that would have to wait for longer than its goal allows.
func secondAttempt() Request {
	r := callRequest()
	r.Remaining, r.ExpectedWait = 3500*ms, 300*ms
	return r
}

// Guards against waits that leave too little of the goal for the answer, and against requests that are sent although
// their callers will have given up.
func TestArriveWithAServiceTime(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Request)
		want   Verdict
	}{
		{"a free slot", func(*Request) {}, Send},
		{"a wait that the goal leaves", func(r *Request) { r.ExpectedWait = 165 * ms }, Send},
		{"a wait longer than the goal leaves", func(r *Request) { r.ExpectedWait = 166 * ms }, RetryLater},
		{"a wait allowed only to more urgent requests", func(r *Request) { r.ExpectedWait, r.HigherRanks = 100*ms, 1 }, RetryLater},
		{"a free slot where even that misses the goal", func(r *Request) { r.ServiceTime, r.HoldTime = time.Second, time.Second }, Send},
		{"a short wait where even a free slot misses the goal", func(r *Request) { r.ServiceTime, r.HoldTime, r.ExpectedWait = time.Second, time.Second, 30*ms }, Send},
		{"a second attempt that misses its goal", func(r *Request) { *r = secondAttempt() }, Queue},
		{"an answer after the caller has given up", func(r *Request) { r.ExpectedWait = 4950 * ms }, Reject},
		{"the same without a goal", func(r *Request) { r.ExpectedWait, r.LatencyGoal = 4950*ms, 0 }, Reject},
		{"a caller without a timeout", func(r *Request) { r.ExpectedWait, r.Remaining, r.InitialTimeout = time.Hour, 0, 0 }, Queue},
		{"a predicted duration far above the mean", func(r *Request) { r.ServiceTime = time.Hour }, Send},
	}
	for _, c := range cases {
		r := callRequest()
		c.change(&r)
		if got := new(Controller).Arrive(start, r); got.Verdict != c.want {
			t.Errorf("%s: verdict %v, want %v", c.name, got.Verdict, c.want)
		}
	}
}

// Guards against second attempts that find the targets full of first attempts: their callers retry only once.
func TestSecondAttemptsGoFirst(t *testing.T) {
	var c Controller
	queued := c.Arrive(start, secondAttempt())
	first := callRequest()
	first.ExpectedWait = ms
	if got := c.Arrive(start, first); queued.Verdict != Queue || got.Verdict != RetryLater {
		t.Errorf("verdict %v on a second attempt and %v on a first attempt that would wait after it, want hold and come back", queued.Verdict, got.Verdict)
	}
	first.ExpectedWait = 0
	if got := c.Arrive(start, first); got.Verdict != Send {
		t.Errorf("verdict %v on a first attempt with a free slot, want send", got.Verdict)
	}
	c = Controller{}
	first.ExpectedWait = 200 * ms
	for range 20 {
		c.Arrive(start, first)
	}
	first.ExpectedWait = 160 * ms
	if got := c.Arrive(start, first); got.Verdict != Send {
		t.Errorf("verdict %v on a first attempt long before the retries are due, want send", got.Verdict)
	}
	if got := c.Arrive(start.Add(300*ms), first); got.Verdict != RetryLater {
		t.Errorf("verdict %v on a first attempt while retries are due, want come back", got.Verdict)
	}
	first.Remaining = 3500 * ms
	if got := c.Arrive(start.Add(300*ms), first); got.Verdict != Send {
		t.Errorf("verdict %v on a second attempt at its time, want send", got.Verdict)
	}
}

// Guards against a stampede: callers that are rejected at the same moment, or told to wait for the same fall of the demand,
// must not all retry at one time.
func TestRetryTimesAreSpreadOverCallers(t *testing.T) {
	for _, c := range []struct {
		name          string
		capacityAfter time.Duration
		disabled      policy.Disabled
		from, to      time.Duration
	}{
		{"no forecast", 0, nil, 150 * ms, 5000 * ms / 3},
		{"a forecast", 600 * ms, nil, 600 * ms, 5000 * ms / 3},
		{"capacity only after the longest retry time", 5000 * ms / 3, nil, 1166 * ms, 5000 * ms / 3},
		{"forecast disabled", 600 * ms, policy.Disabled{policy.RetryForecast: true}, 150 * ms, 5000 * ms / 3},
	} {
		controller := Controller{Disabled: c.disabled}
		r := callRequest()
		r.ExpectedWait, r.CapacityAfter = 200*ms, c.capacityAfter
		const callers = 400
		var delays []time.Duration
		for range callers {
			d := controller.Arrive(start, r)
			if d.Verdict != RetryLater || d.RetryAfter < c.from || d.RetryAfter > c.to {
				t.Fatalf("%s: verdict %v with a retry time of %v, want come back with %v to %v", c.name, d.Verdict, d.RetryAfter, c.from, c.to)
			}
			delays = append(delays, d.RetryAfter)
		}
		slices.Sort(delays)
		for i := range callers - callers/4 {
			if delays[i+callers/4]-delays[i] < 100*ms {
				t.Fatalf("%s: a quarter of %d callers rejected at once retry within %v, want at least 100ms", c.name, callers, delays[i+callers/4]-delays[i])
			}
		}
		if first := delays[0]; first > max(c.from, 200*ms)+20*ms {
			t.Errorf("%s: the first caller retries after %v, want about %v", c.name, first, max(c.from, 200*ms))
		}
	}
}

// Guards against rejecting second attempts that can still be served: their callers do not retry again.
func TestFullQueueRejectsOnlyWhatCannotBeServed(t *testing.T) {
	fill := func(capacityAfter time.Duration, disabled policy.Disabled) int {
		c := Controller{Disabled: disabled}
		r := secondAttempt()
		r.CapacityAfter = capacityAfter
		c.Arrive(start, r)
		n := 1
		for c.Arrive(start.Add(1000*ms), r).Verdict == Queue { // nothing is sent for a second, so the expected rate is low
			n++
		}
		return n
	}
	without, with := fill(0, nil), fill(500*ms, nil)
	if without > 10 || with < 45 || with > 50 {
		t.Errorf("%d second attempts are queued without a forecast and %d with capacity expected after 500 ms, want at most 10, and 45 to 50: as many as are started from then on within the maximum queue time", without, with)
	}
	if off := fill(500*ms, policy.Disabled{policy.RetryForecast: true}); off != without {
		t.Errorf("%d second attempts are queued with the forecast disabled, want %d as without one", off, without)
	}
}

// Guards against queued requests that get no answer before their deadline although it is known earlier that none can come.
func TestQueuedRequestThatCannotBeServedIsRejected(t *testing.T) {
	var c Controller
	r := secondAttempt()
	r.Remaining, r.InitialTimeout = 1000*ms, 3000*ms
	d := c.Arrive(start, r)
	if d.Verdict != Queue {
		t.Fatalf("verdict %v, want hold", d.Verdict)
	}
	if got := c.Recheck(start.Add(500*ms), d.Queued, r); got != Queue {
		t.Errorf("verdict %v with 500 ms left, a wait of 300 ms and a service time of 100 ms, want hold", got)
	}
	if got := c.Recheck(start.Add(601*ms), d.Queued, r); got != Reject {
		t.Errorf("verdict %v with 399 ms left, a wait of 300 ms and a service time of 100 ms, want refuse", got)
	}
}
