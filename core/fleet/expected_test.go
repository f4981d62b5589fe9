package fleet

import (
	"math"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/policy"
	"arbutusramp/core/structs"
)

// fakePredictor predicts from the slowness of each target, 1 for others. With a base of 0 it predicts nothing.
type fakePredictor struct {
	slowness map[string]float64
	base     costmodel.Prediction
}

func (p *fakePredictor) Slowness(_ time.Time, target string) float64 {
	if s, ok := p.slowness[target]; ok {
		return s
	}
	return 1
}

func (p *fakePredictor) Predict(now time.Time, q costmodel.Query) (costmodel.Prediction, bool) {
	s := p.Slowness(now, q.Target)
	return costmodel.Prediction{FirstEvent: scale(p.base.FirstEvent, s), Hold: scale(p.base.Hold, s)}, p.base.Hold > 0
}

// expectedFleet returns testFleet with expected times in use. Requests hold a slot for 800 ms and have their first
// event after 50 ms, both times the slowness of the target.
func expectedFleet(targets int, slowness map[string]float64) *Fleet {
	f := testFleet("self", targets)
	f.opts.ExpectedTime = ExpectedTimeOn
	f.predictions = &fakePredictor{slowness, costmodel.Prediction{FirstEvent: 50 * ms, Hold: 800 * ms}}
	f.RecordHoldTime("llm", 800*ms)
	return f
}

// picks counts the targets of n choices with unchanged loads.
func picks(f *Fleet, w Work, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		c, _ := f.PickOnline(start, w, nil)
		counts[c.Target.ID]++
	}
	return counts
}

// Guards against choices that ignore what the goal measures: the first event of a stream or the whole answer of a call.
func TestPickOnlineByExpectedTime(t *testing.T) {
	stream, call := Work{Service: "llm", IsStream: true}, Work{Service: "llm"}
	cases := []struct {
		name     string
		work     Work
		slowness map[string]float64
		setup    func(*Fleet)
		want     string
		minShare float64
	}{
		{"a fast target with a queue before a slow one without, for a call", call, map[string]float64{"t1": 4}, func(f *Fleet) { begin(f, "t0", structs.ClassOnline, testSlots) }, "t0", 0.99},
		{"a slow target with a free slot before a fast one with a queue, for a stream", stream, map[string]float64{"t1": 2}, func(f *Fleet) { begin(f, "t0", structs.ClassOnline, testSlots) }, "t1", 0.8},
		{"the shorter wait by hold time, not by requests", stream, map[string]float64{"t0": 4}, func(f *Fleet) {
			begin(f, "t0", structs.ClassOnline, testSlots)
			begin(f, "t1", structs.ClassOnline, testSlots+1)
		}, "t1", 0.99},
		{"the own domain among equal targets", stream, nil, nil, "t0", 0.85},
		{"a free slot before batch items at a target of the same speed", stream, nil, func(f *Fleet) { begin(f, "t0", structs.ClassBatch, testSlots) }, "t1", 1},
		{"batch items are preempted before a slow target is used", call, map[string]float64{"t1": 4}, func(f *Fleet) { begin(f, "t0", structs.ClassBatch, testSlots) }, "t0", 0.99},
		{"batch items are preempted before a queue", stream, nil, func(f *Fleet) {
			begin(f, "t0", structs.ClassOnline, testSlots)
			begin(f, "t1", structs.ClassBatch, testSlots)
		}, "t1", 0.95},
		{"a slow healthy target before a fast suspect one", call, map[string]float64{"t1": 8}, func(f *Fleet) { f.RecordFailure(start, "t0") }, "t1", 1},
		{"a slowness that is not a number counts as usual", call, map[string]float64{"t0": math.NaN(), "t1": 8}, func(f *Fleet) { f.predictions.(*fakePredictor).base.Hold = 0 }, "t0", 0.99},
	}
	for _, c := range cases {
		f := expectedFleet(2, c.slowness)
		if c.setup != nil {
			c.setup(f)
		}
		const n = 1000
		if got := picks(f, c.work, n)[c.want]; float64(got) < c.minShare*n {
			t.Errorf("%s: %s is chosen %d times of %d, want at least %.0f", c.name, c.want, got, n, c.minShare*n)
		}
	}
}

// Guards against one wait for all targets: a wait of 237 ms was expected where a slot became free after 70 ms or 700 ms.
func TestEstimateIsThatOfTheEarliestTarget(t *testing.T) {
	f := expectedFleet(2, map[string]float64{"t0": 4})
	begin(f, "t0", structs.ClassOnline, testSlots)
	begin(f, "t1", structs.ClassOnline, testSlots+1)
	got := f.Estimate(start, Work{Service: "llm", IsStream: true})
	want := Estimate{Target: "t1", Wait: 400 * ms, WaitStep: 200 * ms, HoldTime: 800 * ms, ServiceTime: 50 * ms, Slowness: 1, StartRate: 4/0.8 + 4/3.2}
	if got != want {
		t.Errorf("estimate %+v, want %+v", got, want)
	}
	c, _ := f.PickOnline(start, Work{Service: "llm", IsStream: true}, nil)
	if s := c.String(); !c.IsByExpectedTime || !strings.HasSuffix(s, "wait_ms=400 service_ms=50 slowness=1.00") {
		t.Errorf("the choice is formatted as %q, want it to end with the expected wait, service time and slowness", s)
	}
	if got := f.Estimate(start, Work{Service: "other"}); got.Target != "" || got.ServiceTime != 0 {
		t.Errorf("estimate %+v for a service without targets, want no target and no service time", got)
	}
}

