// Package relay decides from whom each process takes the configuration. In each
// failure domain the first two entries by rendezvous hashing read the log;
// the others form a tree below them. Every process works this out alone from the
// host list, so nothing has to be agreed; lists that differ for a
// while give other parents, never wrong configuration.
package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/platform"
	"arbutusramp/core/rendezvous"
	"arbutusramp/core/structs"
)

const (
	// Roots is how many entries of a failure domain read the log.
	Roots = 2
	// FanOut is how many entries follow one entry. With 31 entries in a domain
	// the tree is two deep, and no entry answers more than four others.
	FanOut = 4
	// PushOwners is how many entries send each side the records; the others
	// only announce the version.
	PushOwners = 2
)

// Parents returns the entries that self may follow, the best first. It is
// empty for an entry that reads the log.
func Parents(self platform.Host, hosts []platform.Host) []platform.Host {
	domain := entriesOf(self, hosts)
	rank := slices.IndexFunc(domain, func(h platform.Host) bool { return h.ID == self.ID })
	if rank < Roots {
		return nil
	}
	parents := []platform.Host{domain[(rank-Roots)/FanOut]}
	for _, root := range domain[:Roots] {
		if root.ID != parents[0].ID {
			parents = append(parents, root)
		}
	}
	return parents
}

// maxBackups bounds Backups.
const maxBackups = 4

// Backups returns entries to follow when neither the parents nor the log can be
// reached: the roots of the own failure domain, then one of other domains each.
func Backups(self platform.Host, hosts []platform.Host) []platform.Host {
	own := entriesOf(self, hosts)
	out := slices.Clone(own[:min(Roots, len(own))])
	seen := map[structs.FailureDomain]bool{self.Domain: true}
	for _, h := range rankBy(Peers(self.ID, hosts), string(self.ID)) {
		if !seen[h.Domain] {
			seen[h.Domain] = true
			out = append(out, h)
		}
	}
	out = slices.DeleteFunc(out, func(h platform.Host) bool { return h.ID == self.ID })
	return out[:min(maxBackups, len(out))]
}

// entriesOf returns the live entries in self's failure domain with self, by rank.
func entriesOf(self platform.Host, hosts []platform.Host) []platform.Host {
	domain := []platform.Host{self}
	for _, h := range hosts {
		if h.ID != self.ID && h.Domain == self.Domain && liveEntry(h) {
			domain = append(domain, h)
		}
	}
	return rankBy(domain, string(self.Domain))
}

func liveEntry(h platform.Host) bool {
	return h.Role == platform.RoleEntry && h.State == platform.HostLive
}

func rankBy(hosts []platform.Host, key string) []platform.Host {
	return rendezvous.Hosts(hosts, func(id structs.HostID) uint64 {
		return xxhash.Sum64String(key + "\x00" + string(id))
	})
}

// Peers returns the live entries besides self.
func Peers(self structs.HostID, hosts []platform.Host) []platform.Host {
	var out []platform.Host
	for _, h := range hosts {
		if h.ID != self && liveEntry(h) {
			out = append(out, h)
		}
	}
	return out
}

// Has reports whether self is among the first n live entries for key.
func Has(self platform.Host, hosts []platform.Host, key string, n int) bool {
	all := rankBy(append(Peers(self.ID, hosts), self), key)
	return slices.ContainsFunc(all[:min(n, len(all))], func(h platform.Host) bool { return h.ID == self.ID })
}
