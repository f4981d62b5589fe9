package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"arbutusramp/core/policy"
	"arbutusramp/core/serving"
)

// candidate is a target under consideration.
type candidate struct {
	node *node
	load Load
	near bool
}

func (c candidate) room() int { return c.node.room() }

// candidates returns the targets of a service that may get a request, in no order.
func (f *Fleet) candidates(now time.Time, service string, tried []string, usable func(*node) bool) []candidate {
	f.expire(now)
	var list []candidate
	for _, n := range f.nodes {
		if n.Service != service || n.Draining || slices.Contains(tried, n.ID) || !usable(n) {
			continue
		}
		list = append(list, candidate{node: n, load: n.load(), near: n.Domain == f.opts.Domain && f.opts.Off.Allows(policy.OwnDomain)})
	}
	return list
}

// Choice is a target with what spoke for it.
type Choice struct {
	Target serving.Target
	Load   Load // of all gateways, before the request
	Peers  int  // live peers whose loads are in it
	Why    string
}

// String is the choice as it stands in log lines.
func (c Choice) String() string {
	return fmt.Sprintf("%s %s online=%d batch=%d slots=%d peers=%d", c.Target.ID, c.Why, c.Load.Online, c.Load.Batch, c.Target.Slots, c.Peers)
}

func (f *Fleet) choice(c candidate, why string) Choice {
	return Choice{Target: c.node.Target, Load: c.load, Peers: len(f.peers), Why: why}
}

// PickOnline chooses the target for an online request; ok is false when no target can be used.
// Healthy targets go first, then those on probation, then, as a last resort, any that are listed.
func (f *Fleet) PickOnline(now time.Time, service string, tried []string) (c Choice, ok bool) {
	stages := []struct {
		usable func(*node) bool
		note   string
	}{
		{func(n *node) bool { return n.health.state(now) == healthy }, ""},
		{func(n *node) bool { return n.health.state(now) == probation }, " on probation"},
		{func(n *node) bool { return true }, " though suspect"},
	}
	for _, stage := range stages {
		list := f.candidates(now, service, tried, stage.usable)
		if len(list) == 0 {
			continue
		}
		best := best(list)
		return f.choice(best, tierNames[best.tier()]+stage.note), true
	}
	return Choice{}, false
}

// best prefers a free slot, then a target whose batch items can make way, then the shortest
// queue. Among equals the own failure domain wins: bytes between domains cost.
func best(list []candidate) candidate {
	return slices.MinFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.tier(), b.tier()),
			cmp.Compare(a.cost(), b.cost()),
			cmp.Compare(a.node.spread, b.node.spread),
			cmp.Compare(a.node.ID, b.node.ID),
		)
	})
}

// Tiers of a candidate, best first.
const (
	tierFree = iota
	tierPreempt
	tierQueue
)

// tierNames say in log lines why a target was chosen.
var tierNames = [...]string{tierFree: "free slot", tierPreempt: "batch makes way", tierQueue: "shortest queue"}

func (c candidate) tier() int {
	switch {
	case c.room() > 0:
		return tierFree
	case c.load.Online < c.node.Slots:
		return tierPreempt
	default:
		return tierQueue
	}
}

// nearBonus is how many more requests a target in the own failure domain may have than one
// elsewhere and still be preferred.
const nearBonus = 2

// cost is the load in requests. Batch items count in full where a slot is free, since they hold
// memory and step time; where a target is full they are cut off anyway.
func (c candidate) cost() int {
	cost := c.load.Online
	if c.tier() == tierFree {
		cost = c.load.total()
	}
	if !c.near {
		cost += nearBonus
	}
	return cost
}
