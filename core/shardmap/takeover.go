package shardmap

import (
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// Action is what a candidate does about a shard.
type Action uint8

const (
	// Wait does nothing now.
	Wait Action = iota
	// Follow reads the shard's stream: the candidate is likely to claim.
	Follow
	// AskHandover asks the holder to release the shard.
	AskHandover
	// Claim appends a claim.
	Claim
)

// Peers keeps what probes have said of other entries. It is not safe for concurrent use.
type Peers struct {
	// Lease is how long a peer must have been unreachable to count as gone.
	Lease time.Duration

	seen map[structs.HostID]*peer
}

type peer struct {
	incarnation int64
	holds       map[structs.Shard]structs.Epoch
	lastOK      time.Time
	failingFrom time.Time // zero while it answers
	// lacking says since when it answers without holding a shard that the
	// shard's stream gives to it.
	lacking map[structs.Shard]time.Time
}

// NewPeers returns an empty Peers.
func NewPeers(lease time.Duration) *Peers {
	return &Peers{Lease: lease, seen: make(map[structs.HostID]*peer)}
}

// Answered notes that host answered a probe at now and holds these shards.
func (p *Peers) Answered(now time.Time, host structs.HostID, incarnation int64, holds map[structs.Shard]structs.Epoch) {
	h := &peer{incarnation: incarnation, holds: holds, lastOK: now}
	if old := p.seen[host]; old != nil && old.incarnation == incarnation {
		h.lacking = old.lacking
	}
	if h.lacking == nil {
		h.lacking = make(map[structs.Shard]time.Time)
	}
	p.seen[host] = h
}

// Failed notes that a probe of host failed at now.
func (p *Peers) Failed(now time.Time, host structs.HostID) {
	h := p.seen[host]
	if h == nil {
		h = &peer{}
		p.seen[host] = h
	}
	if h.failingFrom.IsZero() {
		h.failingFrom = now
		// The time since the last answer counts: a probe that hangs until its
		// timeout must not make the takeover later.
		if !h.lastOK.IsZero() {
			h.failingFrom = h.lastOK
		}
	}
}

// Forget drops hosts that are not in keep, so that the table stays bounded.
func (p *Peers) Forget(keep map[structs.HostID]bool) {
	for id := range p.seen {
		if !keep[id] {
			delete(p.seen, id)
		}
	}
}

// Gone says that host has not answered for the lease.
func (p *Peers) Gone(now time.Time, host structs.HostID) bool {
	h := p.seen[host]
	return h != nil && !h.failingFrom.IsZero() && now.Sub(h.failingFrom) >= p.Lease
}

// Holds says whether host answered lately and then held shard, and under which epoch.
func (p *Peers) Holds(host structs.HostID, shard structs.Shard) (epoch structs.Epoch, answered bool) {
	h := p.seen[host]
	if h == nil || !h.failingFrom.IsZero() {
		return 0, false
	}
	return h.holds[shard], true
}

// Wanted says whether me should work on getting shard: it is the desired owner,
// or all candidates before it are gone. It needs no look at the log.
func Wanted(now time.Time, me structs.HostID, rank []platform.Host, p *Peers) bool {
	for _, h := range rank {
		if h.ID == me {
			return true
		}
		if !p.Gone(now, h.ID) {
			return false
		}
	}
	return false
}

// Owner is what the shard's stream says of its owner.
type Owner struct {
	Epoch    structs.Epoch // 0: never claimed
	Writer   structs.Writer
	Released bool
}

// Decide says what me, for which Wanted holds and which has read the shard's
// stream to its end, does about shard now.
func Decide(now time.Time, me structs.Writer, shard structs.Shard, o Owner, p *Peers) Action {
	switch {
	case o.Epoch == 0 || o.Released:
		return Claim
	case o.Writer.Host == me.Host:
		// An earlier run of this host, or this run, which no longer acts on it.
		return Claim
	case p.Gone(now, o.Writer.Host):
		return Claim
	}
	h := p.seen[o.Writer.Host]
	if h == nil || !h.failingFrom.IsZero() {
		return Follow
	}
	if h.incarnation != o.Writer.Incarnation {
		return Claim
	}
	if h.lacks(now, shard, o.Epoch) >= p.Lease {
		return Claim
	}
	return AskHandover
}

// lacks returns for how long the peer has answered without holding shard under
// epoch. It is for a moment at each claim, until the peer has read it; it is for
// good when a claim landed after its writer had given up on it, and the shard would
// stay without owner.
func (h *peer) lacks(now time.Time, shard structs.Shard, epoch structs.Epoch) time.Duration {
	if h.holds[shard] == epoch {
		delete(h.lacking, shard)
		return 0
	}
	since, ok := h.lacking[shard]
	if !ok {
		h.lacking[shard] = now
		return 0
	}
	return now.Sub(since)
}
