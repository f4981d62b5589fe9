package fleet

import (
	"time"

	"arbutusramp/core/policy"
)

const (
	// forecastStep is the distance between two times at which the forecast of the demand is looked up.
	forecastStep = 50 * time.Millisecond
	// maxForecastSteps bounds the number of look-ups for callers with a long timeout.
	maxForecastSteps = 200
	// forecastFillShare is the share of the slots up to which online requests count as below the capacity. With
	// all slots taken, callers that return would wait.
	forecastFillShare = 0.9
)

// forecaster forecasts the demand of services; *headroom.Learner implements it.
type forecaster interface {
	Forecast(now time.Time, service string, ahead time.Duration) (online float64, isPeriodic bool)
}

// CapacityAfter returns after which time the online requests of a service are expected to be fewer than its
// targets can serve at once, looking ahead up to limit. It is limit if that is expected only later, and 0 if it
// is unknown: targets are not chosen by expected time, or no period is found in the demand.
func (f *Fleet) CapacityAfter(now time.Time, service string, limit time.Duration) time.Duration {
	if limit <= 0 || !f.isCostAware(service) || !f.opts.Disabled.IsEnabled(policy.RetryForecast) {
		return 0
	}
	capacity := forecastFillShare * float64(f.capacity(now, service).slots)
	step := max(forecastStep, limit/maxForecastSteps)
	for ahead := step; ahead < limit; ahead += step {
		online, isPeriodic := f.forecasts.Forecast(now, service, ahead)
		if !isPeriodic {
			return 0
		}
		if online < capacity {
			return ahead
		}
	}
	return limit
}
