package plan

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

func ptr[T any](v T) *T { return &v }

func fleetOf(t *testing.T, hosts ...string) (*confstate.State, View) {
	t.Helper()
	var intents []structs.Intent
	var v View
	for n, h := range hosts {
		id := structs.TargetID("t" + h)
		intents = append(intents, structs.Intent{Target: &structs.TargetIntent{ID: id, Kind: structs.KindEngine, Host: structs.HostID(h)}})
		v.Fleet.Targets = append(v.Fleet.Targets, structs.FleetTarget{
			ID: id, Host: structs.HostID(h), Domain: structs.FailureDomain("d" + h), Live: true,
			Online: n + 1, Batch: 10, Limit: 8,
		})
	}
	v.Fleet.WeightBytesPerS = 1e9
	v.Fleet.Sizes = map[structs.ModelVersion]int64{{Model: "m", Version: "1"}: 5e9}
	s, err := confstate.Empty().Preview(intents, 0)
	if err != nil {
		t.Fatal(err)
	}
	return s, v
}

func makePlan(t *testing.T, s *confstate.State, v View, intents ...structs.Intent) *Plan {
	t.Helper()
	p, err := Make(s, v, intents, "ann", 1000)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func serve(replicas, spread int) structs.Intent {
	return structs.Intent{Model: &structs.ModelIntent{ID: "m", Version: ptr("1"), Replicas: &replicas, SpreadDomains: &spread}}
}

func actions(p *Plan) []string {
	var out []string
	for _, s := range p.Steps {
		out = append(out, s.Action+" "+s.Object)
	}
	return out
}

func TestPlanShowsLoadsWithTheirCost(t *testing.T) {
	s, v := fleetOf(t, "a", "b", "c")
	p := makePlan(t, s, v, serve(2, 2))
	want := []string{"set model/m", "load model/m", "load model/m"}
	if !slices.Equal(actions(p), want) {
		t.Fatalf("steps %v", actions(p))
	}
	if p.Cost.Bytes != 10e9 || p.Cost.Seconds != 10 {
		t.Errorf("cost %+v", p.Cost)
	}
	if p.Capacity.After != (Room{Targets: 3, Requests: 24}) {
		t.Errorf("capacity %+v", p.Capacity)
	}
}

func TestPlanOfARetirementShowsWhatMovesAndWhatIsLeft(t *testing.T) {
	s, v := fleetOf(t, "a", "b", "c")
	s, err := s.Preview([]structs.Intent{serve(1, 1)}, 0)
	if err != nil {
		t.Fatal(err)
	}
	v.Fleet.Targets[0].Loaded = []structs.Loaded{{Model: "m", Version: "1"}}
	p := makePlan(t, s, v, structs.Intent{Host: &structs.HostOrder{ID: "a", Retire: true}})
	if !slices.Equal(actions(p), []string{"drain host/a", "load model/m"}) {
		t.Fatalf("steps %v", actions(p))
	}
	if p.Cost.Online != 1 || p.Cost.Items != 10 {
		t.Errorf("cost %+v", p.Cost)
	}
	if p.Capacity.Meanwhile.Targets != 2 {
		t.Errorf("capacity %+v", p.Capacity)
	}
	if !slices.Equal(p.Touches, []string{"model/m"}) {
		t.Errorf("touches %v", p.Touches)
	}
}

// Symptom: a host is emptied although its model was scaled up meanwhile.
// Sequence: ann plans to retire a host that holds m; ben changes m; ann confirms.
// Cause: ann's intents do not name m, which her plan moves.
func TestRetirementIsStaleWhenAModelThatItMovesChanged(t *testing.T) {
	s, v := fleetOf(t, "a", "b")
	s, _ = s.Preview([]structs.Intent{serve(1, 1)}, 0)
	v.Fleet.Targets[0].Loaded = []structs.Loaded{{Model: "m", Version: "1"}}
	p := makePlan(t, s, v, structs.Intent{Host: &structs.HostOrder{ID: "a", Retire: true}})
	ben := makePlan(t, s, v, serve(2, 2))
	var log []structs.LogEntry
	for n, c := range []*structs.Confirm{ben.Confirm("ben", 0), p.Confirm("ann", 0)} {
		body, err := confstate.EncodeConfirm(c)
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, structs.LogEntry{Offset: structs.Offset(n + 1), Body: body})
	}
	out := s.Fold(log).Outcomes[p.ID]
	if !errs.Is(out.Err, errs.StalePlan) || out.First.Object != "model/m" || out.First.Operator != "ben" {
		t.Errorf("outcome %+v", out)
	}
}

