package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/internal/explain"
	"arbutusramp/internal/logging"
)

// recorded returns s with a record of its send filled in as the client of targets does.
func recorded(r platform.SendRecord, s script) script {
	return func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
		*c.Record = r
		return s(ctx, c)
	}
}

// Targets of which each send is recorded.
var (
	rejectRecorded   = recorded(platform.SendRecord{Writes: 1, LocalAddr: "10.0.0.1:4001", Status: 503, AnswerID: "id", Evidence: platform.EvidenceRejection}, refuseRequest)
	rejectFirst      = recorded(platform.SendRecord{Writes: 1, LocalAddr: "10.0.0.1:4002", Status: 503, Evidence: platform.EvidenceFirstRejection}, refuseRequest)
	foreignRecorded  = recorded(platform.SendRecord{Writes: 1, IsReused: true, LocalAddr: "10.0.0.1:4003", Status: 200, AnswerID: "id-0"}, answerOtherRequest)
	answerRecorded   = recorded(platform.SendRecord{Writes: 1, LocalAddr: "10.0.0.1:4004", Status: 200, AnswerID: "id"}, wholeAnswer(200, "ok", nil))
	unreached        = recorded(platform.SendRecord{Evidence: platform.EvidenceNotWritten}, refuseConnection)
	rejectSecondSend = recorded(platform.SendRecord{Writes: 2, Status: 503, AnswerID: "id", Evidence: platform.EvidenceRejection}, refuseRequest)
)

// logTo makes the gateway of h log to w.
func (h *harness) logTo(w io.Writer) {
	log := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	h.gw.log, h.gw.sendLogs = log, newSendLogs(log, h.gw.reg)
}

// trace returns what the log tells of the sends of the request with an id.
func trace(t *testing.T, log, id string) *explain.SendTrace {
	t.Helper()
	lines, err := explain.Read("g-1", strings.NewReader(log))
	if err != nil {
		t.Fatalf("cannot read the log: %v", err)
	}
	return explain.Sends(id, lines)
}

// Guards against a request that runs twice and of which the logs do not tell why its first sends counted as not run: two
// targets reject it, a third one's place on the connection is taken by the answer to another request.
func TestSendsAreTracedFromTheRequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		h := newHarness(4, rejectRecorded, rejectFirst, foreignRecorded, answerRecorded)
		h.logTo(&log)
		h.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), &fakeCaller{})
		got := trace(t, log.String(), "id")
		want := []string{
			"send 1 to %s, 0 ms: written, last on a new one from 10.0.0.1:4001; answer 503; counted as not run, evidence: rejection with the id of the request",
			"send 2 to %s, 0 ms: written, last on a new one from 10.0.0.1:4002; answer 503; counted as not run, evidence: rejection without an id, first answer on its connection",
			`send 3 to %s, 0 ms: written, last on a used one from 10.0.0.1:4003; FOREIGN answer 200 with id "id-0"; counted as may have run; target_failed: the answer belongs to another request`,
		}
		if len(got.Steps) != len(want) {
			t.Fatalf("traced %d sends %v, want %d", len(got.Steps), got.Steps, len(want))
		}
		for i, step := range got.Steps {
			if text := fmt.Sprintf(want[i], h.sentTo[i]); step.Text != text {
				t.Errorf("send %d is told as\n%s\nwant\n%s", i+1, step.Text, text)
			}
		}
		if want := "has run at most once, in 3 sends"; got.Conclusion() != want {
			t.Errorf("conclusion %q, want %q", got.Conclusion(), want)
		}
		for name, want := range map[string]int64{"online.not_run.rejection": 1, "online.not_run.first_rejection": 1, foreignAnswersMetric: 1, "online.resent.unsafe": 1} {
			if got := metrics.GetOrRegisterCounter(name, h.gw.reg).Count(); got != want {
				t.Errorf("metric %s is %d, want %d", name, got, want)
			}
		}
	})
}

