package loadshare

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
)

func newShare(t *testing.T, self fleet.Peer) (*Share, *fleetview.View) {
	t.Helper()
	v := fleetview.New(fleet.Options{Self: self, PeerTTL: PeerTTL})
	v.Put([]serving.Target{{ID: "t", Service: "s", Slots: 1}}, nil)
	s, err := New("127.0.0.1:0", self, v, func() bool { return false }, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	return s, v
}

// One gateway's request takes the only slot; another's batch item then finds no room.
func TestGatewaysHearOfEachOthersLoads(t *testing.T) {
	a, viewA := newShare(t, "a")
	b, viewB := newShare(t, "b")
	b.Meet(a.Addr().String()) // a learns of b by its reports
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 2)
	go func() { over <- a.Run(ctx) }()
	go func() { over <- b.Run(ctx) }()
	r, ok := viewA.StartOnline("s", nil)
	if !ok {
		t.Fatal("no target")
	}
	await(t, viewB, false)
	r.Done()
	await(t, viewB, true)
	cancel()
	for range 2 {
		if err := <-over; err != nil {
			t.Error(err)
		}
	}
}

// await waits until a batch item finds room, or none.
func await(t *testing.T, v *fleetview.View, room bool) {
	t.Helper()
	for {
		r, ok := v.StartBatch("s", 0, nil, func() {})
		if ok {
			r.Done()
		}
		if ok == room {
			return
		}
		<-v.Freed()
	}
}

func TestReportsOutOfOrderAreLeftOut(t *testing.T) {
	s, v := newShare(t, "a")
	defer s.conn.Close()
	from := netip.MustParseAddrPort("127.0.0.1:9")
	tell := func(name fleet.Peer, seq uint64, online int) {
		data, err := cbor.Marshal(report{From: name, Seq: seq, Loads: []line{{Target: "t", Online: online}}})
		if err != nil {
			t.Fatal(err)
		}
		s.take(data, from)
	}
	room := func() bool {
		r, ok := v.StartBatch("s", 0, nil, func() {})
		if ok {
			r.Done()
		}
		return ok
	}
	tell("b", 5, 1)
	tell("b", 4, 0)
	if room() {
		t.Error("an older report replaced a newer one")
	}
	tell("b", 6, 0)
	if !room() {
		t.Error("a newer report changed nothing")
	}
	tell("b", 7, 1)
	tell("b-restarted", 1, 0)
	if room() {
		t.Error("the old process's load must count until it lapses: its requests may still run")
	}
	s.take([]byte("garbage"), from)
}

func TestSilentPeersAreSentToRarelyAndThenNotAtAll(t *testing.T) {
	s, _ := newShare(t, "a")
	defer s.conn.Close()
	s.Meet("127.0.0.1:9")
	s.Meet(s.Addr().String())
	s.Meet("nonsense")
	now := time.Now()
	if n := len(s.due(now)); n != 1 {
		t.Errorf("%d peers are due, want the other one", n)
	}
	quiet := now.Add(quietAfter + time.Second)
	if len(s.due(quiet)) != 1 || len(s.due(quiet.Add(quietGap/2))) != 0 || len(s.due(quiet.Add(2*quietGap))) != 1 {
		t.Error("a silent peer is not sent to once in quietGap")
	}
	if len(s.due(now.Add(2*forgetAfter))) != 0 || s.Peers() != 0 {
		t.Error("a peer that is silent for good is not forgotten")
	}
}

// A peer is of use for reaching the store only if it is live, has reached the store itself a moment ago, and has not
// lost its own way since.
func TestReachingNamesPeersThatReachTheStoreThemselves(t *testing.T) {
	s, _ := newShare(t, "self")
	defer s.conn.Close()
	reports := map[string]report{
		"127.0.0.1:1": {From: "fresh", Seq: 1, ContactAge: 10},
		"127.0.0.1:2": {From: "stale", Seq: 1, ContactAge: reachedWithin.Milliseconds() + 10},
		"127.0.0.1:3": {From: "detours", Seq: 1, ContactAge: 10, Detours: true},
		"127.0.0.1:4": {From: "silent", Seq: 1, ContactAge: 10},
	}
	for addr, r := range reports {
		s.heard(netip.MustParseAddrPort(addr), r)
	}
	s.Meet("127.0.0.1:5") // known by its address alone
	s.peers[netip.MustParseAddrPort("127.0.0.1:4")].heard = time.Now().Add(-2 * PeerTTL)
	if got := s.Reaching(); len(got) != 1 || got[0] != "127.0.0.1:1" {
		t.Errorf("reaching %v", got)
	}
}
