package fleet

import (
	"slices"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/fairshare"
)

// serviceCapacity is the capacity of a service's usable targets.
type serviceCapacity struct {
	at             time.Time
	slots, targets int
	rateAt         time.Time // zero while rate is not computed
	rate           float64   // see capacityRate
}

// capacityTTL is how long a computed capacity is used. Computing it takes time in proportion to the number of
// targets, and a decision on each request needs it.
const capacityTTL = 50 * time.Millisecond

// maxCapacities bounds the number of cached capacities, since those of removed services are not deleted.
const maxCapacities = 256

// IsSharing reports whether capacity is divided between workspaces.
func (f *Fleet) IsSharing() bool { return f.sharing != nil }

// isShared reports whether work counts in the division of the capacity: it belongs to a workspace.
func (f *Fleet) isShared(w Work) bool { return f.sharing != nil && w.Workspace != "" }

// capacity returns the capacity of the targets of a service that are neither draining nor suspect.
func (f *Fleet) capacity(now time.Time, service string) serviceCapacity {
	c, ok := f.capacities[service]
	if ok && now.Sub(c.at) < capacityTTL {
		return c
	}
	if !ok && len(f.capacities) >= maxCapacities {
		clear(f.capacities)
	}
	c.at, c.slots, c.targets = now, 0, 0
	for _, ts := range f.targets {
		if ts.Service == service && !ts.IsDraining && ts.health.state(now) != suspect {
			c.slots += ts.Slots
			c.targets++
		}
	}
	if f.capacities == nil {
		f.capacities = make(map[string]serviceCapacity)
	}
	f.capacities[service] = c
	return c
}

// workTime returns the time for which work is expected to hold a slot: the predicted time at a full target if the
// cost of the service's requests is known, else the mean of the service; 0 if that is unknown too.
func (f *Fleet) workTime(now time.Time, w Work) time.Duration {
	if f.isCostAware(w.Service) {
		c := f.capacity(now, w.Service)
		slots := c.slots / max(1, c.targets)
		if p, ok := f.costs.Predict(now, costmodel.Query{Service: w.Service, Route: w.Route, Size: w.Size, Load: slots, Slots: slots}); ok && p.Hold > 0 {
			return p.Hold
		}
	}
	return f.holdTimes[w.Service]
}

// ShareDecision is the decision on an online request by the share of its workspace.
type ShareDecision struct {
	fairshare.Admission
	IsShared bool // capacity is divided and the request has a workspace
	// IsSlotFree and IsAdmitted are set only for a request of a workspace over its share: a slot is free or can be
	// freed by preemption; the share is not used up, and the request is sent or queued.
	IsSlotFree, IsAdmitted bool
}

// OfferOnline records an online request that has arrived, and decides on it by the share of its workspace. higherRanks
// is the number of more urgent ranks, and canQueue is set if the request may wait at the gateway for a slot.
func (f *Fleet) OfferOnline(now time.Time, w Work, higherRanks int, canQueue bool) ShareDecision {
	if !f.isShared(w) {
		return ShareDecision{}
	}
	f.expirePeers(now)
	f.sharing.Offer(now, w.Service, w.Workspace, f.workTime(now, w))
	d := ShareDecision{IsShared: true, Admission: f.sharing.Admit(now, w.Service, w.Workspace, higherRanks, float64(f.capacity(now, w.Service).slots))}
	if !d.IsOverShare {
		return d
	}
	d.IsSlotFree = f.HasFreeSlot(now, w)
	if d.IsAdmitted = d.HasCredit && (d.IsSlotFree || canQueue); d.IsAdmitted {
		f.sharing.TakeCredit(now, w.Service, w.Workspace)
	}
	return d
}

// HasFreeSlot reports whether an online request would get a slot immediately, possibly of a batch item.
func (f *Fleet) HasFreeSlot(now time.Time, w Work) bool {
	list, _ := f.onlineCandidates(now, w, nil)
	return slices.ContainsFunc(list, func(c candidate) bool { return c.load.Online < c.target.Slots })
}

// RecordShareRejection records that a request was rejected because its workspace is over its share.
func (f *Fleet) RecordShareRejection(now time.Time, w Work, d ShareDecision) {
	if !f.isShared(w) {
		return
	}
	f.sharing.NoteRejection(now, w.Service, w.Workspace)
	if d.IsAdmitted {
		f.sharing.ReturnCredit(now, w.Service, w.Workspace)
	}
}

// ServeWork records work that is sent to a target, and returns how much of it counts for its workspace.
func (f *Fleet) ServeWork(now time.Time, w Work) time.Duration {
	if !f.isShared(w) {
		return 0
	}
	work := f.workTime(now, w)
	f.sharing.Serve(now, w.Service, w.Workspace, work)
	return work
}

// RefundWork takes back a part of what ServeWork has recorded at a time: the run has held its slot for a shorter time.
func (f *Fleet) RefundWork(now, servedAt time.Time, w Work, unused time.Duration) {
	if f.isShared(w) && unused > 0 {
		f.sharing.Refund(now, servedAt, w.Service, w.Workspace, unused)
	}
}

// OverShareAtStart returns which of the workspaces that have batch items waiting at a service have used their share of
// the capacity.
func (f *Fleet) OverShareAtStart(now time.Time, service string, waiting []string) map[string]bool {
	if f.sharing == nil {
		return nil
	}
	f.expirePeers(now)
	return f.sharing.OverShareAtStart(now, service, waiting, float64(f.capacity(now, service).slots))
}

// expireUsage drops the usage of workspaces that a peer has reported.
func (f *Fleet) expireUsage(name Peer) {
	if f.sharing != nil {
		f.sharing.ExpirePeer(string(name))
	}
}

// ownUsage returns the work of workspaces at this gateway, or nil if a report was sent recently.
func (f *Fleet) ownUsage(now time.Time) []fairshare.Usage {
	if f.sharing == nil {
		return nil
	}
	return f.sharing.Report(now)
}
