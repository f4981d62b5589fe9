package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusramp/core/workspace"
)

// simulation simulates gateways in virtual time that admit requests of some workspaces by a strategy, under
// faults.
type simulation struct {
	rng           *rand.Rand
	now           time.Time
	events        eventQueue
	eventCount    int // events scheduled so far; numbers them to keep the order of simultaneous ones
	options       Options
	gateways      []*simGateway
	loads         []simLoad
	partitionSide []int // by gateway, the side of the network partition that it is on; all 0 without one
	strategy      strategy
	result        simResult
}

// simLoad is the offered load of one workspace and its outcome.
type simLoad struct {
	name        string
	quota       workspace.Quota
	offered     float64   // requests per second
	weights     []float64 // by gateway, its share of the requests
	burstFrom   time.Time // offered is multiplied by burstFactor from then until burstTo
	burstTo     time.Time
	burstFactor float64
	ideal       idealBucket
	entitled    []time.Time // arrivals that are within the limit: admitted by ideal, at a gateway entitled to serve
	admitted    []time.Time // arrivals that the strategy admitted
}

// idealBucket is a token bucket that counts the requests at all gateways without delay.
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

// simGateway is the state of one gateway.
type simGateway struct {
	isDown         bool
	startCount     int       // number of the present start, from 0; incremented when the gateway is killed
	storeLostSince time.Time // zero while it reaches the store
}

// revokeWithin is how long a gateway that cannot reach the store may accept API keys.
const revokeWithin = 5 * time.Second

// isEntitled reports whether requests at the gateway count as within the limit. They do not once the store
// has been unreachable for most of revokeWithin.
func (g *simGateway) isEntitled(now time.Time) bool {
	const entitledShare = 0.6
	return g.storeLostSince.IsZero() || now.Sub(g.storeLostSince).Seconds() < entitledShare*revokeWithin.Seconds()
}

// hasKeys reports whether the gateway accepts API keys; otherwise it admits no request.
func (g *simGateway) hasKeys(now time.Time) bool {
	return g.storeLostSince.IsZero() || now.Sub(g.storeLostSince) < revokeWithin
}

// simResult is the outcome of one simulation.
type simResult struct {
	entitled int     // requests within the limit
	rejected int     // of these, rejected by the strategy; see shortfall
	excess   float64 // requests beyond the bound in the window with most of them; negative if all are below it
	messages int     // sent between gateways
}

// strategy is a way of limiting requests across gateways. It decides on each request and sends messages
// between gateways through the simulation.
type strategy interface {
	admit(s *simulation, gateway int, load *simLoad) bool
	gatewayStarted(s *simulation, gateway int)
	gatewayStopped(s *simulation, gateway int)
}

// event is a function that the simulation calls at a time. order is the number of the event; of simultaneous
// ones the lower comes first.
type event struct {
	at    time.Time
	order int
	run   func()
}

// eventQueue is a heap of events, the next one first.
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

// schedule schedules a call of run after delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{s.now.Add(delay), s.eventCount, run})
}

const (
	simNetworkDelay = 2 * time.Millisecond // shortest delay of a message between gateways
	simLossRate     = 0.01                 // share of messages that are lost
)

