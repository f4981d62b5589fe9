package backlog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/explain"
	"arbutusramp/internal/sendlog"
)

// Guards against an item that runs twice and of whose runs the logs do not tell the connection, the answer and why a run
// counted as not run.
func TestRunsOfAnItemAreTracedFromItsID(t *testing.T) {
	var out bytes.Buffer
	reg := metrics.NewRegistry()
	logs := newSendLogs(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), reg)
	task := newTask(nil, &backlog.Job{ID: "j", Items: []backlog.Item{{ID: "i"}}}, 0)
	for _, run := range []struct {
		record platform.SendRecord
		answer *platform.TargetAnswer
		err    error
	}{
		{platform.SendRecord{Evidence: platform.EvidenceNotWritten}, nil, errs.New(errs.TargetFailed, "refused").WithRan(errs.RanNo)},
		{platform.SendRecord{Writes: 1, AnswerID: "i", Evidence: platform.EvidenceRejection}, &platform.TargetAnswer{Status: 503, NotRun: true}, nil},
		{platform.SendRecord{Writes: 1, IsReused: true, LocalAddr: "10.0.0.1:4001", AnswerID: "i-0"}, &platform.TargetAnswer{Status: 200, Foreign: true}, nil},
		{platform.SendRecord{Writes: 1, AnswerID: "i"}, &platform.TargetAnswer{Status: 200}, nil},
	} {
		fields := []any{"item", "i", "target", "t x"}
		end := runSend{record: run.record}
		number := logs.logSent(task, task.createdAt, fields)
		end.setAnswer(run.answer, run.err)
		logs.logRun(task, &end, append(fields, "ms", 0), sendlog.Send{Number: number, Target: "t"}, run.err)
	}
	lines, err := explain.Read("g-1", strings.NewReader(out.String()))
	if err != nil {
		t.Fatalf("cannot read the log: %v", err)
	}
	got := explain.Sends("i", lines)
	want := []string{
		"send 1 to t, 0 ms: written to no connection; no answer; counted as not run, evidence: nothing written",
		"send 2 to t, 0 ms: written; answer 503; counted as not run, evidence: rejection with the id of the request",
		`send 3 to t, 0 ms: written, last on a used one from 10.0.0.1:4001; FOREIGN answer 200 with id "i-0"; counted as may have run`,
		"send 4 to t, 0 ms: written; answer 200; counted as ran",
	}
	if len(got.Steps) != len(want) {
		t.Fatalf("traced %v, want %d runs; log %s", got.Steps, len(want), out.String())
	}
	for i, step := range got.Steps {
		if step.Text != want[i] {
			t.Errorf("run %d is told as\n%s\nwant\n%s", i+1, step.Text, want[i])
		}
	}
	for name, want := range map[string]int64{"item.not_run.not_written": 1, "item.not_run.rejection": 1, foreignAnswersMetric: 1} {
		if got := metrics.GetOrRegisterCounter(name, reg).Count(); got != want {
			t.Errorf("metric %s is %d, want %d", name, got, want)
		}
	}
}
