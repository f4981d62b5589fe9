package shardmap

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

func entries(n, domains int) []platform.Host {
	var out []platform.Host
	for i := range n {
		out = append(out, platform.Host{
			ID:     structs.HostID(fmt.Sprintf("entry-%d", i)),
			Role:   platform.RoleEntry,
			State:  platform.HostLive,
			Domain: structs.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		})
	}
	return out
}

const testShards = 1000

func moved(before, after []platform.Host) int {
	n := 0
	for s := range structs.Shard(testShards) {
		if Rank(s, before)[0].ID != Rank(s, after)[0].ID {
			n++
		}
	}
	return n
}

// A join or a leave must move about 1/n of the shards: more would make every
// replaced host a storm of takeovers.
func TestShareMoved(t *testing.T) {
	for _, n := range []int{3, 10, 100} {
		before := entries(n, 3)
		got := moved(before, append(before[:n:n], entries(n+1, 3)[n]))
		want := testShards / (n + 1)
		t.Logf("%d entries, one joins: %d of %d shards move (1/n: %d)", n, got, testShards, want)
		if got > 2*want+5 {
			t.Errorf("%d entries: %d of %d shards moved at a join, want about %d", n, got, testShards, want)
		}
		got = moved(before, before[1:])
		if got > 2*testShards/n+5 {
			t.Errorf("%d entries: %d shards moved at a leave", n, got)
		}
	}
}

// Symptom: a failure domain is lost and its shards stay without owner.
// Sequence: owner and stand-in share the domain, both die. Cause: candidates
// ranked by score alone.
func TestCandidatesSpreadOverDomains(t *testing.T) {
	hosts := entries(9, 3)
	for s := range structs.Shard(testShards) {
		seen := make(map[structs.FailureDomain]bool)
		for _, h := range Rank(s, hosts) {
			seen[h.Domain] = true
		}
		if len(seen) != Candidates {
			t.Fatalf("shard %d: candidates in %d domains", s, len(seen))
		}
	}
}

func TestRankWithFewHosts(t *testing.T) {
	if got := len(Rank(1, entries(2, 1))); got != 2 {
		t.Fatalf("two entries in one domain: %d candidates", got)
	}
	leaving := entries(2, 1)
	leaving[0].State = platform.HostLeaving
	if got := Rank(1, leaving); len(got) != 1 || got[0].ID != leaving[1].ID {
		t.Fatalf("a leaving host is a candidate: %v", got)
	}
}

// Symptom: a short network fault moves shards back and forth. Sequence: one
// probe of a live owner fails, its stand-in claims. Cause: no lease time before a peer
// counts as gone.
func TestTakeoverAfterLeaseOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPeers(2 * time.Second)
	rank := entries(3, 3)
	owner, me := rank[0].ID, rank[1].ID
	p.Answered(now, owner, 7, map[structs.Shard]structs.Epoch{1: 5})
	p.Failed(now.Add(time.Second), owner)
	if Wanted(now.Add(time.Second), me, rank, p) {
		t.Fatal("stand-in wants the shard after one failed probe")
	}
	if !Wanted(now.Add(2*time.Second), me, rank, p) {
		t.Fatal("stand-in does not want the shard after the lease")
	}
	o := Owner{Epoch: 5, Writer: structs.Writer{Host: owner, Incarnation: 7}}
	mine := structs.Writer{Host: me, Incarnation: 1}
	if got := Decide(now.Add(2*time.Second), mine, 1, o, p); got != Claim {
		t.Fatalf("owner gone: %v, want Claim", got)
	}
	p.Answered(now.Add(3*time.Second), owner, 7, map[structs.Shard]structs.Epoch{1: 5})
	if Wanted(now.Add(3*time.Second), me, rank, p) {
		t.Fatal("stand-in still wants the shard of an owner that answers")
	}
	if got := Decide(now.Add(3*time.Second), mine, 1, o, p); got != AskHandover {
		t.Fatalf("owner answers: %v, want AskHandover", got)
	}
	p.Answered(now.Add(4*time.Second), owner, 8, nil)
	if got := Decide(now.Add(4*time.Second), mine, 1, o, p); got != Claim {
		t.Fatalf("owner restarted: %v, want Claim", got)
	}
}

// Symptom: a shard stays without owner for ever though all hosts are up. Sequence: an
// entry claims, gives up waiting for the lost answer, the claim lands late: the stream names an
// owner that does not know of it. Cause: a holder that answers probes is only ever
// asked to hand over what it does not have.
func TestOwnerThatDoesNotKnowIsReplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPeers(2 * time.Second)
	o := Owner{Epoch: 5, Writer: structs.Writer{Host: "h", Incarnation: 7}}
	me := structs.Writer{Host: "me", Incarnation: 1}
	for i := range 3 {
		at := now.Add(time.Duration(i) * time.Second)
		p.Answered(at, "h", 7, map[structs.Shard]structs.Epoch{2: 9})
		want := AskHandover
		if i == 2 {
			want = Claim
		}
		if got := Decide(at, me, 1, o, p); got != want {
			t.Errorf("after %d s: %v, want %v", i, got, want)
		}
	}
	p.Answered(now.Add(3*time.Second), "h", 7, map[structs.Shard]structs.Epoch{1: 5})
	if got := Decide(now.Add(3*time.Second), me, 1, o, p); got != AskHandover {
		t.Errorf("it holds the shard: %v, want AskHandover", got)
	}
}
