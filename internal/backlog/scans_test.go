package backlog

import (
	"testing"
	"time"

	"arbutusramp/core/fleet"
)

// Guards against a process that looks through all jobs of the fleet with each report of a peer: reports and jobs both grow with the fleet.
func TestReportsOfPeersDoNotScanTheBacklog(t *testing.T) {
	const reports, each = 1000, time.Millisecond
	bubble(t, 2, func(t *testing.T, w *world) {
		w.noRoute.Store(true) // the items of the job wait
		w.nodes[0].submit(w.job("waits", repeat("ok", 3)...))
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			before := n.manager.scheduler.scans.Count()
			for range reports {
				n.fleet.ApplyReport("peer", fleet.Report{})
				time.Sleep(each)
			}
			perSecond := float64(n.manager.scheduler.scans.Count()-before) / (reports * each.Seconds())
			if limit := 2 / idlePollInterval.Seconds(); perSecond > limit {
				t.Errorf("%s: %.0f scans a second with %d reports, want %.0f at most", n.name, perSecond, reports, limit)
			}
		}
	})
}
