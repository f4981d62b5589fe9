package batch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
)

// bubble runs f with a cluster of n entries and m sides of 8 slots.
func bubble(t *testing.T, n, m int, f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		for range n {
			c.startNode(0)
		}
		for i := range m {
			c.startSide(i, 8, 50*time.Millisecond, 50*time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		f(c)
		c.noViolations()
	})
}

// owner returns the node that owns job's shard.
func (c *cluster) owner(job structs.JobID) *node {
	c.t.Helper()
	id := jobs.ShardFor(job, c.set.Shards)
	for range 2000 {
		var found *node
		newest := structs.Epoch(0)
		for _, n := range c.allNodes() {
			if s := n.m.shard(id); s != nil && s.ownerEpoch() > newest {
				found, newest = n, s.ownerEpoch()
			}
		}
		if found != nil {
			return found
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("shard %d has no owner", id)
	return nil
}

// awaitOwner waits until another node than old owns the shard of job, and says how long that took.
func (c *cluster) awaitOwner(job structs.JobID, old *node) time.Duration {
	begun := time.Now()
	for c.owner(job) == old {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

// Symptom: a job stalls. Sequence: its owner's host is lost in the middle. Cause:
// nobody else takes the shard while the host list still shows the owner.
func TestOwnerLost(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(2000, plain))
		time.Sleep(500 * time.Millisecond)
		old := c.owner(v.ID)
		c.kill(old, time.Hour)
		if took := c.awaitOwner(v.ID, old); took > 5*time.Second {
			c.t.Errorf("takeover took %s", took)
		}
		c.awaitEnd(v.ID, time.Minute)
		c.checkResults(v.ID, 2000)
	})
}

// Symptom: an item gets a second result, or a job two owners. Sequence: the owner is
// paused for longer than its lease, another takes over, the first wakes and goes on.
// Cause: a lease in time that the paused one believes it still has.
func TestOwnerPausedPastItsLease(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(3000, plain))
		old := c.owner(v.ID)
		time.Sleep(300 * time.Millisecond)
		old.gate.pause()
		c.awaitOwner(v.ID, old)
		time.Sleep(time.Second)
		old.gate.resume()
		c.awaitEnd(v.ID, time.Minute)
		c.checkResults(v.ID, 3000)
	})
}

// Symptom: work pauses at each planned restart. Sequence: the owner is told to
// stop. Cause: its shards stay without owner until its lease has run out.
func TestPlannedStopHandsOver(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(3000, plain))
		time.Sleep(300 * time.Millisecond)
		old := c.owner(v.ID)
		shard := old.m.shard(jobs.ShardFor(v.ID, c.set.Shards))
		var gap time.Duration
		released := make(chan struct{})
		go func() {
			defer close(released)
			for shard.ownerEpoch() != 0 {
				time.Sleep(time.Millisecond)
			}
			gap = c.awaitOwner(v.ID, old)
		}()
		c.stop(old, time.Hour)
		<-released
		if gap > 100*time.Millisecond {
			c.t.Errorf("the shard was without owner for %s", gap)
		}
		c.t.Logf("without owner for %s", gap)
		c.awaitEnd(v.ID, time.Minute)
		c.checkResults(v.ID, 3000)
		if c.seen.starts != 3000 {
			c.t.Errorf("%d starts of 3000 items: items that sides held were handed out again", c.seen.starts)
		}
	})
}

// Symptom: items of a lost side never finish.
func TestSideLost(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(2000, plain))
		time.Sleep(500 * time.Millisecond)
		c.allSides()[0].kill()
		c.awaitEnd(v.ID, time.Minute)
		c.checkResults(v.ID, 2000)
	})
}

// Symptom: a job is lost. Sequence: a failure domain with the owner and a side goes at once.
func TestOwnerAndSideLost(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(2000, plain))
		time.Sleep(500 * time.Millisecond)
		c.kill(c.owner(v.ID), 10*time.Second)
		c.allSides()[0].kill()
		c.awaitEnd(v.ID, time.Minute)
		c.checkResults(v.ID, 2000)
	})
}

