package fanout

import (
	"net/netip"
	"testing"
	"time"
)

// testAddr returns an address that differs for each i below 65536.
func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// testMembers returns n members of domain 1. The i-th of them has IsLive set if isLive(i) is true.
func testMembers(n int, isLive func(i int) bool) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{Addr: testAddr(i), Domain: 1, IsLive: isLive(i)})
	}
	return members
}

// Guards against gateways that select different hubs because they list the same members in another order: more
// than two gateways of a domain would then act as hubs.
func TestAllGatewaysSelectSameHubs(t *testing.T) {
	members := testMembers(111, func(int) bool { return true })
	hubs, unconfirmed := Hubs(members)
	if len(hubs) != hubsPerDomain || len(unconfirmed) != 0 {
		t.Fatalf("%d hubs and %d unconfirmed members, want 2 hubs and no unconfirmed member", len(hubs), len(unconfirmed))
	}
	var reversed []Member
	for i := range members {
		reversed = append(reversed, members[len(members)-1-i])
	}
	if reversedHubs, _ := Hubs(reversed); reversedHubs[0] != hubs[0] || reversedHubs[1] != hubs[1] {
		t.Errorf("hubs %v, but %v for the same members in reverse order, want the same", hubs, reversedHubs)
	}
	withoutFirst := testMembers(111, func(i int) bool { return testAddr(i) != hubs[0] })
	nextHubs, unconfirmed := Hubs(withoutFirst)
	if nextHubs[0] != hubs[1] || len(unconfirmed) != 1 || unconfirmed[0] != hubs[0] {
		t.Errorf("with a silent first hub: hubs %v, unconfirmed members %v, want the second hub first and only the silent one unconfirmed", nextHubs, unconfirmed)
	}
}

// Guards against an order in which gateways with little processor time come first and are assigned the work
// of hubs and other tasks. 20 of the 60 gateways have 8 tenths of a core, the others 1 tenth.
func TestGatewaysWithMoreCapacityRankFirst(t *testing.T) {
	members := testMembers(60, func(int) bool { return true })
	for i := range members {
		members[i].Capacity = CapacityFromCores(0.144)
		if i%3 == 0 {
			members[i].Capacity = CapacityFromCores(0.8)
		}
	}
	hubs, _ := Hubs(members)
	ranks := make(map[int]bool)
	for i, m := range members {
		others := append(append([]Member(nil), members[:i]...), members[i+1:]...)
		rank := Rank(m, others)
		ranks[rank] = true
		if isLarge := i%3 == 0; isLarge != (rank < 20) {
			t.Errorf("a gateway with %d tenths of a core has rank %d, want ranks below 20 for 8 tenths and from 20 for 1 tenth", m.Capacity, rank)
		}
		if m.Addr == hubs[0] && i%3 != 0 {
			t.Error("the first hub has 1 tenth of a core, want one with 8 tenths")
		}
	}
	if len(ranks) != len(members) {
		t.Errorf("%d different ranks for %d gateways, want one for each gateway", len(ranks), len(members))
	}
	if CapacityFromCores(1000) != 255 || CapacityFromCores(-1) != 0 {
		t.Error("the capacities of 1000 and -1 cores are out of range, want 255 and 0")
	}
}

// Guards against branches that leave a receiver out or contain it twice, and against a gateway that sends to
// more than 20 others: the square root of 400, the largest number of receivers in this test.
func TestBranchesReachEachReceiverOnce(t *testing.T) {
	for _, n := range []int{0, 1, maxFlatReceivers, maxFlatReceivers + 1, 110, 400} {
		var receivers []netip.AddrPort
		for i := range n {
			receivers = append(receivers, testAddr(i+1))
		}
		reached := make(map[netip.AddrPort]int)
		branches := Branches(testAddr(0), receivers)
		for _, b := range branches {
			reached[b.Parent]++
			for _, r := range b.Children {
				reached[r]++
			}
			if len(b.Children) > 20 {
				t.Errorf("%d receivers: one gateway forwards to %d others, want at most 20", n, len(b.Children))
			}
		}
		if len(reached) != n || len(branches) > max(maxFlatReceivers, 20) {
			t.Errorf("%d receivers: %d reached through %d branches, want all reached through at most 20", n, len(reached), len(branches))
		}
		for r, times := range reached {
			if times != 1 {
				t.Errorf("receiver %v is reached %d times, want once", r, times)
			}
		}
	}
}

