package confstate

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

type fataler interface{ Fatal(args ...any) }

func entry(t fataler, at structs.Offset, c structs.Confirm) structs.LogEntry {
	body, err := EncodeConfirm(&c)
	if err != nil {
		t.Fatal(err)
	}
	return structs.LogEntry{Offset: at, Body: body}
}

func ptr[T any](v T) *T { return &v }

func modelIntent(id structs.ModelID, replicas int) structs.Intent {
	return structs.Intent{Model: &structs.ModelIntent{ID: id, Replicas: &replicas}}
}

func confirm(plan, operator string, base structs.Version, intents ...structs.Intent) structs.Confirm {
	return structs.Confirm{Plan: plan, Operator: operator, Base: base, Intents: intents}
}

// Symptom: two operators each believe that their setting of one model holds.
// Sequence: both plan from version 0, both confirm, the records land as 1 and 2.
// Cause: without a check of Touched against Base the second silently wins.
func TestRacingConfirmsAreDecidedByLogOrder(t *testing.T) {
	s := Empty().Fold([]structs.LogEntry{
		entry(t, 1, confirm("a", "ann", 0, modelIntent("m", 2))),
		entry(t, 2, confirm("b", "ben", 0, modelIntent("m", 5))),
	})
	if got := s.Models["m"].Replicas; got != 2 {
		t.Errorf("replicas %d, want the first operator's 2", got)
	}
	loser := s.Outcomes["b"]
	if !errs.Is(loser.Err, errs.StalePlan) {
		t.Fatalf("loser's error %v", loser.Err)
	}
	if want := (First{Version: 1, Operator: "ann", Object: "model/m"}); *loser.First != want {
		t.Errorf("first %+v, want %+v", *loser.First, want)
	}
}

func TestConfirmsOfDifferentObjectsBothHold(t *testing.T) {
	s := Empty().Fold([]structs.LogEntry{
		entry(t, 1, confirm("a", "ann", 0, modelIntent("m", 2))),
		entry(t, 2, confirm("b", "ben", 0, modelIntent("n", 3))),
	})
	if !s.Outcomes["a"].Held() || !s.Outcomes["b"].Held() {
		t.Errorf("outcomes %+v", s.Outcomes)
	}
}

// Symptom: two hosts are retired at once and too little is left.
// Sequence: each operator's plan showed the capacity left without the other.
// Cause: the plans touch different hosts, yet both rely on the fleet's capacity.
func TestTwoRetirementsConflictOverTheFleet(t *testing.T) {
	retire := func(h structs.HostID) structs.Intent {
		return structs.Intent{Host: &structs.HostOrder{ID: h, Retire: true}}
	}
	s := Empty().Fold([]structs.LogEntry{
		entry(t, 1, confirm("a", "ann", 0, retire("h1"))),
		entry(t, 2, confirm("b", "ben", 0, retire("h2"))),
	})
	if s.Hosts["h2"].Retire || !errs.Is(s.Outcomes["b"].Err, errs.StalePlan) {
		t.Errorf("second retirement: %+v", s.Outcomes["b"])
	}
	if got := s.Outcomes["b"].First.Object; got != structs.FleetObject {
		t.Errorf("object %q", got)
	}
}

// Symptom: a change that a later confirm replaced comes back.
// Sequence: confirm a; its answer is lost; c changes the model again; the resend of a lands.
// Cause: the copy is folded as if it were new.
func TestResentConfirmChangesNothing(t *testing.T) {
	a := confirm("a", "ann", 0, modelIntent("m", 2))
	s := Empty().Fold([]structs.LogEntry{
		entry(t, 1, a),
		entry(t, 2, confirm("c", "ann", 1, modelIntent("m", 4))),
		entry(t, 3, a),
	})
	if got := s.Models["m"].Replicas; got != 4 {
		t.Errorf("replicas %d, want 4", got)
	}
	if out := s.Outcomes["a"]; !out.Held() || out.Version != 1 {
		t.Errorf("outcome of the resent confirm %+v", out)
	}
}

