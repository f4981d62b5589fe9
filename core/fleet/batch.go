package fleet

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"arbutusramp/core/policy"
)

// staggerInterval is how long a gateway leaves a free slot to each gateway ahead of it. After that time it
// has received a report of what that gateway has started.
const staggerInterval = 12 * time.Millisecond

// Avoidance is the preference of a batch item for other targets than those where its last runs were broken off or
// failed. It never excludes the last target that can take batch items.
type Avoidance struct {
	Targets []string // ids
	// IsStrict makes the item wait for a slot at another target while there is one that can take batch items. Without it,
	// the item runs at a target that it avoids if no other one has a slot now.
	IsStrict bool
}

// includes reports whether the item avoids a target.
func (a Avoidance) includes(c candidate) bool { return slices.Contains(a.Targets, c.target.ID) }

// drop removes the targets from the list that the item does not run at now, and reports whether there are any.
func (a Avoidance) drop(list []candidate) (rest []candidate, hasDropped bool) {
	isOther := func(c candidate) bool { return !a.includes(c) }
	if !a.IsStrict || !slices.ContainsFunc(list, isOther) {
		return list, false
	}
	rest = slices.DeleteFunc(list, a.includes)
	return rest, len(rest) < len(list)
}

// compare orders the targets that the item avoids after the others.
func (a Avoidance) compare(b, c candidate) int {
	switch isFirst, isSecond := a.includes(b), a.includes(c); {
	case isFirst == isSecond:
		return 0
	case isFirst:
		return 1
	}
	return -1
}

// PickBatch chooses the target for a batch item: one with free slots beyond Options.MinFreeAfterStart. ok is false if
// there is none; see PickBatchSlot.
func (f *Fleet) PickBatch(now time.Time, w Work) (c Choice, ok bool) {
	p := f.PickBatchSlot(now, w)
	return p.Choice, p.IsPicked
}

// PickBatchSlot is PickBatch with the reason why an item has to wait. Gateways stagger their starts in the order
// of their Demand.StartKey: the n-th gateway may take the n-th of the free slots of a target immediately, and an
// earlier one only after it has stayed free for a multiple of staggerInterval. Otherwise all gateways would
// start an item in the same slot, and all but one would preempt it again.
//
// For services whose costs are predicted, an item starts only where its slot is expected to last and, with
// Options.YieldsInOverload, while online requests are neither rejected nor queued. Without the first, in a demand that alternates between a low and a high
// level, most runs are preempted before they have gained an event.
func (f *Fleet) PickBatchSlot(now time.Time, w Work) BatchPick {
	list := f.candidates(now, w, nil, func(ts *targetState) bool { return ts.health.canTakeBatch(now) })
	list, isAvoiding := w.Avoid.drop(list)
	ahead := f.gatewaysAhead()
	list = slices.DeleteFunc(list, func(c candidate) bool { return !f.canStart(now, c, ahead) })
	if len(list) == 0 {
		return BatchPick{IsAvoiding: isAvoiding}
	}
	if f.isYielding(now, w.Service) && !(w.IsUrgent && !f.isUrgentShareUsed(now, w.Service)) {
		return BatchPick{Deferral: DeferredForOverload}
	}
	pick := BatchPick{IsPicked: true}
	isUrgent := w.IsUrgent && f.isCostAware(w.Service)
	if f.opts.Disabled.IsEnabled(policy.DemandForecast) && f.isCostAware(w.Service) {
		pick.IsForecast = true
		list, pick.Probability = f.lastingCandidates(now, w, list, ahead)
		if len(list) == 0 {
			return BatchPick{Deferral: DeferredForHeadroom, IsForecast: true, Probability: pick.Probability, IsAvoiding: isAvoiding}
		}
	}
	best := slices.MinFunc(list, func(a, b candidate) int {
		if order := w.Avoid.compare(a, b); order != 0 {
			return order
		}
		if isUrgent {
			if order := cmp.Compare(f.slownessClass(now, a.target.ID), f.slownessClass(now, b.target.ID)); order != 0 {
				return order
			}
		}
		return cmp.Or(
			cmp.Compare(b.freeSlots()+b.domainBonus(), a.freeSlots()+a.domainBonus()),
			cmp.Compare(a.target.tieBreak, b.target.tieBreak),
			cmp.Compare(a.target.ID, b.target.ID),
		)
	})
	if pick.IsForecast {
		pick.Probability = best.target.lasting.probability
	}
	pick.Choice = f.choice(best, fmt.Sprintf("turn %d", ahead))
	return pick
}

