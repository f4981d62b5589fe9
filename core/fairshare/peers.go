package fairshare

import "time"

const (
	// busyReportInterval is the shortest time between two reports of usage, quietReportInterval that while the work
	// offered at each service is below busyShare of its capacity, so that no share is near. Every gateway receives
	// the reports of all others, and their bytes grow with the number of gateways.
	busyReportInterval  = 200 * time.Millisecond
	quietReportInterval = 600 * time.Millisecond
	busyShare           = 0.7
	// maxListed is how many workspaces of a service a report lists by name.
	maxListed = 16
	// usageTTL is how long the usage of a peer counts without another report of it. The report in which a peer
	// says that it has no work any more may be lost, and a peer with work reports every 600 ms.
	usageTTL = 2 * time.Second
)

// peerUsage is the last report of a peer.
type peerUsage struct {
	receivedAt time.Time
	list       []Usage
	rests      []restGroup // the unlisted workspaces, by service
}

// restGroup is the work of the workspaces of a service that a peer has not listed.
type restGroup struct {
	service string
	restSum
}

// peerSum is the work of a workspace at the peers that list it.
type peerSum struct {
	offered, served float64
	reports         int
}

// restSum is the work of unlisted workspaces, with an estimate of their number.
type restSum struct {
	offered, served float64
	members         float64
}

func (r *restSum) add(o restSum, sign float64) {
	r.offered += sign * o.offered
	r.served += sign * o.served
	r.members += sign * o.members
}

// ApplyReport replaces the usage that a peer has reported.
func (l *Ledger) ApplyReport(now time.Time, peer string, list []Usage) {
	l.ExpirePeer(peer)
	p := &peerUsage{receivedAt: now, list: list, rests: restGroups(list)}
	l.peers[peer] = p
	for _, u := range p.list {
		if u.Workspace == RestID {
			continue
		}
		if s := l.service(now, u.Service); s != nil {
			sum := s.peers[u.Workspace]
			s.peers[u.Workspace] = peerSum{sum.offered + u.Offered, sum.served + u.Served, sum.reports + 1}
		}
	}
	for _, g := range p.rests {
		if s := l.service(now, g.service); s != nil {
			s.rest.add(g.restSum, 1)
		}
	}
}

// restGroups returns the unlisted workspaces of a report. Each of them has at most as much work as the smallest
// listed one, from which follows the smallest number of members.
func restGroups(list []Usage) []restGroup {
	smallest := make(map[string]float64)
	for _, u := range list {
		if least, ok := smallest[u.Service]; u.Workspace != RestID && (!ok || u.Offered < least) {
			smallest[u.Service] = u.Offered
		}
	}
	var groups []restGroup
	for _, u := range list {
		if u.Workspace != RestID || u.Offered <= 0 && u.Served <= 0 {
			continue
		}
		members := 1.0
		if least := smallest[u.Service]; least > 0 {
			members = max(1, u.Offered/least)
		}
		groups = append(groups, restGroup{u.Service, restSum{offered: u.Offered, served: u.Served, members: members}})
	}
	return groups
}

// ExpirePeer drops the usage of a peer.
func (l *Ledger) ExpirePeer(peer string) {
	p, ok := l.peers[peer]
	if !ok {
		return
	}
	delete(l.peers, peer)
	for _, u := range p.list {
		s, ok := l.services[u.Service]
		if !ok || u.Workspace == RestID {
			continue
		}
		sum := s.peers[u.Workspace]
		if sum.reports <= 1 {
			delete(s.peers, u.Workspace)
			continue
		}
		s.peers[u.Workspace] = peerSum{sum.offered - u.Offered, sum.served - u.Served, sum.reports - 1}
	}
	for _, g := range p.rests {
		if s, ok := l.services[g.service]; ok {
			s.rest.add(g.restSum, -1)
		}
	}
}

// expirePeers drops the usage of peers that is older than usageTTL. It returns when the oldest of the others was
// received; the zero time without peers.
func (l *Ledger) expirePeers(now time.Time) (oldest time.Time) {
	for name, p := range l.peers {
		if now.Sub(p.receivedAt) > usageTTL {
			l.ExpirePeer(name)
			continue
		}
		if oldest.IsZero() || p.receivedAt.Before(oldest) {
			oldest = p.receivedAt
		}
	}
	return oldest
}
