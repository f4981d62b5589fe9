package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"arbutusramp/core/fairshare"
)

var start = time.Unix(1000, 0)

// offerFor offers work at a rate in slots for a time, in steps of 10 ms, and serves a portion of it. It returns the
// time at its end.
func offerFor(l *fairshare.Ledger, from time.Time, d time.Duration, slots map[string]float64, servedPortion float64) time.Time {
	const step = 10 * time.Millisecond
	for end := from.Add(d); from.Before(end); from = from.Add(step) {
		for name, rate := range slots {
			l.Offer(from, "s", name, time.Duration(rate*float64(step)))
			l.Serve(from, "s", name, time.Duration(servedPortion*rate*float64(step)))
		}
	}
	return from
}

// Guards against a wrong division: workspaces below the level keep all they request, and the others share the rest by
// weight.
func TestDivision(t *testing.T) {
	weights := map[string]float64{"heavy": 3, "light": 0.5}
	for _, c := range []struct {
		name    string
		offered map[string]float64
		over    map[string]float64 // shares of the workspaces over their share
	}{
		{"all fits", map[string]float64{"a": 10, "b": 5}, nil},
		{"one alone", map[string]float64{"a": 30}, nil},
		{"one over", map[string]float64{"a": 27, "b": 1, "c": 2}, map[string]float64{"a": 13}},
		{"all over", map[string]float64{"a": 20, "b": 20}, map[string]float64{"a": 8, "b": 8}},
		{"weights", map[string]float64{"a": 20, "heavy": 20}, map[string]float64{"a": 4, "heavy": 12}},
		{"unused weight is lent", map[string]float64{"a": 20, "heavy": 2}, map[string]float64{"a": 14}},
		{"a low weight", map[string]float64{"a": 20, "light": 20}, map[string]float64{"a": 16 / 1.5, "light": 8 / 1.5}},
	} {
		l := fairshare.New(fairshare.Options{Window: 2 * time.Second, Weights: weights})
		now := offerFor(l, start, 3*time.Second, c.offered, 0.5)
		for name, offered := range c.offered {
			d := l.Decide(now, "s", name, 16)
			share, isOver := c.over[name]
			if d.IsOverShare != isOver || isOver && !isNear(d.Share, share) || !isNear(d.Offered, offered) || !isNear(d.Use, offered/2) {
				t.Errorf("%s: %s, which offers %v, has %+v, want over its share %v of %.2f", c.name, name, offered, d, isOver, share)
			}
		}
	}
}

// isNear reports whether two rates differ by less than a twentieth.
func isNear(a, b float64) bool { return a > 0.95*b && a < 1.05*b }

// Guards against shares that add up to more or less than the capacity, for random demands, weights and peers.
func TestSharesAddUpToTheCapacity(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		weights, offered := make(map[string]float64), make(map[string]float64)
		total := 0.0
		for i := range 2 + rng.IntN(30) {
			name := fmt.Sprint("w", i)
			weights[name], offered[name] = 0.01+10*rng.Float64(), 5*rng.Float64()
			total += offered[name]
		}
		l := fairshare.New(fairshare.Options{Window: time.Second, Weights: weights})
		for name, rate := range offered {
			l.Offer(start.Add(time.Second), "s", name, time.Duration(0.3*rate*float64(time.Second)))
			l.ApplyReport(start.Add(time.Second), "peer-"+name, []fairshare.Usage{{Service: "s", Workspace: fairshare.IDOf(name), Offered: rate}})
		}
		now := start.Add(time.Second + time.Millisecond)
		capacity := total * rng.Float64()
		sum, want := 0.0, 0.0
		for name := range offered {
			d := l.Decide(now, "s", name, capacity)
			sum += min(d.Share, d.Offered)
			want += d.Offered
		}
		if want = min(want, capacity); !isNear(sum, want) {
			t.Errorf("seed %d: the shares add up to %.3f, want %.3f", seed, sum, want)
		}
	}
}

