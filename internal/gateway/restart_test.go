package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

// stalledStream returns a script that sends events and then nothing more, with the connection open, like a target
// that crashes behind a network partition.
func stalledStream(events string) script {
	return func(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
		body := io.MultiReader(strings.NewReader(events), contextReader{ctx})
		return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Length: -1, Body: io.NopCloser(body)}, nil
	}
}

// contextReader is a reader whose Read blocks until ctx ends, and then returns the error of ctx.
type contextReader struct{ ctx context.Context }

func (r contextReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

// Guards against stalled streams: a request must not wait for the answer of a target that is known to have
// restarted.
func TestTargetRestartEndsAttemptImmediately(t *testing.T) {
	const restartKnownAfter = 100 * time.Millisecond // shorter than any timeout for a target that sends nothing
	cases := []struct {
		name    string
		route   *serving.Route
		scripts []script
		sends   int
		body    string
		err     errs.Type
	}{
		{"a stream before its first event", newRoute(serving.KindStream, 2, true), []script{neverAnswer, streamAnswer(firstEvents, nil)}, 2, firstEvents, ""},
		{"a stream after its first events", newRoute(serving.KindStream, 2, true), []script{stalledStream(firstEvents), streamAnswer(lastEvents, nil)}, 2, firstEvents + lastEvents, ""},
		{"a safe call", newRoute(serving.KindSafe, 2, false), []script{neverAnswer, wholeAnswer(200, "ok", nil)}, 2, "ok", ""},
		{"an unsafe call", newRoute(serving.KindUnsafe, 2, false), []script{neverAnswer}, 1, "", errs.StreamBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2, c.scripts...)
				go func() {
					time.Sleep(restartKnownAfter)
					h.view.EndTargets([]string{h.firstTarget()})
				}()
				caller := &fakeCaller{}
				h.serve(context.Background(), c.route, caller)
				if len(h.sentTo) != c.sends || caller.body.String() != c.body || caller.answeredAfter != restartKnownAfter {
					t.Errorf("%d sends, body %q after %v; want the sends and body of the case after 100ms", len(h.sentTo), caller.body.String(), caller.answeredAfter)
				}
				if c.err != "" && (caller.err == nil || caller.err.Type != c.err || caller.err.Ran != errs.RanUnknown) {
					t.Errorf("error %v, want type %s with unknown run state", caller.err, c.err)
				}
			})
		})
	}
}

// neverConnects is a script of a target to which no connection can be opened: Send shows that nothing was written.
func neverConnects(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
	<-ctx.Done()
	return nil, errs.Newf(errs.TargetFailed, "%v", ctx.Err()).WithRan(errs.RanNo)
}

// Guards against a request that fails as possibly run, and against content that is blamed for a crash, although Send has shown
// that nothing was written: the target is known to have restarted while a connection to it was being opened.
func TestRestartBeforeWriteLeavesRequestNotRun(t *testing.T) {
	for _, route := range []*serving.Route{newRoute(serving.KindUnsafe, 1, false), newRoute(serving.KindStream, 1, false), newRoute(serving.KindSafe, 1, false)} {
		t.Run(route.Kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2, neverConnects, wholeAnswer(200, "ok", nil))
				go func() {
					time.Sleep(100 * time.Millisecond)
					h.view.EndTargets([]string{h.firstTarget()})
				}()
				caller := &fakeCaller{}
				h.serve(context.Background(), route, caller)
				if len(h.sentTo) != 2 || caller.body.String() != "ok" || caller.err != nil {
					t.Errorf("%d sends, body %q, error %v; want the answer of the second target", len(h.sentTo), caller.body.String(), caller.err)
				}
				if len(h.brokenRuns) > 0 {
					t.Errorf("%d broken runs reported, want none: no target has had the request", len(h.brokenRuns))
				}
			})
		})
	}
}
