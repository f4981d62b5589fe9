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

// script is what one target does with each request that reaches it.
type script func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error)

// bench is a gateway over targets that follow scripts.
type bench struct {
	deadline time.Duration // of callers
	gw       *Gateway
	view     *fleetview.View
	scripts  []script
	mu       sync.Mutex
	sent     []string // target ids, in the order of sends
	resumed  []string // what each send resumed after

	workspace          string // of callers
	authErr            error  // when keys are checked again
	overQuota          bool
	admitted, refunded int

	quarantined error // what Check returns
	fellSilent  []quarantine.Broken
	brokenOff   []quarantine.Broken
	served      int
}

// Send implements platform.TargetCaller: the n-th send follows the n-th script.
func (b *bench) Send(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
	b.mu.Lock()
	n := len(b.sent)
	b.sent = append(b.sent, c.Target.ID)
	b.resumed = append(b.resumed, c.ResumeAfter)
	b.mu.Unlock()
	return b.scripts[min(n, len(b.scripts)-1)](ctx, c)
}

// sentFirst is the target that got the first send.
func (b *bench) sentFirst() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent[0]
}

func newBench(targets int, scripts ...script) *bench {
	b := &bench{scripts: scripts, deadline: 5 * time.Second, view: fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Second})}
	for i := range targets {
		b.view.Put([]serving.Target{{ID: fmt.Sprintf("t%d", i), Service: "s", Slots: 4}}, nil)
	}
	b.gw = New(Options{Targets: b, View: b.view, Beliefs: b, Access: b, Quotas: b, Quarantine: b, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
	return b
}

// Authorize implements Access.
func (b *bench) Authorize(*serving.Route, workspace.Credential) (serving.Caller, error) {
	return serving.Caller{Workspace: b.workspace}, b.authErr
}

// Admit implements Quotas.
func (b *bench) Admit(string) quota.Decision {
	b.admitted++
	return quota.Decision{IsAdmitted: !b.overQuota, RetryAfter: 400 * time.Millisecond}
}

// Refund implements Quotas.
func (b *bench) Refund(string) { b.refunded++ }

// Check implements Quarantine.
func (b *bench) Check(*quarantine.Content) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quarantined
}

// AdmitRequest implements Quarantine.
func (b *bench) AdmitRequest(c *quarantine.Content) error { return b.Check(c) }

// BrokenOff implements Quarantine.
func (b *bench) BrokenOff(run quarantine.Broken) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brokenOff = append(b.brokenOff, run)
}

// FellSilent implements Quarantine.
func (b *bench) FellSilent(run quarantine.Broken) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fellSilent = append(b.fellSilent, run)
}

// Passed implements Quarantine.
func (b *bench) Passed(*quarantine.Content) {}

// Served implements Quarantine.
func (b *bench) Served(*quarantine.Content) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served++
}

// Version implements Beliefs.
func (b *bench) Version() uint64 { return 1 }

// Age implements Beliefs.
func (b *bench) Age() time.Duration { return 0 }

// caller takes one answer.
type caller struct {
	status  int
	body    strings.Builder
	err     *errs.Error
	aborted bool
	begun   int
	at      time.Duration // when the answer was complete, since the request
	leaves  func()        // called at the first write
}

func (c *caller) Begin(status int, _ http.Header, _ int64) {
	c.begun++
	c.status = status
}

func (c *caller) Write(p []byte) error {
	c.body.Write(p)
	if c.leaves != nil {
		c.leaves()
	}
	return nil
}

func (c *caller) Abort()         { c.aborted = true }
func (c *caller) Fail(err error) { c.err = errs.As(err) }

func route(kind serving.Kind, attempts int, resumable bool) *serving.Route {
	return &serving.Route{Name: "r", Kind: kind, Attempts: attempts, Resumable: resumable, Timeout: 5 * time.Second,
		Goal: 300 * time.Millisecond, Shares: []serving.Share{{Service: "s", Weight: 1}}}
}

func (b *bench) serve(ctx context.Context, r *serving.Route, out *caller) {
	began := time.Now()
	b.gw.Serve(ctx, r, &serving.Request{
		ID: "id", Arrived: began, Deadline: began.Add(b.deadline), Caller: serving.Caller{Workspace: b.workspace},
		Credential: workspace.Credential{IsSet: b.workspace != ""},
	}, out)
	out.at = time.Since(began)
}

