// Package fanout decides how the small reports of each gateway reach all other gateways of a large fleet.
// Each gateway reports to two hubs, which are gateways of its failure domain. A hub collects the reports that
// arrive within a few milliseconds and sends them as one batch to all gateways of its domain, along a tree,
// and to the hubs of the other domains. The number of datagrams that a gateway sends and receives a second
// then does not depend on the size of the fleet; the size of a batch does.
//
// Package internal/loadshare uses it for load reports. This package does no I/O and reads no clock: callers
// provide the locking and pass the time in.
package fanout

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hubsPerDomain is the number of hubs of a domain. All of them receive each report of the domain's gateways.
// Each hub forwards half of the reports at once and sends the state of all gateways of the domain again at
// regular intervals: the loss of one hub delays half of the reports until the loss is detected.
const hubsPerDomain = 2

// maxFlatReceivers is the largest number of receivers to which a hub sends directly. With more of them it
// sends to some, which forward to the others.
const maxFlatReceivers = 8

// Domain is the numeric identifier of a failure domain, a group of hosts that fail together.
type Domain uint32

// Capacity is the processor time available to a gateway, in tenths of a core; 0 if unknown.
type Capacity uint8

// CapacityFromCores converts a number of cores into a Capacity. The result is rounded to tenths of a core and limited
// to the range 0 to 255.
func CapacityFromCores(cores float64) Capacity {
	return Capacity(max(0, min(math.MaxUint8, math.Round(10*cores))))
}

// Member describes a gateway to Hubs and Rank, according to the data of the calling gateway.
type Member struct {
	Addr     netip.AddrPort
	Domain   Domain
	Capacity Capacity
	// IsLive is set if the calling gateway has recently received a report or heartbeat of this gateway,
	// directly or through a hub, and for the calling gateway itself. The caller decides what counts as recent.
	IsLive bool
}

// hashAddr returns the hash of an address by which gateways are ordered. All gateways compute the same hash;
// each salt gives another order.
func hashAddr(addr netip.AddrPort, salt uint64) uint64 {
	ip := addr.Addr().As16()
	var key [26]byte
	copy(key[:], ip[:])
	binary.LittleEndian.PutUint16(key[16:], addr.Port())
	binary.LittleEndian.PutUint64(key[18:], salt)
	return xxhash.Sum64(key[:])
}

// Hubs selects the hubs among the members of one domain: at most hubsPerDomain of those that were seen
// recently (IsLive), with the most processor time first. unconfirmed are the members that were not seen
// recently and come before the last hub in this order, or all of them if there are fewer than hubsPerDomain
// hubs: they may be live and act as hubs.
func Hubs(members []Member) (hubs, unconfirmed []netip.AddrPort) {
	type hashedMember struct {
		Member
		hash uint64
	}
	ordered := make([]hashedMember, 0, len(members))
	for _, m := range members {
		ordered = append(ordered, hashedMember{m, hashAddr(m.Addr, 0)})
	}
	slices.SortFunc(ordered, func(a, b hashedMember) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.hash, a.hash), a.Addr.Compare(b.Addr))
	})
	for _, m := range ordered {
		switch {
		case len(hubs) == hubsPerDomain:
			return hubs, unconfirmed
		case m.IsLive:
			hubs = append(hubs, m.Addr)
		default:
			unconfirmed = append(unconfirmed, m.Addr)
		}
	}
	return hubs, unconfirmed
}

// Rank returns how many of the others come before self when only some gateways are assigned a task.
// Gateways with more processor time come first; those with equal processor time are ordered by a hash of their
// addresses.
func Rank(self Member, others []Member) int {
	const salt = 2 // orders members with equal processor time differently than Hubs, which uses salt 0
	ownHash := hashAddr(self.Addr, salt)
	rank := 0
	for _, m := range others {
		if cmp.Or(cmp.Compare(m.Capacity, self.Capacity), cmp.Compare(hashAddr(m.Addr, salt), ownHash), self.Addr.Compare(m.Addr)) > 0 {
			rank++
		}
	}
	return rank
}

// Branch is a receiver to which a hub sends a batch, and the gateways to which this receiver forwards it.
type Branch struct {
	Parent   netip.AddrPort
	Children []netip.AddrPort
}

// Branches divides the receivers of a hub into branches so that no gateway sends to more than about the
// square root of their number. Up to maxFlatReceivers receivers are a branch each. Each hub divides them
// differently: a gateway that a batch of one hub does not reach because the forwarding gateway was lost still
// receives the batch of the other hub.
func Branches(hub netip.AddrPort, receivers []netip.AddrPort) []Branch {
	n := len(receivers)
	if n <= maxFlatReceivers {
		branches := make([]Branch, 0, n)
		for _, r := range receivers {
			branches = append(branches, Branch{Parent: r})
		}
		return branches
	}
	salt := hashAddr(hub, 1)
	// Each address is hashed once, not in each comparison: hubs divide their receivers for every batch.
	type hashedAddr struct {
		addr netip.AddrPort
		hash uint64
	}
	ordered := make([]hashedAddr, 0, n)
	for _, r := range receivers {
		ordered = append(ordered, hashedAddr{r, hashAddr(r, salt)})
	}
	slices.SortFunc(ordered, func(a, b hashedAddr) int { return cmp.Compare(a.hash, b.hash) })
	addrs := make([]netip.AddrPort, 0, n)
	for _, h := range ordered {
		addrs = append(addrs, h.addr)
	}
	branchSize := int(math.Ceil(math.Sqrt(float64(n))))
	var branches []Branch
	for chunk := range slices.Chunk(addrs, branchSize) {
		branches = append(branches, Branch{Parent: chunk[0], Children: chunk[1:]})
	}
	return branches
}
