package fleet

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/serving"
	"arbutusramp/core/shed"
	"arbutusramp/core/structs"
)

// Timing of the simulation, as in the product: the shortest time between two reports of a gateway, and between two looks
// at a queued request.
const (
	reportGap  = 3 * time.Millisecond
	recheckGap = 10 * time.Millisecond // between two looks at a queued request
)

// The demand is a square wave: a low level and a high one, relative to the mean.
const (
	lowLevel, highLevel       = 0.38, 1.84
	lowDuration, highDuration = 3800 * time.Millisecond, 2800 * time.Millisecond
)

// loadCase is a simulated load.
type loadCase struct {
	gateways, slots int
	slowness        []float64 // by target
	firstEvent      time.Duration
	hold            time.Duration
	goal            time.Duration
	rate            float64 // requests per second; the mean of the wave if hasWave is set
	hasWave         bool
	hasAdmission    bool // requests are admitted by core/shed; otherwise all are sent
	isStream        bool
	duration        time.Duration
	callerTimeout   time.Duration
	expected        bool           // targets are chosen by expected time
	change          func(*loadSim) // called in the middle of the run
	pick            func(f *Fleet, now time.Time, w Work) Choice
	sizeSpread      float64       // hold times differ from the mean by at most this share of it
	reportDelay     time.Duration // until peers receive a report
	domains         int           // failure domains of the gateways and targets
	// skew is the share of the first attempts that one gateway gets from the middle of the run on; the others get their
	// part of the rest.
	skew float64
	// retriesElsewhere is set if second attempts come to other gateways than the first ones.
	retriesElsewhere bool
	seed             uint64
}

// loadResult counts requests by what became of them. An attempt is in goal if its first event or whole answer came
// within the goal after the attempt was made.
type loadResult struct {
	requests, sent, inGoal, lateAnswers, retries, rejected int
	returned, returnedInGoal                               int // second attempts that arrived; of these, sent at once and in goal
	queued, queuedLate                                     int // sent to a target without a free slot; of these, late
	longestQueue, otherDomain                              int
	// firstAttempts counts the first attempts in each half of the run, firstSent those of them that were sent at once.
	firstAttempts, firstSent [2]int
}

// firstSentShare is the share of the first attempts that were sent at once, in one half of the run.
func (r loadResult) firstSentShare(half int) float64 {
	return float64(r.firstSent[half]) / float64(max(1, r.firstAttempts[half]))
}

func (r loadResult) lateShare() float64   { return float64(r.lateAnswers) / float64(max(1, r.sent)) }
func (r loadResult) inGoalShare() float64 { return float64(r.inGoal) / float64(max(1, r.requests)) }

func (r loadResult) String() string {
	return fmt.Sprintf("%d requests, in goal %.3f, late %.3f of those sent, queued %.3f (late %.3f), retries %d, rejected %d, longest queue %d, other domain %.2f",
		r.requests, r.inGoalShare(), r.lateShare(), float64(r.queued)/float64(max(1, r.sent)), float64(r.queuedLate)/float64(max(1, r.queued)), r.retries, r.rejected, r.longestQueue, float64(r.otherDomain)/float64(max(1, r.sent)))
}

// loadSim runs gateways, each with its own Fleet and shed.Controller, before simulated targets that serve requests in
// order of arrival.
type loadSim struct {
	loadCase
	now     time.Time
	events  simEvents
	order   int
	rng     *rand.Rand
	nodes   []*simGateway
	targets map[string]*simTarget
	result  loadResult
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *loadSim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.order, run})
}

// simTarget serves requests in order of arrival, each for a time that grows with slowness.
type simTarget struct {
	slowness float64
	running  int
	waiting  []func()
}

// serve calls first after the service time and done after the hold time of a request.
func (s *loadSim) serve(id string, size float64, first, done func()) {
	t := s.targets[id]
	start := func() {
		t.running++
		s.after(scale(s.firstEvent, t.slowness), first)
		s.after(max(scale(s.firstEvent, t.slowness), scale(s.hold, size*t.slowness)), func() {
			t.running--
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
			done()
		})
	}
	if t.running < s.slots {
		start()
		return
	}
	t.waiting = append(t.waiting, start)
	s.result.longestQueue = max(s.result.longestQueue, len(t.waiting))
}