func stream(events string, end error) script {
	return func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
		body := io.MultiReader(strings.NewReader(events), failing{end})
		return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {eventStream}}, Length: -1, Body: io.NopCloser(body)}, nil
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}

func whole(status int, text string, end error) script {
	return func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
		return &platform.TargetAnswer{Status: status, Length: int64(len(text)), Body: io.NopCloser(io.MultiReader(strings.NewReader(text), failing{end}))}, nil
	}
}

func refusal(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return &platform.TargetAnswer{Status: 503, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func noConnection(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return nil, errs.New(errs.TargetFailed, "refused").WithRan(errs.RanNo)
}

func lostAnswer(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return nil, errs.New(errs.TargetFailed, "reset").WithRan(errs.RanUnknown)
}

func dark(ctx context.Context, _ platform.TargetCall) (*platform.TargetAnswer, error) {
	<-ctx.Done()
	return nil, errs.New(errs.TargetFailed, "cancelled").WithRan(errs.RanUnknown)
}

func foreign(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
	return &platform.TargetAnswer{Status: 200, Foreign: true, Body: io.NopCloser(strings.NewReader("other"))}, nil
}

const (
	first3 = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	last2  = "id: 4\ndata: d\n\nid: 5\ndata: e\n\n"
)

// What a caller gets, and how many targets got the request, for each thing that targets do.
func TestServe(t *testing.T) {
	broken := io.ErrUnexpectedEOF
	cases := []struct {
		name    string
		route   *serving.Route
		scripts []script
		sends   int
		status  int
		body    string
		err     errs.Type
		ran     errs.Ran
		aborted bool
	}{
		{name: "a whole answer", route: route(serving.KindSafe, 2, false), scripts: []script{whole(200, "ok", nil)}, sends: 1, status: 200, body: "ok"},
		{name: "a stream", route: route(serving.KindStream, 1, false), scripts: []script{stream(first3+last2, nil)}, sends: 1, status: 200, body: first3 + last2},
		{name: "a refusal goes elsewhere whatever may be repeated", route: route(serving.KindUnsafe, 1, false),
			scripts: []script{refusal, whole(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "no connection goes elsewhere", route: route(serving.KindUnsafe, 1, false),
			scripts: []script{noConnection, whole(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "refused by all is not run", route: route(serving.KindUnsafe, 1, false),
			scripts: []script{refusal}, sends: 3, err: errs.NoTarget, ran: errs.RanNo},
		{name: "a lost answer of what may not be repeated", route: route(serving.KindUnsafe, 3, false),
			scripts: []script{lostAnswer, whole(200, "ok", nil)}, sends: 1, err: errs.TargetFailed, ran: errs.RanUnknown},
		{name: "a lost answer, then refusals: it may have run", route: route(serving.KindSafe, 2, false),
			scripts: []script{lostAnswer, refusal}, sends: 3, err: errs.NoTarget, ran: errs.RanUnknown},
		{name: "a lost answer of a safe call", route: route(serving.KindSafe, 2, false),
			scripts: []script{lostAnswer, whole(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "no more targets than the route allows", route: route(serving.KindSafe, 2, false),
			scripts: []script{lostAnswer}, sends: 2, err: errs.TargetFailed, ran: errs.RanUnknown},
		{name: "a broken body of a safe call", route: route(serving.KindSafe, 2, false),
			scripts: []script{whole(200, "o", broken), whole(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "a broken body of what may not be repeated", route: route(serving.KindUnsafe, 1, false),
			scripts: []script{whole(200, "o", broken)}, sends: 1, err: errs.StreamBroken, ran: errs.RanUnknown},
		{name: "a target's failure of a safe call", route: route(serving.KindSafe, 2, false),
			scripts: []script{whole(500, "bad", nil), whole(200, "ok", nil)}, sends: 2, status: 200, body: "ok"},
		{name: "the last target's failure is the answer", route: route(serving.KindSafe, 2, false),
			scripts: []script{whole(500, "bad", nil)}, sends: 2, status: 500, body: "bad"},
		{name: "an answer to another request", route: route(serving.KindUnsafe, 1, false),
			scripts: []script{foreign}, sends: 1, err: errs.TargetFailed, ran: errs.RanUnknown},
		{name: "a stream goes on elsewhere after its last event", route: route(serving.KindStream, 2, true),
			scripts: []script{stream(first3+"id: 4\nda", broken), stream(last2, nil)}, sends: 2, status: 200, body: first3 + last2},
		{name: "a stream that may not go on is broken off", route: route(serving.KindStream, 2, false),
			scripts: []script{stream(first3, broken)}, sends: 1, status: 200, body: first3, aborted: true},
		{name: "a stream that breaks before its first event has no header", route: route(serving.KindStream, 1, false),
			scripts: []script{stream("", broken)}, sends: 1, err: errs.StreamBroken, ran: errs.RanUnknown},
		{name: "a failure within a stream is not passed on as its end", route: route(serving.KindStream, 2, true),
			scripts: []script{stream(first3, broken), whole(500, "bad", nil)}, sends: 2, status: 200, body: first3, aborted: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(3, c.scripts...)
				out := &caller{}
				b.serve(context.Background(), c.route, out)
				if len(b.sent) != c.sends {
					t.Errorf("sent to %v, want %d targets", b.sent, c.sends)
				}
				if out.status != c.status || out.body.String() != c.body || out.aborted != c.aborted {
					t.Errorf("status %d, body %q, aborted %v", out.status, out.body.String(), out.aborted)
				}
				if c.err == "" && out.err != nil || c.err != "" && (out.err == nil || out.err.Type != c.err || out.err.Ran != c.ran) {
					t.Errorf("error %v, want %s %s", out.err, c.err, c.ran)
				}
				if out.err != nil && out.err.Ran == errs.RanNo && out.err.RetryAfterMs == 0 {
					t.Error("a refusal does not say when to come back")
				}
				if out.begun > 1 {
					t.Errorf("the header was sent %d times", out.begun)
				}
			})
		})
	}
}

func TestAResumedStreamAsksForWhatIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, stream(first3, io.ErrUnexpectedEOF), stream(last2, nil))
		b.serve(context.Background(), route(serving.KindStream, 2, true), &caller{})
		if len(b.resumed) != 2 || b.resumed[0] != "" || b.resumed[1] != "3" {
			t.Errorf("resumed after %q", b.resumed)
		}
	})
}

// A dark target costs a request that may be repeated well under a second; one that may not waits
// for its answer until its time is over and is told that it may have run.
func TestADarkTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, dark, whole(200, "ok", nil))
		out := &caller{}
		b.serve(context.Background(), route(serving.KindSafe, 2, false), out)
		if out.status != 200 || out.at > time.Second {
			t.Errorf("status %d after %v", out.status, out.at)
		}
		b = newBench(2, dark)
		out = &caller{}
		b.serve(context.Background(), route(serving.KindUnsafe, 2, false), out)
		if out.err == nil || out.err.Type != errs.DeadlineExceeded || out.err.Ran != errs.RanUnknown || len(b.sent) != 1 {
			t.Errorf("%v after %v, sent to %v", out.err, out.at, b.sent)
		}
		if out.at != 5*time.Second {
			t.Errorf("answered after %v", out.at)
		}
	})
}