// Symptom: results are gone. Sequence: every host is replaced, one after the
// other. Cause: something lived in a host only.
func TestResultsOutliveAllHosts(t *testing.T) {
	bubble(t, 3, 2, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(500, plain))
		c.awaitEnd(v.ID, time.Minute)
		for _, n := range c.allNodes() {
			c.startNode(time.Second)
			time.Sleep(2 * time.Second)
			c.kill(n, 5*time.Second)
			time.Sleep(6 * time.Second)
		}
		c.checkResults(v.ID, 500)
	})
}

// Symptom: a job counts or runs twice. Sequence: answers of appends are lost, some
// appends land late, the owner sends them again.
func TestLostAnswers(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		c.log.SetFaults(logmem.Faults{LoseAnswer: 0.3, LoseRequest: 0.1, Late: 0.2, LateBy: 3 * time.Second, Busy: 0.1})
		v := c.mustSubmit("k", jobFile(1000, plain))
		c.awaitEnd(v.ID, 5*time.Minute)
		c.checkResults(v.ID, 1000)
	})
}

// Symptom: a caller waits for minutes, or is told "accepted" for a job that is
// nowhere. Sequence: the log service is down for minutes while a job is running and another
// is submitted.
func TestLogDownForMinutes(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(4000, plain))
		time.Sleep(500 * time.Millisecond)
		c.log.SetFaults(logmem.Faults{Down: true})
		time.Sleep(3 * time.Second)
		begun := time.Now()
		_, err := c.submit(c.allNodes()[0], "new", jobFile(10, plain))
		if e := errs.As(err); !errs.Is(err, errs.LogDown) || e.RetryAfterMs == 0 || e.Ran != errs.RanNo {
			c.t.Errorf("submit while the log is down: %v", err)
		}
		if took := time.Since(begun); took > time.Second {
			c.t.Errorf("refused after %s", took)
		}
		time.Sleep(3 * time.Minute)
		before, _ := c.log.Appends()
		c.log.SetFaults(logmem.Faults{})
		time.Sleep(time.Second)
		after, _ := c.log.Appends()
		if after-before > 60*c.set.Shards {
			c.t.Errorf("%d appends in the first second after the outage", after-before)
		}
		c.awaitEnd(v.ID, time.Minute)
		c.checkResults(v.ID, 4000)
	})
}

// Symptom: an owner's memory fills while the log service is down. Sequence:
// outage, sides go on to pull, outcomes can't be appended. Cause: no bound on what is held.
func TestHeldOutcomesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		c.set.MaxHeldBytes = 1 << 20
		c.startNode(0)
		c.startSide(0, 16, 10*time.Millisecond, 0)
		time.Sleep(3 * time.Second)
		v := c.mustSubmit("k", jobFile(1000, func(int) string { return "long" }))
		time.Sleep(100 * time.Millisecond)
		c.log.SetFaults(logmem.Faults{Down: true})
		n := c.allNodes()[0]
		most := int64(0)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			most = max(most, n.m.held.Load())
		}
		if most > int64(c.set.MaxHeldBytes) {
			t.Errorf("%d bytes held, bound %d", most, c.set.MaxHeldBytes)
		}
		c.log.SetFaults(logmem.Faults{})
		c.awaitEnd(v.ID, 2*time.Minute)
		c.checkResults(v.ID, 1000)
		c.noViolations()
	})
}

// Symptom: a client that resends a job gets a second one. Sequence: resend through
// another entry while the first is under way, after an answer was lost, after the end.
func TestResentJobIsTheSameJob(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		file := jobFile(1500, plain)
		ids := make(chan structs.JobID, 6)
		for range 6 {
			go func() {
				v := c.mustSubmit("k", file)
				if v == nil {
					ids <- ""
					return
				}
				ids <- v.ID
			}()
		}
		first := <-ids
		for range 5 {
			if id := <-ids; id != first {
				c.t.Errorf("job %s and job %s", first, id)
			}
		}
		c.awaitEnd(first, time.Minute)
		if v := c.mustSubmit("k", file); v.ID != first || v.Finished != 1500 {
			c.t.Errorf("resend after the end: %+v", v)
		}
		_, err := c.submit(c.allNodes()[0], "k", jobFile(1499, plain))
		if !errs.Is(err, errs.KeyReused) {
			c.t.Errorf("other content under the key: %v", err)
		}
		if c.seen.starts != 1500 {
			c.t.Errorf("%d starts of 1500 items", c.seen.starts)
		}
	})
}

