// Package node builds the processes of the system from their settings: it connects the application packages
// with the adapters of the platform's services.
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

// NewSide returns a side that listens but does not run yet. Errors: errs.BadSettings.
func NewSide(s settings.Side, logger hclog.Logger, reg metrics.Registry) (*side.Side, error) {
	o := side.Options{Settings: s, Logger: logger, Metrics: reg, Config: &follow.SideFold{}}
	switch s.Target.Kind {
	case structs.KindEngine:
		o.Engine = newEngine(s)
		o.Probe = func(ctx context.Context, since time.Time) platform.ProbeResult {
			return probeEngine(ctx, o.Engine, since)
		}
	case structs.KindService:
		o.Service = newService(s)
		o.Probe = func(ctx context.Context, _ time.Time) platform.ProbeResult { return probeService(ctx, s.TargetURL) }
	}
	return side.New(o)
}

func newEngine(s settings.Side) platform.Engine {
	return enginehttp.New(s.TargetURL, enginehttp.Options{})
}

func newService(s settings.Side) platform.Service {
	return servicehttp.New(s.TargetURL, servicehttp.Options{})
}

// probeEngine determines from an engine's load report whether the engine has been running since a time. An
// engine that has crashed does not answer, even if something else accepts connections at its address, and a
// restarted one reports a shorter uptime. The delay of the answer is not known, so a late answer may show
// neither.
func probeEngine(ctx context.Context, e platform.Engine, since time.Time) platform.ProbeResult {
	asked := time.Now()
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
	case asked.Add(-uptime - time.Millisecond).After(since):
		return platform.ProbeGone
	case time.Now().Add(-uptime).After(since):
		return platform.ProbeUnknown
	}
	return platform.ProbeAlive
}

// probeService connects to a plain service. It has no load report, so only a refused connection is conclusive.
func probeService(ctx context.Context, baseURL string) platform.ProbeResult {
	u, err := url.Parse(baseURL)
	if err != nil || !tcpprobe.IsRefused(ctx, u.Host) {
		return platform.ProbeUnknown // an invalid URL is rejected when the settings are checked
	}
	return platform.ProbeGone
}
