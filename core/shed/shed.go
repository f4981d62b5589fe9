// Package shed implements admission control for online requests with a latency goal. A gateway uses it to
// decide which requests it sends to a target, rejects or queues while more of them arrive than the targets
// can answer in time.
//
// Engines serve requests in order of arrival. In an overload of a few seconds every request would therefore
// wait in the engines' queues until the overload ends, and all of them would be late. The controller keeps
// these queues so short that a request that waits there can still meet its latency goal. A first attempt
// beyond that is rejected immediately with a time to retry after. A second attempt is queued rather than
// rejected, because callers retry only once. It is sent as soon as there is capacity that no request able to
// meet its goal needs. Requests that cannot be sent before their caller's timeout are rejected immediately.
package shed

import (
	"slices"
	"time"

	"arbutusramp/core/policy"
)

const (
	// maxWaitShare is the share of its goal that a request may wait for a slot. The rest is for prefilling
	// the prompt, which takes 50 to 70 ms of a goal of 300 ms.
	maxWaitShare = 0.75
	// MaxRetryDivisor limits the retry time: callers honour one of up to their remaining time divided by
	// MaxRetryDivisor.
	MaxRetryDivisor = 3
	// minRetryHoldTimes is the shortest retry time, as a multiple of the time for which a request holds a
	// slot. Earlier than that the targets are as full as before.
	minRetryHoldTimes = 1.5
	// queuedWaitShare is the longest expected wait for a slot with which a queued request is sent, as a share
	// of its maxWait. It is below 1 because newly arrived requests, which are sent up to their maxWait, come
	// first.
	queuedWaitShare = 0.34
	// maxQueueTimeShare is the longest time that a request is queued, as a share of the time for which its
	// caller waits. After that it is sent regardless of the engines' queues: it must still get its first
	// event before its caller gives up, even in a lasting overload.
	maxQueueTimeShare = 0.75
	// minDequeueRateShare is the lowest expected rate at which queued requests are sent, as a share of the
	// gateway's start rate. With an expected rate near zero, requests would still be rejected after the
	// overload has ended.
	minDequeueRateShare = 0.1
	// gapWeight is the weight of a new observation in the moving average of the time between two dequeued
	// requests (see dequeueGap), 0 to 1.
	gapWeight = 0.2
)

// Request holds what the controller needs to decide on one request.
type Request struct {
	ExpectedWait   time.Duration // expected time until a slot is free for the request
	HoldTime       time.Duration // how long requests hold a slot; 0 if unknown
	StartRate      float64       // requests per second that this gateway may start; 0 if unknown
	LatencyGoal    time.Duration // latency goal: an answer that takes longer is late; 0 for none
	Remaining      time.Duration // time until the caller gives up; 0 if unknown
	InitialTimeout time.Duration // how long callers of the route wait on their first attempt; 0 if unknown
	IdleTimeout    time.Duration // how long the caller waits without receiving an event; 0 for as long as Remaining
	HigherRanks    int           // number of more urgent ranks among requests for the same targets
	// ServiceTime is the expected time from the start in a slot to the first event or, for a call, to the whole
	// answer. With 0 (unknown) decisions use a fixed share of the goal, and CapacityAfter is not used.
	ServiceTime time.Duration
	// WaitStep is by how much each request ahead in the queue extends ExpectedWait; 0 if unknown. It is used only with
	// ServiceTime.
	WaitStep time.Duration
	// CapacityAfter is the time until the forecast of the demand expects free capacity; 0 if unknown.
	CapacityAfter time.Duration
	Share         Share // position of the request's workspace in the division of the capacity
}

// maxWait is how long the request may wait for a slot and still meet its goal. Less urgent requests may wait
// less, which leaves the engines' queues to more urgent requests.
func (r Request) maxWait() time.Duration {
	if r.ServiceTime > 0 {
		return r.maxExpectedWait()
	}
	return time.Duration(maxWaitShare * float64(r.LatencyGoal) / float64(1+r.HigherRanks))
}

