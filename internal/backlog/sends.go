package backlog

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/sendlog"
)

const (
	// itemSendMetrics is the prefix of the metrics of sends of items; see sendlog.Metrics.
	itemSendMetrics = "item"
	// foreignAnswersMetric counts the runs at whose place on a connection the answer to another request arrived.
	foreignAnswersMetric = "item.foreign_answers"
)

// sendLogs are the logs of the runs of items.
type sendLogs struct {
	log hclog.Logger // runs that are doubtful; see sendlog.Send
	// first and later take the line before a run: the first run of an item in this process, or a later one. Later ones
	// are what an investigation needs.
	first, later *logging.Routine
	// begun and notRun take the line after a run: the target has begun with it, or it counted as not run.
	begun, notRun *logging.Routine
	metrics       sendlog.Metrics
	reg           metrics.Registry
}

func newSendLogs(log hclog.Logger, reg metrics.Registry) sendLogs {
	counter := func(kind string) metrics.Counter {
		return metrics.GetOrRegisterCounter(logging.LeftOutMetric+kind, reg)
	}
	return sendLogs{
		log: log, metrics: sendlog.NewMetrics(reg, itemSendMetrics), reg: reg,
		first: logging.NewRoutine(log).CountIn(counter("item_sent")), later: logging.NewTrace(log).CountIn(counter("item_sent_again")),
		begun: logging.NewRoutine(log).CountIn(counter("item_run")), notRun: logging.NewTrace(log).CountIn(counter("item_not_run")),
	}
}

// runSend is how the send of a run has ended.
type runSend struct {
	record    platform.SendRecord
	status    int // of the answer; 0 without one
	isForeign bool
	isNotRun  bool
	silentFor time.Duration // see watchdog.silentFor
}

// setAnswer notes the answer or the error of the send.
func (e *runSend) setAnswer(a *platform.TargetAnswer, err error) {
	if err != nil {
		e.isNotRun = errs.As(err).Ran == errs.RanNo
		return
	}
	e.status, e.isForeign = a.Status, a.Foreign
	e.isNotRun = !a.Foreign && (a.NotRun || a.OtherInstance)
}

// logSent logs a run of the task before the item is sent to its target. It returns the number of the run in this process,
// from 1.
func (l *sendLogs) logSent(t *task, now time.Time, fields []any) int {
	n := t.countSend()
	log := l.first
	if n > 1 {
		log = l.later
	}
	log.Info(now, "item sent", append(fields, "attempt", n)...)
	return n
}

// logRun logs and counts a run of the task that has ended with err, with its send s.
func (l *sendLogs) logRun(t *task, e *runSend, fields []any, s sendlog.Send, err error) {
	s.SetEnd(sendlog.End{Record: &e.record, RequestID: t.request.ID, Status: e.status, IsForeign: e.isForeign, IsNotRun: e.isNotRun, Err: err})
	l.metrics.Count(&s, e.record.Evidence)
	if e.isForeign {
		metrics.GetOrRegisterCounter(foreignAnswersMetric, l.reg).Inc(1)
	}
	s.Error = "" // the line has it
	fields = append(fields, "sends", []sendlog.Send{s})
	switch now := time.Now(); {
	case s.IsDoubtful():
		l.log.Info("item run", fields...)
	case s.Verdict == sendlog.NotRun:
		l.notRun.Info(now, "item run", fields...)
	default:
		l.begun.Info(now, "item run", fields...)
	}
}

// countSend counts a run that begins, and returns its number in this process, from 1.
func (t *task) countSend() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends++
	return t.sends
}
