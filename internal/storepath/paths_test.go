package storepath

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/standin/keyedlog"
)

var testPartition = platform.Partition{Topic: "keyed.t"}

// host holds the paths of one process to a store, with one peer.
type host struct {
	store      *keyedlog.Store
	direct     *keyedlog.View
	peer       *keyedlog.View
	paths      *Paths
	knownPeers []string // the addresses that PeersWithStore returns
}

// PeersWithStore implements Peers.
func (h *host) PeersWithStore() []string { return append([]string(nil), h.knownPeers...) }

func newHost() *host {
	h := &host{store: keyedlog.New(2), knownPeers: []string{"peer"}}
	h.direct, h.peer = h.store.View(), h.store.View()
	h.paths = New(h.direct, h, hclog.NewNullLogger(), metrics.NewRegistry())
	h.paths.dial = func(string) platform.Store { return h.peer }
	return h
}

// loseDirectPath makes the store refuse the host until the direct path counts as lost.
func (h *host) loseDirectPath(t *testing.T) {
	t.Helper()
	h.direct.Set(keyedlog.Faults{Refuse: true})
	for range maxUnansweredCalls {
		if _, err := h.paths.Append(t.Context(), newWrite("a")); err != nil {
			t.Fatal(err)
		}
	}
	if !h.paths.Lost() {
		t.Error("the direct path counts as good")
	}
}

func newWrite(key string) platform.Append {
	return platform.Append{Partition: testPartition, Records: []platform.KeyedRecord{{Key: key, Value: []byte{1}}}}
}

// newConditionalWrite returns a write on condition that the partition is empty.
func newConditionalWrite(key string) platform.Append {
	a := newWrite(key)
	a.At = new(uint64)
	return a
}

// If one host loses the store, its gateway continues through a peer.
func TestStoreUnreachableDirectlyIsReachedThroughPeer(t *testing.T) {
	const afterHedge = hedgeDelay + 10*time.Millisecond
	cases := []struct {
		name   string
		faults keyedlog.Faults
		within time.Duration // for the first calls; once the direct path counts as lost, calls take no time
	}{
		{"refused", keyedlog.Faults{Refuse: true}, 0},
		{"silent", keyedlog.Faults{Silent: true}, afterHedge},
		{"writes late and unanswered", keyedlog.Faults{Late: 3 * time.Second}, afterHedge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost()
				h.direct.Set(c.faults)
				for i, within := range []time.Duration{c.within, c.within, 0} {
					start := time.Now()
					if _, err := h.paths.Append(t.Context(), newWrite("k")); err != nil || time.Since(start) > within {
						t.Errorf("write %d: %v after %v", i, err, time.Since(start))
					}
				}
				if !h.paths.Lost() {
					t.Error("the direct path counts as good")
				}
			})
		})
	}
}

func TestDirectPathIsUsedAgainOnceRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.loseDirectPath(t)
		h.direct.Set(keyedlog.Faults{})
		h.peer.Set(keyedlog.Faults{Refuse: true})
		time.Sleep(directProbeInterval)
		if _, err := h.paths.Append(t.Context(), newWrite("b")); err != nil || h.paths.Lost() {
			t.Errorf("%v, lost %v", err, h.paths.Lost())
		}
	})
}

// Guards against permanent use of peers: the call that probes the direct path is hedged at once and always
// cancelled.
func TestSlowDirectPathIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.loseDirectPath(t)
		h.direct.Set(keyedlog.Faults{Delay: hedgeDelay / 2})
		time.Sleep(directProbeInterval)
		if _, err := h.paths.Append(t.Context(), newWrite("b")); err != nil || h.paths.Lost() || h.paths.unansweredCalls != 0 {
			t.Errorf("%v, lost %v, %d unanswered calls", err, h.paths.Lost(), h.paths.unansweredCalls)
		}
	})
}

// A conditional write must not be sent on a second path while the first copy may still be executed: the
// second would be rejected because the first has moved the end, and the caller would mistake its own write
// for one of another writer.
func TestConditionalWriteUsesOnePathUntilOutcomeIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{LoseAnswers: true})
		a := newConditionalWrite("k")
		if _, err := h.paths.Append(t.Context(), a); !errs.Is(err, errs.AppendUnknown) {
			t.Errorf("write with a lost answer: %v", err)
		}
		h.direct.Set(keyedlog.Faults{Silent: true})
		if _, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition}); err != nil || !h.paths.Lost() {
			t.Fatalf("%v, lost %v", err, h.paths.Lost())
		}
		var moved *platform.EndMoved
		if _, err := h.paths.Append(t.Context(), a); !errors.As(err, &moved) || moved.End != 1 {
			t.Errorf("same write through the peer: %v", err)
		}
		if n := len(h.store.Records(testPartition)); n != 1 {
			t.Errorf("%d records", n)
		}
	})
}

