package quota

import "time"

// Peer is the address of another gateway.
type Peer string

// Count is how many requests of a workspace a gateway has admitted since its start.
type Count struct {
	Workspace string
	Total     int64
}

// Report is the message that a gateway sends its peers: the counts that have changed recently.
type Report struct {
	Start string // identifies the start of the process; counts begin at 0 with each
	// IsFirst reports that this is among the first reports after that start, so that its peers have seen its
	// counts from 0 on.
	IsFirst bool
	Counts  []Count
	// Delay is how much longer than usual the next report of the peer may take, because other gateways
	// forward it.
	Delay time.Duration
}

// peer is the known state of another gateway.
type peer struct {
	startID            string
	lastSeen           time.Time
	isTrackedFromStart bool // its reports have been received since its start
	totals             map[string]int64
	hasReported        bool // it has sent a report; otherwise only its address is known
	forwardDelay       time.Duration
}

// isSilent reports whether a report of the peer is overdue.
func (p *peer) isSilent(now time.Time) bool {
	return now.Sub(p.lastSeen) > peerSilenceLimit+p.forwardDelay
}

// AddPeer adds a peer by its address, before its first report.
func (l *Ledger) AddPeer(now time.Time, name Peer) {
	if _, ok := l.peers[name]; !ok {
		l.peers[name] = &peer{lastSeen: now, totals: make(map[string]int64)}
		l.nextExpiry = now
	}
}

// Forget drops a peer that is known to have stopped. The other gateways take over its share of the buckets.
func (l *Ledger) Forget(now time.Time, name Peer) {
	l.clearReserves()
	delete(l.peers, name)
	l.nextExpiry = now
}

// debit takes n admissions of a peer out of a bucket.
func (l *Ledger) debit(now time.Time, name string, n int64) {
	if b, ok := l.buckets[name]; ok {
		b.refill(now, l.share)
		b.tokens = min(b.tokens-float64(n), b.capacity(l.share))
	}
}

// Apply applies a report of a peer.
func (l *Ledger) Apply(now time.Time, name Peer, r Report) {
	p, ok := l.peers[name]
	if !ok || !p.hasReported || p.startID != r.Start {
		if !r.IsFirst && now.Sub(l.startedAt) < joinWindow {
			l.capInitialTokens()
		}
		p = &peer{startID: r.Start, lastSeen: now, isTrackedFromStart: r.IsFirst, hasReported: true, totals: make(map[string]int64)}
		l.peers[name] = p
		l.nextExpiry = now
	}
	if p.isSilent(now) {
		l.resumePeer(now, p)
	}
	p.lastSeen, p.forwardDelay = now, r.Delay
	for _, c := range r.Counts {
		l.debit(now, c.Workspace, p.newAdmissions(c))
	}
}

// joinWindow is how long after its own start a gateway takes a peer that has been running for longer as proof
// that others were admitting requests before.
const joinWindow = time.Second

// capInitialTokens limits each bucket to one token, once, because others were admitting requests before this
// process started. What is left in the buckets is unknown here, and the others may use all of it.
func (l *Ledger) capInitialTokens() {
	if l.hasRunningPeers {
		return
	}
	l.hasRunningPeers = true
	for _, b := range l.buckets {
		b.tokens = min(b.tokens, 1)
	}
}

// maxLossSilence is how long a peer can be silent because its reports were lost. A peer that is silent for
// longer was cut off, and has used the share reserved for it.
const maxLossSilence = time.Second

// resumePeer handles the first report of a peer after a silence.
func (l *Ledger) resumePeer(now time.Time, p *peer) {
	if now.Sub(p.lastSeen) > maxLossSilence {
		l.clearReserves()
		clear(p.totals)
		p.isTrackedFromStart = false
	}
	l.nextExpiry = now
}

// newAdmissions is how many requests a peer has admitted since its last report. It is one if the time of the
// other admissions is unknown.
func (p *peer) newAdmissions(c Count) int64 {
	last, ok := p.totals[c.Workspace]
	p.totals[c.Workspace] = c.Total
	if !ok && !p.isTrackedFromStart {
		return 1
	}
	return c.Total - last
}

// maxCountsPerReport bounds the counts in a report, which must fit into a datagram. The rest follows in the
// next reports.
const maxCountsPerReport = 200

// Counts returns the counts for this gateway's next report.
func (l *Ledger) Counts() []Count {
	var list []Count
	for name, b := range l.buckets {
		if len(list) == maxCountsPerReport {
			break
		}
		if b.reportsLeft > 0 {
			b.reportsLeft--
			list = append(list, Count{Workspace: name, Total: b.admitted})
		}
	}
	return list
}

// updateShare computes the share of the buckets that this gateway may use: the number of gateways that
// receive each other's reports, divided by the number of all that may admit requests. A smaller share takes
// effect immediately.
func (l *Ledger) updateShare(now time.Time) {
	if now.Before(l.nextExpiry) {
		return
	}
	reachable, total := 1, 1
	next := now.Add(peerSilenceLimit)
	for name, p := range l.peers {
		if now.Sub(p.lastSeen) > l.opts.ClaimTTL {
			delete(l.peers, name)
			l.clearReserves()
			continue
		}
		total++
		if p.hasReported && !p.isSilent(now) {
			reachable++
			if at := p.lastSeen.Add(peerSilenceLimit + p.forwardDelay); at.Before(next) {
				next = at
			}
		}
	}
	l.nextExpiry = next
	l.setShare(now, float64(reachable)/float64(total))
}

// clearReserves drops the reserves, because silent peers may have used them.
func (l *Ledger) clearReserves() {
	for _, b := range l.buckets {
		b.reserve = 0
	}
}

func (l *Ledger) setShare(now time.Time, share float64) {
	if share == l.share {
		return
	}
	for _, b := range l.buckets {
		b.refill(now, l.share)
		b.rebalance(l.share, share)
	}
	l.share = share
}

// Share is the share of the buckets that this gateway may use, 0 to 1.
func (l *Ledger) Share(now time.Time) float64 {
	l.updateShare(now)
	return l.share
}
