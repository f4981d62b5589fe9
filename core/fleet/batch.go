package fleet

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"arbutusramp/core/policy"
)

// staggerInterval is how long a gateway leaves free slots to one that goes before it: by then it has heard
// of what that one started.
const staggerInterval = 12 * time.Millisecond

// PickBatch chooses the target for a batch item: one with free slots beyond Options.StartSpare. The
// gateways take turns, those whose items are due first in front; the n-th takes the n-th free slot
// of a target at once, and one of those before it only after it has been left for a while. Without
// turns all would start an item in the same slot and all but one cut it off again.
func (f *Fleet) PickBatch(now time.Time, service string, tried []string) (c Choice, ok bool) {
	list := f.candidates(now, service, tried, func(n *node) bool { return n.health.admitsBatch(now) })
	turn := f.turn()
	list = slices.DeleteFunc(list, func(c candidate) bool { return !f.canStart(now, c, turn) })
	if len(list) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.room()+b.batchBonus(), a.room()+a.batchBonus()),
			cmp.Compare(a.node.spread, b.node.spread),
			cmp.Compare(a.node.ID, b.node.ID),
		)
	})
	return f.choice(best, fmt.Sprintf("turn %d", turn)), true
}

// batchNear is how many more free slots a target elsewhere must have for a batch item than one in the own failure domain: bytes
// between domains cost. More would fill the own domain's targets first.
const batchNear = 3

// batchBonus is what speaks for a target for batch items beside its free slots.
func (c candidate) batchBonus() int {
	if c.near {
		return batchNear
	}
	return 0
}

// canStart says whether a slot of a target is free for the gateway with this turn.
func (f *Fleet) canStart(now time.Time, c candidate, turn int) bool {
	room := c.room() - f.opts.StartSpare
	if room <= 0 {
		return false
	}
	before := turn - (room - 1) // gateways that have no slot of their own here and go first
	return before <= 0 || now.Sub(c.node.roomSince) >= time.Duration(before)*staggerInterval
}

// turn is how many gateways go before this one.
func (f *Fleet) turn() int {
	turn := 0
	if !f.opts.Off.Allows(policy.Turns) {
		return turn
	}
	for name, p := range f.peers {
		if p.Demand.Items > 0 && cmp.Or(cmp.Compare(p.Demand.Due, f.demand.Due), cmp.Compare(name, f.opts.Self)) < 0 {
			turn++
		}
	}
	return turn
}

// Preempt returns how many of its own batch items this gateway must cut off now, by target. Each
// gateway works out the same division of the excess, so that together they cut as many as needed.
func (f *Fleet) Preempt(now time.Time) map[string]int {
	f.expire(now)
	cuts := make(map[string]int)
	for id, n := range f.holding {
		if n.Draining || n.health.state(now) == suspect {
			cuts[id] = n.own.Batch
			continue
		}
		if !f.opts.Off.Allows(policy.GiveWay) {
			continue
		}
		excess := f.opts.KeepSpare - n.room()
		if k := f.ownShare(n, excess); k > 0 {
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
func (f *Fleet) ownShare(n *node, excess int) int {
	if excess <= 0 {
		return 0
	}
	holders := f.holders(n)
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

func (f *Fleet) holders(n *node) []holder {
	list := []holder{{f.opts.Self, n.own.Batch}}
	for name, items := range n.batchOf {
		list = append(list, holder{name, items})
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
