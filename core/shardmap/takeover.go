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
}

// NewPeers returns an empty Peers.
func NewPeers(lease time.Duration) *Peers {
	return &Peers{Lease: lease, seen: make(map[structs.HostID]*peer)}
}

// Answered notes that host answered a probe at now and holds these shards.
func (p *Peers) Answered(now time.Time, host structs.HostID, incarnation int64, holds map[structs.Shard]structs.Epoch) {
	p.seen[host] = &peer{incarnation: incarnation, holds: holds, lastOK: now}
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
	// It answers but does not hold the shard: it has given up, or has not read its claim yet.
	// Asking it settles which.
	return AskHandover
}
