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

// batch is a message of a hub about many gateways. Its receiver forwards the content unchanged to the
// addresses in Forward.
type batch struct {
	_       struct{} `cbor:",toarray"`
	Forward []netip.AddrPort
	Content cbor.RawMessage
}

// batchContent is the content of a batch.
type batchContent struct {
	_      struct{}       `cbor:",toarray"`
	Hub    netip.AddrPort // the hub that has built the batch
	Intros []peerInfo
	News   []relayedReport
	Signs  []byte // see appendHeartbeat
}

// peerInfo describes the gateway that an id stands for.
type peerInfo struct {
	_      struct{} `cbor:",toarray"`
	Name   fleet.Peer
	Addr   netip.AddrPort
	Domain digest
	// Capacity is the gateway's processor time.
	Capacity fanout.Capacity
}

// relayedReport is a gateway's newest report as a hub forwards it.
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
}

// isBatch tells a batch from a report: a batch is a CBOR array, a report a map.
func isBatch(data []byte) bool {
	const majorArray = 4
	return len(data) > 0 && data[0]>>5 == majorArray
}

func newRelayedReport(id fanout.ID, r report) relayedReport {
	return relayedReport{
		ID: id, Seq: r.Seq, Loads: r.Loads, Items: r.Items, Due: r.Due, Suspects: r.Suspects, IsFirst: r.IsFirst, Admitted: r.Admitted, Quarantine: r.Quarantine,
	}
}

// isIdle reports whether the report holds nothing that other gateways need.
func (r relayedReport) isIdle() bool {
	return len(r.Loads) == 0 && r.Items == 0 && len(r.Suspects) == 0 && len(r.Admitted) == 0 && len(r.Quarantine) == 0
}

// mergeReports adds to the next report what it does not repeat of a report that was not forwarded.
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
	return next
}

// heartbeat is a liveness record of a gateway as hubs send it.
type heartbeat struct {
	id           fanout.ID
	seq          uint16        // the low 16 bits of the number of its newest report
	age          time.Duration // time since the gateway was last seen
	contactAge   time.Duration // time since the store answered it; limited to maxEncodedContactAge
	isIdle       bool
	hasStopped   bool
	hasLostStore bool // it has lost its own connection to the store
}

// Encoding of a heartbeat.
const (
	heartbeatBytes       = 9
	ageUnit              = 8 * time.Millisecond
	contactAgeUnit       = 20 * time.Millisecond
	maxEncodedAge        = 255 * ageUnit
	maxEncodedContactAge = 255 * contactAgeUnit
	flagIdle             = 1
	flagStopped          = 2
	flagLostStore        = 4
)

func appendHeartbeat(data []byte, h heartbeat) []byte {
	data = binary.LittleEndian.AppendUint32(data, uint32(h.id))
	data = binary.LittleEndian.AppendUint16(data, h.seq)
	return append(data, toUnits(h.age, ageUnit), toUnits(h.contactAge, contactAgeUnit), h.flags())
}

// toUnits converts a duration to units, rounded up and limited to the range of a byte.
func toUnits(d, unit time.Duration) byte { return byte(min(255, max(0, (d+unit-1)/unit))) }

func (h heartbeat) flags() (flags byte) {
	for flag, isSet := range map[byte]bool{flagIdle: h.isIdle, flagStopped: h.hasStopped, flagLostStore: h.hasLostStore} {
		if isSet {
			flags |= flag
		}
	}
	return flags
}

// decodeHeartbeats decodes heartbeats. Error: errs.BadFrame.
func decodeHeartbeats(data []byte) ([]heartbeat, error) {
	if len(data)%heartbeatBytes != 0 {
		return nil, errs.Newf(errs.BadFrame, "%d bytes are not a whole number of heartbeats", len(data))
	}
	list := make([]heartbeat, 0, len(data)/heartbeatBytes)
	for ; len(data) > 0; data = data[heartbeatBytes:] {
		flags := data[8]
		list = append(list, heartbeat{
			id: fanout.ID(binary.LittleEndian.Uint32(data)), seq: binary.LittleEndian.Uint16(data[4:]),
			age: time.Duration(data[6]) * ageUnit, contactAge: time.Duration(data[7]) * contactAgeUnit,
			isIdle: flags&flagIdle != 0, hasStopped: flags&flagStopped != 0, hasLostStore: flags&flagLostStore != 0,
		})
	}
	return list, nil
}

// decodeBatch decodes a batch, its content and the heartbeats in it. Error: errs.BadFrame.
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

// Limits of one batch. They keep it below 16 KiB unless reports are unusually long.
const (
	maxPeerInfos  = 64
	maxReports    = 128
	maxHeartbeats = 768
)

// splitContents divides what a hub has to send into contents of a bounded size.
func splitContents(hub netip.AddrPort, infos []peerInfo, list []relayedReport, heartbeats []heartbeat) []batchContent {
	var contents []batchContent
	for len(infos) > 0 || len(list) > 0 || len(heartbeats) > 0 {
		c := batchContent{Hub: hub}
		n := min(maxPeerInfos, len(infos))
		c.Intros, infos = infos[:n], infos[n:]
		n = min(maxReports, len(list))
		c.News, list = list[:n], list[n:]
		n = min(maxHeartbeats, len(heartbeats))
		for _, h := range heartbeats[:n] {
			c.Signs = appendHeartbeat(c.Signs, h)
		}
		heartbeats = heartbeats[n:]
		contents = append(contents, c)
	}
	return contents
}