// Guards against debt that is older than the window: after a window without work nothing of a workspace's use counts.
func TestUseEndsWithTheWindow(t *testing.T) {
	l := fairshare.New(fairshare.Options{Window: 2 * time.Second})
	now := offerFor(l, start, 4*time.Second, map[string]float64{"a": 30, "b": 3}, 1)
	if d := l.Decide(now, "s", "a", 16); !d.IsOverShare || !d.IsUsedUp {
		t.Fatalf("a workspace that offers and uses 30 of 16 slots has %+v, want it over its used-up share", d)
	}
	now = offerFor(l, now, 2*time.Second, map[string]float64{"b": 3}, 1)
	if d := l.Decide(now, "s", "a", 16); d.Use > 0 || d.Offered > 0 || d.IsOverShare {
		t.Errorf("a window after its last request a workspace has %+v, want no use", d)
	}
	if _, n := l.Workspaces(now, "s", 1); n != 1 {
		t.Errorf("%d workspaces are kept after a window without work of one of two, want 1", n)
	}
}

// Guards against unlisted workspaces of a peer that count as a single workspace and lose their shares to listed ones.
func TestRestOfAPeerCountsAsManyWorkspaces(t *testing.T) {
	l := fairshare.New(fairshare.Options{Window: 2 * time.Second})
	now := offerFor(l, start, 3*time.Second, map[string]float64{"a": 20}, 1)
	rest := []fairshare.Usage{{Service: "s", Workspace: 7, Offered: 0.5}, {Service: "s", Workspace: fairshare.RestID, Offered: 10}}
	l.ApplyReport(now, "peer", rest)
	if d := l.Decide(now, "s", "a", 16); !d.IsOverShare || !isNear(d.Share, 5.5) {
		t.Errorf("beside 10.5 slots of small workspaces at a peer a large one has %+v, want a share of 5.5 of 16", d)
	}
}

// Guards against usage of a peer that counts for ever: it ends with the peer, with a later report and, if the report
// that says so is lost, after a time.
func TestUsageOfPeersEnds(t *testing.T) {
	report := []fairshare.Usage{{Service: "s", Workspace: fairshare.IDOf("b"), Offered: 12}}
	for name, end := range map[string]func(l *fairshare.Ledger, now time.Time) time.Time{
		"expired peer": func(l *fairshare.Ledger, now time.Time) time.Time { l.ExpirePeer("p"); return now },
		"lost end":     func(l *fairshare.Ledger, now time.Time) time.Time { return now.Add(3 * time.Second) },
		"empty sum": func(l *fairshare.Ledger, now time.Time) time.Time {
			l.ApplyReport(now, "p", []fairshare.Usage{{Service: "s"}})
			return now
		},
		"another report": func(l *fairshare.Ledger, now time.Time) time.Time {
			l.ApplyReport(now, "p", []fairshare.Usage{{Service: "s", Workspace: 9, Offered: 0.1}})
			return now
		},
	} {
		l := fairshare.New(fairshare.Options{Window: 2 * time.Second})
		now := offerFor(l, start, 3*time.Second, map[string]float64{"a": 10}, 1)
		l.ApplyReport(now, "p", report)
		l.ApplyReport(now, "p", report) // replaces the first
		if d := l.Decide(now, "s", "a", 16); !d.IsOverShare || !isNear(d.Share, 8) {
			t.Errorf("%s: before the end a has %+v, want a share of 8", name, d)
		}
		now = end(l, now)
		now = offerFor(l, now, 2100*time.Millisecond, map[string]float64{"a": 10}, 1)
		if d := l.Decide(now, "s", "a", 16); d.IsOverShare {
			t.Errorf("%s: afterwards a has %+v, want it within its share", name, d)
		}
	}
}

// Guards against a service that peers keep for ever because no report says that its work has ended.
func TestEndOfWorkIsReported(t *testing.T) {
	l := fairshare.New(fairshare.Options{Window: time.Second})
	now := offerFor(l, start, time.Second, map[string]float64{"a": 1}, 1)
	if list := l.Report(now); len(list) != 1 || list[0].Workspace != fairshare.IDOf("a") {
		t.Fatalf("report %+v, want workspace a", list)
	}
	if list := l.Report(now.Add(100 * time.Millisecond)); list != nil {
		t.Errorf("report %+v 100 ms after the last, want none", list)
	}
	if list := l.Report(now.Add(1500 * time.Millisecond)); len(list) != 1 || list[0] != (fairshare.Usage{Service: "s"}) {
		t.Errorf("report %+v after the end of the work, want an empty sum", list)
	}
	l.Report(now.Add(4 * time.Second))
	if list := l.Report(now.Add(6 * time.Second)); list != nil {
		t.Errorf("report %+v long after the end of the work, want none", list)
	}
}

