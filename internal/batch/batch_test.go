package batch

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestJobRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.close()
		for range 3 {
			c.startNode(0)
		}
		for i := range 3 {
			c.startSide(i, 8, 20*time.Millisecond, 20*time.Millisecond)
		}
		v := c.mustSubmit("k", jobFile(1000, plain))
		if v == nil {
			return
		}
		end := c.awaitEnd(v.ID, time.Minute)
		if end.Finished != 1000 || end.Failed != 0 {
			t.Errorf("job %+v", end)
		}
		c.checkResults(v.ID, 1000)
		c.noViolations()
		appends, bytes := c.log.Appends()
		t.Logf("%d appends, %d bytes, %d starts", appends, bytes, c.seen.starts)
	})
}
