package backlog

import (
	"context"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
)

// Callers of two workspaces, and one that sends no key.
var ownCaller, otherCaller, unidentifiedCaller = serving.Caller{Workspace: "w1"}, serving.Caller{Workspace: "w2"}, serving.Caller{IsUnidentified: true}

// A workspace must not read or cancel the jobs of another one, even if both use the same job id.
func TestJobsVisibleOnlyToTheirWorkspace(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		ctx := context.Background()
		manager, otherManager := cl.nodes[0].manager, cl.nodes[1].manager
		ownJob := cl.job("a", repeat("ok", 3)...)
		ownJob.Workspace = ownCaller.Workspace
		cl.nodes[0].submit(ownJob)
		time.Sleep(time.Second)
		for _, c := range []struct {
			caller serving.Caller
			want   errs.Type
		}{{otherCaller, errs.NotFound}, {unidentifiedCaller, errs.Unauthenticated}} {
			if _, err := otherManager.Results(ctx, c.caller, "a", 0, 0); !errs.Is(err, c.want) {
				t.Errorf("results of another workspace's job for caller %+v: error is %v, want errs.NotFound, or errs.Unauthenticated without a key", c.caller, err)
			}
			if _, err := otherManager.ItemBody(ctx, c.caller, "a", ownJob.Items[0].ID); !errs.Is(err, c.want) {
				t.Errorf("item body of another workspace's job for caller %+v: error is %v, want errs.NotFound, or errs.Unauthenticated without a key", c.caller, err)
			}
			if err := otherManager.Cancel(ctx, c.caller, "a"); !errs.Is(err, c.want) {
				t.Errorf("cancellation of another workspace's job by caller %+v: error is %v, want errs.NotFound, or errs.Unauthenticated without a key", c.caller, err)
			}
		}
		otherJob := cl.job("a", repeat("ok", 1)...)
		otherJob.Workspace = otherCaller.Workspace
		cl.nodes[1].submit(otherJob)
		time.Sleep(20 * time.Second)
		for caller, job := range map[serving.Caller]*backlog.Job{ownCaller: ownJob, otherCaller: otherJob} {
			page, err := manager.Results(ctx, caller, "a", 0, 0)
			if err != nil || page.Total != len(job.Items) {
				t.Errorf("workspace %s read page %+v of its job, error %v; want a total of all its items and no error", caller.Workspace, page, err)
			}
			cl.checkResults(job, page.Results)
		}
		if err := manager.Cancel(ctx, ownCaller, "a"); err != nil {
			t.Error(err)
		}
	})
}

// The token limit of a route must hold for each workspace separately, across all processes.
func TestTokenLimitsPerWorkspace(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		cl.route.MaxQueuedTokens = 500
		submit := func(n *node, workspace, id string, items int) error {
			j := cl.job(id, repeat("slow", items)...)
			j.Workspace = workspace
			return n.manager.Submit(context.Background(), cl.route, j)
		}
		if err := submit(cl.nodes[0], "w1", "a", 4); err != nil {
			t.Fatal(err)
		}
		if err := submit(cl.nodes[1], "w1", "b", 2); !errs.Is(err, errs.RateLimited) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("job beyond the limit at another process: error is %v, want errs.RateLimited with a retry delay", err)
		}
		if err := submit(cl.nodes[1], "w2", "b", 4); err != nil {
			t.Errorf("job of another workspace: error is %v, want none", err)
		}
		if err := submit(cl.nodes[1], "w1", "c", 1); err != nil {
			t.Errorf("job within the limit: error is %v, want none", err)
		}
	})
}

// The scoped ids of different workspaces or jobs must differ and be at most 100 bytes long.
func TestScopedIDs(t *testing.T) {
	seen := make(map[string]string)
	for _, c := range []struct{ workspace, id string }{{"", "a"}, {"a", "b"}, {"a/b", "c"}, {"a", "b/c"}, {"b", "a"}, {string(make([]byte, 200)), "x"}} {
		scoped := backlog.ScopedID(c.workspace, c.id)
		if other, ok := seen[scoped]; ok || len(scoped) > 100 {
			t.Errorf("%q and %q have the scoped id %q, want different ids of at most 100 bytes", other, c, scoped)
		}
		seen[scoped] = c.workspace + " " + c.id
	}
	if backlog.ScopedID("", "a") != "a" {
		t.Error("the scoped id of job id a without a workspace is not a, want a")
	}
}
