// Package fanout spreads small reports among the gateways of a large fleet. Each gateway tells two hubs of its failure domain, which gather
// what comes within a few milliseconds, tell it to all gateways of the domain along a tree, and to the hubs of the other domains. What a
// gateway sends and hears a second then does not depend on the size of the fleet; what a report holds does.
//
// The package decides who sends what to whom. It does no I/O; callers lock it and pass the time in.
package fanout

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hubsPerDomain is how many gateways of a domain are told each report. Each of them passes half of the reports on at once, and repeats
// what counts of all of them every now and then: the loss of one delays half of the reports until it is noticed.
const hubsPerDomain = 2

// flatReceivers is how many receivers a hub tells by itself. With more of them it tells some, which tell the others.
const flatReceivers = 8

// Domain names a failure domain.
type Domain uint32

// Capacity is the processor time of a gateway, in tenths of a core.
type Capacity uint8

// CapacityOf is the capacity of a process that may use some cores.
func CapacityOf(cores float64) Capacity {
	return Capacity(max(0, min(math.MaxUint8, math.Round(10*cores))))
}

// Member is a gateway as another one knows it.
type Member struct {
	Addr     netip.AddrPort
	Domain   Domain
	Capacity Capacity
	// IsHeard says that it has been heard of a moment ago, by itself or through a hub. Others are listed, and may be gone.
	IsHeard bool
}

// weight orders gateways, the same way at all of them.
func weight(addr netip.AddrPort, salt uint64) uint64 {
	ip := addr.Addr().As16()
	var key [26]byte
	copy(key[:], ip[:])
	binary.LittleEndian.PutUint16(key[16:], addr.Port())
	binary.LittleEndian.PutUint64(key[18:], salt)
	return xxhash.Sum64(key[:])
}

// Hubs returns the hubs among the members of one domain, those with the most processor time first, and listed members that would be hubs if they were heard: they may
// be, without knowing the gateway that asks.
func Hubs(members []Member) (hubs, listed []netip.AddrPort) {
	type weighed struct {
		Member
		weight uint64
	}
	list := make([]weighed, 0, len(members))
	for _, m := range members {
		list = append(list, weighed{m, weight(m.Addr, 0)})
	}
	slices.SortFunc(list, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.weight, a.weight), a.Addr.Compare(b.Addr))
	})
	for _, m := range list {
		switch {
		case len(hubs) == hubsPerDomain:
			return hubs, listed
		case m.IsHeard:
			hubs = append(hubs, m.Addr)
		default:
			listed = append(listed, m.Addr)
		}
	}
	return hubs, listed
}

// Rank is how many of the others go before a gateway when some of all have a duty: those with more processor time do.
func Rank(self Member, others []Member) int {
	const salt = 2 // other gateways than the hubs
	own := weight(self.Addr, salt)
	rank := 0
	for _, m := range others {
		if cmp.Or(cmp.Compare(m.Capacity, self.Capacity), cmp.Compare(weight(m.Addr, salt), own), self.Addr.Compare(m.Addr)) > 0 {
			rank++
		}
	}
	return rank
}

// Branch is a receiver and those that it passes on to.
type Branch struct {
	First netip.AddrPort
	Rest  []netip.AddrPort
}

// Branches divides the receivers of a hub so that nobody sends to more than about the square root of their number. Each hub divides them
// in its own way: who is missed under one of them because another receiver was lost hears the other.
func Branches(hub netip.AddrPort, receivers []netip.AddrPort) []Branch {
	n := len(receivers)
	if n <= flatReceivers {
		branches := make([]Branch, 0, n)
		for _, r := range receivers {
			branches = append(branches, Branch{First: r})
		}
		return branches
	}
	salt := weight(hub, 1)
	// Each is hashed once: hubs divide their receivers with every batch.
	type weighed struct {
		addr   netip.AddrPort
		weight uint64
	}
	ordered := make([]weighed, 0, n)
	for _, r := range receivers {
		ordered = append(ordered, weighed{r, weight(r, salt)})
	}
	slices.SortFunc(ordered, func(a, b weighed) int { return cmp.Compare(a.weight, b.weight) })
	addrs := make([]netip.AddrPort, 0, n)
	for _, w := range ordered {
		addrs = append(addrs, w.addr)
	}
	size := int(math.Ceil(math.Sqrt(float64(n))))
	var branches []Branch
	for part := range slices.Chunk(addrs, size) {
		branches = append(branches, Branch{First: part[0], Rest: part[1:]})
	}
	return branches
}
