package gateway

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/platform"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/sendlog"
)

const (
	// resentMetric counts, with the kind of the route appended, the requests that were sent more than once.
	resentMetric = "online.resent."
	// sendMetrics is the prefix of the metrics of sends; see sendlog.Metrics.
	sendMetrics = "online"
)

// sendLogs are the logs of the sends of requests.
type sendLogs struct {
	// first and later take the line of a send before it: the first send of a request, or a later one. Later ones are
	// rare outside of an overload and are what an investigation needs, so the larger bound is theirs alone.
	first, later *logging.Routine
	// served and moved take the final line of a request that was served: sent once and answered, or sent more than
	// once. The lines of doubtful requests and of failed ones are not bounded.
	served, moved *logging.Routine
	metrics       sendlog.Metrics
}

func newSendLogs(log hclog.Logger, reg metrics.Registry) sendLogs {
	counter := func(kind string) metrics.Counter {
		return metrics.GetOrRegisterCounter(logging.LeftOutMetric+kind, reg)
	}
	return sendLogs{
		first: logging.NewRoutine(log).CountIn(counter("sent")), later: logging.NewTrace(log).CountIn(counter("sent_again")),
		served: logging.NewRoutine(log).CountIn(counter("served")), moved: logging.NewTrace(log).CountIn(counter("moved")),
		metrics: sendlog.NewMetrics(reg, sendMetrics),
	}
}

// logSent logs the request and its target before the request is sent, and how the send before it ended. If this process
// is killed during the attempt, the log line of the finished request is missing and these lines are all there is.
func (a *attempt) logSent(now time.Time) {
	fields := []any{
		"request", a.req.ID, "route", a.route.Name, "attempt", len(a.tried), "target", a.run.Choice.String(),
		"version", a.run.Target.Version, "parts", a.req.Prompt.String(), "after_event", a.lastEventID, "resumes", a.req.Resumes, "left_ms", a.deadline.Sub(now).Milliseconds(),
	}
	if last := a.sends.Last(); last != nil {
		a.gw.sendLogs.later.Info(now, "sent", append(fields, "before", *last)...)
		return
	}
	a.gw.sendLogs.first.Info(now, "sent", fields...)
}

// sendOutcome is what an attempt notes while it runs, for the log line of its request.
type sendOutcome struct {
	record platform.SendRecord
	sentAt time.Time
	// runsBefore is the number of targets that may have started the request before this attempt.
	runsBefore int
	status     int // of the answer; 0 without one
	isForeign  bool
}

// noteSendEnd adds the attempt, which ended with err, to the sends of its request.
func (a *attempt) noteSendEnd(err error) {
	o := &a.send
	s := sendlog.Send{
		Number: len(a.tried), Target: a.run.Target.ID, AfterEvent: a.resumedAfter,
		AtMs: sendlog.Milliseconds(o.sentAt.Sub(a.req.Arrived)), TookMs: sendlog.Milliseconds(time.Since(o.sentAt)),
	}
	s.SetEnd(sendlog.End{Record: &o.record, RequestID: a.req.ID, Status: o.status, IsForeign: o.isForeign, IsNotRun: a.possibleRuns <= o.runsBefore, Err: err})
	a.gw.sendLogs.metrics.Count(&s, o.record.Evidence)
	a.sends.Add(s)
}

// noteChoice keeps the target of an attempt and why it was chosen, for the log. A request that is sent to very many
// targets keeps the first and the last ones.
func (ex *exchange) noteChoice(choice string) {
	const maxFirst, maxLast = 4, 4
	ex.choices = append(ex.choices, choice)
	if len(ex.choices) > maxFirst+maxLast {
		ex.choices = append(ex.choices[:maxFirst], ex.choices[maxFirst+1:]...)
	}
}

// logServed logs the final line of a request that was served. A request that may have run more than once, or whose
// sends show how that can come about, is always logged: there are few of these, and each one is needed.
func (ex *exchange) logServed(now time.Time, fields []any) {
	switch ex.sends.Importance() {
	case sendlog.Doubtful:
		ex.gw.log.Info("request", fields...)
	case sendlog.Moved:
		ex.gw.sendLogs.moved.Info(now, "request", fields...)
	default:
		ex.gw.sendLogs.served.Info(now, "request", fields...)
	}
}

// countResent counts the request if it was sent more than once.
func (ex *exchange) countResent() {
	if ex.sends.Len() > 1 {
		metrics.GetOrRegisterCounter(resentMetric+ex.route.Kind.String(), ex.gw.reg).Inc(1)
	}
}
