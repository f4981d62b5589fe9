package loadshare

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/quota"
	"arbutusramp/core/serving"
)

// report is the datagram in which a gateway sends its own state.
type report struct {
	From  fleet.Peer   `cbor:"1,keyasint"` // new with each start of the process
	Seq   uint64       `cbor:"2,keyasint"` // sequence number; older reports are ignored
	Loads []targetLoad `cbor:"3,keyasint"`
	Items int          `cbor:"4,keyasint"` // see fleet.Demand
	Due   int64        `cbor:"5,keyasint"`
	// ContactAge is how long ago the store last answered, in milliseconds: clocks differ between hosts, ages
	// do not.
	ContactAge int64 `cbor:"6,keyasint"`
	// Detours is set if the sender has lost its own connection to the store: it has reached the store through
	// a peer, if at all, and cannot give others access to it.
	Detours bool `cbor:"7,keyasint,omitempty"`
	// Domain is the digest of the name of the sender's failure domain.
	Domain digest `cbor:"8,keyasint"`
	// PassOn asks the receiver to forward the report to the gateways of its own domain.
	PassOn bool `cbor:"9,keyasint,omitempty"`
	// Origin is the address that the sender listens on, in a forwarded report: the datagram then comes from
	// another address.
	Origin netip.AddrPort `cbor:"10,keyasint,omitzero"`
	// Suspects are the targets that have recently failed for the sender.
	Suspects []digest `cbor:"11,keyasint,omitempty"`
	// IsFirst and Admitted are the contents of a quota.Report.
	IsFirst  bool            `cbor:"12,keyasint,omitempty"`
	Admitted []admittedCount `cbor:"13,keyasint,omitempty"`
	// Quarantine are records that some peers may not have yet.
	Quarantine []quarantine.Message `cbor:"14,keyasint,omitempty"`
	// Role is what the receiver does with the report as a hub.
	Role hubRole `cbor:"15,keyasint,omitempty"`
	// Unknown are gateways that appear in the batches of hubs and are unknown to the sender: the receiver, as
	// a hub, sends their peerInfo.
	Unknown []fanout.ID `cbor:"16,keyasint,omitempty"`
	// Capacity is the sender's processor time.
	Capacity fanout.Capacity `cbor:"17,keyasint,omitempty"`
}

func encodeRecords(records []quarantine.Record) []quarantine.Message {
	var list []quarantine.Message
	for _, r := range records {
		list = append(list, r.Message())
	}
	return list
}

// admittedCount is how many requests of a workspace the sender has admitted since its start.
type admittedCount struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Total     int64
}

func encodeCounts(counts []quota.Count) []admittedCount {
	var list []admittedCount
	for _, c := range counts {
		list = append(list, admittedCount{Workspace: c.Workspace, Total: c.Total})
	}
	return list
}

func decodeCounts(counts []admittedCount) []quota.Count {
	var list []quota.Count
	for _, c := range counts {
		list = append(list, quota.Count{Workspace: c.Workspace, Total: c.Total})
	}
	return list
}

// digest is a hash that stands for a name in reports: they are sent many times a second, and traffic between
// domains is costly. Two of some hundred names have the same digest in fewer than one of ten thousand fleets;
// such targets would count as having each other's loads.
type digest uint32

func newDigest(name string) digest { return digest(xxhash.Sum64String(name)) }

// storeContact returns when the store last answered the sender, by this process's clock.
func (r report) storeContact(now time.Time) time.Time {
	return now.Add(-time.Duration(r.ContactAge) * time.Millisecond)
}

// targetLoad is the sender's load at one target.
type targetLoad struct {
	_      struct{} `cbor:",toarray"`
	Target digest
	Online int
	Batch  int
}

// encodeLoads converts the loads of a gateway for a report.
func encodeLoads(loads map[string]fleet.Load) []targetLoad {
	var list []targetLoad
	for id, l := range loads {
		list = append(list, targetLoad{Target: newDigest(id), Online: l.Online, Batch: l.Batch})
	}
	return list
}

func newDigests(ids []string) []digest {
	var list []digest
	for _, id := range ids {
		list = append(list, newDigest(id))
	}
	return list
}

// resolveTargets converts digests to target ids. Digests of targets that this process does not have are left
// out.
func resolveTargets(list []digest, ids map[digest]string) []string {
	var resolved []string
	for _, d := range list {
		if id, ok := ids[d]; ok {
			resolved = append(resolved, id)
		}
	}
	return resolved
}

// targetIndex holds the target ids by their digests, for one version of the list of targets. It is cached
// because reports arrive hundreds of times a second and the list changes rarely.
type targetIndex struct {
	version    uint64 // see fleetview.View.Listed
	idByDigest map[digest]string
}

func newTargetIndex(version uint64, targets []serving.Target) targetIndex {
	index := targetIndex{version: version, idByDigest: make(map[digest]string, len(targets))}
	for _, t := range targets {
		index.idByDigest[newDigest(t.ID)] = t.ID
	}
	return index
}

// decodeLoads converts the loads of a report. Targets that this process does not have are left out: the next
// report after it has read the list contains them again.
func decodeLoads(targetLoads []targetLoad, ids map[digest]string) map[string]fleet.Load {
	loads := make(map[string]fleet.Load, len(targetLoads))
	for _, l := range targetLoads {
		if id, ok := ids[l.Target]; ok {
			loads[id] = fleet.Load{Online: l.Online, Batch: l.Batch}
		}
	}
	return loads
}
