package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/fairshare"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/core/quota"
	"arbutusramp/core/serving"
	"arbutusramp/core/shed"
	"arbutusramp/internal/fleetview"
)

// slottedTarget answers calls after a time, as many at once as it has slots and the others in order of arrival.
func slottedTarget(slots int, holdTime time.Duration) script {
	slot := make(chan struct{}, slots)
	return func(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
		select {
		case slot <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		defer func() { <-slot }()
		time.Sleep(holdTime)
		return &platform.TargetAnswer{Status: http.StatusOK, Header: http.Header{}, Length: 2, Body: io.NopCloser(strings.NewReader("ok"))}, nil
	}
}

// noQuotas admits all requests; unlike a harness it is safe for concurrent use.
type noQuotas struct{}

func (noQuotas) Admit(string) quota.Decision { return quota.Decision{IsAdmitted: true} }
func (noQuotas) Refund(string)               {}

// sharedLoad is a load of calls on one target with 4 slots, which serves 40 calls a second.
type sharedLoad struct {
	isDivided bool
	rates     map[string]float64 // requests per second by workspace
}

// callsOf are the outcomes of the calls of a workspace.
type callsOf struct{ sent, inGoal, rejected, rejectedWithoutRetry int }

// run sends the calls of 10 s through a gateway and returns the outcomes, its log and its metrics. The outcomes leave
// out the first 3 s, in which the work of a window is measured.
func (l sharedLoad) run(t *testing.T) (map[string]*callsOf, string, metrics.Registry) {
	const (
		slots, holdTime, goal = 4, 100 * time.Millisecond, 300 * time.Millisecond
		callerTimeout         = 1500 * time.Millisecond
		duration, warmUp      = 10 * time.Second, 3 * time.Second
	)
	outcomes, reg := make(map[string]*callsOf), metrics.NewRegistry()
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1, slottedTarget(slots, holdTime))
		if l.isDivided {
			h.view = fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Second, Sharing: &fairshare.Options{Window: 2 * time.Second}})
			h.view.UpdateTargets([]serving.Target{{ID: "t0", Service: "s", Slots: slots}}, nil)
		}
		log := hclog.New(&hclog.LoggerOptions{Output: &out})
		h.gw = New(Options{Targets: h, View: h.view, Config: h, Access: h, Quotas: noQuotas{}, Quarantine: h, Origins: newOrigins(), Prober: h, Versions: h, Log: log, Metrics: reg})
		var mu sync.Mutex
		var calls sync.WaitGroup
		began := time.Now()
		call := func(workspace string, n int) {
			sentAt, caller := time.Now(), &fakeCaller{}
			h.gw.Serve(context.Background(), newRoute(serving.KindSafe, 1, false), &serving.Request{ID: fmt.Sprint(workspace, n), Caller: serving.Caller{Workspace: workspace}, Arrived: sentAt, Deadline: sentAt.Add(callerTimeout)}, caller)
			mu.Lock()
			defer mu.Unlock()
			if sentAt.Sub(began) < warmUp {
				return
			}
			o := outcomes[workspace]
			o.sent++
			switch {
			case caller.err == nil && time.Since(sentAt) <= goal:
				o.inGoal++
			case caller.err != nil && caller.err.Type == errs.Overloaded:
				o.rejected++
				if caller.err.RetryAfterMs == 0 || caller.err.Ran != errs.RanNo {
					o.rejectedWithoutRetry++
				}
			}
		}
		for workspace, rate := range l.rates {
			outcomes[workspace] = &callsOf{}
			rng := rand.New(rand.NewPCG(uint64(len(workspace)), 3))
			calls.Go(func() {
				for n := 0; time.Since(began) < duration; n++ {
					time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
					calls.Go(func() { call(workspace, n) })
				}
			})
		}
		calls.Wait()
	})
	return outcomes, out.String(), reg
}

// Guards against a workspace that takes the capacity of others by sending three times what the target can serve. Requests
// over the share are rejected immediately, with a retry time, as not run, and with the values of the decision in the log.
func TestRequestsOverTheShareAreRejected(t *testing.T) {
	rates := map[string]float64{"loud": 120, "quiet-a": 5, "quiet-bc": 4}
	outcomes, log, reg := sharedLoad{isDivided: true, rates: rates}.run(t)
	for name, o := range outcomes {
		t.Logf("%s: %+v", name, *o)
		if share := float64(o.inGoal) / float64(o.sent); name != "loud" && share < 0.9 {
			t.Errorf("%s has %d of %d calls in goal, want 0.9", name, o.inGoal, o.sent)
		}
	}
	loud := outcomes["loud"]
	if loud.rejected == 0 || loud.rejectedWithoutRetry > 0 || loud.inGoal < loud.sent/10 {
		t.Errorf("the loud workspace has %+v, want rejected calls, all as not run with a retry time, and a tenth of the calls in goal", *loud)
	}
	if n := metrics.GetOrRegisterCounter(shareRejectedMetric, reg).Count(); n < int64(loud.rejected) {
		t.Errorf("the metric of rejected requests is %d, want at least %d", n, loud.rejected)
	}
	for _, text := range []string{"over share: request=loud", "workspace=loud", "capacity=4", "input_age_ms="} {
		if !strings.Contains(log, text) {
			t.Errorf("the log lacks %q", text)
		}
	}
}

// Guards against rejections by share and their metrics in deployments that don't divide the capacity.
func TestNothingIsRejectedByShareWithoutDivision(t *testing.T) {
	_, log, reg := sharedLoad{rates: map[string]float64{"loud": 120, "quiet-a": 5}}.run(t)
	if strings.Contains(log, "over share") || reg.Get(shareRejectedMetric) != nil || reg.Get(shareAdmittedMetric) != nil {
		t.Error("requests are rejected by share without a division, want none")
	}
}

// Guards against another order of the queue in a deployment that sets sharing and has no workspaces.
func TestNothingIsDividedBetweenRequestsWithoutWorkspace(t *testing.T) {
	h := newHarness(1)
	h.view = fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Second, Sharing: &fairshare.Options{Window: 2 * time.Second}})
	h.gw = New(Options{Targets: h, View: h.view, Config: h, Access: h, Quotas: h, Quarantine: h, Origins: newOrigins(), Prober: h, Versions: h, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
	for workspace, isDivided := range map[string]bool{"": false, "a": true} {
		ex := &exchange{gw: h.gw, route: newRoute(serving.KindSafe, 1, false), req: &serving.Request{Caller: serving.Caller{Workspace: workspace}}, service: "s"}
		var request shed.Request
		ex.applyShare(&request)
		if request.Share != (shed.Share{IsDivided: isDivided}) {
			t.Errorf("workspace %q: the share is %+v, want divided %v", workspace, request.Share, isDivided)
		}
	}
}
