package batch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/structs"
)

// Symptom: a job gets nothing for as long as others last. Sequence: one side
// offers a few places at a time, and its owner has several shards with work.
// Cause: each offer was filled from the first shard on, which never ran dry.
func TestNoShardStarvesBehindAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		c.startNode(0)
		c.startSide(0, 4, 50*time.Millisecond, 0)
		time.Sleep(3 * time.Second)
		const jobCount, items = 8, 1000
		var ids []structs.JobID
		for i := range jobCount {
			ids = append(ids, c.mustSubmit(fmt.Sprint(i), jobFile(items, plain)).ID)
		}
		time.Sleep(30 * time.Second)
		n := c.allNodes()[0]
		shards := make(map[structs.Shard]int)
		for _, id := range ids {
			v, err := n.m.Status(t.Context(), testWorkspace, id)
			if err != nil {
				t.Fatal(err)
			}
			shards[n.m.shardOf(id)] += v.Finished
		}
		if len(shards) < 2 {
			t.Fatalf("all jobs are in one shard of %d", c.set.Shards)
		}
		for shard, done := range shards {
			if done == 0 {
				t.Errorf("shard %d got nothing beside %v", shard, shards)
			}
		}
		c.noViolations()
	})
}
