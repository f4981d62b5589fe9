package shed

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// typicalRequest returns a first attempt at a service whose requests hold a slot for 800 ms.
func typicalRequest() Request {
	return Request{HoldTime: 800 * ms, StartRate: 10, LatencyGoal: 300 * ms, Remaining: 5000 * ms, InitialTimeout: 5000 * ms, IdleTimeout: 2000 * ms}
}

func TestArrive(t *testing.T) {
	cases := []struct {
		name           string
		change         func(*Request)
		want           Verdict
		wantRetryAfter time.Duration
	}{
		{"a free slot", func(*Request) {}, Send, 0},
		{"a wait within the goal", func(r *Request) { r.ExpectedWait = 225 * ms }, Send, 0},
		{"a wait just beyond the goal", func(r *Request) { r.ExpectedWait = 226 * ms }, RetryLater, 1200 * ms},
		{"a wait allowed only to more urgent requests", func(r *Request) { r.ExpectedWait, r.HigherRanks = 120*ms, 1 }, RetryLater, 1200 * ms},
		{"a long wait", func(r *Request) { r.ExpectedWait = 1500 * ms }, RetryLater, 1500 * ms},
		{"a wait longer than the longest retry time callers honour", func(r *Request) { r.ExpectedWait = 1700 * ms }, RetryLater, 5000 * ms / 3},
		{"no goal", func(r *Request) { r.ExpectedWait, r.LatencyGoal = time.Second, 0 }, Send, 0},
		{"a second attempt", func(r *Request) { r.ExpectedWait, r.Remaining = time.Second, 4400*ms }, Queue, 0},
		{"an unknown initial timeout", func(r *Request) { r.ExpectedWait, r.InitialTimeout = time.Second, 0 }, Queue, 0},
		{"a caller without a timeout", func(r *Request) { r.ExpectedWait, r.Remaining = time.Second, 0 }, Queue, 0},
		{"a caller with a short timeout", func(r *Request) { r.ExpectedWait, r.Remaining, r.InitialTimeout = time.Second, 1500*ms, 1500*ms }, RetryLater, 500 * ms},
	}
	for _, c := range cases {
		r := typicalRequest()
		c.change(&r)
		got := new(Controller).Arrive(start, r)
		if got.Verdict != c.want || got.RetryAfter != c.wantRetryAfter {
			t.Errorf("%s: verdict %v with a retry time of %v, want %v with %v", c.name, got.Verdict, got.RetryAfter, c.want, c.wantRetryAfter)
		}
	}
}

// Guards against callers rejected within a second, a hundred or more, that all retry at the same moment and
// cause the next overload. That happens when their retry times end at a common moment and do not count from
// each caller's own rejection.
func TestRetryTimesAreSpreadOut(t *testing.T) {
	var c Controller
	r := typicalRequest()
	r.ExpectedWait = 400 * ms
	retriesPer100ms := make(map[time.Duration]int)
	const callers = 200
	for i := range callers {
		now := start.Add(time.Duration(i) * 2 * ms)
		got := c.Arrive(now, r)
		if got.Verdict != RetryLater || got.RetryAfter < 1200*ms || got.RetryAfter > r.Remaining/MaxRetryDivisor {
			t.Fatalf("caller %d: verdict %v with a retry time of %v, want come back with at least 1.2s and at most 5s/3", i, got.Verdict, got.RetryAfter)
		}
		retriesPer100ms[now.Add(got.RetryAfter).Sub(start).Truncate(100*ms)]++
	}
	for retryTime, n := range retriesPer100ms {
		if n > callers/4 {
			t.Errorf("%d of %d callers retry within the same 100 ms, %v after the start, want at most a quarter", n, callers, retryTime)
		}
	}
}

// Guards against second attempts that take slots from requests able to meet their goal, so that all are late
// in a lasting overload. That happens when second attempts are sent regardless of the expected wait for a
// slot.
func TestQueuedRequestsYieldToFirstAttempts(t *testing.T) {
	var c Controller
	retry := typicalRequest()
	retry.ExpectedWait, retry.Remaining = 300*ms, 3800*ms
	first := c.Arrive(start, retry)
	second := c.Arrive(start, retry)
	if first.Verdict != Queue || second.Verdict != Queue {
		t.Fatalf("verdicts %v and %v on two second attempts, want hold for both", first.Verdict, second.Verdict)
	}
	retry.ExpectedWait = 200 * ms // a first attempt would still be sent with this wait
	if v := c.Recheck(start.Add(10*ms), first.Queued, retry); v != Queue {
		t.Errorf("verdict %v on the first queued request with an expected wait of 200 ms, want hold", v)
	}
	retry.ExpectedWait = 50 * ms
	if v := c.Recheck(start.Add(20*ms), second.Queued, retry); v != Queue {
		t.Errorf("verdict %v on the second queued request while the first is queued, want hold", v)
	}
	if v := c.Recheck(start.Add(20*ms), first.Queued, retry); v != Send {
		t.Errorf("verdict %v on the first queued request with an expected wait of 50 ms, want send", v)
	}
	c.Dequeue(start.Add(20*ms), first.Queued, true)
	if v := c.Recheck(start.Add(20*ms), second.Queued, retry); v != Send {
		t.Errorf("verdict %v on the second queued request after the first was sent, want send", v)
	}
}

// Guards against queued second attempts that wait until their callers give up while new requests are served.
// That happens when capacity usable by new requests is reserved for them throughout the overload. A queued
// request must be sent while its caller still waits, and one for which that is not expected must be rejected
// immediately.
func TestQueuedRequestsAreSentWithinMaxQueueTime(t *testing.T) {
	var c Controller
	retry := typicalRequest()
	retry.ExpectedWait, retry.Remaining = 300*ms, 3800*ms
	queuedSince := make(map[*QueuedRequest]time.Time)
	sent, rejected := 0, 0
	for i := range 500 { // five seconds with a caller every 20 ms, five times the start rate of this gateway
		now := start.Add(time.Duration(i) * 10 * ms)
		if i%2 == 0 {
			got := c.Arrive(now, retry)
			if got.Verdict == Reject {
				rejected++
			} else {
				queuedSince[got.Queued] = now
			}
		}
		for queued, since := range queuedSince {
			if c.Recheck(now, queued, retry) == Queue {
				continue
			}
			if now.Sub(since) > retry.maxQueueTime()+10*ms {
				t.Fatalf("a request was queued for %v, want at most 1.51s", now.Sub(since))
			}
			c.Dequeue(now, queued, true)
			delete(queuedSince, queued)
			sent++
		}
	}
	if sent+rejected+len(queuedSince) != 250 || sent < 10 {
		t.Errorf("%d queued requests were sent, %d were rejected, %d are still queued; want 250 in total and at least 10 sent", sent, rejected, len(queuedSince))
	}
	if rejected < 100 {
		t.Errorf("%d of 250 requests were rejected, want at least 100", rejected)
	}
}

func TestDequeueRemovesCancelledRequest(t *testing.T) {
	var c Controller
	retry := typicalRequest()
	retry.ExpectedWait, retry.Remaining = 300*ms, 3800*ms
	first := c.Arrive(start, retry)
	second := c.Arrive(start, retry)
	c.Dequeue(start.Add(ms), first.Queued, false)
	if len(c.queue) != 1 || !c.IsFirst(start, second.Queued) {
		t.Errorf("%d requests are queued after the first was removed, want 1, the second", len(c.queue))
	}
}
