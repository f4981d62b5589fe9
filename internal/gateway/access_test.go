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

// newWorkspaceHarness returns a harness whose callers have a workspace.
func newWorkspaceHarness(targetCount int, scripts ...script) *harness {
	b := newHarness(targetCount, scripts...)
	b.workspace = "w"
	return b
}

func TestRequestOverQuotaIsRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorkspaceHarness(1, wholeAnswer(200, "ok", nil))
		b.isOverQuota = true
		c := &fakeCaller{}
		b.serve(context.Background(), newRoute(serving.KindSafe, 2, false), c)
		if c.err == nil || c.err.Type != errs.RateLimited || c.err.Ran != errs.RanNo || c.err.RetryAfterMs != 400 || c.answeredAfter != 0 || len(b.sentTo) != 0 {
			t.Errorf("%+v after %v, %d sends", c.err, c.answeredAfter, len(b.sentTo))
		}
		if b.refunded != 0 {
			t.Error("an allowance that was not taken was refunded")
		}
	})
}

// Guards against wrong quota accounting of failed requests: the quota is refunded if no target has run the
// request and kept otherwise, and a retry at a second target is not charged again.
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
		{"no target", 0, []script{refused}, 1},
		{"all targets refuse", 2, []script{refused}, 1},
		{"may have run", 1, []script{brokenOff}, 0},
		{"served by the second target", 2, []script{brokenOff, wholeAnswer(200, "ok", nil)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newWorkspaceHarness(c.targets, c.scripts...)
				b.serve(context.Background(), newRoute(serving.KindSafe, 2, false), &fakeCaller{})
				if b.admitted != 1 || b.refunded != c.refunded {
					t.Errorf("admitted %d, refunded %d", b.admitted, b.refunded)
				}
			})
		})
	}
}

// Guards against the use of a revoked key: a request whose key is revoked while it is queued must not be sent.
func TestKeyIsRecheckedBeforeSend(t *testing.T) {
	for _, failure := range []errs.Type{errs.Unauthenticated, errs.ConfigStale} {
		synctest.Test(t, func(t *testing.T) {
			b := newWorkspaceHarness(1, wholeAnswer(200, "ok", nil))
			b.authErr = errs.New(failure, "revoked").WithRetry(50 * time.Millisecond)
			c := &fakeCaller{}
			b.serve(context.Background(), newRoute(serving.KindSafe, 2, false), c)
			if c.err == nil || c.err.Type != failure || c.err.Ran != errs.RanNo || len(b.sentTo) != 0 || b.refunded != 1 {
				t.Errorf("%s: %+v, %d sends, %d refunded", failure, c.err, len(b.sentTo), b.refunded)
			}
		})
	}
}
