package online_test

import (
	"sync"

	"arbutusramp/core/structs"
	"arbutusramp/standin/relay"
)

// network carries the cluster's connections over links that can be reset and frozen.
type network struct {
	mu    sync.Mutex
	dead  map[structs.HostID]bool
	links map[hop]*relay.Relay
}

// hop is a way from one host to a listener of another.
type hop struct {
	from, to structs.HostID
	addr     string
}

func newNetwork() *network {
	return &network{dead: make(map[structs.HostID]bool), links: make(map[hop]*relay.Relay)}
}

// Via implements cluster.Network.
func (n *network) Via(from, to structs.HostID, addr string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := hop{from, to, addr}
	l, ok := n.links[h]
	if !ok {
		var err error
		if l, err = relay.New(addr); err != nil {
			return "", err
		}
		n.links[h] = l
		n.turnLocked(h, l)
	}
	return l.Addr(), nil
}

// Kill implements cluster.Network.
func (n *network) Kill(host structs.HostID) { n.setDead(host, true) }

// Revive implements cluster.Network.
func (n *network) Revive(host structs.HostID) { n.setDead(host, false) }

func (n *network) setDead(host structs.HostID, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[host] = dead
	for h, l := range n.links {
		if h.from == host || h.to == host {
			n.turnLocked(h, l)
		}
	}
}

func (n *network) turnLocked(h hop, l *relay.Relay) {
	dead := n.dead[h.from] || n.dead[h.to]
	l.Turn(func(s *relay.State) { s.Dead = dead })
}

// freeze holds back every byte of the hops that pick picks; their connections stay open.
func (n *network) freeze(pick func(hop) bool) { n.each(pick, frozen(true)) }

// thaw lets the bytes through, those that were held back first.
func (n *network) thaw(pick func(hop) bool) { n.each(pick, frozen(false)) }

func frozen(is bool) func(*relay.Relay) {
	return func(l *relay.Relay) { l.Turn(func(s *relay.State) { s.Frozen = is }) }
}

func (n *network) each(pick func(hop) bool, f func(*relay.Relay)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for h, l := range n.links {
		if pick(h) {
			f(l)
		}
	}
}

func (n *network) close() {
	n.each(anyHop, (*relay.Relay).Close)
}

func anyHop(hop) bool { return true }

// of picks the hops from or to host.
func of(host structs.HostID) func(hop) bool {
	return func(h hop) bool { return h.from == host || h.to == host }
}
