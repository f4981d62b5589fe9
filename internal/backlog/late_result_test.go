package backlog

import (
	"testing"
	"time"

	"arbutusramp/core/backlog"
)

// An item whose whole output has been read must not be run again after its owner was frozen. The process is
// frozen while its items run and its shards are reassigned. When it resumes, it releases the shards and then
// reads the rest of what the targets have sent: some items are now complete. If their results were discarded
// because the shard has been released, the next owners would run these items again, some twice.
func TestResultAfterShardReleaseIsHandedOver(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "okay")
		cl.nodes[0].submit(j)
		time.Sleep(20 * eventInterval)
		var owner *Manager
		var tk *task
		for _, n := range cl.nodes {
			n.manager.scheduler.mu.Lock()
			for _, running := range n.manager.scheduler.tasks {
				owner, tk = n.manager, running
			}
			n.manager.scheduler.mu.Unlock()
		}
		if owner == nil {
			t.Fatal("no process has a task of the submitted item, want one")
		}
		tk.shard.stop()
		time.Sleep(20 * eventInterval)
		tk.mu.Lock()
		tk.lastEventID, tk.text = "200", []byte(expectedOutput(j.Items[0].ID))
		tk.mu.Unlock()
		tk.finishRun(runEnd{target: "target-0", verdict: runComplete})
		time.Sleep(100 * time.Millisecond)
		st := backlog.NewState()
		for _, r := range cl.store.Records(jobPartition) {
			if err := st.Apply(r.KeyedRecord); err != nil {
				t.Fatal(err)
			}
		}
		for _, r := range cl.store.Records(progressPartition) {
			if err := st.Apply(r.KeyedRecord); err != nil {
				t.Fatal(err)
			}
		}
		if p := st.Progress(j.ID, j.Items[0].ID); p.Outcome != backlog.Complete || p.Text != expectedOutput(j.Items[0].ID) {
			t.Errorf("the stored progress has outcome %q and a text of %d bytes, want complete and the expected text of %d bytes", p.Outcome, len(p.Text), len(expectedOutput(j.Items[0].ID)))
		}
	})
}
