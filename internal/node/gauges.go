package node

import (
	"github.com/rcrowley/go-metrics"
)

// Names of the metrics that say what the process believes and has.
const (
	configVersionMetric        = "config.version"
	configAgeMetric            = "config.age_ms"
	targetsMetric              = "targets"
	reportsHubMetric           = "reports.hub_for"
	reportsSentMetric          = "reports.sent"
	reportsSentBytesMetric     = "reports.sent_bytes"
	reportsPassedOnMetric      = "reports.passed_on"
	reportsPassedOnBytesMetric = "reports.passed_on_bytes"
	reportsHeardMetric         = "reports.heard"
	reportsHeardBytesMetric    = "reports.heard_bytes"
	peersMetric                = "peers"
	inFlightMetric             = "callers.in_flight"
	itemsMetric                = "backlog.items"
	itemsRunningMetric         = "backlog.items_running"
	shardsMetric               = "backlog.shards"
	jobsAgeMetric              = "backlog.jobs_age_ms"
)

// registerGauges adds what the process believes and has to its metrics.
func (g *Gateway) registerGauges() {
	for name, read := range map[string]func() int64{
		configVersionMetric:        func() int64 { return int64(g.watch.Version()) },
		configAgeMetric:            func() int64 { return g.watch.Age().Milliseconds() },
		targetsMetric:              func() int64 { return int64(len(g.view.Targets())) },
		peersMetric:                func() int64 { return int64(g.share.Peers()) },
		reportsHubMetric:           func() int64 { return int64(g.share.HubFor()) },
		reportsSentMetric:          g.share.Traffic().Own.Datagrams,
		reportsSentBytesMetric:     g.share.Traffic().Own.Bytes,
		reportsPassedOnMetric:      g.share.Traffic().PassedOn.Datagrams,
		reportsPassedOnBytesMetric: g.share.Traffic().PassedOn.Bytes,
		reportsHeardMetric:         g.share.Traffic().Heard.Datagrams,
		reportsHeardBytesMetric:    g.share.Traffic().Heard.Bytes,
		inFlightMetric:             g.inFlight,
		itemsMetric:                func() int64 { return int64(g.jobs.Counts().Items) },
		itemsRunningMetric:         func() int64 { return int64(g.jobs.Counts().Running) },
		shardsMetric:               func() int64 { return int64(g.jobs.Counts().Shards) },
		jobsAgeMetric:              func() int64 { return g.jobs.Counts().JobsAge.Milliseconds() },
	} {
		g.reg.GetOrRegister(name, metrics.NewFunctionalGauge(read))
	}
}
