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

// stalledStream sends some events and then nothing more, with the connection open, like a target that crashes
// behind a network partition.
func stalledStream(events string) script {
	return func(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
		body := io.MultiReader(strings.NewReader(events), contextReader{ctx})
		return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Length: -1, Body: io.NopCloser(body)}, nil
	}
}

// contextReader is a body whose Read blocks until its request ends.
type contextReader struct{ ctx context.Context }

func (u contextReader) Read([]byte) (int, error) {
	<-u.ctx.Done()
	return 0, u.ctx.Err()
}

// Guards against stalled streams: a request keeps waiting for an answer of a target that is known to have
// restarted.
func TestRequestsContinueAtOnceAfterTargetRestart(t *testing.T) {
	const restartKnown = 100 * time.Millisecond // when the restart becomes known: long before silence would show it
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
				b := newHarness(2, c.scripts...)
				go func() {
					time.Sleep(restartKnown)
					b.view.Ended([]string{b.firstTarget()})
				}()
				out := &fakeCaller{}
				b.serve(context.Background(), c.route, out)
				if len(b.sentTo) != c.sends || out.body.String() != c.body || out.answeredAfter != restartKnown {
					t.Errorf("%d sends, body %q after %v", len(b.sentTo), out.body.String(), out.answeredAfter)
				}
				if c.err != "" && (out.err == nil || out.err.Type != c.err || out.err.Ran != errs.RanUnknown) {
					t.Errorf("error %v, want %s: the request may have run", out.err, c.err)
				}
			})
		})
	}
}
