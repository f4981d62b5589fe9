package backlog

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/fairshare"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
)

// oneRoute is a Router with one route.
type oneRoute struct{ route serving.Route }

func (r *oneRoute) Route(string, string) (*serving.Route, serving.Limits, error) {
	return &r.route, serving.Limits{}, nil
}

// Guards against a workspace with large jobs whose items all start before those of others that are due later: within a
// rank the items of workspaces within their share start first, here and, by the reported key, between gateways. Ranks
// and lateness take precedence.
func TestItemsOfWorkspacesWithinTheirShareStartFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Second, Sharing: &fairshare.Options{Window: 2 * time.Second}})
		view.UpdateTargets([]serving.Target{{ID: "t", Service: "s", Slots: 16}}, nil)
		// A first run, which has no mean hold time yet, gives the service one of a second.
		first, _ := view.StartOnline(fleet.Work{Service: "s"}, nil)
		time.Sleep(time.Second)
		first.RecordHoldTime()
		first.Done()
		for range 15 {
			view.StartBatch(fleet.Work{Service: "s", Workspace: "large"}, 0, func() {})
		}
		time.Sleep(time.Second)
		sc := &scheduler{m: &Manager{view: view, runTimes: backlog.NewRunTimeEstimator(), router: &oneRoute{serving.Route{ServiceWeights: []serving.ServiceWeight{{Service: "s", Weight: 1}}}}}}
		now := time.Now()
		taskOf := func(id, workspace string, dueIn time.Duration, rank int) *task {
			return &task{job: &backlog.Job{ID: id, Workspace: workspace, SubmittedMs: now.UnixMilli(), DueWithin: dueIn, Rank: rank, Items: []backlog.Item{{ID: "i"}}}}
		}
		tasks := []*task{
			taskOf("large-soon", "large", 30*time.Second, 0),
			taskOf("small-weeks", "small", 20*24*time.Hour, 0),
			taskOf("large-urgent-late", "large", -time.Second, 0),
			taskOf("small-less-urgent", "small", time.Second, 1),
			taskOf("large-weeks", "large", 20*24*time.Hour, 0),
			taskOf("none", "", time.Minute, 0),
		}
		var got []string
		ordered := sc.sortTasks(tasks, now)
		for _, o := range ordered {
			got = append(got, o.task.job.ID)
		}
		if want := []string{"none", "small-weeks", "large-soon", "large-weeks", "small-less-urgent", "large-urgent-late"}; !slices.Equal(got, want) {
			t.Errorf("start order is %v, want %v", got, want)
		}
		time.Sleep(3 * time.Second)
		if first := sc.sortTasks(tasks[:2], time.Now())[0].task.job.ID; first != "large-soon" {
			t.Errorf("a window after the last start of the large workspace %s is first, want the item that is due first", first)
		}
	})
}
