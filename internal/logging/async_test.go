package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

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
