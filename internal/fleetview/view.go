// Package fleetview keeps the gateway's view of the fleet under one lock. The online path, the batch
// workers, the target list and the load reports of peers share it.
package fleetview

import (
	"sync"
	"time"

	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// View is a fleet.Fleet with a lock and the batch runs that can be preempted. It is safe for concurrent
// use.
type View struct {
	mu    sync.Mutex
	fleet *fleet.Fleet
	// preemptible holds the batch runs of this process that were not preempted, by target id, oldest first.
	preemptible map[string][]*Run
	// active holds all runs of this process by target id, including preempted ones that are not done yet.
	active map[string]map[*Run]struct{}
	// listRevision counts the changes of the target list.
	listRevision uint64

	// loadsChanged receives a token when the loads of this process have changed.
	loadsChanged chan struct{}
	// roomFreed receives a token when a batch item may find a free slot.
	roomFreed chan struct{}
}

// New returns a view of an empty fleet.
func New(o fleet.Options) *View {
	return &View{
		fleet:        fleet.New(o),
		preemptible:  make(map[string][]*Run),
		active:       make(map[string]map[*Run]struct{}),
		loadsChanged: make(chan struct{}, 1),
		roomFreed:    make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives a token after the loads of this process have changed.
func (v *View) Changed() <-chan struct{} { return v.loadsChanged }

// Freed returns a channel that receives a token when a slot may have become free for a batch item.
func (v *View) Freed() <-chan struct{} { return v.roomFreed }

// signal sends a token unless one is pending. It never blocks.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// StartOnline picks a target for an online request and counts the request there. It preempts batch runs of
// this process whose slots the request needs.
func (v *View) StartOnline(service string, tried []string) (*Run, bool) {
	v.mu.Lock()
	now := time.Now()
	c, ok := v.fleet.PickOnline(now, service, tried)
	if !ok {
		v.mu.Unlock()
		return nil, false
	}
	r := &Run{Target: c.Target, Choice: c, view: v, startedAt: now, class: structs.ClassOnline}
	v.addRun(now, r)
	victims := v.takeVictims(now)
	v.mu.Unlock()
	signal(v.loadsChanged)
	preemptAll(victims)
	return r, true
}

// StartBatch picks a target with a free slot for a batch item; ok is false if there is none. preempt is
// called at most once, when the run must release its slot, and must not block. At one target the runs with
// the highest rank are preempted first; see serving.Route.
func (v *View) StartBatch(service string, rank int, tried []string, preempt func()) (*Run, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	c, ok := v.fleet.PickBatch(now, service, tried)
	if !ok {
		return nil, false
	}
	r := &Run{Target: c.Target, Choice: c, view: v, startedAt: now, class: structs.ClassBatch, rank: rank, preempt: preempt}
	v.addRun(now, r)
	v.preemptible[c.Target.ID] = append(v.preemptible[c.Target.ID], r)
	signal(v.loadsChanged)
	return r, true
}

// Prospect returns what an online request of a service that arrives now can expect.
func (v *View) Prospect(service string) fleet.Prospect {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Prospect(time.Now(), service)
}

// ApplyReport applies the load report of a peer.
func (v *View) ApplyReport(from fleet.Peer, report fleet.Report) {
	v.mu.Lock()
	now := time.Now()
	v.fleet.ApplyReport(now, from, report)
	victims := v.takeVictims(now)
	v.mu.Unlock()
	signal(v.roomFreed)
	preemptAll(victims)
}

// PeerNews is what another gateway relays about a peer.
type PeerNews struct {
	From fleet.Peer
	// Report is the newest report of the peer; nil if only Sign is relayed.
	Report *fleet.Report
	Sign   fleet.Sign
}

// ApplyNews applies what another gateway relays about peers.
func (v *View) ApplyNews(list []PeerNews) {
	v.mu.Lock()
	now := time.Now()
	for _, n := range list {
		if n.Report != nil {
			v.fleet.ApplyReport(now, n.From, *n.Report)
			continue
		}
		v.fleet.NoteSign(now, n.From, n.Sign)
	}
	victims := v.takeVictims(now)
	v.mu.Unlock()
	signal(v.roomFreed)
	preemptAll(victims)
}

// Report returns the load of this process at targets and its demand for batch items.
func (v *View) Report() fleet.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Report(time.Now())
}

// SetDemand records which batch items this process waits to start.
func (v *View) SetDemand(demand fleet.Demand) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.SetDemand(demand)
}

// SetContact records that the store has just answered this process.
func (v *View) SetContact() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.SetContact(time.Now())
}

// Peers returns the number of other gateways that are alive.
func (v *View) Peers() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Peers(time.Now())
}

// StoreDownForAll reports whether no live peer has reached the store since this process last did.
func (v *View) StoreDownForAll() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.StoreDownForAll(time.Now())
}

// Put adds or updates the targets in present and removes those in gone, by id.
func (v *View) Put(present []serving.Target, gone []string) {
	v.mu.Lock()
	now := time.Now()
	v.listRevision++
	for _, t := range present {
		v.fleet.Put(t)
	}
	for _, id := range gone {
		v.fleet.Remove(id)
	}
	victims := v.takeVictims(now)
	v.mu.Unlock()
	signal(v.roomFreed)
	preemptAll(victims)
}

// Listed returns a revision of the target list that differs after each change.
func (v *View) Listed() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listRevision
}

// Targets returns the targets on the list.
func (v *View) Targets() []serving.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Targets()
}

// IsInService reports whether a target is on the list and not draining.
func (v *View) IsInService(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.IsInService(id)
}

// HeardSince reports whether a target has sent data to this process after t.
func (v *View) HeardSince(id string, t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.HeardSince(id, t)
}

// ReportSoon triggers a report to the peers before the next regular one.
func (v *View) ReportSoon() { signal(v.loadsChanged) }

// Drop removes a target at once, because another target answers at its address.
func (v *View) Drop(id string) { v.Put(nil, []string{id}) }
