package quota

import (
	"testing"
	"time"

	"arbutusramp/core/workspace"
)

var start = time.Unix(1000, 0)

const perSecond, burst = 10, 20

func options() Options {
	return Options{Window: 5 * time.Second, Excess: 0.1, Slack: 20, ClaimTTL: 6 * time.Second}
}

func limited(name string) []workspace.Workspace {
	return []workspace.Workspace{{Name: name, Quota: workspace.Quota{PerSecond: perSecond, Burst: burst}}}
}

// newLedger returns one whose bucket of workspace w has filled up.
func newLedger() (*Ledger, time.Time) {
	l := New(start, options())
	l.SetQuotas(start, limited("w"))
	return l, start.Add(time.Minute)
}

// admitAll admits until a request is rejected.
func admitAll(l *Ledger, now time.Time) (admitted int, d Decision) {
	for d = l.Admit(now, "w"); d.IsAdmitted; d = l.Admit(now, "w") {
		admitted++
	}
	return admitted, d
}

func TestABucketHoldsItsBurstAndRefills(t *testing.T) {
	l, now := newLedger()
	n, d := admitAll(l, now)
	if headroom := headroomShare * (0.1*(perSecond*5+burst) + 20); n != burst+int(headroom) {
		t.Errorf("%d requests at once", n)
	}
	if d.RetryAfter <= 0 || d.RetryAfter > time.Second/perSecond {
		t.Errorf("come back after %v", d.RetryAfter)
	}
	if d := l.Admit(now.Add(d.RetryAfter+time.Millisecond), "w"); !d.IsAdmitted {
		t.Errorf("rejected when allowance is due: %+v", d)
	}
}

func TestWithoutAQuotaAllIsAdmitted(t *testing.T) {
	l, now := newLedger()
	for range 1000 {
		if !l.Admit(now, "other").IsAdmitted {
			t.Fatal("rejected without a quota")
		}
	}
	if len(l.Counts()) != 0 {
		t.Error("admissions without a quota are reported")
	}
}

func TestARefundedRequestDoesNotCount(t *testing.T) {
	l, now := newLedger()
	n, _ := admitAll(l, now)
	l.Refund(now, "w")
	if again, _ := admitAll(l, now); again != 1 {
		t.Errorf("%d admitted after one of %d was given back", again, n)
	}
	if c := l.Counts(); len(c) != 1 || c[0].Total != int64(n) {
		t.Errorf("reports %v", c)
	}
}

// Lost datagrams: a changed count is carried by some reports in a row, and the total makes good what was lost.
func TestCountsAreReportedMoreThanOnce(t *testing.T) {
	a, now := newLedger()
	b, _ := newLedger()
	b.Apply(now, "a", Report{Start: "1", IsFirst: true})
	a.Admit(now, "w")
	a.Counts() // lost
	a.Admit(now, "w")
	for range reportTimes {
		b.Apply(now, "a", Report{Start: "1", Counts: a.Counts()})
	}
	if len(a.Counts()) != 0 {
		t.Error("a count is reported for ever")
	}
	left, _ := admitAll(b, now)
	if full, _ := admitAll(fullLedger(now), now); left != full-2 {
		t.Errorf("%d of %d left after two admissions of a peer", left, full)
	}
}

// fullLedger returns a ledger with a full bucket at that time.
func fullLedger(now time.Time) *Ledger {
	l := New(start, options())
	l.SetQuotas(start, limited("w"))
	l.Share(now)
	return l
}

// Over-admission in a partition: who does not hear some peers leaves their part to them, at once and until they are heard again.
func TestSilentPeersKeepTheirPart(t *testing.T) {
	l, now := newLedger()
	for _, p := range []Peer{"a", "b", "c"} {
		l.Apply(now, p, Report{Start: "1", IsFirst: true})
	}
	if s := l.Share(now); s != 1 {
		t.Fatalf("share %v while all are heard", s)
	}
	now = now.Add(silentAfter + time.Millisecond)
	l.Apply(now, "a", Report{Start: "1"})
	now = now.Add(time.Millisecond)
	if s := l.Share(now); s != 0.5 {
		t.Errorf("share %v while two of four are silent", s)
	}
	n, _ := admitAll(l, now)
	if n > (burst+4)/2 {
		t.Errorf("%d admitted with half of the bucket", n)
	}
	l.Forget(now, "b")
	if s := l.Share(now); s != 2.0/3 {
		t.Errorf("share %v once one of them is known to have stopped", s)
	}
	l.Apply(now, "c", Report{Start: "1"})
	if s := l.Share(now); s != 1 {
		t.Errorf("share %v once the other one is heard again", s)
	}
}

func TestASilentPeerLosesItsPartInTheEnd(t *testing.T) {
	l, now := newLedger()
	l.Apply(now, "a", Report{Start: "1"})
	if s := l.Share(now.Add(5 * time.Second)); s != 0.5 {
		t.Errorf("share %v while the peer may still admit", s)
	}
	if s := l.Share(now.Add(7 * time.Second)); s != 1 {
		t.Errorf("share %v when the peer can't admit any more", s)
	}
}

