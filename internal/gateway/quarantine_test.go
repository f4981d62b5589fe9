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
		h := newHarness(2, wholeAnswer(200, "ok", nil))
		h.workspace = "w"
		h.quarantineErr = errs.New(errs.Quarantined, "requests with this content have crashed targets")
		caller := &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindSafe, 2, false), caller)
		if len(h.sentTo) != 0 || h.admitted != 0 || caller.answeredAfter != 0 {
			t.Errorf("%d sends, %d requests taken from the quota, answered after %v; want 0 for all", len(h.sentTo), h.admitted, caller.answeredAfter)
		}
		if caller.err == nil || caller.err.Type != errs.Quarantined || caller.err.Ran != errs.RanNo || caller.err.RetryAfterMs != 0 {
			t.Errorf("error %+v, want type quarantined, not run, and RetryAfterMs 0", caller.err)
		}
	})
}

// Guards against sending a request again although its content was quarantined during its first attempt.
func TestQuarantineIsCheckedBeforeEachSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(3, streamAnswer(firstEvents, io.ErrUnexpectedEOF), streamAnswer(lastEvents, nil))
		h.scripts[0] = quarantineOnSend(h, h.scripts[0])
		caller := &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindStream, 3, true), caller)
		if len(h.sentTo) != 1 || !caller.isAborted {
			t.Errorf("%d sends, aborted %v; want 1 send, then an aborted answer", len(h.sentTo), caller.isAborted)
		}
	})
}

// quarantineOnSend returns a script that first makes the quarantine of h reject all requests from then on, and
// then answers like s.
func quarantineOnSend(h *harness, s script) script {
	return func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
		h.mu.Lock()
		h.quarantineErr = errs.New(errs.Quarantined, "requests with this content have crashed targets")
		h.mu.Unlock()
		return s(ctx, c)
	}
}

// Guards against missing the crash of a target whose connections stay open: an attempt that ends because the
// target sends nothing must be reported to the quarantine.
func TestSilentRunIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(3, neverAnswer, streamAnswer(firstEvents, nil))
		h.serve(context.Background(), newRoute(serving.KindStream, 3, true), &fakeCaller{})
		synctest.Wait()
		if len(h.silentRuns) != 1 || h.silentRuns[0].Target.ID != h.firstTarget() || len(h.brokenRuns) != 0 {
			t.Errorf("runs reported as silent: %+v, want the one at the first target; as broken off: %+v, want none", h.silentRuns, h.brokenRuns)
		}
		time.Sleep(time.Second) // advances the fake clock, so that goroutines that still wait on it can end
	})
}

// Covers which runs are reported to the quarantine as broken off, with the events at which they began and ended.
// Refused requests and answers with an error status are not reported.
func TestBrokenRunsAreReported(t *testing.T) {
	unexpectedEOF := io.ErrUnexpectedEOF
	type run struct {
		from, to   string // ids of the events after which the run began and ended
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
		{"a lost answer", newRoute(serving.KindSafe, 2, false), []script{loseAnswer, wholeAnswer(200, "ok", nil)}, []run{{"", "", false}}, 1},
		{"an incomplete answer", newRoute(serving.KindUnsafe, 2, false), []script{wholeAnswer(200, "o", unexpectedEOF)}, []run{{"", "", false}}, 0},
		{"a refused request and a refused connection", newRoute(serving.KindUnsafe, 1, false), []script{refuseRequest, refuseConnection, wholeAnswer(200, "ok", nil)}, nil, 1},
		{"an error status of the target", newRoute(serving.KindUnsafe, 1, false), []script{wholeAnswer(500, "bad", nil)}, nil, 1},
		{"a target that restarts during the run", newRoute(serving.KindUnsafe, 1, false), []script{neverAnswer}, []run{{"", "", true}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(3, c.scripts...)
				go func() {
					time.Sleep(100 * time.Millisecond)
					if len(c.want) > 0 && c.want[0].hasCrashed {
						h.view.EndTargets([]string{h.firstTarget()})
					}
				}()
				h.serve(context.Background(), c.route, &fakeCaller{})
				synctest.Wait()
				var got []run
				for _, r := range h.brokenRuns {
					got = append(got, run{r.FromEvent, r.ToEvent, r.HasCrashed})
				}
				if len(got) != len(c.want) || h.served != c.served {
					t.Fatalf("broken runs %+v and %d served requests reported, want %+v and %d", got, h.served, c.want, c.served)
				}
				for i := range got {
					if got[i] != c.want[i] {
						t.Errorf("broken run reported as %+v, want %+v", got[i], c.want[i])
					}
				}
				time.Sleep(time.Second) // advances the fake clock, so that goroutines that still wait on it can end
			})
		})
	}
}
