package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// What is kept of the peers beside their last words, so that a report costs little among many, is always what the words themselves
// say: who has batch items where, the sums of loads, and nobody who has been silent for longer than a word counts. So are the targets at
// which this gateway has items.
func TestWhatIsKeptOfPeersAgreesWithTheirWords(t *testing.T) {
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
		checkKept(t, f, now, step)
	}
}

func checkKept(t *testing.T, f *Fleet, now time.Time, step int) {
	t.Helper()
	f.expire(now)
	for name, p := range f.peers {
		if now.Sub(p.at) > f.opts.PeerTTL {
			t.Fatalf("step %d: peer %s counts, silent for %v", step, name, now.Sub(p.at))
		}
	}
	for id := range f.holding {
		if f.nodes[id] == nil {
			t.Fatalf("step %d: target %s, which is gone, is said to have items of this gateway", step, id)
		}
	}
	for id, n := range f.nodes {
		if got, want := f.holding[id] == n, n.own.Batch > 0; got != want {
			t.Fatalf("step %d: target %s has %d items of this gateway, kept: %v", step, id, n.own.Batch, got)
		}
		var sum Load
		holders := 0
		for name, p := range f.peers {
			sum.plus(p.Loads[id])
			if items := p.Loads[id].Batch; items != n.batchOf[name] {
				t.Fatalf("step %d: peer %s has %d items at %s, %d are kept", step, name, items, id, n.batchOf[name])
			} else if items > 0 {
				holders++
			}
		}
		if sum != n.peers || holders != len(n.batchOf) {
			t.Fatalf("step %d: target %s has %+v of %d holders, %+v of %d are kept", step, id, sum, holders, n.peers, len(n.batchOf))
		}
	}
}

// Guards against peers that count as gone although others still hear them, and against loads of peers that are known to be idle.
func TestSignsOfLifeThatOthersPassOn(t *testing.T) {
	const ttl = time.Second
	f := New(Options{Self: "self", PeerTTL: ttl})
	f.Put(serving.Target{ID: "t", Service: "s", Slots: 1})
	now := time.UnixMilli(0)
	hasRoom := func() bool {
		_, ok := f.PickBatch(now, "s", nil)
		return ok
	}
	f.ApplyReport(now, "peer", Report{Loads: map[string]Load{"t": {Online: 1}}})
	now = now.Add(800 * time.Millisecond)
	f.NoteSign(now, "peer", Sign{Heard: now.Add(-100 * time.Millisecond)})
	now = now.Add(800 * time.Millisecond)
	if hasRoom() || f.Peers(now) != 1 {
		t.Error("a peer that others hear counts as gone")
	}
	now = now.Add(200 * time.Millisecond)
	if !hasRoom() || f.Peers(now) != 0 {
		t.Error("a peer counts for longer than since it was heard")
	}
	f.ApplyReport(now, "peer", Report{Loads: map[string]Load{"t": {Online: 1}}})
	f.NoteSign(now, "peer", Sign{Heard: now, IsIdle: true})
	if !hasRoom() || f.Peers(now) != 1 {
		t.Error("the loads of a peer that is idle count")
	}
	f.NoteSign(now, "new", Sign{Heard: now.Add(-ttl / 2), Contact: now})
	f.NoteSign(now, "old", Sign{Heard: now.Add(-2 * ttl)})
	if n := f.Peers(now); n != 2 {
		t.Errorf("%d peers, want the known one and the new one", n)
	}
	now = now.Add(ttl/2 + time.Millisecond)
	if n := f.Peers(now); n != 1 {
		t.Errorf("%d peers once the new one has been silent for too long", n)
	}
	if !f.StoreDownForAll(now) {
		t.Error("a peer that is gone counts as one that reaches the store")
	}
}
