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
)

// script is the behavior of one target for one request.
type script func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error)

// harness is a gateway over scripted targets. It also implements the dependencies of the gateway and records
// their calls.
type harness struct {
	deadline     time.Duration // time that callers wait
	gw           *Gateway
	view         *fleetview.View
	scripts      []script
	mu           sync.Mutex
	sentTo       []string // ids of the targets, in the order of the sends
	resumedAfter []string // ResumeAfter of each send

	workspace          string // of callers
	authErr            error  // returned when keys are checked again
	isOverQuota        bool
	admitted, refunded int

	quarantineErr error // returned by Check
	silentRuns    []quarantine.Broken
	brokenRuns    []quarantine.Broken
	served        int
}

// Send implements platform.TargetCaller. The n-th send uses the n-th script; further sends use the last one.
func (b *harness) Send(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
	b.mu.Lock()
	n := len(b.sentTo)
	b.sentTo = append(b.sentTo, c.Target.ID)
	b.resumedAfter = append(b.resumedAfter, c.ResumeAfter)
	b.mu.Unlock()
	return b.scripts[min(n, len(b.scripts)-1)](ctx, c)
}

// firstTarget returns the id of the target that got the first send.
func (b *harness) firstTarget() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sentTo[0]
}

func newHarness(targetCount int, scripts ...script) *harness {
	b := &harness{scripts: scripts, deadline: 5 * time.Second, view: fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Second})}
	for i := range targetCount {
		b.view.Put([]serving.Target{{ID: fmt.Sprintf("t%d", i), Service: "s", Slots: 4}}, nil)
	}
	b.gw = New(Options{Targets: b, View: b.view, Beliefs: b, Access: b, Quotas: b, Quarantine: b, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
	return b
}

// Authorize implements Access.
func (b *harness) Authorize(*serving.Route, workspace.Credential) (serving.Caller, error) {
	return serving.Caller{Workspace: b.workspace}, b.authErr
}

// Admit implements Quotas.
func (b *harness) Admit(string) quota.Decision {
	b.admitted++
	return quota.Decision{IsAdmitted: !b.isOverQuota, RetryAfter: 400 * time.Millisecond}
}

// Refund implements Quotas.
func (b *harness) Refund(string) { b.refunded++ }

// Check implements Quarantine.
func (b *harness) Check(*quarantine.Content) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantineErr
}

// AdmitRequest implements Quarantine.
func (b *harness) AdmitRequest(c *quarantine.Content) error { return b.Check(c) }

// BrokenOff implements Quarantine.
func (b *harness) BrokenOff(run quarantine.Broken) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brokenRuns = append(b.brokenRuns, run)
}

// FellSilent implements Quarantine.
func (b *harness) FellSilent(run quarantine.Broken) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silentRuns = append(b.silentRuns, run)
}

// Passed implements Quarantine.
func (b *harness) Passed(*quarantine.Content) {}

// Served implements Quarantine.
func (b *harness) Served(*quarantine.Content) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served++
}

// Version implements Beliefs.
func (b *harness) Version() uint64 { return 1 }

// Age implements Beliefs.
func (b *harness) Age() time.Duration { return 0 }

// fakeCaller records the answer to one request.
type fakeCaller struct {
	status        int
	body          strings.Builder
	err           *errs.Error
	isAborted     bool
	headersSent   int
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

func newRoute(kind serving.Kind, attempts int, isResumable bool) *serving.Route {
	return &serving.Route{Name: "r", Kind: kind, Attempts: attempts, Resumable: isResumable, Timeout: 5 * time.Second,
		Goal: 300 * time.Millisecond, Shares: []serving.Share{{Service: "s", Weight: 1}}}
}

func (b *harness) serve(ctx context.Context, r *serving.Route, out *fakeCaller) {
	began := time.Now()
	b.gw.Serve(ctx, r, &serving.Request{
		ID: "id", Arrived: began, Deadline: began.Add(b.deadline), Caller: serving.Caller{Workspace: b.workspace},
		Credential: workspace.Credential{IsSet: b.workspace != ""},
	}, out)
	out.answeredAfter = time.Since(began)
}

func streamAnswer(events string, end error) script {
	return func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
		body := io.MultiReader(strings.NewReader(events), errorReader{end})
		return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Length: -1, Body: io.NopCloser(body)}, nil
	}
}

type errorReader struct{ err error }

func (f errorReader) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}

func wholeAnswer(status int, text string, end error) script {
	return func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
		return &platform.TargetAnswer{Status: status, Length: int64(len(text)), Body: io.NopCloser(io.MultiReader(strings.NewReader(text), errorReader{end}))}, nil
	}
}

