package confstate

import (
	"fmt"
	"testing"

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
