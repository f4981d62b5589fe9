// Package node makes the processes of the system from their settings: it joins the
// shells with the adapters of the platform's services.
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

// NewSide returns a side that listens and does not run yet. Errors: errs.BadSettings.
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

// probeEngine asks an engine for its load. A start that has ended does not answer, whatever accepts connections in its place, and a later
// one has run for less time. How long an answer was on its way is not known, so that one which comes late may tell neither.
func probeEngine(ctx context.Context, e platform.Engine, since time.Time) platform.ProbeResult {
	asked := time.Now()
	load, err := e.Load(ctx)
	switch {
	case errs.Is(err, errs.TargetFailed):
		return platform.ProbeGone
	case err != nil:
		return platform.ProbeUnknown
	case load.UptimeMs == 0:
		return platform.ProbeAlive // it does not tell
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

// probeService connects to a plain service, which has nothing to ask for: only a refused connection tells something.
func probeService(ctx context.Context, baseURL string) platform.ProbeResult {
	u, err := url.Parse(baseURL)
	if err != nil || !tcpprobe.IsRefused(ctx, u.Host) {
		return platform.ProbeUnknown // the check of the settings refuses such a URL
	}
	return platform.ProbeGone
}
