package reconcile

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"arbutusramp/core/confstate"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// Status compares what is confirmed with what is true.
type Status struct {
	Version structs.Version `json:"version"`
	Models  []ModelStatus   `json:"models,omitempty"`
	Hosts   []HostStatus    `json:"hosts,omitempty"`
	Targets []TargetStatus  `json:"targets,omitempty"`
}

// ModelStatus is one model: confirmed, actual, and why they differ.
type ModelStatus struct {
	ID       structs.ModelID    `json:"id"`
	Wanted   int                `json:"wanted"`
	Ready    int                `json:"ready"`
	Domains  int                `json:"failure_domains"`
	Targets  []structs.TargetID `json:"targets,omitempty"`
	Met      bool               `json:"met"`
	Why      []string           `json:"why,omitempty"`
	Waiting  int                `json:"waiting,omitempty"`
	Retiring bool               `json:"retiring,omitempty"`
}

// HostStatus is one host that an operator retires.
type HostStatus struct {
	ID  structs.HostID `json:"id"`
	Met bool           `json:"met"` // nothing is left on it: it may go
	Why []string       `json:"why,omitempty"`
}

// TargetStatus is one registered target that does not work, or was removed and still does.
type TargetStatus struct {
	ID  structs.TargetID `json:"id"`
	Why string           `json:"why"`
}

// Compare returns the Status of s over fleet.
func Compare(s *confstate.State, fleet structs.Fleet) Status {
	changes := Changes(s, fleet)
	engines := spots(s, fleet)
	st := Status{Version: s.Version}
	for _, id := range slices.Sorted(maps.Keys(s.Models)) {
		st.Models = append(st.Models, modelStatus(s.Models[id], engines, changes, fleet.Waiting[id]))
	}
	for _, id := range slices.Sorted(maps.Keys(s.Hosts)) {
		if s.Hosts[id].Retire {
			st.Hosts = append(st.Hosts, hostStatus(id, fleet))
		}
	}
	st.Targets = targetStatuses(s, fleet)
	return st
}

func modelStatus(m confstate.Model, engines []*spot, changes []Change, waiting int) ModelStatus {
	st := ModelStatus{ID: m.ID, Wanted: m.Replicas, Waiting: waiting, Retiring: m.Retired}
	domains := make(map[structs.FailureDomain]bool)
	for _, e := range engines {
		if e.loaded(m.ID) != nil && e.usable {
			st.Ready++
			st.Targets = append(st.Targets, e.ID)
			domains[e.Domain] = true
		}
	}
	st.Domains = len(domains)
	if m.Retired {
		st.Wanted = 0
	}
	planned := 0
	for _, c := range changes {
		if c.Model != m.ID {
			continue
		}
		st.Why = append(st.Why, why(c))
		if c.Reason == ReasonReplica {
			planned++
		}
	}
	if short := st.Wanted - st.Ready - planned; short > 0 {
		st.Why = append(st.Why, fmt.Sprintf("%d replicas have no model engine to stand on", short))
	}
	if !m.Retired && st.Ready >= st.Wanted && st.Domains < m.SpreadDomains && len(st.Why) == 0 {
		st.Why = append(st.Why, fmt.Sprintf("no model engine in another failure domain: %d of %d", st.Domains, m.SpreadDomains))
	}
	st.Met = len(st.Why) == 0
	return st
}

func why(c Change) string {
	verb := "to be loaded at"
	if c.Op == platform.OpUnload {
		verb = "to be unloaded at"
	}
	return fmt.Sprintf("%s: %s %s", c.Reason, verb, c.Target)
}

func hostStatus(id structs.HostID, fleet structs.Fleet) HostStatus {
	st := HostStatus{ID: id}
	for _, t := range fleet.Targets {
		if t.Host != id || !t.Live {
			continue
		}
		if n := t.Online + t.Batch; n > 0 {
			st.Why = append(st.Why, fmt.Sprintf("%d requests and items at %s are being finished", n, t.ID))
		}
		for _, l := range t.Loaded {
			st.Why = append(st.Why, fmt.Sprintf("%s still has %s", t.ID, l.Model))
		}
	}
	st.Met = len(st.Why) == 0
	return st
}

func targetStatuses(s *confstate.State, fleet structs.Fleet) []TargetStatus {
	seen := make(map[structs.TargetID]structs.FleetTarget, len(fleet.Targets))
	for _, t := range fleet.Targets {
		seen[t.ID] = t
	}
	var out []TargetStatus
	for id, reg := range s.Targets {
		t, known := seen[id]
		switch {
		case reg.RemovedAt != 0 && known && t.Online+t.Batch > 0:
			out = append(out, TargetStatus{id, fmt.Sprintf("removed; %d requests and items are being finished", t.Online+t.Batch)})
		case reg.RemovedAt != 0:
		case !known:
			out = append(out, TargetStatus{id, "nothing is heard of it: no session to host " + string(reg.Host)})
		case !t.Live:
			out = append(out, TargetStatus{id, "host " + string(reg.Host) + " is not live"})
		case t.Leaving:
			out = append(out, TargetStatus{id, "the platform takes host " + string(reg.Host) + " away"})
		}
	}
	slices.SortFunc(out, func(a, b TargetStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
