package loadshare

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	"arbutusramp/core/quarantine"
)

// batch is the datagram in which a hub sends the reports of many gateways. Its receiver applies the content
// and sends it unchanged to the addresses in Forward.
type batch struct {
	_       struct{}         `cbor:",toarray"`
	Forward []netip.AddrPort // empty in the copies that the receiver sends
	Content cbor.RawMessage  // an encoded batchContent
}

// batchContent is the part of a batch that every receiver applies: descriptions, reports and heartbeats of
// gateways.
type batchContent struct {
	_      struct{}        `cbor:",toarray"`
	Hub    netip.AddrPort  // the hub that has built the batch
	Intros []peerInfo      // descriptions of gateways whose ids this batch or an earlier one contains
	News   []relayedReport // reports that are new, and reports that the hub repeats every refreshInterval
	Signs  []byte          // heartbeats as encoded by appendHeartbeat
	// Scheduling holds the scheduling parts of News. It is not part of the reports, so that batches without such
	// parts have the encoding of gateways that do not have the mechanisms.
	Scheduling []relayedScheduling
}

// relayedScheduling is the scheduling part of the relayed report with the same id.
type relayedScheduling struct {
	_    struct{} `cbor:",toarray"`
	ID   fanout.ID
	Part *scheduling
}

// plainContent is the encoding of a batchContent without scheduling parts, and extendedContent that of others.
type plainContent struct {
	_      struct{} `cbor:",toarray"`
	Hub    netip.AddrPort
	Intros []peerInfo
	News   []relayedReport
	Signs  []byte
}

type extendedContent batchContent

// plainContentHeader is the first byte of an encoded plainContent, an array of four elements.
const plainContentHeader = 0x84

// MarshalCBOR implements cbor.Marshaler.
func (c batchContent) MarshalCBOR() ([]byte, error) {
	for _, r := range c.News {
		if r.Scheduling != nil {
			c.Scheduling = append(c.Scheduling, relayedScheduling{ID: r.ID, Part: r.Scheduling})
		}
	}
	if len(c.Scheduling) == 0 {
		return cbor.Marshal(plainContent{Hub: c.Hub, Intros: c.Intros, News: c.News, Signs: c.Signs})
	}
	return cbor.Marshal(extendedContent(c))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (c *batchContent) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0] == plainContentHeader {
		var plain plainContent
		err := cbor.Unmarshal(data, &plain)
		*c = batchContent{Hub: plain.Hub, Intros: plain.Intros, News: plain.News, Signs: plain.Signs}
		return err
	}
	if err := cbor.Unmarshal(data, (*extendedContent)(c)); err != nil {
		return err
	}
	parts := make(map[fanout.ID]*scheduling, len(c.Scheduling))
	for _, s := range c.Scheduling {
		parts[s.ID] = s.Part
	}
	c.Scheduling = nil
	for i := range c.News {
		c.News[i].Scheduling = parts[c.News[i].ID]
	}
	return nil
}

// peerInfo describes the gateway that an id in batches stands for. The id is gatewayID(Name).
type peerInfo struct {
	_      struct{} `cbor:",toarray"`
	Name   fleet.Peer
	Addr   netip.AddrPort
	Domain digest // digest of the name of the gateway's failure domain
	// Capacity is the processor time available to the gateway; 0 if unknown.
	Capacity fanout.Capacity
}

// relayedReport is the part of a gateway's newest report that a hub forwards. The fields correspond to those
// of report with the same names.
type relayedReport struct {
	_          struct{} `cbor:",toarray"`
	ID         fanout.ID
	Seq        uint64
	Loads      []targetLoad
	Items      int
	Due        int64
	Suspects   []digest
	IsFirst    bool
	Admitted   []admittedCount
	Quarantine []quarantine.Message
	Scheduling *scheduling `cbor:"-"` // encoded in batchContent.Scheduling
}

// Major types of CBOR, by which the kinds of datagrams are told apart.
const (
	majorTypeBytes = 2 // a message, see SendMessage
	majorTypeArray = 4 // a batch; a report is a map
)

// hasMajorType reports whether a datagram is a CBOR item of a major type.
func hasMajorType(data []byte, majorType byte) bool {
	return len(data) > 0 && data[0]>>5 == majorType
}

// isBatch reports whether a datagram is a batch.
func isBatch(data []byte) bool { return hasMajorType(data, majorTypeArray) }

// newRelayedReport returns the part of r that hubs forward. id identifies the sender of r.
func newRelayedReport(id fanout.ID, r report) relayedReport {
	return relayedReport{
		ID: id, Seq: r.Seq, Loads: r.Loads, Items: r.Items, Due: r.Due, Suspects: r.Suspects, IsFirst: r.IsFirst, Admitted: r.Admitted, Quarantine: r.Quarantine, Scheduling: r.Scheduling,
	}
}

// isIdle reports whether the report contains no loads, waiting items, suspects, counts of admitted requests,
// quarantine records or scheduling part.
func (r relayedReport) isIdle() bool {
	return len(r.Loads) == 0 && r.Items == 0 && len(r.Suspects) == 0 && len(r.Admitted) == 0 && len(r.Quarantine) == 0 && r.Scheduling == nil
}

// mergeReports combines two reports of a gateway, of which undelivered was not forwarded. It returns next, with
// the quarantine records of undelivered added, and its counts of admitted requests for the workspaces that next
// has no count for.
func mergeReports(undelivered, next relayedReport) relayedReport {
	isReported := make(map[string]bool, len(next.Admitted))
	for _, c := range next.Admitted {
		isReported[c.Workspace] = true
	}
	for _, c := range undelivered.Admitted {
		if !isReported[c.Workspace] {
			next.Admitted = append(next.Admitted, c)
		}
	}
	next.Quarantine = append(undelivered.Quarantine, next.Quarantine...)
	next.Scheduling = mergeScheduling(undelivered.Scheduling, next.Scheduling)
	return next
}

