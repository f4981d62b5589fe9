package fleet

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/policy"
)

// observeRuns records runs at targets t0 to t3, and at one that is not on the list and must not take memory.
func observeRuns(f *Fleet) {
	for i := range 100 {
		f.ObserveRun(start, costmodel.Run{Service: "llm", Route: "r", Target: fmt.Sprintf("t%d", i%5), Load: 1, Slots: testSlots, FirstEvent: 100 * time.Millisecond, IsComplete: true})
	}
}

// Guards against changes for deployments that don't ask for cost-aware scheduling: nothing is learned, and reports have
// nothing about costs.
func TestCostsAreLearnedOnlyWhereEnabled(t *testing.T) {
	work, end := Work{Service: "llm", Route: "r"}, start.Add(5*time.Second)
	cases := []struct {
		name    string
		options Options
		hasPace bool
		want    bool
	}{
		{"auto without a pace", Options{}, false, false},
		{"auto with a pace", Options{}, true, true},
		{"on", Options{ExpectedTime: ExpectedTimeOn}, false, true},
		{"off", Options{ExpectedTime: ExpectedTimeOff}, true, false},
		{"policy disabled", Options{ExpectedTime: ExpectedTimeOn, Disabled: policy.Disabled{policy.ExpectedTime: true}}, true, false},
	}
	for _, c := range cases {
		f := testFleet("self", 4)
		f.opts.ExpectedTime, f.opts.Disabled = c.options.ExpectedTime, c.options.Disabled
		if c.hasPace {
			f.ObservePace(start, "t0", 100)
		}
		observeRuns(f)
		choice, _ := f.PickOnline(end, work, nil)
		forecast, ok := f.ForecastCost(end, choice, work)
		observations := f.Report(end).Observations
		if ok != c.want || (len(observations) > 0) != c.want || f.isCostAware("llm") != c.want || len(f.TargetCosts(end)) != 4 {
			t.Errorf("%s: forecast %+v (known: %v), observations %+v, want them: %v, and four known targets", c.name, forecast, ok, observations, c.want)
		}
	}
}
