package entry

import (
	"fmt"
	"slices"
	"testing"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

func fleetOf(n, domains int) []platform.Host {
	hosts := make([]platform.Host, n)
	for i := range hosts {
		hosts[i] = platform.Host{
			ID:     structs.HostID(fmt.Sprintf("side-%d", i)),
			Domain: structs.FailureDomain(fmt.Sprintf("d%d", i%domains)),
		}
	}
	return hosts
}

func TestSubsetPrefersTheOwnDomainAndSpans(t *testing.T) {
	hosts := fleetOf(60, 3)
	for _, limit := range []int{2, 5, 10, 24, 40} {
		got := subset("entry-1", "d1", hosts, limit)
		own := 0
		for _, h := range got {
			if h.Domain == "d1" {
				own++
			}
		}
		if len(got) != limit || own == 0 || own == len(got) || own < min(20, limit/2) {
			t.Errorf("limit %d: %d sides, %d of the own domain", limit, len(got), own)
		}
	}
	if got := subset("entry-1", "d1", hosts, 0); len(got) != 60 {
		t.Errorf("limit 0 took %d of 60", len(got))
	}
}

func TestSubsetChangesLittleWhenAHostGoes(t *testing.T) {
	hosts := fleetOf(60, 3)
	before := subset("entry-1", "d1", hosts, 20)
	for gone := range hosts {
		rest := slices.Delete(slices.Clone(hosts), gone, gone+1)
		kept := 0
		for _, h := range subset("entry-1", "d1", rest, 20) {
			if slices.Contains(before, h) {
				kept++
			}
		}
		if kept < 19 {
			t.Fatalf("%d of 20 kept when host %d went", kept, gone)
		}
	}
}

func TestSubsetsSpreadOverSides(t *testing.T) {
	hosts := fleetOf(60, 3)
	count := make(map[structs.HostID]int)
	const entries = 90
	for i := range entries {
		self := structs.HostID(fmt.Sprintf("entry-%d", i))
		for _, h := range subset(self, structs.FailureDomain(fmt.Sprintf("d%d", i%3)), hosts, 20) {
			count[h.ID]++
		}
	}
	for _, h := range hosts {
		if n := count[h.ID]; n < 15 || n > 45 {
			t.Errorf("%s has sessions to %d entries, want about 30", h.ID, n)
		}
	}
}

// Symptom: the owner of the placement loads models anew that stand where it does not look.
// Sequence: its entry keeps sessions with a part of the sides only.
func TestEntryThatHasToSeeAllKeepsSessionsWithAll(t *testing.T) {
	see := false
	p := &pool{set: settings.Entry{MaxSides: 20}, parts: &Parts{SeeAll: func() bool { return see }}}
	if got := p.maxSides(); got != 20 {
		t.Errorf("bound %d, want the settings'", got)
	}
	see = true
	if got := p.maxSides(); got != 0 {
		t.Errorf("bound %d, want none", got)
	}
}