// Guards against a second run by the HTTP client that the logs do not show.
func TestSecondWriteCountsAsPossibleRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		h := newHarness(2, rejectSecondSend, answerRecorded)
		h.logTo(&log)
		h.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), &fakeCaller{})
		got := trace(t, log.String(), "id")
		if want := "MAY HAVE RUN MORE THAN ONCE: up to 2 times in 2 sends; 1 second writes of a send to another connection"; got.Conclusion() != want {
			t.Errorf("conclusion %q, want %q; log %s", got.Conclusion(), want, log.String())
		}
	})
}

// Guards against a line of a request that was served after a rejection, and would be missing in a trace, being left out
// because of the many lines of requests that were sent once.
func TestMovedRequestsAreLoggedBesideAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		h := newHarness(2, answerRecorded)
		h.logTo(&log)
		const flood = 1000
		for range flood {
			h.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), &fakeCaller{})
		}
		if n := strings.Count(log.String(), `"@message":"request"`); n == flood {
			t.Fatalf("%d lines for %d requests that were sent once, want fewer: the test is not about a flood", n, flood)
		}
		log.Reset()
		h.scripts, h.sentTo = []script{unreached, answerRecorded}, nil
		h.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), &fakeCaller{})
		for message, want := range map[string]int{"sent": 1, "request": 1} {
			if got := strings.Count(log.String(), `"@message":"`+message+`"`); got != want {
				t.Errorf("%d lines %q of a request with two sends in a flood, want %d: %s", got, message, want, log.String())
			}
		}
		got := trace(t, log.String(), "id")
		if len(got.Steps) != 2 || !strings.Contains(got.Steps[0].Text, "written to no connection; no answer; counted as not run, evidence: nothing written") {
			t.Errorf("traced sends %v, want two, the first not written", got.Steps)
		}
		if left := metrics.GetOrRegisterCounter(logging.LeftOutMetric+"served", h.gw.reg).Count(); left == 0 {
			t.Error("the lines that were left out are not counted")
		}
	})
}

// Guards against a process that dies in the middle of a request: the line of the second send tells how the first one ended.
func TestSendsBeforeACrashAreTraced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		atCrash := ""
		crash := func(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
			atCrash = log.String()
			return answerRecorded(ctx, c)
		}
		h := newHarness(2, rejectRecorded, crash)
		h.logTo(&log)
		h.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), &fakeCaller{})
		got := trace(t, atCrash, "id")
		if len(got.Steps) != 2 || !strings.Contains(got.Steps[0].Text, "counted as not run, evidence: rejection with the id") || !strings.Contains(got.Steps[1].Text, "no line says how it ended") {
			t.Errorf("traced sends %v, want a rejection and a send without an end", got.Steps)
		}
		if got.PossibleRuns != 1 || got.Unfinished != 1 {
			t.Errorf("%d possible runs, %d unfinished; want 1 and 1", got.PossibleRuns, got.Unfinished)
		}
	})
}

// Guards against a line without bound for a request that all targets of a large service reject.
func TestLineOfManySendsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		const targets = 300
		h := newHarness(targets, rejectRecorded)
		h.logTo(&log)
		h.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), &fakeCaller{})
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		final := lines[len(lines)-1]
		if maxBytes := 4000; !strings.Contains(final, `"@message":"request"`) || len(final) > maxBytes {
			t.Errorf("the final line has %d bytes, want at most %d: %s", len(final), maxBytes, final)
		}
		got := trace(t, log.String(), "id")
		if got.Sends != targets || got.PossibleRuns != 0 {
			t.Errorf("traced %d sends, %d possible runs; want %d and 0", got.Sends, got.PossibleRuns, targets)
		}
	})
}

// stalledOutput is an output that nobody reads until it is resumed.
type stalledOutput struct {
	begun  chan struct{} // gets a value when the first line is being written
	resume chan struct{}
	out    bytes.Buffer // not to be read before the writer has been flushed
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	select {
	case s.begun <- struct{}{}:
	default:
	}
	<-s.resume
	return s.out.Write(p)
}

