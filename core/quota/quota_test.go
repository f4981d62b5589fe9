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

// newLedger returns a ledger, and a time at which its bucket of workspace w is full.
func newLedger() (*Ledger, time.Time) {
	l := New(start, options())
	l.SetQuotas(start, limited("w"))
	return l, start.Add(time.Minute)
}

// admitAll admits requests until one is rejected.
func admitAll(l *Ledger, now time.Time) (admitted int, d Decision) {
	for d = l.Admit(now, "w"); d.IsAdmitted; d = l.Admit(now, "w") {
		admitted++
	}
	return admitted, d
}

func TestBucketHoldsItsBurstAndRefills(t *testing.T) {
	l, now := newLedger()
	n, d := admitAll(l, now)
	if headroom := headroomShare * (0.1*(perSecond*5+burst) + 20); n != burst+int(headroom) {
		t.Errorf("%d requests admitted in a burst", n)
	}
	if d.RetryAfter <= 0 || d.RetryAfter > time.Second/perSecond {
		t.Errorf("retry after %v", d.RetryAfter)
	}
	if d := l.Admit(now.Add(d.RetryAfter+time.Millisecond), "w"); !d.IsAdmitted {
		t.Errorf("rejected after the retry time: %+v", d)
	}
}

func TestAllAdmittedWithoutQuota(t *testing.T) {
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

func TestRefundedRequestIsNotCounted(t *testing.T) {
	l, now := newLedger()
	n, _ := admitAll(l, now)
	l.Refund(now, "w")
	if again, _ := admitAll(l, now); again != 1 {
		t.Errorf("%d admitted after a refund of one of %d", again, n)
	}
	if c := l.Counts(); len(c) != 1 || c[0].Total != int64(n) {
		t.Errorf("reports %v", c)
	}
}

// Guards against lost datagrams: several consecutive reports carry a changed count, and the total makes up
// for lost ones.
func TestCountsAreReportedRepeatedly(t *testing.T) {
	a, now := newLedger()
	b, _ := newLedger()
	b.Apply(now, "a", Report{Start: "1", IsFirst: true})
	a.Admit(now, "w")
	a.Counts() // lost
	a.Admit(now, "w")
	for range reportRepeats {
		b.Apply(now, "a", Report{Start: "1", Counts: a.Counts()})
	}
	if len(a.Counts()) != 0 {
		t.Error("a count is reported too often")
	}
	remaining, _ := admitAll(b, now)
	if full, _ := admitAll(fullLedger(now), now); remaining != full-2 {
		t.Errorf("%d of %d left after two admissions of a peer", remaining, full)
	}
}

// fullLedger returns a ledger with a full bucket at that time.
func fullLedger(now time.Time) *Ledger {
	l := New(start, options())
	l.SetQuotas(start, limited("w"))
	l.Share(now)
	return l
}

// Guards against over-admission in a partition: a gateway leaves silent peers their share, immediately and
// until it receives their reports again.
func TestSilentPeersKeepTheirShare(t *testing.T) {
	l, now := newLedger()
	for _, p := range []Peer{"a", "b", "c"} {
		l.Apply(now, p, Report{Start: "1", IsFirst: true})
	}
	if s := l.Share(now); s != 1 {
		t.Fatalf("share %v while no peer is silent", s)
	}
	now = now.Add(peerSilenceLimit + time.Millisecond)
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
		t.Errorf("share %v after one of them is known to have stopped", s)
	}
	l.Apply(now, "c", Report{Start: "1"})
	if s := l.Share(now); s != 1 {
		t.Errorf("share %v after a report of the other one", s)
	}
}

func TestSilentPeerLosesItsShareAfterTTL(t *testing.T) {
	l, now := newLedger()
	l.Apply(now, "a", Report{Start: "1"})
	if s := l.Share(now.Add(5 * time.Second)); s != 0.5 {
		t.Errorf("share %v while the peer may still admit", s)
	}
	if s := l.Share(now.Add(7 * time.Second)); s != 1 {
		t.Errorf("share %v when the peer can't admit any more", s)
	}
}

