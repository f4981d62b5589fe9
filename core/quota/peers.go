package quota

import "time"

// PeerAddr is the address of another gateway.
type PeerAddr string

// Count is how many requests of a workspace a gateway has admitted since its start, less refunds.
type Count struct {
	Workspace string
	Total     int64
}

// Report is the message in which a gateway sends its peers the counts that have changed recently.
type Report struct {
	StartID string // identifies the start of the sending process; its counts begin at 0
	// IsAfterStart is set in the first reports after that start: a peer that receives one of them has
	// received the counts from 0 on.
	IsAfterStart bool
	Counts       []Count
	// ForwardDelay is how much longer than usual the next report of the sender may take, because other
	// gateways forward it; 0 if it is sent directly.
	ForwardDelay time.Duration
}

// peer is what this gateway has recorded about another gateway.
type peer struct {
	startID            string
	lastSeen           time.Time        // when its last report was received
	isTrackedFromStart bool             // its reports have been received since its start
	totals             map[string]int64 // last reported counts, by workspace
	hasReported        bool             // it has sent a report; otherwise only its address is known
	forwardDelay       time.Duration
}

// isSilent reports whether the next report of the peer is overdue.
func (p *peer) isSilent(now time.Time) bool {
	return now.Sub(p.lastSeen) > peerSilenceLimit+p.forwardDelay
}

// AddPeer adds a peer by its address. Until its first report it counts as one that may admit requests but
// sends no reports. It has no effect on a peer that is already known.
func (l *Limiter) AddPeer(now time.Time, addr PeerAddr) {
	if _, ok := l.peers[addr]; !ok {
		l.peers[addr] = &peer{lastSeen: now, totals: make(map[string]int64)}
		l.nextExpiry = now
	}
}

// RemovePeer drops a peer that has stopped. Its share of the buckets passes to the other gateways.
func (l *Limiter) RemovePeer(now time.Time, addr PeerAddr) {
	l.clearReserves()
	delete(l.peers, addr)
	l.nextExpiry = now
}

// debit takes n tokens, for admissions of a peer, from the bucket of the workspace called name.
func (l *Limiter) debit(now time.Time, name string, n int64) {
	if b, ok := l.buckets[name]; ok {
		b.refill(now, l.share)
		b.tokens = min(b.tokens-float64(n), b.capacity(l.share))
	}
}

// ApplyReport applies a report of a peer: it debits what the peer has admitted since its last report.
func (l *Limiter) ApplyReport(now time.Time, addr PeerAddr, r Report) {
	p, ok := l.peers[addr]
	if !ok || !p.hasReported || p.startID != r.StartID {
		if !r.IsAfterStart && now.Sub(l.startedAt) < joinWindow {
			l.capInitialTokens()
		}
		p = &peer{startID: r.StartID, lastSeen: now, isTrackedFromStart: r.IsAfterStart, hasReported: true, totals: make(map[string]int64)}
		l.peers[addr] = p
		l.nextExpiry = now
	}
	if p.isSilent(now) {
		l.resumePeer(now, p)
	}
	p.lastSeen, p.forwardDelay = now, r.ForwardDelay
	for _, c := range r.Counts {
		l.debit(now, c.Workspace, p.newAdmissions(c))
	}
}

// joinWindow is how long after its start a gateway counts as joining. A first report in this time of a peer
// that has been running for longer shows that others were admitting requests before that start.
const joinWindow = time.Second

// capInitialTokens limits each bucket to one token; only the first call has an effect. It is called if other
// gateways were admitting requests before this process started: how many tokens they have left is unknown,
// and they may use all of them.
func (l *Limiter) capInitialTokens() {
	if l.hasRunningPeers {
		return
	}
	l.hasRunningPeers = true
	for _, b := range l.buckets {
		b.tokens = min(b.tokens, 1)
	}
}

// partitionSilence is the silence of a peer beyond which it counts as cut off by a network partition: it may
// have used the share reserved for it. A shorter silence only means that reports of it were lost.
const partitionSilence = time.Second

// resumePeer handles the first report of a peer after a silence.
func (l *Limiter) resumePeer(now time.Time, p *peer) {
	if now.Sub(p.lastSeen) > partitionSilence {
		l.clearReserves()
		clear(p.totals)
		p.isTrackedFromStart = false
	}
	l.nextExpiry = now
}

// newAdmissions is how many requests of a workspace a peer has admitted since its last report. It is one if
// no earlier count is known and the peer's reports were not received from its start: when its other
// admissions took place is unknown then.
func (p *peer) newAdmissions(c Count) int64 {
	last, ok := p.totals[c.Workspace]
	p.totals[c.Workspace] = c.Total
	if !ok && !p.isTrackedFromStart {
		return 1
	}
	return c.Total - last
}

// maxCountsPerReport bounds the number of counts in a report, which must fit into a datagram. Further counts
// follow in the next reports.
const maxCountsPerReport = 200

// Counts returns the counts for this gateway's next report, at most maxCountsPerReport: those that have been
// in fewer than reportRepeats reports since their last change.
func (l *Limiter) Counts() []Count {
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

// updateShare computes the share of the buckets that this gateway may use: the number of gateways whose
// reports it receives, itself included, divided by the number of all gateways that may admit requests. Peers
// whose last report is older than Options.PeerShareTTL are dropped. A smaller share takes effect immediately.
// Nothing is computed before nextExpiry, when the next peer may become silent.
func (l *Limiter) updateShare(now time.Time) {
	if now.Before(l.nextExpiry) {
		return
	}
	reachable, total := 1, 1
	next := now.Add(peerSilenceLimit)
	for addr, p := range l.peers {
		if now.Sub(p.lastSeen) > l.opts.PeerShareTTL {
			delete(l.peers, addr)
			l.clearReserves()
			continue
		}
		total++
		if p.hasReported && !p.isSilent(now) {
			reachable++
			if silentFrom := p.lastSeen.Add(peerSilenceLimit + p.forwardDelay); silentFrom.Before(next) {
				next = silentFrom
			}
		}
	}
	l.nextExpiry = next
	l.setShare(now, float64(reachable)/float64(total))
}

// clearReserves drops the tokens that are set aside for silent peers, because these may have used them.
func (l *Limiter) clearReserves() {
	for _, b := range l.buckets {
		b.reserve = 0
	}
}

// setShare changes the share of the buckets that this gateway may use.
func (l *Limiter) setShare(now time.Time, share float64) {
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
func (l *Limiter) Share(now time.Time) float64 {
	l.updateShare(now)
	return l.share
}
