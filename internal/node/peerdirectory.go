package node

import (
	"context"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
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
	link  *dependency.Link
}

// run writes this process's address once and reads the others' now and then, until ctx ends.
func (d *peerDirectory) run(ctx context.Context) error {
	written := false
	for ctx.Err() == nil {
		if !written {
			written = d.write(ctx)
		}
		if !written || !d.read(ctx) {
			sleep.For(ctx, peerRetry)
			continue
		}
		sleep.For(ctx, peerLook)
	}
	return nil
}

func (d *peerDirectory) write(ctx context.Context) bool {
	addr := d.share.Addr().String()
	_, err := d.store.Append(ctx, platform.Append{
		Partition: peerPartition, Records: []platform.KeyedRecord{{Key: addr, Value: []byte{1}}},
	})
	if err != nil {
		d.link.Lost(err)
	}
	return err == nil
}

func (d *peerDirectory) read(ctx context.Context) bool {
	_, err := platform.EachNewest(ctx, d.store, peerPartition, "", func(records []platform.StoredRecord) bool {
		for _, r := range records {
			d.share.Meet(r.Key)
		}
		return true
	})
	if err != nil {
		d.link.Lost(err)
		return false
	}
	d.link.Up()
	return true
}
