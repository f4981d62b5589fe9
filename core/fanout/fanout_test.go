package fanout

import (
	"net/netip"
	"testing"
	"time"
)

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func testMembers(n int, isLive func(i int) bool) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{Addr: testAddr(i), Domain: 1, IsHeard: isLive(i)})
	}
	return list
}

// Guards against gateways that report to hubs which other gateways do not take for hubs.
func TestAllGatewaysSelectSameHubs(t *testing.T) {
	all := testMembers(111, func(int) bool { return true })
	hubs, listed := Hubs(all)
	if len(hubs) != hubsPerDomain || len(listed) != 0 {
		t.Fatalf("%d hubs, %d listed members", len(hubs), len(listed))
	}
	var reversed []Member
	for i := range all {
		reversed = append(reversed, all[len(all)-1-i])
	}
	if other, _ := Hubs(reversed); other[0] != hubs[0] || other[1] != hubs[1] {
		t.Errorf("hubs %v, and %v for the reversed list", hubs, other)
	}
	withoutFirst := testMembers(111, func(i int) bool { return testAddr(i) != hubs[0] })
	next, listed := Hubs(withoutFirst)
	if next[0] != hubs[1] || len(listed) != 1 || listed[0] != hubs[0] {
		t.Errorf("with a silent first hub the hubs are %v, the listed members %v", next, listed)
	}
}

// Guards against assigning all tasks to the gateways with the least processor time.
func TestGatewaysWithMoreCapacityRankFirst(t *testing.T) {
	all := testMembers(60, func(int) bool { return true })
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
			t.Error("a gateway with less processor time is the first hub")
		}
	}
	if len(ranks) != len(all) {
		t.Errorf("%d ranks for %d gateways", len(ranks), len(all))
	}
	if CapacityOf(1000) != 255 || CapacityOf(-1) != 0 {
		t.Error("CapacityOf does not limit its result")
	}
}

// Each receiver gets a batch once, and no gateway sends to more than about the square root of all receivers.
func TestBranchesReachEachReceiverOnce(t *testing.T) {
	for _, n := range []int{0, 1, maxFlatReceivers, maxFlatReceivers + 1, 110, 400} {
		var receivers []netip.AddrPort
		for i := range n {
			receivers = append(receivers, testAddr(i+1))
		}
		reached := make(map[netip.AddrPort]int)
		branches := Branches(testAddr(0), receivers)
		for _, b := range branches {
			reached[b.First]++
			for _, r := range b.Rest {
				reached[r]++
			}
			if len(b.Rest) > 20 {
				t.Errorf("%d receivers: one forwards to %d", n, len(b.Rest))
			}
		}
		if len(reached) != n || len(branches) > max(maxFlatReceivers, 20) {
			t.Errorf("%d receivers: %d reached, by %d branches", n, len(reached), len(branches))
		}
		for r, times := range reached {
			if times != 1 {
				t.Errorf("%v is reached %d times", r, times)
			}
		}
	}
}

// newCountTable returns a table of reports that hold a number. A number that was not forwarded is added to
// the next one.
func newCountTable() *Table[int] {
	return NewTable(time.Second, func(undelivered, next int) int { return undelivered + next })
}

func TestTableReturnsOnlyNewReports(t *testing.T) {
	now := time.Unix(0, 0)
	report := func(seq uint64, isIdle bool, n int) Origin[int] {
		return Origin[int]{ID: 1, Domain: 2, Seq: seq, Heard: now, IsIdle: isIdle, Report: n}
	}
	table := newCountTable()
	for _, step := range []struct {
		name        string
		put         Origin[int]
		isForwarded bool
		want        []int
	}{
		{"a first idle report is not forwarded", report(1, true, 0), true, nil},
		{"a report with content", report(2, false, 5), true, []int{5}},
		{"the same report again", report(2, false, 5), true, nil},
		{"an older report", report(1, false, 9), true, nil},
		{"a report that another hub forwards", report(3, false, 6), false, nil},
		{"idle again", report(4, true, 0), true, []int{0}},
		{"still idle", report(5, true, 0), true, nil},
	} {
		table.Put(step.put, step.isForwarded)
		var got []int
		for _, o := range table.Changes() {
			got = append(got, o.Report)
		}
		if len(got) != len(step.want) || len(got) > 0 && got[0] != step.want[0] {
			t.Errorf("%s: forwards %v, want %v", step.name, got, step.want)
		}
	}
	table.Put(report(6, false, 1), true)
	table.Put(report(7, false, 2), false)
	if list := table.Changes(); len(list) != 1 || list[0].Report != 3 || list[0].Seq != 7 {
		t.Errorf("two reports before the next batch are forwarded as %+v", list)
	}
}

// Guards against gateways that stay in the table after they have stopped, and against heartbeats that bring
// back a report that is no longer in effect.
func TestTableDropsSilentGateways(t *testing.T) {
	now := time.Unix(0, 0)
	table := newCountTable()
	table.Put(Origin[int]{ID: 1, Seq: 3, Heard: now, Report: 4}, true)
	table.Vouch(Origin[int]{ID: 1, Seq: 2, Heard: now.Add(500 * time.Millisecond), IsIdle: true})
	table.Vouch(Origin[int]{ID: 2, Heard: now, HasStopped: true})
	if list := table.Vouched(); len(list) != 2 || len(table.Vouched()) != 0 {
		t.Errorf("heartbeats of %+v", list)
	}
	now = now.Add(1200 * time.Millisecond)
	list := table.Refresh(now, 0)
	if len(list) != 1 || list[0].ID != 1 || list[0].IsIdle || list[0].Report != 4 {
		t.Errorf("live %+v, want the report of the first gateway", list)
	}
	table.Stop(1)
	if list := table.Refresh(now, 0); !list[0].HasStopped {
		t.Error("a stopped gateway is returned as live")
	}
	table.Vouch(Origin[int]{ID: 1, Seq: 4, Heard: now, IsIdle: true})
	if list := table.Refresh(now, 0); !list[0].IsIdle || list[0].Report != 0 || list[0].HasStopped {
		t.Errorf("live %+v, want an idle gateway", list)
	}
	if list := table.Refresh(now.Add(time.Minute), 0); len(list) != 0 || table.Len() != 0 {
		t.Errorf("%d gateways are left after a minute", len(list))
	}
}
