package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// Guards against serving a quarantined request: it must be rejected immediately, without a send, a quota
// charge or a time to retry after.
func TestQuarantinedRequestIsRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(2, wholeAnswer(200, "ok", nil))
		b.workspace = "w"
		b.quarantineErr = errs.New(errs.Quarantined, "targets have crashed under it")
		out := &fakeCaller{}
		b.serve(context.Background(), newRoute(serving.KindSafe, 2, false), out)
		if len(b.sentTo) != 0 || b.admitted != 0 || out.answeredAfter != 0 {
			t.Errorf("%d sends, %d charged, answered after %v", len(b.sentTo), b.admitted, out.answeredAfter)
		}
		if out.err == nil || out.err.Type != errs.Quarantined || out.err.Ran != errs.RanNo || out.err.RetryAfterMs != 0 {
			t.Errorf("error %+v", out.err)
		}
	})
}

// Guards against sending a request whose content is quarantined while it waits or between two attempts.
func TestRequestIsCheckedBeforeEachSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(3, streamAnswer(firstEvents, io.ErrUnexpectedEOF), streamAnswer(lastEvents, nil))
		b.scripts[0] = quarantineOnSend(b, b.scripts[0])
		out := &fakeCaller{}
		b.serve(context.Background(), newRoute(serving.KindStream, 3, true), out)
		if len(b.sentTo) != 1 || !out.isAborted {
			t.Errorf("%d sends, aborted %v", len(b.sentTo), out.isAborted)
		}
	})
}

// quarantineOnSend wraps s so that each send makes the harness quarantine all later requests.
func quarantineOnSend(b *harness, s script) script {
	return func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
		b.mu.Lock()
		b.quarantineErr = errs.New(errs.Quarantined, "targets have crashed under it")
		b.mu.Unlock()
		return s(ctx, c)
	}
}

// Guards against missing the crash of a target whose connections stay open: an attempt that ends because the
// target sends nothing must be reported to the quarantine.
func TestSilentAttemptsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(3, neverAnswer, streamAnswer(firstEvents, nil))
		b.serve(context.Background(), newRoute(serving.KindStream, 3, true), &fakeCaller{})
		synctest.Wait()
		if len(b.silentRuns) != 1 || b.silentRuns[0].Target.ID != b.firstTarget() || len(b.brokenRuns) != 0 {
			t.Errorf("%+v reported as silent, %+v as broken off", b.silentRuns, b.brokenRuns)
		}
		time.Sleep(time.Second)
	})
}

// Covers which broken runs are reported, with the events at which they began and ended. Refusals and
// runs that this process ends are not reported.
func TestBrokenRunsAreReported(t *testing.T) {
	unexpectedEOF := io.ErrUnexpectedEOF
	type run struct {
		from, to   string
		hasCrashed bool
	}
	cases := []struct {
		name    string
		route   *serving.Route
		scripts []script
		want    []run
		served  int
	}{
		{"a stream from the beginning and a resumed one", newRoute(serving.KindStream, 3, true),
			[]script{streamAnswer(firstEvents, unexpectedEOF), streamAnswer("id: 4\ndata: d\n\n", unexpectedEOF), streamAnswer("id: 5\ndata: e\n\n", nil)}, []run{{"", "3", false}, {"3", "4", false}}, 1},
		{"no answer", newRoute(serving.KindSafe, 2, false), []script{loseAnswer, wholeAnswer(200, "ok", nil)}, []run{{"", "", false}}, 1},
		{"part of an answer", newRoute(serving.KindUnsafe, 2, false), []script{wholeAnswer(200, "o", unexpectedEOF)}, []run{{"", "", false}}, 0},
		{"a refused request and a refused connection", newRoute(serving.KindUnsafe, 1, false), []script{refuseRequest, refuseConnection, wholeAnswer(200, "ok", nil)}, nil, 1},
		{"an error status of the target", newRoute(serving.KindUnsafe, 1, false), []script{wholeAnswer(500, "bad", nil)}, nil, 1},
		{"a restarted target", newRoute(serving.KindUnsafe, 1, false), []script{neverAnswer}, []run{{"", "", true}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(3, c.scripts...)
				go func() {
					time.Sleep(100 * time.Millisecond)
					if len(c.want) > 0 && c.want[0].hasCrashed {
						b.view.Ended([]string{b.firstTarget()})
					}
				}()
				b.serve(context.Background(), c.route, &fakeCaller{})
				synctest.Wait()
				var got []run
				for _, r := range b.brokenRuns {
					got = append(got, run{r.From, r.To, r.HasCrashed})
				}
				if len(got) != len(c.want) || b.served != c.served {
					t.Fatalf("%+v and %d served, want %+v and %d", got, b.served, c.want, c.served)
				}
				for i := range got {
					if got[i] != c.want[i] {
						t.Errorf("%+v, want %+v", got[i], c.want[i])
					}
				}
				time.Sleep(time.Second)
			})
		})
	}
}