// Symptom: an upload starts over after each fault. Sequence: the body breaks off, the
// client resends the file. Cause: segments that are in the log are sent again.
func TestBrokenUploadGoesOn(t *testing.T) {
	bubble(t, 3, 1, func(c *cluster) {
		file := jobFile(2000, plain)
		n := c.allNodes()[0]
		broken := &breakingReader{Reader: strings.NewReader(file[:len(file)/2])}
		_, err := n.m.Submit(context.Background(), structs.JobSpec{Workspace: testWorkspace, Key: "k"}, broken)
		if !errs.Is(err, errs.BadRequest) {
			c.t.Errorf("broken body: %v", err)
		}
		_, before := c.log.Appends()
		v := c.mustSubmit("k", file)
		_, after := c.log.Appends()
		if sent := after - before; sent > int64(len(file))*3/4 {
			c.t.Errorf("%d of %d bytes appended at the resend", sent, len(file))
		}
		c.awaitEnd(v.ID, time.Minute)
		c.checkResults(v.ID, 2000)
	})
}

type breakingReader struct{ *strings.Reader }

func (r *breakingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		return n, errs.New(errs.StreamBroken, "connection reset")
	}
	return n, nil
}

func TestBadLinesAndFailingItems(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		file := jobFile(300, func(i int) string {
			switch i {
			case 10:
				return "refuse"
			case 20:
				return "hang"
			case 30:
				return "kill"
			}
			return "ok"
		})
		lines := strings.SplitAfter(file, "\n")
		lines[40] = "{not json\n"
		lines[50] = `{"custom_id":"c50","url":"/v1/completions","body":{"model":"other"}}` + "\n"
		v := c.mustSubmit("k", strings.Join(lines, ""))
		end := c.awaitEnd(v.ID, 2*time.Minute)
		if end.Finished != 300 || end.Failed != 5 {
			c.t.Errorf("job %+v", end)
		}
		want := map[int]errs.Type{
			10: errs.TargetRefused, 20: errs.AttemptsSpent, 30: errs.AttemptsSpent,
			40: errs.BadItem, 50: errs.BadItem,
		}
		for _, r := range c.results(v.ID) {
			switch {
			case want[r.Index] == "" && r.Err != nil:
				c.t.Errorf("item %d was charged for another: %v", r.Index, r.Err)
			case want[r.Index] != "" && (r.Err == nil || r.Err.Type != want[r.Index]):
				c.t.Errorf("item %d: %v, want %s", r.Index, r.Err, want[r.Index])
			case want[r.Index] == errs.BadItem && r.Err.Line != r.Index+1:
				c.t.Errorf("item %d: the error names line %d", r.Index, r.Err.Line)
			}
		}
	})
}

// Symptom: a citizen gets two letters. Sequence: owner and sides are lost while
// calls that may run once are under way.
func TestItemsThatRunOnce(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		v := c.mustSubmit("k", mailFile(500))
		time.Sleep(400 * time.Millisecond)
		c.allSides()[0].kill()
		c.kill(c.owner(v.ID), 5*time.Second)
		c.awaitEnd(v.ID, 3*time.Minute)
		unknown := 0
		for _, r := range c.checkResults(v.ID, 500) {
			if r.Err != nil && r.Err.Type == errs.ItemUnknown {
				unknown++
			}
		}
		if unknown == 0 || unknown > 100 {
			c.t.Errorf("%d of 500 items unknown after the loss of a side with 16 items", unknown)
		}
		c.t.Logf("%d unknown", unknown)
	})
}