// batchDomainBonus is how many free slots are added to those of a target in the gateway's own failure domain
// when targets for a batch item are compared, because traffic between domains is costly. A larger bonus would
// fill the targets of the own domain first.
const batchDomainBonus = 3

// domainBonus is batchDomainBonus for a target in the gateway's own failure domain and 0 for others.
func (c candidate) domainBonus() int {
	if c.isSameDomain {
		return batchDomainBonus
	}
	return 0
}

// canStart reports whether this gateway may start a batch item at a target now. ahead is the number of
// gateways that start theirs before it.
func (f *Fleet) canStart(now time.Time, c candidate, ahead int) bool {
	batchSlots := c.freeSlots() - f.opts.MinFreeAfterStart
	if batchSlots <= 0 {
		return false
	}
	gatewaysWithoutSlot := ahead - (batchSlots - 1) // gateways ahead that have no slot of their own at this target
	return gatewaysWithoutSlot <= 0 || now.Sub(c.target.freeSince) >= time.Duration(gatewaysWithoutSlot)*staggerInterval
}

// gatewaysAhead is how many gateways start batch items before this one, by their Demand.StartKey. It is 0
// while staggered starts are disabled.
func (f *Fleet) gatewaysAhead() int {
	ahead := 0
	if !f.opts.Disabled.IsEnabled(policy.StaggeredStarts) {
		return ahead
	}
	for name, p := range f.peers {
		if p.Demand.Items > 0 && cmp.Or(cmp.Compare(p.Demand.StartKey, f.demand.StartKey), cmp.Compare(name, f.opts.Self)) < 0 {
			ahead++
		}
	}
	return ahead
}

// Preempt returns how many of its own batch items this gateway must preempt now, by target id. Each gateway
// divides the items to be preempted between the gateways in the same way, so that together they preempt as
// many as needed.
func (f *Fleet) Preempt(now time.Time) map[string]int {
	f.expirePeers(now)
	preempted := make(map[string]int)
	for id, ts := range f.ownBatchTargets {
		if ts.IsDraining || ts.health.state(now) == suspect {
			preempted[id] = ts.ownLoad.Batch
			continue
		}
		if !f.opts.Disabled.IsEnabled(policy.Preemption) {
			continue
		}
		excess := f.opts.MinFreeSlots - ts.freeSlots()
		if n := f.ownPreemptions(ts, excess); n > 0 {
			preempted[id] = n
		}
	}
	return preempted
}

// batchHolder is a gateway with its number of batch items at one target.
type batchHolder struct {
	peer  Peer
	items int
}

// ownPreemptions is how many batch items this gateway must preempt at a target where all gateways together
// must preempt excess items. Each item is taken from the gateway that has the most items left there.
func (f *Fleet) ownPreemptions(ts *targetState, excess int) int {
	if excess <= 0 {
		return 0
	}
	holders := f.batchHolders(ts)
	ownCount := 0
	for excess > 0 {
		slices.SortFunc(holders, func(a, b batchHolder) int {
			return cmp.Or(cmp.Compare(b.items, a.items), cmp.Compare(hashPair(string(a.peer), ts.ID), hashPair(string(b.peer), ts.ID)))
		})
		if holders[0].items == 0 {
			break
		}
		holders[0].items--
		if holders[0].peer == f.opts.Self {
			ownCount++
		}
		excess--
	}
	return ownCount
}

// batchHolders returns this gateway and all peers that have batch items at a target.
func (f *Fleet) batchHolders(ts *targetState) []batchHolder {
	list := []batchHolder{{f.opts.Self, ts.ownLoad.Batch}}
	for name, items := range ts.peerBatch {
		list = append(list, batchHolder{name, items})
	}
	return list
}

// hashPair returns a hash of two names. With the name of a gateway in the pair, ties are broken
// differently at each gateway.
func hashPair(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a)) // a hash never fails to write
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return h.Sum64()
}
