package backlog

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
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

// liveJobBytes returns how many bytes the live records in the partition of jobs have.
func (cl *cluster) liveJobBytes() (n int) {
	sizes := make(map[string]int)
	for _, r := range cl.store.Records(jobPartition) {
		sizes[r.Key] = len(r.Value)
	}
	for _, size := range sizes {
		n += size
	}
	return n
}

// Guards against large jobs that are refused because of the limit and leave their first chunks in the store, and so in the
// memory of all processes, for good.
func TestRefusedLargeJobsLeaveNothing(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		const refusals = 20
		accepted := cl.largeJob("accepted")
		route := *cl.route
		route.MaxQueuedTokens = accepted.Tokens()
		if err := cl.nodes[0].manager.Submit(context.Background(), &route, accepted); err != nil {
			t.Fatal(err)
		}
		stored := cl.liveJobBytes()
		for i := range refusals {
			err := cl.nodes[i%2].manager.Submit(context.Background(), &route, cl.largeJob(fmt.Sprint("refused-", i)))
			if !errs.Is(err, errs.RateLimited) {
				t.Errorf("submission of a job over the limit: error %v, want RateLimited", err)
			}
		}
		if n := cl.liveJobBytes(); n != stored {
			t.Errorf("the store holds %d bytes of jobs after %d refusals, want the %d of the accepted job", n, refusals, stored)
		}
		cl.checkResults(accepted, cl.nodes[1].results(accepted, 30*time.Second))
	})
}

// Guards against chunks that stay for good after submissions that are not refused by the limit: the process ends between
// two appends, the answer to the first one is lost, or that one is done late.
func TestChunksOfFailedSubmissionsAreDeleted(t *testing.T) {
	for name, faults := range map[string]keyedlog.Faults{
		"answers are lost": {LoseAnswers: true}, "appends are done late": {Late: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(t *testing.T, cl *cluster) {
				n0, n1 := cl.nodes[0], cl.nodes[1]
				ctx, cancel := context.WithTimeout(context.Background(), appendTimeout/2)
				defer cancel()
				n0.view.Set(faults)
				if err := n0.manager.Submit(ctx, cl.route, cl.largeJob("a")); err == nil {
					t.Error("submission without answers of the store succeeded, want an error")
				}
				n0.kill()
				accepted := cl.largeJob("b")
				n1.submit(accepted)
				cl.checkResults(accepted, n1.results(accepted, 30*time.Second))
				time.Sleep(minChunkAge + 3*compactionInterval)
				for _, key := range cl.newestJobKeys() {
					if !strings.HasPrefix(key, "j/b") {
						t.Errorf("the store still holds %s, want only the accepted job", key)
					}
				}
				n1.manager.replica.withState(func(st *backlog.State) {
					if left := st.IncompleteJobs(); len(left) > 0 {
						t.Errorf("%d incomplete jobs are still in memory, want none", len(left))
					}
				})
			})
		})
	}
}

// Guards against a job that is lost because its chunks are taken for those of a failed submission: it is stored after they
// were found incomplete, or its submission was under way all the time.
func TestJobIsNotSweptWhileItIsStored(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		j := cl.largeJob("j")
		scoped := *j
		records, err := backlog.EncodeJob(&scoped)
		if err != nil {
			t.Fatal(err)
		}
		leading, last := splitAppends(backlog.WithAttempt(records, "a"))
		n.manager.writeRecords(t.Context(), jobPartition, leading[0])
		time.Sleep(time.Second)
		sweeper := newChunkSweeper(n.manager)
		sweeper.sweep(t.Context(), time.Now())
		old := sweeper.old(time.Now().Add(minChunkAge))
		if len(old) != 1 {
			t.Fatalf("%d incomplete attempts, want 1", len(old))
		}
		// Another process stores the job; this one has not read that yet.
		if _, err := n.view.Sibling().Append(t.Context(), platform.Append{Partition: jobPartition, Records: last}); err != nil {
			t.Fatal(err)
		}
		sweeper.sweep(t.Context(), time.Now().Add(minChunkAge))
		time.Sleep(time.Second)
		restarted := cl.start("node-1")
		time.Sleep(2 * time.Second)
		cl.checkResults(j, restarted.results(j, 30*time.Second))
	})
}