// Guards against predictions that change decisions of services for which they are not in use.
func TestExpectedTimeIsUsedOnlyWhereItIsOn(t *testing.T) {
	for name, change := range map[string]func(*Fleet){
		"off":                func(f *Fleet) { f.opts.ExpectedTime = ExpectedTimeOff },
		"auto without pace":  func(f *Fleet) { f.opts.ExpectedTime = ExpectedTimeAuto },
		"mechanism disabled": func(f *Fleet) { f.opts.Disabled = policy.Disabled{policy.ExpectedTime: true} },
	} {
		f := expectedFleet(2, map[string]float64{"t0": 8})
		change(f)
		if got := picks(f, Work{Service: "llm"}, 10)["t0"]; got != 10 {
			t.Errorf("%s: the target in the own domain is chosen %d times of 10, want 10", name, got)
		}
		if e := f.Estimate(start, Work{Service: "llm"}); e.ServiceTime != 0 || e.HoldTime != 800*ms {
			t.Errorf("%s: estimate %+v, want the mean hold time and no service time", name, e)
		}
		if got := f.CapacityAfter(start, "llm", time.Second); got != 0 {
			t.Errorf("%s: capacity after %v, want 0 for unknown", name, got)
		}
	}
}

// Guards against slow targets that count as silent while their queue is served, and against fast ones that count as
// silent sooner than by the mean of the service.
func TestQueueWaitFollowsTheTargetWithinBounds(t *testing.T) {
	for slowness, want := range map[float64]time.Duration{0.25: 800 * ms, 1: 800 * ms, 2: 1600 * ms, 8: 3200 * ms} {
		f := expectedFleet(1, map[string]float64{"t0": slowness})
		begin(f, "t0", structs.ClassOnline, 2*testSlots)
		if got := f.QueueWait(start, "t0"); got != scale(want, holdTimeMargin) {
			t.Errorf("with a slowness of %v and a queue as long as the slots the wait is at most %v, want %v", slowness, got, scale(want, holdTimeMargin))
		}
	}
}

// fakeForecast returns the demand before and from a time ahead.
type fakeForecast struct {
	until      time.Duration
	high, low  float64
	isPeriodic bool
}

func (f fakeForecast) Forecast(_ time.Time, _ string, ahead time.Duration) (float64, bool) {
	if ahead < f.until {
		return f.high, f.isPeriodic
	}
	return f.low, f.isPeriodic
}

// Guards against callers that are told to retry while the demand is still high.
func TestCapacityAfterFollowsTheForecast(t *testing.T) {
	cases := []struct {
		name     string
		forecast fakeForecast
		limit    time.Duration
		want     time.Duration
	}{
		{"the demand falls within the limit", fakeForecast{700 * ms, 9, 3, true}, 1600 * ms, 700 * ms},
		{"the demand falls later", fakeForecast{2 * time.Second, 9, 3, true}, 1600 * ms, 1600 * ms},
		{"the demand falls to just the capacity", fakeForecast{700 * ms, 9, 2 * testSlots, true}, 1600 * ms, 1600 * ms},
		{"no period is known", fakeForecast{700 * ms, 9, 3, false}, 1600 * ms, 0},
		{"a caller without a timeout", fakeForecast{700 * ms, 9, 3, true}, 0, 0},
		{"a caller with a very long timeout", fakeForecast{time.Hour, 9, 3, true}, 24 * time.Hour, 24 * time.Hour / 200 * 9},
	}
	for _, c := range cases {
		f := expectedFleet(2, nil)
		f.forecasts = c.forecast
		if got := f.CapacityAfter(start, "llm", c.limit); got != c.want {
			t.Errorf("%s: capacity after %v, want %v", c.name, got, c.want)
		}
	}
}

// countingPredictor counts the predictions.
type countingPredictor struct {
	fakePredictor
	predictions int
}

func (p *countingPredictor) Predict(now time.Time, q costmodel.Query) (costmodel.Prediction, bool) {
	p.predictions++
	return p.fakePredictor.Predict(now, q)
}

// Guards against work that is repeated for each request while all targets are full: with 3,000 targets the start rate
// alone took half of an estimate, under the lock that all requests need.
func TestStartRateIsNotComputedForEachEstimate(t *testing.T) {
	const targets = 20
	f := expectedFleet(targets, nil)
	counting := &countingPredictor{fakePredictor: fakePredictor{base: costmodel.Prediction{FirstEvent: 50 * ms, Hold: 800 * ms}}}
	f.predictions = counting
	for _, ts := range f.targets {
		ts.ownLoad.Online = ts.Slots
	}
	first := f.Estimate(start, Work{Service: "llm"})
	counting.predictions = 0
	second := f.Estimate(start.Add(ms), Work{Service: "llm"})
	if limit := 2*targets + 1; counting.predictions > limit || second.StartRate != first.StartRate || first.StartRate == 0 {
		t.Errorf("the second estimate takes %d predictions and has the start rate %v, want at most %d and %v", counting.predictions, second.StartRate, limit, first.StartRate)
	}
	for _, ts := range f.targets {
		ts.IsDraining = ts.ID != first.Target
	}
	if later := f.Estimate(start.Add(2*capacityTTL), Work{Service: "llm"}); later.StartRate > first.StartRate/(targets-1) {
		t.Errorf("the start rate with one target left is %v, that with %d targets was %v", later.StartRate, targets, first.StartRate)
	}
}
