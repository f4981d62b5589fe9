package fairshare_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusramp/core/fairshare"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/shed"
	"arbutusramp/core/structs"
)

const (
	ms            = time.Millisecond
	simPeerTTL    = 700 * ms
	simTimeout    = 1500 * ms // of callers
	simQueuePoll  = 10 * ms
	simReportStep = 4 * ms
	simService    = "llm"
)

// load is a simulated load of Poisson arrivals.
type load struct {
	gateways, targets, slots int
	hold, goal               time.Duration
	rates                    map[string]func(elapsed time.Duration) float64 // requests per second by workspace
	sharing                  *fairshare.Options                             // nil to not divide the capacity
	lossShare                float64                                        // share of reports that get lost
	maxDelay                 time.Duration                                  // of a report
	cutAt                    time.Duration                                  // when half of the gateways are cut off from the others; 0 for never
	killAt                   time.Duration                                  // when half of the gateways are killed; 0 for never
	duration                 time.Duration
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// outcome is what the requests of a workspace got in one interval.
type outcome struct{ sent, inGoal, served int }

// share is the share of requests of which an attempt was answered within the goal.
// It is 1 without requests.
func (o outcome) share() float64 {
	if o.sent == 0 {
		return 1
	}
	return float64(o.inGoal) / float64(o.sent)
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim simulates gateways that decide on requests by fleet.Fleet and shed.Controller, before targets that serve
// requests in order of arrival.
type sim struct {
	load
	rng      *rand.Rand
	began    time.Time
	elapsed  time.Duration
	events   events
	seq      int
	gateways []*simGateway
	targets  map[string]*simTarget
	// outcomes are the outcomes by workspace and second of the first attempt.
	outcomes map[string][]outcome
	// shareRejections counts the attempts that were rejected because of a share.
	shareRejections int
}

type simGateway struct {
	fleet   *fleet.Fleet
	control shed.Controller
	queue   []queuedRequest
}

type simTarget struct{ freeAt []time.Duration }

type request struct {
	workspace string
	firstAt   time.Duration
	attemptAt time.Duration
	attempts  int
}

type queuedRequest struct {
	request
	arrivedAt time.Duration
	queued    *shed.QueuedRequest
	isOver    bool
}

func newSim(l load, seed uint64) *sim {
	s := &sim{load: l, rng: rand.New(rand.NewPCG(seed, 7)), began: time.Unix(1000, 0), targets: make(map[string]*simTarget), outcomes: make(map[string][]outcome)}
	for i := range l.gateways {
		g := &simGateway{fleet: fleet.New(fleet.Options{Self: fleet.Peer(fmt.Sprint("g", i)), PeerTTL: simPeerTTL, Sharing: l.sharing})}
		for j := range l.targets {
			g.fleet.Put(serving.Target{ID: fmt.Sprint("t", j), Service: simService, Slots: l.slots})
		}
		g.fleet.RecordHoldTime(simService, l.hold)
		s.gateways = append(s.gateways, g)
	}
	for j := range l.targets {
		s.targets[fmt.Sprint("t", j)] = &simTarget{freeAt: make([]time.Duration, l.slots)}
	}
	return s
}

func (s *sim) now() time.Time { return s.began.Add(s.elapsed) }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.elapsed + d, s.seq, do})
}

// run simulates the load.
func (s *sim) run() {
	names := make([]string, 0, len(s.rates))
	for name := range s.rates {
		names = append(names, name)
		s.outcomes[name] = make([]outcome, s.duration/time.Second+1)
	}
	slices.Sort(names)
	for _, name := range names {
		s.arriveNext(name)
	}
	for i := range s.gateways {
		s.after(time.Duration(i)*ms, func() { s.report(i) })
		s.after(time.Duration(i)*ms, func() { s.pollQueue(i) })
	}
	for len(s.events) > 0 && s.elapsed < s.duration {
		e := heap.Pop(&s.events).(event)
		s.elapsed = e.at
		e.do()
	}
}

// arriveNext schedules the next first attempt of a workspace. Rates above zero change slowly compared with the gaps.
func (s *sim) arriveNext(name string) {
	rate := s.rates[name](s.elapsed)
	if rate <= 0 {
		s.after(10*ms, func() { s.arriveNext(name) })
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.outcomes[name][s.elapsed/time.Second].sent++
		s.arrive(request{workspace: name, firstAt: s.elapsed})
		s.arriveNext(name)
	})
}

func (s *sim) work(r request) fleet.Work {
	return fleet.Work{Service: simService, Route: "call", Workspace: r.workspace}
}

