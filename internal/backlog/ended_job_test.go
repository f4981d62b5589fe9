package backlog

import (
	"context"
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// Guards against items of an ended job that run for as long as the process finds another item to start.
func TestItemsOfEndedJobDoNotStartWhileAQueueIsWorkedOff(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		// Short items leave a slot free at all times, so that the starts go on without a pause.
		cl.targets.intercept = func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error, bool) {
			return emptyAnswer(200), nil, true
		}
		n := cl.nodes[0]
		release := n.fillTargets("target-0", "target-1", "target-2")
		var jobs []*backlog.Job
		for i := range 10 {
			j := cl.job(fmt.Sprintf("j%02d", i), repeat("ok", 200)...)
			n.submit(j)
			jobs = append(jobs, j)
		}
		time.Sleep(2 * idlePollInterval)
		release()
		time.Sleep(time.Second)
		ended := jobs[len(jobs)-1]
		if err := n.manager.Cancel(context.Background(), serving.Caller{}, ended.ID); err != nil {
			t.Fatalf("the job could not be ended: %v", err)
		}
		endedAt := time.Now()
		time.Sleep(20 * time.Second)
		if late := cl.targets.lastStartOf(ended).Sub(endedAt); late > maxCancelAge {
			t.Errorf("an item of the job started %v after its end, want none later than %v", late, maxCancelAge)
		}
		for _, j := range jobs[:len(jobs)-1] {
			if list := n.results(j, time.Second); len(list) != len(j.Items) {
				t.Errorf("%d of %d items of job %s are listed, want all", len(list), len(j.Items), j.ID)
			}
		}
	})
}
