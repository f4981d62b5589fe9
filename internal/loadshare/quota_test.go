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

func newTestQuotas(name string) *quotas.Quotas {
	q := quotas.New(name, quota.Options{Window: time.Minute, ClaimTTL: time.Minute}, metrics.NewRegistry())
	q.SetWorkspaces([]workspace.Workspace{{Name: "w", Quota: workspace.Quota{PerSecond: 1e-6, Burst: 100}}})
	return q
}

func newSharerWithQuotas(t *testing.T, self fleet.Peer, q *quotas.Quotas) *Share {
	t.Helper()
	s, err := New(Options{
		Addr: "127.0.0.1:0", Self: self, Domain: "d", View: fleetview.New(fleet.Options{Self: self, PeerTTL: PeerTTL}), Quotas: q, Quarantine: &fakeQuarantine{},
		Detours: func() bool { return false }, Log: hclog.NewNullLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Requests that one gateway admits are missing from the bucket of another, and a refund returns there too.
func TestGatewaysExchangeAdmissions(t *testing.T) {
	quotasA, quotasB := newTestQuotas("a"), newTestQuotas("b")
	a, b := newSharerWithQuotas(t, "a", quotasA), newSharerWithQuotas(t, "b", quotasB)
	b.AddPeer(a.Addr().String(), "", 0)
	a.AddPeer(b.Addr().String(), "", 0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- b.Run(ctx) }()
	full, _ := quotasB.Usage("w")
	for range 5 {
		quotasA.Admit("w")
	}
	quotasA.Refund("w")
	for u, _ := quotasB.Usage("w"); math.Abs(full.Tokens-u.Tokens-4) > 0.1; u, _ = quotasB.Usage("w") {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// fakeQuotas reports which peers are dropped.
type fakeQuotas struct{ removed chan string }

func (fakeQuotas) Report() quota.Report       { return quota.Report{} }
func (fakeQuotas) Apply(string, quota.Report) {}
func (fakeQuotas) AddPeer(string)             {}
func (q fakeQuotas) Forget(addr string)       { q.removed <- addr }

// Guards against refusals after a process was killed: its host refuses connections, so its share of the
// quotas goes to the other gateways. A silent peer whose process is live keeps its share.
func TestStoppedPeerIsRemovedFromQuotas(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	q := fakeQuotas{removed: make(chan string, 10)}
	s.quotas = q
	live, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer live.Close()
	stopped, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addrs := []netip.AddrPort{netip.MustParseAddrPort(live.Addr().String()), netip.MustParseAddrPort(stopped.Addr().String())}
	if err := stopped.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	refreshTimer := sleep.NewTimer(0)
	defer refreshTimer.Stop()
	for seq, isRemoved := uint64(1), false; !isRemoved; seq++ {
		select {
		case got := <-q.removed:
			if got != addrs[1].String() {
				t.Errorf("%s is considered stopped", got)
			}
			isRemoved = true
		case <-refreshTimer.C: // on a starved machine both peers may have been silent for too long to be probed
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
