package gateway

import (
	"time"

	"arbutusramp/internal/telemetry"
)

// stages holds the times that divide the processing of a request. A zero time was not reached.
type stages struct {
	queueTime   time.Duration // spent in the queue before the request was sent
	firstSent   time.Time     // when it was sent to its first target
	lastSent    time.Time     // when it was sent to the target that answered
	answerStart time.Time     // when the first part of an answer was passed to the caller
}

// noteSent records the start of an attempt. Attempts that start after an answer has begun are ignored.
func (s *stages) noteSent(now time.Time) {
	if s.firstSent.IsZero() {
		s.firstSent = now
	}
	if s.answerStart.IsZero() {
		s.lastSent = now
	}
}

// noteAnswerStart records the start of the answer. Only the first call counts.
func (s *stages) noteAnswerStart(now time.Time) {
	if s.answerStart.IsZero() {
		s.answerStart = now
	}
}

// timeToAnswerStart returns the time from the last send to the first part of an answer; 0 without an answer.
func (s *stages) timeToAnswerStart() time.Duration {
	if s.answerStart.IsZero() {
		return 0
	}
	return s.answerStart.Sub(s.lastSent)
}

// observeStages adds the durations of the request to the histograms of its kind: the total, and those of the
// stages that it reached. The queueing time of a target shows in first_ms, a slow caller or pauses of the
// target in relay_ms.
func (x *exchange) observeStages(now time.Time) {
	kind := "online." + x.route.Kind.String()
	telemetry.Observe(x.gw.reg, kind+".ms", now.Sub(x.req.Arrived))
	if x.stages.queueTime > 0 {
		telemetry.Observe(x.gw.reg, kind+".held_ms", x.stages.queueTime)
	}
	if x.stages.firstSent.IsZero() {
		return
	}
	telemetry.Observe(x.gw.reg, kind+".choose_ms", x.stages.firstSent.Sub(x.req.Arrived))
	if x.stages.answerStart.IsZero() {
		return
	}
	telemetry.Observe(x.gw.reg, kind+".first_ms", x.stages.answerStart.Sub(x.stages.firstSent))
	telemetry.Observe(x.gw.reg, kind+".relay_ms", now.Sub(x.stages.answerStart))
}
