// Package node makes the processes of the system from their settings: it joins the
// shells with the adapters of the platform's services.
package node

import (
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/enginehttp"
	"arbutusramp/internal/adapter/servicehttp"
	"arbutusramp/internal/follow"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/side"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// NewSide returns a side that listens and does not run yet. Errors: errs.BadSettings.
func NewSide(s settings.Side, logger hclog.Logger, reg metrics.Registry) (*side.Side, error) {
	o := side.Options{Settings: s, Logger: logger, Metrics: reg, Config: &follow.SideFold{}}
	switch s.Target.Kind {
	case structs.KindEngine:
		o.Engine = newEngine(s)
	case structs.KindService:
		o.Service = newService(s)
	}
	return side.New(o)
}

func newEngine(s settings.Side) platform.Engine {
	return enginehttp.New(s.TargetURL, enginehttp.Options{})
}

func newService(s settings.Side) platform.Service {
	return servicehttp.New(s.TargetURL, servicehttp.Options{})
}