func TestPlanWarnsOfWhatTheFleetCannotHold(t *testing.T) {
	s, v := fleetOf(t, "a", "b")
	p := makePlan(t, s, v, serve(3, 3))
	text := p.Text()
	for _, want := range []string{"wants 3 replicas, but only 2", "wants 3 failure domains, but model engines stand in 2"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
}

func TestPlanWarnsOfAServiceWithoutTarget(t *testing.T) {
	s, err := confstate.Empty().Preview([]structs.Intent{
		{Service: &structs.ServiceIntent{ID: "lookup", NonIdempotent: []string{"POST"}}},
		{Target: &structs.TargetIntent{ID: "t", Kind: structs.KindService, Host: "h", Service: "lookup"}},
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := makePlan(t, s, View{}, structs.Intent{RemoveTarget: &structs.RemoveTargetIntent{ID: "t"}})
	if len(p.Warnings) != 1 || !strings.Contains(p.Warnings[0], "service lookup has no other target") {
		t.Errorf("warnings %v", p.Warnings)
	}
}

func TestMisfitIsRefusedWithItsObject(t *testing.T) {
	_, err := Make(confstate.Empty(), View{}, []structs.Intent{{RetireModel: &structs.RetireModelIntent{ID: "m"}}}, "ann", 0)
	if !errs.Is(err, errs.Conflict) || !strings.Contains(err.Error(), "model/m") {
		t.Errorf("error %v", err)
	}
}

// Symptom: an operator confirms something else than what the plan showed.
// Sequence: the plan's document is edited between plan and confirm.
// Cause: its id is not checked against its content.
func TestChangedPlanIsNoticed(t *testing.T) {
	s, v := fleetOf(t, "a")
	p := makePlan(t, s, v, serve(1, 1))
	p.Intents = []structs.Intent{serve(9, 1)}
	if err := p.Check(); !errs.Is(err, errs.BadRequest) {
		t.Errorf("error %v", err)
	}
}

func TestPlanSurvivesItsJSON(t *testing.T) {
	s, v := fleetOf(t, "a", "b", "c")
	p := makePlan(t, s, v, serve(2, 2), structs.Intent{Policy: &structs.PolicyIntent{Headroom: 0.1}},
		structs.Intent{Workspace: &structs.WorkspaceIntent{ID: "w", RequestsPerS: ptr(0.3)}})
	b, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var back Plan
	if err := json.Unmarshal(b, &back); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*p, back) {
		t.Errorf("got %+v\nwant %+v", back, *p)
	}
	if err := back.Check(); err != nil {
		t.Error(err)
	}
}

func TestPlanDoesNotShowWhatIsUnderWayAnyhow(t *testing.T) {
	s, v := fleetOf(t, "a", "b")
	s, _ = s.Preview([]structs.Intent{serve(1, 1)}, 0) // m is not loaded yet
	p := makePlan(t, s, v, structs.Intent{Policy: &structs.PolicyIntent{Headroom: 0.5}})
	if !slices.Equal(actions(p), []string{"set policy"}) {
		t.Errorf("steps %v", actions(p))
	}
}

func TestPlanOfAPartOfTheFleetSaysSo(t *testing.T) {
	s, v := fleetOf(t, "a")
	v.Partial = true
	if p := makePlan(t, s, v, serve(1, 1)); !strings.Contains(p.Text(), "part of the fleet") {
		t.Errorf("no word of it in:\n%s", p.Text())
	}
}
