// Package fleet decides which target gets the next request and how many batch items each may
// have. It is a state machine without I/O or clock: callers lock it and pass the time in.
//
// Targets admit requests in the order of arrival, so a batch item in a slot keeps an online
// request waiting. Gateways tell each other what they have at each target; with that every one
// knows how many slots are free, batch items start only where slots are left over, and items are
// cut off, to go on elsewhere, as soon as online requests need their slots.
package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// Load is what one gateway has at one target.
type Load struct {
	Online, Batch int
}

func (l Load) total() int { return l.Online + l.Batch }

// Peer names another gateway.
type Peer string

// Options are the limits of the decisions.
type Options struct {
	// Domain is the failure domain of this gateway.
	Domain string
	// Self is this gateway's name among its peers.
	Self Peer
	// StartSpare slots must stay free at a target after a batch item has started there.
	StartSpare int
	// KeepSpare slots are made free again by cutting off batch items.
	KeepSpare int
	// PeerTTL is how long the word of a peer that has fallen silent counts.
	PeerTTL time.Duration
}

// Fleet is the view of one gateway.
type Fleet struct {
	opts  Options
	nodes map[string]*node // by target id
	peers map[Peer]*peer
	want  Want
	// contact is when the store last answered here.
	contact time.Time
}

// node is a target with what is known of its state.
type node struct {
	serving.Target
	own    Load
	peers  Load // sum over the peers that count
	health health
	// roomSince is when it last came to have free slots.
	roomSince time.Time
}

// load is what all gateways together have at a target.
func (n *node) load() Load {
	return Load{Online: n.own.Online + n.peers.Online, Batch: n.own.Batch + n.peers.Batch}
}

// room is the number of free slots; negative when requests wait.
func (n *node) room() int { return n.Slots - n.load().total() }

// Want is what a gateway would like to start.
type Want struct {
	Items int   // batch items that wait for room
	Due   int64 // when the first of them is due, in milliseconds since 1970
}

// Report is what a gateway tells its peers.
type Report struct {
	Loads map[string]Load // by target id
	Want  Want
	// Contact is when the platform's store last answered the gateway.
	Contact time.Time
}

// peer is the last word of another gateway.
type peer struct {
	at time.Time
	Report
}

// New returns an empty view.
func New(o Options) *Fleet {
	return &Fleet{opts: o, nodes: make(map[string]*node), peers: make(map[Peer]*peer)}
}

// Put adds a target or takes in its change.
func (f *Fleet) Put(t serving.Target) {
	n, ok := f.nodes[t.ID]
	if ok {
		n.Target = t
		return
	}
	n = &node{Target: t}
	for _, p := range f.peers {
		n.peers.plus(p.Loads[t.ID])
	}
	f.nodes[t.ID] = n
}

// Remove drops a target. Requests that it still has end on their own.
func (f *Fleet) Remove(id string) { delete(f.nodes, id) }

// Target returns a target that is in the list.
func (f *Fleet) Target(id string) (serving.Target, bool) {
	n, ok := f.nodes[id]
	if !ok {
		return serving.Target{}, false
	}
	return n.Target, true
}

// Targets returns all targets of the list.
func (f *Fleet) Targets() []serving.Target {
	list := make([]serving.Target, 0, len(f.nodes))
	for _, n := range f.nodes {
		list = append(list, n.Target)
	}
	return list
}

// Begin counts a request that is about to be sent.
func (f *Fleet) Begin(now time.Time, id string, c structs.Class) {
	if n, ok := f.nodes[id]; ok {
		n.own.add(c, 1)
		n.health.begin(now)
	}
}

// End counts a request as over.
func (f *Fleet) End(now time.Time, id string, c structs.Class) {
	if n, ok := f.nodes[id]; ok {
		n.change(now, func() { n.own.add(c, -1) })
	}
}

// change makes a change to the loads and notes when slots come free by it.
func (n *node) change(now time.Time, f func()) {
	before := n.room()
	f()
	if before <= 0 && n.room() > 0 {
		n.roomSince = now
	}
}

func (l *Load) plus(o Load) {
	l.Online += o.Online
	l.Batch += o.Batch
}

func (l *Load) minus(o Load) {
	l.Online -= o.Online
	l.Batch -= o.Batch
}