// Double debit: what a peer admitted while it was not heard came out of its own part, and is not charged again when it is back.
func TestAPeerThatIsBackIsNotChargedTwice(t *testing.T) {
	l, now := newLedger()
	l.Apply(now, "a", Report{Start: "1", IsFirst: true, Counts: []Count{{"w", 1}}})
	now = now.Add(2 * time.Second)
	l.Share(now)
	before, _ := l.Usage(now, "w")
	l.Apply(now, "a", Report{Start: "1", Counts: []Count{{"w", 500}}})
	if after, _ := l.Usage(now, "w"); before.Tokens-after.Tokens > 1 {
		t.Errorf("charged %v", before.Tokens-after.Tokens)
	}
}

// Loss of single reports: the part of a peer that is missed for a moment comes back with it.
func TestAShortSilenceCostsNothing(t *testing.T) {
	l, now := newLedger()
	l.Apply(now, "a", Report{Start: "1", IsFirst: true})
	l.Apply(now, "b", Report{Start: "1", IsFirst: true})
	before, _ := l.Usage(now, "w")
	now = now.Add(silentAfter + 10*time.Millisecond)
	l.Apply(now, "a", Report{Start: "1"})
	if s := l.Share(now.Add(time.Millisecond)); s == 1 {
		t.Fatal("the silent peer is not missed")
	}
	l.Apply(now.Add(2*time.Millisecond), "b", Report{Start: "1", Counts: []Count{{"w", 3}}})
	l.Share(now.Add(3 * time.Millisecond))
	if after, _ := l.Usage(now.Add(3*time.Millisecond), "w"); before.Tokens-after.Tokens > 3.1 {
		t.Errorf("%v tokens before, %v after the three of the peer", before.Tokens, after.Tokens)
	}
}

// A restarted process must not spend what its peers have spent: it starts with an empty bucket if they ran before it.
func TestAGatewayThatJoinsOthersStartsWithoutABurst(t *testing.T) {
	joins := New(start, options())
	joins.Apply(start, "a", Report{Start: "1"})
	joins.SetQuotas(start, limited("w"))
	if n, _ := admitAll(joins, start); n > 1 {
		t.Errorf("%d admitted beside running peers", n)
	}
	together := New(start, options())
	together.Apply(start, "a", Report{Start: "1", IsFirst: true})
	together.SetQuotas(start, limited("w"))
	if n, _ := admitAll(together, start); n < burst/2 {
		t.Errorf("%d admitted after a start of all", n)
	}
}

func TestALowerQuotaBindsAtOnceAndDebtsStay(t *testing.T) {
	l, now := newLedger()
	l.SetQuotas(now, []workspace.Workspace{{Name: "w", Quota: workspace.Quota{PerSecond: 1, Burst: 2}}})
	if n, _ := admitAll(l, now); n > 6 {
		t.Errorf("%d admitted under a quota of 1/s with a burst of 2", n)
	}
	l.Apply(now, "a", Report{Start: "1", IsFirst: true, Counts: []Count{{"w", 10}}})
	l.SetQuotas(now, limited("w"))
	if u, _ := l.Usage(now, "w"); u.Tokens > -9 {
		t.Errorf("%v tokens after a debt of 10", u.Tokens)
	}
	l.SetQuotas(now, nil)
	if !l.Admit(now, "w").IsAdmitted {
		t.Error("rejected after the quota was taken away")
	}
}

// A report has to fit into a datagram however many workspaces there are.
func TestReportsAreBounded(t *testing.T) {
	l := New(start, options())
	var list []workspace.Workspace
	for i := range 5 * maxCounts {
		list = append(list, workspace.Workspace{Name: time.Duration(i).String(), Quota: workspace.Quota{PerSecond: 1, Burst: 5}})
	}
	l.SetQuotas(start, list)
	for _, w := range list {
		l.Admit(start, w.Name)
	}
	told := make(map[string]bool)
	for range 10 * reportTimes {
		counts := l.Counts()
		if len(counts) > maxCounts {
			t.Fatalf("%d counts in a report", len(counts))
		}
		for _, c := range counts {
			told[c.Workspace] = true
		}
	}
	if len(told) != len(list) || len(l.Counts()) != 0 {
		t.Errorf("%d of %d told", len(told), len(list))
	}
}

// Guards against gateways that give up a part of the quotas whenever the word of a peer comes over others, which takes longer.
func TestTheWordOfAPeerMayComeOverOthers(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(now, Options{ClaimTTL: time.Minute})
	l.Apply(now, "direct", Report{Start: "a"})
	l.Apply(now, "passed on", Report{Start: "b", Delay: 200 * time.Millisecond})
	now = now.Add(silentAfter + 100*time.Millisecond)
	l.Apply(now, "direct", Report{Start: "a"})
	if share := l.Share(now); share != 1 {
		t.Errorf("share %v while both are heard", share)
	}
	now = now.Add(silentAfter)
	l.Apply(now, "direct", Report{Start: "a"})
	if share := l.Share(now); share > 0.7 {
		t.Errorf("share %v while one of two is silent", share)
	}
}
