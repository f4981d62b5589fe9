package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/quota"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/core/workspace"
	"arbutusramp/internal/fleetview"
	"arbutusramp/internal/origins"
)

// script defines how a target answers one request.
type script func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error)

// harness is a gateway over scripted targets. It also implements the dependencies of the gateway and records
// their calls.
type harness struct {
	// callerTimeout is the time from the arrival of a request to the deadline that its caller sends.
	callerTimeout time.Duration
	gw            *Gateway
	view          *fleetview.View
	scripts       []script
	mu            sync.Mutex // guards sentTo, resumedAfter, quarantineErr, silentRuns, brokenRuns and served
	sentTo        []string   // ids of the targets, in the order of the sends
	resumedAfter  []string   // for each send the id of the event to resume after

	workspace          string // workspace of all callers; empty for callers without a key
	authErr            error  // returned by Authorize
	isOverQuota        bool   // Admit rejects requests
	admitted, refunded int    // calls of Admit and Refund

	onlyOrigin serving.Origin // returned by OnlyOrigin; the zero value stands for none

	quarantineErr error // returned by Check and AdmitRequest
	silentRuns    []quarantine.BrokenRun
	brokenRuns    []quarantine.BrokenRun
	served        int
}

// Send implements platform.TargetCaller. The n-th send uses the n-th script; further sends use the last one.
func (h *harness) Send(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
	h.mu.Lock()
	n := len(h.sentTo)
	h.sentTo = append(h.sentTo, c.Target.ID)
	h.resumedAfter = append(h.resumedAfter, c.ResumeAfter)
	h.mu.Unlock()
	return h.scripts[min(n, len(h.scripts)-1)](ctx, c)
}

// firstTarget returns the id of the target that got the first send.
func (h *harness) firstTarget() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sentTo[0]
}

// newHarness returns a harness with targetCount targets that answer by scripts.
func newHarness(targetCount int, scripts ...script) *harness {
	h := &harness{scripts: scripts, callerTimeout: 5 * time.Second, view: fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Second})}
	for i := range targetCount {
		h.view.UpdateTargets([]serving.Target{{ID: fmt.Sprintf("t%d", i), Service: "s", Slots: 4}}, nil)
	}
	h.gw = New(Options{Targets: h, View: h.view, Config: h, Access: h, Quotas: h, Quarantine: h, Origins: newOrigins(), Prober: h, Versions: h, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
	return h
}

// newOrigins returns a registry of origins without peers.
func newOrigins() *origins.Registry {
	return origins.New(hclog.NewNullLogger(), metrics.NewRegistry())
}

// OnlyOrigin implements Versions.
func (h *harness) OnlyOrigin(context.Context, *serving.Route) (serving.Origin, bool) {
	return h.onlyOrigin, h.onlyOrigin != serving.Origin{}
}

// Probe implements platform.TargetProber.
func (h *harness) Probe(context.Context, serving.Target) platform.ProbeResult {
	return platform.ProbeAlive
}

// Authorize implements Access.
func (h *harness) Authorize(*serving.Route, workspace.Credential) (serving.Caller, error) {
	return serving.Caller{Workspace: h.workspace}, h.authErr
}

// Admit implements Quotas.
func (h *harness) Admit(string) quota.Decision {
	h.admitted++
	return quota.Decision{IsAdmitted: !h.isOverQuota, RetryAfter: 400 * time.Millisecond}
}

// Refund implements Quotas.
func (h *harness) Refund(string) { h.refunded++ }

// Check implements Quarantine.
func (h *harness) Check(*quarantine.Content) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quarantineErr
}

// AdmitRequest implements Quarantine.
func (h *harness) AdmitRequest(c *quarantine.Content) error { return h.Check(c) }

// NoteBrokenOff implements Quarantine.
func (h *harness) NoteBrokenOff(run quarantine.BrokenRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.brokenRuns = append(h.brokenRuns, run)
}

// NoteSilent implements Quarantine.
func (h *harness) NoteSilent(run quarantine.BrokenRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silentRuns = append(h.silentRuns, run)
}

// NotePassed implements Quarantine.
func (h *harness) NotePassed(*quarantine.Content, time.Time) {}

// NoteServed implements Quarantine.
func (h *harness) NoteServed(*quarantine.Content, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served++
}