// Guards against a double debit: what a peer admitted while it was silent came out of its own share, and is
// not debited when it reports again.
func TestReturningPeerIsNotDebitedTwice(t *testing.T) {
	l, now := newLedger()
	l.Apply(now, "a", Report{Start: "1", IsFirst: true, Counts: []Count{{"w", 1}}})
	now = now.Add(2 * time.Second)
	l.Share(now)
	before, _ := l.Usage(now, "w")
	l.Apply(now, "a", Report{Start: "1", Counts: []Count{{"w", 500}}})
	if after, _ := l.Usage(now, "w"); before.Tokens-after.Tokens > 1 {
		t.Errorf("debited %v", before.Tokens-after.Tokens)
	}
}

// Guards against a cost of lost reports: the share of a peer that is silent for a moment is restored with its
// next report.
func TestShortSilenceRestoresTheFullShare(t *testing.T) {
	l, now := newLedger()
	l.Apply(now, "a", Report{Start: "1", IsFirst: true})
	l.Apply(now, "b", Report{Start: "1", IsFirst: true})
	before, _ := l.Usage(now, "w")
	now = now.Add(peerSilenceLimit + 10*time.Millisecond)
	l.Apply(now, "a", Report{Start: "1"})
	if s := l.Share(now.Add(time.Millisecond)); s == 1 {
		t.Fatal("the silent peer does not lower the share")
	}
	l.Apply(now.Add(2*time.Millisecond), "b", Report{Start: "1", Counts: []Count{{"w", 3}}})
	l.Share(now.Add(3 * time.Millisecond))
	if after, _ := l.Usage(now.Add(3*time.Millisecond), "w"); before.Tokens-after.Tokens > 3.1 {
		t.Errorf("%v tokens before, %v after the three of the peer", before.Tokens, after.Tokens)
	}
}

// Guards against a restarted process that spends again what its peers have spent: it starts with at most
// one token per bucket if its peers were running before.
func TestJoiningGatewayStartsWithoutBurst(t *testing.T) {
	joining := New(start, options())
	joining.Apply(start, "a", Report{Start: "1"})
	joining.SetQuotas(start, limited("w"))
	if n, _ := admitAll(joining, start); n > 1 {
		t.Errorf("%d admitted while joining running peers", n)
	}
	simultaneous := New(start, options())
	simultaneous.Apply(start, "a", Report{Start: "1", IsFirst: true})
	simultaneous.SetQuotas(start, limited("w"))
	if n, _ := admitAll(simultaneous, start); n < burst/2 {
		t.Errorf("%d admitted after all gateways started together", n)
	}
}

func TestLowerQuotaAppliesImmediatelyAndKeepsDebt(t *testing.T) {
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
		t.Error("rejected after the quota was removed")
	}
}

// A report must fit into a datagram regardless of the number of workspaces.
func TestReportsAreBounded(t *testing.T) {
	l := New(start, options())
	var list []workspace.Workspace
	for i := range 5 * maxCountsPerReport {
		list = append(list, workspace.Workspace{Name: time.Duration(i).String(), Quota: workspace.Quota{PerSecond: 1, Burst: 5}})
	}
	l.SetQuotas(start, list)
	for _, w := range list {
		l.Admit(start, w.Name)
	}
	reported := make(map[string]bool)
	for range 10 * reportRepeats {
		counts := l.Counts()
		if len(counts) > maxCountsPerReport {
			t.Fatalf("%d counts in a report", len(counts))
		}
		for _, c := range counts {
			reported[c.Workspace] = true
		}
	}
	if len(reported) != len(list) || len(l.Counts()) != 0 {
		t.Errorf("%d of %d reported", len(reported), len(list))
	}
}

// Guards against gateways that give up a share of the quotas whenever a peer's report is forwarded by other
// gateways, which takes longer.
func TestForwardedReportsMayArriveLater(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(now, Options{ClaimTTL: time.Minute})
	l.Apply(now, "direct", Report{Start: "a"})
	l.Apply(now, "forwarded", Report{Start: "b", Delay: 200 * time.Millisecond})
	now = now.Add(peerSilenceLimit + 100*time.Millisecond)
	l.Apply(now, "direct", Report{Start: "a"})
	if share := l.Share(now); share != 1 {
		t.Errorf("share %v while no peer is silent", share)
	}
	now = now.Add(peerSilenceLimit)
	l.Apply(now, "direct", Report{Start: "a"})
	if share := l.Share(now); share > 0.7 {
		t.Errorf("share %v while one of two is silent", share)
	}
}
