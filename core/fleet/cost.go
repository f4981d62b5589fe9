package fleet

import (
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/policy"
)

// isCostAware reports whether the costs of a service's requests are predicted, and its targets chosen by expected
// time.
func (f *Fleet) isCostAware(service string) bool {
	return f.canBeCostAware() && (f.opts.ExpectedTime == ExpectedTimeOn || f.costs.HasPace(service))
}

// canBeCostAware reports whether the costs of requests of some service may be predicted.
func (f *Fleet) canBeCostAware() bool {
	return f.opts.ExpectedTime != ExpectedTimeOff && f.opts.Disabled.IsEnabled(policy.ExpectedTime)
}

// ObserveRun records the cost of a finished run at a listed target, if the costs of its service are predicted.
func (f *Fleet) ObserveRun(now time.Time, r costmodel.Run) {
	if _, ok := f.targets[r.Target]; ok && f.isCostAware(r.Service) {
		f.costs.ObserveRun(now, r)
	}
}

// ObservePace records the pace that a target has reported, in percent of its usual duration of work.
func (f *Fleet) ObservePace(now time.Time, id string, percent int) {
	if ts, ok := f.targets[id]; ok && f.canBeCostAware() {
		f.costs.ObservePace(now, ts.Service, id, percent)
	}
}

// RequestsWith returns the number of requests at the target, including the one that it was chosen for.
func (c Choice) RequestsWith() int { return c.Load.total() + 1 }

// CostForecast is what was expected of a run when its target was chosen.
type CostForecast struct {
	costmodel.Prediction
	Slowness float64 // of the target, as returned by costmodel.Model.Slowness
	Pace     float64 // part of Slowness that follows from the reported pace
}

// ForecastCost returns the expected cost of a run at the chosen target; ok is false if the costs of its service are
// not predicted or nothing is known of them.
func (f *Fleet) ForecastCost(now time.Time, c Choice, w Work) (forecast CostForecast, ok bool) {
	if !f.isCostAware(w.Service) {
		return CostForecast{}, false
	}
	id := c.Target.ID
	p, ok := f.costs.Predict(now, costmodel.Query{Service: w.Service, Route: w.Route, Target: id, Size: w.Size, Load: c.RequestsWith(), Slots: c.Target.Slots})
	return CostForecast{Prediction: p, Slowness: f.costs.Slowness(now, id), Pace: f.costs.Pace(now, id)}, ok
}

// TargetCosts returns what is known of the speed of the targets, in the order of their ids.
func (f *Fleet) TargetCosts(now time.Time) []costmodel.TargetSummary { return f.costs.Targets(now) }

// dueObservations returns what peers have not been told of the speed of targets.
func (f *Fleet) dueObservations(now time.Time) []costmodel.Observation {
	if !f.canBeCostAware() {
		return nil
	}
	return f.costs.TakeObservations(now)
}

// applyObservations adds what a peer has learned of the speed of listed targets.
func (f *Fleet) applyObservations(now time.Time, list []costmodel.Observation) {
	if !f.canBeCostAware() {
		return
	}
	for i, o := range list {
		if _, ok := f.targets[o.Target]; ok {
			f.costs.ApplyObservations(now, list[i:i+1])
		}
	}
}
