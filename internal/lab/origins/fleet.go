package origins

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"arbutusramp/internal/loadshare"
)

// span is a time from which and until which something lasts, from the start of the simulation.
type span struct{ from, to time.Duration }

func (s span) has(at time.Duration) bool { return at >= s.from && at < s.to }

// gateway is a gateway with its faults, which are drawn before the streams.
type gateway struct {
	addr  netip.AddrPort
	downs []span // it is not running
	cuts  []span // it reaches no peer, and none reaches it
	lag   time.Duration
}

func isIn(spans []span, at time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.has(at) })
}

func (g *gateway) isUp(at time.Duration) bool { return !isIn(g.downs, at) }

// hasKept reports whether the gateway has run all the time between two times, so that it still has what it knew.
func (g *gateway) hasKept(from, to time.Duration) bool {
	return !slices.ContainsFunc(g.downs, func(s span) bool { return s.from < to && s.to > from })
}

// reaches reports whether datagrams pass between the gateway and a peer.
func (g *gateway) reaches(peer *gateway, at time.Duration) bool {
	return g.isUp(at) && peer.isUp(at) && !isIn(g.cuts, at) && !isIn(peer.cuts, at)
}

// fleet is the gateways and the versions over time.
type fleet struct {
	o        Options
	rng      *rand.Rand
	gateways []*gateway
}

// newFleet draws the faults. They depend on the seed alone, not on the way.
func newFleet(o Options) *fleet {
	f := &fleet{o: o, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	for i := range o.Gateways {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		f.gateways = append(f.gateways, &gateway{addr: addr, lag: time.Duration(f.rng.Int64N(int64(o.ListLag)))})
	}
	end := time.Duration(o.Seconds) * time.Second
	count := max(1, int(math.Round(o.KillShare*float64(o.Gateways))))
	for at := o.Kill; at < end; at += o.Kill {
		for _, i := range f.rng.Perm(o.Gateways)[:count] {
			f.gateways[i].downs = append(f.gateways[i].downs, span{at, at + o.Down})
		}
	}
	for at := o.Cut; at < end; at += 2 * o.Cut {
		g := f.gateways[f.rng.IntN(o.Gateways)]
		g.cuts = append(g.cuts, span{at, at + o.Cut})
	}
	return f
}

// versions returns the versions that serve at a time, the oldest first: two, of which the newer has just come, but for
// the first.
func (f *fleet) versions(at time.Duration) []string {
	newest := max(0, int(at/f.o.Release))
	if newest == 0 {
		return []string{versionName(0)}
	}
	return []string{versionName(newest - 1), versionName(newest)}
}

func versionName(i int) string { return fmt.Sprintf("v%d", i) }

// versionsAt returns the versions that a gateway knows of at a time.
func (f *fleet) versionsAt(g *gateway, at time.Duration) []string { return f.versions(at - g.lag) }

// livePeers returns the peers that a gateway takes for live at a time: those that it has heard within loadshare.PeerTTL.
func (f *fleet) livePeers(g *gateway, at time.Duration) []*gateway {
	var live []*gateway
	for _, p := range f.gateways {
		if p != g && (f.hasHeard(g, p, at) || f.hasHeard(g, p, at-loadshare.PeerTTL/2) || f.hasHeard(g, p, at-loadshare.PeerTTL)) {
			live = append(live, p)
		}
	}
	return live
}

// hasHeard reports whether a report of a peer reached the gateway at a time, and the gateway has run since.
func (f *fleet) hasHeard(g, peer *gateway, at time.Duration) bool {
	return g.reaches(peer, at) && g.hasKept(at, at+loadshare.PeerTTL)
}

// anyUp returns a running gateway.
func (f *fleet) anyUp(rng *rand.Rand, at time.Duration) *gateway {
	for range 4 * len(f.gateways) {
		if g := f.gateways[rng.IntN(len(f.gateways))]; g.isUp(at) {
			return g
		}
	}
	return nil
}

// isDelivered draws whether a datagram arrives.
func (f *fleet) isDelivered(rng *rand.Rand, from, to *gateway, at time.Duration) bool {
	return from.reaches(to, at) && rng.Float64() >= f.o.Loss
}
