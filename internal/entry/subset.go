package entry

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/platform"
	"arbutusramp/core/rendezvous"
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
	ranked := rendezvous.Hosts(hosts, func(side structs.HostID) uint64 { return weight(self, side) })
	for _, h := range ranked {
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

func weight(self, side structs.HostID) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(side))
}
