package reconcile

import (
	"testing"

	"pgregory.net/rapid"

	"arbutusramp/core/structs"
)

// Symptom: two entries give orders under one epoch.
// Sequence: both claim after the same owner was lost.
// Cause: a claim that does not compare the epoch it knows with the newest.
func TestOneOfTwoClaimsWins(t *testing.T) {
	var c Claims
	c.Fold(1, ClaimRecord{Host: "a", Op: OpClaim, Nonce: "x"})
	c.Fold(2, ClaimRecord{Host: "b", Prev: 1, Op: OpClaim, Nonce: "y"})
	c.Fold(3, ClaimRecord{Host: "c", Prev: 1, Op: OpClaim, Nonce: "z"})
	if c.Owner != "b" || c.Epoch != 2 {
		t.Errorf("claims %+v", c)
	}
	c.Fold(4, ClaimRecord{Host: "a", Prev: 1, Op: OpRenew})
	c.Fold(5, ClaimRecord{Host: "a", Prev: 1, Op: OpRelease})
	if c.Beat != 2 || c.Released {
		t.Errorf("the former owner changed %+v", c)
	}
}

// Symptom: two owners at a time for as long as both live.
// Sequence: the owner's claim is older than the log keeps records; a process
// starts, sees no claim, and claims.
// Cause: only claims, not renewals, tell who the owner is.
func TestOwnerIsKnownAfterItsClaimHasExpired(t *testing.T) {
	var c Claims
	c.Skip(100)
	c.Fold(100, ClaimRecord{Host: "late", Prev: 3, Op: OpClaim, Nonce: "n"}) // void: epoch 7 came before
	c.Fold(101, ClaimRecord{Host: "b", Prev: 7, Op: OpRenew, Nonce: "y"})
	if c.Owner != "b" || c.Epoch != 7 {
		t.Errorf("claims %+v, want b's epoch 7", c)
	}
	c.Fold(102, ClaimRecord{Host: "new", Op: OpClaim, Nonce: "z"})
	if c.Owner != "b" || c.Epoch != 7 {
		t.Errorf("claims %+v after a claim that knew no owner", c)
	}
}

// The epoch never falls, and every process that folds the same records in any
// cuts has the same owner.
func TestEpochsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c, again Claims
		for at := structs.Offset(1); at < 40; at++ {
			r := ClaimRecord{
				Host: rapid.SampledFrom([]structs.HostID{"a", "b", "c"}).Draw(t, "host"),
				Prev: structs.Epoch(rapid.IntRange(0, int(at)).Draw(t, "prev")),
				Op:   ClaimOp(rapid.IntRange(1, 3).Draw(t, "op")),
			}
			before := c.Epoch
			c.Fold(at, r)
			if c.Epoch < before || c.Epoch != before && r.Prev < before {
				t.Fatalf("epoch %d after %d by %+v", c.Epoch, before, r)
			}
			again.Fold(at, r)
			again.Fold(at, r)
		}
		if c != again {
			t.Fatalf("%+v and %+v", c, again)
		}
	})
}
