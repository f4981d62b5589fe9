package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

// trickleBlankLines is a script of a target that sends a blank line every 50 ms, without end.
func trickleBlankLines(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
	r, w := io.Pipe()
	go func() {
		for sleep.For(ctx, 50*time.Millisecond) {
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
		_ = w.CloseWithError(ctx.Err())
	}()
	return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Length: -1, Body: r}, nil
}

// Guards against a stream that waits until its time limit for a target that sends only blank lines: they are no progress.
func TestBlankLinesAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(3, trickleBlankLines, streamAnswer(firstEvents, nil))
		caller := &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindStream, 2, true), caller)
		if got := caller.body.String(); len(h.sentTo) != 2 || len(got) < len(firstEvents) || got[len(got)-len(firstEvents):] != firstEvents || caller.isAborted {
			t.Errorf("sent to %v, body %q, aborted %t; want the events of the second target after the blank lines of the first", h.sentTo, got, caller.isAborted)
		}
	})
}
