// Package rendezvous ranks candidates by rendezvous hashing: each candidate has a weight
// that no other candidate enters into, so one that joins or leaves changes only what it
// gets or had.
package rendezvous

import (
	"cmp"
	"slices"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// Hosts returns hosts by falling weight; hosts of equal weight stand by their ids. Each is
// weighed once: with 1,700 hosts, hashing at each comparison takes most of a ranking's time.
func Hosts(hosts []platform.Host, weight func(structs.HostID) uint64) []platform.Host {
	type weighed struct {
		host   platform.Host
		weight uint64
	}
	all := make([]weighed, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, weighed{h, weight(h.ID)})
	}
	slices.SortFunc(all, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host.ID, b.host.ID))
	})
	ranked := make([]platform.Host, 0, len(all))
	for _, w := range all {
		ranked = append(ranked, w.host)
	}
	return ranked
}
