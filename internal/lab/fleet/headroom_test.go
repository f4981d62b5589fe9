package fleet

import (
	"testing"
	"time"

	corefleet "arbutusramp/core/fleet"
)

// compareStarts returns the results of the present rule for starts of items, and of starts by forecast with yielding in an
// overload, in a fleet of 40 engines of 8 slots. load changes its options.
func compareStarts(t *testing.T, load func(*Options)) (present, forecast *Result) {
	t.Helper()
	o := DefaultOptions()
	o.Gateways, o.Engines, o.Seconds, o.Streams, o.Jobs, o.StartPause = 3, 40, 33, 214, 2, 6*time.Millisecond
	load(&o)
	r, err := Run(o, []Policy{{Name: "present"}, {Name: "forecast", ExpectedTime: corefleet.ExpectedTimeOn}})
	if err != nil {
		t.Fatal(err)
	}
	present, forecast = r.Policies[0], r.Policies[1]
	for _, p := range r.Policies {
		t.Logf("%s: %.3f of streams in time, %d of %d items in time, %d runs, %d cut, %d of them without an event",
			p.Policy, share(p.InTime, p.Streams), p.ItemsInTime, p.Items, p.Runs, p.Cut, p.CutWithoutGain)
	}
	if got, want := share(forecast.InTime, forecast.Streams), share(present.InTime, present.Streams); got < want-0.01 {
		t.Errorf("%.3f of streams in time, want %.3f as by the present rule", got, want)
	}
	return present, forecast
}

// Guards against items that start in slots which the next online requests take: a square wave of 0.38 of the mean for
// 3.8 s and 1.84 of it for 2.8 s. The aim is a tenth of the runs cut without an event, with no fewer items in time; the
// first 15 s, in which no period is known, count as well.
func TestSquareWaveCutsFewRunsWithoutGain(t *testing.T) {
	present, forecast := compareStarts(t, func(*Options) {})
	if before := share(present.CutWithoutGain, present.Runs); before < 0.4 {
		t.Errorf("the present rule cuts %.2f of the runs without an event, want a load at which it cuts 0.4 or more", before)
	}
	if after := share(forecast.CutWithoutGain, forecast.Runs); after > 0.12 {
		t.Errorf("%.2f of the runs were cut without an event, want 0.12 at most", after)
	}
	if forecast.ItemsInTime < present.ItemsInTime {
		t.Errorf("%d items in time, want %d as by the present rule", forecast.ItemsInTime, present.ItemsInTime)
	}
}

// Guards against slots that stay idle at a steady demand because of the forecast.
func TestSteadyDemandCompletesTheItems(t *testing.T) {
	present, forecast := compareStarts(t, func(o *Options) { o.IsSteady, o.Seconds, o.Jobs = true, 12, 3 })
	if forecast.ItemsInTime < present.ItemsInTime || forecast.CutWithoutGain > present.CutWithoutGain {
		t.Errorf("%d items in time and %d runs cut without an event, want %d and at most %d", forecast.ItemsInTime, forecast.CutWithoutGain, present.ItemsInTime, present.CutWithoutGain)
	}
}

// Guards against batch work that goes on in an overload of the online requests: with 16 of 40 engines gone fewer runs
// start and are cut, and every item is done all the same.
func TestBatchYieldsWhileStreamsAreSentAway(t *testing.T) {
	present, forecast := compareStarts(t, func(o *Options) { o.Lost, o.Seconds, o.Jobs = 16, 14, 1.5 })
	if forecast.SentAway == 0 {
		t.Error("no stream was sent away, want an overload")
	}
	if 2*forecast.Cut > present.Cut || forecast.ItemsDone != forecast.Items {
		t.Errorf("%d runs cut and %d of %d items done, want at most half of %d and all", forecast.Cut, forecast.ItemsDone, forecast.Items, present.Cut)
	}
}