// Guards against admissions that add up to more or less than the share when several gateways decide without
// coordination: each passes its portion.
func TestThinningPassesTheShareOverAllGateways(t *testing.T) {
	names := []string{"g0", "g1", "g2"}
	ledgers := make(map[string]*fairshare.Ledger)
	for _, name := range names {
		ledgers[name] = fairshare.New(fairshare.Options{Window: 2 * time.Second})
	}
	const work = 100 * time.Millisecond
	admitted, now := 0, start
	for i := range 3000 { // 300 a second for 10 s: a half at g0, a third at g1, a sixth at g2; 30 of 16 slots
		now = now.Add(time.Second / 300)
		name := names[[]int{0, 0, 0, 1, 1, 2}[i%6]]
		l := ledgers[name]
		l.Offer(now, "s", "a", work)
		if i%30 == 0 {
			l.Offer(now, "s", "b", work)
		}
		adm := l.Admit(now, "s", "a", 0, 16)
		if adm.HasCredit {
			l.TakeCredit(now, "s", "a")
			l.Serve(now, "s", "a", work)
		}
		if i >= 1500 && adm.HasCredit {
			admitted++
		}
		if i%60 == 0 {
			for _, from := range names {
				list := ledgers[from].Report(now)
				for _, to := range names {
					if from != to && list != nil {
						ledgers[to].ApplyReport(now, from, list)
					}
				}
			}
		}
	}
	if perSecond := float64(admitted) / 5; perSecond < 135 || perSecond > 157 {
		t.Errorf("%.0f requests a second of the workspace over its share are admitted, want up to 150, its share of 15 slots", perSecond)
	}
}

// Guards against a workspace over its share whose less urgent requests take the share from its urgent ones.
func TestUrgentRequestsUseTheShareFirst(t *testing.T) {
	l := fairshare.New(fairshare.Options{Window: 2 * time.Second})
	now := offerFor(l, start, 3*time.Second, map[string]float64{"a": 30, "b": 1}, 0)
	admitted := make([]int, 2) // by the number of more urgent ranks
	for i := range 600 {       // a third are urgent, which is less than the share of a half
		rank := min(1, i%3)
		if l.Admit(now, "s", "a", rank, 16).HasCredit {
			l.TakeCredit(now, "s", "a")
			admitted[rank]++
		}
	}
	if admitted[0] < 190 || admitted[0]+admitted[1] < 290 || admitted[0]+admitted[1] > 305 {
		t.Errorf("of 200 urgent and 400 other requests %v are admitted, want nearly all urgent ones and 300 in total", admitted)
	}
}

// Guards against batch items of a workspace with large jobs that all start before those of others.
func TestWorkspacesBelowTheirShareStartItemsFirst(t *testing.T) {
	l := fairshare.New(fairshare.Options{Window: 2 * time.Second, Weights: map[string]float64{"heavy": 3}})
	now := start
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		l.Serve(now, "s", "large", 120*time.Millisecond)
		l.Serve(now, "s", "heavy", 40*time.Millisecond)
	}
	over := l.OverShareAtStart(now, "s", []string{"large", "small", "heavy"}, 16)
	if len(over) != 1 || !over["large"] {
		t.Errorf("over their share are %v, want only the workspace with 12 of 16 slots", over)
	}
	if over := l.OverShareAtStart(now, "other", []string{"large"}, 16); len(over) > 0 {
		t.Errorf("over their share at a service without work are %v, want none", over)
	}
}

// Guards against reports, memory and decisions that grow without bound with the number of workspaces; prints the
// measured memory.
func TestFiveThousandWorkspaces(t *testing.T) {
	const workspaces = 5000
	l := fairshare.New(fairshare.Options{Window: 2 * time.Second})
	names := make([]string, workspaces)
	for i := range names {
		names[i] = fmt.Sprint("workspace-", i)
	}
	before := heapBytes()
	now := start
	for i, name := range names {
		l.Offer(now, "s", name, time.Duration(i)*time.Microsecond)
		l.Serve(now, "s", name, time.Duration(i)*time.Microsecond)
	}
	l.Decide(now, "s", names[0], 16)
	list := l.Report(now.Add(time.Second))
	perWorkspace := (heapBytes() - before) / workspaces
	t.Logf("%d bytes of memory for each workspace, %d entries in a report", perWorkspace, len(list))
	if len(list) != 17 || perWorkspace > 1000 {
		t.Errorf("a report has %d entries, want 16 and the rest; %d bytes for each workspace, want at most 1000", len(list), perWorkspace)
	}
	now = now.Add(3 * time.Second)
	l.Decide(now, "s", names[0], 16)
	if _, n := l.Workspaces(now, "s", 1); n != 0 {
		t.Errorf("%d idle workspaces are kept, want 0", n)
	}
	runtime.KeepAlive(l)
}

