package explain

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

const day = `{"@timestamp":"2026-01-01T10:00:00Z","@message":"started"}
{"@timestamp":"2026-01-01T10:00:01Z","@message":"request","route":"a","outcome":"served","ms":20,"targets":["t1"]}
{"@timestamp":"2026-01-01T10:00:02Z","@message":"request","route":"a","outcome":"served","ms":800,"targets":["t1","t2"],"held_ms":300}
{"@timestamp":"2026-01-01T10:00:03Z","@message":"request","route":"a","outcome":"overloaded"}
{"@timestamp":"2026-01-01T10:00:03Z","@message":"overload","verdict":"come back"}
{"@timestamp":"2026-01-01T10:00:04Z","@message":"request","route":"b","outcome":"deadline_exceeded","left_out":7}
{"@timestamp":"2026-01-01T10:00:05Z","@message":"job","outcome":"append_unknown: the store: no answer"}
{"@timestamp":"2026-01-01T10:00:05Z","@message":"job","outcome":"done"}
{"@timestamp":"2026-01-01T10:00:06Z","@message":"item run","verdict":"go on","preempted":true}
{"@timestamp":"2026-01-01T10:00:07Z","@message":"item run","verdict":"complete","preempted":false}
{"@timestamp":"2026-01-01T10:00:07Z","@message":"item","outcome":"complete"}
{"@timestamp":"2026-01-01T10:00:08Z","@message":"dependency lost","dependency":"targets"}
{"@timestamp":"2026-01-01T10:00:08Z","@message":"target suspect"}
`

func TestSummary(t *testing.T) {
	lines, err := Read("day.log", strings.NewReader(day))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Summarize(lines).PrintSummary(&out); err != nil {
		t.Fatal(err)
	}
	want := `requests           served   p50 ms   p99 ms    moved     held  not served
a                       2       20      800        1        1  overloaded=1
b                       0        0        0        0        0  deadline_exceeded=1
overload         come back=1
jobs             append_unknown=1 done=1
items            complete=1
runs of items    complete=1 gave way=1
meanwhile        lost: targets=1 starts=1 suspect targets=1
7 lines were left out under load: the counts are too low by them
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

// A full disk or a closed pipe must not pass for a whole report.
func TestASummaryThatCantBeWrittenFails(t *testing.T) {
	if err := Summarize(nil).PrintSummary(closed{}); err == nil {
		t.Error("no error")
	}
}

type closed struct{}

func (closed) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }
