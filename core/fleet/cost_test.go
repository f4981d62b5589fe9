package fleet

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/policy"
)

// observeRuns records runs of 100 ms at targets t0 to t3, of which t3 takes four times as long.
func observeRuns(f *Fleet) {
	for i := range 100 {
		r := costmodel.Run{Service: "llm", Route: "r", Target: fmt.Sprintf("t%d", i%4), Load: 1, Slots: testSlots, FirstEvent: 100 * time.Millisecond, IsComplete: true}
		if r.Target == "t3" {
			r.FirstEvent *= 4
		}
		f.ObserveRun(start.Add(time.Duration(i)*50*time.Millisecond), r)
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
		if ok != c.want || (len(observations) > 0) != c.want || f.usesExpectedTime("llm") != c.want {
			t.Errorf("%s: forecast %+v (known: %v), observations %+v, want them: %v", c.name, forecast, ok, observations, c.want)
		}
	}
}

// Guards against a gateway that does not use what its peers have learned, and against memory for targets that are not on
// the list.
func TestObservationsOfPeersAreApplied(t *testing.T) {
	sender, receiver := testFleet("a", 4), testFleet("b", 4)
	sender.ObservePace(start, "t0", 100)
	observeRuns(sender)
	end := start.Add(5 * time.Second)
	r := sender.Report(end)
	r.Observations = append(r.Observations, costmodel.Observation{Target: "gone", Runs: 5, SpeedSum: 5})
	receiver.ApplyReport(end, "a", r)
	sender.ObserveRun(end, costmodel.Run{Service: "llm", Target: "gone", FirstEvent: time.Second, IsComplete: true})
	receiver.Remove("t2")
	costs := receiver.TargetCosts(end)
	if len(costs) != 3 || costs[2].Slowness < 2 || costs[0].Slowness > 1.3 || len(sender.TargetCosts(end)) != 4 {
		t.Errorf("costs at the receiver %+v and at the sender %+v, want t0, t1 and the slow t3, and four targets at the sender", costs, sender.TargetCosts(end))
	}
}
