package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

// delayed returns a script that waits for delay and then answers like s.
func delayed(delay time.Duration, s script) script {
	return func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
		sleep.For(ctx, delay)
		return s(ctx, c)
	}
}

// Covers which durations of a request are added to the histograms of its stages.
func TestRequestStagesAreObserved(t *testing.T) {
	const (
		answerDelay = 40 * time.Millisecond // from the send to the first event
		writeTime   = 70 * time.Millisecond // of the first event to the caller
	)
	cases := []struct {
		name   string
		script script
		want   map[string]int64 // the one value of each histogram, in milliseconds
	}{
		{"served", delayed(answerDelay, streamAnswer(firstEvents, nil)), map[string]int64{"ms": 110, "choose_ms": 0, "first_ms": 40, "relay_ms": 70}},
		{"refused by every target", refuseRequest, map[string]int64{"ms": 0, "choose_ms": 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(1, c.script)
				pauseOnce := once(func() { time.Sleep(writeTime) })
				h.serve(context.Background(), newRoute(serving.KindStream, 1, false), &fakeCaller{onWrite: pauseOnce})
				for _, stage := range []string{"ms", "choose_ms", "first_ms", "relay_ms"} {
					histogram, ok := h.gw.reg.Get("online.stream." + stage).(metrics.Histogram)
					want, isWanted := c.want[stage]
					if ok != isWanted || ok && (histogram.Count() != 1 || histogram.Max() != want) {
						t.Errorf("histogram %s: exists %v, want %v, with the one value of the case; all metrics: %+v", stage, ok, isWanted, h.gw.reg.GetAll())
					}
				}
			})
		})
	}
}

// once returns a function that calls f on its first call only.
func once(f func()) func() {
	isDone := false
	return func() {
		if !isDone {
			isDone = true
			f()
		}
	}
}