// Guards against requests that wait for the reader of the log, and against a trace that is incomplete and does not say so.
// It runs in real time, since the writer of a log does not end.
func TestStalledLogReaderBlocksNoRequestAndIsTold(t *testing.T) {
	output := &stalledOutput{begun: make(chan struct{}, 1), resume: make(chan struct{})}
	async := logging.NewAsync(output)
	filler := []byte("{\"@message\":\"filler\"}\n")
	_, _ = async.LevelWrite(hclog.Warn, filler)
	<-output.begun     // nothing leaves the queue any more
	for range 10_000 { // more than the queue holds
		_, _ = async.LevelWrite(hclog.Warn, filler)
	}
	h := newHarness(3, rejectRecorded)
	h.logTo(async)
	reject := func() {
		caller := &fakeCaller{}
		h.serve(context.Background(), newRoute(serving.KindUnsafe, 1, false), caller) // with a writer that blocks it does not return
		if caller.err == nil || caller.err.Type != errs.NoTarget {
			t.Fatalf("answer to a request that all targets reject: %v, want no_target", caller.err)
		}
	}
	const requests = 200
	for range requests {
		reject()
	}
	close(output.resume)
	if !async.Flush(time.Minute) {
		t.Fatal("the log was not written within a minute")
	}
	reject()
	if !async.Flush(time.Minute) {
		t.Fatal("the log was not written within a minute")
	}
	finals, told := 0, int64(0)
	for _, text := range strings.Split(strings.TrimSpace(output.out.String()), "\n") {
		var line struct {
			Message string `json:"@message"`
			Lines   int64  `json:"lines"`
		}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("cannot decode the line %s: %v", text, err)
		}
		switch line.Message {
		case "request":
			finals++
		case "log lines left out":
			told += line.Lines
		}
	}
	if finals != 1 || told <= requests || told != async.LeftOut() {
		t.Errorf("%d final lines, %d lines told as left out; want that of the last request, and %d left out, more than %d", finals, told, async.LeftOut(), requests)
	}
	if got := trace(t, output.out.String(), "id"); len(got.Gaps) == 0 || !strings.Contains(got.Conclusion(), "INCOMPLETE") {
		t.Errorf("the trace does not say that lines are missing: gaps %v, conclusion %q", got.Gaps, got.Conclusion())
	}
}

// countingOutput counts the lines and bytes of a log.
type countingOutput struct{ lines, bytes int64 }

func (c *countingOutput) Write(p []byte) (int, error) {
	c.lines++
	c.bytes += int64(len(p))
	return len(p), nil
}

// BenchmarkServe measures a request and its lines, by what its targets answer. All lines are written as long as there are
// fewer requests than the bursts of the bounds: run it with -benchtime 300x.
func BenchmarkServe(b *testing.B) {
	for name, scripts := range map[string][]script{
		"answered":              {answerRecorded},
		"rejected-then-served":  {rejectRecorded, answerRecorded},
		"rejected-by-8-targets": {rejectRecorded},
	} {
		for _, isLogged := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/logged=%v", name, isLogged), func(b *testing.B) { benchmarkServe(b, scripts, isLogged) })
		}
	}
}

func benchmarkServe(b *testing.B, scripts []script, isLogged bool) {
	h := newHarness(8, scripts...)
	out := &countingOutput{}
	if isLogged {
		h.logTo(out)
	}
	route, body := newRoute(serving.KindUnsafe, 1, false), &fakeCaller{}
	b.ReportAllocs()
	for b.Loop() {
		h.sentTo, h.resumedAfter = h.sentTo[:0], h.resumedAfter[:0]
		body.body.Reset()
		h.serve(context.Background(), route, body)
	}
	b.ReportMetric(float64(out.lines)/float64(b.N), "lines/op")
	b.ReportMetric(float64(out.bytes)/float64(b.N), "logbytes/op")
}
