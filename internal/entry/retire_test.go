package entry

import (
	"testing"

	"arbutusramp/core/choose"
	"arbutusramp/core/confstate"
	"arbutusramp/core/structs"
)

// Symptom: a host that an operator retires goes on getting requests, or callers get
// none answered while its models are loaded elsewhere.
// Sequence: the host is retired while it has the only replica; then another stands.
func TestRetiredHostGetsNothingOnceAnotherCanTakeIt(t *testing.T) {
	state := &confstate.State{
		Targets: map[structs.TargetID]confstate.Target{
			"a": {ID: "a", Host: "ha"},
			"b": {ID: "b", Host: "hb"},
			"c": {ID: "c", Host: "hc", RemovedAt: 3},
		},
		Hosts: map[structs.HostID]confstate.HostIntent{"ha": {ID: "ha", Retire: true}},
	}
	look := func(candidates ...choose.Candidate) []bool {
		s := &scratch{view: choose.View{Candidates: candidates}}
		s.retire(state)
		var leaving []bool
		for _, c := range s.view.Candidates {
			leaving = append(leaving, c.Leaving)
		}
		return leaving
	}
	a, b, c := choose.Candidate{Target: "a"}, choose.Candidate{Target: "b"}, choose.Candidate{Target: "c"}
	if got := look(a); got[0] {
		t.Error("the only replica is out of service before another stands")
	}
	if got := look(a, b); !got[0] || got[1] {
		t.Errorf("leaving %v: the retired host still gets requests", got)
	}
	if got := look(a, c); got[0] || !got[1] {
		t.Errorf("leaving %v: a removed target counts as another", got)
	}
	b.Unhealthy = true
	if got := look(a, b); got[0] {
		t.Error("the retired host is out of service though the other is ill")
	}
}