// isFirstAttempt reports whether the caller has not sent the request before: on a second attempt less than
// the initial timeout remains. It is false if the initial timeout is unknown.
func (r Request) isFirstAttempt() bool {
	return r.InitialTimeout > 0 && r.Remaining >= r.InitialTimeout
}

// maxQueueTime is how long the request may be queued: a share of the time until its caller gives up.
func (r Request) maxQueueTime() time.Duration {
	timeLeft := r.IdleTimeout
	if timeLeft == 0 || r.Remaining > 0 && r.Remaining < timeLeft {
		timeLeft = r.Remaining
	}
	queueTime := time.Duration(maxQueueTimeShare * float64(timeLeft))
	if r.Share.IsOver {
		return r.limitOverShareQueueTime(queueTime)
	}
	return queueTime
}

// retryAfter is the time after which the caller should retry: when a slot is expected to be free, but not
// before engines have had time to free slots, and no later than callers honour. Callers that arrive one after
// the other get retry times as far apart as their arrivals.
func (r Request) retryAfter() time.Duration {
	return min(r.Remaining/MaxRetryDivisor, max(r.ExpectedWait, time.Duration(minRetryHoldTimes*float64(r.HoldTime))))
}

// Verdict is the decision on a request.
type Verdict uint8

const (
	// Send passes the request to a target.
	Send Verdict = iota
	// RetryLater rejects the request with a time to retry after.
	RetryLater
	// Queue keeps the request until there is capacity.
	Queue
	// Reject rejects the request as one that cannot be served.
	Reject
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"send", "come back", "hold", "refuse"}[v] }

// Decision is the verdict on a request that has just arrived, with its details.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration  // how long the caller should wait before it retries; set with RetryLater, and with Reject if the service time is known
	Queued     *QueuedRequest // the request's place in the queue; set with Queue
}

// QueuedRequest is a request that waits at the gateway for capacity. At expiresAt it is sent regardless of
// the engines' queues, unless its workspace is over its share.
type QueuedRequest struct {
	expiresAt time.Time
	deadline  time.Time // when the caller gives up; zero if unknown
	// goalAt is until when the request can still be answered within its latency goal; zero if that has no influence
	// on the order.
	goalAt time.Time
	key    queueKey
}

// Controller decides on the online requests of one service at one gateway. It does no I/O, uses no clock and
// is not safe for concurrent use.
type Controller struct {
	// Disabled is the set of disabled mechanisms.
	Disabled policy.Disabled

	queue       []*QueuedRequest // in order of their keys, and then of arrival; see also IsFirst
	dequeueGap  time.Duration    // moving average of the time between two requests sent from the queue, without expired ones; 0 if unknown
	retries     retrySchedule    // of rejected requests with a known service time
	lastDequeue time.Time        // when an unexpired request was last sent from the queue, or when the queue last became non-empty
}

// Arrive decides on a request that has just arrived. With the verdict Queue the request is in the queue until
// Dequeue is called for it.
func (c *Controller) Arrive(now time.Time, r Request) Decision {
	if r.Share.IsOver {
		return c.arriveOverShare(now, r)
	}
	if r.ServiceTime > 0 {
		return c.arriveExpected(now, r)
	}
	switch {
	case r.LatencyGoal == 0 || r.ExpectedWait <= r.maxWait():
		return Decision{Verdict: Send}
	case r.isFirstAttempt() && c.Disabled.IsEnabled(policy.RetryLater):
		return Decision{Verdict: RetryLater, RetryAfter: r.retryAfter()}
	case r.isFirstAttempt() || !c.Disabled.IsEnabled(policy.QueueRetries):
		return Decision{Verdict: Send}
	case c.queuedBefore(r.queueKey()) >= c.maxQueued(now, r):
		return Decision{Verdict: Reject}
	}
	return c.enqueue(now, r)
}

