package reconcile

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/reconcile"
	"arbutusramp/core/relay"
	"arbutusramp/core/structs"
)

const (
	// candidates is how many entries watch the owner. The others don't read the
	// stream: at the target size that would be hundreds of reads a second.
	candidates = 3
	// watchWait is how long a read of the stream waits for news.
	watchWait = 2 * time.Second
	readGrace = time.Second
	// renewEvery is how often the owner says that it is alive: 0.1 appends a second.
	renewEvery = 10 * time.Second
	// lease is how long an owner may be silent before another claims. Safety does
	// not rest on it, only the number of takeovers.
	lease = 35 * time.Second
	// leaseStep is how much longer each further candidate waits.
	leaseStep   = 10 * time.Second
	appendLimit = 3 * time.Second
	pageSize    = 500
)

// owner follows the placement stream and claims it when it must.
type owner struct {
	self    platform.Host
	log     platform.Log
	members func() []platform.Host
	now     func() time.Time

	claims    reconcile.Claims
	nonce     string    // of the claim that this process made last
	beatAt    time.Time // when the newest Beat was seen
	confirmed time.Time // when the stream was last read to its end
	renewed   time.Time
}

// owns says that this process is the owner as far as it knows.
func (o *owner) owns() bool {
	return o.claims.Epoch != 0 && o.nonce != "" && o.claims.Nonce == o.nonce && !o.claims.Released
}

// candidate says that this process is to watch the owner.
func (o *owner) candidate() bool {
	return relay.Has(o.self, o.members(), structs.PlacementStream, candidates)
}

// read folds what is new in the stream, waiting up to wait for it.
func (o *owner) read(ctx context.Context, wait time.Duration) error {
	beat := o.claims.Beat
	end, err := readClaims(ctx, o.log, &o.claims, wait)
	if errs.Is(err, errs.LogTrimmed) {
		return nil
	}
	if err != nil {
		return err
	}
	if o.claims.Beat != beat || o.beatAt.IsZero() {
		o.beatAt = o.now()
	}
	if end {
		o.confirmed = o.now()
	}
	return nil
}

// readClaims folds the next page of the placement stream into c, waiting up to wait for it. It
// reports whether the stream's end is reached. Errors: errs.LogTrimmed when records that come next are
// no longer kept, which c has then skipped; errs.LogDown.
func readClaims(ctx context.Context, log platform.Log, c *reconcile.Claims, wait time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	page, err := log.Read(ctx, structs.PlacementStream, c.At+1, pageSize, wait)
	if errs.Is(err, errs.LogTrimmed) {
		c.Skip(page.First)
	}
	if err != nil {
		return false, err
	}
	for _, e := range page.Entries {
		var r reconcile.ClaimRecord
		if err := confstate.Decode(e.Body, &r); err != nil {
			c.Skip(e.Offset + 1)
			continue
		}
		c.Fold(e.Offset, r)
	}
	return len(page.Entries) < pageSize, nil
}

// vacant says that this process should claim now: there is no owner, or it has left, or
// it was silent for the lease. Candidates of lower rank wait longer, so that one claims.
func (o *owner) vacant() bool {
	if o.owns() {
		return false
	}
	wait := time.Duration(o.rank()) * leaseStep
	switch {
	case o.claims.At == 0 || o.claims.Released || o.claims.Owner == o.self.ID:
	case o.ownerListed():
		wait += lease
	default:
		wait += lease / 2
	}
	return o.now().Sub(o.beatAt) >= wait
}

// rank is this process's place among the candidates.
func (o *owner) rank() int {
	for n := 1; n <= candidates; n++ {
		if relay.Has(o.self, o.members(), structs.PlacementStream, n) {
			return n - 1
		}
	}
	return candidates
}

func (o *owner) ownerListed() bool {
	for _, h := range o.members() {
		if h.ID == o.claims.Owner {
			return h.State == platform.HostLive
		}
	}
	return false
}

// claim tries to become the owner. Whether it worked is seen by reading the stream, now
// or the next time: also an append whose answer was lost may have worked, and one that
// was answered may have come second.
func (o *owner) claim(ctx context.Context) error {
	o.nonce = uuid.NewString()
	if err := o.append(ctx, reconcile.OpClaim); err != nil {
		return err
	}
	o.renewed = o.now()
	return o.read(ctx, 0)
}

// renew says that the owner is alive, when it is time.
func (o *owner) renew(ctx context.Context) error {
	if o.now().Sub(o.renewed) < renewEvery {
		return nil
	}
	if err := o.append(ctx, reconcile.OpRenew); err != nil {
		return err
	}
	o.renewed = o.now()
	return nil
}

// release gives the ownership up, for a planned stop.
func (o *owner) release(ctx context.Context) error {
	if !o.owns() {
		return nil
	}
	return o.append(ctx, reconcile.OpRelease)
}

func (o *owner) append(ctx context.Context, op reconcile.ClaimOp) error {
	body, err := confstate.Encode(reconcile.ClaimRecord{
		Host:  o.self.ID,
		Prev:  o.claims.Epoch,
		Op:    op,
		Nonce: o.nonce,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	_, err = o.log.Append(ctx, structs.PlacementStream, body)
	return errors.Wrap(err, "placement claim")
}
