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

// delayed returns a script that waits before it runs then.
func delayed(delay time.Duration, then script) script {
	return func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
		sleep.For(ctx, delay)
		return then(ctx, c)
	}
}

func TestRequestStagesAreObserved(t *testing.T) {
	const (
		firstDelay = 40 * time.Millisecond
		relayTime  = 70 * time.Millisecond
	)
	cases := []struct {
		name   string
		script script
		want   map[string]int64 // maximum of each histogram, which has one value
	}{
		{"served", delayed(firstDelay, streamAnswer(firstEvents, nil)), map[string]int64{"ms": 110, "choose_ms": 0, "first_ms": 40, "relay_ms": 70}},
		{"refused by every target", refuseRequest, map[string]int64{"ms": 0, "choose_ms": 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(1, c.script)
				pause := once(func() { time.Sleep(relayTime) })
				b.serve(context.Background(), newRoute(serving.KindStream, 1, false), &fakeCaller{onWrite: pause})
				for _, stage := range []string{"ms", "choose_ms", "first_ms", "relay_ms"} {
					h, ok := b.gw.reg.Get("online.stream." + stage).(metrics.Histogram)
					want, wanted := c.want[stage]
					if ok != wanted || ok && (h.Count() != 1 || h.Max() != want) {
						t.Errorf("%s: exists %v, want %v; %+v", stage, ok, wanted, b.gw.reg.GetAll())
					}
				}
			})
		})
	}
}

// once returns a function that calls f on its first call only.
func once(f func()) func() {
	done := false
	return func() {
		if !done {
			done = true
			f()
		}
	}
}
