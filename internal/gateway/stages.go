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
func (ex *exchange) observeStages(now time.Time) {
	kind := "online." + ex.route.Kind.String()
	telemetry.Observe(ex.gw.reg, kind+".ms", now.Sub(ex.req.Arrived))
	if ex.stages.queueTime > 0 {
		telemetry.Observe(ex.gw.reg, kind+".held_ms", ex.stages.queueTime)
	}
	if ex.stages.firstSent.IsZero() {
		return
	}
	telemetry.Observe(ex.gw.reg, kind+".choose_ms", ex.stages.firstSent.Sub(ex.req.Arrived))
	if ex.stages.answerStart.IsZero() {
		return
	}
	telemetry.Observe(ex.gw.reg, kind+".first_ms", ex.stages.answerStart.Sub(ex.stages.firstSent))
	telemetry.Observe(ex.gw.reg, kind+".relay_ms", now.Sub(ex.stages.answerStart))
}
