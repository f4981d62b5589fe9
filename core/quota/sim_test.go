package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusramp/core/workspace"
)

// simulation is a fleet of gateways in virtual time that admit requests of some workspaces by a strategy.
type simulation struct {
	rng           *rand.Rand
	now           time.Time
	events        eventQueue
	eventCount    int // scheduled so far, to keep the order of simultaneous events
	options       Options
	gateways      []*simGateway
	loads         []simLoad
	partitionSide []int // side of a partition that each gateway is on; all 0 without one
	strategy      strategy
	result        simResult
}

// simLoad is the offered load of one workspace and its outcome.
type simLoad struct {
	name        string
	quota       workspace.Quota
	offered     float64   // requests per second
	weights     []float64 // share of each gateway
	burstFrom   time.Time // offered is multiplied by burstFactor from then until burstTo
	burstTo     time.Time
	burstFactor float64
	ideal       idealBucket
	entitled    []time.Time // admitted by the ideal bucket
	admitted    []time.Time
}

// idealBucket is a bucket that sees every request when it arrives.
type idealBucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *idealBucket) admit(now time.Time, q workspace.Quota) bool {
	b.tokens = min(q.Burst, b.tokens+now.Sub(b.refilledAt).Seconds()*q.PerSecond)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type simGateway struct {
	isDown         bool
	startCount     int
	storeLostSince time.Time // zero while it reaches the store
}

// revokeWithin is how long a gateway that has lost the store may accept API keys.
const revokeWithin = 5 * time.Second

// isEntitled reports whether callers of the gateway are entitled to service. They are not once the store has
// been unreachable for most of revokeWithin.
func (g *simGateway) isEntitled(now time.Time) bool {
	const share = 0.6
	return g.storeLostSince.IsZero() || now.Sub(g.storeLostSince).Seconds() < share*revokeWithin.Seconds()
}

// hasKeys reports whether the gateway may admit any request.
func (g *simGateway) hasKeys(now time.Time) bool {
	return g.storeLostSince.IsZero() || now.Sub(g.storeLostSince) < revokeWithin
}

// simResult is the outcome of a run.
type simResult struct {
	entitled int     // requests within the limit
	rejected int     // of these, not admitted
	excess   float64 // most admitted in any window beyond the bound, in requests; negative below it
	messages int
}

// strategy decides on requests; it sends messages through the simulation.
type strategy interface {
	admit(s *simulation, gateway int, load *simLoad) bool
	gatewayStarted(s *simulation, gateway int)
	gatewayStopped(s *simulation, gateway int)
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{s.now.Add(d), s.eventCount, run})
}

const (
	simNetworkDelay = 2 * time.Millisecond // from one gateway to another
	simLossRate     = 0.01                 // of datagrams
)

// send delivers a message unless it is lost or cut off, or its receiver is down or has restarted in the
// meantime.
func (s *simulation) send(from, to int, deliver func()) {
	s.result.messages++
	if s.partitionSide[from] != s.partitionSide[to] || s.rng.Float64() < simLossRate {
		return
	}
	startCount := s.gateways[to].startCount
	s.after(simNetworkDelay+time.Duration(s.rng.IntN(2))*time.Millisecond, func() {
		if g := s.gateways[to]; !g.isDown && g.startCount == startCount && s.partitionSide[from] == s.partitionSide[to] {
			deliver()
		}
	})
}

// scheduleArrival schedules the next request of a workspace.
func (s *simulation) scheduleArrival(l *simLoad) {
	rate := l.offered
	if !s.now.Before(l.burstFrom) && s.now.Before(l.burstTo) {
		rate *= l.burstFactor
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrive(l)
		s.scheduleArrival(l)
	})
}

func (s *simulation) arrive(l *simLoad) {
	gateway := s.pickGateway(l.weights)
	if gateway < 0 || !s.gateways[gateway].hasKeys(s.now) {
		return
	}
	if l.ideal.admit(s.now, l.quota) && s.gateways[gateway].isEntitled(s.now) {
		l.entitled = append(l.entitled, s.now)
	}
	if s.strategy.admit(s, gateway, l) {
		l.admitted = append(l.admitted, s.now)
	}
}

// pickGateway returns the gateway of the next request; callers of one that is down go to others.
func (s *simulation) pickGateway(weights []float64) int {
	x := s.rng.Float64()
	for i, w := range weights {
		if x -= w; x < 0 {
			if !s.gateways[i].isDown {
				return i
			}
			break
		}
	}
	for range s.gateways {
		if i := s.rng.IntN(len(s.gateways)); !s.gateways[i].isDown {
			return i
		}
	}
	return -1
}

// run runs the simulation for a time and computes the largest excess.
func (s *simulation) run(length time.Duration) simResult {
	end := s.now.Add(length)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.result.excess = -1e9
	for i := range s.loads {
		l := &s.loads[i]
		s.result.excess = max(s.result.excess, l.excess(s.options))
		s.result.entitled += len(l.entitled)
		s.result.rejected += l.shortfall()
	}
	return s.result
}

// shortfall is how many fewer requests were admitted than by the ideal bucket, second by second. While a
// workspace is over its limit, it does not matter which of its requests are admitted. More than the ideal
// bucket admits in one second makes up for less in the next.
func (l *simLoad) shortfall() int {
	bySecond := make(map[int64]int)
	for _, at := range l.entitled {
		bySecond[at.Unix()]++
	}
	for _, at := range l.admitted {
		bySecond[at.Unix()]--
	}
	sum := 0
	for second, missing := range bySecond {
		if before := bySecond[second-1]; before < 0 {
			missing += before
		}
		sum += max(0, missing)
	}
	return sum
}

