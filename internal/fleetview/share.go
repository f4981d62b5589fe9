package fleetview

import (
	"time"

	"arbutusramp/core/fleet"
)

// IsSharing reports whether capacity is divided between workspaces.
func (v *View) IsSharing() bool { return v.fleet.IsSharing() } // set once, so that no lock is needed

// OfferOnline records an online request that has arrived, and decides on it by the share of its workspace. higherRanks
// is the number of more urgent ranks, and canQueue is set if the request may wait at the gateway for a slot.
func (v *View) OfferOnline(w fleet.Work, higherRanks int, canQueue bool) fleet.ShareDecision {
	if !v.IsSharing() {
		return fleet.ShareDecision{}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.OfferOnline(time.Now(), w, higherRanks, canQueue)
}

// RecordShareRejection records that a request was rejected because its workspace is over its share.
func (v *View) RecordShareRejection(w fleet.Work, d fleet.ShareDecision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.RecordShareRejection(time.Now(), w, d)
}

// HasFreeSlot reports whether an online request would get a slot immediately, possibly of a batch item.
func (v *View) HasFreeSlot(w fleet.Work) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.HasFreeSlot(time.Now(), w)
}

// OverShareAtStart returns, for each service, which of the workspaces with batch items waiting have used their share of
// the capacity. It returns nil if capacity is not divided.
func (v *View) OverShareAtStart(waitingByService map[string][]string) map[string]map[string]bool {
	if !v.IsSharing() {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	over := make(map[string]map[string]bool, len(waitingByService))
	for service, waiting := range waitingByService {
		over[service] = v.fleet.OverShareAtStart(now, service, waiting)
	}
	return over
}

// recordServed records the work of a run that begins. The caller holds v.mu.
func (v *View) recordServed(now time.Time, r *Run) {
	r.sharedWork = v.fleet.ServeWork(now, r.Work)
}

// correctServed takes back the work that a run has not done: it was preempted, refused or short. The caller holds
// v.mu.
func (v *View) correctServed(now time.Time, r *Run) {
	v.fleet.RefundWork(now, r.startedAt, r.Work, r.sharedWork-now.Sub(r.startedAt))
}