func (h *harness) NoteServedUnframed(b quarantine.BrokenRun, answeredAt time.Time) {
	h.NoteServed(b.Content, answeredAt)
}

// Version implements ConfigStatus.
func (h *harness) Version() uint64 { return 1 }

// Age implements ConfigStatus.
func (h *harness) Age() time.Duration { return 0 }

// fakeCaller is a platform.CallerAnswer that records the answer to one request.
type fakeCaller struct {
	status        int
	body          strings.Builder
	err           *errs.Error
	isAborted     bool
	headersSent   int           // calls of Begin
	answeredAfter time.Duration // time from the request to its complete answer
	onWrite       func()        // called after each write
}

func (c *fakeCaller) Begin(status int, _ http.Header, _ int64) {
	c.headersSent++
	c.status = status
}

func (c *fakeCaller) Write(p []byte) error {
	c.body.Write(p)
	if c.onWrite != nil {
		c.onWrite()
	}
	return nil
}

func (c *fakeCaller) Abort()         { c.isAborted = true }
func (c *fakeCaller) Fail(err error) { c.err = errs.As(err) }

// newRoute returns a route to the service "s", on which all targets of a harness are.
func newRoute(kind serving.Kind, attempts int, isResumable bool) *serving.Route {
	return &serving.Route{Name: "r", Kind: kind, MaxAttempts: attempts, IsResumable: isResumable, Timeout: 5 * time.Second,
		LatencyGoal: 300 * time.Millisecond, ServiceWeights: []serving.ServiceWeight{{Service: "s", Weight: 1}}}
}

// serve lets the gateway serve one request to r and returns when it has been answered.
func (h *harness) serve(ctx context.Context, r *serving.Route, caller *fakeCaller) {
	began := time.Now()
	h.gw.Serve(ctx, r, &serving.Request{
		ID: "id", Arrived: began, Deadline: began.Add(h.callerTimeout), Caller: serving.Caller{Workspace: h.workspace},
		Credential: workspace.Credential{IsSet: h.workspace != ""},
	}, caller)
	caller.answeredAfter = time.Since(began)
}

// streamAnswer returns a script that answers with events and then ends the body with endErr, or completely if
// endErr is nil.
func streamAnswer(events string, endErr error) script {
	return func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
		body := io.MultiReader(strings.NewReader(events), errorReader{endErr})
		return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Length: -1, Body: io.NopCloser(body)}, nil
	}
}

// errorReader is a reader without data that returns err, or io.EOF if err is nil.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) {
	if r.err == nil {
		return 0, io.EOF
	}
	return 0, r.err
}

// wholeAnswer returns a script that answers with a body of text that is no stream, and then ends the body with
// endErr, or completely if endErr is nil.
func wholeAnswer(status int, text string, endErr error) script {
	return func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
		return &platform.TargetAnswer{Status: status, Length: int64(len(text)), Body: io.NopCloser(io.MultiReader(strings.NewReader(text), errorReader{endErr}))}, nil
	}
}

// refuseRequest is a script of a target that answers that it has not started the request.
func refuseRequest(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return &platform.TargetAnswer{Status: 503, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// refuseConnection is a script of a target that can't be connected to.
func refuseConnection(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return nil, errs.New(errs.TargetFailed, "refused").WithRan(errs.RanNo)
}

// loseAnswer is a script of a target that may have run the request but whose answer is lost.
func loseAnswer(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return nil, errs.New(errs.TargetFailed, "reset").WithRan(errs.RanUnknown)
}

// neverAnswer is a script of a target that sends nothing until the attempt is cancelled.
func neverAnswer(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
	<-ctx.Done()
	return nil, errs.New(errs.TargetFailed, "cancelled").WithRan(errs.RanUnknown)
}

// answerOtherRequest is a script of a target that sends the answer to another request.
func answerOtherRequest(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return &platform.TargetAnswer{Status: 200, Foreign: true, Body: io.NopCloser(strings.NewReader("other"))}, nil
}

// Events of one stream: the first three, and the last two that are sent after the stream is resumed.
const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	lastEvents  = "id: 4\ndata: d\n\nid: 5\ndata: e\n\n"
)

// Guards against requests that fail because the only target of their service has broken one answer, although it would serve
// them and they may run again.
func TestBrokenAnswerOfTheOnlyTargetIsRepeatedThere(t *testing.T) {
	cases := []struct {
		name    string
		route   *serving.Route
		scripts []script
		sends   int
		body    string // empty if the request fails
	}{
		{"a stream", newRoute(serving.KindStream, 2, true), []script{streamAnswer(firstEvents, io.ErrUnexpectedEOF), streamAnswer(lastEvents, nil)}, 2, firstEvents + lastEvents},
		{"a safe call", newRoute(serving.KindSafe, 2, false), []script{loseAnswer, wholeAnswer(200, "ok", nil)}, 2, "ok"},
		{"a safe call that the target refuses then", newRoute(serving.KindSafe, 3, false), []script{loseAnswer, refuseRequest}, 2, ""},
		{"a safe call that always fails", newRoute(serving.KindSafe, 3, false), []script{loseAnswer}, 3, ""},
		{"an unsafe call", newRoute(serving.KindUnsafe, 2, false), []script{loseAnswer}, 1, ""},
		{"a call that has not run", newRoute(serving.KindSafe, 2, false), []script{refuseRequest}, 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(1, c.scripts...)
				caller := &fakeCaller{}
				h.serve(context.Background(), c.route, caller)
				if len(h.sentTo) != c.sends || caller.body.String() != c.body || caller.isAborted || (caller.err == nil) != (c.body != "") {
					t.Errorf("%d sends, body %q, aborted %t, error %v; want %d sends and body %q (an error if it is empty)", len(h.sentTo), caller.body.String(), caller.isAborted, caller.err, c.sends, c.body)
				}
			})
		})
	}
}

