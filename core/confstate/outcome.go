package confstate

import (
	"cmp"
	"slices"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// MaxOutcomes bounds the confirms whose outcome is kept. At 6,900 changes a day
// a plan can be confirmed for at least five hours after it was made.
const MaxOutcomes = 2048

// forgetOutcomes is how many are dropped at once when there are too many.
const forgetOutcomes = 512

// Outcome is what became of one confirm.
type Outcome struct {
	// Version is the offset of the record that decided.
	Version  structs.Version `cbor:"1,keyasint" json:"version"`
	Operator string          `cbor:"2,keyasint" json:"operator"`
	// Err is nil when the plan took effect. Type errs.StalePlan: another
	// confirm came first. Type errs.Conflict: the intents do not fit the state.
	Err *errs.Error `cbor:"3,keyasint,omitempty" json:"error,omitempty"`
	// First is what came before, when Err says StalePlan.
	First *First `cbor:"4,keyasint,omitempty" json:"first,omitempty"`
}

// First is the change that came before a stale plan.
type First struct {
	Version  structs.Version `cbor:"1,keyasint" json:"version"`
	Operator string          `cbor:"2,keyasint" json:"operator"`
	Object   string          `cbor:"3,keyasint" json:"object"`
}

// Held says that the plan took effect.
func (o Outcome) Held() bool { return o.Err == nil }

// Conflict returns the change that came first if a plan made from base over objects
// is stale at s, else nil. Of several it is the earliest, so that every process
// names the same one.
func (s *State) Conflict(base structs.Version, objects []string) *First {
	var first *First
	for _, o := range objects {
		v := s.Touched[o]
		if v <= base {
			continue
		}
		if first == nil || v < first.Version || v == first.Version && o < first.Object {
			first = &First{Version: v, Object: o}
		}
	}
	if first != nil {
		first.Operator = s.operatorAt(first.Version)
	}
	return first
}

func (s *State) operatorAt(v structs.Version) string {
	for _, o := range s.Outcomes {
		if o.Version == v {
			return o.Operator
		}
	}
	return ""
}

// Objects returns all that a confirm of intents and touches conflicts over.
func Objects(intents []structs.Intent, touches []string) []string {
	all := slices.Clone(touches)
	for _, i := range intents {
		all = append(all, i.Object())
		all = append(all, i.Depends()...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func staleError(f *First, plan string) *errs.Error {
	return errs.Newf(errs.StalePlan, "plan %.12s: %s was changed at version %d by %s after the plan was made; plan again",
		plan, f.Object, f.Version, f.Operator)
}

// forget drops the oldest outcomes and the change marks that nothing needs any
// more: a plan from before Forgot is refused whatever it touches.
func (f *fold) forget() {
	if len(f.s.Outcomes) <= MaxOutcomes {
		return
	}
	versions := make([]structs.Version, 0, len(f.s.Outcomes))
	for _, o := range f.s.Outcomes {
		versions = append(versions, o.Version)
	}
	slices.SortFunc(versions, cmp.Compare)
	f.s.Forgot = versions[forgetOutcomes-1]
	outcomes := f.outcomes.own(&f.s.Outcomes)
	for id, o := range outcomes {
		if o.Version <= f.s.Forgot {
			delete(outcomes, id)
		}
	}
	touched := f.touched.own(&f.s.Touched)
	for object, v := range touched {
		if v <= f.s.Forgot && object != policyObject {
			delete(touched, object)
		}
	}
}

// policyObject keeps its mark for PolicySet.
var policyObject = structs.Intent{Policy: &structs.PolicyIntent{}}.Object()

// PolicySet says whether an operator has ever set the policy; until then a side goes by its
// own setting.
func (s *State) PolicySet() bool { return s.Touched[policyObject] != 0 }
