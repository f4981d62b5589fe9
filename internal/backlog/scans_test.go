package backlog

import (
	"testing"
	"time"

	"arbutusramp/core/fleet"
)

// A process must not scan all jobs of the fleet with each report of a peer: the numbers of reports and of
// jobs both grow with the fleet.
func TestPeerReportsDoNotScanBacklog(t *testing.T) {
	const reports, each = 1000, time.Millisecond
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		w.isRouteRemoved.Store(true) // the job's items wait
		w.nodes[0].submit(w.job("waits", repeat("ok", 3)...))
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			before := n.manager.scheduler.scanCount.Count()
			for range reports {
				n.fleet.ApplyReport("peer", fleet.Report{})
				time.Sleep(each)
			}
			perSecond := float64(n.manager.scheduler.scanCount.Count()-before) / (reports * each.Seconds())
			if limit := 2 / idlePollInterval.Seconds(); perSecond > limit {
				t.Errorf("%s: %.0f scans a second with %d reports, want %.0f at most", n.name, perSecond, reports, limit)
			}
		}
	})
}
