package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"arbutusramp/core/serving"
)

// PickBatch chooses the target for a batch item: the one with the most free slots, if as many as
// Options.StartSpare stay free after it.
func (f *Fleet) PickBatch(now time.Time, service string, tried []string) (t serving.Target, ok bool) {
	list := f.candidates(now, service, tried, func(n *node) bool { return n.health.admitsBatch(now) })
	list = slices.DeleteFunc(list, func(c candidate) bool { return c.room() <= f.opts.StartSpare })
	if len(list) == 0 {
		return serving.Target{}, false
	}
	c := slices.MinFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.room(), a.room()),
			cmp.Compare(f.spread(a), f.spread(b)),
		)
	})
	return c.node.Target, true
}

// Cut returns how many of its own batch items this gateway must cut off now, by target. Each
// gateway works out the same division of the excess, so that together they cut as many as needed.
func (f *Fleet) Cut(now time.Time) map[string]int {
	cuts := make(map[string]int)
	for id, n := range f.nodes {
		if n.own.Batch == 0 {
			continue
		}
		if n.Draining || n.health.state(now) == suspect {
			cuts[id] = n.own.Batch
			continue
		}
		excess := f.load(now, n).total() + f.opts.KeepSpare - n.Slots
		if k := f.ownShare(now, n, excess); k > 0 {
			cuts[id] = k
		}
	}
	return cuts
}

// holder is a gateway's number of batch items at one target.
type holder struct {
	peer  Peer
	batch int
}

// ownShare is this gateway's part of excess batch items at n. Holders give one each in turn,
// those with the most first.
func (f *Fleet) ownShare(now time.Time, n *node, excess int) int {
	if excess <= 0 {
		return 0
	}
	holders := f.holders(now, n)
	share := 0
	for excess > 0 {
		slices.SortFunc(holders, func(a, b holder) int {
			return cmp.Or(cmp.Compare(b.batch, a.batch), cmp.Compare(mix(string(a.peer), n.ID), mix(string(b.peer), n.ID)))
		})
		if holders[0].batch == 0 {
			break
		}
		holders[0].batch--
		if holders[0].peer == f.opts.Self {
			share++
		}
		excess--
	}
	return share
}

func (f *Fleet) holders(now time.Time, n *node) []holder {
	list := []holder{{f.opts.Self, n.own.Batch}}
	for name, p := range f.peers {
		if now.Sub(p.at) <= f.opts.PeerTTL && p.loads[n.ID].Batch > 0 {
			list = append(list, holder{name, p.loads[n.ID].Batch})
		}
	}
	return list
}

// mix hashes two names to a number.
func mix(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a)) // a hash never fails to write
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return h.Sum64()
}
