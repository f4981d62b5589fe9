package backlog

import (
	"testing"
	"time"

	"arbutusramp/core/backlog"
)

// Symptom: after processes had been frozen, items whose whole output had been read were run again as a whole, some twice.
// Sequence: a process is frozen while its items run; its shards are dealt to others; it wakes, gives the shards up, and reads
// the rest of what the engines had sent in the meantime: some of its items are whole.
// Cause: an end that came after its shard had been given up was dropped without a word.
func TestAnEndAfterItsShardIsGivenUpIsHandedOver(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", "okay")
		w.nodes[0].submit(j)
		time.Sleep(20 * eventGap)
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
			t.Fatal("nobody has the item")
		}
		task.shard.stop()
		time.Sleep(20 * eventGap)
		task.mu.Lock()
		task.lastID, task.text = "200", []byte(output(j.Items[0].ID))
		task.mu.Unlock()
		task.settle("target-0", complete)
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
		if p := st.Progress(j.ID, j.Items[0].ID); p.Outcome != backlog.Complete || p.Text != output(j.Items[0].ID) {
			t.Errorf("the next owner finds %q with %d bytes of %d", p.Outcome, len(p.Text), len(output(j.Items[0].ID)))
		}
	})
}
