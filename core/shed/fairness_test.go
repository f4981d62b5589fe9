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

// The load: ten workspaces together use the whole capacity of the targets, and one of them sends eight times
// its rate for ten seconds.
const (
	burstFactor    = 8
	workspaceCount = 10
	baseRate       = 4.0 // requests per second of each workspace
	quotaRate      = 1.6 * baseRate
	slotCount      = 32
	holdTime       = 800 * ms
	latencyGoal    = 300 * ms
	callerTimeout  = 5 * time.Second
	burstDuration  = 10 * time.Second
	stepInterval   = 10 * ms
)

// fairnessSim simulates that load in steps of stepInterval against one controller and slots that serve in
// order of arrival.
type fairnessSim struct {
	rng             *rand.Rand
	now             time.Time
	controller      Controller
	ledger          *quota.Ledger // nil admits all
	isNearLimitLast bool          // requests of workspaces near their limit rank below the others
	slotFreeAt      []time.Time   // when each slot becomes free
	queuedCalls     []queuedCall
	pendingRetries  []call
	offered         [workspaceCount]int
	metGoal         [workspaceCount]int
}

type call struct {
	workspace    int
	firstAttempt time.Time // time of the first attempt
	attemptTime  time.Time // time of this attempt
	isNearLimit  bool
}

type queuedCall struct {
	call
	request *QueuedRequest
}

func newFairnessSim(seed uint64, hasQuota, isNearLimitLast bool) *fairnessSim {
	c := &fairnessSim{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), isNearLimitLast: isNearLimitLast, slotFreeAt: make([]time.Time, slotCount)}
	if hasQuota {
		c.ledger = quota.New(c.now, quota.Options{Window: 5 * time.Second, Excess: 0.1, Slack: 20, ClaimTTL: time.Minute})
		var list []workspace.Workspace
		for i := range workspaceCount {
			list = append(list, workspace.Workspace{Name: workspaceName(i), Quota: workspace.Quota{PerSecond: quotaRate, Burst: quotaRate}})
		}
		c.ledger.SetQuotas(c.now, list)
	}
	return c
}

func workspaceName(i int) string { return string(rune('a' + i)) }

// wait is how long a request that arrives now waits for a slot.
func (c *fairnessSim) wait() time.Duration {
	return max(0, slices.MinFunc(c.slotFreeAt, time.Time.Compare).Sub(c.now))
}

func (c *fairnessSim) request(x call) Request {
	r := Request{
		Wait: c.wait(), Hold: holdTime, Pace: slotCount / holdTime.Seconds(), Goal: latencyGoal,
		Remaining: callerTimeout - c.now.Sub(x.firstAttempt), InitialTimeout: callerTimeout, IdleTimeout: 2 * time.Second,
	}
	if x.isNearLimit && c.isNearLimitLast {
		r.HigherRanks = 1
	}
	return r
}

func (c *fairnessSim) arrive(x call) {
	if c.ledger != nil {
		d := c.ledger.Admit(c.now, workspaceName(x.workspace))
		if !d.IsAdmitted {
			return // requests over the quota have no claim to service
		}
		x.isNearLimit = d.IsNearLimit
	}
	switch d := c.controller.Arrive(c.now, c.request(x)); d.Verdict {
	case Send:
		c.send(x)
	case Queue:
		c.queuedCalls = append(c.queuedCalls, queuedCall{x, d.Queued})
	case RetryLater:
		if c.ledger != nil {
			c.ledger.Refund(c.now, workspaceName(x.workspace))
		}
		x.attemptTime = c.now.Add(d.After)
		c.pendingRetries = append(c.pendingRetries, x)
	}
}

func (c *fairnessSim) send(x call) {
	i := slices.Index(c.slotFreeAt, slices.MinFunc(c.slotFreeAt, time.Time.Compare))
	startTime := c.now.Add(c.wait())
	c.slotFreeAt[i] = startTime.Add(holdTime)
	if startTime.Sub(x.firstAttempt) <= latencyGoal || x.attemptTime.After(x.firstAttempt) && startTime.Sub(x.attemptTime) <= latencyGoal {
		c.metGoal[x.workspace]++
	}
}

// run simulates the burst. It returns the share of requests within the goal, of the least served other
// workspace and of all others.
func (c *fairnessSim) run() (least, all float64) {
	for end := c.now.Add(burstDuration); c.now.Before(end); c.now = c.now.Add(stepInterval) {
		for i := range workspaceCount {
			rate := baseRate
			if i == 0 {
				rate *= burstFactor
			}
			if c.rng.Float64() < rate*stepInterval.Seconds() {
				c.offered[i]++
				c.arrive(call{workspace: i, firstAttempt: c.now, attemptTime: c.now})
			}
		}
		c.retryAndRecheck()
	}
	sum, total := 0, 0
	least = 1
	for i := 1; i < workspaceCount; i++ {
		least = min(least, float64(c.metGoal[i])/float64(c.offered[i]))
		sum, total = sum+c.metGoal[i], total+c.offered[i]
	}
	return least, float64(sum) / float64(total)
}

func (c *fairnessSim) retryAndRecheck() {
	slices.SortStableFunc(c.pendingRetries, func(a, b call) int { return cmp.Compare(a.attemptTime.UnixNano(), b.attemptTime.UnixNano()) })
	for len(c.pendingRetries) > 0 && !c.pendingRetries[0].attemptTime.After(c.now) {
		x := c.pendingRetries[0]
		c.pendingRetries = c.pendingRetries[1:]
		c.arrive(x)
	}
	waiting := c.queuedCalls
	c.queuedCalls = nil
	for _, q := range waiting {
		if c.controller.Recheck(c.now, q.request, c.request(q.call)) == Send {
			c.controller.Dequeue(c.now, q.request, true)
			c.send(q.call)
			continue
		}
		c.queuedCalls = append(c.queuedCalls, q)
	}
}

// Guards against a workspace whose burst starves the others. With quotas the others are served as before, and
// the least served of them gets at least half of their average.
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
			t.Errorf("%s: the least served workspace gets %.2f of the average", variant.name, worst)
		}
	}
	if shares["quotas"] <= shares["order of arrival"] || shares["quotas, near the limit last"] <= shares["quotas"] {
		t.Errorf("a variant does not improve the service of the others: %v", shares)
	}
}
