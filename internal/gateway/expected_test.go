package gateway

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/shed"
	"arbutusramp/internal/fleetview"
)

// Guards against calls that are admitted with a wait of 0.75 of their goal and then run for a third of it. The rejection
// must be logged with the target and the predictions that it is based on.
func TestCallsAreAdmittedByTheirServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		reg := metrics.NewRegistry()
		h := newHarness(0, delayed(100*time.Millisecond, wholeAnswer(200, "ok", nil)))
		h.view = fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Second, ExpectedTime: fleet.ExpectedTimeOn})
		h.view.UpdateTargets([]serving.Target{{ID: "t0", Service: "s", Slots: 4}}, nil)
		h.gw = New(Options{Targets: h, View: h.view, Config: h, Access: h, Quotas: h, Quarantine: h, Origins: newOrigins(), Prober: h, Versions: h, Log: hclog.New(&hclog.LoggerOptions{Output: &log}), Metrics: reg})
		route := newRoute(serving.KindSafe, 1, false)
		send := func() *fakeCaller {
			caller := &fakeCaller{}
			h.serve(context.Background(), route, caller)
			return caller
		}
		const warmUp, burst = 20, 12
		for range warmUp { // the gateway learns how long callers wait and how long calls hold a slot
			if caller := send(); caller.err != nil {
				t.Fatal(caller.err)
			}
		}
		answers := make(chan *fakeCaller)
		for range burst {
			go func() { answers <- send() }()
			synctest.Wait()
		}
		rejected := 0
		for range burst {
			caller := <-answers
			if caller.err == nil {
				continue
			}
			rejected++
			if e := caller.err; e.Type != errs.Overloaded || e.Ran != errs.RanNo || e.RetryAfterMs < 100 || e.RetryAfterMs > h.callerTimeout.Milliseconds()/shed.MaxRetryDivisor {
				t.Errorf("rejected with %+v, want type overloaded, not run, and a retry time from 100 ms to a third of the caller's time", e)
			}
		}
		// 4 calls hold the slots, and 5 may wait: 135 ms are left of the goal after the call and the margins, and one call ends
		// every 25 ms.
		if rejected != burst-9 {
			t.Errorf("%d of %d calls are rejected, want 3", rejected, burst)
		}
		for _, field := range []string{"overload", "target=t0", "slowness=1", "service_ms=100", "wait_ms=150"} {
			if !strings.Contains(log.String(), field) {
				t.Errorf("the log has no %q:\n%s", field, log.String())
			}
		}
		if n := metrics.GetOrRegisterCounter("online.choices.expected_time", reg).Count(); n != warmUp+9 {
			t.Errorf("%d choices by expected time are counted, want %d", n, warmUp+9)
		}
	})
}
