// Package fleetview keeps the targets that a gateway can use and their loads under one lock. The gateway uses
// it to pick a target for each online request and batch item, and to preempt batch items that hold slots
// which online requests need.
package fleetview

import (
	"sync"
	"time"

	"arbutusramp/core/fleet"
	"arbutusramp/core/headroom"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// View holds the targets, their loads and the runs of this process. It adds a lock to a fleet.Fleet, which picks
// the targets and computes which runs must be preempted. View is safe for concurrent use.
type View struct {
	mu    sync.Mutex
	fleet *fleet.Fleet
	// preemptible holds, by target id, the batch runs of this process that can be preempted, oldest first.
	preemptible map[string][]*Run
	// active holds, by target id, all runs of this process, including preempted ones that are not done yet.
	active map[string]map[*Run]struct{}
	// misdirected holds the ids of the targets that RemoveTarget has removed and that are still on the list.
	misdirected map[string]bool
	// listRevision counts the calls of UpdateTargets.
	listRevision uint64

	// loadsChanged holds a value while a load report to the peers is due; see LoadsChanged.
	loadsChanged chan struct{}
	// slotFreed holds a value while a slot may have become free for a batch item; see SlotFreed.
	slotFreed chan struct{}
}

// New returns a view without targets.
func New(o fleet.Options) *View {
	return &View{
		fleet:        fleet.New(o),
		preemptible:  make(map[string][]*Run),
		active:       make(map[string]map[*Run]struct{}),
		misdirected:  make(map[string]bool),
		loadsChanged: make(chan struct{}, 1),
		slotFreed:    make(chan struct{}, 1),
	}
}

// LoadsChanged returns the channel on which a value arrives after a run of this process has started or finished,
// a target has become suspect, or RequestReport was called. A receiver sends a load report to the peers.
func (v *View) LoadsChanged() <-chan struct{} { return v.loadsChanged }

// SlotFreed returns the channel on which a value arrives when a slot may have become free for a batch item.
func (v *View) SlotFreed() <-chan struct{} { return v.slotFreed }

// signal sends a value on c unless one is pending. It never blocks.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// StartOnline picks a target for an online request and starts a run there; ok is false if there
// is no target. tried are the ids of the targets that earlier attempts of the request have used. StartOnline
// preempts the batch runs of this process whose slots the request needs.
func (v *View) StartOnline(w fleet.Work, tried []string) (*Run, bool) {
	v.mu.Lock()
	now := time.Now()
	c, ok := v.fleet.PickOnline(now, w, tried)
	if !ok {
		v.mu.Unlock()
		return nil, false
	}
	r := &Run{Target: c.Target, Choice: c, Work: w, view: v, startedAt: now, class: structs.ClassOnline}
	r.cost.forecast, r.cost.hasForecast = v.fleet.ForecastCost(now, c, w)
	v.addRun(now, r)
	victims := v.takeVictims(now)
	v.mu.Unlock()
	signal(v.loadsChanged)
	preemptAll(victims)
	return r, true
}

// StartBatch picks a target with a free slot for a batch item and starts a run there; ok is false
// if there is no such target. preempt is called at most once, when the run must release its slot, and must not block. rank is the urgency
// of the item, 0 the most urgent: at one target the runs with the highest rank are preempted first.
func (v *View) StartBatch(w fleet.Work, rank int, preempt func()) (*Run, bool) {
	r, pick := v.StartBatchOrDefer(w, rank, preempt)
	return r, pick.IsPicked
}

// StartBatchOrDefer is StartBatch with the choice behind the start, or with the reason why the item has to wait.
// The run is nil if none was started.
func (v *View) StartBatchOrDefer(w fleet.Work, rank int, preempt func()) (*Run, fleet.BatchPick) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	pick := v.fleet.PickBatchSlot(now, w)
	if !pick.IsPicked {
		return nil, pick
	}
	r := &Run{Target: pick.Target, Choice: pick.Choice, Work: w, view: v, startedAt: now, class: structs.ClassBatch, rank: rank, preempt: preempt, lastingProbability: pick.Probability, hasLasting: pick.IsForecast}
	r.cost.forecast, r.cost.hasForecast = v.fleet.ForecastCost(now, pick.Choice, w)
	v.addRun(now, r)
	v.preemptible[pick.Target.ID] = append(v.preemptible[pick.Target.ID], r)
	signal(v.loadsChanged)
	return r, pick
}

// NoteOverload records that this process has rejected or queued an online request of a service, and reports the
// first one of an overload to the peers at once.
func (v *View) NoteOverload(service string) {
	v.mu.Lock()
	isNew := v.fleet.NoteOverload(time.Now(), service)
	v.mu.Unlock()
	if isNew {
		signal(v.loadsChanged)
	}
}

// TakeOverloadChanges returns the overloads of services that have begun or ended since the last call.
func (v *View) TakeOverloadChanges() []fleet.OverloadChange {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.TakeOverloadChanges(time.Now())
}

// Demand returns the demand of a service and the age of the last observation of it; zero while it is not observed.
func (v *View) Demand(service string) (demand headroom.Summary, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	demand = v.fleet.Demand(service)
	if demand.ObservedAt.IsZero() {
		return demand, 0
	}
	return demand, time.Since(demand.ObservedAt)
}

// IsServed reports whether any target that is not draining has the service and the version that the work needs. The
// target may be suspect or full.
func (v *View) IsServed(w fleet.Work) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.IsServed(w)
}

// Prospect returns how long an online request that arrives now can expect to wait for a slot and to
// hold it, and how many such requests per second this gateway may start.
func (v *View) Prospect(w fleet.Work) fleet.Estimate {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Estimate(time.Now(), w)
}

