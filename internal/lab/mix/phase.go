package mix

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"arbutusramp/standin/engine"
)

const (
	// settle is the time for sessions, limits and step models to form before
	// anything is measured.
	settle = 3 * time.Second
	// fill is the time for batch to reach its steady state: longer than
	// nearly every item takes, so that as many are under way at the end as at the start.
	fill = 10 * time.Second
	// batchAlone bounds the phase without online load; its rate is steady.
	batchAlone = 20 * time.Second
)

// phase is one experiment on a fleet of its own.
type phase struct {
	name      string
	online    bool
	batch     bool
	straight  bool // past the product
	noPreempt bool
	headroom  float64
	fault     *fault
	length    time.Duration
}

// outcome is what one phase has shown.
type outcome struct {
	phase      phase
	firstToken *latencies // of streamed calls that got their whole answer
	service    *latencies
	batch      rate
	errors     map[string]int
	resends    int
	calls      int
	violations []string
	preempted  int64   // batch streams that were cancelled at the engines
	cpu        float64 // cores that this process used
	pace       engine.Pace
	results    []*result
	left       int64 // requests that a leaving target had got when it must get no more
}

// runPhase runs p on a new fleet.
func (r *runner) runPhase(p phase) (*outcome, error) {
	var items *feed
	if p.batch {
		items = newFeed(r.shape, r.opts.Seed)
	}
	o := setup{headroom: p.headroom, noPreempt: p.noPreempt, seed: r.opts.Seed, logger: r.opts.Logger, links: p.fault != nil}
	if !p.straight {
		o.feed = items
	}
	f, err := startFleet(r.shape, o)
	if err != nil {
		return nil, err
	}
	defer f.close()
	out := &outcome{phase: p, firstToken: newLatencies(), service: newLatencies(), errors: map[string]int{}}
	r.drive(f, items, out)
	return out, nil
}

// drive loads the fleet and takes the measures.
func (r *runner) drive(f *fleet, items *feed, out *outcome) {
	p := out.phase
	ctx, cancel := context.WithCancel(context.Background())
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		if p.straight && p.batch {
			flood(ctx, items, f.engines)
		}
	}()
	defer func() { cancel(); <-flooded }()
	time.Sleep(settle)
	if p.batch {
		time.Sleep(fill)
	}
	var onlineTokens atomic.Int64
	before := take(f, items, &onlineTokens)
	calls := r.sendOnline(f, items, out, before.at, &onlineTokens)
	time.Sleep(time.Until(before.at.Add(p.length)))
	out.measure(before, take(f, items, &onlineTokens), items)
	results := <-calls
	cancel()
	<-flooded
	if items != nil {
		items.stop()
	}
	out.count(results)
	out.check(f, items)
	for _, e := range f.engines {
		out.addEngine(e.Stats(false))
	}
}

// sendOnline starts the online calls of the phase; the channel gives their results.
func (r *runner) sendOnline(f *fleet, items *feed, out *outcome, start time.Time, tokens *atomic.Int64) <-chan []result {
	done := make(chan []result, 1)
	if !out.phase.online {
		done <- nil
		return done
	}
	b := newBalancer(f)
	var where doors = b
	if out.phase.straight {
		where = newStraight(f)
	}
	if out.phase.fault != nil {
		r.schedule(out, &stage{fleet: f, balancer: b, feed: items})
	}
	cs := newCallers(r.shape, where, tokens)
	go func() { done <- cs.run(start, plan(r.shape, r.opts.Seed, out.phase.length)) }()
	return done
}

// schedule brings the fault about at its time.
func (r *runner) schedule(out *outcome, s *stage) {
	fault := out.phase.fault
	at := time.Duration(faultAt * float64(out.phase.length))
	time.AfterFunc(at, func() {
		r.progress("fault: %s", fault.name)
		fault.strike(s)
	})
	if fault.leaves {
		time.AfterFunc(at+leaveWithin, func() { out.noteLeft(s.fleet) })
	}
}

// reading is what had been done at one moment.
type reading struct {
	at          time.Time
	cpu         time.Duration
	batchTokens int64 // all tokens of the engines less those that online callers got
	items       int
}

func take(f *fleet, items *feed, onlineTokens *atomic.Int64) reading {
	r := reading{at: time.Now(), cpu: cpuTime(), batchTokens: -onlineTokens.Load()}
	for _, e := range f.engines {
		r.batchTokens += e.Stats(false).Tokens
	}
	if items != nil {
		r.items = items.counts().done
	}
	return r
}

// rate is batch throughput a second.
type rate struct {
	items  float64 // that ended
	tokens float64 // generated
	work   float64 // seconds of engine time that those tokens take, with their prompts
}

// measure takes the rates between two readings. Throughput goes by the tokens that the engines
// generated: items that ended would count work from before the first reading.
func (o *outcome) measure(from, to reading, items *feed) {
	s := to.at.Sub(from.at).Seconds()
	o.cpu = (to.cpu - from.cpu).Seconds() / s
	if items == nil {
		return
	}
	o.batch.items = float64(to.items-from.items) / s
	o.batch.tokens = float64(to.batchTokens-from.batchTokens) / s
	o.batch.work = o.batch.tokens * items.workPerToken()
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// addEngine adds what one engine says of itself.
func (o *outcome) addEngine(s engine.Stats) {
	o.preempted += s.Cancels
	o.pace.LateSteps += s.Pace.LateSteps
	o.pace.LateMs += s.Pace.LateMs
	o.pace.MaxLateMs = max(o.pace.MaxLateMs, s.Pace.MaxLateMs)
}

// count takes in the results of the online calls.
func (o *outcome) count(results []result) {
	for i := range results {
		r := &results[i]
		o.calls++
		o.resends += r.resends
		switch {
		case r.lost:
			o.errors[connectionLost]++
		case r.failure != nil:
			o.errors[string(r.failure.Type)]++
		case r.wrong != "":
			o.violate("call %s: %s", r.call.id(), r.wrong)
		case r.call.Kind == callStream:
			o.firstToken.record(r.first)
		default:
			o.service.record(r.first)
		}
		o.results = append(o.results, r)
	}
}

func (o *outcome) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}