// newCountTable returns a table whose reports are numbers and which drops a gateway after more than one second
// of silence. Numbers of one gateway that are not forwarded yet are added up.
func newCountTable() *Table[int] {
	return NewTable(time.Second, func(undelivered, next int) int { return undelivered + next })
}

// Guards against a hub that forwards a report which is not newer than the stored one, or which repeats that its
// gateway is idle, and against one that loses the content of a report when a newer one arrives before the next
// batch.
func TestTableReturnsOnlyNewReports(t *testing.T) {
	now := time.Unix(0, 0)
	report := func(seq uint64, isIdle bool, n int) Entry[int] {
		return Entry[int]{ID: 1, Domain: 2, Seq: seq, LastSeen: now, IsIdle: isIdle, Report: n}
	}
	table := newCountTable()
	for _, step := range []struct {
		name         string
		put          Entry[int]
		isForwardDue bool
		want         []int
	}{
		{"a first idle report is not forwarded", report(1, true, 0), true, nil},
		{"a report with content", report(2, false, 5), true, []int{5}},
		{"the same report again", report(2, false, 5), true, nil},
		{"an older report", report(1, false, 9), true, nil},
		{"a report that another hub forwards", report(3, false, 6), false, nil},
		{"idle again", report(4, true, 0), true, []int{0}},
		{"still idle", report(5, true, 0), true, nil},
	} {
		table.Put(step.put, step.isForwardDue)
		var got []int
		for _, e := range table.TakeChanges() {
			got = append(got, e.Report)
		}
		if len(got) != len(step.want) || len(got) > 0 && got[0] != step.want[0] {
			t.Errorf("%s: the reports to forward are %v, want %v", step.name, got, step.want)
		}
	}
	table.Put(report(6, false, 1), true)
	table.Put(report(7, false, 2), false)
	if entries := table.TakeChanges(); len(entries) != 1 || entries[0].Report != 3 || entries[0].Seq != 7 {
		t.Errorf("two reports before the next batch are forwarded as %+v, want one entry with sequence number 7 and report 3", entries)
	}
}

// Guards against gateways that stay in the table after a silence of more than one second, and against
// heartbeats of idle gateways that do not clear the stored report, or that clear a report newer than the
// heartbeat.
func TestTableDropsSilentGateways(t *testing.T) {
	now := time.Unix(0, 0)
	table := newCountTable()
	table.Put(Entry[int]{ID: 1, Seq: 3, LastSeen: now, Report: 4}, true)
	table.PutHeartbeat(Entry[int]{ID: 1, Seq: 2, LastSeen: now.Add(500 * time.Millisecond), IsIdle: true})
	table.PutHeartbeat(Entry[int]{ID: 2, LastSeen: now, HasStopped: true})
	if entries := table.TakeHeartbeats(); len(entries) != 2 || len(table.TakeHeartbeats()) != 0 {
		t.Errorf("the first call of TakeHeartbeats returns %+v, want 2 heartbeats; the second call must return none", entries)
	}
	now = now.Add(1200 * time.Millisecond)
	entries := table.PruneAndList(now, 0)
	if len(entries) != 1 || entries[0].ID != 1 || entries[0].IsIdle || entries[0].Report != 4 {
		t.Errorf("live entries %+v, want only gateway 1, not idle, with report 4", entries)
	}
	table.MarkStopped(1)
	if entries := table.PruneAndList(now, 0); !entries[0].HasStopped {
		t.Error("HasStopped is false for a gateway that was marked as stopped, want true")
	}
	table.PutHeartbeat(Entry[int]{ID: 1, Seq: 4, LastSeen: now, IsIdle: true})
	if entries := table.PruneAndList(now, 0); !entries[0].IsIdle || entries[0].Report != 0 || entries[0].HasStopped {
		t.Errorf("live entries %+v, want gateway 1 idle, not stopped and with report 0", entries)
	}
	if entries := table.PruneAndList(now.Add(time.Minute), 0); len(entries) != 0 || table.Len() != 0 {
		t.Errorf("PruneAndList returns %d gateways after a minute of silence, want 0 and a table of length 0", len(entries))
	}
}
