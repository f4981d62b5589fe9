package plan

import (
	"fmt"
	"maps"
	"slices"

	"arbutusramp/core/confstate"
	"arbutusramp/core/structs"
)

func (b *builder) warnf(format string, args ...any) {
	b.plan.Warnings = append(b.plan.Warnings, fmt.Sprintf(format, args...))
}

// warn says what the plan can't reach with the fleet as it is, and which
// confirmed work it meets.
func (b *builder) warn() {
	if b.view.Partial {
		b.warnf("made by an entry that sees a part of the fleet only (max_sides): moves and capacity are incomplete; plan at the owner of the placement")
	}
	places, domains := b.engines()
	for _, id := range slices.Sorted(maps.Keys(b.after.Models)) {
		b.warnModel(b.after.Models[id], places, domains)
	}
	for _, i := range b.plan.Intents {
		b.warnIntent(i)
	}
	for _, id := range slices.Sorted(maps.Keys(b.before.Hosts)) {
		if b.before.Hosts[id].Retire && b.after.Hosts[id].Retire && b.takesAway() {
			b.warnf("host %s is being retired as well", id)
		}
	}
}

func (b *builder) takesAway() bool {
	return b.plan.Capacity.After.Targets < b.plan.Capacity.Now.Targets
}

// warnModel warns only of what gets worse or was asked for, not of old shortages.
func (b *builder) warnModel(m confstate.Model, places, domains int) {
	if m.Retired || !b.concerned(m.ID) {
		return
	}
	if m.Replicas > places {
		b.warnf("model %s wants %d replicas, but only %d model engines can hold one", m.ID, m.Replicas, places)
	}
	if m.SpreadDomains > domains {
		b.warnf("model %s wants %d failure domains, but model engines stand in %d", m.ID, m.SpreadDomains, domains)
	}
}

func (b *builder) concerned(id structs.ModelID) bool {
	if b.moved[id] || b.takesAway() {
		return true
	}
	return slices.ContainsFunc(b.plan.Intents, func(i structs.Intent) bool {
		return i.Model != nil && i.Model.ID == id
	})
}

// engines counts the model engines that can hold a replica after the plan, and
// their failure domains.
func (b *builder) engines() (places, domains int) {
	seen := make(map[structs.FailureDomain]bool)
	for _, t := range b.view.Fleet.Targets {
		reg, ok := b.after.Targets[t.ID]
		if !ok || reg.RemovedAt != 0 || reg.Kind != structs.KindEngine {
			continue
		}
		if t.Live && !t.Leaving && !b.after.Hosts[t.Host].Retire {
			places++
			seen[t.Domain] = true
		}
	}
	return places, len(seen)
}

func (b *builder) warnIntent(i structs.Intent) {
	switch {
	case i.Target != nil:
		b.warnTarget(*i.Target)
	case i.Host != nil && i.Host.Retire:
		b.warnLastService(func(t confstate.Target) bool { return t.Host == i.Host.ID })
	case i.RemoveTarget != nil:
		b.warnLastService(func(t confstate.Target) bool { return t.ID == i.RemoveTarget.ID })
	case i.RetireModel != nil:
		b.warnGrants(i.RetireModel.ID)
	}
}

func (b *builder) warnTarget(t structs.TargetIntent) {
	known := slices.ContainsFunc(b.view.Fleet.Targets, func(f structs.FleetTarget) bool { return f.Host == t.Host })
	if !known {
		b.warnf("host %s is not on the host list: target %s takes no work until it is", t.Host, t.ID)
	}
}

// warnLastService warns when a plain service is left without a target.
func (b *builder) warnLastService(leaving func(confstate.Target) bool) {
	for _, id := range slices.Sorted(maps.Keys(b.before.Targets)) {
		t := b.before.Targets[id]
		if t.RemovedAt == 0 && t.Service != "" && leaving(t) && !b.served(t.Service) {
			b.warnf("service %s has no other target: its callers are refused", t.Service)
		}
	}
}

func (b *builder) served(s structs.ServiceID) bool {
	for _, t := range b.after.Targets {
		if t.Service == s && t.RemovedAt == 0 && !b.after.Hosts[t.Host].Retire {
			return true
		}
	}
	return false
}

func (b *builder) warnGrants(m structs.ModelID) {
	for _, id := range slices.Sorted(maps.Keys(b.after.Grants)) {
		if slices.Contains(b.after.Grants[id].Models, m) {
			b.warnf("the grant of workspace %s names model %s: items for it will end as errors", id, m)
		}
	}
}
