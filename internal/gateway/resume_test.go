package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
)

// Guards against an answer that holds events twice, because a stream went on after the last event with an id although the
// caller has got another one since.
func TestStreamWithoutEventIDsIsNotContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, events := range map[string]string{
			"no event has an id":      "data: a\n\n",
			"the last one has no id":  "id: 1\ndata: a\n\ndata: b\n\n",
			"a comment before it":     "data: a\n\n: comment\n\n",
			"id without data, no ids": "data: a\n\nevent: x\n\n",
		} {
			h := newHarness(2, streamAnswer(events, io.ErrUnexpectedEOF), streamAnswer(lastEvents, nil))
			caller := &fakeCaller{}
			h.serve(context.Background(), newRoute(serving.KindStream, 2, true), caller)
			if len(h.sentTo) != 1 || !caller.isAborted || caller.body.String() != events {
				t.Errorf("%s: sent to %v, aborted %v, body %q; want one send and the answer broken off after its events", name, h.sentTo, caller.isAborted, caller.body.String())
			}
		}
		h := newHarness(2, streamAnswer(firstEvents+": comment\n\n", io.ErrUnexpectedEOF), streamAnswer(lastEvents, nil))
		h.serve(context.Background(), newRoute(serving.KindStream, 2, true), &fakeCaller{})
		if len(h.sentTo) != 2 {
			t.Errorf("a stream that breaks off after a comment was sent to %v, want two targets", h.sentTo)
		}
	})
}

// Guards against a resumption of unknown origin that is sent to a target, retried in vain by its caller, or rejected
// although the service can have had one version only.
func TestResumptionOfUnknownOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, only := range []serving.Origin{{}, {Service: "s"}, {Service: "s", Version: "v9"}} {
			h := newHarness(2, streamAnswer(lastEvents, nil))
			h.onlyOrigin = only
			caller := &fakeCaller{}
			h.gw.Serve(context.Background(), newRoute(serving.KindStream, 2, true), &serving.Request{ID: "id", Arrived: time.Now(), ResumeAfter: "3", Resumes: "first"}, caller)
			want, wantSends := errs.Type(""), 1
			switch only.Version {
			case "v9":
				want, wantSends = errs.VersionGone, 0
			case "":
				if only.Service == "" {
					want, wantSends = errs.StreamUnknown, 0
				}
			}
			if len(h.sentTo) != wantSends || want != "" && (caller.err == nil || caller.err.Type != want || caller.err.Ran != errs.RanNo || caller.err.RetryAfterMs != 0) {
				t.Errorf("only version %+v: sent to %v, error %+v; want %d sends and type %q, not run, without RetryAfterMs", only, h.sentTo, caller.err, wantSends, want)
			}
		}
	})
}
