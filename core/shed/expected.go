package shed

import (
	"math"
	"slices"
	"time"

	"arbutusramp/core/policy"
)

const (
	// serviceMargin is the factor by which a request may take longer in its slot than expected. Predictions are
	// within a quarter of the actual time at the median, and reports of other gateways' requests are some
	// milliseconds old.
	serviceMargin = 1.15
	// waitMarginSteps is the margin on an expected wait, in requests ahead in the queue. It is not known when the
	// requests in the slots have started, and requests that other gateways have just sent are not counted yet: with
	// a margin of half a request, a third of the requests with the longest wait is late.
	waitMarginSteps = 2
	// minExpectedWaitShare is the share of its goal that a request may always wait for a slot, so that requests
	// that miss their goal even in a free slot are still served, and targets are not idle between two of them.
	minExpectedWaitShare = 0.1
)

// maxExpectedWait is maxWait for a request with a known service time: the part of its goal that the service
// leaves.
func (r Request) maxExpectedWait() time.Duration {
	left := float64(r.LatencyGoal) - serviceMargin*float64(r.ServiceTime) - waitMarginSteps*float64(r.WaitStep)
	return time.Duration(max(left, minExpectedWaitShare*float64(r.LatencyGoal)) / float64(1+r.HigherRanks))
}

// firstEventTimeout is how long the caller waits for its first event or whole answer; 0 if unknown.
func (r Request) firstEventTimeout() time.Duration {
	if r.IdleTimeout == 0 || r.Remaining > 0 && r.Remaining < r.IdleTimeout {
		return r.Remaining
	}
	return r.IdleTimeout
}

// canBeServed reports whether a target can answer the request within timeLeft, 0 for an unknown time. The
// service time that counts is at most HoldTime, because a prediction from the size of one request may be far too long.
func (r Request) canBeServed(timeLeft time.Duration) bool {
	service := r.ServiceTime
	if r.HoldTime > 0 {
		service = min(service, r.HoldTime)
	}
	return timeLeft <= 0 || r.ExpectedWait+service <= timeLeft
}

// arriveExpected is Arrive for a request with a known service time. Second attempts go before first ones: their
// callers were told to retry at this time, and retry only once. While one is queued, a first attempt that would
// have to wait is rejected, and the wait of first attempts leaves room for the retries that are due.
func (c *Controller) arriveExpected(now time.Time, r Request) Decision {
	isFirst := r.isFirstAttempt() && c.Disabled.IsEnabled(policy.RetryLater)
	queued := c.queuedBefore(r.queueKey())
	switch {
	case !r.canBeServed(r.Remaining):
		return r.reject()
	case r.LatencyGoal == 0 || r.ExpectedWait == 0:
		return Decision{Verdict: Send}
	case isFirst && (queued > 0 || r.ExpectedWait > r.maxWait()-c.retries.wait(now, r)):
		return Decision{Verdict: RetryLater, RetryAfter: c.retries.schedule(now, r, c.Disabled.IsEnabled(policy.RetryForecast))}
	case r.ExpectedWait <= r.maxWait():
		return Decision{Verdict: Send}
	case r.isFirstAttempt() || !c.Disabled.IsEnabled(policy.QueueRetries):
		return Decision{Verdict: Send}
	case queued >= c.maxQueued(now, r) && !c.canServeBeyondQueue(now, r):
		return r.reject()
	}
	return c.enqueue(now, r)
}

// reject rejects the request as one that cannot be served. A retry before the latest time that callers honour
// would be rejected again.
func (r Request) reject() Decision {
	return Decision{Verdict: Reject, RetryAfter: r.Remaining / MaxRetryDivisor}
}

// canServeBeyondQueue reports whether a second attempt that finds the queue full is expected to be served before
// its caller gives up: at the rate at which queued requests are sent or, if the demand is expected to fall, at
// the start rate from then on.
func (c *Controller) canServeBeyondQueue(now time.Time, r Request) bool {
	ahead := float64(c.queuedBefore(r.queueKey()) + 1)
	timeLeft := r.firstEventTimeout() - time.Duration(serviceMargin*float64(r.ServiceTime))
	if rate := c.dequeueRate(now, r.StartRate); r.ExpectedWait+seconds(ahead/rate) <= timeLeft {
		return true
	}
	return r.CapacityAfter > 0 && c.Disabled.IsEnabled(policy.RetryForecast) && r.CapacityAfter+seconds(ahead/r.StartRate) <= r.maxQueueTime()
}

// seconds converts a number of seconds to a duration; infinity and NaN become the longest one.
func seconds(s float64) time.Duration {
	if d := s * float64(time.Second); d < math.MaxInt64/2 {
		return time.Duration(d)
	}
	return math.MaxInt64 / 2
}

const (
	// retryRateShare is the share of the start rate at which callers are told to retry. The rest is for first
	// attempts that arrive at the same time.
	retryRateShare = 0.5
	// latestRetryShare is the earliest retry time, as a share of the longest one, of callers for whom no place
	// is left at the retry rate.
	latestRetryShare = 0.7
	// maxDueRetries bounds the retry times that are kept.
	maxDueRetries = 1024
)

// retrySchedule spreads the retry times of rejected callers: at most at retryRateShare of the start rate, or
// evenly over the latest times if there are too many of them.
type retrySchedule struct {
	next     time.Time   // earliest retry time with a free place
	due      []time.Time // retry times that have not passed
	overflow int         // callers without a place so far
}

// schedule returns after which time the caller should retry: when a slot is expected to be free or, with a
// forecast, when the demand is expected to fall, and no later than callers honour.
func (s *retrySchedule) schedule(now time.Time, r Request, hasForecast bool) time.Duration {
	limit := r.Remaining / MaxRetryDivisor
	earliest := r.retryAfter()
	if hasForecast && r.CapacityAfter > 0 {
		earliest = min(limit, max(r.ExpectedWait, r.CapacityAfter))
	}
	delay := earliest
	if s.next.After(now.Add(earliest)) {
		delay = s.next.Sub(now)
	}
	if delay < limit && r.StartRate > 0 {
		s.next = now.Add(delay + seconds(1/(retryRateShare*r.StartRate)))
	} else {
		delay = s.spread(min(earliest, time.Duration(latestRetryShare*float64(limit))), limit)
	}
	s.removePassed(now)
	if len(s.due) < maxDueRetries {
		s.due = append(s.due, now.Add(delay))
	}
	return delay
}

// spread returns times from lo to hi such that successive ones are far apart and any number of them is spread
// nearly evenly: the multiples of the golden ratio, without their integer part.
func (s *retrySchedule) spread(lo, hi time.Duration) time.Duration {
	s.overflow++
	_, share := math.Modf(float64(s.overflow) * math.Phi)
	return lo + time.Duration(share*float64(hi-lo))
}

// wait is how long the retries keep the targets busy that are due before a first attempt with the longest wait
// is in a slot, as far as their share of the start rate goes. Without that bound, first attempts that are rejected for
// the sake of retries become retries, until no first attempt is sent any more.
func (s *retrySchedule) wait(now time.Time, r Request) time.Duration {
	if r.StartRate <= 0 {
		return 0
	}
	s.removePassed(now)
	end, n := now.Add(r.maxWait()), 0
	for _, t := range s.due {
		if !t.After(end) {
			n++
		}
	}
	return min(seconds(float64(n)/r.StartRate), time.Duration(retryRateShare*float64(r.maxWait())))
}

// removePassed drops the retry times that have passed.
func (s *retrySchedule) removePassed(now time.Time) {
	s.due = slices.DeleteFunc(s.due, func(t time.Time) bool { return !t.After(now) })
}
