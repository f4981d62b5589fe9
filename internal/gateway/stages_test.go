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

// slowly is a script whose answer begins after a while and whose caller is slow.
func slowly(first time.Duration, then script) script {
	return func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
		sleep.For(ctx, first)
		return then(ctx, c)
	}
}

func TestStagesOfARequestAreObserved(t *testing.T) {
	const (
		first = 40 * time.Millisecond
		relay = 70 * time.Millisecond
	)
	cases := []struct {
		name   string
		script script
		want   map[string]int64 // the histogram's maximum; one value each
	}{
		{"served", slowly(first, stream(first3, nil)), map[string]int64{"ms": 110, "choose_ms": 0, "first_ms": 40, "relay_ms": 70}},
		{"refused by every target", refusal, map[string]int64{"ms": 0, "choose_ms": 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(1, c.script)
				pause := once(func() { time.Sleep(relay) })
				b.serve(context.Background(), route(serving.KindStream, 1, false), &caller{leaves: pause})
				for _, stage := range []string{"ms", "choose_ms", "first_ms", "relay_ms"} {
					h, ok := b.gw.reg.Get("online.stream." + stage).(metrics.Histogram)
					want, wanted := c.want[stage]
					if ok != wanted || ok && (h.Count() != 1 || h.Max() != want) {
						t.Errorf("%s: there %v, want %v; %+v", stage, ok, wanted, b.gw.reg.GetAll())
					}
				}
			})
		})
	}
}

// once calls f the first time only.
func once(f func()) func() {
	done := false
	return func() {
		if !done {
			done = true
			f()
		}
	}
}
