// Package reconcile decides what has to change at the targets so that what
// operators confirmed is true. It is pure: state, fleet and time come in,
// changes or orders come out.
package reconcile

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/confstate"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// Reason says why a change is needed.
type Reason string

// The reasons, the most urgent first.
const (
	// ReasonReplica: the model has too few replicas.
	ReasonReplica Reason = "replica missing"
	// ReasonSpread: its replicas stand in too few failure domains.
	ReasonSpread Reason = "spread too narrow"
	// ReasonVersion: a replica has another version or lacks an adapter.
	ReasonVersion Reason = "other version"
	// ReasonRetiredModel: the model is no longer served.
	ReasonRetiredModel Reason = "model retired"
	// ReasonRetiredHost: the host is being retired and its work is done elsewhere.
	ReasonRetiredHost Reason = "host retired"
	// ReasonSurplus: the model has more replicas than it needs.
	ReasonSurplus Reason = "surplus replica"
)

// Change is one thing to do at one target.
type Change struct {
	Target  structs.TargetID
	Host    structs.HostID
	Op      platform.OrderOp
	Model   structs.ModelID
	Version string
	Adapter string
	Reason  Reason
	// Alone says that the model has no replica at all now.
	Alone bool
	// Idle says that the target has no requests now.
	Idle bool
	// Waiting is how many requests and items wait for the model.
	Waiting int
}

// spot is a model engine as the placement sees it.
type spot struct {
	structs.FleetTarget
	// usable spots count as replicas and may get new ones.
	usable bool
	// retired spots are to give up their models.
	retired bool
	// shaky spots were away a short while ago; others are preferred.
	shaky bool
	// coming are models that are being loaded now.
	coming []structs.ModelID
	// refused are models that the target failed to load of late.
	refused []structs.ModelID
}

func (s *spot) holds(m structs.ModelID) bool {
	return s.loaded(m) != nil || slices.Contains(s.coming, m)
}

func (s *spot) loaded(m structs.ModelID) *structs.Loaded {
	for i := range s.Loaded {
		if s.Loaded[i].Model == m {
			return &s.Loaded[i]
		}
	}
	return nil
}

func (s *spot) change(op platform.OrderOp, m confstate.Model, r Reason) Change {
	return Change{
		Target:  s.ID,
		Host:    s.Host,
		Op:      op,
		Model:   m.ID,
		Version: m.Version,
		Reason:  r,
		Idle:    s.Online+s.Batch == 0,
	}
}

// Changes returns what has to change for s to be true of fleet, seen without
// any memory of what is under way.
func Changes(s *confstate.State, fleet structs.Fleet) []Change {
	return place(s, spots(s, fleet), fleet.Waiting)
}

