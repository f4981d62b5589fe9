package reconcile

import (
	"arbutusramp/core/structs"
)

// ClaimRecord is one record of the placement stream.
type ClaimRecord struct {
	Host structs.HostID `cbor:"1,keyasint"`
	// Prev is the epoch that the writer knows. The record has no effect unless
	// it is still the newest: of two that claim at once, the first in the log wins.
	Prev structs.Epoch `cbor:"2,keyasint,omitempty"`
	Op   ClaimOp       `cbor:"3,keyasint"`
	// Nonce is chosen anew for each claim, so that its writer knows it again.
	Nonce string `cbor:"4,keyasint,omitempty"`
}

// ClaimOp says what a ClaimRecord is for.
type ClaimOp uint8

const (
	// OpClaim makes the writer the owner; the record's offset is its epoch.
	OpClaim ClaimOp = iota + 1
	// OpRenew says that the owner is alive.
	OpRenew
	// OpRelease gives the ownership up.
	OpRelease
)

// Claims is the fold of the placement stream. The zero value has no owner.
type Claims struct {
	// At is the offset of the last record folded.
	At    structs.Offset
	Epoch structs.Epoch
	Owner structs.HostID
	Nonce string
	// Beat is the offset of the owner's last claim or renewal. It tells an
	// observer that the owner is alive without a clock of the log's.
	Beat     structs.Offset
	Released bool
}

// Fold takes the record at offset at.
func (c *Claims) Fold(at structs.Offset, r ClaimRecord) {
	if at <= c.At {
		return
	}
	c.At = at
	if r.Prev > c.Epoch && r.Op != OpClaim {
		c.adopt(r)
	}
	if r.Prev != c.Epoch {
		return
	}
	switch r.Op {
	case OpClaim:
		c.Epoch = structs.Epoch(at)
		c.Owner = r.Host
		c.Nonce = r.Nonce
		c.Beat = at
		c.Released = false
	case OpRenew:
		if r.Host == c.Owner {
			c.Beat = at
		}
	case OpRelease:
		if r.Host == c.Owner {
			c.Released = true
		}
	}
}

// adopt takes over an epoch whose claim is no longer kept in the log, from its
// owner's own renewal. Without this, a process that starts after the claim has
// expired would take the place for vacant while the owner lives. A claim can't
// be trusted for it: what it names may be long replaced.
func (c *Claims) adopt(r ClaimRecord) {
	*c = Claims{At: c.At, Epoch: r.Prev, Owner: r.Host, Nonce: r.Nonce, Beat: c.At}
}

// Skip notes that records before next are no longer kept.
func (c *Claims) Skip(next structs.Offset) {
	if next > c.At+1 {
		c.At = next - 1
	}
}
