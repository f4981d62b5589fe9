package fleet

import (
	"time"

	"arbutusramp/core/policy"
)

const (
	// meanWeight is the weight of a new observation, 0 to 1, in the moving averages of a service's event
	// times and hold times. They follow a change within some dozen events or requests.
	meanWeight = 0.05
	// silenceGapFactor and silenceFirstEventFactor are how many times longer than the mean the next event, or
	// the first one, may take before a target that sends nothing counts as silent. Engines that process long
	// prompts or many requests skip several events, and engines that are five times slower must still count
	// as working.
	silenceGapFactor        = 12
	silenceFirstEventFactor = 4
	// minSilenceLimit and maxSilenceLimit bound the limit that is derived from event times: a lost packet is
	// retransmitted after 200 ms, and callers give up after two seconds without an event.
	minSilenceLimit = 300 * time.Millisecond
	maxSilenceLimit = 1800 * time.Millisecond
)

// eventTiming holds the moving averages of the event times of a service's streams.
type eventTiming struct {
	firstEvent time.Duration // from a request to its first event, if it did not queue; 0 if unknown
	eventGap   time.Duration // between two events; 0 if unknown
}

// updateMean adds the observation d to a moving average; an average of 0 has no observations yet.
func updateMean(mean *time.Duration, d time.Duration) {
	if *mean == 0 {
		*mean = d
		return
	}
	*mean += time.Duration(meanWeight * float64(d-*mean))
}

// RecordFirstEvent records how long a stream of a service took from its request to its first event. It is
// called only for requests that did not wait for a slot.
func (f *Fleet) RecordFirstEvent(service string, elapsed time.Duration) {
	timing := f.timings[service]
	updateMean(&timing.firstEvent, elapsed)
	f.timings[service] = timing
}

// RecordEventGap records the time between two successive events of a stream of a service.
func (f *Fleet) RecordEventGap(service string, gap time.Duration) {
	timing := f.timings[service]
	updateMean(&timing.eventGap, gap)
	f.timings[service] = timing
}

// SilenceLimit is how long a target of a service may send nothing while it has requests, before it counts as
// silent.
//
// A single limit for all services does not work: engines with steps of 80 ms send an event every half second
// and would always count as silent, and where events come every 20 ms a dead target would get requests for
// longer than necessary.
func (f *Fleet) SilenceLimit(service string) time.Duration {
	timing := f.timings[service]
	if timing.firstEvent == 0 || timing.eventGap == 0 || !f.opts.Disabled.IsEnabled(policy.AdaptiveSilenceLimit) {
		return defaultSilenceLimit
	}
	return min(maxSilenceLimit, max(minSilenceLimit, silenceGapFactor*timing.eventGap, silenceFirstEventFactor*timing.firstEvent))
}