// heartbeat is the record in which hubs send when a gateway was last seen, and its state.
type heartbeat struct {
	id              fanout.ID
	seq             uint16        // the low 16 bits of the sequence number of its newest report
	age             time.Duration // time since the gateway was last seen; limited to maxEncodedAge
	storeContactAge time.Duration // time since the platform's store last answered it; limited to maxEncodedStoreContactAge
	isIdle          bool          // its newest report holds nothing that other gateways need
	hasStopped      bool          // a hub has detected that its process has stopped
	hasLostStore    bool          // it has no direct connection to the platform's store; see report.HasLostStore
}

// Encoding of a heartbeat: id and seq in little-endian order, then age, storeContactAge and flags in a byte
// each.
const (
	heartbeatBytes            = 9
	ageUnit                   = 8 * time.Millisecond
	storeContactAgeUnit       = 20 * time.Millisecond
	maxEncodedAge             = 255 * ageUnit
	maxEncodedStoreContactAge = 255 * storeContactAgeUnit
	flagIdle                  = 1
	flagStopped               = 2
	flagLostStore             = 4
)

// appendHeartbeat appends an encoded heartbeat to data.
func appendHeartbeat(data []byte, h heartbeat) []byte {
	data = binary.LittleEndian.AppendUint32(data, uint32(h.id))
	data = binary.LittleEndian.AppendUint16(data, h.seq)
	return append(data, toUnits(h.age, ageUnit), toUnits(h.storeContactAge, storeContactAgeUnit), h.flags())
}

// toUnits converts a duration to units, rounded up and limited to the range of a byte.
func toUnits(d, unit time.Duration) byte { return byte(min(255, max(0, (d+unit-1)/unit))) }

// flags returns the byte of the encoded heartbeat in which each boolean field is one bit.
func (h heartbeat) flags() (flags byte) {
	for flag, isSet := range map[byte]bool{flagIdle: h.isIdle, flagStopped: h.hasStopped, flagLostStore: h.hasLostStore} {
		if isSet {
			flags |= flag
		}
	}
	return flags
}

// decodeHeartbeats decodes a sequence of heartbeats. It returns errs.BadFrame if the last one is incomplete.
func decodeHeartbeats(data []byte) ([]heartbeat, error) {
	if len(data)%heartbeatBytes != 0 {
		return nil, errs.Newf(errs.BadFrame, "%d bytes are not a whole number of heartbeats", len(data))
	}
	heartbeats := make([]heartbeat, 0, len(data)/heartbeatBytes)
	for ; len(data) > 0; data = data[heartbeatBytes:] {
		flags := data[8]
		heartbeats = append(heartbeats, heartbeat{
			id: fanout.ID(binary.LittleEndian.Uint32(data)), seq: binary.LittleEndian.Uint16(data[4:]),
			age: time.Duration(data[6]) * ageUnit, storeContactAge: time.Duration(data[7]) * storeContactAgeUnit,
			isIdle: flags&flagIdle != 0, hasStopped: flags&flagStopped != 0, hasLostStore: flags&flagLostStore != 0,
		})
	}
	return heartbeats, nil
}

// decodeBatch decodes a batch, its content and the heartbeats in it. It returns errs.BadFrame for a damaged
// batch and for one that names no hub.
func decodeBatch(data []byte) (batch, batchContent, []heartbeat, error) {
	var b batch
	var c batchContent
	if err := cbor.Unmarshal(data, &b); err != nil {
		return b, c, nil, errs.Newf(errs.BadFrame, "decode a batch of load reports: %v", err)
	}
	if err := cbor.Unmarshal(b.Content, &c); err != nil {
		return b, c, nil, errs.Newf(errs.BadFrame, "decode the content of a batch of load reports: %v", err)
	}
	heartbeats, err := decodeHeartbeats(c.Signs)
	if err == nil && !c.Hub.IsValid() {
		err = errs.New(errs.BadFrame, "a batch of load reports names no hub")
	}
	return b, c, heartbeats, err
}

// Largest numbers of entries of each kind in one batch. They keep a batch below 16 KiB if each report
// holds two loads and nothing else. Longer reports make a longer batch, which is received whole up to
// maxDatagramBytes (60 KiB).
const (
	maxPeerInfos  = 64
	maxReports    = 128
	maxHeartbeats = 768
)

// splitContents divides what a hub has to send into contents of batches with at most maxPeerInfos
// descriptions, maxReports reports and maxHeartbeats heartbeats each.
func splitContents(hub netip.AddrPort, infos []peerInfo, reports []relayedReport, heartbeats []heartbeat) []batchContent {
	var contents []batchContent
	for len(infos) > 0 || len(reports) > 0 || len(heartbeats) > 0 {
		c := batchContent{Hub: hub}
		count := min(maxPeerInfos, len(infos))
		c.Intros, infos = infos[:count], infos[count:]
		count = min(maxReports, len(reports))
		c.News, reports = reports[:count], reports[count:]
		count = min(maxHeartbeats, len(heartbeats))
		for _, h := range heartbeats[:count] {
			c.Signs = appendHeartbeat(c.Signs, h)
		}
		heartbeats = heartbeats[count:]
		contents = append(contents, c)
	}
	return contents
}
