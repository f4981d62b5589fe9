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

// batch is what a hub tells of many gateways at once. Its receiver passes the content on as it is.
type batch struct {
	_       struct{} `cbor:",toarray"`
	Forward []netip.AddrPort
	Content cbor.RawMessage
}

// content is what a batch holds.
type content struct {
	_      struct{}       `cbor:",toarray"`
	Hub    netip.AddrPort // who has put it together
	Intros []intro
	News   []news
	Signs  []byte // see appendSign
}

// intro tells which gateway an id stands for.
type intro struct {
	_      struct{} `cbor:",toarray"`
	Name   fleet.Peer
	Addr   netip.AddrPort
	Domain digest
	// Capacity is its processor time.
	Capacity fanout.Capacity
}

// news is a gateway's newest report.
type news struct {
	_          struct{} `cbor:",toarray"`
	ID         fanout.ID
	Seq        uint64
	Loads      []line
	Items      int
	Due        int64
	Suspects   []digest
	IsFirst    bool
	Admitted   []count
	Quarantine []quarantine.Message
}

// isBatch tells a batch from a report: the one is an array, the other a map.
func isBatch(data []byte) bool {
	const majorArray = 4
	return len(data) > 0 && data[0]>>5 == majorArray
}

func newsOf(id fanout.ID, r report) news {
	return news{
		ID: id, Seq: r.Seq, Loads: r.Loads, Items: r.Items, Due: r.Due, Suspects: r.Suspects, IsFirst: r.IsFirst, Admitted: r.Admitted, Quarantine: r.Quarantine,
	}
}

// isIdle says whether the news hold nothing that others need to know.
func (n news) isIdle() bool {
	return len(n.Loads) == 0 && n.Items == 0 && len(n.Suspects) == 0 && len(n.Admitted) == 0 && len(n.Quarantine) == 0
}

// mergeNews keeps, of news that were not passed on, what the next report does not repeat.
func mergeNews(undelivered, next news) news {
	told := make(map[string]bool, len(next.Admitted))
	for _, c := range next.Admitted {
		told[c.Workspace] = true
	}
	for _, c := range undelivered.Admitted {
		if !told[c.Workspace] {
			next.Admitted = append(next.Admitted, c)
		}
	}
	next.Quarantine = append(undelivered.Quarantine, next.Quarantine...)
	return next
}

// sign is a sign of life of a gateway.
type sign struct {
	id         fanout.ID
	seq        uint16        // the low bits of the number of its newest report
	age        time.Duration // since it was heard
	contact    time.Duration // since the store answered it; maxContactAge and more is not told
	isIdle     bool
	hasStopped bool
	hasDetour  bool // its own way to the store is lost
}

// How a sign is encoded.
const (
	signBytes     = 9
	ageUnit       = 8 * time.Millisecond
	contactUnit   = 20 * time.Millisecond
	maxAge        = 255 * ageUnit
	maxContactAge = 255 * contactUnit
	flagIdle      = 1
	flagStopped   = 2
	flagDetour    = 4
)

func appendSign(data []byte, s sign) []byte {
	data = binary.LittleEndian.AppendUint32(data, uint32(s.id))
	data = binary.LittleEndian.AppendUint16(data, s.seq)
	return append(data, units(s.age, ageUnit), units(s.contact, contactUnit), s.flags())
}

// units is a time in units, rounded up and bounded.
func units(d, unit time.Duration) byte { return byte(min(255, max(0, (d+unit-1)/unit))) }

func (s sign) flags() (flags byte) {
	for flag, isSet := range map[byte]bool{flagIdle: s.isIdle, flagStopped: s.hasStopped, flagDetour: s.hasDetour} {
		if isSet {
			flags |= flag
		}
	}
	return flags
}

// decodeSigns reads signs. Error: errs.BadFrame.
func decodeSigns(data []byte) ([]sign, error) {
	if len(data)%signBytes != 0 {
		return nil, errs.Newf(errs.BadFrame, "%d bytes are no whole number of signs", len(data))
	}
	list := make([]sign, 0, len(data)/signBytes)
	for ; len(data) > 0; data = data[signBytes:] {
		flags := data[8]
		list = append(list, sign{
			id: fanout.ID(binary.LittleEndian.Uint32(data)), seq: binary.LittleEndian.Uint16(data[4:]),
			age: time.Duration(data[6]) * ageUnit, contact: time.Duration(data[7]) * contactUnit,
			isIdle: flags&flagIdle != 0, hasStopped: flags&flagStopped != 0, hasDetour: flags&flagDetour != 0,
		})
	}
	return list, nil
}

// decodeBatch reads a batch. Error: errs.BadFrame.
func decodeBatch(data []byte) (batch, content, []sign, error) {
	var b batch
	var c content
	if err := cbor.Unmarshal(data, &b); err != nil {
		return b, c, nil, errs.Newf(errs.BadFrame, "a batch of load reports: %v", err)
	}
	if err := cbor.Unmarshal(b.Content, &c); err != nil {
		return b, c, nil, errs.Newf(errs.BadFrame, "the content of a batch of load reports: %v", err)
	}
	signs, err := decodeSigns(c.Signs)
	if err == nil && !c.Hub.IsValid() {
		err = errs.New(errs.BadFrame, "a batch of load reports without a hub")
	}
	return b, c, signs, err
}

// Bounds of one batch: it stays below maxBatch bytes but for unusually long reports.
const (
	maxIntros = 64
	maxNews   = 128
	maxSigns  = 768
)

// split divides what a hub has to tell into contents of a bounded size.
func split(hub netip.AddrPort, intros []intro, list []news, signs []sign) []content {
	var contents []content
	for len(intros) > 0 || len(list) > 0 || len(signs) > 0 {
		c := content{Hub: hub}
		n := min(maxIntros, len(intros))
		c.Intros, intros = intros[:n], intros[n:]
		n = min(maxNews, len(list))
		c.News, list = list[:n], list[n:]
		n = min(maxSigns, len(signs))
		for _, s := range signs[:n] {
			c.Signs = appendSign(c.Signs, s)
		}
		signs = signs[n:]
		contents = append(contents, c)
	}
	return contents
}
