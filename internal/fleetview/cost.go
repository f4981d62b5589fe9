package fleetview

import (
	"math"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/telemetry"
)

const (
	// slowReadThreshold is the duration of a write to the caller from which the event gaps of the run are no
	// longer measured: the target is not read meanwhile, and the events that arrive during the write are read
	// at once after it.
	slowReadThreshold = 5 * time.Millisecond
	// costErrorMetric is the name of the histogram of the difference between the predicted and the actual hold
	// time of a run, in percent of the actual one.
	costErrorMetric = "cost.error_percent"
	// maxErrorPercent bounds the values of that histogram.
	maxErrorPercent = 10_000
)

// runCost is what was expected and measured of the cost of a run. The lock of the view guards it.
type runCost struct {
	forecast    fleet.CostForecast
	hasForecast bool
	events      int
	gaps        int           // measured gaps between events
	gapTime     time.Duration // sum of the measured gaps
	whole       time.Duration // from the start of the run to the whole answer of a call; 0 if there is none
	hasSlowRead bool          // the caller has read slowly
}

// addEvent records an event; gap is the time since the one before.
func (c *runCost) addEvent(gap time.Duration) {
	c.events++
	if c.events > 1 && !c.hasSlowRead {
		c.gaps++
		c.gapTime += gap
	}
}

// eventTime returns the time from the first to the last event. If the caller has read slowly, the time is
// extrapolated from the gaps before; it is 0 if there are none.
func (c *runCost) eventTime() time.Duration {
	if c.gaps == 0 {
		return 0
	}
	return time.Duration(float64(c.gapTime) / float64(c.gaps) * float64(c.events-1))
}

// ObservePace records the pace that the target of the run has reported in the header of an answer, if it has.
func (r *Run) ObservePace(ans *platform.TargetAnswer) {
	if ans.Pace <= 0 || ans.OtherInstance {
		return
	}
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.fleet.ObservePace(time.Now(), r.Target.ID, ans.Pace)
}

// RecordWholeAnswer records that the whole answer of a call has just arrived.
func (r *Run) RecordWholeAnswer() {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	now := time.Now()
	r.recordAfterSilence(now)
	r.cost.whole = now.Sub(r.startedAt)
}

// RecordWrite records the duration of a write to the caller, during which the target was not read.
func (r *Run) RecordWrite(d time.Duration) {
	if d < slowReadThreshold {
		return
	}
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.cost.hasSlowRead = true
}

// observeCost passes what was measured of the run to the cost model; ok is false if the run does not show how good
// its forecast was. isComplete is set if the target has sent the whole output in this run.
func (r *Run) observeCost(isComplete bool) (actual time.Duration, forecast fleet.CostForecast, ok bool) {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	c := &r.cost
	if c.events == 0 && c.whole == 0 {
		return 0, fleet.CostForecast{}, false
	}
	run := costmodel.Run{
		Service: r.Work.Service, Route: r.Work.Route, Target: r.Target.ID, Size: r.Work.Size, Load: r.Choice.RequestsWith(), Slots: r.Target.Slots,
		FirstEvent: c.whole, EventTime: c.eventTime(), Events: max(1, c.events), IsStream: c.events > 0, IsComplete: isComplete, HasQueued: r.Choice.RequestsWith() > r.Target.Slots,
	}
	if run.IsStream {
		run.FirstEvent = r.firstEventAt.Sub(r.startedAt)
	}
	r.view.fleet.ObserveRun(time.Now(), run)
	return run.FirstEvent + run.EventTime, c.forecast, c.hasForecast && isComplete && !run.HasQueued && !c.hasSlowRead
}

// ForecastFields returns the log fields with what was expected of the run when its target was chosen: the time in its
// slot, the time to its first event and the slowness of the target, and of a batch run the probability that its slot
// lasts. What was not predicted is left out.
func (r *Run) ForecastFields() []any {
	var fields []any
	if f := r.cost.forecast; r.cost.hasForecast { // set before the run is returned, so that no lock is needed
		fields = append(fields, "predicted_ms", f.Hold.Milliseconds(), "predicted_first_ms", f.FirstEvent.Milliseconds(), "slowness", roundHundredths(f.Slowness))
	}
	if r.hasLasting {
		fields = append(fields, "probability", roundHundredths(r.lastingProbability))
	}
	return fields
}

// TargetCosts returns what is known of the speed of the targets, in the order of their ids.
func (v *View) TargetCosts() []costmodel.TargetSummary {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.TargetCosts(time.Now())
}

// CostRecorder passes finished runs to the cost model, and records the error of the forecasts.
type CostRecorder struct {
	log *logging.Routine
	reg metrics.Registry
}

// NewCostRecorder returns a CostRecorder that writes its lines to log and its histogram to reg.
func NewCostRecorder(log hclog.Logger, reg metrics.Registry) *CostRecorder {
	return &CostRecorder{log: logging.NewRoutine(log), reg: reg}
}

// Record records a finished run. isComplete is set if the target has sent the whole output in this run, and not
// only what followed an event. idKey and id identify the request or the item in log lines.
func (cr *CostRecorder) Record(r *Run, isComplete bool, idKey, id string) {
	actual, forecast, ok := r.observeCost(isComplete)
	if !ok || actual <= 0 {
		return
	}
	percent := 100 * math.Abs(float64(forecast.Hold-actual)) / float64(actual)
	telemetry.ObserveValue(cr.reg, costErrorMetric, int64(min(maxErrorPercent, percent)))
	cr.log.Info(time.Now(), "run cost", idKey, id, "target", r.Target.ID, "predicted_ms", forecast.Hold.Round(time.Millisecond).Milliseconds(), "actual_ms", actual.Round(time.Millisecond).Milliseconds(),
		"slowness", roundHundredths(forecast.Slowness), "pace", roundHundredths(forecast.Pace))
}

// roundHundredths rounds a number for log lines.
func roundHundredths(x float64) float64 { return math.Round(100*x) / 100 }
