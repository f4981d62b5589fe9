package shed

import (
	"cmp"
	"sort"
	"time"

	"arbutusramp/core/policy"
)

// Share is the position of a request's workspace in the division of the capacity between workspaces.
type Share struct {
	IsDivided  bool // the capacity is divided between workspaces
	IsOver     bool // the workspace requests more than its share
	IsAdmitted bool // of a request over its share: the share is not used up, so that the request may use a free slot
	IsSlotFree bool // of a request over its share: a slot is free
}

// minShareRetry is the shortest time after which a request over its share should be retried. Within it the measured
// work of the workspaces hardly changes, so that an earlier attempt would be rejected as well.
const minShareRetry = 500 * time.Millisecond

// IsSecondAttempt reports whether the caller is known to have sent the request before.
func (r Request) IsSecondAttempt() bool {
	return r.InitialTimeout > 0 && r.Remaining > 0 && r.Remaining < r.InitialTimeout
}

// arriveOverShare decides on a request of a workspace over its share: it is sent only into a free slot that no
// queued request within its share needs. Otherwise a first attempt is rejected immediately, so that it takes no
// place in the queues that the other workspaces need. A second attempt is queued behind them while the share is not
// used up.
func (c *Controller) arriveOverShare(now time.Time, r Request) Decision {
	isQueueEmpty := c.queuedBefore(r.queueKey()) == 0
	switch {
	case r.Share.IsAdmitted && r.Share.IsSlotFree && isQueueEmpty:
		return Decision{Verdict: Send}
	case !r.Share.IsAdmitted || !r.IsSecondAttempt() || !c.Disabled.IsEnabled(policy.QueueRetries):
		return Decision{Verdict: RetryLater, RetryAfter: r.shareRetryAfter()}
	case c.queuedBefore(r.queueKey()) >= c.maxQueued(now, r):
		return Decision{Verdict: RetryLater, RetryAfter: r.shareRetryAfter()}
	}
	return c.enqueue(now, r)
}

// limitOverShareQueueTime limits the time for which a request of a workspace over its share is queued to the time after
// which it would miss its latency goal. Such requests arrive about as fast as slots become free for them, so that
// with a longer time the queue would fill and nearly all of them would be late.
func (r Request) limitOverShareQueueTime(queueTime time.Duration) time.Duration {
	if r.LatencyGoal == 0 {
		return queueTime
	}
	return min(queueTime, r.maxWait())
}

// shareRetryAfter is the time after which the caller of a request over its share should retry.
func (r Request) shareRetryAfter() time.Duration {
	after := max(minShareRetry, r.ExpectedWait, time.Duration(minRetryHoldTimes*float64(r.HoldTime)))
	if r.Remaining <= 0 {
		return after
	}
	return min(r.Remaining/MaxRetryDivisor, after)
}

// recheckOverShare is Recheck for a request of a workspace over its share. An expired one is rejected: in the
// queue of an engine it would delay the requests of the other workspaces.
func (c *Controller) recheckOverShare(now time.Time, q *QueuedRequest, r Request) Verdict {
	switch {
	case c.IsFirst(now, q) && r.Share.IsSlotFree:
		return Send
	case q.IsExpired(now):
		return RetryLater
	}
	return Queue
}

// queueKey orders queued requests, lowest first. All keys are equal while the capacity is not divided between
// workspaces.
type queueKey struct {
	rank   int // number of more urgent ranks
	isOver bool
}

// queueKey returns the key of the request.
func (r Request) queueKey() queueKey {
	if !r.Share.IsDivided {
		return queueKey{}
	}
	return queueKey{rank: r.HigherRanks, isOver: r.Share.IsOver}
}

// compare orders keys by rank and, within a rank, requests of workspaces within their share first.
func (k queueKey) compare(o queueKey) int {
	return cmp.Or(cmp.Compare(k.rank, o.rank), compareBool(k.isOver, o.isOver))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// queuedBefore returns the number of queued requests that are sent before a new one with a key.
func (c *Controller) queuedBefore(key queueKey) int {
	return sort.Search(len(c.queue), func(i int) bool { return c.queue[i].key.compare(key) > 0 })
}
