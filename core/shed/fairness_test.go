package shed

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutusramp/core/quota"
	"arbutusramp/core/workspace"
)

// The simulated load: ten workspaces together use the whole capacity of the targets, and the first of them
// sends eight times its base rate for ten seconds.
const (
	burstFactor    = 8
	workspaceCount = 10
	baseRate       = 4.0            // requests per second of each workspace
	quotaRate      = 1.6 * baseRate // rate in requests per second, and burst in requests, of each quota
	slotCount      = 32
	holdTime       = 800 * ms // how long a request holds its slot
	latencyGoal    = 300 * ms
	callerTimeout  = 5 * time.Second
	burstDuration  = 10 * time.Second
	stepInterval   = 10 * ms
)

// fairnessSim simulates ten workspaces that send requests, in steps of stepInterval, to one controller and to
// slots that serve requests in order of arrival.
type fairnessSim struct {
	rng             *rand.Rand
	now             time.Time
	controller      Controller
	limiter         *quota.Limiter // nil admits all requests
	isNearLimitLast bool           // requests of workspaces near their limit rank below the others
	slotFreeAt      []time.Time    // when each slot becomes free
	queuedCalls     []queuedCall
	pendingRetries  []call
	offered         [workspaceCount]int // requests sent, by workspace
	metLatencyGoal  [workspaceCount]int // of these, served within the latency goal
}

// call is one request of a workspace.
type call struct {
	workspace    int
	firstAttempt time.Time // time of the first attempt
	attemptTime  time.Time // time of this attempt
	isNearLimit  bool
}

// queuedCall is a call that waits in the queue of the controller.
type queuedCall struct {
	call
	queued *QueuedRequest
}

// newFairnessSim returns a simulation with free slots. Without a quota all requests are admitted.
func newFairnessSim(seed uint64, hasQuota, isNearLimitLast bool) *fairnessSim {
	s := &fairnessSim{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), isNearLimitLast: isNearLimitLast, slotFreeAt: make([]time.Time, slotCount)}
	if hasQuota {
		s.limiter = quota.New(s.now, quota.Options{Window: 5 * time.Second, MaxExcessShare: 0.1, MaxExcessRequests: 20, PeerShareTTL: time.Minute})
		var workspaces []workspace.Workspace
		for i := range workspaceCount {
			workspaces = append(workspaces, workspace.Workspace{Name: workspaceName(i), Quota: workspace.Quota{PerSecond: quotaRate, Burst: quotaRate}})
		}
		s.limiter.SetQuotas(s.now, workspaces)
	}
	return s
}

func workspaceName(i int) string { return string(rune('a' + i)) }

// expectedWait is how long a request that arrives now waits for a slot.
func (s *fairnessSim) expectedWait() time.Duration {
	return max(0, slices.MinFunc(s.slotFreeAt, time.Time.Compare).Sub(s.now))
}

// request returns the input of the controller for a call.
func (s *fairnessSim) request(c call) Request {
	r := Request{
		ExpectedWait: s.expectedWait(), HoldTime: holdTime, StartRate: slotCount / holdTime.Seconds(), LatencyGoal: latencyGoal,
		Remaining: callerTimeout - s.now.Sub(c.firstAttempt), InitialTimeout: callerTimeout, IdleTimeout: 2 * time.Second,
	}
	if c.isNearLimit && s.isNearLimitLast {
		r.HigherRanks = 1
	}
	return r
}

// arrive checks the quota of a request that has just arrived, and sends, queues or rejects it.
func (s *fairnessSim) arrive(c call) {
	if s.limiter != nil {
		d := s.limiter.Admit(s.now, workspaceName(c.workspace))
		if !d.IsAdmitted {
			return // requests over the quota need not be served
		}
		c.isNearLimit = d.IsNearLimit
	}
	switch d := s.controller.Arrive(s.now, s.request(c)); d.Verdict {
	case Send:
		s.send(c)
	case Queue:
		s.queuedCalls = append(s.queuedCalls, queuedCall{c, d.Queued})
	case RetryLater:
		if s.limiter != nil {
			s.limiter.Refund(s.now, workspaceName(c.workspace))
		}
		c.attemptTime = s.now.Add(d.RetryAfter)
		s.pendingRetries = append(s.pendingRetries, c)
	}
}

