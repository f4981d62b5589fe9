package node

import (
	"context"
	"sync/atomic"
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

// peerPartition is the partition of the store in which gateways publish their peer addresses.
var peerPartition = platform.Partition{Topic: "keyed.gateways"}

const (
	// peerRetryDelay is the pause after a failed call to the store.
	peerRetryDelay = 300 * time.Millisecond
	// peerReadInterval is how often the addresses are read again. A gateway that starts sends load reports to
	// all addresses that it finds, so the other gateways learn its address immediately. Reading again only
	// finds addresses whose first reports were lost.
	peerReadInterval = 15 * time.Second
)

// peerDirectory publishes the peer address of this gateway in the store and reads those of the other gateways, to
// which load reports are sent.
type peerDirectory struct {
	store     platform.Store
	loadShare *loadshare.Sharer
	self      peerRecord       // published for this gateway
	storeLink *dependency.Link // tracks whether the store answers
	log       hclog.Logger
	// leastMemory is the memory of the smallest host of a gateway, in bytes.
	leastMemory atomic.Int64
}

// peerRecord is the stored record of a gateway. Its key is the peer address of the gateway.
type peerRecord struct {
	Domain   structs.FailureDomain `cbor:"1,keyasint"`
	Capacity fanout.Capacity       `cbor:"2,keyasint,omitempty"`
	// MemoryBytes is the memory of the gateway's host; 0 if it is not known, as for earlier software versions.
	MemoryBytes int64 `cbor:"3,keyasint,omitempty"`
}

// jobMemoryShare is the share of the smallest host's memory for batch jobs, which every gateway keeps.
const jobMemoryShare = 0.15

// maxJobBytes returns how much memory all batch jobs may take in each gateway, in bytes.
func (d *peerDirectory) maxJobBytes() int64 {
	least := d.self.MemoryBytes
	if others := d.leastMemory.Load(); others > 0 {
		least = min(least, others)
	}
	return int64(jobMemoryShare * float64(least))
}

// run writes the address of this process once and reads those of the others at intervals, until ctx ends.
func (d *peerDirectory) run(ctx context.Context) error {
	isWritten := false
	syncPeers := func() error {
		if !isWritten {
			if err := d.write(ctx); err != nil {
				return err
			}
			isWritten = true
		}
		return d.read(ctx)
	}
	d.storeLink.Follow(ctx, dependency.Pauses{Answered: peerReadInterval, Failed: peerRetryDelay}, syncPeers, func(bool) {})
	return nil
}

// write publishes the record of this gateway.
func (d *peerDirectory) write(ctx context.Context) error {
	value, err := cbor.Marshal(d.self)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = d.store.Append(ctx, platform.Append{
		Partition: peerPartition, Records: []platform.KeyedRecord{{Key: d.loadShare.Addr().String(), Value: value}},
	})
	return err
}

// read adds all published gateways to the peers of loadShare.
func (d *peerDirectory) read(ctx context.Context) error {
	var leastMemory int64
	_, err := platform.EachNewest(ctx, d.store, peerPartition, "", func(records []platform.StoredRecord) bool {
		for _, r := range records {
			var record peerRecord
			if err := cbor.Unmarshal(r.Value, &record); err != nil {
				d.log.Info("peer record can't be decoded; the peer reports its domain itself", "addr", r.Key, "error", err)
			}
			if record.MemoryBytes > 0 && (leastMemory == 0 || record.MemoryBytes < leastMemory) {
				leastMemory = record.MemoryBytes
			}
			d.loadShare.AddPeer(r.Key, string(record.Domain), record.Capacity)
		}
		return true
	})
	if err == nil {
		d.leastMemory.Store(leastMemory)
		d.loadShare.MarkPeersListed()
	}
	return err
}
