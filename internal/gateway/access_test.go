package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// newWorkspaceHarness returns a harness whose callers belong to the workspace "w".
func newWorkspaceHarness(targetCount int, scripts ...script) *harness {
	h := newHarness(targetCount, scripts...)
	h.workspace = "w"
	return h
}

func TestRequestOverQuotaIsRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newWorkspaceHarness(1, wholeAnswer(200, "ok", nil))
		h.isOverQuota = true
		caller := &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindSafe, 2, false), caller)
		if caller.err == nil || caller.err.Type != errs.RateLimited || caller.err.Ran != errs.RanNo || caller.err.RetryAfterMs != 400 || caller.answeredAfter != 0 || len(h.sentTo) != 0 {
			t.Errorf("error %+v after %v, %d sends; want type rate_limited, not run, RetryAfterMs 400, after 0s with 0 sends", caller.err, caller.answeredAfter, len(h.sentTo))
		}
		if h.refunded != 0 {
			t.Error("a request over its quota was refunded, want no refund")
		}
	})
}

// Guards against wrong quota accounting of failed requests: a request must be refunded to the quota only if no
// target has run it, and a retry at a second target must not be taken from the quota again.
func TestQuotaIsRefundedIfNoTargetRan(t *testing.T) {
	refused := func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
		return nil, errs.New(errs.TargetFailed, "refused").WithRan(errs.RanNo)
	}
	brokenOff := func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
		return nil, errs.New(errs.TargetFailed, "reset").WithRan(errs.RanUnknown)
	}
	cases := []struct {
		name     string
		targets  int
		scripts  []script
		refunded int
	}{
		{"served", 1, []script{wholeAnswer(200, "ok", nil)}, 0},
		{"no target available", 0, []script{refused}, 1},
		{"all targets refuse", 2, []script{refused}, 1},
		{"broken off by the only target", 1, []script{brokenOff}, 0},
		{"served by the second target", 2, []script{brokenOff, wholeAnswer(200, "ok", nil)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newWorkspaceHarness(c.targets, c.scripts...)
				h.serve(context.Background(), newRoute(serving.KindSafe, 2, false), &fakeCaller{})
				if h.admitted != 1 || h.refunded != c.refunded {
					t.Errorf("%d requests taken from the quota, want 1; %d refunded, want the refunds of the case", h.admitted, h.refunded)
				}
			})
		})
	}
}

// Guards against the use of a revoked API key: a request whose key is revoked after its arrival must not be sent.
func TestKeyIsRecheckedBeforeSend(t *testing.T) {
	for _, failure := range []errs.Type{errs.Unauthenticated, errs.ConfigStale} {
		synctest.Test(t, func(t *testing.T) {
			h := newWorkspaceHarness(1, wholeAnswer(200, "ok", nil))
			h.authErr = errs.New(failure, "revoked").WithRetry(50 * time.Millisecond)
			caller := &fakeCaller{}
			h.serve(context.Background(), newRoute(serving.KindSafe, 2, false), caller)
			if caller.err == nil || caller.err.Type != failure || caller.err.Ran != errs.RanNo || len(h.sentTo) != 0 || h.refunded != 1 {
				t.Errorf("key check fails with %s: error %+v, want the same type and not run; %d sends, want 0; %d refunded, want 1", failure, caller.err, len(h.sentTo), h.refunded)
			}
		})
	}
}
