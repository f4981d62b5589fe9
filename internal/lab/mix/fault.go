package mix

import (
	"slices"
	"strings"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/standin/engine"
)

// fault is one failure that is brought about during the product's phase.
type fault struct {
	name string
	doc  string
	// planned faults are stops that must cut off no call.
	planned bool
	// leaves names a side that must get nothing new once leaveWithin has passed.
	leaves bool
	strike func(s *stage)
}

const (
	// faultAt is when in the phase the fault strikes, as a share of its length.
	faultAt = 0.4
	// faultFor is how long hang, slowness and a cut last.
	faultFor = 10 * time.Second
	// pauseFor is how long a paused host stands still.
	pauseFor = 20 * time.Second
	// slowFactor is how much slower a slow target is.
	slowFactor = 10
	// listLag is the time that the host list lags behind when a target leaves.
	listLag = 10 * time.Second
	// leaveWithin is when a leaving target must get nothing new.
	leaveWithin = 5 * time.Second
	// victim is the index of the engine, side and entry that faults hit.
	victim = 0
)

// stage is what a fault works on.
type stage struct {
	fleet    *fleet
	balancer *balancer
	feed     *feed
}

var faults = []fault{
	{name: "side-kill", doc: "a side dies with requests in flight", strike: (*stage).killSide},
	{name: "entry-kill", doc: "an entry dies with requests in flight", strike: (*stage).killEntry},
	{name: "target-crash", doc: "an engine crashes and restarts", strike: (*stage).crashTarget},
	{name: "target-hang", doc: "an engine accepts and never answers for 10 s", strike: (*stage).hangTarget},
	{name: "target-slow", doc: "an engine is ten times slower for 10 s", strike: (*stage).slowTarget},
	{name: "host-pause", doc: "an engine's host stands still for 20 s and comes back", strike: (*stage).pauseHost},
	{name: "domain-cut", doc: "a failure domain is cut off from the others for 10 s", strike: (*stage).cutDomain},
	{name: "side-stop", doc: "planned stop of a side; the host list lags by 10 s", planned: true, leaves: true, strike: (*stage).stopSide},
	{name: "entry-stop", doc: "planned stop of an entry", planned: true, strike: (*stage).stopEntry},
	{name: "target-stop", doc: "the host list shows a target as leaving; it is stopped 10 s later", planned: true, leaves: true, strike: (*stage).stopTarget},
}

// FaultNames lists what Options.Fault may be.
func FaultNames() []string {
	names := make([]string, 0, len(faults))
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// FaultDocs says what each fault is, one line each.
func FaultDocs() string {
	var b strings.Builder
	for _, f := range faults {
		b.WriteString(f.name + ": " + f.doc + "\n")
	}
	return b.String()
}

// faultOf returns the fault of that name, or nil.
func faultOf(name string) *fault {
	i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
	if i < 0 {
		return nil
	}
	return &faults[i]
}

// isolate breaks every connection of a host, as its death does.
func (s *stage) isolate(host structs.HostID) {
	s.fleet.links.each(func(p pair) bool { return p.from == host || p.to == host }, kill)
}

func (s *stage) killSide() {
	p := s.fleet.sides[victim]
	s.isolate(p.host)
	s.fleet.hosts.Remove(p.host)
	p.stop()
}

func (s *stage) killEntry() {
	p := s.fleet.entries[victim]
	s.balancer.kill(victim) // first: a dead process answers nobody that its sessions are gone
	s.isolate(p.host)
	p.stop()
	s.feed.ownerLost(p.host)
}

func (s *stage) crashTarget() { s.fleet.engines[victim].Crash() }

func (s *stage) hangTarget() {
	e := s.fleet.engines[victim]
	e.Turn(func(k *engine.Knobs) { k.Hang = true })
	time.AfterFunc(faultFor, func() { e.Turn(func(k *engine.Knobs) { k.Hang = false }) })
}

func (s *stage) slowTarget() {
	e := s.fleet.engines[victim]
	e.Turn(func(k *engine.Knobs) { k.Slow = slowFactor })
	time.AfterFunc(faultFor, func() { e.Turn(func(k *engine.Knobs) { k.Slow = 1 }) })
}

func (s *stage) pauseHost() {
	e, host := s.fleet.engines[victim], s.fleet.sides[victim].host
	of := func(p pair) bool { return p.from == host || p.to == host }
	e.Turn(func(k *engine.Knobs) { k.Pause = true })
	s.fleet.links.each(of, pause)
	time.AfterFunc(pauseFor, func() {
		e.Turn(func(k *engine.Knobs) { k.Pause = false })
		s.fleet.links.each(of, resume)
	})
}

func (s *stage) cutDomain() {
	domain := make(map[structs.HostID]structs.FailureDomain)
	for _, p := range append(s.fleet.entries, s.fleet.sides...) {
		domain[p.host] = p.domain
	}
	cut := s.fleet.shape.domains[len(s.fleet.shape.domains)-1]
	across := func(p pair) bool {
		to, known := domain[p.to]
		return known && (domain[p.from] == cut) != (to == cut)
	}
	s.fleet.links.each(across, pause)
	time.AfterFunc(faultFor, func() { s.fleet.links.each(across, resume) })
}

func (s *stage) stopSide() {
	p := s.fleet.sides[victim]
	p.stop()
	time.AfterFunc(listLag, func() { s.fleet.list(p, platform.HostLeaving) })
}

func (s *stage) stopEntry() {
	s.fleet.entries[victim].stop()
	s.balancer.leave(victim)
}

func (s *stage) stopTarget() {
	p := s.fleet.sides[victim]
	s.fleet.list(p, platform.HostLeaving)
	time.AfterFunc(listLag, p.stop)
}