// enqueue puts a request into the queue.
func (c *Controller) enqueue(now time.Time, r Request) Decision {
	q := &QueuedRequest{expiresAt: now.Add(r.maxQueueTime()), key: r.queueKey()}
	if r.Remaining > 0 {
		q.deadline = now.Add(r.Remaining)
	}
	if r.ServiceTime > 0 {
		q.goalAt = now.Add(r.maxWait())
	}
	if len(c.queue) == 0 {
		c.lastDequeue = now
	}
	c.queue = slices.Insert(c.queue, c.queuedBefore(q.key), q)
	return Decision{Verdict: Queue, Queued: q}
}

// maxQueued is how many requests may be queued: as many as are expected to be sent within the maximum queue
// time of r, but at least one.
func (c *Controller) maxQueued(now time.Time, r Request) int {
	return max(1, int(c.dequeueRate(now, r.StartRate)*r.maxQueueTime().Seconds()))
}

// dequeueRate is how many queued requests per second are expected to be sent. It is startRate, in requests per
// second, while no time between two of them has been observed.
func (c *Controller) dequeueRate(now time.Time, startRate float64) float64 {
	gap := c.dequeueGap
	if len(c.queue) > 0 {
		gap = max(gap, now.Sub(c.lastDequeue))
	}
	if gap <= 0 {
		return startRate
	}
	return max(1/gap.Seconds(), minDequeueRateShare*startRate)
}

// Recheck decides on a queued request with the input r as of now; the verdict is Send or Queue, RetryLater for an
// expired one of a workspace over its share, or Reject for one with a known service time that cannot be answered
// any more before its caller gives up. Requests are sent in the order of the queue, except expired ones.
func (c *Controller) Recheck(now time.Time, q *QueuedRequest, r Request) Verdict {
	if q.key.isOver {
		return c.recheckOverShare(now, q, r)
	}
	if r.ServiceTime > 0 && !q.deadline.IsZero() && !r.canBeServed(max(1, q.deadline.Sub(now))) {
		return Reject
	}
	if !now.Before(q.expiresAt) {
		return Send // the caller gives up soon: the engine's queue is the only place left to wait
	}
	if !c.IsFirst(now, q) {
		return Queue
	}
	if float64(r.ExpectedWait) <= queuedWaitShare*float64(r.maxWait()) {
		return Send
	}
	return Queue
}

// IsFirst reports whether q is the next request of the queue to be sent: the first one that can still meet its
// latency goal, or else the first one. In the order of arrival alone, each request of a lasting overload would wait
// until it is late, and the ones after it as well.
func (c *Controller) IsFirst(now time.Time, q *QueuedRequest) bool {
	if i := slices.IndexFunc(c.queue, func(o *QueuedRequest) bool { return !o.isLate(now) }); i >= 0 {
		return c.queue[i] == q
	}
	return len(c.queue) > 0 && c.queue[0] == q
}

// isLate reports whether the request can no longer be answered within its latency goal. It is false for requests
// without a known service time.
func (q *QueuedRequest) isLate(now time.Time) bool { return !q.goalAt.IsZero() && now.After(q.goalAt) }

// IsExpired reports whether the request has reached its maximum queue time.
func (q *QueuedRequest) IsExpired(now time.Time) bool { return !now.Before(q.expiresAt) }

// Dequeue removes a request from the queue. isSent is true if it is sent to a target and false if its caller
// has given up. An expired request does not count as an observation of the dequeue rate, because it is sent
// without free capacity.
func (c *Controller) Dequeue(now time.Time, q *QueuedRequest, isSent bool) {
	for i, other := range c.queue {
		if other == q {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			break
		}
	}
	if !isSent || q.IsExpired(now) {
		return
	}
	gap := now.Sub(c.lastDequeue)
	c.lastDequeue = now
	if c.dequeueGap == 0 {
		c.dequeueGap = gap
		return
	}
	c.dequeueGap += time.Duration(gapWeight * float64(gap-c.dequeueGap))
}