// spots returns the registered model engines of fleet, by id.
func spots(s *confstate.State, fleet structs.Fleet) []*spot {
	var all []*spot
	for _, t := range fleet.Targets {
		reg, ok := s.Targets[t.ID]
		if !ok || reg.RemovedAt != 0 || reg.Kind != structs.KindEngine {
			continue
		}
		retired := s.Hosts[t.Host].Retire
		all = append(all, &spot{
			FleetTarget: t,
			usable:      t.Live && !t.Leaving && !retired,
			retired:     retired,
		})
	}
	slices.SortFunc(all, func(a, b *spot) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func place(s *confstate.State, all []*spot, waiting map[structs.ModelID]int) []Change {
	var out []Change
	for _, id := range slices.Sorted(maps.Keys(s.Models)) {
		p := placement{model: s.Models[id], all: all, waiting: waiting[id]}
		p.run()
		out = append(out, p.out...)
	}
	slices.SortStableFunc(out, byUrgency)
	return out
}

// byUrgency puts loads that demand waits for first, and unloads last.
func byUrgency(a, b Change) int {
	return cmp.Or(
		cmp.Compare(urgency(a), urgency(b)),
		cmp.Compare(b.Waiting, a.Waiting),
		cmp.Compare(a.Model, b.Model),
	)
}

func urgency(c Change) int {
	switch {
	case c.Op == platform.OpUnload:
		return 5
	case c.Alone && c.Waiting > 0:
		return 0
	case c.Waiting > 0 && c.Reason == ReasonReplica:
		return 1
	case c.Alone:
		return 2
	case c.Reason == ReasonReplica:
		return 3
	}
	return 4
}

// placement works out the changes for one model.
type placement struct {
	model   confstate.Model
	all     []*spot
	waiting int
	holders []*spot // usable ones that hold the model or soon will
	out     []Change
}

func (p *placement) run() {
	if p.model.Retired {
		p.unloadAll()
		return
	}
	for _, s := range p.all {
		if s.usable && s.holds(p.model.ID) {
			p.holders = append(p.holders, s)
		}
	}
	alone := len(p.holders) == 0
	for len(p.holders) < p.model.Replicas && p.add(ReasonReplica, alone) {
	}
	for p.domains() < p.model.SpreadDomains && p.addDomain() {
	}
	p.versions()
	p.surplus()
	p.leaveRetired()
}

func (p *placement) unloadAll() {
	for _, s := range p.all {
		if s.Live && s.loaded(p.model.ID) != nil {
			p.out = append(p.out, s.change(platform.OpUnload, p.model, ReasonRetiredModel))
		}
	}
}

func (p *placement) domains() int { return len(p.perDomain()) }

func (p *placement) perDomain() map[structs.FailureDomain]int {
	n := make(map[structs.FailureDomain]int)
	for _, s := range p.holders {
		n[s.Domain]++
	}
	return n
}

// add loads the model at the best spot. It reports whether there was one.
func (p *placement) add(r Reason, alone bool) bool {
	return p.load(p.best(p.perDomain()), r, alone)
}

// addDomain loads the model in a failure domain that has no replica yet.
func (p *placement) addDomain() bool {
	per := p.perDomain()
	s := p.best(per)
	if s == nil || per[s.Domain] > 0 {
		return false
	}
	return p.load(s, ReasonSpread, false)
}

func (p *placement) load(s *spot, r Reason, alone bool) bool {
	if s == nil {
		return false
	}
	c := s.change(platform.OpLoad, p.model, r)
	c.Alone = alone
	c.Waiting = p.waiting
	p.out = append(p.out, c)
	s.coming = append(s.coming, p.model.ID)
	p.holders = append(p.holders, s)
	return true
}

// best is the spot for a further replica: in the failure domain with the
// fewest replicas of the model, steady rather than shaky, with the fewest
// models. The hash makes the choice the same in every process and spreads models.
func (p *placement) best(per map[structs.FailureDomain]int) *spot {
	var best *spot
	for _, s := range p.all {
		if !s.usable || s.holds(p.model.ID) || slices.Contains(s.refused, p.model.ID) {
			continue
		}
		if best == nil || p.better(s, best, per) {
			best = s
		}
	}
	return best
}

func (p *placement) better(a, b *spot, per map[structs.FailureDomain]int) bool {
	return cmp.Or(
		cmp.Compare(per[a.Domain], per[b.Domain]),
		compareBool(a.shaky, b.shaky),
		cmp.Compare(a.models(), b.models()),
		cmp.Compare(p.hash(a), p.hash(b)),
	) < 0
}

func (s *spot) models() int { return len(s.Loaded) + len(s.coming) }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (p *placement) hash(s *spot) uint64 {
	return xxhash.Sum64String(string(p.model.ID) + "\x00" + string(s.ID))
}

// versions asks for the right version and adapters, one replica at a time, so
// that the others go on serving.
func (p *placement) versions() {
	for _, s := range p.holders {
		have := s.loaded(p.model.ID)
		if have == nil {
			continue
		}
		if have.Version != p.model.Version && p.model.Version != "" {
			p.out = append(p.out, s.change(platform.OpLoad, p.model, ReasonVersion))
			return
		}
		for _, a := range p.model.Adapters {
			if !slices.Contains(have.Adapters, a) {
				c := s.change(platform.OpLoad, p.model, ReasonVersion)
				c.Adapter = a
				p.out = append(p.out, c)
				return
			}
		}
	}
}

// surplus unloads replicas above the number wanted, from the most crowded
// domain, once everything wanted is really there.
func (p *placement) surplus() {
	if len(p.out) > 0 || p.coming() {
		return
	}
	for len(p.holders) > p.model.Replicas {
		per := p.perDomain()
		s := slices.MaxFunc(p.holders, func(a, b *spot) int {
			return cmp.Or(
				cmp.Compare(per[a.Domain], per[b.Domain]),
				compareBool(a.shaky, b.shaky),
				cmp.Compare(a.models(), b.models()),
				cmp.Compare(p.hash(a), p.hash(b)),
			)
		})
		if per[s.Domain] == 1 && len(per) <= p.model.SpreadDomains {
			return
		}
		p.out = append(p.out, s.change(platform.OpUnload, p.model, ReasonSurplus))
		p.holders = slices.DeleteFunc(p.holders, func(h *spot) bool { return h == s })
	}
}

// coming says that a replica is still being loaded.
func (p *placement) coming() bool {
	return slices.ContainsFunc(p.holders, func(s *spot) bool { return s.loaded(p.model.ID) == nil })
}

// leaveRetired unloads the model from hosts that are being retired, but only
// after its replicas stand elsewhere: until then they go on serving.
func (p *placement) leaveRetired() {
	if p.coming() || len(p.holders) < p.within() {
		return
	}
	for _, s := range p.all {
		if s.retired && s.Live && s.loaded(p.model.ID) != nil {
			p.out = append(p.out, s.change(platform.OpUnload, p.model, ReasonRetiredHost))
		}
	}
}

// within is how many replicas the usable spots can hold, at least one: the last
// replica stays where it is until there is another place for it.
func (p *placement) within() int {
	usable := 0
	for _, s := range p.all {
		if s.usable {
			usable++
		}
	}
	return max(1, min(p.model.Replicas, usable))
}