// Symptom: as above, after thousands of other confirms.
// Cause: the outcome of the first copy was dropped to bound memory.
func TestResentConfirmAfterItsOutcomeWasForgotten(t *testing.T) {
	a := confirm("a", "ann", 0, modelIntent("m", 2))
	s := Empty().Fold([]structs.LogEntry{
		entry(t, 1, a),
		entry(t, 2, confirm("c", "ann", 1, modelIntent("m", 4))),
	})
	at := structs.Offset(2)
	for n := range MaxOutcomes + 1 {
		at++
		c := confirm(fmt.Sprint("n", n), "ben", structs.Version(at-1), modelIntent("n", 1+n%9))
		s = s.Fold([]structs.LogEntry{entry(t, at, c)})
	}
	if _, kept := s.Outcomes["a"]; kept || s.Forgot == 0 {
		t.Fatal("the outcome was meant to be forgotten by now")
	}
	s = s.Fold([]structs.LogEntry{entry(t, at+1, a)})
	if got := s.Models["m"].Replicas; got != 4 {
		t.Errorf("replicas %d, want 4", got)
	}
	if len(s.Outcomes) > MaxOutcomes || len(s.Touched) > 3 {
		t.Errorf("%d outcomes, %d marks kept", len(s.Outcomes), len(s.Touched))
	}
}

// Symptom: half of a plan is in force.
// Sequence: a plan of two intents, of which the second does not fit.
// Cause: the first is applied before the second is checked.
func TestPlanHoldsWholeOrNotAtAll(t *testing.T) {
	bad := structs.Intent{Policy: &structs.PolicyIntent{Headroom: 2}}
	s := Empty().Fold([]structs.LogEntry{entry(t, 1, confirm("a", "ann", 0, modelIntent("m", 2), bad))})
	if len(s.Models) != 0 || !errs.Is(s.Outcomes["a"].Err, errs.Conflict) {
		t.Errorf("models %v, outcome %+v", s.Models, s.Outcomes["a"])
	}
}

// Symptom: every process stops taking configuration for good.
// Sequence: something appends a record that is no confirm.
// Cause: the fold gives up at the first record that it can't read.
func TestUnreadableRecordIsPassedOver(t *testing.T) {
	log := []structs.LogEntry{
		{Offset: 1, Body: []byte("not cbor")},
		{Offset: 2, Body: []byte{0xa0}}, // a map without the confirm
		entry(t, 3, confirm("a", "ann", 2, modelIntent("m", 2))),
	}
	s := Empty().Fold(log[:2]).Fold(log[1:])
	if s.Unreadable != 2 || s.Version != 3 || s.Models["m"].Replicas != 2 {
		t.Errorf("state %+v", s)
	}
}

func TestCancelOfAJobIsFinal(t *testing.T) {
	job := func(o structs.JobOrder) structs.Intent { return structs.Intent{Job: &o} }
	s := Empty().Fold([]structs.LogEntry{
		entry(t, 1, confirm("a", "ann", 0, job(structs.JobOrder{ID: "j", Cancel: true}))),
		entry(t, 2, confirm("b", "ben", 0, job(structs.JobOrder{ID: "j", Run: true}))),
		entry(t, 3, confirm("c", "ben", 2, job(structs.JobOrder{ID: "j", Run: true}))),
	})
	if j := s.Jobs["j"]; !j.Cancel || j.Run {
		t.Errorf("job %+v", j)
	}
	if !errs.Is(s.Outcomes["b"].Err, errs.StalePlan) || !errs.Is(s.Outcomes["c"].Err, errs.Conflict) {
		t.Errorf("outcomes %+v", s.Outcomes)
	}
}

