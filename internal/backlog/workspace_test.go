package backlog

import (
	"context"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
)

var owner, otherWorkspace, unidentified = serving.Caller{Workspace: "w1"}, serving.Caller{Workspace: "w2"}, serving.Caller{IsUnidentified: true}

// A workspace finds only its own jobs, under whatever id, and cannot cancel those of others.
func TestJobsVisibleOnlyToTheirWorkspace(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		ctx := context.Background()
		m, other := w.nodes[0].manager, w.nodes[1].manager
		mine := w.job("a", repeat("ok", 3)...)
		mine.Workspace = owner.Workspace
		w.nodes[0].submit(mine)
		time.Sleep(time.Second)
		for _, c := range []struct {
			caller serving.Caller
			want   errs.Type
		}{{otherWorkspace, errs.NotFound}, {unidentified, errs.Unauthenticated}} {
			if _, err := other.Results(ctx, c.caller, "a", 0, 0); !errs.Is(err, c.want) {
				t.Errorf("results for %+v: %v", c.caller, err)
			}
			if _, err := other.ItemBody(ctx, c.caller, "a", mine.Items[0].ID); !errs.Is(err, c.want) {
				t.Errorf("body for %+v: %v", c.caller, err)
			}
			if err := other.End(ctx, c.caller, "a"); !errs.Is(err, c.want) {
				t.Errorf("cancellation for %+v: %v", c.caller, err)
			}
		}
		theirs := w.job("a", repeat("ok", 1)...)
		theirs.Workspace = otherWorkspace.Workspace
		w.nodes[1].submit(theirs)
		time.Sleep(20 * time.Second)
		for caller, job := range map[serving.Caller]*backlog.Job{owner: mine, otherWorkspace: theirs} {
			page, err := m.Results(ctx, caller, "a", 0, 0)
			if err != nil || page.Total != len(job.Items) {
				t.Errorf("%s: %+v, %v", caller.Workspace, page, err)
			}
			w.checkResults(job, page.Results)
		}
		if err := m.End(ctx, owner, "a"); err != nil {
			t.Error(err)
		}
	})
}

// Token limits hold for each workspace separately, across all processes.
func TestTokenLimitsPerWorkspace(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		w.route.MaxQueued = 500
		submit := func(n *node, workspace, id string, items int) error {
			j := w.job(id, repeat("slow", items)...)
			j.Workspace = workspace
			return n.manager.Submit(context.Background(), w.route, j)
		}
		if err := submit(w.nodes[0], "w1", "a", 4); err != nil {
			t.Fatal(err)
		}
		if err := submit(w.nodes[1], "w1", "b", 2); !errs.Is(err, errs.RateLimited) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("beyond the limit at another process: %v", err)
		}
		if err := submit(w.nodes[1], "w2", "b", 4); err != nil {
			t.Errorf("another workspace: %v", err)
		}
		if err := submit(w.nodes[1], "w1", "c", 1); err != nil {
			t.Errorf("within the limit: %v", err)
		}
	})
}

func TestScopedIDs(t *testing.T) {
	seen := make(map[string]string)
	for _, c := range []struct{ workspace, id string }{{"", "a"}, {"a", "b"}, {"a/b", "c"}, {"a", "b/c"}, {"b", "a"}, {string(make([]byte, 200)), "x"}} {
		scoped := backlog.ScopedID(c.workspace, c.id)
		if other, ok := seen[scoped]; ok || len(scoped) > 100 {
			t.Errorf("%q and %q have the scoped id %q", other, c, scoped)
		}
		seen[scoped] = c.workspace + " " + c.id
	}
	if backlog.ScopedID("", "a") != "a" {
		t.Error("the scoped id differs from the id without a workspace")
	}
}