// Predict and Slowness implement predictor: exact up to an error of 10% that is fixed for each target.
func (s *loadSim) Predict(now time.Time, q costmodel.Query) (costmodel.Prediction, bool) {
	slowness := s.Slowness(now, q.Target)
	return costmodel.Prediction{FirstEvent: scale(s.firstEvent, slowness), Hold: scale(s.hold, slowness)}, true
}

func (s *loadSim) Slowness(_ time.Time, target string) float64 {
	err := float64(hashPair(target, "error")%2001)/10000 - 0.1
	return s.targets[target].slowness * (1 + err)
}

// simGateway is a gateway with its view of the targets.
type simGateway struct {
	sim        *loadSim
	fleet      *Fleet
	name       Peer
	ctrl       shed.Controller
	reportedAt time.Time
	hasReport  bool
}

// attempt is one attempt of a caller.
type attempt struct {
	size            float64 // hold time relative to the mean
	firstAt, sentAt time.Time
}

func domain(i, domains int) string { return fmt.Sprint(i % max(1, domains)) }

func simulate(c loadCase) loadResult {
	s := newLoadSim(c)
	s.run()
	return s.result
}

func newLoadSim(c loadCase) *loadSim {
	s := &loadSim{loadCase: c, now: start, rng: rand.New(rand.NewPCG(c.seed, 5)), targets: make(map[string]*simTarget)}
	for i := range c.gateways {
		mode := ExpectedTimeOff
		if c.expected {
			mode = ExpectedTimeOn
		}
		g := &simGateway{sim: s, name: Peer(fmt.Sprintf("g%d", i)), reportedAt: start}
		g.fleet = New(Options{Self: g.name, Domain: domain(i, c.domains), PeerTTL: 700 * time.Millisecond, ExpectedTime: mode})
		g.fleet.predictions = s
		g.fleet.forecasts = s
		s.nodes = append(s.nodes, g)
		for j, slowness := range c.slowness {
			id := fmt.Sprintf("t%d", j)
			s.targets[id] = &simTarget{slowness: slowness}
			g.fleet.Put(serving.Target{ID: id, Service: "llm", Domain: domain(j, c.domains), Slots: c.slots})
		}
		g.fleet.RecordHoldTime("llm", c.hold)
	}
	for _, g := range s.nodes {
		for _, p := range s.nodes {
			if p != g {
				g.fleet.ApplyReport(s.now, p.name, Report{})
			}
		}
		s.after(0, g.refresh)
	}
	return s
}

// Forecast implements forecaster: the demand in slots that the wave leads to.
func (s *loadSim) Forecast(now time.Time, _ string, ahead time.Duration) (float64, bool) {
	return s.rateAt(now.Add(ahead)) * s.hold.Seconds(), s.hasWave
}

func (s *loadSim) rateAt(t time.Time) float64 {
	switch phase := t.Sub(start) % (lowDuration + highDuration); {
	case !s.hasWave:
		return s.rate
	case phase < lowDuration:
		return s.rate * lowLevel
	default:
		return s.rate * highLevel
	}
}