func refuseRequest(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return &platform.TargetAnswer{Status: 503, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func refuseConnection(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return nil, errs.New(errs.TargetFailed, "refused").WithRan(errs.RanNo)
}

func loseAnswer(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return nil, errs.New(errs.TargetFailed, "reset").WithRan(errs.RanUnknown)
}

func neverAnswer(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
	<-ctx.Done()
	return nil, errs.New(errs.TargetFailed, "cancelled").WithRan(errs.RanUnknown)
}

func answerOtherRequest(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return &platform.TargetAnswer{Status: 200, Foreign: true, Body: io.NopCloser(strings.NewReader("other"))}, nil
}

const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	lastEvents  = "id: 4\ndata: d\n\nid: 5\ndata: e\n\n"
)

// Covers, for each kind of target behavior, the answer of the caller and the number of targets that get the
// request.
func TestServe(t *testing.T) {
	unexpectedEOF := io.ErrUnexpectedEOF
	cases := []struct {
		name      string
		route     *serving.Route
		scripts   []script
		sends     int
		status    int
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
				b := newHarness(3, c.scripts...)
				out := &fakeCaller{}
				b.serve(context.Background(), c.route, out)
				if len(b.sentTo) != c.sends {
					t.Errorf("sent to %v, want %d targets", b.sentTo, c.sends)
				}
				if out.status != c.status || out.body.String() != c.body || out.isAborted != c.isAborted {
					t.Errorf("status %d, body %q, aborted %v", out.status, out.body.String(), out.isAborted)
				}
				if c.err == "" && out.err != nil || c.err != "" && (out.err == nil || out.err.Type != c.err || out.err.Ran != c.ran) {
					t.Errorf("error %v, want %s %s", out.err, c.err, c.ran)
				}
				if out.err != nil && out.err.Ran == errs.RanNo && out.err.RetryAfterMs == 0 {
					t.Error("the error has no time to retry after")
				}
				if out.headersSent > 1 {
					t.Errorf("the header was sent %d times", out.headersSent)
				}
			})
		})
	}
}

func TestResumedStreamStartsAfterLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(2, streamAnswer(firstEvents, io.ErrUnexpectedEOF), streamAnswer(lastEvents, nil))
		b.serve(context.Background(), newRoute(serving.KindStream, 2, true), &fakeCaller{})
		if len(b.resumedAfter) != 2 || b.resumedAfter[0] != "" || b.resumedAfter[1] != "3" {
			t.Errorf("resumed after %q", b.resumedAfter)
		}
	})
}

// Guards against waiting too long for a target that does not respond. A request that may be repeated is
// retried well under a second; one that may not waits for its answer until its deadline, and the error states
// that it may have run.
func TestTargetWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(2, neverAnswer, wholeAnswer(200, "ok", nil))
		out := &fakeCaller{}
		b.serve(context.Background(), newRoute(serving.KindSafe, 2, false), out)
		if out.status != 200 || out.answeredAfter > time.Second {
			t.Errorf("status %d after %v", out.status, out.answeredAfter)
		}
		b = newHarness(2, neverAnswer)
		out = &fakeCaller{}
		b.serve(context.Background(), newRoute(serving.KindUnsafe, 2, false), out)
		if out.err == nil || out.err.Type != errs.DeadlineExceeded || out.err.Ran != errs.RanUnknown || len(b.sentTo) != 1 {
			t.Errorf("%v after %v, sent to %v", out.err, out.answeredAfter, b.sentTo)
		}
		if out.answeredAfter != 5*time.Second {
			t.Errorf("answered after %v", out.answeredAfter)
		}
	})
}

// Guards against counting a slow caller as a failure of its target: the target would get no requests and the
// request would be retried elsewhere.
func TestSlowCallerDoesNotMakeTargetSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		end   error
		sends int
	}{
		"slow":                         {2500 * time.Millisecond, nil, 1},
		"slow, then broken off":        {2500 * time.Millisecond, io.ErrUnexpectedEOF, 2},
		"usual speed, then broken off": {0, io.ErrUnexpectedEOF, 2},
		"a short pause, not slow":      {500 * time.Millisecond, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(2, streamAnswer(firstEvents, c.end), streamAnswer(lastEvents, nil))
				b.deadline = time.Minute
				var lines bytes.Buffer
				b.gw.log = hclog.New(&hclog.LoggerOptions{Output: &lines})
				out := &fakeCaller{onWrite: func() { time.Sleep(c.pause) }}
				r := newRoute(serving.KindStream, 2, true)
				r.Timeout = time.Minute
				b.serve(context.Background(), r, out)
				isBlamed := len(b.brokenRuns) > 0 || strings.Contains(lines.String(), "target suspect")
				if wantBlame := c.pause == 0; isBlamed != wantBlame || len(b.sentTo) != c.sends || out.err != nil || out.isAborted {
					t.Errorf("target blamed %v, sent to %v, error %v", isBlamed, b.sentTo, out.err)
				}
			})
		})
	}
}