func (l *Load) add(c structs.Class, d int) {
	if c == structs.ClassBatch {
		l.Batch = max(0, l.Batch+d)
		return
	}
	l.Online = max(0, l.Online+d)
}

// Hear takes in a peer's report; it replaces what the peer told before.
func (f *Fleet) Hear(now time.Time, from Peer, r Report) {
	f.expire(now)
	f.replace(now, f.peers[from], &r)
	f.peers[from] = &peer{at: now, Report: r}
}

// replace takes a peer's old loads out of the sums and puts its new ones in.
func (f *Fleet) replace(now time.Time, old *peer, r *Report) {
	touched := make(map[string]bool, len(r.Loads))
	for id := range r.Loads {
		touched[id] = true
	}
	if old != nil {
		for id := range old.Loads {
			touched[id] = true
		}
	}
	for id := range touched {
		n, ok := f.nodes[id]
		if !ok {
			continue
		}
		n.change(now, func() {
			n.peers.plus(r.Loads[id])
			if old != nil {
				n.peers.minus(old.Loads[id])
			}
		})
	}
}

// expire drops peers that have fallen silent: they have stopped, or what they say is too old.
func (f *Fleet) expire(now time.Time) {
	for name, p := range f.peers {
		if now.Sub(p.at) > f.opts.PeerTTL {
			f.replace(now, p, &Report{})
			delete(f.peers, name)
		}
	}
}

// SetWant notes what this gateway would like to start.
func (f *Fleet) SetWant(w Want) { f.want = w }

// SetContact notes that the store has answered.
func (f *Fleet) SetContact(now time.Time) { f.contact = now }

// contactSlack is how much later than this gateway's a peer's contact with the store must be to
// count as later: reports take their time, and each process asks at its own moments.
const contactSlack = 1200 * time.Millisecond

// StoreDownForAll says that no live peer has reached the store since this gateway last did. Then
// nothing can have been agreed on meanwhile that this gateway does not know. Without any live peer
// it can't be told: this gateway may be the one that is cut off.
func (f *Fleet) StoreDownForAll(now time.Time) bool {
	f.expire(now)
	for _, p := range f.peers {
		if p.Contact.After(f.contact.Add(contactSlack)) {
			return false
		}
	}
	return len(f.peers) > 0
}

// Report returns what this gateway has and wants.
func (f *Fleet) Report() Report {
	return Report{Loads: f.Own(), Want: f.want, Contact: f.contact}
}

// Own returns what this gateway has at its targets, without those at which it has nothing.
func (f *Fleet) Own() map[string]Load {
	loads := make(map[string]Load)
	for id, n := range f.nodes {
		if n.own.total() > 0 {
			loads[id] = n.own
		}
	}
	return loads
}

// OwnAt returns what this gateway has at one target.
func (f *Fleet) OwnAt(id string) Load {
	if n, ok := f.nodes[id]; ok {
		return n.own
	}
	return Load{}
}

// candidate is a target under consideration.
type candidate struct {
	node *node
	load Load
	near bool
}

func (c candidate) room() int { return c.node.room() }

// candidates returns the targets of a service that may get a request, in a fixed order.
func (f *Fleet) candidates(now time.Time, service string, tried []string, usable func(*node) bool) []candidate {
	f.expire(now)
	var list []candidate
	for _, n := range f.nodes {
		if n.Service != service || n.Draining || slices.Contains(tried, n.ID) || !usable(n) {
			continue
		}
		list = append(list, candidate{node: n, load: n.load(), near: n.Domain == f.opts.Domain})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.node.ID, b.node.ID) })
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
		best := f.best(list)
		return f.choice(best, tierNames[best.tier()]+stage.note), true
	}
	return Choice{}, false
}

// best prefers a free slot, then a target whose batch items can make way, then the shortest
// queue. Among equals the own failure domain wins: bytes between domains cost.
func (f *Fleet) best(list []candidate) candidate {
	return slices.MinFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.tier(), b.tier()),
			cmp.Compare(a.cost(), b.cost()),
			cmp.Compare(f.spread(a), f.spread(b)),
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

// spread orders equals differently at each gateway, so that they do not all pick the same one.
func (f *Fleet) spread(c candidate) uint64 { return mix(string(f.opts.Self), c.node.ID) }
