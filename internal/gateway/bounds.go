package gateway

import (
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
)

// oversizedAnswersMetric counts the attempts whose target has sent more bytes than an answer may have.
const oversizedAnswersMetric = "online.oversized_answers"

// noteOversized counts and logs that the answer was ended with err because it has exceeded a bound. The target counts as
// failing: it would send bytes without end to other callers as well. The content of the request is not blamed, since the
// target has not crashed under it.
func (a *attempt) noteOversized(err error) {
	a.cancel() // the connection is closed at once, with what the target still sends
	metrics.GetOrRegisterCounter(oversizedAnswersMetric, a.gw.reg).Inc(1)
	a.gw.log.Warn("answer exceeds its bound", "target", a.run.Target.ID, "addr", a.run.Target.Addr, "request", a.req.ID, "route", a.route.Name, "error", err.Error())
	a.noteTargetFailure(string(errs.AnswerTooLarge))
}
