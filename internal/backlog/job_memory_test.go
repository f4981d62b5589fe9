package backlog

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// Guards against accepted jobs that fill the memory of every process, and against room that is not given back when jobs go.
func TestJobsAreBoundedInMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const room = 3
		cl := newCluster(t, 0)
		size := cl.largeJob("j0").Bytes()
		cl.maxJobBytes = func() int64 { return room*size + size/2 }
		cl.keepFor = 10 * time.Second
		cl.startNodes(2)
		defer cl.stopAll()
		time.Sleep(2 * time.Second)
		for i := range room {
			cl.nodes[i%2].submit(cl.largeJob(fmt.Sprint("j", i)))
		}
		for _, n := range cl.nodes {
			err := n.manager.Submit(context.Background(), cl.route, cl.largeJob("more"))
			if e := errs.As(err); !errs.Is(err, errs.ProcessFull) || e.Ran != errs.RanNo || e.RetryAfterMs == 0 {
				t.Errorf("%s: a job beyond the memory: error %v, want ProcessFull, not run, with a time to come back", n.name, err)
			}
		}
		cl.nodes[1].submit(cl.job("small", "ok"))
		for i := range room {
			j := cl.largeJob(fmt.Sprint("j", i))
			cl.checkResults(j, cl.nodes[0].results(j, 30*time.Second))
		}
		time.Sleep(2 * time.Minute) // the jobs go
		if kept := cl.nodes[0].manager.Counts().JobBytes; kept != 0 {
			t.Errorf("%d bytes are counted after all jobs have gone, want 0", kept)
		}
		cl.nodes[0].submit(cl.largeJob("later"))
	})
}

// Guards against a count of bytes that drifts from the jobs and chunks that the state contains.
func TestJobBytesFollowTheState(t *testing.T) {
	cl := &cluster{t: t, route: &serving.Route{Name: "batch"}}
	j := cl.largeJob("j")
	records, err := backlog.EncodeJob(j)
	if err != nil || len(records) < 2 {
		t.Fatalf("%d records, error %v, want several", len(records), err)
	}
	records = backlog.WithAttempt(records, "a")
	st := backlog.NewState()
	apply := func(list ...platform.KeyedRecord) {
		for _, r := range list {
			if err := st.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
	}
	apply(records[0])
	apply(records[0])
	if st.JobBytes() == 0 || st.JobBytes() > int64(len(records[0].Value)) {
		t.Errorf("%d bytes after the first of the chunks, applied twice, want about its %d", st.JobBytes(), len(records[0].Value))
	}
	apply(records...)
	if st.JobBytes() != j.Bytes() {
		t.Errorf("%d bytes with the job, want %d", st.JobBytes(), j.Bytes())
	}
	tombstones, err := st.TombstonesOf(j.ID)
	if err != nil {
		t.Fatal(err)
	}
	apply(tombstones.Jobs...)
	apply(records[1])
	apply(backlog.Tombstones(records[1:2])...)
	if st.JobBytes() != 0 {
		t.Errorf("%d bytes after the job and a late chunk have been deleted, want 0", st.JobBytes())
	}
}
