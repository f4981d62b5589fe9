package relay

import (
	"fmt"
	"slices"
	"testing"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

func hosts(domains, each int) []platform.Host {
	var out []platform.Host
	for d := range domains {
		for n := range each {
			out = append(out, platform.Host{
				ID:     structs.HostID(fmt.Sprintf("e%d-%d", d, n)),
				Role:   platform.RoleEntry,
				Domain: structs.FailureDomain(fmt.Sprint("d", d)),
				State:  platform.HostLive,
			})
		}
	}
	return out
}

// The target has 620 entries in 20 failure domains.
func TestTreeAtTheTargetSize(t *testing.T) {
	all := hosts(20, 31)
	children := map[structs.HostID]int{}
	parent := map[structs.HostID]structs.HostID{}
	roots := 0
	for _, h := range all {
		p := Parents(h, all)
		if len(p) == 0 {
			roots++
			continue
		}
		if p[0].Domain != h.Domain || p[0].ID == h.ID {
			t.Fatalf("%s follows %s", h.ID, p[0].ID)
		}
		parent[h.ID] = p[0].ID
		children[p[0].ID]++
	}
	if roots != 40 {
		t.Errorf("%d entries read the log, want 40", roots)
	}
	for id, n := range children {
		if n > FanOut {
			t.Errorf("%s has %d children", id, n)
		}
	}
	for _, h := range all {
		depth := 0
		for id := h.ID; parent[id] != ""; id = parent[id] {
			depth++
		}
		if depth > 2 {
			t.Errorf("%s is %d deep", h.ID, depth)
		}
	}
}

// Symptom: an entry never gets configuration again.
// Sequence: its parent is lost, and the host list shows it.
// Cause: parents are chosen once.
func TestLostParentIsReplaced(t *testing.T) {
	all := hosts(1, 12)
	for _, h := range all {
		before := Parents(h, all)
		if len(before) == 0 {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(all), func(x platform.Host) bool { return x.ID == before[0].ID })
		for _, p := range Parents(h, left) {
			if p.ID == before[0].ID {
				t.Errorf("%s still follows the lost %s", h.ID, p.ID)
			}
		}
	}
}

func TestLeavingEntriesAndSidesAreNoParents(t *testing.T) {
	all := hosts(1, 8)
	all[0].State = platform.HostLeaving
	all[1].Role = platform.RoleSide
	for _, h := range all[2:] {
		for _, p := range Parents(h, all) {
			if p.ID == all[0].ID || p.ID == all[1].ID {
				t.Errorf("%s follows %s", h.ID, p.ID)
			}
		}
	}
}

func TestEachKeyHasItsOwners(t *testing.T) {
	all := hosts(3, 5)
	for n := range 50 {
		key := fmt.Sprint("side", n)
		owners := 0
		for _, h := range all {
			if Has(h, all, key, PushOwners) {
				owners++
			}
		}
		if owners != PushOwners {
			t.Errorf("%s has %d owners", key, owners)
		}
	}
}