// Covers, for each way in which targets answer or fail, what the caller gets and to how many targets the request
// is sent.
func TestServe(t *testing.T) {
	unexpectedEOF := io.ErrUnexpectedEOF
	cases := []struct {
		name      string
		route     *serving.Route
		scripts   []script
		sends     int // wanted number of sends
		status    int // wanted answer: status, body, error type, run state and whether it is aborted
		body      string
		err       errs.Type
		ran       errs.Ran
		isAborted bool
	}{
		{name: "a complete answer", route: newRoute(serving.KindSafe, 2, false), scripts: []script{wholeAnswer(200, "ok", nil)}, sends: 1, status: 200, body: "ok"},
		{name: "a stream", route: newRoute(serving.KindStream, 1, false), scripts: []script{streamAnswer(firstEvents+lastEvents, nil)}, sends: 1, status: 200, body: firstEvents + lastEvents},
		{name: "a refused request is retried for every kind of route", route: newRoute(serving.KindUnsafe, 1, false),
			scripts: []script{refuseRequest, wholeAnswer(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "a refused connection is retried", route: newRoute(serving.KindUnsafe, 1, false),
			scripts: []script{refuseConnection, wholeAnswer(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "a request refused by all targets has not run", route: newRoute(serving.KindUnsafe, 1, false),
			scripts: []script{refuseRequest}, sends: 3, err: errs.NoTarget, ran: errs.RanNo},
		{name: "a lost answer of an unsafe call is not retried", route: newRoute(serving.KindUnsafe, 3, false),
			scripts: []script{loseAnswer, wholeAnswer(200, "ok", nil)}, sends: 1, err: errs.TargetFailed, ran: errs.RanUnknown},
		{name: "a lost answer followed by refusals may have run", route: newRoute(serving.KindSafe, 2, false),
			scripts: []script{loseAnswer, refuseRequest}, sends: 3, err: errs.NoTarget, ran: errs.RanUnknown},
		{name: "a lost answer of a safe call is retried", route: newRoute(serving.KindSafe, 2, false),
			scripts: []script{loseAnswer, wholeAnswer(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "no more attempts than the route allows", route: newRoute(serving.KindSafe, 2, false),
			scripts: []script{loseAnswer}, sends: 2, err: errs.TargetFailed, ran: errs.RanUnknown},
		{name: "an incomplete body of a safe call is retried", route: newRoute(serving.KindSafe, 2, false),
			scripts: []script{wholeAnswer(200, "o", unexpectedEOF), wholeAnswer(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "an incomplete body of an unsafe call is not retried", route: newRoute(serving.KindUnsafe, 1, false),
			scripts: []script{wholeAnswer(200, "o", unexpectedEOF)}, sends: 1, err: errs.StreamBroken, ran: errs.RanUnknown},
		{name: "a server error of a safe call is retried", route: newRoute(serving.KindSafe, 2, false),
			scripts: []script{wholeAnswer(500, "bad", nil), wholeAnswer(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "the server error of the last target is the answer", route: newRoute(serving.KindSafe, 2, false),
			scripts: []script{wholeAnswer(500, "bad", nil)}, sends: 2, status: 500, body: "bad"},
		{name: "an answer to another request", route: newRoute(serving.KindUnsafe, 1, false),
			scripts: []script{answerOtherRequest}, sends: 1, err: errs.TargetFailed, ran: errs.RanUnknown},
		{name: "a broken stream resumes at another target after its last event", route: newRoute(serving.KindStream, 2, true),
			scripts: []script{streamAnswer(firstEvents+"id: 4\nda", unexpectedEOF), streamAnswer(lastEvents, nil)}, sends: 2, status: 200, body: firstEvents + lastEvents},
		{name: "a broken stream that is not resumable is aborted", route: newRoute(serving.KindStream, 2, false),
			scripts: []script{streamAnswer(firstEvents, unexpectedEOF)}, sends: 1, status: 200, body: firstEvents, isAborted: true},
		{name: "a stream that breaks off before its first event sends no header", route: newRoute(serving.KindStream, 1, false),
			scripts: []script{streamAnswer("", unexpectedEOF)}, sends: 1, err: errs.StreamBroken, ran: errs.RanUnknown},
		{name: "a server error on resuming a stream is not passed on", route: newRoute(serving.KindStream, 2, true),
			scripts: []script{streamAnswer(firstEvents, unexpectedEOF), wholeAnswer(500, "bad", nil)}, sends: 2, status: 200, body: firstEvents, isAborted: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(3, c.scripts...)
				caller := &fakeCaller{}
				h.serve(context.Background(), c.route, caller)
				if len(h.sentTo) != c.sends {
					t.Errorf("sent to %v, want %d targets", h.sentTo, c.sends)
				}
				if caller.status != c.status || caller.body.String() != c.body || caller.isAborted != c.isAborted {
					t.Errorf("caller got status %d, body %q, aborted %v; want status, body and isAborted of the case", caller.status, caller.body.String(), caller.isAborted)
				}
				if c.err == "" && caller.err != nil || c.err != "" && (caller.err == nil || caller.err.Type != c.err || caller.err.Ran != c.ran) {
					t.Errorf("caller got error %v, want type %s and run state %s (both empty for no error)", caller.err, c.err, c.ran)
				}
				if caller.err != nil && caller.err.Ran == errs.RanNo && caller.err.RetryAfterMs == 0 {
					t.Error("the error states that the request has not run but has RetryAfterMs 0, want more than 0")
				}
				if caller.headersSent > 1 {
					t.Errorf("the header was sent %d times, want at most 1", caller.headersSent)
				}
			})
		})
	}
}

// Guards against a false promise: callers take status 408, 421, 429 or 503 for the word that the request has not run and
// never will, but a target that has run it may answer with one of them as well.
func TestStatusOfTargetIsNoPromiseOnRoutesThatRunOnce(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for name, c := range map[string]struct {
			route     *serving.Route
			isPassed  bool // the answer of the target is passed on
			wantSends int
		}{
			"unsafe":                       {newRoute(serving.KindUnsafe, 3, false), false, 1},
			"stream that is not resumable": {newRoute(serving.KindStream, 3, false), false, 1},
			"resumable stream":             {newRoute(serving.KindStream, 1, true), true, 1},
			"safe":                         {newRoute(serving.KindSafe, 1, false), true, 1},
		} {
			t.Run(fmt.Sprint(name, " ", status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(3, wholeAnswer(status, "busy", nil))
					caller := &fakeCaller{}
					h.serve(context.Background(), c.route, caller)
					if len(h.sentTo) != c.wantSends {
						t.Errorf("sent to %v, want %d sends", h.sentTo, c.wantSends)
					}
					if c.isPassed && (caller.status != status || caller.body.String() != "busy") {
						t.Errorf("caller got status %d and error %v, want the answer of the target", caller.status, caller.err)
					}
					if !c.isPassed && (caller.headersSent != 0 || caller.err == nil || caller.err.Type != errs.TargetFailed || caller.err.Ran != errs.RanUnknown) {
						t.Errorf("caller got status %d and error %v, want target_failed with unknown run state", caller.status, caller.err)
					}
				})
			})
		}
	}
}

func TestResumedStreamStartsAfterLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(2, streamAnswer(firstEvents, io.ErrUnexpectedEOF), streamAnswer(lastEvents, nil))
		h.serve(context.Background(), newRoute(serving.KindStream, 2, true), &fakeCaller{})
		if len(h.resumedAfter) != 2 || h.resumedAfter[0] != "" || h.resumedAfter[1] != "3" {
			t.Errorf("sends resume after events %q, want 2 sends: from the beginning, then after event 3", h.resumedAfter)
		}
	})
}

// Guards against waiting too long for a target that sends nothing. A request that may be repeated must be
// retried in well under a second. A request that may not be repeated must wait for its answer until its
// deadline, and the error states that it may have run.
func TestUnresponsiveTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(2, neverAnswer, wholeAnswer(200, "ok", nil))
		caller := &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindSafe, 2, false), caller)
		if caller.status != 200 || caller.answeredAfter > time.Second {
			t.Errorf("safe call at a target that never answers: status %d after %v, want 200 within 1s", caller.status, caller.answeredAfter)
		}
		h = newHarness(2, neverAnswer)
		caller = &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindUnsafe, 2, false), caller)
		if caller.err == nil || caller.err.Type != errs.DeadlineExceeded || caller.err.Ran != errs.RanUnknown || len(h.sentTo) != 1 {
			t.Errorf("unsafe call at a target that never answers: error %v after %v, sent to %v; want deadline_exceeded with unknown run state and 1 send", caller.err, caller.answeredAfter, h.sentTo)
		}
		if caller.answeredAfter != 5*time.Second {
			t.Errorf("unsafe call failed after %v, want 5s, its deadline", caller.answeredAfter)
		}
	})
}

