package fanout

import (
	"net/netip"
	"testing"
	"time"
)

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func membersOf(n int, isHeard func(i int) bool) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{Addr: addrOf(i), Domain: 1, IsHeard: isHeard(i)})
	}
	return list
}

// Guards against gateways that report to hubs which others do not take for hubs.
func TestAllGatewaysHaveTheSameHubs(t *testing.T) {
	all := membersOf(111, func(int) bool { return true })
	hubs, listed := Hubs(all)
	if len(hubs) != hubsPerDomain || len(listed) != 0 {
		t.Fatalf("%d hubs, %d listed", len(hubs), len(listed))
	}
	var turned []Member
	for i := range all {
		turned = append(turned, all[len(all)-1-i])
	}
	if other, _ := Hubs(turned); other[0] != hubs[0] || other[1] != hubs[1] {
		t.Errorf("hubs %v and %v", hubs, other)
	}
	without := membersOf(111, func(i int) bool { return addrOf(i) != hubs[0] })
	next, listed := Hubs(without)
	if next[0] != hubs[1] || len(listed) != 1 || listed[0] != hubs[0] {
		t.Errorf("after the first has fallen silent the hubs are %v, listed before them %v", next, listed)
	}
}

// Guards against duties for all at the gateways with the least processor time.
func TestGatewaysWithMoreProcessorTimeGoFirst(t *testing.T) {
	all := membersOf(60, func(int) bool { return true })
	for i := range all {
		all[i].Capacity = CapacityOf(0.144)
		if i%3 == 0 {
			all[i].Capacity = CapacityOf(0.8)
		}
	}
	hubs, _ := Hubs(all)
	ranks := make(map[int]bool)
	for i, m := range all {
		others := append(append([]Member(nil), all[:i]...), all[i+1:]...)
		rank := Rank(m, others)
		ranks[rank] = true
		if isLarge := i%3 == 0; isLarge != (rank < 20) {
			t.Errorf("a gateway with %d tenths of a core has rank %d", m.Capacity, rank)
		}
		if m.Addr == hubs[0] && i%3 != 0 {
			t.Error("a small gateway is the first hub")
		}
	}
	if len(ranks) != len(all) {
		t.Errorf("%d ranks for %d gateways", len(ranks), len(all))
	}
	if CapacityOf(1000) != 255 || CapacityOf(-1) != 0 {
		t.Error("capacities are not bounded")
	}
}

// Each receiver is told once, and nobody tells more than the square root of all.
func TestBranchesReachAllOnce(t *testing.T) {
	for _, n := range []int{0, 1, flatReceivers, flatReceivers + 1, 110, 400} {
		var receivers []netip.AddrPort
		for i := range n {
			receivers = append(receivers, addrOf(i+1))
		}
		told := make(map[netip.AddrPort]int)
		branches := Branches(addrOf(0), receivers)
		for _, b := range branches {
			told[b.First]++
			for _, r := range b.Rest {
				told[r]++
			}
			if len(b.Rest) > 20 {
				t.Errorf("%d receivers: one passes on to %d", n, len(b.Rest))
			}
		}
		if len(told) != n || len(branches) > max(flatReceivers, 20) {
			t.Errorf("%d receivers: %d told, by %d branches", n, len(told), len(branches))
		}
		for r, times := range told {
			if times != 1 {
				t.Errorf("%v is told %d times", r, times)
			}
		}
	}
}

// counts are reports that hold a number; what was not passed on is added to the next one.
func newCounts() *Table[int] {
	return NewTable(time.Second, func(undelivered, next int) int { return undelivered + next })
}

func TestATablePassesOnWhatIsNew(t *testing.T) {
	now := time.Unix(0, 0)
	report := func(seq uint64, isIdle bool, n int) Origin[int] {
		return Origin[int]{ID: 1, Domain: 2, Seq: seq, Heard: now, IsIdle: isIdle, Report: n}
	}
	tb := newCounts()
	for _, step := range []struct {
		name       string
		put        Origin[int]
		isPassedOn bool
		want       []int
	}{
		{"an idle gateway is no news", report(1, true, 0), true, nil},
		{"news", report(2, false, 5), true, []int{5}},
		{"the same again", report(2, false, 5), true, nil},
		{"an older one", report(1, false, 9), true, nil},
		{"news that another hub passes on", report(3, false, 6), false, nil},
		{"idle again", report(4, true, 0), true, []int{0}},
		{"still idle", report(5, true, 0), true, nil},
	} {
		tb.Put(step.put, step.isPassedOn)
		var got []int
		for _, o := range tb.Changes() {
			got = append(got, o.Report)
		}
		if len(got) != len(step.want) || len(got) > 0 && got[0] != step.want[0] {
			t.Errorf("%s: passes on %v, want %v", step.name, got, step.want)
		}
	}
	tb.Put(report(6, false, 1), true)
	tb.Put(report(7, false, 2), false)
	if list := tb.Changes(); len(list) != 1 || list[0].Report != 3 || list[0].Seq != 7 {
		t.Errorf("two reports before the next batch are passed on as %+v", list)
	}
}

// Guards against gateways that live on in tables after they have gone, and against signs that bring back what is over.
func TestATableForgetsSilentGateways(t *testing.T) {
	now := time.Unix(0, 0)
	tb := newCounts()
	tb.Put(Origin[int]{ID: 1, Seq: 3, Heard: now, Report: 4}, true)
	tb.Vouch(Origin[int]{ID: 1, Seq: 2, Heard: now.Add(500 * time.Millisecond), IsIdle: true})
	tb.Vouch(Origin[int]{ID: 2, Heard: now, HasStopped: true})
	if list := tb.Vouched(); len(list) != 2 || len(tb.Vouched()) != 0 {
		t.Errorf("vouched for %+v", list)
	}
	now = now.Add(1200 * time.Millisecond)
	list := tb.Refresh(now, 0)
	if len(list) != 1 || list[0].ID != 1 || list[0].IsIdle || list[0].Report != 4 {
		t.Errorf("known %+v, want the report of the first gateway", list)
	}
	tb.Stop(1)
	if list := tb.Refresh(now, 0); !list[0].HasStopped {
		t.Error("a gateway that has stopped is told as if it lived")
	}
	tb.Vouch(Origin[int]{ID: 1, Seq: 4, Heard: now, IsIdle: true})
	if list := tb.Refresh(now, 0); !list[0].IsIdle || list[0].Report != 0 || list[0].HasStopped {
		t.Errorf("known %+v, want an idle gateway", list)
	}
	if list := tb.Refresh(now.Add(time.Minute), 0); len(list) != 0 || tb.Len() != 0 {
		t.Errorf("%d gateways after a minute", len(list))
	}
}