func TestIntentsThatDoNotFitAreRefused(t *testing.T) {
	const hash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	s, err := Empty().Preview([]structs.Intent{
		{Workspace: &structs.WorkspaceIntent{ID: "w", KeyHashes: []string{hash}}},
		{Service: &structs.ServiceIntent{ID: "lookup"}},
		{Target: &structs.TargetIntent{ID: "t", Kind: structs.KindEngine, Host: "h"}},
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	for name, i := range map[string]structs.Intent{
		"shared key":       {Workspace: &structs.WorkspaceIntent{ID: "x", KeyHashes: []string{hash}}},
		"clear key":        {Workspace: &structs.WorkspaceIntent{ID: "x", KeyHashes: []string{"secret"}}},
		"negative limit":   {Workspace: &structs.WorkspaceIntent{ID: "x", Burst: ptr(-1)}},
		"unknown key":      {Keys: &structs.KeysIntent{Workspace: "w", Revoke: []string{"b"}}},
		"no workspace":     {Grant: &structs.GrantIntent{Workspace: "none", MaxItems: 1}},
		"unserved model":   {Grant: &structs.GrantIntent{Workspace: "w", MaxItems: 1, Models: []structs.ModelID{"m"}}},
		"no replicas":      modelIntent("m", 0),
		"spread too wide":  {Model: &structs.ModelIntent{ID: "m", SpreadDomains: ptr(2)}},
		"retire unknown":   {RetireModel: &structs.RetireModelIntent{ID: "m"}},
		"unknown service":  {Target: &structs.TargetIntent{ID: "u", Kind: structs.KindService, Host: "h2", Service: "none"}},
		"host taken":       {Target: &structs.TargetIntent{ID: "u", Kind: structs.KindEngine, Host: "h"}},
		"remove unknown":   {RemoveTarget: &structs.RemoveTargetIntent{ID: "u"}},
		"return unretired": {Host: &structs.HostOrder{ID: "h"}},
		"run and cancel":   {Job: &structs.JobOrder{ID: "j", Run: true, Cancel: true}},
		"nothing":          {},
	} {
		if _, err := s.Preview([]structs.Intent{i}, 0); !errs.Is(err, errs.Conflict) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestRevokedKeyStaysRevoked(t *testing.T) {
	const hash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	s, err := Empty().Preview([]structs.Intent{
		{Workspace: &structs.WorkspaceIntent{ID: "w", KeyHashes: []string{hash}}},
		{Keys: &structs.KeysIntent{Workspace: "w", Revoke: []string{hash}}},
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	if w := s.Workspaces["w"]; len(w.KeyHashes) != 0 || len(w.RevokedHashes) != 1 {
		t.Errorf("workspace %+v", w)
	}
	again := []structs.Intent{{Keys: &structs.KeysIntent{Workspace: "w", Add: []string{hash}}}}
	if _, err := s.Preview(again, 0); !errs.Is(err, errs.Conflict) {
		t.Errorf("adding it again: %v", err)
	}
}

// drawIntent picks from few objects, so that confirms often conflict.
func drawIntent(t *rapid.T) structs.Intent {
	n := rapid.IntRange(0, 3).Draw(t, "object")
	hash := strings.Repeat(string(rune('a'+rapid.IntRange(0, 5).Draw(t, "key"))), 64)
	workspace := structs.WorkspaceID(fmt.Sprint("w", n))
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 7:
		return structs.Intent{Workspace: &structs.WorkspaceIntent{ID: workspace, KeyHashes: []string{hash}}}
	case 8:
		return structs.Intent{Keys: &structs.KeysIntent{Workspace: workspace, Revoke: []string{hash}}}
	case 0:
		return modelIntent(structs.ModelID(fmt.Sprint("m", n)), rapid.IntRange(0, 4).Draw(t, "replicas"))
	case 1:
		return structs.Intent{Host: &structs.HostOrder{ID: structs.HostID(fmt.Sprint("h", n)), Retire: rapid.Bool().Draw(t, "retire")}}
	case 2:
		return structs.Intent{Target: &structs.TargetIntent{
			ID: structs.TargetID(fmt.Sprint("t", n)), Kind: structs.KindEngine, Host: structs.HostID(fmt.Sprint("h", n)),
		}}
	case 3:
		return structs.Intent{RemoveTarget: &structs.RemoveTargetIntent{ID: structs.TargetID(fmt.Sprint("t", n))}}
	case 4:
		return structs.Intent{Policy: &structs.PolicyIntent{Headroom: float64(n) / 2}}
	case 5:
		return structs.Intent{Job: &structs.JobOrder{ID: structs.JobID(fmt.Sprint("j", n)), Run: n%2 == 0, Cancel: n%2 == 1}}
	default:
		return structs.Intent{RetireModel: &structs.RetireModelIntent{ID: structs.ModelID(fmt.Sprint("m", n))}}
	}
}

func drawLog(t *rapid.T) []structs.LogEntry {
	var log []structs.LogEntry
	var sent []structs.Confirm
	for n := range rapid.IntRange(1, 40).Draw(t, "records") {
		at := structs.Offset(n + 1)
		if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "resend") == 0 {
			log = append(log, entry(t, at, rapid.SampledFrom(sent).Draw(t, "copy")))
			continue
		}
		c := confirm(fmt.Sprint("p", n), rapid.SampledFrom([]string{"ann", "ben", "cy"}).Draw(t, "operator"),
			structs.Version(rapid.IntRange(0, n).Draw(t, "base")))
		for range rapid.IntRange(1, 3).Draw(t, "intents") {
			c.Intents = append(c.Intents, drawIntent(t))
		}
		sent = append(sent, c)
		log = append(log, entry(t, at, c))
	}
	return log
}

// foldInPages folds log as one process might see it: in pages of any size that
// overlap, and with a restart from a snapshot somewhere.
func foldInPages(t *rapid.T, log []structs.LogEntry) *State {
	s := Empty()
	for int(s.Version) < len(log) {
		from := max(0, int(s.Version)-rapid.IntRange(0, 5).Draw(t, "overlap"))
		to := min(len(log), int(s.Version)+rapid.IntRange(1, 10).Draw(t, "page"))
		s = s.Fold(log[from:to])
		if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
			b, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if s, err = Restore(b); err != nil {
				t.Fatal(err)
			}
		}
	}
	return s
}

// Symptom: two processes act on different configurations at one version.
// Sequence: random confirms of several operators with copies, folded by several
// processes in different pages, some of them restarted from a snapshot.
// Cause: a decision that rests on more than the records and their order.
func TestEveryProcessDecidesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		whole, err := Empty().Fold(log).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			b, err := foldInPages(t, log).Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(whole, b) {
				t.Fatal("two processes hold different states at one version")
			}
		}
	})
}

