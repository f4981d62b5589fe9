package fleetview

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/fairshare"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
)

// Guards against preempted and refused runs that count with the whole time of a run, so that a workspace whose items are
// preempted often seems to have used its share. Runs of items count like online requests.
func TestServedWorkIsWhatRunsHaveTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := New(fleet.Options{Self: "self", PeerTTL: time.Minute, Sharing: &fairshare.Options{Window: 8 * time.Second}})
		v.UpdateTargets([]serving.Target{{ID: "t", Service: "s", Slots: 4}}, nil)
		first, _ := v.StartOnline(fleet.Work{Service: "s"}, nil)
		time.Sleep(time.Second)
		first.RecordHoldTime()
		first.Done()
		began := time.Now()
		for _, workspace := range []string{"preempted", "whole"} {
			item, _ := v.StartBatch(fleet.Work{Service: "s", Workspace: workspace}, 0, func() {})
			time.Sleep(250 * time.Millisecond)
			if workspace == "whole" {
				time.Sleep(750 * time.Millisecond)
			}
			item.Done()
		}
		online, _ := v.StartOnline(fleet.Work{Service: "s", Workspace: "online"}, nil)
		time.Sleep(time.Second)
		online.Done()
		seconds := time.Since(began).Seconds()
		want := map[string]float64{"preempted": 0.25, "whole": 1, "online": 1}
		list := v.Scheduling().Services[0].Workspaces
		if len(list) != len(want) {
			t.Fatalf("workspaces %+v, want %d", list, len(want))
		}
		for _, w := range list {
			if used := w.Use * seconds; used < 0.95*want[w.Workspace] || used > 1.05*want[w.Workspace] {
				t.Errorf("%s has used %.2f s in slots, want %.2f", w.Workspace, used, want[w.Workspace])
			}
		}
	})
}