// Guards against blaming a target for a caller that reads slowly: it would get no requests, and the request would move.
func TestACallerThatReadsSlowlyDoesNotMakeItsTargetSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		end   error
		sends int
	}{
		"slow":                    {2500 * time.Millisecond, nil, 1},
		"slow, then cut off":      {2500 * time.Millisecond, io.ErrUnexpectedEOF, 2},
		"as usual, then cut off":  {0, io.ErrUnexpectedEOF, 2},
		"a pause, then as before": {500 * time.Millisecond, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(2, stream(first3, c.end), stream(last2, nil))
				b.deadline = time.Minute
				var lines bytes.Buffer
				b.gw.log = hclog.New(&hclog.LoggerOptions{Output: &lines})
				out := &caller{leaves: func() { time.Sleep(c.pause) }}
				r := route(serving.KindStream, 2, true)
				r.Timeout = time.Minute
				b.serve(context.Background(), r, out)
				isBlamed := len(b.brokenOff) > 0 || strings.Contains(lines.String(), "target suspect")
				if wantBlame := c.pause == 0; isBlamed != wantBlame || len(b.sent) != c.sends || out.err != nil || out.aborted {
					t.Errorf("blamed %v, sent to %v, error %v", isBlamed, b.sent, out.err)
				}
			})
		})
	}
}

