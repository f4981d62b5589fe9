package node

import (
	"github.com/rcrowley/go-metrics"
)

// Names of the gauges that show the state of a gateway process.
const (
	configVersionMetric         = "config.version"
	configAgeMetric             = "config.age_ms"
	targetsMetric               = "targets"         // targets on the list of targets, as this gateway has read it
	reportsHubMetric            = "reports.hub_for" // gateways whose load reports this one forwards
	reportsSentMetric           = "reports.sent"
	reportsSentBytesMetric      = "reports.sent_bytes"
	reportsForwardedMetric      = "reports.passed_on"
	reportsForwardedBytesMetric = "reports.passed_on_bytes"
	reportsReceivedMetric       = "reports.heard"
	reportsReceivedBytesMetric  = "reports.heard_bytes"
	messagesSentMetric          = "messages.sent" // datagrams to single peers, such as announcements of origins
	messagesSentBytesMetric     = "messages.sent_bytes"
	originRecordsMetric         = "origins.records" // streams whose origin this gateway knows
	peersMetric                 = "peers"
	overloadedMetric            = "scheduling.overloaded_services" // services whose batch starts are suspended
	slowTargetsMetric           = "scheduling.slow_targets"        // targets that take twice as long as usual or longer
	inFlightMetric              = "callers.in_flight"
	itemsMetric                 = "backlog.items"
	itemsRunningMetric          = "backlog.items_running"
	shardsMetric                = "backlog.shards"
	jobBytesMetric              = "backlog.job_bytes"   // memory that all jobs take in this gateway
	jobsAgeMetric               = "backlog.jobs_age_ms" // age of this gateway's copy of the state of jobs
)

// registerGauges registers the gauges, which read the state of the process when the metrics are requested.
func (g *Gateway) registerGauges() {
	for name, read := range map[string]func() int64{
		configVersionMetric:         func() int64 { return int64(g.watch.Version()) },
		configAgeMetric:             func() int64 { return g.watch.Age().Milliseconds() },
		targetsMetric:               func() int64 { return int64(len(g.view.Targets())) },
		peersMetric:                 func() int64 { return int64(g.loadShare.PeerCount()) },
		overloadedMetric:            func() int64 { return int64(g.view.OverloadedServices()) },
		slowTargetsMetric:           func() int64 { return int64(g.view.SlowTargets()) },
		reportsHubMetric:            func() int64 { return int64(g.loadShare.HubReporterCount()) },
		reportsSentMetric:           g.loadShare.Traffic().Own.Datagrams,
		reportsSentBytesMetric:      g.loadShare.Traffic().Own.Bytes,
		reportsForwardedMetric:      g.loadShare.Traffic().Forwarded.Datagrams,
		reportsForwardedBytesMetric: g.loadShare.Traffic().Forwarded.Bytes,
		reportsReceivedMetric:       g.loadShare.Traffic().Received.Datagrams,
		reportsReceivedBytesMetric:  g.loadShare.Traffic().Received.Bytes,
		messagesSentMetric:          g.loadShare.Traffic().Messages.Datagrams,
		messagesSentBytesMetric:     g.loadShare.Traffic().Messages.Bytes,
		originRecordsMetric:         func() int64 { return int64(g.origins.Len()) },
		inFlightMetric:              g.inFlight,
		itemsMetric:                 func() int64 { return int64(g.jobs.Counts().Items) },
		itemsRunningMetric:          func() int64 { return int64(g.jobs.Counts().RunningItems) },
		shardsMetric:                func() int64 { return int64(g.jobs.Counts().Shards) },
		jobBytesMetric:              func() int64 { return g.jobs.Counts().JobBytes },
		jobsAgeMetric:               func() int64 { return g.jobs.Counts().JobStateAge.Milliseconds() },
	} {
		g.reg.GetOrRegister(name, metrics.NewFunctionalGauge(read))
	}
}