// excess is the largest number of requests admitted in any window beyond what is allowed in it.
func (l *simLoad) excess(o Options) float64 {
	allowed := (l.quota.PerSecond*o.Window.Seconds()+l.quota.Burst)*(1+o.Excess) + o.Slack
	largest, from := 0, 0
	for i, at := range l.admitted {
		for at.Sub(l.admitted[from]) > o.Window {
			from++
		}
		largest = max(largest, i-from+1)
	}
	return float64(largest) - allowed
}

// faultKind is the kind of fault injected into the gateways of a run.
type faultKind string

const (
	noFault     faultKind = "calm"
	isolateSome faultKind = "some isolated"
	splitInHalf faultKind = "split in half"
	killSome    faultKind = "some killed"
	killAll     faultKind = "all killed"
)

func allFaultKinds() []faultKind {
	return []faultKind{noFault, isolateSome, splitInHalf, killSome, killAll}
}

// newSimulation draws a fleet and its load from a seed. In most runs one workspace has a burst.
func newSimulation(seed uint64, t faultKind, build func(*simulation) strategy) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0),
		options: Options{Window: 5 * time.Second, Excess: 0.1, Slack: 20, ClaimTTL: 6 * time.Second},
	}
	n := 3 + s.rng.IntN(6)
	if s.rng.IntN(8) == 0 {
		n = 9 + s.rng.IntN(24)
	}
	for range n {
		s.gateways = append(s.gateways, &simGateway{})
	}
	s.partitionSide = make([]int, n)
	for i := range 4 {
		s.loads = append(s.loads, s.newLoad(i, n))
	}
	s.strategy = build(s)
	for i := range n {
		s.strategy.gatewayStarted(s, i)
	}
	for i := range s.loads {
		s.scheduleArrival(&s.loads[i])
	}
	s.scheduleFaults(t)
	return s
}

func (s *simulation) newLoad(i, gateways int) simLoad {
	baseRate := []float64{1, 4, 20, 60}[i]
	l := simLoad{
		name: fmt.Sprintf("w%d", i), offered: baseRate, weights: s.weights(gateways),
		quota: workspace.Quota{PerSecond: 1.6 * baseRate, Burst: 1.6 * baseRate},
	}
	l.ideal = idealBucket{tokens: l.quota.Burst, refilledAt: s.now}
	if s.rng.IntN(3) > 0 {
		l.burstFrom = s.now.Add(time.Duration(3+s.rng.IntN(6)) * time.Second)
		l.burstTo = l.burstFrom.Add(time.Duration(3+s.rng.IntN(6)) * time.Second)
		l.burstFactor = 1 + 7*s.rng.Float64()
	}
	return l
}

// weights draws the share of each gateway: even, uneven, or all load on one gateway.
func (s *simulation) weights(gateways int) []float64 {
	w := make([]float64, gateways)
	sum := 0.0
	kind := s.rng.IntN(3)
	for i := range w {
		w[i] = 1
		if kind == 1 {
			w[i] = s.rng.ExpFloat64()
		}
		if kind == 2 && i > 0 {
			w[i] = 0
		}
		sum += w[i]
	}
	for i := range w {
		w[i] /= sum
	}
	return w
}

// scheduleFaults draws the times of two faults.
func (s *simulation) scheduleFaults(t faultKind) {
	for range 2 {
		at := time.Duration(2000+s.rng.IntN(12_000)) * time.Millisecond
		length := time.Duration(500+s.rng.IntN(5000)) * time.Millisecond
		s.after(at, func() { s.injectFault(t, length) })
	}
}

func (s *simulation) injectFault(t faultKind, length time.Duration) {
	for i := range s.gateways {
		switch {
		case t == isolateSome && s.rng.IntN(3) == 0:
			s.isolate(i, i+1)
		case t == splitInHalf && i%2 == 0:
			s.isolate(i, 1)
		case t == killAll, t == killSome && s.rng.IntN(2) == 0:
			s.kill(i, min(length, 2*time.Second))
		}
	}
	s.after(length, s.healPartition)
}

// isolate moves a gateway to a partition side that has lost the store.
func (s *simulation) isolate(i, side int) {
	if s.gateways[i].storeLostSince.IsZero() {
		s.gateways[i].storeLostSince = s.now
	}
	s.partitionSide[i] = side
}

// storeReconnectDelay is how long after the end of a partition a gateway has read the configuration from the
// store again.
const storeReconnectDelay = 500 * time.Millisecond

func (s *simulation) healPartition() {
	clear(s.partitionSide)
	s.after(storeReconnectDelay, func() {
		for i, g := range s.gateways {
			if s.partitionSide[i] == 0 {
				g.storeLostSince = time.Time{}
			}
		}
	})
}

func (s *simulation) kill(i int, downtime time.Duration) {
	g := s.gateways[i]
	if g.isDown {
		return
	}
	g.isDown = true
	g.startCount++
	s.strategy.gatewayStopped(s, i)
	s.after(downtime, func() {
		g.isDown = false
		s.strategy.gatewayStarted(s, i)
	})
}
