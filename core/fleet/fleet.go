// Package fleet decides which target gets the next request and how many batch items each may
// have. It is a state machine without I/O or clock: callers lock it and pass the time in.
//
// Targets admit requests in the order of arrival, so a batch item in a slot keeps an online
// request waiting. Gateways tell each other what they have at each target; with that every one
// knows how many slots are free, batch items start only where slots are left over, and items are
// cut off, to go on elsewhere, as soon as online requests need their slots.
package fleet

import (
	"slices"
	"time"

	"arbutusramp/core/policy"
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
	// Off are the mechanisms that are switched off.
	Off policy.Off
}

// Fleet is the view of one gateway.
type Fleet struct {
	opts  Options
	nodes map[string]*node // by target id
	// holding are the targets at which this gateway has batch items, of all that may be many hundred.
	holding map[string]*node
	peers   map[Peer]*peer
	// nextExpiry is before the first peer can fall silent for too long; zero while that has not been worked out.
	nextExpiry time.Time
	demand     Demand
	holds      map[string]time.Duration // how long online requests hold a slot, by service; see Held
	paces      map[string]pace          // by service; see IdleLimit
	// contact is when the store last answered here.
	contact time.Time
}

// node is a target with what is known of its state.
type node struct {
	serving.Target
	own    Load
	peers  Load // sum over the peers that count
	health health
	// batchOf is how many batch items each peer has there, of those that have any: they are few, and each report is followed by
	// the question which items have to make way.
	batchOf map[Peer]int
	// roomSince is when it last came to have free slots.
	roomSince time.Time
	// spread orders targets that are as good as each other, differently at each gateway, so that they do not all pick the same one.
	spread uint64
}

// load is what all gateways together have at a target.
func (n *node) load() Load {
	return Load{Online: n.own.Online + n.peers.Online, Batch: n.own.Batch + n.peers.Batch}
}

// room is the number of free slots; negative when requests wait.
func (n *node) room() int { return n.Slots - n.load().total() }

// Demand is what a gateway would like to start.
type Demand struct {
	Items int   // batch items that wait for room
	Due   int64 // when the first of them is due, in milliseconds since 1970
}

// Report is what a gateway tells its peers.
type Report struct {
	Loads  map[string]Load // by target id
	Demand Demand
	// Contact is when the platform's store last answered the gateway.
	Contact time.Time
	// Suspects are the targets that have failed the gateway a moment ago, by id.
	Suspects []string
}

// peer is the last word of another gateway.
type peer struct {
	at time.Time
	Report
}

// New returns an empty view.
func New(o Options) *Fleet {
	return &Fleet{opts: o, nodes: make(map[string]*node), holding: make(map[string]*node), peers: make(map[Peer]*peer), holds: make(map[string]time.Duration), paces: make(map[string]pace)}
}

// Put adds a target or takes in its change.
func (f *Fleet) Put(t serving.Target) {
	n, ok := f.nodes[t.ID]
	if ok {
		n.Target = t
		return
	}
	n = &node{Target: t, batchOf: make(map[Peer]int), spread: mix(string(f.opts.Self), t.ID)}
	for name, p := range f.peers {
		n.peers.plus(p.Loads[t.ID])
		n.noteBatch(name, p.Loads[t.ID].Batch)
	}
	f.nodes[t.ID] = n
}

// Remove drops a target. Requests that it still has end on their own.
func (f *Fleet) Remove(id string) {
	delete(f.nodes, id)
	delete(f.holding, id)
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
		f.noteHolding(id, n)
	}
}

// End counts a request as over.
func (f *Fleet) End(now time.Time, id string, c structs.Class) {
	if n, ok := f.nodes[id]; ok {
		n.change(now, func() { n.own.add(c, -1) })
		f.noteHolding(id, n)
	}
}

// noteHolding keeps f.holding as the loads say.
func (f *Fleet) noteHolding(id string, n *node) {
	if n.own.Batch == 0 {
		delete(f.holding, id)
		return
	}
	f.holding[id] = n
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

// ApplyReport takes in a peer's report; it replaces what the peer told before.
func (f *Fleet) ApplyReport(now time.Time, from Peer, r Report) {
	f.expire(now)
	if !f.opts.Off.Allows(policy.PeerLoads) {
		r.Loads = nil
	}
	old := f.peers[from]
	f.replace(now, from, old, &r)
	for _, id := range r.Suspects {
		if old == nil || !slices.Contains(old.Suspects, id) {
			f.warned(now, id)
		}
	}
	f.peers[from] = &peer{at: now, Report: r}
}

// Sign is a sign of life of a peer that another gateway passes on.
type Sign struct {
	Heard   time.Time // when that one last heard of the peer
	Contact time.Time // when the platform's store last answered the peer
	// IsIdle says that the peer has nothing at targets and wants to start nothing.
	IsIdle bool
}

// NoteSign takes in a sign of life of a peer. What the peer has told before holds on, unless it is idle.
func (f *Fleet) NoteSign(now time.Time, from Peer, s Sign) {
	f.expire(now)
	if now.Sub(s.Heard) > f.opts.PeerTTL {
		return
	}
	p, ok := f.peers[from]
	if !ok {
		p = &peer{}
		f.peers[from] = p
	}
	if s.IsIdle && p.hasNews() {
		f.replace(now, from, p, &Report{})
		p.Report = Report{}
	}
	if s.Heard.After(p.at) {
		p.at, p.Contact = s.Heard, s.Contact
	}
	if expiry := p.at.Add(f.opts.PeerTTL); expiry.Before(f.nextExpiry) {
		f.nextExpiry = expiry
	}
}

// hasNews says whether the peer has told anything that an idle one does not.
func (p *peer) hasNews() bool { return len(p.Loads) > 0 || p.Demand.Items > 0 || len(p.Suspects) > 0 }

// noteBatch notes how many batch items a peer has at the target.
func (n *node) noteBatch(name Peer, items int) {
	if items == 0 {
		delete(n.batchOf, name)
		return
	}
	n.batchOf[name] = items
}

// replace takes a peer's old loads out of the sums and puts its new ones in.
func (f *Fleet) replace(now time.Time, name Peer, old *peer, r *Report) {
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
		n.noteBatch(name, r.Loads[id].Batch)
	}
}

// expire drops peers that have fallen silent: they have stopped, or what they say is too old. It is called with each report and
// looks at all peers only when one of them may have been silent for too long: else the cost of a report grows with the fleet.
func (f *Fleet) expire(now time.Time) {
	if now.Before(f.nextExpiry) {
		return
	}
	oldest := now
	for name, p := range f.peers {
		if now.Sub(p.at) > f.opts.PeerTTL {
			f.replace(now, name, p, &Report{})
			delete(f.peers, name)
			continue
		}
		if p.at.Before(oldest) {
			oldest = p.at
		}
	}
	f.nextExpiry = oldest.Add(f.opts.PeerTTL)
}

// SetDemand notes what this gateway would like to start.
func (f *Fleet) SetDemand(w Demand) { f.demand = w }

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

// Peers is how many other gateways live.
func (f *Fleet) Peers(now time.Time) int {
	f.expire(now)
	return len(f.peers)
}

// Report returns what this gateway has and wants.
func (f *Fleet) Report(now time.Time) Report {
	return Report{Loads: f.Own(), Demand: f.demand, Contact: f.contact, Suspects: f.suspects(now)}
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