// Symptom: letters of a cancelled job still go out. Sequence: cancel while items
// wait at sides and in the owner.
func TestNothingStartsAfterCancel(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(3000, plain))
		time.Sleep(time.Second)
		view, err := c.allNodes()[0].m.Cancel(context.Background(), testWorkspace, v.ID)
		if err != nil || view.Status != jobs.StatusCancelled {
			c.t.Fatalf("cancel: %+v, %v", view, err)
		}
		c.seen.cancel(v.ID)
		before := c.seen.starts
		time.Sleep(10 * time.Second)
		if c.seen.starts != before {
			c.t.Errorf("%d items started after the cancel", c.seen.starts-before)
		}
		got := c.results(v.ID)
		if len(got) != view.Finished || len(got) == 0 {
			c.t.Errorf("%d results readable, %d finished", len(got), view.Finished)
		}
	})
}

// Symptom: a job without a grant runs, or one that an operator confirmed does not.
func TestPlannedJobWaits(t *testing.T) {
	bubble(t, 1, 1, func(c *cluster) {
		config := testConfig()
		config.Grants = nil
		c.config.Store(config)
		run := c.mustSubmit("run", jobFile(10, plain))
		drop := c.mustSubmit("drop", jobFile(10, plain))
		time.Sleep(5 * time.Second)
		if run.Status != jobs.StatusPlanned || c.seen.starts != 0 {
			c.t.Fatalf("status %s, %d starts", run.Status, c.seen.starts)
		}
		decided := *config
		decided.Jobs = map[structs.JobID]confstate.JobIntent{
			run.ID: {ID: run.ID, Run: true}, drop.ID: {ID: drop.ID, Cancel: true},
		}
		c.config.Store(&decided)
		if v := c.awaitEnd(run.ID, time.Minute); v.Finished != 10 {
			c.t.Errorf("confirmed job: %+v", v)
		}
		if v := c.awaitEnd(drop.ID, time.Minute); v.Status != jobs.StatusCancelled {
			c.t.Errorf("refused job: %+v", v)
		}
	})
}

// Symptom: a running job loses items, or a promised result is gone. Sequence:
// retention passes while the job runs and after it.
func TestRetentionPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		c.set.LogRetention = 2 * time.Minute
		c.set.ResultsFor = 20 * time.Minute
		c.log.SetFaults(logmem.Faults{Retention: c.set.LogRetention})
		for range 3 {
			c.startNode(0)
		}
		c.startSide(0, 2, 2*time.Second, 0)
		time.Sleep(3 * time.Second)
		v := c.mustSubmit("k", jobFile(600, plain))
		c.awaitEnd(v.ID, 30*time.Minute)
		c.checkResults(v.ID, 600)
		time.Sleep(15 * time.Minute)
		c.checkResults(v.ID, 600)
		c.kill(c.owner(v.ID), time.Second)
		c.checkResults(v.ID, 600)
		c.noViolations()
		time.Sleep(10 * time.Minute)
		n := c.allNodes()[0]
		if _, err := n.m.Status(context.Background(), testWorkspace, v.ID); !errs.Is(err, errs.NotFound) {
			t.Errorf("job past its promised time: %v", err)
		}
	})
}

// Symptom: shards are stuck with an owner that should no longer have them, or move
// back and forth. Sequence: an entry joins, the host lists differ for a while.
func TestJoinMovesShardsOnce(t *testing.T) {
	bubble(t, 2, 2, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(3000, plain))
		for range 3 {
			c.startNode(2 * time.Second)
		}
		c.awaitEnd(v.ID, time.Minute)
		c.checkResults(v.ID, 3000)
		time.Sleep(20 * time.Second)
		claims := 0
		for shard := range structs.Shard(c.set.Shards) {
			page, err := c.log.Read(context.Background(), jobs.StreamName(shard), 1, 1<<20, 0)
			if err != nil {
				c.t.Fatal(err)
			}
			for _, e := range page.Entries {
				if env, err := jobs.Decode(e.Body); err == nil && env.Epoch == 0 {
					claims++
				}
			}
		}
		if claims > 2*c.set.Shards {
			c.t.Errorf("%d claims for %d shards", claims, c.set.Shards)
		}
	})
}

