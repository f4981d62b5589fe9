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

func newQuotas(name string) *quotas.Quotas {
	q := quotas.New(name, quota.Options{Window: time.Minute, ClaimTTL: time.Minute}, metrics.NewRegistry())
	q.SetWorkspaces([]workspace.Workspace{{Name: "w", Quota: workspace.Quota{PerSecond: 1e-6, Burst: 100}}})
	return q
}

func shareWith(t *testing.T, self fleet.Peer, q *quotas.Quotas) *Share {
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

// What one gateway admits is missing in the bucket of another, and what it gives back is there again.
func TestGatewaysHearOfEachOthersAdmissions(t *testing.T) {
	near, far := newQuotas("a"), newQuotas("b")
	a, b := shareWith(t, "a", near), shareWith(t, "b", far)
	b.AddPeer(a.Addr().String(), "", 0)
	a.AddPeer(b.Addr().String(), "", 0)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 2)
	go func() { over <- a.Run(ctx) }()
	go func() { over <- b.Run(ctx) }()
	full, _ := far.Usage("w")
	for range 5 {
		near.Admit("w")
	}
	near.Refund("w")
	for u, _ := far.Usage("w"); math.Abs(full.Tokens-u.Tokens-4) > 0.1; u, _ = far.Usage("w") {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	for range 2 {
		if err := <-over; err != nil {
			t.Error(err)
		}
	}
}

// fakeQuotas notes which peers are dropped.
type fakeQuotas struct{ forgotten chan string }

func (fakeQuotas) Report() quota.Report       { return quota.Report{} }
func (fakeQuotas) Apply(string, quota.Report) {}
func (fakeQuotas) AddPeer(string)             {}
func (q fakeQuotas) Forget(addr string)       { q.forgotten <- addr }

// Refusals after a process was killed: its host refuses connections, so that its part of the quotas falls to the others. That of a
// silent peer whose process lives stays with it.
func TestAStoppedPeerIsTold(t *testing.T) {
	s, _ := newShare(t, "self")
	q := fakeQuotas{forgotten: make(chan string, 10)}
	s.quotas = q
	alive, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer alive.Close()
	stopped, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addrs := []netip.AddrPort{netip.MustParseAddrPort(alive.Addr().String()), netip.MustParseAddrPort(stopped.Addr().String())}
	if err := stopped.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- s.Run(ctx) }()
	again := sleep.NewTimer(0)
	defer again.Stop()
	for seq, forgotten := uint64(1), false; !forgotten; seq++ {
		select {
		case got := <-q.forgotten:
			if got != addrs[1].String() {
				t.Errorf("%s is taken for stopped", got)
			}
			forgotten = true
		case <-again.C: // a process that was starved may take both for gone long ago
			for _, ap := range addrs {
				s.heard(ap, report{From: fleet.Peer(ap.String()), Seq: seq})
			}
			again.Reset(time.Second)
		}
	}
	cancel()
	if err := <-over; err != nil {
		t.Error(err)
	}
}