// heapBytes returns the bytes of live objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkAdmit measures a decision on a request with 5,000 workspaces at this gateway and 100 peers.
func BenchmarkAdmit(b *testing.B) {
	l := fairshare.New(fairshare.Options{Window: 2 * time.Second})
	now := start
	names := make([]string, 5000)
	var list []fairshare.Usage
	for i := range names {
		names[i] = fmt.Sprint("workspace-", i)
		if i < 16 {
			list = append(list, fairshare.Usage{Service: "s", Workspace: fairshare.IDOf(names[i]), Offered: 1})
		}
	}
	for i := range 100 {
		l.ApplyReport(now, fmt.Sprint("peer-", i), list)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond) // 10,000 requests a second
		name := names[i%len(names)]
		i++
		l.Offer(now, "s", name, 10*time.Millisecond)
		l.Admit(now, "s", name, 0, 16)
	}
}

// Guards against a rounding error that counts as a workspace: the only workspace that requests work is never over its
// share, whatever others have requested before.
func TestEndedWorkLeavesNoMember(t *testing.T) {
	for _, id := range []fairshare.ID{7, fairshare.RestID} {
		l := fairshare.New(fairshare.Options{Window: 2 * time.Second})
		now := offerFor(l, start, 3*time.Second, map[string]float64{"a": 30}, 0.5)
		l.ApplyReport(now, "p1", []fairshare.Usage{{Service: "s", Workspace: id, Offered: 0.1, Served: 0.1}})
		l.ApplyReport(now, "p2", []fairshare.Usage{{Service: "s", Workspace: id, Offered: 0.2, Served: 0.2}})
		l.ApplyReport(now, "p3", []fairshare.Usage{{Service: "s", Workspace: id, Offered: 0.3, Served: 0.3}})
		if d := l.Decide(now, "s", "a", 16); !d.IsOverShare {
			t.Errorf("workspace %d: with work of another workspace the decision is %+v, want it over its share", id, d)
		}
		now = offerFor(l, now, 100*time.Millisecond, map[string]float64{"a": 30}, 0.5)
		for _, peer := range []string{"p1", "p2", "p3"} {
			l.ApplyReport(now, peer, []fairshare.Usage{{Service: "s", Workspace: id}})
		}
		if d := l.Decide(now, "s", "a", 16); d.IsOverShare {
			t.Errorf("workspace %d: with no other work the decision is %+v, want it not over its share", id, d)
		}
	}
}

// Guards against refunds that hide other work: a run that was predicted to be long and is not leaves the use of its
// workspace as it is, also after the run has left the window.
func TestRefundsTakeBackOnlyTheirWork(t *testing.T) {
	l := fairshare.New(fairshare.Options{Window: 2 * time.Second})
	now := offerFor(l, start, 2*time.Second, map[string]float64{"a": 2}, 1)
	longAt := now
	l.Serve(longAt, "s", "a", 10*time.Second)
	now = offerFor(l, now, time.Second, map[string]float64{"a": 2}, 1)
	l.Refund(now, longAt, "s", "a", 9*time.Second+900*time.Millisecond)
	for range 30 {
		now = offerFor(l, now, 100*time.Millisecond, map[string]float64{"a": 2}, 1)
		if use := l.Decide(now, "s", "a", 16).Use; use < 1.8 || use > 2.3 {
			t.Errorf("%v after the long run the use is %.2f slots, want about 2", now.Sub(longAt), use)
		}
	}
	l.Refund(now, longAt, "s", "a", 9*time.Second)
	if use := l.Decide(now, "s", "a", 16).Use; use < 1.8 {
		t.Errorf("after a refund of work that has left the window the use is %.2f slots, want about 2", use)
	}
}