// Symptom: a shard takes no more records. Sequence: the log service refuses an append
// for its size, the owner sends it again and again. Cause: the bound of the service is
// below that of the owner, or the results of a segment are put into one record.
func TestLogServiceBoundsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		c.set.LogRetention = time.Minute
		faults := logmem.Faults{Retention: c.set.LogRetention, MaxBytes: 400 << 10}
		c.log.SetFaults(faults)
		c.startNode(0)
		c.startSide(0, 64, 100*time.Millisecond, 0)
		time.Sleep(3 * time.Second)
		v := c.mustSubmit("k", jobFile(300, func(int) string { return "long" }))
		c.awaitEnd(v.ID, 5*time.Minute)
		c.checkResults(v.ID, 300)
		time.Sleep(5 * time.Minute)
		c.checkResults(v.ID, 300)
		faults.MaxBytes = 1 << 10
		c.log.SetFaults(faults)
		v = c.mustSubmit("small", jobFile(5, func(int) string { return "long" }))
		if end := c.awaitEnd(v.ID, 5*time.Minute); end.Failed != 5 {
			t.Errorf("results that fit no record: %+v", end)
		}
		c.noViolations()
	})
}

// Symptom: a cancel takes as long as the items that run. Sequence: cancel while
// long items are at the sides. Cause: the sides are not told.
func TestCancelStopsRunningItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		c.startNode(0)
		c.startSide(0, 8, 4*time.Second, 0)
		time.Sleep(3 * time.Second)
		v := c.mustSubmit("k", jobFile(100, plain))
		time.Sleep(time.Second)
		begun := time.Now()
		if _, err := c.allNodes()[0].m.Cancel(t.Context(), testWorkspace, v.ID); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took > 500*time.Millisecond {
			t.Errorf("cancel took %s", took)
		}
		c.noViolations()
	})
}

// Symptom: items of a cancelled job start. Sequence: the owner is paused, another
// takes over, the job is cancelled there, the first wakes; its sides start what they
// still hold of it. Cause: the new owner tells only the sides that it knows to hold items.
func TestCancelAfterTakeoverReachesAllSides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		for range 3 {
			c.startNode(0)
		}
		for i := range 3 {
			c.startSide(i, 4, 3*time.Second, 0).park = true
		}
		time.Sleep(3 * time.Second)
		v := c.mustSubmit("k", jobFile(500, plain))
		time.Sleep(time.Second)
		old := c.owner(v.ID)
		old.gate.pause()
		c.awaitOwner(v.ID, old)
		if _, err := c.owner(v.ID).m.Cancel(t.Context(), testWorkspace, v.ID); err != nil {
			t.Fatal(err)
		}
		c.seen.cancel(v.ID)
		old.gate.resume()
		time.Sleep(10 * time.Second)
		c.noViolations()
	})
}

// Symptom: the jobs of one entry stand still though the log service is up. Sequence: the
// network between that entry and the log service breaks; it answers its peers. Cause:
// an owner that answers probes keeps its shards whatever it can do for them.
func TestOwnerCutOffFromLogIsReplaced(t *testing.T) {
	bubble(t, 3, 3, func(c *cluster) {
		v := c.mustSubmit("k", jobFile(3000, plain))
		time.Sleep(300 * time.Millisecond)
		old := c.owner(v.ID)
		old.cutLog.Store(true)
		begun := time.Now()
		for c.owner(v.ID) == old && time.Since(begun) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(begun); took > 6*time.Second {
			c.t.Errorf("still owner after %s", took)
		}
		c.awaitEnd(v.ID, time.Minute)
		c.checkResults(v.ID, 3000)
		old.cutLog.Store(false)
		time.Sleep(5 * time.Second)
	})
}
