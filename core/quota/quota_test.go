package quota

import (
	"testing"
	"time"

	"arbutusramp/core/workspace"
)

var start = time.Unix(1000, 0)

const perSecond, burst = 10, 20 // requests per second and requests

// options returns the options of the limiters under test.
func options() Options {
	return Options{Window: 5 * time.Second, MaxExcessShare: 0.1, MaxExcessRequests: 20, PeerShareTTL: 6 * time.Second}
}

// workspacesWithQuota returns a list of one workspace, with a quota of perSecond and burst.
func workspacesWithQuota(name string) []workspace.Workspace {
	return []workspace.Workspace{{Name: name, Quota: workspace.Quota{PerSecond: perSecond, Burst: burst}}}
}

// newLimiter returns a limiter with a quota for workspace w, and a time at which its bucket is full.
func newLimiter() (*Limiter, time.Time) {
	l := New(start, options())
	l.SetQuotas(start, workspacesWithQuota("w"))
	return l, start.Add(time.Minute)
}

// admitAll admits requests of workspace w until one is rejected, and returns the decision on that one.
func admitAll(l *Limiter, now time.Time) (admitted int, d Decision) {
	for d = l.Admit(now, "w"); d.IsAdmitted; d = l.Admit(now, "w") {
		admitted++
	}
	return admitted, d
}

func TestBucketHoldsItsBurstAndRefills(t *testing.T) {
	l, now := newLimiter()
	n, d := admitAll(l, now)
	if headroom := headroomShare * (0.1*(perSecond*5+burst) + 20); n != burst+int(headroom) {
		t.Errorf("%d requests admitted in a burst, want 22: the burst of 20 and 2 of headroom", n)
	}
	if d.RetryAfter <= 0 || d.RetryAfter > time.Second/perSecond {
		t.Errorf("a rejected request gets a retry time of %v, want more than 0 and at most 100ms", d.RetryAfter)
	}
	if d := l.Admit(now.Add(d.RetryAfter+time.Millisecond), "w"); !d.IsAdmitted {
		t.Errorf("decision %+v after the retry time, want the request to be admitted", d)
	}
}

func TestRequestsWithoutQuotaAreAdmitted(t *testing.T) {
	l, now := newLimiter()
	for range 1000 {
		if !l.Admit(now, "other").IsAdmitted {
			t.Fatal("a request of a workspace without a quota was rejected, want all admitted")
		}
	}
	if len(l.Counts()) != 0 {
		t.Error("admissions of a workspace without a quota are reported, want no counts")
	}
}

func TestRefundedRequestIsNotCounted(t *testing.T) {
	l, now := newLimiter()
	admitted, _ := admitAll(l, now)
	l.Refund(now, "w")
	if admittedAfterRefund, _ := admitAll(l, now); admittedAfterRefund != 1 {
		t.Errorf("%d requests admitted after the refund of one of %d, want 1", admittedAfterRefund, admitted)
	}
	if c := l.Counts(); len(c) != 1 || c[0].Total != int64(admitted) {
		t.Errorf("counts to report are %v, want only one, for w, of 22: 23 requests admitted less 1 refunded", c)
	}
}

// Guards against admissions that are never reported because datagrams are lost: several consecutive reports
// contain a changed count, and a count is a total, so that the next report makes up for a lost one.
func TestCountsAreReportedRepeatedly(t *testing.T) {
	sender, now := newLimiter()
	receiver, _ := newLimiter()
	receiver.ApplyReport(now, "a", Report{StartID: "1", IsAfterStart: true})
	sender.Admit(now, "w")
	sender.Counts() // this report is lost
	sender.Admit(now, "w")
	for range reportRepeats {
		receiver.ApplyReport(now, "a", Report{StartID: "1", Counts: sender.Counts()})
	}
	if len(sender.Counts()) != 0 {
		t.Error("a count is in a fourth report after its last change, want 3 reports")
	}
	remaining, _ := admitAll(receiver, now)
	if full, _ := admitAll(fullLimiter(now), now); remaining != full-2 {
		t.Errorf("%d requests admitted after two admissions of a peer and %d by a limiter with a full bucket, want a difference of 2", remaining, full)
	}
}