// A refused write was not executed, so a conditional write may use another path at once.
func TestRefusedConditionalWriteIsSentThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{Refuse: true})
		a := newConditionalWrite("k")
		if done, err := h.paths.Append(t.Context(), a); err != nil || done.End != 1 {
			t.Errorf("%+v, %v", done, err)
		}
	})
}

// When the store is down for all, there is no other path: calls fail as they would without peers.
func TestCallsFailWhenStoreIsDownForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{Refuse: true})
		h.peer.Set(keyedlog.Faults{Refuse: true})
		for range 3 {
			if _, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition}); !errs.Is(err, errs.LogDown) {
				t.Errorf("%v", err)
			}
		}
		h.knownPeers = nil
		h.direct.Set(keyedlog.Faults{Silent: true})
		if _, err := h.paths.Join(t.Context(), platform.Membership{Group: "g", Member: "m", TTL: time.Second}); !errs.Is(err, errs.LogDown) {
			t.Errorf("%v", err)
		}
	})
}

// Guards against a false loss: all gateways count one read that the store has broken off as the loss of the
// store.
func TestOneBrokenReadKeepsDirectPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{Refuse: true})
		if _, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition}); err != nil || h.paths.Lost() {
			t.Errorf("%v, lost %v", err, h.paths.Lost())
		}
		h.direct.Set(keyedlog.Faults{})
		if _, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition}); err != nil || h.paths.unansweredCalls != 0 {
			t.Errorf("%v, %d unanswered calls still count", err, h.paths.unansweredCalls)
		}
	})
}

// Guards against doubled traffic: a large page is requested a second time because it takes longer than a
// small call.
func TestPageReadIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{Delay: time.Second})
		if _, err := h.paths.Newest(t.Context(), testPartition, ""); err != nil || h.paths.unansweredCalls != 0 {
			t.Errorf("%v, %d unanswered calls", err, h.paths.unansweredCalls)
		}
	})
}

// Guards against stale configuration: a read that waits for news stays on a path that is known to be lost.
func TestWaitingReadLeavesLostDirectPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{Silent: true})
		start := time.Now()
		took := make(chan time.Duration)
		go func() {
			_, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition})
			if err != nil {
				t.Error(err)
			}
			took <- time.Since(start)
		}()
		for range maxUnansweredCalls {
			if _, err := h.paths.Append(t.Context(), newWrite("k")); err != nil {
				t.Error(err)
			}
		}
		if got := <-took; got > maxUnansweredCalls*hedgeDelay+10*time.Millisecond {
			t.Errorf("the read took %v", got)
		}
	})
}

func TestWaitingReadIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		start := time.Now()
		const wait = time.Second
		if page, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition, Wait: wait}); err != nil || len(page.Records) > 0 {
			t.Errorf("%+v %v", page, err)
		}
		if h.paths.Lost() || time.Since(start) != wait {
			t.Errorf("lost %v after %v", h.paths.Lost(), time.Since(start))
		}
	})
}

// A call that its caller cancels early must not make the direct path count as lost.
func TestCancelledCallDoesNotCountAgainstDirectPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.knownPeers = nil
		h.direct.Set(keyedlog.Faults{Delay: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := h.paths.Read(ctx, platform.Read{Partition: testPartition}); err == nil {
			t.Error("no error")
		}
		if h.paths.Lost() {
			t.Error("the direct path counts as lost")
		}
	})
}

// Guards against the loss of a lease: a join hangs on a lost path until the lease has expired.
func TestLeaseIsRenewedThroughPeerInTime(t *testing.T) {
	const ttl = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		m := platform.Membership{Group: "g", Member: "m", Topics: []string{"s"}, TTL: ttl}
		other := m
		other.Member = "other"
		generation := uint64(0)
		for i := range 20 {
			if i == 3 {
				h.direct.Set(keyedlog.Faults{Silent: true})
			}
			m.Generation = generation
			a, err := h.paths.Join(t.Context(), m)
			if err != nil {
				t.Fatalf("join %d: %v", i, err)
			}
			other.Generation = generation
			if _, err := h.peer.Join(t.Context(), other); err != nil {
				t.Fatal(err)
			}
			if i > 2 && a.Generation != generation {
				t.Errorf("join %d: generation %d after %d", i, a.Generation, generation)
			}
			generation = a.Generation
			if i < 2 {
				generation = 0
			}
			sleep.For(t.Context(), ttl/3)
		}
	})
}
