package parts

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/internal/lab/virtual"
)

const (
	// stable is how long after enough crashes under a part further requests with it may still reach targets; sound ones
	// count from twice that on.
	stable = 3 * time.Second
	// enough is the number of crashes from which that counts.
	enough = 5
	// reportRecords is the number of records in a report to peers, reportGap the time between two reports.
	reportRecords = 8
	reportGap     = 5 * time.Millisecond
	// resendGap is how often a gateway looks for records that are due again.
	resendGap = 150 * time.Millisecond
	bodyBytes = 120
)

// start is the virtual time at which a play begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Result is what came of one way.
type Result struct {
	Way     string `json:"way"`
	Crashes int    `json:"crashes"`
	Reached int    `json:"reached"` // deadly requests that reached targets
	Late    int    `json:"late"`    // of those, later than allowed, the most of any deadly part
	Sound   int    `json:"sound"`   // sound requests that came
	// Rejected are the sound requests that were rejected, LateSound those that came later than twice the time after enough
	// crashes, LateRejected the rejected ones of these.
	Rejected     int `json:"rejected"`
	LateSound    int `json:"late_sound"`
	LateRejected int `json:"late_rejected"`
	Lost         int `json:"lost"` // sound requests that were broken off
	Records      int `json:"records"`
}

// run is a request at a target.
type run struct {
	request *request
	gateway int
	began   time.Time
	isOver  bool
}

// target is a target, or one after the other under the same index.
type target struct {
	isDown bool
	runs   []*run
}

// play is one run of a way.
type play struct {
	o        Options
	way      Way
	clock    virtual.Clock
	rng      *rand.Rand // of arrivals and choices
	net      *rand.Rand // of the network
	gateways []*gateway
	isDue    []bool // for each gateway, a report is scheduled
	targets  []*target
	crashes  map[int]int // by deadly part
	limit    map[int]time.Time
	late     map[int]int
	last     time.Time // when enough targets had crashed under the last part, zero before
	requests int
	result   Result
}

// Run plays the same arrivals and losses for each way. Error: errs.BadSettings.
func Run(o Options, ways []Way) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &Report{Options: o}
	for _, w := range ways {
		p := &play{o: o, way: w, clock: virtual.Clock{Now: start}, rng: rand.New(rand.NewPCG(o.Seed, 1)), net: rand.New(rand.NewPCG(o.Seed, 2)),
			isDue: make([]bool, o.Gateways), crashes: make(map[int]int), limit: make(map[int]time.Time), late: make(map[int]int)}
		r.Ways = append(r.Ways, p.run())
	}
	return r, nil
}

// run plays everything.
func (p *play) run() Result {
	for range p.o.Gateways {
		p.gateways = append(p.gateways, newGateway(p.way, p.net))
	}
	for range p.o.Targets {
		p.targets = append(p.targets, &target{})
	}
	p.arrivals(p.o.SoundFrom, p.o.Sound, false)
	p.arrivals(p.o.BadFrom, p.o.Bad, true)
	if p.o.Lose > 0 {
		for at := p.o.Lose; at < p.o.Duration; at += p.o.Lose {
			p.clock.After(at, p.loseTargets)
		}
	}
	if p.o.Restart > 0 {
		p.clock.After(p.o.Restart, func() {
			for i := 1; i < len(p.gateways); i++ {
				p.gateways[i] = newGateway(p.way, p.net)
			}
		})
	}
	for i := range p.gateways {
		p.clock.After(resendGap, func() { p.resend(i) })
	}
	p.clock.Run(start.Add(p.o.Duration))
	p.result.Way = p.way.String()
	for _, n := range p.late {
		p.result.Late = max(p.result.Late, n)
	}
	for _, g := range p.gateways {
		p.result.Records = max(p.result.Records, g.registry.Len())
	}
	return p.result
}

// arrivals draws the requests of one kind.
func (p *play) arrivals(from time.Duration, rate float64, isDeadly bool) {
	if rate <= 0 || isDeadly && p.o.DeadlyParts == 0 {
		return
	}
	for at := from; ; {
		at += time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= p.o.Duration {
			return
		}
		r, g := p.newRequest(isDeadly), p.rng.IntN(p.o.Gateways)
		choice := p.rng.Uint64()
		p.clock.After(at, func() { p.arrive(r, g, choice) })
	}
}

// newRequest draws a request with a content of its own.
func (p *play) newRequest(isDeadly bool) *request {
	p.requests++
	r := &request{deadly: -1, parts: []string{fmt.Sprint("f", p.rng.IntN(p.o.Firsts)), fmt.Sprint("m", p.rng.IntN(p.o.Middles)), fmt.Sprint("own", p.requests)}}
	if isDeadly {
		r.deadly = p.rng.IntN(p.o.DeadlyParts)
		place := 1
		if p.o.IsFirstDeadly {
			place = 0
		}
		r.parts[place] = fmt.Sprint("deadly", r.deadly)
	}
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte(p.rng.Uint32())
	}
	content := quarantine.NewContent(&serving.Request{
		Method: http.MethodPost, Host: "h", URI: fmt.Sprint("/", p.requests), CallerAddr: "10.0.0.1", Body: body, Prompt: serving.Prompt{Model: "m", Parts: r.parts},
	}).SetRoute("route")
	r.subject = content.Subject()
	return r
}