func (s *loadSim) run() {
	end := start.Add(s.duration)
	var arrive func()
	arrive = func() {
		if s.now.After(end) {
			return
		}
		a := attempt{size: 1 + s.sizeSpread*(2*s.rng.Float64()-1), firstAt: s.now, sentAt: s.now}
		s.result.requests++
		s.firstGateway().arrive(a)
		s.after(seconds(s.rng.ExpFloat64()/s.rateAt(s.now)), arrive)
	}
	s.after(0, arrive)
	if s.change != nil {
		s.after(s.duration/2, func() { s.change(s) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.After(end.Add(s.callerTimeout)) {
			return
		}
		s.now = e.at
		e.run()
	}
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// half is 0 in the first half of the run and 1 in the second.
func (s *loadSim) half() int {
	if s.now.Sub(start) < s.duration/2 {
		return 0
	}
	return 1
}

// firstGateway is the gateway of a first attempt.
func (s *loadSim) firstGateway() *simGateway {
	if s.skew > 0 && s.half() == 1 && s.rng.Float64() < s.skew {
		return s.nodes[0]
	}
	return s.anyGateway()
}

func (s *loadSim) anyGateway() *simGateway { return s.nodes[s.rng.IntN(len(s.nodes))] }

func (g *simGateway) work() Work { return Work{Service: "llm", IsStream: g.sim.isStream} }

func (g *simGateway) request(a attempt) shed.Request {
	s := g.sim
	e := g.fleet.Estimate(s.now, g.work())
	r := shed.Request{
		ExpectedWait: e.Wait, HoldTime: e.HoldTime, StartRate: e.StartRate, LatencyGoal: s.goal, ServiceTime: e.ServiceTime, WaitStep: e.WaitStep,
		Remaining: s.callerTimeout - a.sentAt.Sub(a.firstAt), InitialTimeout: s.callerTimeout, IdleTimeout: 2 * time.Second,
	}
	r.CapacityAfter = g.fleet.CapacityAfter(s.now, "llm", r.Remaining/shed.MaxRetryDivisor)
	return r
}

func (g *simGateway) arrive(a attempt) {
	s := g.sim
	if !s.hasAdmission {
		g.send(a)
		return
	}
	isFirst := a.sentAt.Equal(a.firstAt)
	if isFirst {
		s.result.firstAttempts[s.half()]++
	}
	switch d := g.ctrl.Arrive(s.now, g.request(a)); d.Verdict {
	case shed.Send:
		if isFirst {
			s.result.firstSent[s.half()]++
		}
		g.send(a)
	case shed.RetryLater:
		s.result.retries++
		s.after(d.RetryAfter, func() {
			a.sentAt = s.now
			s.result.returned++
			next := s.anyGateway()
			for s.retriesElsewhere && next == g {
				next = s.anyGateway()
			}
			next.arrive(a)
		})
	case shed.Queue:
		s.after(recheckGap, func() { g.recheck(a, d.Queued) })
	default:
		s.result.rejected++
	}
}

func (g *simGateway) recheck(a attempt, q *shed.QueuedRequest) {
	s := g.sim
	switch g.ctrl.Recheck(s.now, q, g.request(a)) {
	case shed.Queue:
		s.after(recheckGap, func() { g.recheck(a, q) })
	case shed.Send:
		g.ctrl.Dequeue(s.now, q, true)
		g.send(a)
	default:
		g.ctrl.Dequeue(s.now, q, false)
		s.result.rejected++
	}
}

func (g *simGateway) send(a attempt) {
	s := g.sim
	var c Choice
	if s.pick != nil {
		c = s.pick(g.fleet, s.now, g.work())
	} else {
		c, _ = g.fleet.PickOnline(s.now, g.work(), nil)
	}
	id, began := c.Target.ID, s.now
	g.fleet.Begin(s.now, id, structs.ClassOnline)
	g.loadChanged()
	s.result.sent++
	if c.Target.Domain != g.fleet.opts.Domain {
		s.result.otherDomain++
	}
	isQueued := c.IsQueued()
	if isQueued {
		s.result.queued++
	}
	observe := func() {
		if s.now.Sub(a.sentAt) <= s.goal {
			if a.sentAt != a.firstAt {
				s.result.returnedInGoal++
			}
			if s.now.Sub(start) <= s.duration {
				s.result.inGoal++
			}
			return
		}
		s.result.lateAnswers++
		if isQueued {
			s.result.queuedLate++
		}
	}
	s.serve(id, a.size, func() {
		if s.isStream {
			observe()
			g.fleet.RecordFirstEvent(Work{Service: "llm"}, s.now.Sub(began))
		}
	}, func() {
		if !s.isStream {
			observe()
		}
		if !isQueued {
			g.fleet.RecordHoldTime("llm", s.now.Sub(began))
		}
		g.fleet.End(s.now, id, structs.ClassOnline)
		g.loadChanged()
	})
}

// loadChanged has the peers receive the loads of this gateway, at most every reportGap.
func (g *simGateway) loadChanged() {
	if g.hasReport {
		return
	}
	g.hasReport = true
	g.sim.after(max(0, reportGap-g.sim.now.Sub(g.reportedAt)), g.report)
}

func (g *simGateway) report() {
	g.hasReport, g.reportedAt = false, g.sim.now
	r := g.fleet.Report(g.sim.now)
	g.sim.after(g.sim.reportDelay, func() {
		for _, p := range g.sim.nodes {
			if p != g {
				p.fleet.ApplyReport(g.sim.now, g.name, r)
			}
		}
	})
}

func (g *simGateway) refresh() {
	g.loadChanged()
	g.sim.after(200*time.Millisecond, g.refresh)
}

// sortByID gives candidates an order that does not differ between runs.
func sortByID(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.target.ID, b.target.ID) })
}
