package gateway

import (
	"time"

	"arbutusramp/internal/telemetry"
)

// stages holds the times at which a request entered the stages of its processing. A zero time means that the
// request did not reach the stage.
type stages struct {
	queueTime   time.Duration // time in the queue of the gateway, before the first attempt
	firstSent   time.Time     // when the request was sent to its first target
	lastSent    time.Time     // when the request was sent to the target that answered first
	answerStart time.Time     // when the header of the answer was sent to the caller
}

// noteSent records the start of an attempt. Attempts to resume an answer that has begun are ignored.
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

// timeToAnswerStart returns the time from lastSent to answerStart; 0 without an answer.
func (s *stages) timeToAnswerStart() time.Duration {
	if s.answerStart.IsZero() {
		return 0
	}
	return s.answerStart.Sub(s.lastSent)
}

// observeStages adds the durations of the request to the histograms of its route's kind: the total, and those of
// the stages that it reached. The time in the queue of a target is part of first_ms. A slow caller, or pauses of
// the target in a stream, increase relay_ms.
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