// send sends a message between two gateways: it calls deliver after the network delay, unless the message is
// lost, the gateways are on different sides of a partition, or the receiver is down or has restarted in the
// meantime.
func (s *simulation) send(from, to int, deliver func()) {
	s.result.messages++
	if s.partitionSide[from] != s.partitionSide[to] || s.rng.Float64() < simLossRate {
		return
	}
	startCount := s.gateways[to].startCount
	s.schedule(simNetworkDelay+time.Duration(s.rng.IntN(2))*time.Millisecond, func() {
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
	s.schedule(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrive(l)
		s.scheduleArrival(l)
	})
}

// arrive handles a request of a workspace that has just arrived.
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

// pickGateway draws the gateway that gets a request, and another one if that is down; -1 if it finds none.
func (s *simulation) pickGateway(weights []float64) int {
	r := s.rng.Float64()
	for i, w := range weights {
		if r -= w; r < 0 {
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

// run runs the simulation for a virtual time and returns its result.
func (s *simulation) run(duration time.Duration) simResult {
	end := s.now.Add(duration)
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

// shortfall is by how many requests the strategy admitted fewer than are within the limit, summed over the
// seconds. Requests are counted by second because it does not matter which requests of a workspace over its
// limit are admitted. Requests that are admitted beyond the limit in one second count in favour of the next
// one.
func (l *simLoad) shortfall() int {
	bySecond := make(map[int64]int)
	for _, arrival := range l.entitled {
		bySecond[arrival.Unix()]++
	}
	for _, arrival := range l.admitted {
		bySecond[arrival.Unix()]--
	}
	sum := 0
	for second, missing := range bySecond {
		if previous := bySecond[second-1]; previous < 0 {
			missing += previous
		}
		sum += max(0, missing)
	}
	return sum
}

// excess is the largest number of requests admitted in any window, less what is allowed in a window.
func (l *simLoad) excess(o Options) float64 {
	allowed := (l.quota.PerSecond*o.Window.Seconds()+l.quota.Burst)*(1+o.MaxExcessShare) + o.MaxExcessRequests
	largest, first := 0, 0
	for i, arrival := range l.admitted {
		for arrival.Sub(l.admitted[first]) > o.Window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return float64(largest) - allowed
}

// faultKind is the kind of faults injected into a simulation.
type faultKind string

const (
	noFault     faultKind = "calm"
	isolateSome faultKind = "some isolated"
	splitInHalf faultKind = "split in half"
	killSome    faultKind = "some killed"
	killAll     faultKind = "all killed"
)

// allFaultKinds returns all kinds of faults, starting with noFault.
func allFaultKinds() []faultKind {
	return []faultKind{noFault, isolateSome, splitInHalf, killSome, killAll}
}

// newSimulation returns a simulation whose gateways, load and fault times are drawn from a seed.
func newSimulation(seed uint64, kind faultKind, build func(*simulation) strategy) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0),
		options: Options{Window: 5 * time.Second, MaxExcessShare: 0.1, MaxExcessRequests: 20, PeerShareTTL: 6 * time.Second},
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
	s.scheduleFaults(kind)
	return s
}

// newLoad draws the load of workspace i. With a probability of two thirds it has a burst.
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

// weights draws the share of a workspace's requests that each gateway gets: even, uneven, or all at the
// first.
func (s *simulation) weights(gateways int) []float64 {
	shares := make([]float64, gateways)
	sum := 0.0
	distribution := s.rng.IntN(3)
	for i := range shares {
		shares[i] = 1
		if distribution == 1 {
			shares[i] = s.rng.ExpFloat64()
		}
		if distribution == 2 && i > 0 {
			shares[i] = 0
		}
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// scheduleFaults schedules two faults at random times and of random lengths.
func (s *simulation) scheduleFaults(kind faultKind) {
	for range 2 {
		delay := time.Duration(2000+s.rng.IntN(12_000)) * time.Millisecond
		length := time.Duration(500+s.rng.IntN(5000)) * time.Millisecond
		s.schedule(delay, func() { s.injectFault(kind, length) })
	}
}

// injectFault injects a fault of a kind into the gateways that it draws. It ends after length.
func (s *simulation) injectFault(kind faultKind, length time.Duration) {
	for i := range s.gateways {
		switch {
		case kind == isolateSome && s.rng.IntN(3) == 0:
			s.isolate(i, i+1)
		case kind == splitInHalf && i%2 == 0:
			s.isolate(i, 1)
		case kind == killAll, kind == killSome && s.rng.IntN(2) == 0:
			s.kill(i, min(length, 2*time.Second))
		}
	}
	s.schedule(length, s.healPartition)
}

// isolate moves gateway i to a side of a partition that cannot reach the store.
func (s *simulation) isolate(i, side int) {
	if s.gateways[i].storeLostSince.IsZero() {
		s.gateways[i].storeLostSince = s.now
	}
	s.partitionSide[i] = side
}

// storeReconnectDelay is how long after the end of a partition a gateway has read the configuration from the
// store again.
const storeReconnectDelay = 500 * time.Millisecond

// healPartition ends a partition.
func (s *simulation) healPartition() {
	clear(s.partitionSide)
	s.schedule(storeReconnectDelay, func() {
		for i, g := range s.gateways {
			if s.partitionSide[i] == 0 {
				g.storeLostSince = time.Time{}
			}
		}
	})
}

// kill stops gateway i and restarts it after downtime; it has no effect on a gateway that is down.
func (s *simulation) kill(i int, downtime time.Duration) {
	g := s.gateways[i]
	if g.isDown {
		return
	}
	g.isDown = true
	g.startCount++
	s.strategy.gatewayStopped(s, i)
	s.schedule(downtime, func() {
		g.isDown = false
		s.strategy.gatewayStarted(s, i)
	})
}
