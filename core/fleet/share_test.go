package fleet

import (
	"testing"
	"time"

	"arbutusramp/core/fairshare"
)

// sharingFleet returns a fleet that divides 12 slots of three targets, whose requests hold a slot for 100 ms.
func sharingFleet(self Peer) *Fleet {
	f := New(Options{Domain: "d0", Self: self, PeerTTL: 700 * time.Millisecond, Sharing: &fairshare.Options{Window: 2 * time.Second}})
	for i := range 3 {
		f.Put(target(i))
	}
	f.RecordHoldTime("llm", 100*time.Millisecond)
	return f
}

// offer offers requests of a workspace for a time and returns the last decision.
func offer(f *Fleet, from time.Time, d time.Duration, workspace string, perSecond int) (last ShareDecision) {
	gap := time.Second / time.Duration(perSecond)
	for now := from; now.Before(from.Add(d)); now = now.Add(gap) {
		last = f.OfferOnline(now, Work{Service: "llm", Workspace: workspace}, 0, false)
	}
	return last
}

// Guards against reports and decisions that change although capacity is not divided, or for requests without a
// workspace.
func TestNothingIsDividedWithoutSettingOrWorkspace(t *testing.T) {
	off := testFleet("self", 3)
	off.RecordHoldTime("llm", 100*time.Millisecond)
	on := sharingFleet("self")
	for name, d := range map[string]ShareDecision{"off": offer(off, start, time.Second, "w", 500), "no workspace": offer(on, start, time.Second, "", 500)} {
		if d != (ShareDecision{}) {
			t.Errorf("%s: decision %+v, want none", name, d)
		}
	}
	for name, f := range map[string]*Fleet{"off": off, "no workspace": on} {
		if work := f.ServeWork(start, Work{Service: "llm"}); work != 0 {
			t.Errorf("%s: %v of work counted, want none", name, work)
		}
		if r := f.Report(start.Add(time.Second)); r.Usage != nil {
			t.Errorf("%s: usage %+v in the report, want none", name, r.Usage)
		}
	}
}

// Guards against shares of slots that can't serve requests: those of suspect and draining targets don't count.
func TestCapacityLeavesOutUnusableTargets(t *testing.T) {
	f := sharingFleet("self")
	offer(f, start, 2*time.Second, "a", 150)
	if d := offer(f, start.Add(2*time.Second), 20*time.Millisecond, "b", 100); d.Capacity != 12 || d.IsOverShare {
		t.Errorf("with three usable targets b has %+v, want a capacity of 12", d)
	}
	f.RecordFailure(start.Add(2*time.Second), "t0")
	draining := target(1)
	draining.IsDraining = true
	f.Put(draining)
	if d := offer(f, start.Add(2100*time.Millisecond), 20*time.Millisecond, "b", 100); d.Capacity != testSlots {
		t.Errorf("with a suspect and a draining target the capacity is %v, want %d", d.Capacity, testSlots)
	}
}

// Guards against a gateway that divides by its own requests only while peers are live, or by those of a peer that has
// expired.
func TestUsageOfPeersCountsUntilTheyExpire(t *testing.T) {
	f, peer := sharingFleet("self"), sharingFleet("peer")
	offer(peer, start, 2*time.Second, "a", 100) // 10 slots
	offer(f, start, 2*time.Second, "b", 80)     // 8 slots
	now := start.Add(2 * time.Second)
	f.ApplyReport(now, "peer", peer.Report(now))
	if d := offer(f, now, 10*time.Millisecond, "b", 100); !d.IsOverShare || d.Share < 5.8 || d.Share > 6.2 {
		t.Errorf("beside 10 slots at a peer b has %+v, want a share of 6 of 12", d)
	}
	f.ApplyReport(now.Add(100*time.Millisecond), "peer", Report{}) // without usage: unchanged
	if d := offer(f, now.Add(200*time.Millisecond), 10*time.Millisecond, "b", 100); !d.IsOverShare {
		t.Errorf("after a report without usage b has %+v, want the division unchanged", d)
	}
	offer(f, now, time.Second, "b", 80)
	if d := offer(f, now.Add(time.Second), 10*time.Millisecond, "b", 100); d.IsOverShare {
		t.Errorf("after the peer has expired b has %+v, want it within its share", d)
	}
}
