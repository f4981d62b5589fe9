package fleet

import (
	"time"

	"arbutusramp/core/policy"
)

const (
	// paceWeight is the weight of a new observation in the means of how a service answers and how long its requests hold a
	// slot: they follow a change within some dozen events or requests.
	paceWeight = 0.05
	// silentGaps and silentFirsts are how many times longer than usual the next event, or the first one, may take before a
	// target that sends nothing else either counts as silent. Engines that work on long prompts or many requests pause for
	// several events; five times slower ones still count as working.
	silentGaps   = 12
	silentFirsts = 4
	// leastSilence and mostSilence bound what is learned: a lost packet is sent again after 200 ms, and callers leave after two
	// seconds without an event.
	leastSilence = 300 * time.Millisecond
	mostSilence  = 1800 * time.Millisecond
)

// pace is how a service answers streams.
type pace struct {
	first time.Duration // from a request to its first event, where it had not to wait; 0 is not known
	gap   time.Duration // between two events; 0 is not known
}

// learn takes an observation into a mean; 0 is a mean without any.
func learn(mean *time.Duration, d time.Duration) {
	if *mean == 0 {
		*mean = d
		return
	}
	*mean += time.Duration(paceWeight * float64(d-*mean))
}

// FirstEvent notes how long a stream of a service took to its first event.
func (f *Fleet) FirstEvent(service string, took time.Duration) {
	p := f.paces[service]
	learn(&p.first, took)
	f.paces[service] = p
}

// NextEvent notes the pause between two events of a stream.
func (f *Fleet) NextEvent(service string, pause time.Duration) {
	p := f.paces[service]
	learn(&p.gap, pause)
	f.paces[service] = p
}

// IdleLimit is how long a target of a service that has work may send nothing at all before it is suspect.
//
// What goes wrong with one time for all: engines with steps of 80 ms send an event every half a second and would be
// suspect all the time; where events come every 20 ms a dark target gets requests for longer than need be.
func (f *Fleet) IdleLimit(service string) time.Duration {
	p := f.paces[service]
	if p.first == 0 || p.gap == 0 || !f.opts.Off.Allows(policy.LearnedSilence) {
		return silenceLimit
	}
	return min(mostSilence, max(leastSilence, silentGaps*p.gap, silentFirsts*p.first))
}