// Guards against counting a slow caller as a failure of its target: the target would be marked suspect and get
// no requests, and the request would be retried at another target.
func TestSlowCallerDoesNotMakeTargetSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		pause  time.Duration
		endErr error // error at which the first answer ends; nil if complete
		sends  int
	}{
		"slow caller":                                 {2500 * time.Millisecond, nil, 1},
		"slow caller, then broken off by target":      {2500 * time.Millisecond, io.ErrUnexpectedEOF, 2},
		"fast caller, then broken off by target":      {0, io.ErrUnexpectedEOF, 2},
		"caller that pauses below the slow threshold": {500 * time.Millisecond, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2, streamAnswer(firstEvents, c.endErr), streamAnswer(lastEvents, nil))
				h.callerTimeout = time.Minute
				var logLines bytes.Buffer
				h.gw.log = hclog.New(&hclog.LoggerOptions{Output: &logLines})
				caller := &fakeCaller{onWrite: func() { time.Sleep(c.pause) }}
				r := newRoute(serving.KindStream, 2, true)
				r.Timeout = time.Minute
				h.serve(context.Background(), r, caller)
				isTargetBlamed := len(h.brokenRuns) > 0 || strings.Contains(logLines.String(), "target suspect")
				if wantTargetBlamed := c.pause == 0; isTargetBlamed != wantTargetBlamed || len(h.sentTo) != c.sends || caller.err != nil || caller.isAborted {
					t.Errorf("target marked suspect or reported: %v, want true only for the fast caller; sent to %v, want the sends of the case; error %v, want none and no abort", isTargetBlamed, h.sentTo, caller.err)
				}
			})
		})
	}
}

