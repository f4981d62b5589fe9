package backlog

import (
	"testing"
	"time"

	"arbutusramp/core/fleet"
)

// A process must not scan all jobs for each report of another gateway: the numbers of reports and of jobs
// both grow with the fleet.
func TestPeerReportsDoNotScanBacklog(t *testing.T) {
	const reports, reportInterval = 1000, time.Millisecond
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		cl.isRouteRemoved.Store(true) // the job's items wait, and the scheduler has tasks
		cl.nodes[0].submit(cl.job("waits", repeat("ok", 3)...))
		time.Sleep(time.Second)
		for _, n := range cl.nodes {
			scansBefore := n.manager.scheduler.scanCount.Count()
			for range reports {
				n.fleet.ApplyReport("peer", fleet.Report{})
				time.Sleep(reportInterval)
			}
			perSecond := float64(n.manager.scheduler.scanCount.Count()-scansBefore) / (reports * reportInterval.Seconds())
			if limit := 2 / idlePollInterval.Seconds(); perSecond > limit {
				t.Errorf("process %s made %.0f scans a second during %d reports, want at most %.0f", n.name, perSecond, reports, limit)
			}
		}
	})
}
