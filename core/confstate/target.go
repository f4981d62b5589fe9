package confstate

import (
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

func (f *fold) target(i structs.Intent, in structs.TargetIntent, atMs int64) *errs.Error {
	if in.ID == "" || in.Host == "" {
		return misfit(i, "it needs a name and a host")
	}
	if err := f.targetKind(i, in); err != nil {
		return err
	}
	if f.s.Hosts[in.Host].Retire {
		return misfit(i, "host %s is retired", in.Host)
	}
	for id, t := range f.s.Targets {
		if id != in.ID && t.Host == in.Host && t.RemovedAt == 0 {
			return misfit(i, "host %s already has target %s", in.Host, id)
		}
	}
	t := Target{
		ID:          in.ID,
		Kind:        in.Kind,
		Host:        in.Host,
		Service:     in.Service,
		ChecksFence: in.ChecksFence,
		AddedMs:     atMs,
	}
	if have, ok := f.s.Targets[in.ID]; ok && have.RemovedAt == 0 {
		t.AddedMs = have.AddedMs
	}
	f.targets.own(&f.s.Targets)[in.ID] = t
	return nil
}

func (f *fold) targetKind(i structs.Intent, in structs.TargetIntent) *errs.Error {
	switch in.Kind {
	case structs.KindEngine:
		if in.Service != "" {
			return misfit(i, "a model engine has no service")
		}
	case structs.KindService:
		if _, ok := f.s.Services[in.Service]; !ok {
			return misfit(i, "service %q is not described", in.Service)
		}
	default:
		return misfit(i, "kind is engine or service")
	}
	return nil
}

// removeTarget keeps the target as removed for a while: entries still have to know
// where requests with an idempotency key ran.
func (f *fold) removeTarget(i structs.Intent, id structs.TargetID, atMs int64) *errs.Error {
	t, ok := f.s.Targets[id]
	if !ok || t.RemovedAt != 0 {
		return misfit(i, "there is no such target")
	}
	t.RemovedAt = f.removedAt()
	t.RemovedMs = atMs
	targets := f.targets.own(&f.s.Targets)
	targets[id] = t
	for old, o := range targets {
		if o.RemovedAt != 0 && o.RemovedMs < atMs-keepRemoved.Milliseconds() {
			delete(targets, old)
		}
	}
	return nil
}

// removedAt is the version that removes a target; 0 would mean that it is registered, and
// a preview of the first record is made at version 0.
func (f *fold) removedAt() structs.Version { return max(1, f.s.Version) }

// retireServices removes the plain services on a retired host. New idempotency keys would
// else go on having their home there, and the host would never be free. Model engines stay
// registered: they give up their models one by one.
func (f *fold) retireServices(host structs.HostID, atMs int64) {
	for id, t := range f.s.Targets {
		if t.Host != host || t.Kind != structs.KindService || t.RemovedAt != 0 {
			continue
		}
		t.RemovedAt = f.removedAt()
		t.RemovedMs = atMs
		f.targets.own(&f.s.Targets)[id] = t
	}
}

// returnServices registers again what retireServices removed.
func (f *fold) returnServices(h HostIntent, atMs int64) {
	for id, t := range f.s.Targets {
		if t.Host != h.ID || t.Kind != structs.KindService || t.RemovedAt != max(1, h.At) {
			continue
		}
		t.RemovedAt = 0
		t.RemovedMs = 0
		t.AddedMs = atMs
		f.targets.own(&f.s.Targets)[id] = t
	}
}
