package origin

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutusramp/core/serving"
)

var start = time.Unix(1000, 0)

// testPeers returns n addresses.
func testPeers(n int) []netip.AddrPort {
	var peers []netip.AddrPort
	for i := range n {
		peers = append(peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
	}
	return peers
}

func version(v string) serving.Origin { return serving.Origin{Service: "llm", Version: v} }

// Guards against a gateway that asks other peers than those that keep the origin: the first KeeperCount peers of the
// sender must be among the AskedCount first ones of a gateway that knows some peers more or less.
func TestAskedPeersIncludeKeepers(t *testing.T) {
	const fleet, differences = 30, AskedCount - KeeperCount
	all := testPeers(fleet + differences)
	for key := range Key(500) {
		keepers := Keepers(key, all[:fleet], KeeperCount)
		for _, peers := range [][]netip.AddrPort{all, all[differences:fleet]} {
			asked := Keepers(key, peers, AskedCount)
			for _, k := range keepers {
				if slices.Contains(peers, k) && !slices.Contains(asked, k) {
					t.Fatalf("key %d: keeper %s is not among the asked %v", key, k, asked)
				}
			}
		}
	}
	if got := Keepers(1, all[:2], KeeperCount); len(got) != 2 {
		t.Errorf("%d keepers of 2 peers, want both", len(got))
	}
}

// Guards against records that are dropped before Lifetime, stay for ever or grow beyond the limit.
func TestRecordsAreKeptForTheirLifetimeWithinTheLimit(t *testing.T) {
	table := NewTable(100)
	table.Add(start, Record{Key: 1, Origin: version("v1")})
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {Lifetime, true}, {Lifetime + time.Second, true}, {3 * Lifetime, false}} {
		if r, ok := table.Get(start.Add(c.after), 1); ok != c.want || ok && r.Origin != version("v1") {
			t.Errorf("record after %v: %+v, %v; want it there: %v", c.after, r, ok, c.want)
		}
	}
	now := start.Add(10 * Lifetime)
	for i := range 10_000 {
		table.Add(now, Record{Key: Key(i), Origin: version(fmt.Sprint(i))})
	}
	if table.Len() > 100 || len(table.origins) > 101 {
		t.Errorf("%d records and %d origins with a limit of 100", table.Len(), len(table.origins))
	}
	if r, ok := table.Get(now, 9_999); !ok || r.Origin != version("9999") {
		t.Errorf("the newest record is %+v, %v", r, ok)
	}
}

// Guards against a stream whose origin is taken for certain although records contradict each other, in whatever order
// they arrive and however often.
func TestContradictingRecordsAreUncertainInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				return Record{Key: 7, IsUncertain: true}
			}
			return Record{Key: 7, Origin: version(rapid.SampledFrom([]string{"v1", "v1", "v2", ""}).Draw(t, "version"))}
		}), 1, 6).Draw(t, "records")
		table := NewTable(10)
		isUncertain := false
		for i, r := range records {
			now := start.Add(time.Duration(i) * Lifetime / 2)
			table.Add(now, r)
			isUncertain = isUncertain || r.IsUncertain || r.Origin != records[0].Origin
			got, ok := table.Get(now, 7)
			if !ok || got.IsUncertain != isUncertain || !isUncertain && got.Origin != records[0].Origin {
				t.Fatalf("after %+v: %+v, %v; want uncertain: %v", records[:i+1], got, ok, isUncertain)
			}
		}
	})
}

// Guards against a message that changes on its way, and against one that is damaged or too large and is applied.
func TestMessages(t *testing.T) {
	m := Message{
		Records: []Record{{Key: 1, Origin: version("v1")}, {Key: 1 << 63, Origin: version("")}, {Key: 3, IsUncertain: true}, {Key: 4, Origin: version("v1")}},
		Query:   7, Asked: []Key{5, 6}, Answers: 8,
	}
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeMessage(data)
	if err != nil || !slices.Equal(got.Records, m.Records) || !slices.Equal(got.Asked, m.Asked) || got.Query != 7 || got.Answers != 8 {
		t.Errorf("decoded %+v, error %v; want %+v", got, err, m)
	}
	tooLarge, err := Message{Asked: make([]Key, MaxRows+1)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, damaged := range [][]byte{nil, {0x80}, []byte("no message"), data[:len(data)-1], tooLarge} {
		if m, err := DecodeMessage(damaged); err == nil {
			t.Errorf("%x is decoded as %+v, want an error", damaged, m)
		}
	}
	one, err := Message{Records: m.Records[:1]}.Encode()
	if err != nil || len(one) > 32 {
		t.Errorf("the announcement of one origin takes %d bytes, error %v; want at most 32", len(one), err)
	}
}