// fullLimiter returns a limiter whose bucket of workspace w is full at now.
func fullLimiter(now time.Time) *Limiter {
	l := New(start, options())
	l.SetQuotas(start, workspacesWithQuota("w"))
	l.Share(now)
	return l
}

// Guards against over-admission in a network partition: a gateway does not use the share of silent peers,
// from the moment they become silent until it receives their reports again.
func TestSilentPeersKeepTheirShare(t *testing.T) {
	l, now := newLimiter()
	for _, p := range []PeerAddr{"a", "b", "c"} {
		l.ApplyReport(now, p, Report{StartID: "1", IsAfterStart: true})
	}
	if s := l.Share(now); s != 1 {
		t.Fatalf("the share of the buckets is %v while no peer is silent, want 1", s)
	}
	now = now.Add(peerSilenceLimit + time.Millisecond)
	l.ApplyReport(now, "a", Report{StartID: "1"})
	now = now.Add(time.Millisecond)
	if s := l.Share(now); s != 0.5 {
		t.Errorf("the share of the buckets is %v while two of four gateways are silent, want 0.5", s)
	}
	n, _ := admitAll(l, now)
	if n > (burst+4)/2 {
		t.Errorf("%d requests admitted with a share of a half, want at most 12", n)
	}
	l.RemovePeer(now, "b")
	if s := l.Share(now); s != 2.0/3 {
		t.Errorf("the share of the buckets is %v after one of the silent gateways has stopped, want 2/3", s)
	}
	l.ApplyReport(now, "c", Report{StartID: "1"})
	if s := l.Share(now); s != 1 {
		t.Errorf("the share of the buckets is %v after a report of the other silent gateway, want 1", s)
	}
}

func TestSilentPeerLosesItsShareAfterTTL(t *testing.T) {
	l, now := newLimiter()
	l.ApplyReport(now, "a", Report{StartID: "1"})
	if s := l.Share(now.Add(5 * time.Second)); s != 0.5 {
		t.Errorf("the share of the buckets is %v while the silent peer may still admit requests, want 0.5", s)
	}
	if s := l.Share(now.Add(7 * time.Second)); s != 1 {
		t.Errorf("the share of the buckets is %v after the time to live of the silent peer, want 1", s)
	}
}

// Guards against a double debit. What a peer admits while it is silent uses up its own share, which is set
// aside; it must not be debited again when the peer reports it.
func TestReturningPeerIsNotDebitedTwice(t *testing.T) {
	l, now := newLimiter()
	l.ApplyReport(now, "a", Report{StartID: "1", IsAfterStart: true, Counts: []Count{{"w", 1}}})
	now = now.Add(2 * time.Second)
	l.Share(now)
	usageBefore, _ := l.Usage(now, "w")
	l.ApplyReport(now, "a", Report{StartID: "1", Counts: []Count{{"w", 500}}})
	if usageAfter, _ := l.Usage(now, "w"); usageBefore.Tokens-usageAfter.Tokens > 1 {
		t.Errorf("%v tokens debited for a peer that reports again after two seconds, want at most 1", usageBefore.Tokens-usageAfter.Tokens)
	}
}

// Guards against requests rejected because a report was lost: the share of a peer that is silent for a moment
// is available again after its next report.
func TestShortSilenceRestoresTheFullShare(t *testing.T) {
	l, now := newLimiter()
	l.ApplyReport(now, "a", Report{StartID: "1", IsAfterStart: true})
	l.ApplyReport(now, "b", Report{StartID: "1", IsAfterStart: true})
	usageBefore, _ := l.Usage(now, "w")
	now = now.Add(peerSilenceLimit + 10*time.Millisecond)
	l.ApplyReport(now, "a", Report{StartID: "1"})
	if s := l.Share(now.Add(time.Millisecond)); s == 1 {
		t.Fatal("the share of the buckets is 1 while a peer is silent, want less")
	}
	l.ApplyReport(now.Add(2*time.Millisecond), "b", Report{StartID: "1", Counts: []Count{{"w", 3}}})
	l.Share(now.Add(3 * time.Millisecond))
	if usageAfter, _ := l.Usage(now.Add(3*time.Millisecond), "w"); usageBefore.Tokens-usageAfter.Tokens > 3.1 {
		t.Errorf("%v tokens before and %v after three admissions of a peer, want at most 3.1 fewer", usageBefore.Tokens, usageAfter.Tokens)
	}
}

