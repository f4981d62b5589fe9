package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// Sums of loads, batch items by peer and the set of targets with batch items of this gateway are updated with
// each report and request, so that a report costs little with many gateways. After any sequence of changes
// they match the peers' last reports and this gateway's loads, and no expired peer counts.
func TestDerivedPeerStateMatchesReports(t *testing.T) {
	const peers, targets, steps = 9, 5, 4000
	rng := rand.New(rand.NewPCG(1, 2))
	f := New(Options{Self: "self", PeerTTL: time.Second})
	now := time.UnixMilli(0)
	target := func(i int) serving.Target { return serving.Target{ID: fmt.Sprint(i), Slots: 4} }
	for step := range steps {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		switch rng.IntN(8) {
		case 0:
			f.Put(target(rng.IntN(targets)))
		case 1:
			f.Remove(fmt.Sprint(rng.IntN(targets)))
		case 2:
			f.Preempt(now)
		case 3:
			f.Begin(now, fmt.Sprint(rng.IntN(targets)), structs.Class(rng.IntN(2)))
		case 4:
			f.End(now, fmt.Sprint(rng.IntN(targets)), structs.Class(rng.IntN(2)))
		default:
			loads := make(map[string]Load)
			for range rng.IntN(targets) {
				loads[fmt.Sprint(rng.IntN(targets))] = Load{Online: rng.IntN(3), Batch: rng.IntN(3)}
			}
			f.ApplyReport(now, Peer(fmt.Sprint(rng.IntN(peers))), Report{Loads: loads})
		}
		checkDerivedState(t, f, now, step)
	}
}

// checkDerivedState compares the derived state with the peers' last reports and this gateway's loads.
func checkDerivedState(t *testing.T, f *Fleet, now time.Time, step int) {
	t.Helper()
	f.expirePeers(now)
	for name, p := range f.peers {
		if now.Sub(p.lastSeen) > f.opts.PeerTTL {
			t.Fatalf("step %d: peer %s still counts after a silence of %v, want at most 1s", step, name, now.Sub(p.lastSeen))
		}
	}
	for id := range f.ownBatchTargets {
		if f.targets[id] == nil {
			t.Fatalf("step %d: removed target %s is in ownBatchTargets, want only listed targets there", step, id)
		}
	}
	for id, ts := range f.targets {
		if got, want := f.ownBatchTargets[id] == ts, ts.ownLoad.Batch > 0; got != want {
			t.Fatalf("step %d: target %s has %d batch items of this gateway, and whether it is in ownBatchTargets is %v, want true for more than 0 items and false for 0", step, id, ts.ownLoad.Batch, got)
		}
		var sum Load
		holders := 0
		for name, p := range f.peers {
			sum.addLoad(p.Loads[id])
			if items := p.Loads[id].Batch; items != ts.peerBatch[name] {
				t.Fatalf("step %d: peer %s has reported %d batch items at %s, but %d are recorded, want the reported number", step, name, items, id, ts.peerBatch[name])
			} else if items > 0 {
				holders++
			}
		}
		if sum != ts.peerLoad || holders != len(ts.peerBatch) {
			t.Fatalf("step %d: for target %s the reports add up to %+v with batch items of %d peers, but %+v of %d peers are recorded, want equal loads and numbers of peers", step, id, sum, holders, ts.peerLoad, len(ts.peerBatch))
		}
	}
}

// Guards against peers that expire although other gateways receive their reports and forward signs of life,
// and against loads that still count after their peer has become idle.
func TestForwardedSignsOfLifeKeepPeersLive(t *testing.T) {
	const ttl = time.Second
	f := New(Options{Self: "self", PeerTTL: ttl})
	f.Put(serving.Target{ID: "t", Service: "s", Slots: 1})
	now := time.UnixMilli(0)
	hasFreeSlot := func() bool {
		_, ok := f.PickBatch(now, Work{Service: "s"})
		return ok
	}
	f.ApplyReport(now, "peer", Report{Loads: map[string]Load{"t": {Online: 1}}})
	now = now.Add(800 * time.Millisecond)
	f.ApplyHeartbeat(now, "peer", Heartbeat{LastSeen: now.Add(-100 * time.Millisecond)})
	now = now.Add(800 * time.Millisecond)
	if hasFreeSlot() || f.LivePeerCount(now) != 1 {
		t.Error("within the time to live after a forwarded sign of life: want 1 live peer and its load in the only slot, but the peer has expired or the slot is free")
	}
	now = now.Add(200 * time.Millisecond)
	if !hasFreeSlot() || f.LivePeerCount(now) != 0 {
		t.Error("after the time to live since the last sign of life: want no live peer and a free slot, but the peer or its load still counts")
	}
	f.ApplyReport(now, "peer", Report{Loads: map[string]Load{"t": {Online: 1}}})
	f.ApplyHeartbeat(now, "peer", Heartbeat{LastSeen: now, IsIdle: true})
	if !hasFreeSlot() || f.LivePeerCount(now) != 1 {
		t.Error("after a sign of life of an idle peer: want 1 live peer and a free slot, but the peer has been dropped or its load still counts")
	}
	f.ApplyHeartbeat(now, "new", Heartbeat{LastSeen: now.Add(-ttl / 2), StoreContact: now})
	f.ApplyHeartbeat(now, "old", Heartbeat{LastSeen: now.Add(-2 * ttl)})
	if n := f.LivePeerCount(now); n != 2 {
		t.Errorf("%d live peers, want 2: the known one and the new one", n)
	}
	now = now.Add(ttl/2 + time.Millisecond)
	if n := f.LivePeerCount(now); n != 1 {
		t.Errorf("%d live peers after the expiry of the new one, want 1", n)
	}
	if !f.IsStoreDownForPeers(now) {
		t.Error("the store does not count as down for the peers, want down: the only peer that has reached it has expired")
	}
}
