// Package node builds the processes of the system from their settings: entries, sides and gateways. It connects
// the packages that implement a process with the adapters for the services of the platform, such as the store
// and the list of hosts. The commands, the test clusters and the experiments start processes with it.
package node

import (
	"context"
	"net/url"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/enginehttp"
	"arbutusramp/internal/adapter/servicehttp"
	"arbutusramp/internal/follow"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/side"
	"arbutusramp/internal/tcpprobe"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// NewSide returns a side, which is the process next to one engine or plain service that passes requests on to
// it. The side listens, but serves only after its Run is called. Error: errs.BadSettings.
func NewSide(s settings.Side, logger hclog.Logger, reg metrics.Registry) (*side.Side, error) {
	options := side.Options{Settings: s, Logger: logger, Metrics: reg, Config: &follow.SideFold{}}
	switch s.Target.Kind {
	case structs.KindEngine:
		options.Engine = newEngine(s)
		options.Probe = func(ctx context.Context, since time.Time) platform.ProbeResult {
			return probeEngine(ctx, options.Engine, since)
		}
	case structs.KindService:
		options.Service = newService(s)
		options.Probe = func(ctx context.Context, _ time.Time) platform.ProbeResult { return probeService(ctx, s.TargetURL) }
	}
	return side.New(options)
}

// newEngine returns the client of the engine of a side.
func newEngine(s settings.Side) platform.Engine {
	return enginehttp.New(s.TargetURL, enginehttp.Options{})
}

// newService returns the client of the plain service of a side.
func newService(s settings.Side) platform.Service {
	return servicehttp.New(s.TargetURL, servicehttp.Options{})
}

// probeEngine determines from the load report of an engine whether the engine has been running since the given
// time. An engine that has crashed does not answer, even if something else accepts connections at its address,
// and a restarted one reports a shorter uptime. It is not known when between request and answer the uptime was
// determined, so the result of a slow probe may be ProbeUnknown.
func probeEngine(ctx context.Context, e platform.Engine, since time.Time) platform.ProbeResult {
	askedAt := time.Now()
	load, err := e.Load(ctx)
	switch {
	case errs.Is(err, errs.TargetFailed):
		return platform.ProbeGone
	case err != nil:
		return platform.ProbeUnknown
	case load.UptimeMs == 0:
		return platform.ProbeAlive // the engine does not report its uptime
	}
	uptime := time.Duration(load.UptimeMs) * time.Millisecond
	switch {
	case askedAt.Add(-uptime - time.Millisecond).After(since):
		return platform.ProbeGone
	case time.Now().Add(-uptime).After(since):
		return platform.ProbeUnknown
	}
	return platform.ProbeAlive
}

// probeService connects to a plain service, which is a target that is not an engine. It has no load report, so
// only a refused connection is conclusive: the service does not run.
func probeService(ctx context.Context, baseURL string) platform.ProbeResult {
	parsedURL, err := url.Parse(baseURL)
	if err != nil || !tcpprobe.IsRefused(ctx, parsedURL.Host) {
		return platform.ProbeUnknown // an invalid URL is rejected when the settings are checked
	}
	return platform.ProbeGone
}
