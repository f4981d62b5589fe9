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
	// made is how many events of the item have been made at version, and go on from there.
	made       int
	version    string
	waitsSince time.Time // since when an item with events waits; zero before its next start is tried
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
	nextStart  time.Time // no item starts before
	told       time.Time
	dirty      bool // loads have changed since told
}

// serve takes a stream: it is sent to an engine, its caller is sent away, or it is held.
func (g *gateway) serve(s *stream) {
	d := g.controller.Arrive(g.sim.clock.Now, g.outlook(s))
	if d.Verdict != shed.Send && g.view.NoteOverload(g.sim.clock.Now, service) {
		g.changed()
	}
	switch d.Verdict {
	case shed.Send:
		g.send(s)
	case shed.RetryLater:
		g.sim.report.SentAway++
		g.sim.clock.After(d.RetryAfter, func() { g.sim.anyGateway().serve(s) })
	case shed.Queue:
		g.enqueue(s, d.Queued)
	case shed.Reject:
		g.sim.report.Refused++
	}
}

// outlook is what a stream that comes now may expect.
func (g *gateway) outlook(s *stream) shed.Request {
	now, o := g.sim.clock.Now, &g.sim.options
	p := g.view.Estimate(now, corefleet.Work{Service: service})
	return shed.Request{
		ExpectedWait: p.Wait, HoldTime: p.HoldTime, StartRate: p.StartRate, LatencyGoal: o.Goal, Remaining: o.Patience - now.Sub(s.came), InitialTimeout: o.Patience, IdleTimeout: o.Stay,
	}
}

// queuePollInterval is how often the product looks at queued requests.
const queuePollInterval = 10 * time.Millisecond

func (g *gateway) enqueue(s *stream, t *shed.QueuedRequest) {
	g.sim.clock.After(queuePollInterval, func() {
		if g.controller.Recheck(g.sim.clock.Now, t, g.outlook(s)) == shed.Queue {
			g.enqueue(s, t)
			return
		}
		g.controller.Dequeue(g.sim.clock.Now, t, true)
		g.send(s)
	})
}

func (g *gateway) send(s *stream) {
	now, o := g.sim.clock.Now, &g.sim.options
	c, _ := g.view.PickOnline(now, corefleet.Work{Service: service}, nil) // there is one: engines that are there never fail
	id := c.Target.ID
	g.view.Begin(now, id, structs.ClassOnline)
	g.preempt()
	g.changed()
	g.sim.engines[id].take(&work{prompt: o.Prompt, event: o.Event, events: s.events,
		first: func() { g.sim.report.first(g.sim.clock.Now.Sub(s.came), o.Goal) },
		over: func() {
			if !c.IsQueued() {
				g.view.RecordHoldTime(service, g.sim.clock.Now.Sub(now))
			}
			g.view.End(g.sim.clock.Now, id, structs.ClassOnline)
			g.changed()
			g.startItems()
		}})
}

// startItems starts items in their order, as long as there is room.
func (g *gateway) startItems() {
	g.sort()
	for len(g.items) > 0 {
		now := g.sim.clock.Now
		if now.Before(g.nextStart) {
			return
		}
		i, id := g.pickItem(now)
		if id == "" {
			return
		}
		it := g.items[i]
		g.items = slices.Delete(g.items, i, i+1)
		g.start(it, id)
		if pause := g.sim.options.StartPause; pause > 0 {
			g.nextStart = now.Add(pause)
			g.sim.clock.After(pause, g.startItems)
			return
		}
	}
}

// startClass is what decides, beside the item itself, whether it can start: the version that it needs, if it needs one.
type startClass struct {
	version  string
	isPinned bool
}

func classOf(w corefleet.Work) startClass {
	if w.Version == nil {
		return startClass{}
	}
	return startClass{version: *w.Version, isPinned: true}
}

// pickItem returns the index of the item that starts next and its target: the first in order that can start, urgent ones
// while others are deferred. The target is empty if none starts. An item with events that starts without a required
// version begins again.
func (g *gateway) pickItem(now time.Time) (i int, target string) {
	full, deferred := make(map[startClass]bool), make(map[startClass]bool)
	for i, it := range g.items {
		for _, w := range g.works(it, now) {
			class := classOf(w)
			if full[class] || deferred[class] && !w.IsUrgent {
				continue
			}
			pick := g.view.PickBatchSlot(now, w)
			if pick.IsPicked {
				if w.Version == nil {
					g.restart(it)
				}
				return i, pick.Target.ID
			}
			if pick.Deferral == corefleet.NotDeferred || w.IsUrgent {
				full[class] = true
			} else {
				deferred[class] = true
			}
		}
	}
	return 0, ""
}

