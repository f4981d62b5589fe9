package fleet

import (
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/policy"
)

// usesExpectedTime reports whether targets of a service are chosen by expected time.
func (f *Fleet) usesExpectedTime(service string) bool {
	if !f.opts.Disabled.IsEnabled(policy.ExpectedTime) {
		return false
	}
	return f.isCostAware(service)
}

// isCostAware reports whether the costs of a service's requests are predicted.
func (f *Fleet) isCostAware(service string) bool {
	switch f.opts.ExpectedTime {
	case ExpectedTimeOn:
		return true
	case ExpectedTimeOff:
		return false
	}
	return f.costs.HasPace(service)
}

// ObserveRun records the cost of a finished run at a target, if the costs of its service are predicted.
func (f *Fleet) ObserveRun(now time.Time, r costmodel.Run) {
	if f.isCostAware(r.Service) {
		f.costs.ObserveRun(now, r)
	}
}

// ObservePace records the pace that a target has reported, in percent of its usual duration of work.
func (f *Fleet) ObservePace(now time.Time, id string, percent int) {
	if ts, ok := f.targets[id]; ok {
		f.costs.ObservePace(now, ts.Service, id, percent)
	}
}

// dueObservations returns what peers have not been told of the speed of targets.
func (f *Fleet) dueObservations(now time.Time) []costmodel.Observation {
	return f.costs.TakeObservations(now)
}
