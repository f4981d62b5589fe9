// Package fleetview keeps a gateway's view of the fleet under one lock for all who use it: the
// online path, the batch workers, the list of targets and the peers' reports.
package fleetview

import (
	"sync"
	"time"

	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// View is a fleet.Fleet with a lock, and the batch runs that it can preempted.
type View struct {
	mu    sync.Mutex
	fleet *fleet.Fleet
	runs  map[string][]*Run // batch runs of this process by target id, oldest first
	// live are all runs of this process by target id, also those that were preempted and are not over yet.
	live map[string]map[*Run]struct{}
	// listed counts the changes of the list of targets.
	listed uint64

	// changed gets a token when this process's own loads have changed.
	changed chan struct{}
	// freed gets a token when a batch item may find room.
	freed chan struct{}
}

// New returns a view of an empty fleet.
func New(o fleet.Options) *View {
	return &View{
		fleet:   fleet.New(o),
		runs:    make(map[string][]*Run),
		live:    make(map[string]map[*Run]struct{}),
		changed: make(chan struct{}, 1),
		freed:   make(chan struct{}, 1),
	}
}

// Changed gets a token after changes of this process's own loads.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Freed gets a token when there may be room for a batch item that there was not before.
func (v *View) Freed() <-chan struct{} { return v.freed }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// StartOnline chooses a target for an online request and counts it there. It cuts off batch runs
// of this process whose slots are needed for it.
func (v *View) StartOnline(service string, tried []string) (*Run, bool) {
	v.mu.Lock()
	now := time.Now()
	c, ok := v.fleet.PickOnline(now, service, tried)
	if !ok {
		v.mu.Unlock()
		return nil, false
	}
	r := &Run{Target: c.Target, Choice: c, view: v, began: now, class: structs.ClassOnline}
	v.begin(now, r)
	victims := v.victims(now)
	v.mu.Unlock()
	signal(v.changed)
	preemptAll(victims)
	return r, true
}

// StartBatch chooses a target for a batch item, if one has room. preempt is called, once at most,
// when the run must give up its slot; it must not block. Of those at one target the runs of the highest rank
// give theirs up first; see serving.Route.
func (v *View) StartBatch(service string, rank int, tried []string, preempt func()) (*Run, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	c, ok := v.fleet.PickBatch(now, service, tried)
	if !ok {
		return nil, false
	}
	r := &Run{Target: c.Target, Choice: c, view: v, began: now, class: structs.ClassBatch, rank: rank, preempt: preempt}
	v.begin(now, r)
	v.runs[c.Target.ID] = append(v.runs[c.Target.ID], r)
	signal(v.changed)
	return r, true
}

// Prospect is what an online request of a service that comes now may expect.
func (v *View) Prospect(service string) fleet.Prospect {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Prospect(time.Now(), service)
}

// ApplyReport takes in a peer's report.
func (v *View) ApplyReport(from fleet.Peer, report fleet.Report) {
	v.mu.Lock()
	now := time.Now()
	v.fleet.ApplyReport(now, from, report)
	victims := v.victims(now)
	v.mu.Unlock()
	signal(v.freed)
	preemptAll(victims)
}

// PeerNews is what another gateway passes on of a peer.
type PeerNews struct {
	From fleet.Peer
	// Report is the peer's newest report; nil if it has none to tell.
	Report *fleet.Report
	Sign   fleet.Sign
}

// ApplyNews takes in what another gateway passes on of peers.
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
	victims := v.victims(now)
	v.mu.Unlock()
	signal(v.freed)
	preemptAll(victims)
}

// Report returns what this process has at targets and wants to start.
func (v *View) Report() fleet.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Report(time.Now())
}

// SetDemand notes which batch items this process would like to start.
func (v *View) SetDemand(w fleet.Demand) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.SetDemand(w)
}

// SetContact notes that the store has answered this process now.
func (v *View) SetContact() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.SetContact(time.Now())
}

// Peers is how many other gateways live.
func (v *View) Peers() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Peers(time.Now())
}

// StoreDownForAll says that no live peer has reached the store since this process last did.
func (v *View) StoreDownForAll() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.StoreDownForAll(time.Now())
}

// Put adds or changes targets and removes others.
func (v *View) Put(present []serving.Target, gone []string) {
	v.mu.Lock()
	now := time.Now()
	v.listed++
	for _, t := range present {
		v.fleet.Put(t)
	}
	for _, id := range gone {
		v.fleet.Remove(id)
	}
	victims := v.victims(now)
	v.mu.Unlock()
	signal(v.freed)
	preemptAll(victims)
}

// Listed is another number after each change of the list of targets.
func (v *View) Listed() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed
}

// Targets returns the targets of the list.
func (v *View) Targets() []serving.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Targets()
}

// IsInService says whether a target is on the list and not leaving.
func (v *View) IsInService(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.IsInService(id)
}

// HeardSince says whether a target has sent something to this process after a time.
func (v *View) HeardSince(id string, t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.HeardSince(id, t)
}

// ReportSoon has peers told of news without waiting for the next report.
func (v *View) ReportSoon() { signal(v.changed) }

// Drop marks a target as gone at once: another one answers at its address.
func (v *View) Drop(id string) { v.Put(nil, []string{id}) }
