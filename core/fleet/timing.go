package fleet

import (
	"time"

	"arbutusramp/core/policy"
)

const (
	// meanWeight is the weight of a new observation in the mean event times and slot hold times of a service.
	// The means follow a change within some dozen events or requests.
	meanWeight = 0.05
	// silenceGapFactor and silenceFirstEventFactor are how many times longer than usual the next event, or
	// the first one, may take before a target that sends nothing else counts as silent. Engines that process
	// long prompts or many requests pause for several events; engines that are five times slower still count
	// as working.
	silenceGapFactor        = 12
	silenceFirstEventFactor = 4
	// minSilenceLimit and maxSilenceLimit bound the derived limit: a lost packet is retransmitted after 200
	// ms, and callers give up after two seconds without an event.
	minSilenceLimit = 300 * time.Millisecond
	maxSilenceLimit = 1800 * time.Millisecond
)

// eventTiming holds the mean times of a service's streams.
type eventTiming struct {
	firstEvent time.Duration // from a request to its first event, if it did not queue; 0 if unknown
	eventGap   time.Duration // between two events; 0 if unknown
}

// updateMean adds an observation to a mean; a mean of 0 has no observations yet.
func updateMean(mean *time.Duration, d time.Duration) {
	if *mean == 0 {
		*mean = d
		return
	}
	*mean += time.Duration(meanWeight * float64(d-*mean))
}

// FirstEvent records the time that a stream of a service took to its first event.
func (f *Fleet) FirstEvent(service string, elapsed time.Duration) {
	p := f.timings[service]
	updateMean(&p.firstEvent, elapsed)
	f.timings[service] = p
}

// NextEvent records the time between two events of a stream.
func (f *Fleet) NextEvent(service string, gap time.Duration) {
	p := f.timings[service]
	updateMean(&p.eventGap, gap)
	f.timings[service] = p
}

// IdleLimit is how long a target of a service may send nothing while it has requests, before it becomes
// suspect.
//
// A single limit for all services does not work: engines with steps of 80 ms send an event every half second
// and would always be suspect, and where events come every 20 ms a dead target would get requests for longer
// than necessary.
func (f *Fleet) IdleLimit(service string) time.Duration {
	p := f.timings[service]
	if p.firstEvent == 0 || p.eventGap == 0 || !f.opts.Off.Allows(policy.LearnedSilence) {
		return defaultSilenceLimit
	}
	return min(maxSilenceLimit, max(minSilenceLimit, silenceGapFactor*p.eventGap, silenceFirstEventFactor*p.firstEvent))
}
