package batch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/structs"
)

// sameShard returns a key whose job falls to the shard of job.
func (c *cluster) sameShard(job structs.JobID) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("other-", i)
		id := jobs.JobIDFor(testWorkspace, key)
		if jobs.ShardFor(id, c.set.Shards) == jobs.ShardFor(job, c.set.Shards) {
			return key
		}
	}
}

// Symptom: a job that was just accepted is not found, and results of a job that has ended are cut short.
// Sequence: the owner of a shard is cut off from the log service; another takes over and
// accepts a job; a caller asks through an entry that still takes the first for the owner.
// Cause: an owner that answers from its fold without a look whether the fold is at the stream's end.
func TestReplacedOwnerDoesNotAnswerReads(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		first := c.mustSubmit("k", jobFile(2000, plain))
		old := c.owner(first.ID)
		shard := jobs.ShardFor(first.ID, c.set.Shards)
		old.cutLog.Store(true)
		for c.owner(first.ID) == old {
			time.Sleep(10 * time.Millisecond)
		}
		second, err := c.submit(c.owner(first.ID), c.sameShard(first.ID), jobFile(5, plain))
		if err != nil {
			t.Fatal(err)
		}
		for _, op := range []Op{OpStatus, OpResults, OpCancel} {
			for _, job := range []structs.JobID{first.ID, second.ID} {
				r := old.m.Serve(context.Background(), &PeerRequest{Op: op, Shard: shard, Job: job})
				if !errs.Is(r.Err, errs.NotOwner) {
					t.Errorf("%s of a replaced owner: %v", op, r.Err)
				}
			}
		}
		if r := old.m.Serve(context.Background(), &PeerRequest{Op: OpList, Shard: shard}); !errs.Is(r.Err, errs.NotOwner) {
			t.Errorf("%s of a replaced owner: %v, %d jobs", OpList, r.Err, len(r.Jobs))
		}
		old.cutLog.Store(false)
		c.awaitEnd(second.ID, time.Minute)
		c.awaitEnd(first.ID, time.Minute)
	})
}

// Symptom: a job that was accepted is not found while the log service is down.
// Sequence: an owner is paused past its lease; another takes over and accepts a job; then nobody reaches
// the log service; the first goes on and holds itself for the owner still; a caller asks through it.
// Cause: in an outage that all see, the fold was taken for all that there is, also by an owner whose
// fold had stopped before the outage.
func TestAnOutageDoesNotMakeAStaleOwnerSure(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		first := c.mustSubmit("k", jobFile(5, plain))
		c.awaitEnd(first.ID, time.Minute)
		old := c.owner(first.ID)
		shard := jobs.ShardFor(first.ID, c.set.Shards)
		old.gate.pause()
		owner := c.awaitOther(first.ID, old)
		key := c.sameShard(first.ID)
		second, err := c.submit(owner, key, jobFile(5, plain))
		for tries := 0; err != nil && tries < 100; tries++ {
			time.Sleep(100 * time.Millisecond) // it may still ask the paused one
			second, err = c.submit(owner, key, jobFile(5, plain))
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range c.allNodes() {
			n.cutLog.Store(true)
		}
		old.gate.resume()
		for !old.m.outage.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		for _, op := range []Op{OpStatus, OpResults, OpCancel, OpList} {
			r := old.m.Serve(context.Background(), &PeerRequest{Op: op, Shard: shard, Job: second.ID})
			if r.Err == nil || r.Err.RetryAfterMs == 0 || errs.Lookup(r.Err.Type).Status != 503 {
				t.Errorf("%s of a stale owner in an outage: %v", op, r.Err)
			}
		}
		if r := old.m.Serve(context.Background(), &PeerRequest{Op: OpStatus, Shard: shard, Job: first.ID}); r.Err != nil {
			t.Errorf("status of a job that it knows: %v", r.Err)
		}
		for _, n := range c.allNodes() {
			n.cutLog.Store(false)
		}
		c.awaitEnd(second.ID, time.Minute)
	})
}

// Symptom: a shard changes its owner several times a second, and nothing of its jobs is done.
// Sequence: the first candidate of a shard is replaced at another address; the host list lags, so
// that the owner can't reach it while it reaches the owner; it asks for the shard.
// Cause: an owner that hands over to an entry that it holds for gone, and then claims again.
func TestNoHandoverToAnEntryThatIsNotReached(t *testing.T) {
	bubble(t, 2, 1, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(5, plain))
		c.awaitEnd(v.ID, time.Minute)
		first := c.owner(v.ID)
		shard := jobs.ShardFor(v.ID, c.set.Shards)
		first.gate.pause()
		second := c.awaitOther(v.ID, first)
		ask := &PeerRequest{Op: OpHandover, Shard: shard, Host: first.host.ID}
		if r := second.m.Serve(context.Background(), ask); !errs.Is(r.Err, errs.Conflict) {
			t.Errorf("handover to an entry that is not reached: %v", r.Err)
		}
		first.gate.resume()
		for c.owner(v.ID) != first {
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// awaitOther waits until another node than old owns the shard of job and returns it.
func (c *cluster) awaitOther(job structs.JobID, old *node) *node {
	c.awaitOwner(job, old)
	return c.owner(job)
}
