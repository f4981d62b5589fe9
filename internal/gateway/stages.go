package gateway

import (
	"time"

	"arbutusramp/internal/telemetry"
)

// stages are the moments that divide a request's time. A zero moment was not reached.
type stages struct {
	held  time.Duration // before it was sent, for want of room
	sent  time.Time     // to its first target
	last  time.Time     // to the target that has answered
	first time.Time     // the caller got the first part of an answer
}

// noteSent is called before each attempt; the first one counts.
func (s *stages) noteSent(now time.Time) {
	if s.sent.IsZero() {
		s.sent = now
	}
	if s.first.IsZero() {
		s.last = now
	}
}

// noteFirst is called as an answer begins.
func (s *stages) noteFirst(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	}
}

// firstAfter is how long the first part of an answer took from when the request was last sent; 0 without one.
func (s *stages) firstAfter() time.Duration {
	if s.first.IsZero() {
		return 0
	}
	return s.first.Sub(s.last)
}

// observe adds the request's times to the histograms of its kind, in the registry: the whole, and those of the stages that it
// has reached. A target that queues shows in first_ms, a slow caller or pauses of the target in relay_ms.
func (x *exchange) observe(now time.Time) {
	kind := "online." + x.route.Kind.String()
	telemetry.Observe(x.gw.reg, kind+".ms", now.Sub(x.req.Arrived))
	if x.stages.held > 0 {
		telemetry.Observe(x.gw.reg, kind+".held_ms", x.stages.held)
	}
	if x.stages.sent.IsZero() {
		return
	}
	telemetry.Observe(x.gw.reg, kind+".choose_ms", x.stages.sent.Sub(x.req.Arrived))
	if x.stages.first.IsZero() {
		return
	}
	telemetry.Observe(x.gw.reg, kind+".first_ms", x.stages.first.Sub(x.stages.sent))
	telemetry.Observe(x.gw.reg, kind+".relay_ms", now.Sub(x.stages.first))
}
