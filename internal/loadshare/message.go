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

// report is the datagram in which a gateway sends its own state to its peers.
type report struct {
	From  fleet.Peer   `cbor:"1,keyasint"` // name of the sender's process, new with each start
	Seq   uint64       `cbor:"2,keyasint"` // sequence number; a report that is not newer than a received one is ignored
	Loads []targetLoad `cbor:"3,keyasint"` // targets at which the sender has no load are left out
	Items int          `cbor:"4,keyasint"` // number of batch items at the sender that wait for a slot
	Due   int64        `cbor:"5,keyasint"` // when the earliest of them is due, in milliseconds since 1970
	// StoreContactAgeMs is how long ago the platform's store last answered the sender, directly or through a peer,
	// in milliseconds. It is an age and not a time because the clocks of hosts differ.
	StoreContactAgeMs int64 `cbor:"6,keyasint"`
	// HasLostStore is set if the sender has lost its direct connection to the platform's store: it reaches the
	// store through a peer, if at all, and cannot give others access to it.
	HasLostStore bool `cbor:"7,keyasint,omitempty"`
	// Domain is the digest of the name of the sender's failure domain.
	Domain digest `cbor:"8,keyasint"`
	// IsForwardRequested is set if the receiver is to forward the report to the other gateways of its own domain.
	IsForwardRequested bool `cbor:"9,keyasint,omitempty"`
	// Origin is the address that the sender listens on, in a forwarded report: the datagram then comes from
	// another address.
	Origin netip.AddrPort `cbor:"10,keyasint,omitzero"`
	// Suspects are the digests of the ids of targets at which requests of the sender have recently failed.
	Suspects []digest `cbor:"11,keyasint,omitempty"`
	// IsFirst is set in the first reports after the start of the sender, so that a receiver can distinguish a
	// sender that has just started from one that it has not received reports of before. Admitted holds the
	// counts of admitted requests that have changed recently.
	IsFirst  bool            `cbor:"12,keyasint,omitempty"`
	Admitted []admittedCount `cbor:"13,keyasint,omitempty"`
	// Quarantine holds records of requests during which targets crashed. Some peers may not have them yet.
	Quarantine []quarantine.Message `cbor:"14,keyasint,omitempty"`
	// Role is what the receiver does with the report as a hub.
	Role hubRole `cbor:"15,keyasint,omitempty"`
	// UnknownIDs identifies gateways that appear in the batches of hubs and that the sender has no description
	// of. The receiver sends the descriptions that it has.
	UnknownIDs []fanout.ID `cbor:"16,keyasint,omitempty"`
	// Capacity is the processor time available to the sender; 0 if unknown.
	Capacity fanout.Capacity `cbor:"17,keyasint,omitempty"`
	// Scheduling is nil unless a mechanism is on that needs it.
	Scheduling *scheduling `cbor:"18,keyasint,omitempty"`
}

// encodeRecords converts quarantine records into the messages that a report contains.
func encodeRecords(records []quarantine.Record) []quarantine.Message {
	var messages []quarantine.Message
	for _, r := range records {
		messages = append(messages, r.Message())
	}
	return messages
}

// admittedCount is how many requests of a workspace the sender has admitted since its start.
type admittedCount struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Total     int64
}

// encodeCounts converts counts of admitted requests into those that a report contains.
func encodeCounts(counts []quota.Count) []admittedCount {
	var encoded []admittedCount
	for _, c := range counts {
		encoded = append(encoded, admittedCount{Workspace: c.Workspace, Total: c.Total})
	}
	return encoded
}

// decodeCounts converts the counts of admitted requests in a report into those that the quotas use.
func decodeCounts(counts []admittedCount) []quota.Count {
	var decoded []quota.Count
	for _, c := range counts {
		decoded = append(decoded, quota.Count{Workspace: c.Workspace, Total: c.Total})
	}
	return decoded
}

// digest is the hash of a name, which reports contain in place of the name because they are sent many times a
// second and traffic between domains is costly. In fewer than one of ten thousand fleets with some hundred
// names two names have the same digest; the load at one of two such targets would then count for the other as
// well.
type digest uint32

// newDigest returns the digest of a name.
func newDigest(name string) digest { return digest(xxhash.Sum64String(name)) }

// lastStoreContact returns when the platform's store last answered the sender, by this process's clock.
func (r report) lastStoreContact(now time.Time) time.Time {
	return now.Add(-time.Duration(r.StoreContactAgeMs) * time.Millisecond)
}

// targetLoad is the number of online requests and batch items that the sender runs at one target.
type targetLoad struct {
	_      struct{} `cbor:",toarray"`
	Target digest
	Online int
	Batch  int
}

// encodeLoads converts loads by target id into those that a report contains.
func encodeLoads(loads map[string]fleet.Load) []targetLoad {
	var encoded []targetLoad
	for id, l := range loads {
		encoded = append(encoded, targetLoad{Target: newDigest(id), Online: l.Online, Batch: l.Batch})
	}
	return encoded
}

// newDigests returns the digests of target ids.
func newDigests(ids []string) []digest {
	var digests []digest
	for _, id := range ids {
		digests = append(digests, newDigest(id))
	}
	return digests
}

// resolveTargets converts digests to target ids. ids holds the target ids by their digests; other digests are
// left out.
func resolveTargets(digests []digest, ids map[digest]string) []string {
	var resolvedIDs []string
	for _, d := range digests {
		if id, ok := ids[d]; ok {
			resolvedIDs = append(resolvedIDs, id)
		}
	}
	return resolvedIDs
}

// targetIndex holds the target ids by their digests, for one version of the list of targets. It is cached
// because reports arrive hundreds of times a second and the list changes rarely.
type targetIndex struct {
	version         uint64 // version of the list of targets; it differs after each change of the list
	idByDigest      map[digest]string
	serviceByDigest map[digest]string // names of the targets' services
}

// newTargetIndex returns the index of the targets in a version of their list.
func newTargetIndex(version uint64, targets []serving.Target) targetIndex {
	index := targetIndex{version: version, idByDigest: make(map[digest]string, len(targets)), serviceByDigest: make(map[digest]string)}
	for _, t := range targets {
		index.idByDigest[newDigest(t.ID)] = t.ID
		index.serviceByDigest[newDigest(t.Service)] = t.Service
	}
	return index
}

// decodeLoads converts the loads in a report to loads by target id. ids holds the target ids by their
// digests. Targets that are not in it are left out: they are applied from the first report after this process
// has read the newer list of targets.
func decodeLoads(targetLoads []targetLoad, ids map[digest]string) map[string]fleet.Load {
	loads := make(map[string]fleet.Load, len(targetLoads))
	for _, l := range targetLoads {
		if id, ok := ids[l.Target]; ok {
			loads[id] = fleet.Load{Online: l.Online, Batch: l.Batch}
		}
	}
	return loads
}
