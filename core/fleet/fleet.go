// Package fleet holds a gateway's view of the targets and of the other gateways. The gateway uses it to
// choose the target of each request and the batch items to preempt. It is a state machine without I/O or
// clock: callers lock it and pass the time in.
//
// A target has slots, one for each request that it processes at once, and queues further requests in order of
// arrival, so a batch item in a slot keeps an online request waiting. Gateways report their loads at each
// target to each other, so every gateway can compute how many slots are free. Batch items start only in spare
// slots. They are preempted, and continue at another target, as soon as online requests need their slots.
package fleet

import (
	"slices"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/fairshare"
	"arbutusramp/core/headroom"
	"arbutusramp/core/policy"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// Load is the number of requests that one gateway has at one target.
type Load struct {
	Online, Batch int
}

func (l Load) total() int { return l.Online + l.Batch }

// Peer is the name of another gateway.
type Peer string

// Options are the settings of a Fleet.
type Options struct {
	// Domain is the failure domain of this gateway.
	Domain string
	// Self is this gateway's name among its peers.
	Self Peer
	// MinFreeAfterStart is how many slots must stay free at a target after a batch item has started there.
	MinFreeAfterStart int
	// MinFreeSlots is how many slots of each target are kept free by preempting batch items.
	MinFreeSlots int
	// PeerTTL is how long the last report of a peer counts if no other report or sign of life of it follows.
	PeerTTL time.Duration
	// ExpectedTime says for which services targets are chosen by expected time.
	ExpectedTime ExpectedTimeMode
	// YieldsInOverload suspends starts of batch items while online requests of their service are rejected or queued.
	YieldsInOverload bool
	// Sharing are the settings for dividing capacity between workspaces; nil to not divide it.
	Sharing *fairshare.Options
	// Disabled is the set of disabled mechanisms.
	Disabled policy.Disabled
}

// ExpectedTimeMode says for which services targets are chosen by expected time.
type ExpectedTimeMode uint8

const (
	// ExpectedTimeAuto applies to services of which a target has reported its pace.
	ExpectedTimeAuto ExpectedTimeMode = iota
	// ExpectedTimeOn applies to all services.
	ExpectedTimeOn
	// ExpectedTimeOff applies to no service.
	ExpectedTimeOff
)

// Work describes a request or batch item for which a target is chosen.
type Work struct {
	Service, Route string
	// Version, if it is not nil, is the software version that the target must have: that of the stream or text that
	// the request goes on with.
	Version   *string
	Workspace string // empty if requests need no API key
	Size      costmodel.Size
	// IsStream is set if the answer is a stream, so that its latency goal is for the first event and not for the
	// whole answer.
	IsStream bool
	// IsRepeatable is set for an online request that may be sent to another target if its run fails.
	IsRepeatable bool
	// IsUrgent is set for a batch item that would miss its due time if it did not start now.
	IsUrgent bool
	// SilentFor is for how long an earlier run was silent that this process has ended, the longest since the last event; 0
	// without one.
	SilentFor time.Duration
	// Avoid are the targets that a batch item prefers not to run at.
	Avoid Avoidance
	// StartSlack is for how long the start of a batch item can be deferred so that it still meets its due time; 0 if
	// unknown or none.
	StartSlack time.Duration
}

// Fleet is one gateway's view of the targets and of the other gateways. It is not safe for concurrent use.
type Fleet struct {
	opts    Options
	targets map[string]*targetState // by target id
	// ownBatchTargets holds, by target id, the targets at which this gateway has batch items. Preempt scans
	// only these, because there may be many hundred targets.
	ownBatchTargets map[string]*targetState
	peers           map[Peer]*peer
	failures        map[string]*FailureLog // by service
	// nextExpiry is a time before which no peer expires; zero until it is computed.
	nextExpiry time.Time
	demand     Demand
	holdTimes  map[string]time.Duration // mean time for which online requests hold a slot, by service; see RecordHoldTime
	// holdSpreads are the mean deviations from holdTimes, by service.
	holdSpreads map[string]time.Duration
	timings     map[string]eventTiming // mean times between events, by service; see SilenceLimit
	// storeContact is when the platform's store last answered this gateway.
	storeContact time.Time
	costs        *costmodel.Model
	demands      *headroom.Learner
	sharing      *fairshare.Ledger          // nil if capacity is not divided between workspaces
	capacities   map[string]serviceCapacity // by service; see capacity
	draws        uint64                     // random choices of a target so far
	expected     []expectedCandidate        // reused by expectAll
	predictions  predictor                  // costs; another one in tests
	forecasts    forecaster                 // demands; another one in tests
	observed     observedTargets
	overloads    map[string]*overload // by service
}

// targetState is a target with what this gateway has recorded of its load and health.
type targetState struct {
	serving.Target
	ownLoad  Load
	peerLoad Load // sum over the live peers
	health   health
	// peerBatch is the number of batch items of each peer that has any at the target. Preempt reads it after
	// each report; it is short, because few peers have batch items at the same target.
	peerBatch map[Peer]int
	// freeSince is when the target last went from no free slots to some.
	freeSince time.Time
	lasting   lastingSlots
	// peakOnline is the highest number of online requests since the last observation of the demand.
	peakOnline int
	// tieBreak decides between targets of the same tier and cost, lowest first. It differs between gateways,
	// so that they do not all pick the same target.
	tieBreak uint64
}

// totalLoad is the load of all gateways at the target.
func (ts *targetState) totalLoad() Load {
	return Load{Online: ts.ownLoad.Online + ts.peerLoad.Online, Batch: ts.ownLoad.Batch + ts.peerLoad.Batch}
}

// freeSlots is the number of free slots; negative when requests are queued.
func (ts *targetState) freeSlots() int { return ts.Slots - ts.totalLoad().total() }

// Demand describes the batch items that a gateway has ready to start.
type Demand struct {
	Items int // batch items that wait for a slot
	// StartKey is the start key of the first of them; the gateway with the lowest one starts first. It is when
	// the item is due, in milliseconds since 1970, plus a fixed time for each rank and for items that would
	// be late.
	StartKey int64
}

// Report is the message in which a gateway describes its state to its peers.
type Report struct {
	Loads  map[string]Load // by target id
	Demand Demand
	// StoreContact is when the platform's store last answered the gateway.
	StoreContact time.Time
	// Suspects are the ids of the targets that are suspect because they have failed requests of the gateway.
	Suspects []string
	// Observations are what the gateway has learned about targets since its last report.
	Observations []costmodel.Observation
	// Overloaded are the services of which the gateway has recently rejected or queued requests.
	Overloaded []string
	// Usage is the work of workspaces at the gateway; nil if it is as in the last report that had it.
	Usage []fairshare.Usage
}

// peer is the last report of another gateway, with the time of its last report or sign of life.
type peer struct {
	lastSeen time.Time
	Report
}

// New returns a Fleet without targets and peers.
func New(o Options) *Fleet {
	f := &Fleet{
		opts: o, targets: make(map[string]*targetState), ownBatchTargets: make(map[string]*targetState), peers: make(map[Peer]*peer), failures: make(map[string]*FailureLog), holdTimes: make(map[string]time.Duration), holdSpreads: make(map[string]time.Duration), timings: make(map[string]eventTiming),
		costs: costmodel.New(), demands: headroom.New(headroom.Options{GainTime: batchGainTime}), overloads: make(map[string]*overload),
	}
	f.predictions, f.forecasts = f.costs, f.demands
	if o.Sharing != nil {
		f.sharing = fairshare.New(*o.Sharing)
	}
	return f
}

// Put adds a target, or replaces the description of the one with the same id.
func (f *Fleet) Put(t serving.Target) {
	ts, ok := f.targets[t.ID]
	f.costs.PutTarget(t.Service, t.ID)
	if ok {
		if ts.Service != t.Service {
			f.observed.reset()
		}
		ts.Target = t
		return
	}
	ts = &targetState{Target: t, peerBatch: make(map[Peer]int), tieBreak: hashPair(string(f.opts.Self), t.ID)}
	for name, p := range f.peers {
		ts.peerLoad.addLoad(p.Loads[t.ID])
		ts.setPeerBatch(name, p.Loads[t.ID].Batch)
	}
	f.targets[t.ID] = ts
	f.observed.reset()
}

// Remove drops a target. Requests that are still running there are not ended.
func (f *Fleet) Remove(id string) {
	delete(f.targets, id)
	delete(f.ownBatchTargets, id)
	f.costs.RemoveTarget(id)
	f.observed.reset()
}

// Target returns the target with an id; ok is false if there is none.
func (f *Fleet) Target(id string) (t serving.Target, ok bool) {
	ts, ok := f.targets[id]
	if !ok {
		return serving.Target{}, false
	}
	return ts.Target, true
}

// Targets returns all targets that have been put and not removed.
func (f *Fleet) Targets() []serving.Target {
	list := make([]serving.Target, 0, len(f.targets))
	for _, ts := range f.targets {
		list = append(list, ts.Target)
	}
	return list
}

// Begin counts a request of this gateway that is about to be sent to a target.
func (f *Fleet) Begin(now time.Time, id string, c structs.Class) {
	if ts, ok := f.targets[id]; ok {
		ts.ownLoad.addRequests(c, 1)
		ts.peakOnline = max(ts.peakOnline, ts.totalLoad().Online)
		ts.health.recordStart(now)
		f.trackOwnBatch(id, ts)
		f.observeDemand(now)
	}
}

// End counts a request of this gateway at a target as finished.
func (f *Fleet) End(now time.Time, id string, c structs.Class) {
	if ts, ok := f.targets[id]; ok {
		ts.updateLoad(now, func() { ts.ownLoad.addRequests(c, -1) })
		f.trackOwnBatch(id, ts)
		f.observeDemand(now)
	}
}

// trackOwnBatch adds a target to ownBatchTargets or removes it, by this gateway's load there.
func (f *Fleet) trackOwnBatch(id string, ts *targetState) {
	if ts.ownLoad.Batch == 0 {
		delete(f.ownBatchTargets, id)
		return
	}
	f.ownBatchTargets[id] = ts
}

// updateLoad calls update, which changes a load of the target, and sets freeSince if that frees the first
// slot.
func (ts *targetState) updateLoad(now time.Time, update func()) {
	oldFreeSlots := ts.freeSlots()
	update()
	ts.peakOnline = max(ts.peakOnline, ts.totalLoad().Online)
	if oldFreeSlots <= 0 && ts.freeSlots() > 0 {
		ts.freeSince = now
	}
}

func (l *Load) addLoad(o Load) {
	l.Online += o.Online
	l.Batch += o.Batch
}

func (l *Load) subLoad(o Load) {
	l.Online -= o.Online
	l.Batch -= o.Batch
}

// addRequests adds delta requests of a class; the sum is at least 0.
func (l *Load) addRequests(c structs.Class, delta int) {
	if c == structs.ClassBatch {
		l.Batch = max(0, l.Batch+delta)
		return
	}
	l.Online = max(0, l.Online+delta)
}

// ApplyReport applies a peer's report, which replaces the previous one.
func (f *Fleet) ApplyReport(now time.Time, from Peer, r Report) {
	f.expirePeers(now)
	if !f.opts.Disabled.IsEnabled(policy.PeerLoads) {
		r.Loads = nil
	}
	old := f.peers[from]
	f.replaceReport(now, from, old, &r)
	f.applyObservations(now, r.Observations)
	if f.sharing != nil && r.Usage != nil {
		f.sharing.ApplyReport(now, string(from), r.Usage)
	}
	for _, id := range r.Suspects {
		if old == nil || !slices.Contains(old.Suspects, id) {
			f.applyPeerSuspicion(now, id)
		}
	}
	f.peers[from] = &peer{lastSeen: now, Report: r}
	f.applyOverloads(now, from, r.Overloaded)
	f.observeDemand(now)
}

// Heartbeat is a sign of life of a peer, which another gateway forwards in place of the peer's report.
type Heartbeat struct {
	LastSeen     time.Time // when the forwarding gateway last received a message of the peer
	StoreContact time.Time // when the platform's store last answered the peer
	// IsIdle is set if the peer has no requests at targets and no demand.
	IsIdle bool
}

// ApplyHeartbeat applies a forwarded sign of life of the peer from. The peer's last report stays valid, unless
// the peer is idle. A sign of life older than Options.PeerTTL is ignored.
func (f *Fleet) ApplyHeartbeat(now time.Time, from Peer, h Heartbeat) {
	f.expirePeers(now)
	if now.Sub(h.LastSeen) > f.opts.PeerTTL {
		return
	}
	p, ok := f.peers[from]
	if !ok {
		p = &peer{}
		f.peers[from] = p
	}
	if h.IsIdle && p.hasState() {
		f.replaceReport(now, from, p, &Report{})
		p.Report = Report{}
	}
	if h.LastSeen.After(p.lastSeen) {
		p.lastSeen, p.StoreContact = h.LastSeen, h.StoreContact
	}
	if expiry := p.lastSeen.Add(f.opts.PeerTTL); expiry.Before(f.nextExpiry) {
		f.nextExpiry = expiry
	}
}

// hasState reports whether the peer's last report contains loads, demand or suspects, unlike that of an idle
// peer.
func (p *peer) hasState() bool { return len(p.Loads) > 0 || p.Demand.Items > 0 || len(p.Suspects) > 0 }

// setPeerBatch records how many batch items a peer has at the target.
func (ts *targetState) setPeerBatch(name Peer, items int) {
	if items == 0 {
		delete(ts.peerBatch, name)
		return
	}
	ts.peerBatch[name] = items
}

// replaceReport updates the peer loads of the targets: it subtracts the loads of a peer's old report, if
// there is one, and adds those of its new report r.
func (f *Fleet) replaceReport(now time.Time, name Peer, old *peer, r *Report) {
	affected := make(map[string]bool, len(r.Loads))
	for id := range r.Loads {
		affected[id] = true
	}
	if old != nil {
		for id := range old.Loads {
			affected[id] = true
		}
	}
	for id := range affected {
		ts, ok := f.targets[id]
		if !ok {
			continue
		}
		ts.updateLoad(now, func() {
			ts.peerLoad.addLoad(r.Loads[id])
			if old != nil {
				ts.peerLoad.subLoad(old.Loads[id])
			}
		})
		ts.setPeerBatch(name, r.Loads[id].Batch)
	}
}

// expirePeers drops the peers whose last report or sign of life is older than Options.PeerTTL: they have
// stopped or cannot be reached. It is called with each report and scans the peers only when one of them may
// have expired; otherwise the cost of a report would grow with the number of gateways.
func (f *Fleet) expirePeers(now time.Time) {
	if now.Before(f.nextExpiry) {
		return
	}
	oldest := now
	for name, p := range f.peers {
		if now.Sub(p.lastSeen) > f.opts.PeerTTL {
			f.replaceReport(now, name, p, &Report{})
			f.expireUsage(name)
			delete(f.peers, name)
			continue
		}
		if p.lastSeen.Before(oldest) {
			oldest = p.lastSeen
		}
	}
	f.nextExpiry = oldest.Add(f.opts.PeerTTL)
}

// SetDemand records the batch items that this gateway has ready to start.
func (f *Fleet) SetDemand(d Demand) { f.demand = d }

// RecordStoreContact records that the platform's store has just answered this gateway.
func (f *Fleet) RecordStoreContact(now time.Time) { f.storeContact = now }

// storeContactTolerance is how much later than this gateway's last contact with the store a peer's must be to
// count as later. Reports are delayed, and each process polls the store at its own times.
const storeContactTolerance = 1200 * time.Millisecond

// IsStoreDownForPeers reports whether no live peer has reached the store since this gateway last did. In that
// case no live peer can have written a change there that this gateway has not read. Without a live peer the
// result is false, because this gateway may be the one that is cut off from the store.
func (f *Fleet) IsStoreDownForPeers(now time.Time) bool {
	f.expirePeers(now)
	for _, p := range f.peers {
		if p.StoreContact.After(f.storeContact.Add(storeContactTolerance)) {
			return false
		}
	}
	return len(f.peers) > 0
}

// LivePeerCount is the number of live peers: those whose last report or sign of life has not expired.
func (f *Fleet) LivePeerCount(now time.Time) int {
	f.expirePeers(now)
	return len(f.peers)
}

// Report returns this gateway's report to its peers.
func (f *Fleet) Report(now time.Time) Report {
	return Report{
		Loads: f.OwnLoads(), Demand: f.demand, StoreContact: f.storeContact, Suspects: f.ownSuspects(now),
		Observations: f.dueObservations(now), Overloaded: f.ownOverloads(now), Usage: f.ownUsage(now),
	}
}

// OwnLoads returns this gateway's own loads by target id, without targets at which it has no requests.
func (f *Fleet) OwnLoads() map[string]Load {
	loads := make(map[string]Load)
	for id, ts := range f.targets {
		if ts.ownLoad.total() > 0 {
			loads[id] = ts.ownLoad
		}
	}
	return loads
}

// OwnLoadAt returns this gateway's own load at one target; zero if the target is not listed.
func (f *Fleet) OwnLoadAt(id string) Load {
	if ts, ok := f.targets[id]; ok {
		return ts.ownLoad
	}
	return Load{}
}