// Guards against logging a request whose deadline has expired as cancelled, or with the wrong source of the
// deadline.
func TestExpiredDeadlineIsLoggedWithSource(t *testing.T) {
	for source, callerTimeout := range map[string]time.Duration{"route": time.Minute, "caller": 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			var logLines bytes.Buffer
			h := newHarness(2, neverAnswer)
			h.gw.log = hclog.New(&hclog.LoggerOptions{Output: &logLines, JSONFormat: true})
			h.callerTimeout = callerTimeout
			h.serve(context.Background(), newRoute(serving.KindUnsafe, 2, false), &fakeCaller{})
			for _, want := range []string{`"outcome":"deadline_exceeded"`, `"limit_of":"` + source + `"`} {
				if !strings.Contains(logLines.String(), want) {
					t.Errorf("the log line of the request lacks %s: %s", want, logLines.String())
				}
			}
		})
	}
}

// Guards against a request that is missing in the log because the gateway process is killed while a target runs
// the request.
func TestRequestIsLoggedBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logLines bytes.Buffer
		h := newHarness(2, func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
			if !strings.Contains(logLines.String(), `"request":"id"`) || !strings.Contains(logLines.String(), `"@message":"sent"`) {
				t.Errorf("no line \"sent\" for request \"id\" in the log when the target gets the request: %q", logLines.String())
			}
			return wholeAnswer(200, "ok", nil)(nil, platform.TargetCall{})
		})
		h.gw = New(Options{Targets: h, View: h.view, Config: h, Access: h, Quotas: h, Quarantine: h, Origins: newOrigins(), Prober: h, Versions: h, Metrics: metrics.NewRegistry(),
			Log: hclog.New(&hclog.LoggerOptions{Output: &logLines, JSONFormat: true})})
		h.serve(context.Background(), newRoute(serving.KindSafe, 2, false), &fakeCaller{})
	})
}

func TestDisconnectedCallerIsLoggedAsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logLines bytes.Buffer
		h := newHarness(2, neverAnswer)
		h.gw.log = hclog.New(&hclog.LoggerOptions{Output: &logLines, JSONFormat: true})
		ctx, disconnect := context.WithCancel(context.Background())
		sleep.AfterFunc(time.Second, disconnect)
		h.serve(ctx, newRoute(serving.KindUnsafe, 2, false), &fakeCaller{})
		if !strings.Contains(logLines.String(), `"outcome":"cancelled"`) {
			t.Errorf("the log lacks \"outcome\":\"cancelled\" after the caller disconnected: %s", logLines.String())
		}
	})
}

// Guards against a target that continues to run a request whose caller has disconnected.
func TestDisconnectedCallerCancelsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isRunCancelled := false
		h := newHarness(1, func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
			ans, _ := streamAnswer(firstEvents, nil)(ctx, c)
			events := ans.Body
			r, w := io.Pipe()
			go func() {
				_, _ = io.Copy(w, events)
				<-ctx.Done()
				isRunCancelled = true
				_ = w.CloseWithError(ctx.Err())
			}()
			ans.Body = r
			return ans, nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		h.serve(ctx, newRoute(serving.KindStream, 2, true), &fakeCaller{onWrite: cancel})
		synctest.Wait()
		if !isRunCancelled || len(h.sentTo) != 1 {
			t.Errorf("run at the target cancelled: %v, want true; sent to %v, want 1 send", isRunCancelled, h.sentTo)
		}
	})
}

// Guards against misrouting: after a target has stopped, another one, which may serve another service, may use
// its address.
func TestTargetWithReusedAddressGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		otherInstance := func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
			return &platform.TargetAnswer{Status: 421, NotRun: true, OtherInstance: true, Body: io.NopCloser(strings.NewReader(""))}, nil
		}
		h := newHarness(1, otherInstance)
		caller := &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), caller)
		if caller.err == nil || caller.err.Ran != errs.RanNo {
			t.Errorf("error %v, want one that states that the request has not run", caller.err)
		}
		h.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), &fakeCaller{})
		if len(h.sentTo) != 1 {
			t.Errorf("two requests were sent to %v, want only the first one sent", h.sentTo)
		}
	})
}

func TestRetryAfterFitsCallerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(0)
		caller := &fakeCaller{}
		h.gw.Serve(context.Background(), newRoute(serving.KindSafe, 1, false),
			&serving.Request{ID: "id", Arrived: time.Now(), Deadline: time.Now().Add(900 * time.Millisecond)}, caller)
		if caller.err == nil || caller.err.RetryAfterMs > 300 || caller.err.RetryAfterMs < 1 {
			t.Errorf("no targets, caller deadline after 900 ms: error %+v, want RetryAfterMs from 1 to 300", caller.err)
		}
	})
}

// Guards against load that stays counted at a target after its request has ended, whatever the outcome.
func TestNoLoadIsCountedAfterRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, s := range []script{wholeAnswer(200, "ok", nil), refuseRequest, loseAnswer, neverAnswer, answerOtherRequest, streamAnswer(firstEvents, io.ErrUnexpectedEOF)} {
			h := newHarness(3, s)
			h.serve(context.Background(), newRoute(serving.KindStream, 2, true), &fakeCaller{})
			if loads := h.view.Report().Loads; len(loads) != 0 {
				t.Errorf("loads counted after the request has ended: %v, want none", loads)
			}
		}
	})
}