// LongestAnswer returns how long the whole answer to an online request that arrives now is expected to take at most; 0 if unknown.
func (v *View) LongestAnswer(w fleet.Work) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.LongestAnswer(time.Now(), w)
}

// CapacityAfter returns after which time a service is expected to have free capacity, up to limit; 0 if unknown.
func (v *View) CapacityAfter(service string, limit time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.CapacityAfter(time.Now(), service, limit)
}

// ApplyReport records the load report that the peer from has sent, and preempts the batch runs of this
// process whose slots the online requests of the peer need.
func (v *View) ApplyReport(from fleet.Peer, report fleet.Report) {
	v.mu.Lock()
	now := time.Now()
	v.fleet.ApplyReport(now, from, report)
	victims := v.takeVictims(now)
	v.mu.Unlock()
	signal(v.slotFreed)
	preemptAll(victims)
}

// PeerUpdate is the load report of a peer, or only its liveness, as relayed by another gateway.
type PeerUpdate struct {
	// Peer is the peer that the report is about.
	Peer fleet.Peer
	// Report is the newest report of the peer; nil if only Heartbeat is relayed.
	Report *fleet.Report
	// Heartbeat says when the peer was last alive; it is used only if Report is nil.
	Heartbeat fleet.Heartbeat
}

// ApplyPeerUpdates records the reports of peers that another gateway has relayed, and preempts as ApplyReport does.
func (v *View) ApplyPeerUpdates(reports []PeerUpdate) {
	v.mu.Lock()
	now := time.Now()
	for _, r := range reports {
		if r.Report != nil {
			v.fleet.ApplyReport(now, r.Peer, *r.Report)
			continue
		}
		v.fleet.ApplyHeartbeat(now, r.Peer, r.Heartbeat)
	}
	victims := v.takeVictims(now)
	v.mu.Unlock()
	signal(v.slotFreed)
	preemptAll(victims)
}

// Report returns the load report of this process for its peers: its runs at each target, the batch items that
// it waits to start, when the platform's store last answered it, and the targets that are suspect after a failed
// run (see Run.RecordFailure).
func (v *View) Report() fleet.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Report(time.Now())
}

// CalmAt returns the time from which a service counts as calm unless more of its targets fail: only few of them, or the
// given number, have failed within the window before it. It is zero if the service has been calm all the time.
func (v *View) CalmAt(service string, window time.Duration, failures int) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.CalmAt(service, window, failures)
}

// SetDemand records how many batch items this process waits to start, and when the first of them is due.
func (v *View) SetDemand(demand fleet.Demand) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.SetDemand(demand)
}

// RecordStoreContact records that the platform's store has just answered this process.
func (v *View) RecordStoreContact() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.RecordStoreContact(time.Now())
}

// LivePeerCount returns the number of other gateways that are alive, by the reports that this one has received.
func (v *View) LivePeerCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.LivePeerCount(time.Now())
}

// IsStoreDownForPeers reports whether no live peer has reached the platform's store since this process last
// reached it. It is false without live peers, since this process alone may be separated from the store.
func (v *View) IsStoreDownForPeers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.IsStoreDownForPeers(time.Now())
}

// UpdateTargets adds or updates the targets in present, and removes the targets whose ids are in goneIDs.
func (v *View) UpdateTargets(present []serving.Target, goneIDs []string) {
	v.mu.Lock()
	now := time.Now()
	v.listRevision++
	for _, t := range present {
		if old, ok := v.fleet.Target(t.ID); ok && (old.Version != t.Version || old.Service != t.Service) {
			for r := range v.active[t.ID] {
				r.hasVersionChanged.Store(true)
			}
		}
		v.fleet.Put(t)
		delete(v.misdirected, t.ID)
	}
	for _, id := range goneIDs {
		v.fleet.Remove(id)
		delete(v.misdirected, id)
	}
	victims := v.takeVictims(now)
	v.mu.Unlock()
	signal(v.slotFreed)
	preemptAll(victims)
}

// ListRevision returns the revision of the target list, which rises by 1 with each call of UpdateTargets.
func (v *View) ListRevision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listRevision
}

// Targets returns all targets of the list, including those that drain.
func (v *View) Targets() []serving.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Targets()
}

// IsInService reports whether the target with this id is on the list and not draining.
func (v *View) IsInService(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.IsInService(id)
}

// HasActivitySince reports whether the target with this id has sent data to this process later than since.
func (v *View) HasActivitySince(id string, since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.HasActivitySince(id, since)
}

// RequestReport triggers a load report to the peers before the next regular one.
func (v *View) RequestReport() { signal(v.loadsChanged) }

// maxMisdirected bounds the targets that RemoveTarget has removed and that can be restored.
const maxMisdirected = 4096

// RemoveTarget removes the target with this id at once, until ApplyRenewals or UpdateTargets brings it back. It is called
// when another target answers at its address.
func (v *View) RemoveTarget(id string) {
	v.UpdateTargets(nil, []string{id})
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.misdirected) < maxMisdirected {
		v.misdirected[id] = true
	}
}

// ApplyRenewals records that the entries of targets in the list were renewed. It adds those again that RemoveTarget has
// removed, and returns them: a target whose address was taken over renews no entry.
func (v *View) ApplyRenewals(renewed []serving.Target) (restored []serving.Target) {
	v.mu.Lock()
	now := time.Now()
	for _, t := range renewed {
		v.fleet.RecordRenewal(now, t.ID)
		if v.misdirected[t.ID] {
			restored = append(restored, t)
		}
	}
	v.mu.Unlock()
	if len(restored) > 0 {
		v.UpdateTargets(restored, nil)
	}
	return restored
}