// Guards against logging a request whose deadline has expired as cancelled, or with the wrong source of the
// deadline.
func TestLogNamesExpiredDeadlineAndItsSource(t *testing.T) {
	for limit, deadline := range map[string]time.Duration{"route": time.Minute, "caller": 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			var lines bytes.Buffer
			b := newHarness(2, neverAnswer)
			b.gw.log = hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
			b.deadline = deadline
			b.serve(context.Background(), newRoute(serving.KindUnsafe, 2, false), &fakeCaller{})
			for _, want := range []string{`"outcome":"deadline_exceeded"`, `"limit_of":"` + limit + `"`} {
				if !strings.Contains(lines.String(), want) {
					t.Errorf("no %s in %s", want, lines.String())
				}
			}
		})
	}
}

// Guards against a request that no log line names because its process is killed while a target runs it.
func TestRequestIsLoggedBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		b := newHarness(2, func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
			if !strings.Contains(lines.String(), `"request":"id"`) || !strings.Contains(lines.String(), `"@message":"sent"`) {
				t.Errorf("no line before the send, log: %q", lines.String())
			}
			return wholeAnswer(200, "ok", nil)(nil, platform.TargetCall{})
		})
		b.gw = New(Options{Targets: b, View: b.view, Beliefs: b, Access: b, Quotas: b, Quarantine: b, Metrics: metrics.NewRegistry(),
			Log: hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})})
		b.serve(context.Background(), newRoute(serving.KindSafe, 2, false), &fakeCaller{})
	})
}

func TestDisconnectedCallerIsLoggedAsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		b := newHarness(2, neverAnswer)
		b.gw.log = hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
		ctx, disconnect := context.WithCancel(context.Background())
		sleep.AfterFunc(time.Second, disconnect)
		b.serve(ctx, newRoute(serving.KindUnsafe, 2, false), &fakeCaller{})
		if !strings.Contains(lines.String(), `"outcome":"cancelled"`) {
			t.Errorf("lines %s", lines.String())
		}
	})
}

// Guards against a target that continues to work for a caller that has disconnected.
func TestDisconnectedCallerCancelsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hasEnded := false
		b := newHarness(1, func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
			ans, _ := streamAnswer(firstEvents, nil)(ctx, c)
			from := ans.Body
			r, w := io.Pipe()
			go func() {
				_, _ = io.Copy(w, from)
				<-ctx.Done()
				hasEnded = true
				_ = w.CloseWithError(ctx.Err())
			}()
			ans.Body = r
			return ans, nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		b.serve(ctx, newRoute(serving.KindStream, 2, true), &fakeCaller{onWrite: cancel})
		synctest.Wait()
		if !hasEnded || len(b.sentTo) != 1 {
			t.Errorf("run ended %v, sent to %v", hasEnded, b.sentTo)
		}
	})
}

// Guards against misrouting: another instance, which may serve another service, reuses the address of a target.
func TestTargetWithReusedAddressGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		otherInstance := func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
			return &platform.TargetAnswer{Status: 421, NotRun: true, OtherInstance: true, Body: io.NopCloser(strings.NewReader(""))}, nil
		}
		b := newHarness(1, otherInstance)
		out := &fakeCaller{}
		b.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), out)
		if out.err == nil || out.err.Ran != errs.RanNo {
			t.Errorf("%v", out.err)
		}
		b.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), &fakeCaller{})
		if len(b.sentTo) != 1 {
			t.Errorf("sent to %v", b.sentTo)
		}
	})
}

func TestRetryAfterFitsCallerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(0)
		out := &fakeCaller{}
		b.gw.Serve(context.Background(), newRoute(serving.KindSafe, 1, false),
			&serving.Request{ID: "id", Arrived: time.Now(), Deadline: time.Now().Add(900 * time.Millisecond)}, out)
		if out.err == nil || out.err.RetryAfterMs > 300 || out.err.RetryAfterMs < 1 {
			t.Errorf("%+v", out.err)
		}
	})
}

// Guards against load that stays counted at a target after its request has ended, whatever the outcome.
func TestFinishedRequestLeavesNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, s := range []script{wholeAnswer(200, "ok", nil), refuseRequest, loseAnswer, neverAnswer, answerOtherRequest, streamAnswer(firstEvents, io.ErrUnexpectedEOF)} {
			b := newHarness(3, s)
			b.serve(context.Background(), newRoute(serving.KindStream, 2, true), &fakeCaller{})
			if left := b.view.Report().Loads; len(left) != 0 {
				t.Errorf("loads still counted: %v", left)
			}
		}
	})
}
