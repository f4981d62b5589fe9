package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/internal/settings"
)

// stalled is a reader of the output that takes nothing until it is let go.
type stalled struct {
	goOn chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.goOn
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stalled) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// Symptom: a process that has stopped as planned has no last line.
// Sequence: it writes the line and ends; the line still waits for the writer in the background.
// Cause: nothing waited for the lines that were on their way.
func TestTheLastLineIsWritten(t *testing.T) {
	s := &stalled{goOn: make(chan struct{})}
	out := NewAsync(s)
	log := New("p", settings.Logs{Level: "info", JSON: true}, out)
	log.Info("stopped")
	if out.Flush(10 * time.Millisecond) {
		t.Error("all is written, though the reader stalls")
	}
	close(s.goOn)
	if !out.Flush(time.Minute) || !strings.Contains(s.text(), "stopped") {
		t.Errorf("after the flush there is %q", s.text())
	}
}

// Symptom: requests stand still while nobody reads the process's output.
// Sequence: the pipe is full; a write of a log line blocks; it is made by the request itself.
// The lines of failures must still be there when the reader goes on.
func TestAStalledReaderBlocksNothingAndCostsNoFailure(t *testing.T) {
	s := &stalled{goOn: make(chan struct{})}
	log := New("p", settings.Logs{Level: "info", JSON: true}, NewAsync(s))
	const failures = 1000
	for i := range 20 * queuedLines { // would block for ever at the first line
		log.Info("routine", "n", i)
	}
	for i := range failures {
		log.Warn("failure", "n", i)
	}
	close(s.goOn)
	const patience = 5000
	written := 0
	for range patience {
		if written = strings.Count(s.text(), `"@message":"failure"`); written == failures {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if written != failures {
		t.Errorf("%d of %d lines of failures were written", written, failures)
	}
	if !strings.Contains(s.text(), "log lines left out") {
		t.Error("nothing says that lines were left out")
	}
}

func TestRoutineLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	r := NewRoutine(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}))
	now := time.Now()
	for range 10_000 {
		r.Info(now, "served")
	}
	if n := strings.Count(out.String(), "served"); n != routineBurst {
		t.Errorf("%d lines at once, want %d", n, routineBurst)
	}
	r.Info(now.Add(time.Second), "served")
	if want := fmt.Sprintf(`"left_out":%d`, 10_000-routineBurst); !strings.Contains(out.String(), want) {
		t.Errorf("the next line does not say %s", want)
	}
}

// Guards against a queue that holds many times the memory of usual lines when the lines are long, and against lines that
// are left out and not counted, or told at a time that can't be read.
func TestLongLinesAreBoundedInBytesAndCounted(t *testing.T) {
	s := &stalled{goOn: make(chan struct{})}
	out := NewAsync(s)
	const lines, lineBytes = queuedLines, 8 << 10
	line := []byte(`{"@message":"long","text":"` + strings.Repeat("x", lineBytes) + "\"}\n")
	for range lines {
		_, _ = out.LevelWrite(hclog.Warn, line)
	}
	close(s.goOn)
	if !out.Flush(time.Minute) {
		t.Fatal("the lines were not written within a minute")
	}
	written, told := 0, 0
	for _, text := range strings.Split(strings.TrimSpace(s.text()), "\n") {
		var l struct {
			Message string    `json:"@message"`
			Time    time.Time `json:"@timestamp"`
			Since   time.Time `json:"since"`
			Lines   int       `json:"lines"`
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatalf("cannot decode the line %s: %v", text, err)
		}
		if l.Message == "long" {
			written++
			continue
		}
		if told += l.Lines; l.Since.IsZero() || l.Time.Before(l.Since) {
			t.Errorf("%d lines left out since %v, told at %v; want two times in order", l.Lines, l.Since, l.Time)
		}
	}
	if maxWritten := queuedBytes/lineBytes + 1; written > maxWritten || written+told != lines || out.LeftOut() != int64(told) {
		t.Errorf("%d of %d lines written, %d told as left out, %d counted; want at most %d written and the rest told and counted", written, lines, told, out.LeftOut(), maxWritten)
	}
}

// Guards against lines that are left out without a trace: a counter has them at once, the next line says since when.
func TestLeftOutLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	counter := metrics.NewCounter()
	r := NewTrace(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})).CountIn(counter)
	now := time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC)
	const lines = traceBurst + 7
	for range lines {
		r.Info(now, "moved")
	}
	if n := counter.Count(); n != lines-traceBurst {
		t.Errorf("%d lines counted as left out, want %d", n, lines-traceBurst)
	}
	r.Info(now.Add(time.Second), "moved")
	if want := `"left_out":7,"left_out_since":"2026-01-01T10:00:00.000000Z"`; !strings.Contains(out.String(), want) {
		t.Errorf("the next line does not say %s", want)
	}
}

// Guards against lines as long as what a client has sent: they are cut, and stay whole lines of JSON.
func TestALineOfAClientsWordsIsCut(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	log := New("p", settings.Logs{Level: "info", JSON: true}, a)
	log.Info("request", "id", strings.Repeat("\u00e9\"", 1<<20))
	log.Info("request", "id", "short")
	if !a.Flush(time.Minute) {
		t.Fatal("the lines were not written within a minute")
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || len(lines[0]) > maxLineBytes || !strings.Contains(lines[0], `"@message":"line cut"`) || !strings.Contains(lines[1], "short") {
		t.Fatalf("%d lines, the first of %d bytes; want a cut line and a whole one", len(lines), len(lines[0]))
	}
	for _, line := range lines {
		if !json.Valid([]byte(line)) {
			t.Errorf("%q is not JSON", line)
		}
	}
}