// A held plan changed nothing that another had changed since its base.
func TestNoHeldPlanIsStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		s := Empty()
		for _, e := range log {
			before := s
			s = s.Fold([]structs.LogEntry{e})
			var r structs.ConfigRecord
			if err := Decode(e.Body, &r); err != nil {
				t.Fatal(err)
			}
			out := s.Outcomes[r.Confirm.Plan]
			if out.Version != s.Version {
				continue
			}
			for _, i := range r.Confirm.Intents {
				if out.Held() && before.Touched[i.Object()] > r.Confirm.Base {
					t.Fatalf("plan %s held at %d over %s", r.Confirm.Plan, s.Version, i.Object())
				}
			}
		}
	})
}

func TestFoldDoesNotChangeTheOlderState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		older := Empty().Fold(log[:cut])
		before, err := older.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		older.Fold(log)
		after, err := older.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(before, after) {
			t.Fatal("folding on changed the State that readers hold")
		}
	})
}

// Symptom: calls with an idempotency key go on reaching a host that is being retired.
// Sequence: the host of a plain service is retired; new keys come.
// Cause: the service's target stays registered, and keys have their home by registration.
func TestRetiredHostGivesUpItsPlainService(t *testing.T) {
	confirmed := func(at structs.Offset, ms int64, i ...structs.Intent) structs.LogEntry {
		c := confirm(fmt.Sprint("p", at), "ann", structs.Version(at-1), i...)
		c.AtMs = ms
		return entry(t, at, c)
	}
	host := func(retire bool) structs.Intent {
		return structs.Intent{Host: &structs.HostOrder{ID: "h", Retire: retire}}
	}
	target := func(id structs.TargetID) structs.Intent {
		return structs.Intent{Target: &structs.TargetIntent{ID: id, Kind: structs.KindService, Host: "h", Service: "s"}}
	}
	s := Empty().Fold([]structs.LogEntry{
		confirmed(1, 100, structs.Intent{Service: &structs.ServiceIntent{ID: "s"}}, target("former")),
		confirmed(2, 110, structs.Intent{RemoveTarget: &structs.RemoveTargetIntent{ID: "former"}}, target("t")),
		confirmed(3, 200, host(true)),
	})
	if got := s.Targets["t"]; got.RemovedAt != 3 || got.RemovedMs != 200 {
		t.Errorf("target %+v after the retirement", got)
	}
	stale := s.Fold([]structs.LogEntry{entry(t, 4, confirm("x", "ben", 2, structs.Intent{RemoveTarget: &structs.RemoveTargetIntent{ID: "t"}}))})
	if !errs.Is(stale.Outcomes["x"].Err, errs.StalePlan) {
		t.Errorf("a plan for the target from before: %+v", stale.Outcomes["x"])
	}
	s = s.Fold([]structs.LogEntry{confirmed(4, 300, host(false))})
	if got := s.Targets["t"]; got.RemovedAt != 0 || got.RemovedMs != 0 || got.AddedMs != 300 {
		t.Errorf("target %+v after its return", got)
	}
	if got := s.Targets["former"]; got.RemovedAt != 2 {
		t.Errorf("a target that an operator removed: %+v", got)
	}
}
