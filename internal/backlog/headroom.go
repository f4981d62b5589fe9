package backlog

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/fleet"
	"arbutusramp/internal/telemetry"
)

const (
	// minUrgentSlack is how long before the last time at which an item can start and still meet its due time it counts as
	// urgent. Starts may wait that long: fleet.PickBatchSlot defers them for up to 2 s in an overload.
	minUrgentSlack = 2 * time.Second
	// urgentRemainingShare is the share of the item's remaining run time that counts as slack as well, because a run
	// that is preempted repeats its prompt.
	urgentRemainingShare = 0.25
	// minLoggedDeferral is how long the start of an item is deferred before a line is logged.
	minLoggedDeferral = time.Second
)

// Names of the metrics of deferred starts.
const (
	deferredMetric       = "batch.starts_deferred"     // counter, followed by a dot and the reason
	cutWithoutGainMetric = "batch.cut_without_gain"    // counter of preempted runs without an event
	probabilityMetric    = "batch.start_lasts_percent" // histogram of the probability that the slot of a started run lasts
)

// startSlack returns for how long the start of an item can be deferred so that it still meets its due time, at least 0,
// and whether it is urgent: it can meet its due time, but not if it is deferred further.
func (sc *scheduler) startSlack(t *task, now time.Time) (slack time.Duration, isUrgent bool) {
	remaining := sc.m.runTimes.Remaining(t.job.Route, t.item().Tokens, t.eventCount())
	slack = time.UnixMilli(t.due()).Sub(now) - remaining
	isUrgent = slack >= 0 && slack < max(minUrgentSlack, time.Duration(urgentRemainingShare*float64(remaining)))
	return max(0, slack), isUrgent
}

// deferral is the time for which the start of an item has been deferred.
type deferral struct {
	since    time.Time // zero if the start is not deferred
	reason   fleet.DeferReason
	isLogged bool
}

// noteDeferral records that the start of the item is deferred. isNew is true for the first call for a reason since the
// last run, isLong once for each deferral, when it exceeds minLoggedDeferral.
func (t *task) noteDeferral(now time.Time, reason fleet.DeferReason) (isNew, isLong bool, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &t.deferral
	isNew = d.reason != reason
	if d.since.IsZero() {
		d.since = now
	}
	d.reason = reason
	age = now.Sub(d.since)
	isLong = !d.isLogged && age > minLoggedDeferral
	d.isLogged = d.isLogged || isLong
	return isNew, isLong, age
}

// takeDeferral returns for how long the start of the item was deferred and ends the deferral.
func (t *task) takeDeferral(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.deferral
	t.deferral = deferral{}
	if d.since.IsZero() {
		return 0
	}
	return now.Sub(d.since)
}

// recordDeferral counts a deferred start, and logs it once when it has lasted for longer than minLoggedDeferral.
func (sc *scheduler) recordDeferral(t *task, w fleet.Work, pick fleet.BatchPick) {
	if pick.Deferral == fleet.NotDeferred {
		return
	}
	now := time.Now()
	isNew, isLong, age := t.noteDeferral(now, pick.Deferral)
	if isNew {
		metrics.GetOrRegisterCounter(deferredMetric+"."+pick.Deferral.String(), sc.m.registry).Inc(1)
	}
	if isLong {
		sc.logDeferral(now, t, w, pick, age, "waiting")
	}
}

// recordStart records the probability behind a start, and logs the end of a long deferral.
func (sc *scheduler) recordStart(t *task, w fleet.Work, pick fleet.BatchPick) {
	if pick.IsForecast {
		telemetry.ObserveValue(sc.m.registry, probabilityMetric, int64(100*pick.Probability))
	}
	now := time.Now()
	if age := t.takeDeferral(now); age > minLoggedDeferral {
		sc.logDeferral(now, t, w, pick, age, "started")
	}
}

// logDeferral logs that the start of an item has been deferred, with the demand behind the decision.
func (sc *scheduler) logDeferral(now time.Time, t *task, w fleet.Work, pick fleet.BatchPick, age time.Duration, outcome string) {
	demand, demandAge := sc.m.view.Demand(w.Service)
	sc.deferLog.Info(now, "item deferred", "job", t.job.ID, "item", t.item().ID, "service", w.Service, "reason", pick.Deferral.String(), "ms", age.Milliseconds(),
		"urgent", w.IsUrgent, "due_in_ms", t.due()-now.UnixMilli(), "probability", pick.Probability, "target", pick.Target.ID,
		"online", demand.Online, "mean", demand.Mean, "swing", demand.Swing, "period_ms", demand.Period.Milliseconds(), "rising", demand.IsRising,
		"demand_age_ms", demandAge.Milliseconds(), "outcome", outcome)
}

// logOverloads logs the overloads that have begun or ended since the last call.
func (sc *scheduler) logOverloads() {
	for _, c := range sc.m.view.TakeOverloadChanges() {
		msg := "batch starts suspended"
		if !c.IsOverloaded {
			msg = "batch starts resumed"
		}
		sc.overloadLog.Info(time.Now(), msg, "service", c.Service, "source", string(c.Source), "overload_ms", c.Age.Milliseconds(),
			"yield_ms", c.YieldTime.Milliseconds(), "online", c.Online, "slots", c.Slots)
	}
}
