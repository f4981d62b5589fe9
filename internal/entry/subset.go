package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

// minDomains is over how many failure domains a subset stands at least, so that the loss of one
// domain does not leave the entry without sides.
const minDomains = 2

// Subset returns the sides among hosts that the entry self keeps sessions with when it
// keeps limit of them at most, for working out what a size of subset does.
func Subset(self settings.Identity, hosts []platform.Host, limit int) []platform.Host {
	return subset(self.ID, self.Domain, hosts, limit)
}

// subset picks up to limit sides for one entry by rendezvous hashing, so that a host which
// joins or leaves changes few subsets. The entry's own failure domain goes first; one
// place in minDomains is kept for others. limit 0 takes all.
func subset(self structs.HostID, domain structs.FailureDomain, hosts []platform.Host, limit int) []platform.Host {
	if limit <= 0 || len(hosts) <= limit {
		return hosts
	}
	var own, other []platform.Host
	for _, h := range byRendezvous(self, hosts) {
		if h.Domain == domain {
			own = append(own, h)
		} else {
			other = append(other, h)
		}
	}
	reserved := min(len(other), max(1, limit/minDomains))
	if limit == 1 {
		reserved = 0
	}
	picked := own[:min(len(own), limit-reserved)]
	return append(slices.Clone(picked), other[:min(len(other), limit-len(picked))]...)
}

// byRendezvous hashes each host once: the list is ranked anew at each read, and hashing at each
// comparison took most of the time that a read costs with 1,700 sides.
func byRendezvous(self structs.HostID, hosts []platform.Host) []platform.Host {
	type ranked struct {
		score uint64
		host  platform.Host
	}
	ranks := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		ranks = append(ranks, ranked{rendezvous(self, h.ID), h})
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.ID, b.host.ID))
	})
	sorted := make([]platform.Host, 0, len(ranks))
	for _, r := range ranks {
		sorted = append(sorted, r.host)
	}
	return sorted
}

func rendezvous(a, b structs.HostID) uint64 {
	return xxhash.Sum64String(string(a) + "\x00" + string(b))
}
