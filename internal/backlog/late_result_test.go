package backlog

import (
	"testing"
	"time"

	"arbutusramp/core/backlog"
)

// An item whose whole output has been read must not be run again after its owner was frozen. The process is
// frozen while its items run and its shards are reassigned. When it resumes, it releases the shards and reads
// the rest of what the engines have sent: some items are now complete. If their results were discarded
// because the shard is released, the next owners would run these items again, some twice.
func TestResultAfterShardReleaseIsHandedOver(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", "okay")
		w.nodes[0].submit(j)
		time.Sleep(20 * eventInterval)
		var owner *Manager
		var task *task
		for _, n := range w.nodes {
			n.manager.scheduler.mu.Lock()
			for _, running := range n.manager.scheduler.tasks {
				owner, task = n.manager, running
			}
			n.manager.scheduler.mu.Unlock()
		}
		if owner == nil {
			t.Fatal("no process has the item")
		}
		task.shard.stop()
		time.Sleep(20 * eventInterval)
		task.mu.Lock()
		task.lastID, task.text = "200", []byte(expectedOutput(j.Items[0].ID))
		task.mu.Unlock()
		task.finishRun("target-0", runComplete)
		time.Sleep(100 * time.Millisecond)
		st := backlog.NewState()
		for _, r := range w.store.Records(jobPartition) {
			if err := st.Apply(r.KeyedRecord); err != nil {
				t.Fatal(err)
			}
		}
		for _, r := range w.store.Records(progressPartition) {
			if err := st.Apply(r.KeyedRecord); err != nil {
				t.Fatal(err)
			}
		}
		if p := st.Progress(j.ID, j.Items[0].ID); p.Outcome != backlog.Complete || p.Text != expectedOutput(j.Items[0].ID) {
			t.Errorf("the next owner reads outcome %q with %d bytes of %d", p.Outcome, len(p.Text), len(expectedOutput(j.Items[0].ID)))
		}
	})
}
