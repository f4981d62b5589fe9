package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	corefleet "arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/shed"
	"arbutusramp/internal/lab/virtual"
)

// service is that of all engines.
const service = "llm"

// peerTTL is how long a report counts; longer than refresh, as in the product.
const peerTTL = 700 * time.Millisecond

// sim is one run of a policy.
type sim struct {
	options  Options
	policy   Policy
	clock    *virtual.Clock
	rng      *rand.Rand
	engines  map[string]*engine
	gateways []*gateway
	report   *Result
}

// Run compares the policies on the same arrivals. Error: errs.BadSettings.
func Run(o Options, policies []Policy) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &Report{Options: o}
	for _, p := range policies {
		r.Policies = append(r.Policies, newSim(o, p).run())
	}
	return r, nil
}

func newSim(o Options, p Policy) *sim {
	s := &sim{
		options: o, policy: p, clock: &virtual.Clock{Now: time.Unix(0, 0)}, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		engines: make(map[string]*engine), report: newResult(p.Name),
	}
	for i := range o.Gateways {
		name := corefleet.Peer(fmt.Sprintf("g%d", i))
		view := corefleet.New(corefleet.Options{Self: name, MinFreeAfterStart: max(p.Spare, p.Reserve), MinFreeSlots: p.Spare, PeerTTL: peerTTL, ExpectedTime: p.ExpectedTime, YieldsInOverload: true, Disabled: p.Off})
		s.gateways = append(s.gateways, &gateway{sim: s, name: name, view: view, controller: shed.Controller{Disabled: p.Off}})
	}
	for i := range o.Engines - o.Lost {
		id := fmt.Sprintf("e%d", i)
		version := o.version(i, o.Engines-o.Lost)
		s.engines[id] = &engine{clock: s.clock, slots: o.Slots, version: version}
		for _, g := range s.gateways {
			g.view.Put(serving.Target{ID: id, Service: service, Slots: o.Slots, Version: version})
		}
	}
	return s
}

// run plays the arrivals and what is left of them after the last one.
func (s *sim) run() *Result {
	s.arrivals()
	for _, g := range s.gateways {
		g.live()
	}
	end := s.clock.Now.Add(time.Duration(s.options.Seconds) * time.Second)
	s.clock.Run(end.Add(2 * s.options.Due))
	s.report.close()
	return s.report
}

// arrivals sets all streams and jobs. They depend on the seed alone, not on the policy.
func (s *sim) arrivals() {
	last := time.Duration(s.options.Seconds) * time.Second
	for at := s.gap(0); at < last; at += s.gap(at) {
		st := &stream{events: s.length(s.options.StreamEvents)}
		g := s.anyGateway()
		s.report.Streams++
		s.clock.After(at, func() {
			st.came = s.clock.Now
			g.serve(st)
		})
	}
	if s.options.Jobs == 0 {
		return
	}
	for at := s.exp(s.options.Jobs); at < last; at += s.exp(s.options.Jobs) {
		s.job(at)
	}
}

// gap is the time until the next stream after the one at that time.
func (s *sim) gap(at time.Duration) time.Duration {
	rate := s.options.Streams * calmFactor
	if at%burstEvery < burstFor {
		rate = s.options.Streams * burstFactor
	}
	if s.options.IsSteady {
		rate = s.options.Streams
	}
	all := time.Duration(s.options.Seconds) * time.Second
	if s.options.Burst > 0 && at >= all/2 && at < all/2+all/10 {
		rate *= s.options.Burst
	}
	return s.exp(rate)
}

func (s *sim) exp(perS float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / perS * float64(time.Second))
}

// length draws a number of events around a mean.
func (s *sim) length(mean int) int {
	const spread = 0.25
	return max(1, int(math.Round(float64(mean)*(1+spread*s.rng.NormFloat64()))))
}

// job hands the items of a job to the gateways that own them.
func (s *sim) job(at time.Duration) {
	due := s.clock.Now.Add(at + s.options.Due)
	for range s.options.JobItems {
		it := &item{due: due, left: s.length(s.options.ItemEvents)}
		g := s.anyGateway()
		s.report.Items++
		s.clock.After(at, func() {
			g.queue(it)
			g.changed()
			g.startItems()
		})
	}
}

func (s *sim) anyGateway() *gateway { return s.gateways[s.rng.IntN(len(s.gateways))] }