// arrive has a gateway take a request, which is sent to the target with the fewest runs.
func (p *play) arrive(r *request, g int, choice uint64) {
	isLateSound := r.deadly < 0 && !p.last.IsZero() && p.clock.Now.After(p.last.Add(2*stable))
	if r.deadly < 0 {
		p.result.Sound++
	}
	if isLateSound {
		p.result.LateSound++
	}
	t := p.pick(choice)
	if t == nil {
		return
	}
	if !p.gateways[g].isAdmitted(p.clock.Now, r) {
		if r.deadly < 0 {
			p.result.Rejected++
		}
		if isLateSound {
			p.result.LateRejected++
		}
		return
	}
	p.scheduleReport(g)
	p.begin(t, &run{request: r, gateway: g, began: p.clock.Now})
}

// pick returns the target with the fewest runs of those with a free slot; nil if there is none.
func (p *play) pick(choice uint64) *target {
	var best *target
	for i := range p.targets {
		t := p.targets[(i+int(choice%uint64(len(p.targets))))%len(p.targets)]
		if !t.isDown && len(t.runs) < p.o.Slots && (best == nil || len(t.runs) < len(best.runs)) {
			best = t
		}
	}
	return best
}

// begin runs a request at a target.
func (p *play) begin(t *target, r *run) {
	t.runs = append(t.runs, r)
	if r.request.deadly >= 0 {
		p.noteReached(r.request.deadly)
		p.clock.After(p.o.Prefill, func() {
			if !r.isOver {
				p.noteDeadlyCrash(r.request.deadly)
				p.crash(t)
			}
		})
		return
	}
	p.clock.After(p.o.Prefill+min(quarantine.MinPassDuration, p.o.Answer), func() {
		if !r.isOver {
			p.gateways[r.gateway].notePassed(p.clock.Now, r.began.Add(p.o.Prefill), r.request)
			p.count(r.request, 0, 1)
			p.scheduleReport(r.gateway)
		}
	})
	p.clock.After(p.o.Prefill+p.o.Answer, func() {
		if !r.isOver {
			r.isOver = true
			t.runs = without(t.runs, r)
		}
	})
}

func without(list []*run, r *run) []*run {
	kept := list[:0]
	for _, other := range list {
		if other != r {
			kept = append(kept, other)
		}
	}
	return kept
}

// noteReached counts a deadly request that reaches a target.
func (p *play) noteReached(deadly int) {
	p.result.Reached++
	if limit, ok := p.limit[deadly]; ok && p.clock.Now.After(limit) {
		p.late[deadly]++
	}
}

// noteDeadlyCrash counts a crash under a deadly part.
func (p *play) noteDeadlyCrash(deadly int) {
	p.crashes[deadly]++
	if p.crashes[deadly] == enough {
		p.limit[deadly], p.last = p.clock.Now.Add(stable), p.clock.Now
	}
}

// crash ends all runs at a target, which is replaced later.
func (p *play) crash(t *target) {
	p.result.Crashes++
	id, runs, at := fmt.Sprint("start-", p.result.Crashes), t.runs, p.clock.Now
	t.runs, t.isDown = nil, true
	p.clock.After(p.o.Down, func() { t.isDown = false })
	for _, r := range runs {
		r.isOver = true
		if r.request.deadly < 0 {
			p.result.Lost++
		}
		if at.Sub(r.began) >= p.o.Prefill+quarantine.MinPassDuration {
			continue // the run has passed
		}
		p.clock.After(p.o.Detect, func() {
			p.gateways[r.gateway].noteCrash(p.clock.Now, r.request, quarantine.NewCrash(id, id, r.began, at))
			p.count(r.request, 1, 0)
			p.scheduleReport(r.gateway)
		})
	}
}

// count has all gateways hear of the end of a run, if the way counts runs.
func (p *play) count(r *request, crashes, passes int) {
	if p.way != Ratio {
		return
	}
	p.clock.After(p.o.Delay, func() {
		for _, g := range p.gateways {
			g.addCounts(r, crashes, passes)
		}
	})
}

// loseTargets loses a share of the targets at once, for another reason than a request.
func (p *play) loseTargets() {
	for i := range int(p.o.LoseShare * float64(len(p.targets))) {
		if t := p.targets[(i+p.rng.IntN(len(p.targets)))%len(p.targets)]; !t.isDown {
			p.crash(t)
		}
	}
}

// resend has a gateway send what is due again.
func (p *play) resend(g int) {
	p.scheduleReport(g)
	p.clock.After(resendGap, func() { p.resend(g) })
}

// scheduleReport has a gateway send what is due soon.
func (p *play) scheduleReport(g int) {
	if p.isDue[g] {
		return
	}
	p.isDue[g] = true
	p.clock.After(reportGap, func() { p.report(g) })
}

// report sends records that are due to all peers, and the rest later.
func (p *play) report(g int) {
	p.isDue[g] = false
	records := p.gateways[g].registry.DueForPeers(p.clock.Now, reportRecords)
	if len(records) == 0 {
		return
	}
	for i := range p.gateways {
		if i == g || p.net.Float64() < p.o.Loss {
			continue
		}
		delay := p.o.Delay/4 + time.Duration(p.net.Int64N(int64(p.o.Delay)))
		p.clock.After(delay, func() {
			for _, r := range records {
				p.gateways[i].registry.ApplyPeer(p.clock.Now, r, p.clock.Now)
			}
		})
	}
	if len(records) == reportRecords {
		p.scheduleReport(g)
	}
}