// works returns what an item needs of a target, in the order in which it is to be tried.
func (g *gateway) works(it *item, now time.Time) []corefleet.Work {
	w := corefleet.Work{Service: service, IsUrgent: g.isUrgent(it), StartSlack: max(0, g.slack(it))}
	if it.made == 0 || g.sim.policy.Items == AnyVersion {
		return []corefleet.Work{w}
	}
	pinned := w
	pinned.Version = &it.version
	if it.waitsSince.IsZero() {
		it.waitsSince = now
	}
	canRestart := g.sim.policy.Items == RestartAtOnce || g.sim.policy.Items == WaitThenRestart && now.Sub(it.waitsSince) >= max(minVersionWait, versionWaitFactor*time.Duration(it.made)*g.sim.options.Event)
	if !canRestart {
		return []corefleet.Work{pinned}
	}
	return []corefleet.Work{pinned, w}
}

// minVersionWait and versionWaitFactor are those of the product.
const (
	minVersionWait    = 4 * time.Second
	versionWaitFactor = 4
)

// restart makes an item begin again, unless its events go on at any version.
func (g *gateway) restart(it *item) {
	if it.made == 0 || g.sim.policy.Items == AnyVersion {
		return
	}
	g.sim.report.Restarted++
	g.sim.report.EventsLost += it.made
	it.left += it.made
	it.made = 0
}

// minUrgentSlack and urgentRemainingShare are those of the product.
const (
	minUrgentSlack       = 2 * time.Second
	urgentRemainingShare = 0.25
)

// isUrgent reports whether an item can still be in time, but not if it starts much later.
func (g *gateway) isUrgent(it *item) bool {
	remaining := g.remaining(it)
	slack := g.slack(it)
	return slack >= 0 && slack < max(minUrgentSlack, time.Duration(urgentRemainingShare*float64(remaining)))
}

// slack is how long an item's start can be deferred.
func (g *gateway) slack(it *item) time.Duration { return it.due.Sub(g.sim.clock.Now) - g.remaining(it) }

// remaining is how long an item still has to run.
func (g *gateway) remaining(it *item) time.Duration {
	return g.sim.options.Prompt + time.Duration(it.left)*g.sim.options.Event
}

func (g *gateway) start(it *item, id string) {
	o := &g.sim.options
	r := &run{item: it, target: id}
	it.waitsSince = time.Time{}
	r.work = &work{prompt: o.Prompt, event: o.Event, events: it.left, over: func() {
		g.sim.report.done(g.sim.clock.Now, it)
		g.end(r)
		g.startItems()
	}}
	g.runs = append(g.runs, r)
	g.sim.report.Runs++
	g.view.Begin(g.sim.clock.Now, id, structs.ClassBatch)
	g.changed()
	g.sim.engines[id].take(r.work)
}

// end counts a run as over.
func (g *gateway) end(r *run) {
	g.runs = slices.DeleteFunc(g.runs, func(other *run) bool { return other == r })
	g.view.End(g.sim.clock.Now, r.target, structs.ClassBatch)
	g.changed()
}

// preempt cuts off as many items as online requests need slots: the newest first, or those that lose least if the costs
// are predicted.
func (g *gateway) preempt() {
	cuts := g.view.Preempt(g.sim.clock.Now)
	for _, id := range slices.Sorted(maps.Keys(cuts)) {
		var there []*run
		for _, r := range slices.Backward(g.runs) {
			if r.target == id {
				there = append(there, r)
			}
		}
		if g.view.IsCostAware(service) {
			slices.SortStableFunc(there, func(a, b *run) int { return cmp.Compare(g.loss(a), g.loss(b)) })
		}
		for _, r := range there[:min(cuts[id], len(there))] {
			g.cut(r)
		}
	}
}

// loss is what is lost by cutting a run, as in the product; no events are saved in the model.
func (g *gateway) loss(r *run) float64 {
	made := r.work.made(g.sim.clock.Now)
	if made == 0 {
		return -1
	}
	return float64(1+made) / float64(1+r.item.left-made)
}

// cut ends a run; its item goes on later from its last event.
func (g *gateway) cut(r *run) {
	g.sim.report.Cut++
	if r.work.made(g.sim.clock.Now) == 0 {
		g.sim.report.CutWithoutGain++
	}
	made := min(r.work.made(g.sim.clock.Now), r.item.left-1)
	if made > 0 && r.item.made == 0 {
		r.item.version = g.sim.engines[r.target].version
	}
	r.item.left -= made
	r.item.made += made
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
	return backlog.StartKey(g.sim.clock.Now, due, g.remaining(it), 0, false)
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
	g.sim.clock.After(max(0, tellGap-g.sim.clock.Now.Sub(g.told)), g.tell)
}

func (g *gateway) tell() {
	g.dirty = false
	g.told = g.sim.clock.Now
	g.view.SetDemand(g.want())
	report := g.view.Report(g.sim.clock.Now)
	for _, peer := range g.sim.gateways {
		if peer == g {
			continue
		}
		g.sim.clock.After(g.sim.options.Lag, func() {
			peer.view.ApplyReport(g.sim.clock.Now, g.name, report)
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
		g.sim.clock.After(looks, look)
	}
	tell = func() {
		g.changed()
		g.sim.clock.After(refresh, tell)
	}
	look()
	tell()
}
