package fleet

import (
	"math"
	"math/bits"
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
	// maxPatientLimit bounds the limit for a run after silent ones, and of a service where ending them did not help.
	maxPatientLimit = 30 * time.Second
)

const (
	// promptClasses is the number of classes of prompts, one for each factor of two.
	promptClasses = 24
	// unknownReadTime is an upper estimate of the time to read one prompt token, for prompts of a size that the service has not
	// been seen to read.
	unknownReadTime = 40 * time.Microsecond
	// readingFactor is how many times longer than the mean the reading of a prompt may take.
	readingFactor = 2
	// minReadingTime is the shortest extra time of a prompt that counts. What ordinary prompts take is part of the silence
	// limit; their sum would let a silent target keep each request that was sent to it for longer than the one before.
	minReadingTime = 100 * time.Millisecond
	// MaxReadingTime bounds the extra time for all prompts at a target.
	MaxReadingTime = 10 * time.Second
)

const (
	// silentRunFactor is how many times longer than an earlier run a run may be silent.
	silentRunFactor = 3
	// maxPatience bounds the factor by which a service's silence limit grows where ending silent runs does not help.
	maxPatience = 8
	// patienceGrowth and patienceLoss are the factors for a run that was ended in vain, and for one that went on sooner
	// elsewhere. The loss is larger: of two runs in a row, both may have hit targets that are really silent.
	patienceGrowth = 1.5
	patienceLoss   = 2
	// patienceHalfTime is the time after which half of the growth is left.
	patienceHalfTime = 15 * time.Second
)

// eventTiming holds the moving averages of the event times of a service's streams.
type eventTiming struct {
	firstEvent time.Duration // from a request to its first event, if it did not queue; 0 if unknown
	eventGap   time.Duration // between two events; 0 if unknown
	// byPrompt is firstEvent by the class of the prompt's size; 0 if unknown.
	byPrompt [promptClasses]time.Duration
	patience patience
}

// patience is the factor by which the silence limit of a service is longer than its event times suggest. Event times come
// from runs that were not ended, so they never show that the limit is too short. It is too short if the run that follows
// an ended one is silent for as long. The zero value is a factor of 1.
type patience struct {
	excess float64   // of the factor over 1
	at     time.Time // when excess was last updated
}

// factor returns the factor at a time, at least 1.
func (p patience) factor(now time.Time) float64 {
	age := max(0, now.Sub(p.at))
	return 1 + p.excess*math.Exp2(-float64(age)/float64(patienceHalfTime))
}

// update adds the outcome of a run that followed one that was ended for its silence.
func (p *patience) update(now time.Time, hasHelped bool) {
	factor := p.factor(now) * patienceGrowth
	if hasHelped {
		factor = p.factor(now) / patienceLoss
	}
	p.excess, p.at = min(maxPatience, max(1, factor))-1, now
}

// promptClass returns the class of a prompt of that many tokens, 0 if unknown.
func promptClass(tokens int) int { return min(promptClasses-1, bits.Len(uint(max(0, tokens)))) }

// updateMean adds the observation d to a moving average; an average of 0 has no observations yet.
func updateMean(mean *time.Duration, d time.Duration) {
	if *mean == 0 {
		*mean = d
		return
	}
	*mean += time.Duration(meanWeight * float64(d-*mean))
}

// RecordFirstEvent records how long a stream took from its request to its first event. It is called only for requests that
// did not wait for a slot.
func (f *Fleet) RecordFirstEvent(w Work, elapsed time.Duration) {
	timing := f.timings[w.Service]
	updateMean(&timing.firstEvent, elapsed)
	updateMean(&timing.byPrompt[promptClass(w.Size.PromptTokens)], elapsed)
	f.timings[w.Service] = timing
}

// RecordRunAfterSilence records the outcome of a run of a work whose last run was ended because its target sent nothing.
// hasHelped is set if this run was answered sooner, and not if it was silent for as long.
func (f *Fleet) RecordRunAfterSilence(now time.Time, service string, hasHelped bool) {
	timing := f.timings[service]
	timing.patience.update(now, hasHelped)
	f.timings[service] = timing
}

// RecordEventGap records the time between two successive events of a stream of a service.
func (f *Fleet) RecordEventGap(service string, gap time.Duration) {
	timing := f.timings[service]
	updateMean(&timing.eventGap, gap)
	f.timings[service] = timing
}

// SilenceLimit is how long a target may send nothing while it has a run of the work, before it counts as silent, without
// the time that it takes to read long prompts; see ReadingTime and Patient.
func (f *Fleet) SilenceLimit(now time.Time, w Work) time.Duration {
	return f.Patient(now, w, f.UsualSilenceLimit(w.Service))
}

// UsualSilenceLimit is the SilenceLimit of a service by its event times.
//
// A single limit for all services does not work: engines with steps of 80 ms send an event every half second
// and would always count as silent, and where events come every 20 ms a dead target would get requests for
// longer than necessary.
func (f *Fleet) UsualSilenceLimit(service string) time.Duration {
	timing := f.timings[service]
	if timing.firstEvent == 0 || timing.eventGap == 0 || !f.opts.Disabled.IsEnabled(policy.AdaptiveSilenceLimit) {
		return defaultSilenceLimit
	}
	return min(maxSilenceLimit, max(minSilenceLimit, silenceGapFactor*timing.eventGap, silenceFirstEventFactor*timing.firstEvent))
}

// Patient returns for how long a run of the work may be silent where limit is usual: longer if ending silent runs of its
// service has not helped, and if earlier runs of the same work were silent. It is limit while the adaptive limit is disabled.
func (f *Fleet) Patient(now time.Time, w Work, limit time.Duration) time.Duration {
	if !f.opts.Disabled.IsEnabled(policy.AdaptiveSilenceLimit) {
		return limit
	}
	limit = scale(limit, f.timings[w.Service].patience.factor(now))
	return min(maxPatientLimit, max(limit, silentRunFactor*w.SilentFor))
}

// IsSlowItself reports whether an earlier run of the work was silent for so long that the work, and not its targets, is
// probably slow.
func (f *Fleet) IsSlowItself(w Work) bool { return w.SilentFor >= minSilenceLimit }

// ReadingTime is how much longer than usual for its service a target may take to the first event of the work because of the
// size of its prompt; 0 for ordinary prompts, and while the size is unknown.
func (f *Fleet) ReadingTime(w Work) time.Duration {
	timing, tokens := f.timings[w.Service], w.Size.PromptTokens
	class := promptClass(tokens)
	for class > 0 && timing.byPrompt[class] == 0 {
		class--
	}
	var reading time.Duration
	if class > 0 {
		reading = readingFactor * max(0, timing.byPrompt[class]-timing.firstEvent)
	}
	if class < promptClass(tokens) {
		shown := 1<<class - 1 // the largest prompt of the class
		reading += time.Duration(tokens-shown) * unknownReadTime
	}
	if reading < minReadingTime {
		return 0
	}
	return min(MaxReadingTime, reading)
}
