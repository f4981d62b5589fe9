package choose

import (
	"fmt"
	"testing"

	"arbutusramp/core/structs"
)

func nineTargets(inFlight int) []Candidate {
	var cs []Candidate
	for i := range 9 {
		cs = append(cs, cand(structs.TargetID(fmt.Sprintf("t%d", i)), inFlight))
	}
	return cs
}

func homeOf(t *testing.T, prefix uint64, cs []Candidate) structs.TargetID {
	t.Helper()
	r := ask
	for block := range uint64(16) {
		r.Prefixes = append(r.Prefixes, prefix*100+block)
	}
	v := View{Candidates: cs}
	var d Decision
	if err := policy(t, "home").Choose(rng(), &r, &v, &d); err != nil {
		t.Fatal(err)
	}
	return cs[d.Index].Target
}

// Symptom: every engine computes every prompt's beginning.
// Events: entries with different views choose for prompts that begin alike.
// Cause: each goes by what it has sent itself.
func TestPromptsThatBeginAlikeShareAHome(t *testing.T) {
	homes := make(map[structs.TargetID]int)
	for prefix := range uint64(90) {
		a := homeOf(t, prefix, nineTargets(2))
		cs := nineTargets(2)
		cs[prefix%9].InFlight = 3
		if b := homeOf(t, prefix, cs); a != b {
			t.Errorf("prefix %d: %s and %s", prefix, a, b)
		}
		homes[a]++
	}
	if len(homes) != 9 {
		t.Errorf("90 prefixes share %d homes of 9: %v", len(homes), homes)
	}
}

// Symptom: one popular prompt overloads one engine while others idle.
// Events: the home of a prefix has far more requests than the others.
// Cause: affinity without a bound.
func TestALoadedHomePassesOn(t *testing.T) {
	for prefix := range uint64(20) {
		cs := nineTargets(2)
		home := homeOf(t, prefix, cs)
		for i := range cs {
			if cs[i].Target == home {
				cs[i].InFlight = 8
			}
		}
		if again := homeOf(t, prefix, cs); again == home {
			t.Errorf("prefix %d stays at a home with 8 requests beside eight with 2", prefix)
		}
	}
}
