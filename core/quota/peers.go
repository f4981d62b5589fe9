package quota

import "time"

// Peer names the address of another gateway.
type Peer string

// Count is how many requests of a workspace a gateway has admitted since its start.
type Count struct {
	Workspace string
	Total     int64
}

// Report is what a gateway tells its peers: the counts that have changed of late.
type Report struct {
	Start string // names the start of the process; counts begin anew with each
	// IsFirst says that this is among the first reports of that start, so that its counts began under the eyes of its peers.
	IsFirst bool
	Counts  []Count
	// Delay is how much longer than usual the next word of the peer may take, since others pass it on.
	Delay time.Duration
}

// peer is what is known of another gateway.
type peer struct {
	start   string
	heard   time.Time
	isNew   bool // heard from its start on
	totals  map[string]int64
	isKnown bool // it has reported; otherwise only its address is known
	delay   time.Duration
}

// isSilent says whether the word of the peer is missing.
func (p *peer) isSilent(now time.Time) bool { return now.Sub(p.heard) > silentAfter+p.delay }

// AddPeer makes the address of a peer known that has not reported yet.
func (l *Ledger) AddPeer(now time.Time, name Peer) {
	if _, ok := l.peers[name]; !ok {
		l.peers[name] = &peer{heard: now, totals: make(map[string]int64)}
		l.nextExpiry = now
	}
}

// Forget drops a peer that is known to have stopped: its part of the buckets falls to the others.
func (l *Ledger) Forget(now time.Time, name Peer) {
	l.dropReserves()
	delete(l.peers, name)
	l.nextExpiry = now
}

// debit takes n admissions of a peer out of a bucket.
func (l *Ledger) debit(now time.Time, name string, n int64) {
	if b, ok := l.buckets[name]; ok {
		b.refill(now, l.share)
		b.tokens = min(b.tokens-float64(n), b.size(l.share))
	}
}

// Apply takes in the report of a peer.
func (l *Ledger) Apply(now time.Time, name Peer, r Report) {
	p, ok := l.peers[name]
	if !ok || !p.isKnown || p.start != r.Start {
		if !r.IsFirst && now.Sub(l.began) < joinTime {
			l.joinRunning()
		}
		p = &peer{start: r.Start, heard: now, isNew: r.IsFirst, isKnown: true, totals: make(map[string]int64)}
		l.peers[name] = p
		l.nextExpiry = now
	}
	if p.isSilent(now) {
		l.isBack(now, p)
	}
	p.heard, p.delay = now, r.Delay
	for _, c := range r.Counts {
		l.debit(now, c.Workspace, p.admitted(c))
	}
}

// joinTime is how long after its own start a gateway takes peers that have run for long as proof that others were admitting before.
const joinTime = time.Second

// joinRunning takes in, once, that others were admitting requests before this process started: what is left in the buckets is not known
// here, and the others may use it all.
func (l *Ledger) joinRunning() {
	if l.hasJoined {
		return
	}
	l.hasJoined = true
	for _, b := range l.buckets {
		b.tokens = min(b.tokens, 1)
	}
}

// shortSilence is how long a peer is silent whose reports were lost. One that is silent for longer was cut off, and used what was left
// to it.
const shortSilence = time.Second

// isBack takes in that a peer is heard again.
func (l *Ledger) isBack(now time.Time, p *peer) {
	if now.Sub(p.heard) > shortSilence {
		l.dropReserves()
		clear(p.totals)
		p.isNew = false
	}
	l.nextExpiry = now
}

// admitted is how many requests a peer has admitted since its last report; one where it is not known when the others were.
func (p *peer) admitted(c Count) int64 {
	last, ok := p.totals[c.Workspace]
	p.totals[c.Workspace] = c.Total
	if !ok && !p.isNew {
		return 1
	}
	return c.Total - last
}

// maxCounts bounds the counts in a report, which has to fit into a datagram. The rest follows in the next ones.
const maxCounts = 200

// Counts returns the counts for this gateway's next report.
func (l *Ledger) Counts() []Count {
	var list []Count
	for name, b := range l.buckets {
		if len(list) == maxCounts {
			break
		}
		if b.unsent > 0 {
			b.unsent--
			list = append(list, Count{Workspace: name, Total: b.admitted})
		}
	}
	return list
}

// checkShare works out which part of the buckets this gateway may use: that of the gateways that hear each other among all
// that may admit requests. A smaller share takes effect at once.
func (l *Ledger) checkShare(now time.Time) {
	if now.Before(l.nextExpiry) {
		return
	}
	heard, known := 1, 1
	next := now.Add(silentAfter)
	for name, p := range l.peers {
		if now.Sub(p.heard) > l.opts.ClaimTTL {
			delete(l.peers, name)
			l.dropReserves()
			continue
		}
		known++
		if p.isKnown && !p.isSilent(now) {
			heard++
			if at := p.heard.Add(silentAfter + p.delay); at.Before(next) {
				next = at
			}
		}
	}
	l.nextExpiry = next
	l.setShare(now, float64(heard)/float64(known))
}

// dropReserves takes in that silent peers may have used what was left to them.
func (l *Ledger) dropReserves() {
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
		b.split(l.share, share)
	}
	l.share = share
}

// Share is the part of the buckets that this gateway may use.
func (l *Ledger) Share(now time.Time) float64 {
	l.checkShare(now)
	return l.share
}
