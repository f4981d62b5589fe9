package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusramp/core/backlog"
	corefleet "arbutusramp/core/fleet"
	"arbutusramp/core/policy"
	"arbutusramp/core/shed"
	"arbutusramp/core/structs"
)

// Pauses of a gateway, as in the product.
const (
	tellGap = 3 * time.Millisecond   // between two reports of changed loads
	refresh = 200 * time.Millisecond // between two reports without a change
	looks   = 15 * time.Millisecond  // between two looks for room, beside those when a slot comes free
)

// stream is one caller's request, over its attempts.
type stream struct {
	came   time.Time
	events int
}

// item is one item of a job.
type item struct {
	due  time.Time
	left int // events
}

// run is an item at an engine.
type run struct {
	item   *item
	work   *work
	target string
}

// gateway is one gateway with its own view of the fleet.
type gateway struct {
	sim        *sim
	name       corefleet.Peer
	view       *corefleet.Fleet
	controller shed.Controller
	items      []*item // that wait, in the order of key
	runs       []*run
	told       time.Time
	dirty      bool // loads have changed since told
}

// serve takes a stream: it is sent to an engine, its caller is sent away, or it is held.
func (g *gateway) serve(s *stream) {
	d := g.controller.Arrive(g.sim.clock.now, g.outlook(s))
	switch d.Verdict {
	case shed.Send:
		g.send(s)
	case shed.RetryLater:
		g.sim.report.SentAway++
		g.sim.clock.after(d.RetryAfter, func() { g.sim.anyGateway().serve(s) })
	case shed.Queue:
		g.enqueue(s, d.Queued)
	case shed.Reject:
		g.sim.report.Refused++
	}
}

// outlook is what a stream that comes now may expect.
func (g *gateway) outlook(s *stream) shed.Request {
	now, o := g.sim.clock.now, &g.sim.options
	p := g.view.Estimate(now, corefleet.Work{Service: service})
	return shed.Request{
		ExpectedWait: p.Wait, HoldTime: p.HoldTime, StartRate: p.StartRate, LatencyGoal: o.Goal, Remaining: o.Patience - now.Sub(s.came), InitialTimeout: o.Patience, IdleTimeout: o.Stay,
	}
}

// queuePollInterval is how often the product looks at queued requests.
const queuePollInterval = 10 * time.Millisecond

func (g *gateway) enqueue(s *stream, t *shed.QueuedRequest) {
	g.sim.clock.after(queuePollInterval, func() {
		if g.controller.Recheck(g.sim.clock.now, t, g.outlook(s)) == shed.Queue {
			g.enqueue(s, t)
			return
		}
		g.controller.Dequeue(g.sim.clock.now, t, true)
		g.send(s)
	})
}

func (g *gateway) send(s *stream) {
	now, o := g.sim.clock.now, &g.sim.options
	c, _ := g.view.PickOnline(now, corefleet.Work{Service: service}, nil) // there is one: engines that are there never fail
	id := c.Target.ID
	g.view.Begin(now, id, structs.ClassOnline)
	g.preempt()
	g.changed()
	g.sim.engines[id].take(&work{prompt: o.Prompt, event: o.Event, events: s.events,
		first: func() { g.sim.report.first(g.sim.clock.now.Sub(s.came), o.Goal) },
		over: func() {
			if !c.IsQueued() {
				g.view.RecordHoldTime(service, g.sim.clock.now.Sub(now))
			}
			g.view.End(g.sim.clock.now, id, structs.ClassOnline)
			g.changed()
			g.startItems()
		}})
}

// startItems starts items in their order, as long as there is room.
func (g *gateway) startItems() {
	g.sort()
	for len(g.items) > 0 {
		now := g.sim.clock.now
		c, ok := g.view.PickBatch(now, corefleet.Work{Service: service}, nil)
		if !ok {
			return
		}
		it := g.items[0]
		g.items = g.items[1:]
		g.start(it, c.Target.ID)
	}
}

func (g *gateway) start(it *item, id string) {
	o := &g.sim.options
	r := &run{item: it, target: id}
	r.work = &work{prompt: o.Prompt, event: o.Event, events: it.left, over: func() {
		g.sim.report.done(g.sim.clock.now, it)
		g.end(r)
		g.startItems()
	}}
	g.runs = append(g.runs, r)
	g.view.Begin(g.sim.clock.now, id, structs.ClassBatch)
	g.changed()
	g.sim.engines[id].take(r.work)
}

// end counts a run as over.
func (g *gateway) end(r *run) {
	g.runs = slices.DeleteFunc(g.runs, func(other *run) bool { return other == r })
	g.view.End(g.sim.clock.now, r.target, structs.ClassBatch)
	g.changed()
}

// preempt cuts off as many items as online requests need slots, the newest first.
func (g *gateway) preempt() {
	cuts := g.view.Preempt(g.sim.clock.now)
	for _, id := range slices.Sorted(maps.Keys(cuts)) {
		n := cuts[id]
		for i := len(g.runs) - 1; i >= 0 && n > 0; i-- {
			if g.runs[i].target == id {
				g.cut(g.runs[i])
				n--
			}
		}
	}
}

// cut ends a run; its item goes on later from its last event.
func (g *gateway) cut(r *run) {
	g.sim.report.Cut++
	r.item.left = max(1, r.item.left-r.work.made(g.sim.clock.now))
	g.sim.engines[r.target].stop(r.work)
	g.end(r)
	g.queue(r.item)
}

func (g *gateway) queue(it *item) {
	g.items = append(g.items, it)
	g.sort()
}

// key is an item's place in the order of starts.
func (g *gateway) key(it *item) int64 {
	due := it.due.UnixMilli()
	if !g.sim.policy.Off.IsEnabled(policy.FeasibleFirst) {
		return due
	}
	left := g.sim.options.Prompt + time.Duration(it.left)*g.sim.options.Event
	return backlog.StartKey(g.sim.clock.now, due, left, 0, false)
}

func (g *gateway) sort() {
	slices.SortStableFunc(g.items, func(a, b *item) int { return cmp.Compare(g.key(a), g.key(b)) })
}

// changed has the peers hear of this gateway's loads, at most every tellGap.
func (g *gateway) changed() {
	if g.dirty {
		return
	}
	g.dirty = true
	g.sim.clock.after(max(0, tellGap-g.sim.clock.now.Sub(g.told)), g.tell)
}

func (g *gateway) tell() {
	g.dirty = false
	g.told = g.sim.clock.now
	g.view.SetDemand(g.want())
	report := g.view.Report(g.sim.clock.now)
	for _, peer := range g.sim.gateways {
		if peer == g {
			continue
		}
		g.sim.clock.after(g.sim.options.Lag, func() {
			peer.view.ApplyReport(g.sim.clock.now, g.name, report)
			peer.preempt()
			peer.startItems()
		})
	}
}

func (g *gateway) want() corefleet.Demand {
	if len(g.items) == 0 {
		return corefleet.Demand{}
	}
	return corefleet.Demand{Items: len(g.items), StartKey: g.key(g.items[0])}
}

// live has the gateway tell and look now and then without a cause.
func (g *gateway) live() {
	var look, tell func()
	look = func() {
		g.startItems()
		g.sim.clock.after(looks, look)
	}
	tell = func() {
		g.changed()
		g.sim.clock.after(refresh, tell)
	}
	look()
	tell()
}
