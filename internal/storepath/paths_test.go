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

// host holds the paths of one process to a store. The process has one peer. It implements Peers.
type host struct {
	store      *keyedlog.Store
	direct     *keyedlog.View // the store as this process reaches it directly
	peer       *keyedlog.View // the store as the peer reaches it
	paths      *Paths
	knownPeers []string // the addresses that PeersWithStore returns
}

// PeersWithStore implements Peers.
func (h *host) PeersWithStore() []string { return append([]string(nil), h.knownPeers...) }

// newHost returns a host whose process and peer both reach an empty store.
func newHost() *host {
	h := &host{store: keyedlog.New(2), knownPeers: []string{"peer"}}
	h.direct, h.peer = h.store.View(), h.store.View()
	h.paths = New(h.direct, h, hclog.NewNullLogger(), metrics.NewRegistry())
	h.paths.makePeerStore = func(string) platform.Store { return h.peer }
	return h
}

// loseDirectPath makes the store fail all direct calls, and makes calls until the direct path counts as lost.
func (h *host) loseDirectPath(t *testing.T) {
	t.Helper()
	h.direct.Set(keyedlog.Faults{Refuse: true})
	for range maxUnansweredCalls {
		if _, err := h.paths.Append(t.Context(), newWrite("a")); err != nil {
			t.Fatal(err)
		}
	}
	if !h.paths.IsDirectLost() {
		t.Error("the direct path counts as good after maxUnansweredCalls failed calls, want lost")
	}
}

// newWrite returns a write of one record, without a condition.
func newWrite(key string) platform.Append {
	return platform.Append{Partition: testPartition, Records: []platform.KeyedRecord{{Key: key, Value: []byte{1}}}}
}

// newConditionalWrite returns a write of one record on condition that the partition is empty.
func newConditionalWrite(key string) platform.Append {
	write := newWrite(key)
	write.At = new(uint64)
	return write
}

// Guards against failed calls while one host cannot reach the store: its gateway must use the relay of a peer.
func TestStoreUnreachableDirectlyIsReachedThroughPeer(t *testing.T) {
	const hedgedCallTime = hedgeDelay + 10*time.Millisecond
	cases := []struct {
		name   string
		faults keyedlog.Faults
		within time.Duration // time limit of each of the first two calls; after them the direct path is lost
	}{
		{"refused", keyedlog.Faults{Refuse: true}, 0},
		{"silent", keyedlog.Faults{Silent: true}, hedgedCallTime},
		{"writes late and unanswered", keyedlog.Faults{Late: 3 * time.Second}, hedgedCallTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost()
				h.direct.Set(c.faults)
				for i, within := range []time.Duration{c.within, c.within, 0} {
					start := time.Now()
					if _, err := h.paths.Append(t.Context(), newWrite("k")); err != nil || time.Since(start) > within {
						t.Errorf("write %d: error %v after %v, want success, within hedgeDelay plus 10 ms if silent or late and before write 2, else at once", i, err, time.Since(start))
					}
				}
				if !h.paths.IsDirectLost() {
					t.Error("the direct path counts as good after three writes, want lost")
				}
			})
		})
	}
}

// Guards against permanent use of peers after the direct path is restored.
func TestDirectPathIsUsedAgainOnceRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.loseDirectPath(t)
		h.direct.Set(keyedlog.Faults{})
		h.peer.Set(keyedlog.Faults{Refuse: true})
		time.Sleep(directProbeInterval)
		if _, err := h.paths.Append(t.Context(), newWrite("b")); err != nil || h.paths.IsDirectLost() {
			t.Errorf("write after the direct path is restored: error %v, direct path lost %v, want neither", err, h.paths.IsDirectLost())
		}
	})
}

// Guards against permanent use of peers: if the call that probes a slow direct path is hedged at once, the copy
// through the peer is faster, and the probe is always cancelled.
func TestSlowDirectPathIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.loseDirectPath(t)
		h.direct.Set(keyedlog.Faults{Delay: hedgeDelay / 2})
		time.Sleep(directProbeInterval)
		if _, err := h.paths.Append(t.Context(), newWrite("b")); err != nil || h.paths.IsDirectLost() || h.paths.unansweredCalls != 0 {
			t.Errorf("write on a slow direct path: error %v, lost %v, %d unanswered calls, want success, lost false, 0", err, h.paths.IsDirectLost(), h.paths.unansweredCalls)
		}
	})
}

