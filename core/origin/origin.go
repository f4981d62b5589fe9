// Package origin keeps which software began a stream, so that a stream whose connection has broken goes on only at
// the version that began it, also at another gateway. Without it the events of two versions end up in one answer.
//
// The gateway that sends the first event of a stream records its origin and announces it to a few peers, its
// keepers, which Keepers selects by the key of the stream. A gateway that is asked to resume a stream asks the
// peers that it would select itself. What is recorded never changes: a gateway that does not find an origin knows
// that it does not know it. This package does no I/O and reads no clock.
package origin

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/serving"
)

// Key identifies a stream in the whole fleet: a hash of the caller's workspace and of the id of the request that
// brought the first event. Two of a million streams have the same key with a probability of 3e-8; their records
// then contradict each other or are the same.
type Key uint64

// NewKey returns the key of the stream that a request of a workspace began.
func NewKey(workspace, request string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(workspace) // a hash never fails to write
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(request)
	return Key(d.Sum64())
}

const (
	// KeeperCount is how many peers keep the origin of a stream, beside the gateway that serves it. With five of
	// them a loss of half of the gateways at once leaves the origins of 31 in 32 of the streams that break off.
	KeeperCount = 5
	// AskedCount is how many peers are asked for an origin. It exceeds KeeperCount because gateways that have
	// started or stopped since then change which peers come first.
	AskedCount = 8
	// Lifetime is how long an origin is kept at least after it was last announced. Callers that resume a stream
	// do so within seconds.
	Lifetime = 30 * time.Second
	// AnnounceInterval is the time after which the origin of a stream in progress is announced again.
	AnnounceInterval = Lifetime / 3
)

// Keepers returns the first n of the peers in the order that belongs to the key, all if there are fewer. It differs
// between keys and is the same at all gateways; a peer more or less moves the others by at most one place.
func Keepers(key Key, peers []netip.AddrPort, n int) []netip.AddrPort {
	type ranked struct {
		addr   netip.AddrPort
		weight uint64
	}
	compare := func(a, b ranked) int { return cmp.Or(cmp.Compare(b.weight, a.weight), a.addr.Compare(b.addr)) }
	var first []ranked
	for _, addr := range peers {
		r := ranked{addr, weight(key, addr)}
		i, _ := slices.BinarySearchFunc(first, r, compare)
		if i >= n {
			continue
		}
		first = slices.Insert(first, i, r)
		first = first[:min(n, len(first))]
	}
	addrs := make([]netip.AddrPort, len(first))
	for i, r := range first {
		addrs[i] = r.addr
	}
	return addrs
}

// weight returns the weight of a peer for a key, by which Keepers orders peers.
func weight(key Key, addr netip.AddrPort) uint64 {
	ip := addr.Addr().As16()
	data := binary.BigEndian.AppendUint64(ip[:], uint64(key))
	data = binary.BigEndian.AppendUint16(data, addr.Port())
	return xxhash.Sum64(data)
}

// Record is what is known of the origin of one stream.
type Record struct {
	Key    Key
	Origin serving.Origin
	// IsUncertain is set if the origin is not known for certain, because its target's entry has changed its version
	// or because records contradict each other. It never becomes certain again. Origin is then empty.
	IsUncertain bool
}

// Source says where the origin of a stream is known from.
type Source string

// The sources of origins.
const (
	SourceNone Source = "none" // it is not known
	SourceSelf Source = "self" // a record of this gateway
	SourcePeer Source = "peer" // a peer that was asked
	SourceOnly Source = "only" // the service has had targets of one version only
	// SourceUncertain is that of a record by which the origin is uncertain.
	SourceUncertain Source = "uncertain"
)

// merge returns what two records of a stream tell together.
func (r Record) merge(o Record) Record {
	if r.IsUncertain || o.IsUncertain || r.Origin != o.Origin {
		return Record{Key: r.Key, IsUncertain: true}
	}
	return r
}

// MaxRecords is how many records a gateway keeps at most, in 10 MB of memory. One that begins 100 streams a second in a
// large fleet keeps 36,000 of them at most: its own and as many as it announces, for up to twice Lifetime.
const MaxRecords = 240_000

// maxOrigins bounds the different origins in a Table. There is one for each version of each service.
const maxOrigins = 4096

// Table holds records for at least Lifetime. It is not safe for concurrent use.
type Table struct {
	limit int
	// current and previous are the records that were added or renewed since rotatedAt, and in the period before.
	// Records are dropped a period at a time, so that their age need not be stored.
	current, previous map[Key]uint16
	rotatedAt         time.Time
	origins           []serving.Origin // by the numbers in the maps, less firstOrigin
	numbers           map[serving.Origin]uint16
}

// Numbers in the maps of a Table.
const (
	uncertain   = 0
	firstOrigin = 1
)

// NewTable returns an empty table for at most limit records.
func NewTable(limit int) *Table {
	return &Table{limit: limit, current: make(map[Key]uint16), previous: make(map[Key]uint16), numbers: make(map[serving.Origin]uint16)}
}

// Add adds a record, or renews the one of its stream. A record that contradicts the one of its stream makes it
// uncertain.
func (t *Table) Add(now time.Time, r Record) {
	t.rotate(now)
	if known, ok := t.Get(now, r.Key); ok {
		r = known.merge(r)
	}
	n, ok := t.number(r)
	if !ok {
		return
	}
	t.current[r.Key] = n
}

// Get returns the record of a stream; ok is false if there is none.
func (t *Table) Get(now time.Time, key Key) (r Record, ok bool) {
	t.rotate(now)
	n, ok := t.current[key]
	if !ok {
		n, ok = t.previous[key]
	}
	if !ok {
		return Record{}, false
	}
	if n == uncertain {
		return Record{Key: key, IsUncertain: true}, true
	}
	return Record{Key: key, Origin: t.origins[n-firstOrigin]}, true
}

// Len returns the number of records, of which some may be counted twice.
func (t *Table) Len() int { return len(t.current) + len(t.previous) }

// rotate drops the records of the period before the last one when a period has passed, or earlier if the records of
// this period take up their half of the limit.
func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotatedAt) < Lifetime && len(t.current) < t.limit/2 {
		return
	}
	if now.Sub(t.rotatedAt) >= 2*Lifetime {
		clear(t.current)
	}
	t.previous, t.current = t.current, make(map[Key]uint16)
	t.rotatedAt = now
	t.renumber()
}

// renumber drops the origins that no record has any more, so that their number follows the versions in use.
func (t *Table) renumber() {
	old := t.origins
	t.origins, t.numbers = nil, make(map[serving.Origin]uint16)
	for key, n := range t.previous {
		if n == uncertain {
			continue
		}
		// There is a number for each: the table had one for all of them before.
		t.previous[key], _ = t.number(Record{Origin: old[n-firstOrigin]})
	}
}

// number returns the number that stands for the origin of a record; ok is false if there are too many origins.
func (t *Table) number(r Record) (n uint16, ok bool) {
	if r.IsUncertain {
		return uncertain, true
	}
	if n, ok := t.numbers[r.Origin]; ok {
		return n, true
	}
	if len(t.origins) >= maxOrigins {
		return 0, false
	}
	t.origins = append(t.origins, r.Origin)
	n = uint16(len(t.origins) - 1 + firstOrigin)
	t.numbers[r.Origin] = n
	return n, true
}
