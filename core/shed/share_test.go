package shed

import (
	"testing"
	"time"

	"arbutusramp/core/policy"
)

// secondAttempt returns a request that has to wait, at its second attempt.
func shareSecondAttempt(share Share) Request {
	r := typicalRequest()
	r.ExpectedWait, r.Remaining, r.Share = 280*ms, 4400*ms, share
	return r
}

// Guards against requests of a workspace over its share that take places in the queues which others need: they are sent
// only into free slots, and rejected with a retry time otherwise.
func TestArriveOverShare(t *testing.T) {
	over := Share{IsDivided: true, IsOver: true}
	admitted := Share{IsDivided: true, IsOver: true, IsAdmitted: true}
	free := Share{IsDivided: true, IsOver: true, IsAdmitted: true, IsSlotFree: true}
	usedUp := Share{IsDivided: true, IsOver: true, IsSlotFree: true}
	for _, c := range []struct {
		name           string
		request        Request
		off            policy.Disabled
		want           Verdict
		wantRetryAfter time.Duration
	}{
		{"a free slot", firstAttempt(free), nil, Send, 0},
		{"a used-up share", firstAttempt(usedUp), nil, RetryLater, 1200 * ms},
		{"no free slot, though the wait is within the goal", firstAttempt(admitted), nil, RetryLater, 1200 * ms},
		{"a second attempt with a used-up share", shareSecondAttempt(over), nil, RetryLater, 1200 * ms},
		{"a second attempt without a free slot", shareSecondAttempt(admitted), nil, Queue, 0},
		{"a second attempt without the queue", shareSecondAttempt(admitted), policy.Disabled{policy.QueueRetries: true}, RetryLater, 1200 * ms},
	} {
		got := (&Controller{Disabled: c.off}).Arrive(start, c.request)
		if got.Verdict != c.want || got.RetryAfter != c.wantRetryAfter {
			t.Errorf("%s: verdict %v with a retry time of %v, want %v with %v", c.name, got.Verdict, got.RetryAfter, c.want, c.wantRetryAfter)
		}
	}
	hasty := firstAttempt(over)
	hasty.Remaining, hasty.InitialTimeout = 900*ms, 900*ms
	if got := new(Controller).Arrive(start, hasty); got.RetryAfter != 300*ms {
		t.Errorf("a caller that waits 900 ms is told to retry after %v, want a third of that", got.RetryAfter)
	}
}

// firstAttempt returns a request that has to wait for less than its goal allows, at its first attempt.
func firstAttempt(share Share) Request {
	r := typicalRequest()
	r.ExpectedWait, r.Share = 100*ms, share
	return r
}

// Guards against a queue in order of arrival while capacity is divided: requests of workspaces within their share go first
// within a rank, and without a division the order of arrival stays.
func TestQueueOrderByRankAndShare(t *testing.T) {
	for _, isDivided := range []bool{true, false} {
		var c Controller
		arrive := func(rank int, isOver bool) *QueuedRequest {
			r := shareSecondAttempt(Share{IsDivided: isDivided, IsOver: isOver, IsAdmitted: isOver})
			r.HigherRanks, r.StartRate = rank, 100
			d := c.Arrive(start, r)
			if d.Verdict != Queue {
				t.Fatalf("verdict %v, want it queued", d.Verdict)
			}
			return d.Queued
		}
		over := func(isOver bool) bool { return isOver && isDivided }
		arrivals := []*QueuedRequest{arrive(1, false), arrive(0, over(true)), arrive(1, false), arrive(0, false), arrive(0, over(true)), arrive(0, false)}
		want := []int{0, 1, 2, 3, 4, 5}
		if isDivided {
			want = []int{3, 5, 1, 4, 0, 2}
		}
		for place, i := range want {
			if !c.IsFirst(start, arrivals[i]) {
				t.Errorf("divided %v: arrival %d is not at place %d, want the order %v", isDivided, i, place, want)
			}
			c.Dequeue(start, arrivals[i], true)
		}
	}
}

// Guards against queued requests of a workspace over its share that reach the engines' queues, or that wait until they
// are late.
func TestQueuedRequestOverShareNeedsFreeSlot(t *testing.T) {
	var c Controller
	share := Share{IsDivided: true, IsOver: true, IsAdmitted: true}
	r := shareSecondAttempt(share)
	q := c.Arrive(start, r).Queued
	r.ExpectedWait = 1 * ms // a wait with which other queued requests are sent
	if got := c.Recheck(start.Add(10*ms), q, r); got != Queue {
		t.Errorf("without a free slot the verdict is %v, want it queued", got)
	}
	if got := c.Recheck(start.Add(r.LatencyGoal), q, r); got != RetryLater {
		t.Errorf("after the goal the verdict is %v, want it rejected", got)
	}
	r.Share.IsSlotFree = true
	if got := c.Recheck(start.Add(20*ms), q, r); got != Send {
		t.Errorf("with a free slot the verdict is %v, want it sent", got)
	}
}
