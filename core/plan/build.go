package plan

import (
	"fmt"
	"slices"
	"strings"

	"arbutusramp/core/confstate"
	"arbutusramp/core/platform"
	"arbutusramp/core/reconcile"
	"arbutusramp/core/structs"
)

// builder works a plan out from the states before and after it.
type builder struct {
	before, after *confstate.State
	view          View
	plan          *Plan
	moved         map[structs.ModelID]bool
}

func (b *builder) build() {
	b.moved = make(map[structs.ModelID]bool)
	for _, i := range b.plan.Intents {
		b.step(b.intentStep(i))
	}
	b.moves()
	b.capacity()
	b.warn()
	b.touches()
}

func (b *builder) step(s Step) {
	b.plan.Steps = append(b.plan.Steps, s)
	c := &b.plan.Cost
	c.Bytes += s.Bytes
	c.Seconds += s.Seconds
	c.Online += s.Online
	c.Items += s.Items
}

// intentStep says what the intent itself changes.
func (b *builder) intentStep(i structs.Intent) Step {
	s := Step{Object: i.Object(), Action: "set"}
	switch {
	case i.Workspace != nil:
		s.Detail = workspaceDetail(b.after.Workspaces[i.Workspace.ID])
	case i.Keys != nil:
		s.Detail = fmt.Sprintf("%d keys added, %d revoked", len(i.Keys.Add), len(i.Keys.Revoke))
	case i.Grant != nil:
		s.Detail = grantDetail(*i.Grant)
	case i.Model != nil:
		m := b.after.Models[i.Model.ID]
		s.Detail = fmt.Sprintf("version %q, adapters %v, %d replicas over %d failure domains", m.Version, m.Adapters, m.Replicas, m.SpreadDomains)
	case i.RetireModel != nil:
		s.Action = "remove"
		s.Detail = "callers get unknown_model from then on"
		s.Online = b.view.Fleet.Waiting[i.RetireModel.ID]
	case i.Target != nil:
		s.Detail = fmt.Sprintf("%s on host %s, checks fence: %v", i.Target.Kind, i.Target.Host, i.Target.ChecksFence)
	case i.RemoveTarget != nil:
		s.Action = "remove"
		b.drain(&s, func(t structs.FleetTarget) bool { return t.ID == i.RemoveTarget.ID })
	case i.Service != nil:
		s.Detail = fmt.Sprintf("methods that run at most once: %s", strings.Join(i.Service.NonIdempotent, ", "))
	case i.Job != nil:
		b.jobStep(&s, *i.Job)
	case i.Host != nil:
		b.hostStep(&s, *i.Host)
	case i.Policy != nil:
		s.Detail = fmt.Sprintf("headroom from %g to %g", b.before.Policy.Headroom, i.Policy.Headroom)
	}
	return s
}

func workspaceDetail(w confstate.Workspace) string {
	return fmt.Sprintf("%d keys, %g requests/s, burst %d, %d in flight, weight %d",
		len(w.KeyHashes), w.RequestsPerS, w.Burst, w.MaxInFlight, max(1, w.Weight))
}

func grantDetail(g structs.GrantIntent) string {
	if g.Withdraw {
		return "withdrawn: new jobs wait for a confirm"
	}
	return fmt.Sprintf("jobs of up to %d items, models %v, due within %d s", g.MaxItems, g.Models, g.DueWithinS)
}

func (b *builder) jobStep(s *Step, j structs.JobOrder) {
	s.Items = b.view.ItemsLeft[j.ID]
	if j.Cancel {
		s.Action = "cancel"
		s.Detail = "no item starts any more, running ones are stopped; what is finished stays readable"
		return
	}
	s.Action = "run"
}

func (b *builder) hostStep(s *Step, h structs.HostOrder) {
	if !h.Retire {
		s.Detail = "takes work again"
		return
	}
	s.Action = "drain"
	b.drain(s, func(t structs.FleetTarget) bool { return t.Host == h.ID })
	for _, t := range b.view.Fleet.Targets {
		if t.Host != h.ID {
			continue
		}
		for _, l := range t.Loaded {
			b.moved[l.Model] = true
			s.Detail = join(s.Detail, fmt.Sprintf("gives up %s once its replicas stand elsewhere", l.Model))
		}
	}
}

func (b *builder) drain(s *Step, match func(structs.FleetTarget) bool) {
	for _, t := range b.view.Fleet.Targets {
		if match(t) {
			s.Online += t.Online
			s.Items += t.Batch
			s.Target = t.ID
		}
	}
	s.Detail = "requests in flight are finished, items go elsewhere"
}

func join(a, c string) string {
	if a == "" {
		return c
	}
	return a + "; " + c
}

// moves adds the steps that the reconciler will take because of the plan.
func (b *builder) moves() {
	already := make(map[string]bool)
	for _, c := range reconcile.Changes(b.before, b.view.Fleet) {
		already[changeKey(c)] = true
	}
	for _, c := range reconcile.Changes(b.after, b.view.Fleet) {
		if !already[changeKey(c)] {
			b.move(c)
		}
	}
}

func changeKey(c reconcile.Change) string {
	return fmt.Sprintf("%s %s %s %s %s", c.Target, c.Op, c.Model, c.Version, c.Adapter)
}

func (b *builder) move(c reconcile.Change) {
	b.moved[c.Model] = true
	s := Step{
		Object: "model/" + string(c.Model),
		Action: string(c.Op),
		Target: c.Target,
		Detail: string(c.Reason),
	}
	if c.Adapter != "" {
		s.Detail += ", adapter " + c.Adapter
	}
	if c.Op == platform.OpLoad {
		b.transfer(&s, c)
	}
	b.step(s)
}

func (b *builder) transfer(s *Step, c reconcile.Change) {
	fleet := b.view.Fleet
	s.Bytes = fleet.Sizes[structs.ModelVersion{Model: c.Model, Version: c.Version}]
	if s.Bytes == 0 {
		b.plan.Cost.Unknown++
		s.Detail += ", size not known"
	}
	if fleet.WeightBytesPerS > 0 {
		s.Seconds = float64(s.Bytes) / fleet.WeightBytesPerS
	}
}

// capacity counts what takes work now, meanwhile and after. A target that
// loads a model goes on serving its others, so only leaving ones are missing.
func (b *builder) capacity() {
	c := &b.plan.Capacity
	c.Now = b.room(b.before)
	c.After = b.room(b.after)
	c.Meanwhile = Room{
		Targets:  min(c.Now.Targets, c.After.Targets),
		Requests: min(c.Now.Requests, c.After.Requests),
	}
}

func (b *builder) room(s *confstate.State) Room {
	var r Room
	for _, t := range b.view.Fleet.Targets {
		reg, ok := s.Targets[t.ID]
		if !ok || reg.RemovedAt != 0 || !t.Live || t.Leaving || s.Hosts[t.Host].Retire {
			continue
		}
		r.Targets++
		r.Requests += t.Limit
	}
	return r
}

func (b *builder) touches() {
	own := make(map[string]bool)
	for _, i := range b.plan.Intents {
		own[i.Object()] = true
	}
	for m := range b.moved {
		if o := "model/" + string(m); !own[o] {
			b.plan.Touches = append(b.plan.Touches, o)
		}
	}
	slices.Sort(b.plan.Touches)
}