// Guards against over-admission by a restarted process, which has no count of what its peers have admitted:
// it starts with at most one token per bucket if its peers were running before.
func TestJoiningGatewayStartsWithoutBurst(t *testing.T) {
	joining := New(start, options())
	joining.ApplyReport(start, "a", Report{StartID: "1"})
	joining.SetQuotas(start, workspacesWithQuota("w"))
	if n, _ := admitAll(joining, start); n > 1 {
		t.Errorf("%d requests admitted while joining running peers, want at most 1", n)
	}
	simultaneous := New(start, options())
	simultaneous.ApplyReport(start, "a", Report{StartID: "1", IsAfterStart: true})
	simultaneous.SetQuotas(start, workspacesWithQuota("w"))
	if n, _ := admitAll(simultaneous, start); n < burst/2 {
		t.Errorf("%d requests admitted after all gateways started together, want at least 10", n)
	}
}

func TestLowerQuotaAppliesImmediatelyAndKeepsDebt(t *testing.T) {
	l, now := newLimiter()
	l.SetQuotas(now, []workspace.Workspace{{Name: "w", Quota: workspace.Quota{PerSecond: 1, Burst: 2}}})
	if n, _ := admitAll(l, now); n > 6 {
		t.Errorf("%d requests admitted under a quota of 1/s with a burst of 2, want at most 6", n)
	}
	l.ApplyReport(now, "a", Report{StartID: "1", IsAfterStart: true, Counts: []Count{{"w", 10}}})
	l.SetQuotas(now, workspacesWithQuota("w"))
	if u, _ := l.Usage(now, "w"); u.Tokens > -9 {
		t.Errorf("%v tokens after a debt of 10 and a higher quota, want at most -9", u.Tokens)
	}
	l.SetQuotas(now, nil)
	if !l.Admit(now, "w").IsAdmitted {
		t.Error("a request was rejected after the quota was removed, want it admitted")
	}
}

// A report must fit into a datagram however many workspaces there are, and each count must be reported in the
// end.
func TestReportsAreBounded(t *testing.T) {
	l := New(start, options())
	var workspaces []workspace.Workspace
	for i := range 5 * maxCountsPerReport {
		workspaces = append(workspaces, workspace.Workspace{Name: time.Duration(i).String(), Quota: workspace.Quota{PerSecond: 1, Burst: 5}})
	}
	l.SetQuotas(start, workspaces)
	for _, w := range workspaces {
		l.Admit(start, w.Name)
	}
	reported := make(map[string]bool)
	for range 10 * reportRepeats {
		counts := l.Counts()
		if len(counts) > maxCountsPerReport {
			t.Fatalf("%d counts in a report, want at most 200", len(counts))
		}
		for _, c := range counts {
			reported[c.Workspace] = true
		}
	}
	if len(reported) != len(workspaces) || len(l.Counts()) != 0 {
		t.Errorf("%d of %d workspaces were reported, want all of them, and no count left for the next report", len(reported), len(workspaces))
	}
}

// Guards against rejected requests while no peer is silent. That happens when a peer's reports take longer
// because other gateways forward them, and the peer counts as silent between two of them.
func TestForwardedReportsMayArriveLater(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(now, Options{PeerShareTTL: time.Minute})
	l.ApplyReport(now, "direct", Report{StartID: "a"})
	l.ApplyReport(now, "forwarded", Report{StartID: "b", ForwardDelay: 200 * time.Millisecond})
	now = now.Add(peerSilenceLimit + 100*time.Millisecond)
	l.ApplyReport(now, "direct", Report{StartID: "a"})
	if share := l.Share(now); share != 1 {
		t.Errorf("the share of the buckets is %v while no peer is silent, want 1", share)
	}
	now = now.Add(peerSilenceLimit)
	l.ApplyReport(now, "direct", Report{StartID: "a"})
	if share := l.Share(now); share > 0.7 {
		t.Errorf("the share of the buckets is %v while one of two peers is silent, want at most 0.7", share)
	}
}
