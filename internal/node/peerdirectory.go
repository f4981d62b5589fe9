package node

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"arbutusramp/core/fanout"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/dependency"
	"arbutusramp/internal/loadshare"
)

// peerPartition is where gateways leave their addresses for each other.
var peerPartition = platform.Partition{Topic: "keyed.gateways"}

const (
	// peerRetry is the pause after a call to the store that failed.
	peerRetry = 300 * time.Millisecond
	// peerLook is how often the addresses are read again. A gateway that starts sends to all
	// it finds, so the others learn of it at once; reading again only mends what was missed.
	peerLook = 15 * time.Second
)

// peerDirectory finds the other gateways.
type peerDirectory struct {
	store platform.Store
	share *loadshare.Share
	self  peerListing
	link  *dependency.Link
	log   hclog.Logger
}

// peerListing is what a gateway leaves under its address.
type peerListing struct {
	Domain   structs.FailureDomain `cbor:"1,keyasint"`
	Capacity fanout.Capacity       `cbor:"2,keyasint,omitempty"`
}

// run writes this process's address once and reads the others' now and then, until ctx ends.
func (d *peerDirectory) run(ctx context.Context) error {
	written := false
	meet := func() error {
		if !written {
			if err := d.write(ctx); err != nil {
				return err
			}
			written = true
		}
		return d.read(ctx)
	}
	d.link.Follow(ctx, dependency.Pauses{Answered: peerLook, Failed: peerRetry}, meet, func(bool) {})
	return nil
}

func (d *peerDirectory) write(ctx context.Context) error {
	value, err := cbor.Marshal(d.self)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = d.store.Append(ctx, platform.Append{
		Partition: peerPartition, Records: []platform.KeyedRecord{{Key: d.share.Addr().String(), Value: value}},
	})
	return err
}

func (d *peerDirectory) read(ctx context.Context) error {
	_, err := platform.EachNewest(ctx, d.store, peerPartition, "", func(records []platform.StoredRecord) bool {
		for _, r := range records {
			var l peerListing
			if err := cbor.Unmarshal(r.Value, &l); err != nil {
				d.log.Info("peer's domain can't be read: it tells it itself", "addr", r.Key, "error", err)
			}
			d.share.AddPeer(r.Key, string(l.Domain), l.Capacity)
		}
		return true
	})
	if err == nil {
		d.share.NoteListed()
	}
	return err
}
