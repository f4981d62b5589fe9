package cluster

import (
	"sync"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/standin/relay"
)

// Hop is a way from one host to a listener of another.
type Hop struct {
	From, To structs.HostID
	Addr     string
}

// Of picks the hops from or to host.
func Of(host structs.HostID) func(Hop) bool {
	return func(h Hop) bool { return h.From == host || h.To == host }
}

// Between picks the hops between a and b, both ways.
func Between(a, b structs.HostID) func(Hop) bool {
	return func(h Hop) bool { return h.From == a && h.To == b || h.From == b && h.To == a }
}

// Links is a Network of relays that can be reset, cut and frozen. It is safe for
// concurrent use.
type Links struct {
	mu     sync.Mutex
	dead   map[structs.HostID]bool
	links  map[Hop]*link
	last   int
	cuts   map[int]func(Hop) bool
	frozen map[int]func(Hop) bool
}

// NewLinks returns a network without faults.
func NewLinks() *Links {
	return &Links{
		dead:   make(map[structs.HostID]bool),
		links:  make(map[Hop]*link),
		cuts:   make(map[int]func(Hop) bool),
		frozen: make(map[int]func(Hop) bool),
	}
}

// Via implements Network. Error: errs.BadSettings.
func (n *Links) Via(from, to structs.HostID, addr string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := Hop{from, to, addr}
	l, ok := n.links[h]
	if !ok {
		r, err := relay.New(addr)
		if err != nil {
			return "", errs.Newf(errs.BadSettings, "%v", err)
		}
		l = &link{Relay: r}
		n.links[h] = l
	}
	l.gone = false
	n.turnLocked(h, l)
	return l.Addr(), nil
}

// Kill implements Network.
func (n *Links) Kill(host structs.HostID) { n.change(func() { n.dead[host] = true }) }

// Revive implements Network.
func (n *Links) Revive(host structs.HostID) { n.change(func() { delete(n.dead, host) }) }

// Ended lets no connection through to the listeners that host had: another program may get their
// ports. They are reached again once Via is asked for them.
func (n *Links) Ended(host structs.HostID) {
	n.change(func() {
		for h, l := range n.links {
			l.gone = l.gone || h.To == host
		}
	})
}

// Cut resets the connections of the hops that pick picks and lets no new ones through until
// the function that it returns is called.
func (n *Links) Cut(pick func(Hop) bool) (mend func()) { return n.add(n.cuts, pick) }

// Freeze holds back every byte of the hops that pick picks; their connections stay open. The
// function that it returns lets the bytes through, those that were held back first.
func (n *Links) Freeze(pick func(Hop) bool) (thaw func()) { return n.add(n.frozen, pick) }

func (n *Links) add(to map[int]func(Hop) bool, pick func(Hop) bool) (undo func()) {
	var id int
	n.change(func() {
		n.last++
		id = n.last
		to[id] = pick
	})
	return func() { n.change(func() { delete(to, id) }) }
}

// Close ends all relays.
func (n *Links) Close() {
	n.change(func() {
		clear(n.cuts)
		clear(n.frozen)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.Close()
	}
}

// change changes what is broken and tells the links.
func (n *Links) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	for h, l := range n.links {
		n.turnLocked(h, l)
	}
}

func (n *Links) turnLocked(h Hop, l *link) {
	dead := l.gone || n.dead[h.From] || n.dead[h.To] || picked(n.cuts, h)
	frozen := picked(n.frozen, h)
	l.Turn(func(s *relay.State) { s.Dead, s.Frozen = dead, frozen })
}

func picked(picks map[int]func(Hop) bool, h Hop) bool {
	for _, pick := range picks {
		if pick(h) {
			return true
		}
	}
	return false
}

// link is the relay of one hop.
type link struct {
	*relay.Relay
	gone bool // the listener that it leads to has gone with its process; Links.mu guards it
}