// send serves a request in the slot that is free first.
func (s *fairnessSim) send(c call) {
	i := slices.Index(s.slotFreeAt, slices.MinFunc(s.slotFreeAt, time.Time.Compare))
	startTime := s.now.Add(s.expectedWait())
	s.slotFreeAt[i] = startTime.Add(holdTime)
	if startTime.Sub(c.firstAttempt) <= latencyGoal || c.attemptTime.After(c.firstAttempt) && startTime.Sub(c.attemptTime) <= latencyGoal {
		s.metLatencyGoal[c.workspace]++
	}
}

// run simulates the burst of the first workspace. It returns the share of requests within the latency goal:
// of the least served of the other workspaces, and of all other workspaces together.
func (s *fairnessSim) run() (least, all float64) {
	for end := s.now.Add(burstDuration); s.now.Before(end); s.now = s.now.Add(stepInterval) {
		for i := range workspaceCount {
			rate := baseRate
			if i == 0 {
				rate *= burstFactor
			}
			if s.rng.Float64() < rate*stepInterval.Seconds() {
				s.offered[i]++
				s.arrive(call{workspace: i, firstAttempt: s.now, attemptTime: s.now})
			}
		}
		s.retryAndRecheck()
	}
	sum, total := 0, 0
	least = 1
	for i := 1; i < workspaceCount; i++ {
		least = min(least, float64(s.metLatencyGoal[i])/float64(s.offered[i]))
		sum, total = sum+s.metLatencyGoal[i], total+s.offered[i]
	}
	return least, float64(sum) / float64(total)
}

// retryAndRecheck passes the retries that are due to arrive and rechecks the queued requests.
func (s *fairnessSim) retryAndRecheck() {
	slices.SortStableFunc(s.pendingRetries, func(a, b call) int { return cmp.Compare(a.attemptTime.UnixNano(), b.attemptTime.UnixNano()) })
	for len(s.pendingRetries) > 0 && !s.pendingRetries[0].attemptTime.After(s.now) {
		c := s.pendingRetries[0]
		s.pendingRetries = s.pendingRetries[1:]
		s.arrive(c)
	}
	waitingCalls := s.queuedCalls
	s.queuedCalls = nil
	for _, q := range waitingCalls {
		if s.controller.Recheck(s.now, q.queued, s.request(q.call)) == Send {
			s.controller.Dequeue(s.now, q.queued, true)
			s.send(q.call)
			continue
		}
		s.queuedCalls = append(s.queuedCalls, q)
	}
}

// Guards against a workspace whose burst starves the others. With quotas more of the others' requests must meet
// the latency goal than in order of arrival, and the least served of them must get at least half of their
// average.
func TestBurstOfOneWorkspaceDoesNotStarveOthers(t *testing.T) {
	const seeds = 20
	variants := []struct {
		name                      string
		hasQuota, isNearLimitLast bool
	}{{"order of arrival", false, false}, {"quotas", true, false}, {"quotas, near the limit last", true, true}}
	shares := make(map[string]float64)
	for _, variant := range variants {
		worst, sum := 1.0, 0.0
		for seed := range uint64(seeds) {
			least, all := newFairnessSim(seed, variant.hasQuota, variant.isNearLimitLast).run()
			worst, sum = min(worst, least/all), sum+all/seeds
		}
		shares[variant.name] = sum
		t.Logf("%-28s %.3f of the others' requests within the goal, the least served workspace at %.2f of that", variant.name, sum, worst)
		if variant.hasQuota && worst < 0.5 {
			t.Errorf("%s: in the worst simulation the least served workspace without a burst gets %.2f of the average of those without a burst, want at least 0.5", variant.name, worst)
		}
	}
	if shares["quotas"] <= shares["order of arrival"] || shares["quotas, near the limit last"] <= shares["quotas"] {
		t.Errorf("shares of the others' requests within the goal are %v, want a larger share with quotas than in order of arrival, and the largest with quotas and near the limit last", shares)
	}
}
