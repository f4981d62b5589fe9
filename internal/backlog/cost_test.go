package backlog

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/fleet"
)

// Guards against runs of items that the cost model does not learn from, also after an item was preempted.
func TestRunsOfItemsAreRecordedForTheCostModel(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		n.fleet.ApplyReport("peer", fleet.Report{Observations: []costmodel.Observation{{Target: "target-0", Pace: 1}}})
		j := cl.job("job", repeat("ok", 40)...)
		n.submit(j)
		cl.checkResults(j, n.results(j, 20*time.Second))
		runs := 0
		for _, c := range n.fleet.TargetCosts() {
			runs += c.Runs
		}
		histogram, ok := n.manager.registry.Get("cost.error_percent").(metrics.Histogram)
		if !ok || histogram.Count() == 0 || histogram.Percentile(0.5) > 25 || runs < 20 {
			t.Errorf("histogram of the error exists: %v, %d runs compared with other targets; want a median of at most 25 and 20 runs", ok, runs)
		}
	})
}
