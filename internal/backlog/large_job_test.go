package backlog

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
	"arbutusramp/standin/keyedlog"
)

// largeJob returns a job that is too large for one append. Most of it are headers, whose order differs each time the job
// is encoded.
func (cl *cluster) largeJob(id string) *backlog.Job {
	const items, headers, headerBytes = 60, 40, 1000
	j := cl.job(id, repeat("ok", items)...)
	for i := range j.Items {
		j.Items[i].Header = make(map[string][]string)
		for n := range headers {
			j.Items[i].Header[fmt.Sprint("H", n)] = []string{strings.Repeat(string(rune('a'+n%26)), headerBytes)}
		}
	}
	return j
}

// Guards against an accepted job that can't be read any more: an append of its first chunks, which had been refused for its
// caller, is done late and replaces chunks of the accepted attempt.
func TestLateChunksLeaveAcceptedLargeJobWhole(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		const late = 4 * time.Second
		n0, n1 := cl.nodes[0], cl.nodes[1]
		n0.view.Set(keyedlog.Faults{Late: late})
		err := n0.manager.Submit(context.Background(), cl.route, cl.largeJob("j"))
		if err == nil || errs.As(err).Ran != errs.RanNo {
			t.Errorf("submission while appends are not answered: error %v, want one that says that the job does not run", err)
		}
		j := cl.largeJob("j")
		n1.submit(j)
		time.Sleep(2 * late)
		n0.view.Set(keyedlog.Faults{})
		n2 := cl.start("node-2")
		time.Sleep(2 * time.Second)
		for _, n := range []*node{n0, n1, n2} {
			cl.checkResults(j, n.results(j, 30*time.Second))
		}
	})
}

// Guards against a large job that is refused although only the answer to the append of its first chunks was lost.
func TestLargeJobIsAcceptedAfterLostAnswer(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		n.view.Set(keyedlog.Faults{LoseAnswers: true})
		go func() {
			time.Sleep(appendTimeout / 2)
			n.view.Set(keyedlog.Faults{})
		}()
		j := cl.largeJob("j")
		if err := n.manager.Submit(context.Background(), cl.route, j); err != nil {
			t.Fatalf("submission whose first append was done without an answer: error %v, want none", err)
		}
		cl.checkResults(j, n.results(j, 30*time.Second))
	})
}

// Guards against a job that is deleted in part only, so that its chunks stay in the store.
func TestExpiredLargeJobLeavesNothing(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j := cl.largeJob("j")
		n.submit(j)
		cl.checkResults(j, n.results(j, 30*time.Second))
		time.Sleep(cl.keepFor + maxClockSkew + 2*compactionInterval)
		if left := cl.newestJobKeys(); len(left) > 0 {
			t.Errorf("the store still holds the records %q after the job has expired, want none", left)
		}
		if _, err := n.manager.Results(context.Background(), serving.Caller{}, j.ID, 0, 0); !errs.Is(err, errs.NotFound) {
			t.Errorf("results of the expired job: error %v, want NotFound", err)
		}
	})
}

// newestJobKeys returns the keys of all records in the partition of jobs that were not deleted.
func (cl *cluster) newestJobKeys() (keys []string) {
	live := make(map[string]bool)
	for _, r := range cl.store.Records(jobPartition) {
		live[r.Key] = len(r.Value) > 0
	}
	for key, isLive := range live {
		if isLive {
			keys = append(keys, key)
		}
	}
	return keys
}
