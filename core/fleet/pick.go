package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"arbutusramp/core/policy"
	"arbutusramp/core/serving"
)

// candidate is a target that is considered for a request. isSameDomain is false for all candidates while the
// preference for the own failure domain is disabled.
type candidate struct {
	target       *targetState
	load         Load // of all gateways
	isSameDomain bool
}

func (c candidate) freeSlots() int { return c.target.freeSlots() }

// candidates returns the targets that may get a request, in no particular order: those of its service and version
// that are not draining, not in tried and usable by isUsable.
func (f *Fleet) candidates(now time.Time, w Work, tried []string, isUsable func(*targetState) bool) []candidate {
	f.expirePeers(now)
	var list []candidate
	for _, ts := range f.targets {
		if !w.fits(ts) || ts.IsDraining || slices.Contains(tried, ts.ID) || !isUsable(ts) {
			continue
		}
		list = append(list, candidate{target: ts, load: ts.totalLoad(), isSameDomain: ts.Domain == f.opts.Domain && f.opts.Disabled.IsEnabled(policy.OwnDomain)})
	}
	return list
}

// fits reports whether a target has the service and the version that the work needs.
func (w Work) fits(ts *targetState) bool {
	return ts.Service == w.Service && (w.Version == nil || ts.Version == *w.Version)
}

// IsServed reports whether any target that is not draining has the service and the version that the work needs. The
// target may be suspect or full.
func (f *Fleet) IsServed(w Work) bool {
	for _, ts := range f.targets {
		if w.fits(ts) && !ts.IsDraining {
			return true
		}
	}
	return false
}

// Choice is the target chosen for a request, with the loads and the reason behind the choice.
type Choice struct {
	Target    serving.Target
	Load      Load   // of all gateways, before the request
	LivePeers int    // live peers whose loads are included
	Reason    string // reason for the choice, for log lines
	// IsByExpectedTime is set if the target was chosen by expected time.
	IsByExpectedTime bool
	expected         expectation // set with IsByExpectedTime
}

// String formats the choice for log lines.
func (c Choice) String() string {
	s := fmt.Sprintf("%s %s online=%d batch=%d slots=%d peers=%d", c.Target.ID, c.Reason, c.Load.Online, c.Load.Batch, c.Target.Slots, c.LivePeers)
	if !c.IsByExpectedTime {
		return s
	}
	return fmt.Sprintf("%s wait_ms=%d service_ms=%d slowness=%.2f", s, c.expected.wait.Milliseconds(), c.expected.service.Milliseconds(), c.expected.slowness)
}

func (f *Fleet) choice(c candidate, reason string) Choice {
	return Choice{Target: c.target.Target, Load: c.load, LivePeers: len(f.peers), Reason: reason}
}

// PickOnline chooses the target for an online request, none of those in tried; ok is false if there is none.
// Healthy targets are preferred, then those on probation, and as a last resort suspect ones. Among these it
// chooses by the expected time of the answer where expected times are in use, otherwise by tier and load.
func (f *Fleet) PickOnline(now time.Time, w Work, tried []string) (c Choice, ok bool) {
	list, suffix := f.onlineCandidates(now, w, tried)
	if len(list) == 0 {
		return Choice{}, false
	}
	if f.isCostAware(w.Service) {
		chosen := f.chooseExpected(now, w, list)
		c = f.choice(chosen.candidate, tierNames[chosen.tier()]+suffix)
		c.IsByExpectedTime, c.expected = true, chosen.expectation
		return c, true
	}
	chosen := bestCandidate(list)
	return f.choice(chosen, tierNames[chosen.tier()]+suffix), true
}

// onlineCandidates returns the targets among which PickOnline chooses: the healthy ones, if there are none those
// on probation, and if there are none of these either all. suffix says for log lines which of these they are. If the
// healthy ones have no slot, a request that may run again elsewhere tries one on probation that seems to have returned: else
// targets that have failed once would stay unused for as long as others are healthy.
func (f *Fleet) onlineCandidates(now time.Time, w Work, tried []string) (list []candidate, suffix string) {
	sound := f.candidates(now, w, tried, func(ts *targetState) bool { return ts.health.state(now) == healthy })
	if w.IsRepeatable && len(sound) > 0 && !slices.ContainsFunc(sound, candidate.hasSlot) {
		due := f.candidates(now, w, tried, func(ts *targetState) bool { return ts.health.isOnlineTrialDue(now) })
		if due = slices.DeleteFunc(due, func(c candidate) bool { return !c.hasSlot() }); len(due) > 0 {
			return due, " on trial"
		}
	}
	if len(sound) > 0 {
		return sound, ""
	}
	stages := []struct {
		isUsable func(*targetState) bool
		suffix   string
	}{
		{func(ts *targetState) bool { return ts.health.state(now) == probation }, " on probation"},
		{func(ts *targetState) bool { return true }, " though suspect"},
	}
	for _, stage := range stages {
		if list := f.candidates(now, w, tried, stage.isUsable); len(list) > 0 {
			return list, stage.suffix
		}
	}
	return nil, ""
}

// bestCandidate returns the candidate with the best tier and, within it, the lowest cost. tieBreak decides
// between equal ones, so that gateways do not all pick the same target.
func bestCandidate(list []candidate) candidate {
	return slices.MinFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.tier(), b.tier()),
			cmp.Compare(a.cost(), b.cost()),
			cmp.Compare(a.target.tieBreak, b.target.tieBreak),
			cmp.Compare(a.target.ID, b.target.ID),
		)
	})
}

// Tiers rank candidates by whether the request would get a slot immediately, best first.
const (
	tierFree    = iota // a slot is free
	tierPreempt        // batch items hold slots and can be preempted
	tierQueue          // online requests hold all slots
)

// tierNames are the reasons for a choice in log lines, by tier.
var tierNames = [...]string{tierFree: "free slot", tierPreempt: "batch makes way", tierQueue: "shortest queue"}

// tier returns the tier of a candidate.
func (c candidate) tier() int {
	switch {
	case c.freeSlots() > 0:
		return tierFree
	case c.load.Online < c.target.Slots:
		return tierPreempt
	default:
		return tierQueue
	}
}

// hasSlot reports whether an online request would get a slot immediately, possibly of a batch item.
func (c candidate) hasSlot() bool { return c.tier() != tierQueue }

// onlineDomainBonus is the number of requests that a target in another failure domain counts in addition to
// its load, because traffic between domains is costly. With exactly that many more requests, a target in the
// gateway's own domain has the same cost as one in another domain.
const onlineDomainBonus = 2

// cost orders candidates of the same tier, lowest first. It is the load in requests, plus onlineDomainBonus
// for a target in another failure domain. Where a slot is free, batch items count in full, because they use
// memory and step time; at a full target they do not count, because they are preempted anyway.
func (c candidate) cost() int {
	cost := c.load.Online
	if c.tier() == tierFree {
		cost = c.load.total()
	}
	if !c.isSameDomain {
		cost += onlineDomainBonus
	}
	return cost
}
