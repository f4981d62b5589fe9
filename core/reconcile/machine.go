package reconcile

import (
	"slices"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// Config are the times and bounds of a Machine.
type Config struct {
	// Grace is how long a host may be missing before its replicas are placed elsewhere.
	Grace time.Duration
	// VanishAfter is how long a model must be missing from a live target's report before it
	// counts as lost.
	VanishAfter time.Duration
	// Steady is how long a host that was missing must stay before it is preferred again.
	Steady time.Duration
	// SurplusAfter is how long a surplus replica is kept: its host may waver.
	SurplusAfter time.Duration
	// DrainFor is how long an unload waits for the requests that the target still has.
	DrainFor time.Duration
	// MaxLoads bounds loads from the weight store at a time. The store's rate is
	// shared, so more at once make each slower and none sooner.
	MaxLoads int
	// OrderTimeout bounds an order besides the time of its transfer.
	OrderTimeout time.Duration
	// BackoffMin and BackoffMax bound the pause after an order that failed.
	BackoffMin, BackoffMax time.Duration
}

// DefaultConfig returns the values that the product runs with.
func DefaultConfig() Config {
	return Config{
		Grace:        20 * time.Second,
		VanishAfter:  5 * time.Second,
		Steady:       2 * time.Minute,
		SurplusAfter: 5 * time.Minute,
		DrainFor:     10 * time.Minute,
		MaxLoads:     2,
		OrderTimeout: 30 * time.Second,
		BackoffMin:   5 * time.Second,
		BackoffMax:   5 * time.Minute,
	}
}

// unknownLoadTime is what a transfer may take when size or rate is not known.
const unknownLoadTime = 3 * time.Minute

// timeoutFactor is how much longer than reckoned a transfer may take.
const timeoutFactor = 3

// Send is an order for the side on Host.
type Send struct {
	Host   structs.HostID
	Target structs.TargetID
	Order  structs.Order
	Reason Reason
}

// Machine is the reconciler of one owner, under one fencing number. It is a
// state machine without clock or I/O and is not safe for concurrent use.
type Machine struct {
	cfg      Config
	fence    structs.Epoch
	seq      uint64
	inFlight map[structs.TargetID]flight
	seen     map[structs.TargetID]*presence
	since    map[pair]time.Time // when an unload was first wanted
	failed   map[pair]backoff
}

type pair struct {
	target structs.TargetID
	model  structs.ModelID
}

type flight struct {
	change   Change
	id       uint64
	accepted bool
	reckoned time.Time // when its transfer should be over
	deadline time.Time
}

type backoff struct {
	wait  time.Duration
	until time.Time
}

// presence is what the Machine remembers of one target.
type presence struct {
	host     structs.FleetTarget // as last seen live
	lastLive time.Time
	// shakyUntil is set when the target comes back after it was missing.
	shakyUntil time.Time
	// did are the versions that this owner's orders have loaded, for sides that
	// report no more than the model's name.
	did map[structs.ModelID]string
	// vanished is when a model was first missing from the target's report.
	vanished map[structs.ModelID]time.Time
}

// seqBits is the room for the orders of one owner. Ids start at the fencing number, so that
// a late answer to an earlier owner's order is not taken for one of this owner's.
const seqBits = 24

// New returns the Machine of the owner whose claim has the offset fence.
func New(cfg Config, fence structs.Epoch) *Machine {
	return &Machine{
		cfg:      cfg,
		fence:    fence,
		seq:      uint64(fence) << seqBits,
		inFlight: make(map[structs.TargetID]flight),
		seen:     make(map[structs.TargetID]*presence),
		since:    make(map[pair]time.Time),
		failed:   make(map[pair]backoff),
	}
}

// Step compares s with fleet and returns the orders to send now. Call it when
// either changes, and every few seconds.
func (m *Machine) Step(now time.Time, s *confstate.State, fleet structs.Fleet) []Send {
	fleet.Targets = m.observe(now, s, fleet.Targets)
	m.settle(now)
	var sends []Send
	changes := place(s, m.spots(now, s, fleet), fleet.Waiting)
	m.forgetSince(changes)
	for _, c := range changes {
		if m.ready(now, c) {
			sends = append(sends, m.send(now, c, fleet))
		}
	}
	return sends
}

// observe notes which targets are live and returns the fleet with the missing
// ones as they were, for as long as Grace lasts.
func (m *Machine) observe(now time.Time, s *confstate.State, targets []structs.FleetTarget) []structs.FleetTarget {
	out := make([]structs.FleetTarget, 0, len(targets))
	live := make(map[structs.TargetID]bool, len(targets))
	for _, t := range targets {
		if t.Live {
			live[t.ID] = true
			out = append(out, m.observeLive(now, t))
		}
	}
	for id, p := range m.seen {
		if live[id] {
			continue
		}
		if reg, ok := s.Targets[id]; !ok || reg.RemovedAt != 0 {
			delete(m.seen, id)
			continue
		}
		missing := p.host
		missing.Live = now.Sub(p.lastLive) < m.cfg.Grace
		out = append(out, missing)
	}
	return out
}

func (m *Machine) observeLive(now time.Time, t structs.FleetTarget) structs.FleetTarget {
	p := m.seen[t.ID]
	if p == nil {
		p = &presence{
			did:      make(map[structs.ModelID]string),
			vanished: make(map[structs.ModelID]time.Time),
		}
		m.seen[t.ID] = p
	} else if now.Sub(p.lastLive) >= m.cfg.Grace {
		p.shakyUntil = now.Add(m.cfg.Steady)
		clear(p.did) // it may be another process by now
		p.host.Loaded = nil
	}
	t.Loaded = slices.Clone(t.Loaded)
	for i, l := range t.Loaded {
		if l.Version == "" {
			t.Loaded[i].Version = p.did[l.Model]
		}
	}
	t.Loaded = m.keepVanished(now, p, t)
	p.host = t
	p.lastLive = now
	return t
}

// keepVanished returns t's models with those that it had a moment ago and that nobody has
// unloaded. A side that has just started reports before its engine has told it what is
// loaded; were that taken at its word, models would be loaded anew after each restart.
func (m *Machine) keepVanished(now time.Time, p *presence, t structs.FleetTarget) []structs.Loaded {
	loaded := t.Loaded
	for _, before := range p.host.Loaded {
		if slices.ContainsFunc(t.Loaded, func(l structs.Loaded) bool { return l.Model == before.Model }) {
			delete(p.vanished, before.Model)
			continue
		}
		f, busy := m.inFlight[t.ID]
		if busy && f.change.Op == platform.OpUnload && f.change.Model == before.Model {
			continue
		}
		since, noted := p.vanished[before.Model]
		if !noted {
			p.vanished[before.Model] = now
			since = now
		}
		if now.Sub(since) < m.cfg.VanishAfter {
			loaded = append(loaded, before)
		} else {
			delete(p.vanished, before.Model)
		}
	}
	return loaded
}

func (m *Machine) spots(now time.Time, s *confstate.State, fleet structs.Fleet) []*spot {
	all := spots(s, fleet)
	for _, sp := range all {
		if f, ok := m.inFlight[sp.ID]; ok && f.change.Op == platform.OpLoad {
			sp.coming = append(sp.coming, f.change.Model)
		}
		if p := m.seen[sp.ID]; p != nil {
			sp.shaky = now.Before(p.shakyUntil) || !p.lastLive.Equal(now)
		}
		m.avoidFailed(now, sp, s)
	}
	return all
}

// avoidFailed keeps replicas away from a target at which their load has failed
// of late. Were it chosen again and again, the model would never come up.
func (m *Machine) avoidFailed(now time.Time, sp *spot, s *confstate.State) {
	for id := range s.Models {
		if b, ok := m.failed[pair{sp.ID, id}]; ok && now.Before(b.until) && sp.loaded(id) == nil {
			sp.refused = append(sp.refused, id)
		}
	}
}

// settle ends the orders whose effect shows in the target's report, and gives up
// those whose time is over or whose target is gone.
func (m *Machine) settle(now time.Time) {
	for id, f := range m.inFlight {
		p := m.seen[id]
		switch {
		case p == nil || now.Sub(p.lastLive) >= m.cfg.Grace:
			delete(m.inFlight, id)
		case f.shows(p.host):
			m.finish(id, f)
		case f.accepted && f.change.Reason == ReasonVersion && f.change.Adapter == "" && !now.Before(f.reckoned):
			// Reports don't tell versions: the time that the transfer takes must do.
			m.finish(id, f)
		case !now.Before(f.deadline):
			delete(m.inFlight, id)
			m.fail(now, pair{id, f.change.Model})
		}
	}
	for key, b := range m.failed {
		if now.Sub(b.until) > m.cfg.BackoffMax {
			delete(m.failed, key)
		}
	}
}

// shows reports whether t has what the order asked for.
func (f flight) shows(t structs.FleetTarget) bool {
	at := slices.IndexFunc(t.Loaded, func(l structs.Loaded) bool { return l.Model == f.change.Model })
	if f.change.Op == platform.OpUnload {
		return at < 0
	}
	if at < 0 {
		return false
	}
	if f.change.Adapter != "" {
		return slices.Contains(t.Loaded[at].Adapters, f.change.Adapter)
	}
	return f.change.Reason != ReasonVersion || t.Loaded[at].Version == f.change.Version
}

func (m *Machine) finish(id structs.TargetID, f flight) {
	delete(m.inFlight, id)
	delete(m.failed, pair{id, f.change.Model})
	m.did(id, f.change)
}

func (m *Machine) fail(now time.Time, key pair) {
	b := m.failed[key]
	b.wait = min(max(m.cfg.BackoffMin, 2*b.wait), m.cfg.BackoffMax)
	b.until = now.Add(b.wait)
	m.failed[key] = b
}

// ready says whether c may be ordered now.
func (m *Machine) ready(now time.Time, c Change) bool {
	if _, busy := m.inFlight[c.Target]; busy {
		return false
	}
	if p := m.seen[c.Target]; p == nil || !p.lastLive.Equal(now) {
		return false
	}
	if b, ok := m.failed[pair{c.Target, c.Model}]; ok && now.Before(b.until) {
		return false
	}
	switch {
	case c.Op == platform.OpLoad:
		return m.loads() < m.cfg.MaxLoads
	case c.Reason == ReasonSurplus:
		return m.lasts(now, c, m.cfg.SurplusAfter)
	case c.Reason == ReasonRetiredHost || c.Reason == ReasonRetiredModel:
		return c.Idle || m.lasts(now, c, m.cfg.DrainFor)
	}
	return true
}

func (m *Machine) loads() int {
	n := 0
	for _, f := range m.inFlight {
		if f.change.Op == platform.OpLoad {
			n++
		}
	}
	return n
}

// lasts reports whether c has been wanted for d.
func (m *Machine) lasts(now time.Time, c Change, d time.Duration) bool {
	key := pair{c.Target, c.Model}
	since, ok := m.since[key]
	if !ok {
		m.since[key] = now
		return false
	}
	return now.Sub(since) >= d
}

// forgetSince drops unloads that are no longer wanted, so that their time starts anew.
func (m *Machine) forgetSince(changes []Change) {
	still := make(map[pair]bool)
	for _, c := range changes {
		if c.Op == platform.OpUnload {
			still[pair{c.Target, c.Model}] = true
		}
	}
	for key := range m.since {
		if !still[key] {
			delete(m.since, key)
		}
	}
}

func (m *Machine) send(now time.Time, c Change, fleet structs.Fleet) Send {
	m.seq++
	reckoned := m.transfer(c, fleet)
	m.inFlight[c.Target] = flight{
		change:   c,
		id:       m.seq,
		reckoned: now.Add(reckoned),
		deadline: now.Add(m.cfg.OrderTimeout + timeoutFactor*reckoned),
	}
	return Send{
		Host:   c.Host,
		Target: c.Target,
		Reason: c.Reason,
		Order: structs.Order{
			ID:      m.seq,
			Fence:   m.fence,
			Op:      string(c.Op),
			Model:   c.Model,
			Version: c.Version,
			Adapter: c.Adapter,
		},
	}
}

// transfer is how long the weights of c take while all loads share the store's rate.
func (m *Machine) transfer(c Change, fleet structs.Fleet) time.Duration {
	if c.Op != platform.OpLoad {
		return 0
	}
	size := fleet.Sizes[structs.ModelVersion{Model: c.Model, Version: c.Version}]
	if size <= 0 || fleet.WeightBytesPerS <= 0 {
		return unknownLoadTime
	}
	seconds := float64(size) / fleet.WeightBytesPerS * float64(m.cfg.MaxLoads)
	return time.Duration(seconds * float64(time.Second))
}

// Done takes the side's answer to an order. A load that was accepted goes on at
// the target until its report shows it. Done reports whether this owner has been
// replaced: the side has refused its fencing number.
func (m *Machine) Done(now time.Time, target structs.TargetID, d structs.OrderDone) (replaced bool) {
	f, ok := m.inFlight[target]
	if !ok || f.id != d.ID {
		return false
	}
	if d.Err != nil {
		delete(m.inFlight, target)
		m.fail(now, pair{target, f.change.Model})
		return d.Err.Type == errs.StaleFence
	}
	f.accepted = true
	m.inFlight[target] = f
	return false
}

// Lost says that the session to the side of target broke. An order that was not
// answered is given again; the target takes a second copy as the same.
func (m *Machine) Lost(target structs.TargetID) {
	if f, ok := m.inFlight[target]; ok && !f.accepted {
		delete(m.inFlight, target)
	}
}

// did notes what the target has loaded now, for reports that don't tell versions.
func (m *Machine) did(target structs.TargetID, c Change) {
	p := m.seen[target]
	if p == nil {
		return
	}
	if c.Op == platform.OpUnload {
		delete(p.did, c.Model)
		return
	}
	p.did[c.Model] = c.Version
}

// InFlight returns how many orders wait for their outcome.
func (m *Machine) InFlight() int { return len(m.inFlight) }

// Fence returns the fencing number that the orders carry.
func (m *Machine) Fence() structs.Epoch { return m.fence }