// input returns the input of the admission decision, as internal/gateway does.
func (s *sim) input(g *simGateway, r request, arrivedAt time.Duration) shed.Request {
	e := g.fleet.Estimate(s.now(), s.work(r))
	return shed.Request{
		ExpectedWait: e.Wait, HoldTime: e.HoldTime, StartRate: e.StartRate, LatencyGoal: s.goal,
		Remaining: simTimeout - (arrivedAt - r.firstAt), InitialTimeout: simTimeout,
	}
}

func (s *sim) arrive(r request) {
	r.attempts++
	r.attemptAt = s.elapsed
	g := s.gateways[s.firstAlive()+s.rng.IntN(len(s.gateways)-s.firstAlive())]
	in := s.input(g, r, s.elapsed)
	d := g.fleet.OfferOnline(s.now(), s.work(r), 0, in.IsSecondAttempt())
	in.Share = shed.Share{IsDivided: g.fleet.IsSharing(), IsOver: d.IsOverShare, IsAdmitted: d.IsAdmitted, IsSlotFree: d.IsSlotFree}
	verdict := g.control.Arrive(s.now(), in)
	switch verdict.Verdict {
	case shed.Send:
		s.send(g, r)
		return
	case shed.Queue:
		g.queue = append(g.queue, queuedRequest{r, s.elapsed, verdict.Queued, d.IsOverShare})
		return
	case shed.RetryLater:
		if r.attempts == 1 {
			s.after(verdict.RetryAfter, func() { s.arrive(r) })
		}
	}
	if d.IsOverShare {
		s.shareRejections++
		g.fleet.RecordShareRejection(s.now(), s.work(r), d)
	}
}

// firstAlive returns the index of the first gateway that has not been killed.
func (s *sim) firstAlive() int {
	if s.killAt > 0 && s.elapsed >= s.killAt {
		return len(s.gateways) / 2
	}
	return 0
}

func (s *sim) pollQueue(i int) {
	if i < s.firstAlive() {
		return
	}
	g := s.gateways[i]
	var left []queuedRequest
	for _, q := range g.queue {
		in := s.input(g, q.request, q.arrivedAt)
		in.Share = shed.Share{IsDivided: g.fleet.IsSharing(), IsOver: q.isOver, IsAdmitted: q.isOver, IsSlotFree: q.isOver && g.fleet.HasFreeSlot(s.now(), s.work(q.request))}
		switch g.control.Recheck(s.now(), q.queued, in) {
		case shed.Send:
			g.control.Dequeue(s.now(), q.queued, true)
			s.send(g, q.request)
		case shed.Queue:
			left = append(left, q)
		default:
			g.control.Dequeue(s.now(), q.queued, false)
		}
	}
	g.queue = left
	s.after(simQueuePoll, func() { s.pollQueue(i) })
}

// send serves a request in the slot of the chosen target that is free first.
func (s *sim) send(g *simGateway, r request) {
	c, ok := g.fleet.PickOnline(s.now(), s.work(r), nil)
	if !ok {
		return
	}
	g.fleet.Begin(s.now(), c.Target.ID, structs.ClassOnline)
	g.fleet.ServeWork(s.now(), s.work(r))
	t, sentAt := s.targets[c.Target.ID], s.elapsed
	slot := slices.Index(t.freeAt, slices.Min(t.freeAt))
	end := max(s.elapsed, t.freeAt[slot]) + s.hold
	t.freeAt[slot] = end
	s.after(end-s.elapsed, func() {
		g.fleet.End(s.now(), c.Target.ID, structs.ClassOnline)
		if !c.IsQueued() {
			g.fleet.RecordHoldTime(simService, s.elapsed-sentAt)
		}
		o := &s.outcomes[r.workspace][r.firstAt/time.Second]
		o.served++
		if s.elapsed-r.attemptAt <= s.goal {
			o.inGoal++
		}
	})
}

// report sends the load report of a gateway to its peers.
func (s *sim) report(i int) {
	if i < s.firstAlive() {
		return
	}
	report := s.gateways[i].fleet.Report(s.now())
	for j, to := range s.gateways {
		isCut := s.cutAt > 0 && s.elapsed >= s.cutAt && (i < len(s.gateways)/2) != (j < len(s.gateways)/2)
		if j == i || isCut || s.rng.Float64() < s.lossShare {
			continue
		}
		s.after(time.Duration(s.rng.Float64()*float64(s.maxDelay)), func() {
			to.fleet.ApplyReport(s.now(), fleet.Peer(fmt.Sprint("g", i)), report)
		})
	}
	s.after(simReportStep, func() { s.report(i) })
}

// total returns the outcome of a workspace from one second to another.
func (s *sim) total(name string, from, to int) outcome {
	var sum outcome
	for _, o := range s.outcomes[name][from:to] {
		sum.sent, sum.inGoal, sum.served = sum.sent+o.sent, sum.inGoal+o.inGoal, sum.served+o.served
	}
	return sum
}
