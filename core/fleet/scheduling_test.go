package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/fairshare"
	"arbutusramp/core/serving"
)

// Guards against an answer for operators that grows with the deployment, and that leaves out the slowest targets, the
// largest services or the busiest workspaces.
func TestSchedulingStateIsBounded(t *testing.T) {
	f := New(Options{Self: "self", PeerTTL: time.Second, ExpectedTime: ExpectedTimeOn, YieldsInOverload: true, Sharing: &fairshare.Options{Window: time.Second}})
	for i := range 300 {
		f.Put(serving.Target{ID: fmt.Sprintf("t-%03d", i), Service: fmt.Sprintf("s-%02d", i%75), Slots: 1 + i%75})
	}
	for i := range 150 {
		f.sharing.Offer(start, "s-74", fmt.Sprintf("w-%03d", i), time.Duration(1+i)*time.Millisecond)
	}
	f.costs.ApplyObservations(start, []costmodel.Observation{{Target: "t-299", Runs: 20, SpeedSum: 40}})
	now := start.Add(time.Millisecond)
	targets, targetsLeftOut := f.TargetStates(now)
	if len(targets) != maxTargetStates || targetsLeftOut != 100 || targets[0].ID != "t-299" || targets[0].Slowness < 2 || targets[0].Runs != 20 {
		t.Errorf("%d targets and %d left out, the first is %+v, want 200, 100 and the slow t-299", len(targets), targetsLeftOut, targets[0])
	}
	services, servicesLeftOut := f.ServiceStates(now)
	if len(services) != maxServiceStates || servicesLeftOut != 11 || services[0].Service != "s-74" || services[0].Slots != 4*75 {
		t.Errorf("%d services and %d left out, the first is %+v, want 64, 11 and s-74", len(services), servicesLeftOut, services[0])
	}
	workspaces, workspacesLeftOut := f.WorkspaceStates(now, "s-74")
	if len(workspaces) != maxWorkspaceStates || workspacesLeftOut != 50 || workspaces[0].Workspace != "w-149" {
		t.Errorf("%d workspaces and %d left out, the first is %+v, want 100, 50 and w-149", len(workspaces), workspacesLeftOut, workspaces[0])
	}
	if _, err := json.Marshal(Scheduling{Targets: targets, Services: services}); err != nil {
		t.Error(err)
	}
	if n := f.SlowTargets(now); n != 1 {
		t.Errorf("%d slow targets, want 1", n)
	}
}

// Guards against figures for operators that differ from those of the decisions: wait, overload, usage of peers.
func TestSchedulingStateIsThatOfTheDecisions(t *testing.T) {
	f := New(Options{Self: "self", PeerTTL: time.Second, ExpectedTime: ExpectedTimeOn, YieldsInOverload: true, Sharing: &fairshare.Options{Window: time.Second}})
	f.Put(serving.Target{ID: "t", Service: "s", Slots: 2})
	f.Put(serving.Target{ID: "gone", Service: "s", Slots: 2, IsDraining: true})
	f.RecordHoldTime("s", 100*time.Millisecond)
	f.ApplyReport(start, "peer", Report{Loads: map[string]Load{"t": {Online: 3}}, Overloaded: []string{"s"}, Usage: []fairshare.Usage{{Service: "s", Workspace: 0xab, Offered: 3, Served: 2}}})
	f.OfferOnline(start, Work{Service: "s", Workspace: "w"}, 0, false)
	now := start.Add(10 * time.Millisecond)
	targets, _ := f.TargetStates(now)
	want := TargetState{ID: "t", Service: "s", State: "in service", Slowness: 1, Pace: 1, WaitMs: 100, Online: 3, Slots: 2}
	if targets[0] != want || targets[1].State != "draining" {
		t.Errorf("targets %+v, want %+v and a draining one", targets, want)
	}
	services, _ := f.ServiceStates(now)
	s := services[0]
	if s.Targets != 1 || s.Slots != 2 || s.Online != 3 || s.WaitMs != 100 || s.HoldMs != 100 || !s.IsOverloaded || s.OverloadSource != "peer" || s.OverloadMs != 10 || s.Forecast != 3 || f.OverloadedServices(now) != 1 {
		t.Errorf("service %+v, want a wait of 100 ms for 2 slots with 3 requests, and an overload for 10 ms by the peer", s)
	}
	workspaces, _ := f.WorkspaceStates(now, "s")
	if len(workspaces) != 2 || workspaces[0].Workspace != "digest:000000ab" || workspaces[0].Use != 2 || !workspaces[0].IsOverShare || workspaces[1].Workspace != "w" {
		t.Errorf("workspaces %+v, want that of the peer by its digest and over its share, then w", workspaces)
	}
}