// A misleading log: a request whose time was over is logged as cancelled.
func TestTheLogSaysWhoseTimeWasOver(t *testing.T) {
	for limit, deadline := range map[string]time.Duration{"route": time.Minute, "caller": 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			var lines bytes.Buffer
			b := newBench(2, dark)
			b.gw.log = hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
			b.deadline = deadline
			b.serve(context.Background(), route(serving.KindUnsafe, 2, false), &caller{})
			for _, want := range []string{`"outcome":"deadline_exceeded"`, `"limit_of":"` + limit + `"`} {
				if !strings.Contains(lines.String(), want) {
					t.Errorf("no %s in %s", want, lines.String())
				}
			}
		})
	}
}

// A silent loss: nothing in any log names a request whose process is killed while a target has it.
func TestARequestIsInTheLogBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		b := newBench(2, func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
			if !strings.Contains(lines.String(), `"request":"id"`) || !strings.Contains(lines.String(), `"@message":"sent"`) {
				t.Errorf("at the target, with the lines %q", lines.String())
			}
			return whole(200, "ok", nil)(nil, platform.TargetCall{})
		})
		b.gw = New(Options{Targets: b, View: b.view, Beliefs: b, Access: b, Quotas: b, Quarantine: b, Metrics: metrics.NewRegistry(),
			Log: hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})})
		b.serve(context.Background(), route(serving.KindSafe, 2, false), &caller{})
	})
}

func TestTheLogSaysThatTheCallerHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		b := newBench(2, dark)
		b.gw.log = hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
		ctx, leave := context.WithCancel(context.Background())
		sleep.AfterFunc(time.Second, leave)
		b.serve(ctx, route(serving.KindUnsafe, 2, false), &caller{})
		if !strings.Contains(lines.String(), `"outcome":"cancelled"`) {
			t.Errorf("lines %s", lines.String())
		}
	})
}

// Wasted work: a target works on for a caller that has gone.
func TestACallerThatLeavesEndsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := false
		b := newBench(1, func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
			ans, _ := stream(first3, nil)(ctx, c)
			from := ans.Body
			r, w := io.Pipe()
			go func() {
				_, _ = io.Copy(w, from)
				<-ctx.Done()
				ended = true
				_ = w.CloseWithError(ctx.Err())
			}()
			ans.Body = r
			return ans, nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		b.serve(ctx, route(serving.KindStream, 2, true), &caller{leaves: cancel})
		synctest.Wait()
		if !ended || len(b.sent) != 1 {
			t.Errorf("run ended %v, sent to %v", ended, b.sent)
		}
	})
}

// Misrouting: requests reach a target of another service at an address that was used again.
func TestATargetWhoseAddressIsTakenGetsNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		misdirected := func(context.Context, platform.TargetCall) (*platform.TargetAnswer, error) {
			return &platform.TargetAnswer{Status: 421, NotRun: true, OtherInstance: true, Body: io.NopCloser(strings.NewReader(""))}, nil
		}
		b := newBench(1, misdirected)
		out := &caller{}
		b.serve(context.Background(), route(serving.KindUnsafe, 1, false), out)
		if out.err == nil || out.err.Ran != errs.RanNo {
			t.Errorf("%v", out.err)
		}
		b.serve(context.Background(), route(serving.KindUnsafe, 1, false), &caller{})
		if len(b.sent) != 1 {
			t.Errorf("sent to %v", b.sent)
		}
	})
}

func TestTheTimeToComeBackFitsTheCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(0)
		out := &caller{}
		b.gw.Serve(context.Background(), route(serving.KindSafe, 1, false),
			&serving.Request{ID: "id", Arrived: time.Now(), Deadline: time.Now().Add(900 * time.Millisecond)}, out)
		if out.err == nil || out.err.RetryAfterMs > 300 || out.err.RetryAfterMs < 1 {
			t.Errorf("%+v", out.err)
		}
	})
}

// The load of a request must not outlive it, however it ends.
func TestNoLoadIsLeftBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, s := range []script{whole(200, "ok", nil), refusal, lostAnswer, dark, foreign, stream(first3, io.ErrUnexpectedEOF)} {
			b := newBench(3, s)
			b.serve(context.Background(), route(serving.KindStream, 2, true), &caller{})
			if left := b.view.Report().Loads; len(left) != 0 {
				t.Errorf("loads left: %v", left)
			}
		}
	})
}