// A conditional write must not be sent on a second path while the first copy may still be executed. Otherwise
// the first copy moves the end of the partition, the second is rejected for that, and the caller assumes that
// another writer has written.
func TestConditionalWriteUsesOnePathUntilOutcomeIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{LoseAnswers: true})
		write := newConditionalWrite("k")
		if _, err := h.paths.Append(t.Context(), write); !errs.Is(err, errs.AppendUnknown) {
			t.Errorf("conditional write with a lost answer: error %v, want errs.AppendUnknown", err)
		}
		h.direct.Set(keyedlog.Faults{Silent: true})
		if _, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition}); err != nil || !h.paths.IsDirectLost() {
			t.Fatalf("read while the store is silent: error %v, direct path lost %v, want success and lost", err, h.paths.IsDirectLost())
		}
		var moved *platform.EndMoved
		if _, err := h.paths.Append(t.Context(), write); !errors.As(err, &moved) || moved.End != 1 {
			t.Errorf("same write through the peer: error %v, want platform.EndMoved with end 1", err)
		}
		if n := len(h.store.Records(testPartition)); n != 1 {
			t.Errorf("%d records are stored, want 1", n)
		}
	})
}

// A write that failed with errs.LogDown was not executed, so even a conditional one may use the other path at
// once.
func TestUnexecutedConditionalWriteIsSentThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{Refuse: true})
		write := newConditionalWrite("k")
		if appended, err := h.paths.Append(t.Context(), write); err != nil || appended.End != 1 {
			t.Errorf("conditional write through the peer: %+v, error %v, want end 1", appended, err)
		}
	})
}

// While the store is down for all gateways, a call fails with the same error as without peers.
func TestCallsFailWhenStoreIsDownForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{Refuse: true})
		h.peer.Set(keyedlog.Faults{Refuse: true})
		for range 3 {
			if _, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition}); !errs.Is(err, errs.LogDown) {
				t.Errorf("read while the store is down for all: error %v, want errs.LogDown", err)
			}
		}
		h.knownPeers = nil
		h.direct.Set(keyedlog.Faults{Silent: true})
		if _, err := h.paths.Join(t.Context(), platform.Membership{Group: "g", Member: "m", TTL: time.Second}); !errs.Is(err, errs.LogDown) {
			t.Errorf("join without a known peer while the store is silent: error %v, want errs.LogDown", err)
		}
	})
}

// Guards against a false loss: one read that the store breaks off must not make the direct path count as lost,
// since the store breaks off the reads of all gateways at the same moment.
func TestOneBrokenOffReadKeepsDirectPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{Refuse: true})
		if _, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition}); err != nil || h.paths.IsDirectLost() {
			t.Errorf("read that the store breaks off: error %v, direct path lost %v, want neither", err, h.paths.IsDirectLost())
		}
		h.direct.Set(keyedlog.Faults{})
		if _, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition}); err != nil || h.paths.unansweredCalls != 0 {
			t.Errorf("next read: error %v, %d unanswered calls still count, want success and 0", err, h.paths.unansweredCalls)
		}
	})
}

// Guards against doubled traffic: a large page is requested a second time, through a peer, because it takes
// longer than a small call.
func TestPageReadIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		h.direct.Set(keyedlog.Faults{Delay: time.Second})
		if _, err := h.paths.Newest(t.Context(), testPartition, ""); err != nil || h.paths.unansweredCalls != 0 {
			t.Errorf("page that takes 1 s: error %v, %d unanswered calls, want success and 0", err, h.paths.unansweredCalls)
		}
	})
}

// Guards against stale configuration: a read that waits for new records stays on the direct path although that
// is known to be lost.
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
		if readTime := <-took; readTime > maxUnansweredCalls*hedgeDelay+10*time.Millisecond {
			t.Errorf("the read took %v, want at most maxUnansweredCalls*hedgeDelay plus 10 ms", readTime)
		}
	})
}

// A read that waits longer than hedgeDelay for new records must not count as unanswered.
func TestWaitingReadIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		start := time.Now()
		const wait = time.Second
		if read, err := h.paths.Read(t.Context(), platform.Read{Partition: testPartition, Wait: wait}); err != nil || len(read.Records) > 0 {
			t.Errorf("read of an empty partition: %+v, error %v, want no records", read, err)
		}
		if h.paths.IsDirectLost() || time.Since(start) != wait {
			t.Errorf("direct path lost %v after a read of %v, want lost false after 1s", h.paths.IsDirectLost(), time.Since(start))
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
			t.Error("cancelled read returned no error")
		}
		if h.paths.IsDirectLost() {
			t.Error("the direct path counts as lost after a cancelled read, want good")
		}
	})
}

// Guards against the loss of a lease: the join that renews it hangs on a silent direct path until the lease has
// expired. A lost lease shows as a new generation of the group.
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
			assignment, err := h.paths.Join(t.Context(), m)
			if err != nil {
				t.Fatalf("join %d failed: %v", i, err)
			}
			other.Generation = generation
			if _, err := h.peer.Join(t.Context(), other); err != nil {
				t.Fatal(err)
			}
			if i > 2 && assignment.Generation != generation {
				t.Errorf("join %d returned generation %d, want %d as before", i, assignment.Generation, generation)
			}
			generation = assignment.Generation
			if i < 2 {
				generation = 0
			}
			sleep.For(t.Context(), ttl/3)
		}
	})
}
