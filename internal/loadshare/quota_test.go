package loadshare

import (
	"context"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/fleet"
	"arbutusramp/core/quota"
	"arbutusramp/core/sleep"
	"arbutusramp/core/workspace"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/quotas"
)

// newTestQuotas returns the quotas of a gateway for workspace w: a bucket of 100 requests that refills with
// 1e-6 requests a second, so hardly at all during a test.
func newTestQuotas(name string) *quotas.Quotas {
	q := quotas.New(name, quota.Options{Window: time.Minute, PeerShareTTL: time.Minute}, metrics.NewRegistry())
	q.SetWorkspaces([]workspace.Workspace{{Name: "w", Quota: workspace.Quota{PerSecond: 1e-6, Burst: 100}}})
	return q
}

// newSharerWithQuotas returns a gateway named self that uses q and does not run yet.
func newSharerWithQuotas(t *testing.T, self fleet.Peer, q *quotas.Quotas) *Sharer {
	t.Helper()
	s, err := New(Options{
		Addr: "127.0.0.1:0", Self: self, Domain: "d", View: fleetview.New(fleet.Options{Self: self, PeerTTL: PeerTTL}), Quotas: q, Quarantine: &fakeQuarantine{},
		HasLostStore: func() bool { return false }, Log: hclog.NewNullLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against quotas that each gateway applies by itself: the requests that one gateway admits are taken
// out of the bucket of another, and a refund is added there too. The loop ends once the bucket of b has lost 4
// tokens: 5 requests less 1 refund.
func TestGatewaysExchangeAdmissions(t *testing.T) {
	quotasA, quotasB := newTestQuotas("a"), newTestQuotas("b")
	a, b := newSharerWithQuotas(t, "a", quotasA), newSharerWithQuotas(t, "b", quotasB)
	b.AddPeer(a.Addr().String(), "", 0)
	a.AddPeer(b.Addr().String(), "", 0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- b.Run(ctx) }()
	usageBefore, _ := quotasB.Usage("w")
	for range 5 {
		quotasA.Admit("w")
	}
	quotasA.Refund("w")
	for usage, _ := quotasB.Usage("w"); math.Abs(usageBefore.Tokens-usage.Tokens-4) > 0.1; usage, _ = quotasB.Usage("w") {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// fakeQuotas sends the addresses of dropped peers to a channel and ignores all other calls.
type fakeQuotas struct{ removed chan string }

func (fakeQuotas) Report() quota.Report             { return quota.Report{} }
func (fakeQuotas) ApplyReport(string, quota.Report) {}
func (fakeQuotas) AddPeer(string)                   {}
func (q fakeQuotas) RemovePeer(addr string)         { q.removed <- addr }

// Guards against quotas that a killed process keeps, so that others refuse requests: its host refuses
// connections, which shows that it has stopped. A silent peer whose process is live must keep its share of
// the quotas.
func TestStoppedPeerIsRemovedFromQuotas(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	q := fakeQuotas{removed: make(chan string, 10)}
	s.quotas = q
	liveListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer liveListener.Close()
	stoppedListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addrs := []netip.AddrPort{netip.MustParseAddrPort(liveListener.Addr().String()), netip.MustParseAddrPort(stoppedListener.Addr().String())}
	if err := stoppedListener.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	refreshTimer := sleep.NewTimer(0)
	defer refreshTimer.Stop()
	for seq, isRemoved := uint64(1), false; !isRemoved; seq++ {
		select {
		case addr := <-q.removed:
			if addr != addrs[1].String() {
				t.Errorf("peer %s was removed from the quotas, want only the peer that has stopped", addr)
			}
			isRemoved = true
		case <-refreshTimer.C: // on a slow machine both peers may have been silent for longer than silentAfter, so that neither is probed
			for _, ap := range addrs {
				s.noteReport(ap, report{From: fleet.Peer(ap.String()), Seq: seq})
			}
			refreshTimer.Reset(time.Second)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
